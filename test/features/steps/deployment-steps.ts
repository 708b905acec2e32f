/**
The local deployment that end-to-end scenarios run against, and the steps that set it up
and inject faults.
*/
import {
	After, Before, Given, setDefaultTimeout, setWorldConstructor,
} from '@cucumber/cucumber';
import {LocalDeployment, type TargetAddress} from '../../standins/local-deployment.js';

const STEP_TIMEOUT_MS = 90_000;
const BODY_LIMIT_BYTES = 100_000;
export const ENGINE_MEMORY_MB = 2000;
export const ANSWER_WORDS = 12;

setDefaultTimeout(STEP_TIMEOUT_MS);

export type HttpResponse = {
	readonly status: number;
	readonly text: string;
};

/** State shared by the steps of a scenario; Cucumber creates one for each scenario. */
export class ScenarioWorld {
	deployment: LocalDeployment | undefined;
	readonly responses: HttpResponse[] = [];
	completeText = '';
	streamedText = '';
	base = 0;

	get runningDeployment(): LocalDeployment {
		if (!this.deployment) {
			throw new Error('the deployment is not running');
		}

		return this.deployment;
	}
}

setWorldConstructor(ScenarioWorld);

function initialPatch(engines: readonly TargetAddress[], services: readonly TargetAddress[]): Record<string, unknown> {
	const engineTargets = engines.map(({id, zone, address, isFenced}) => [id, {
		service: 'llm',
		address,
		zone,
		gateway: isFenced ? 'engine-fenced' : 'engine-unfenced',
		memoryMb: ENGINE_MEMORY_MB,
		accelerators: 1,
	}] as const);
	const serviceTargets = services.map(({id, zone, address}) => [id, {
		service: 'records',
		address,
		zone,
		gateway: 'plain',
	}] as const);
	return {
		services: {
			llm: {kind: 'engine'},
			records: {
				kind: 'plain', routes: [{
					method: 'POST', path: '/signoffs', repeat: 'once', key: {from: 'header'},
				}],
			},
		},
		targets: Object.fromEntries([...engineTargets, ...serviceTargets]),
		models: {verdict: {service: 'llm', memoryMb: 900, adapters: {clay: {}}}, archive: {service: 'llm', memoryMb: 900}},
		callers: {anyone: {}},
		limits: {weightLoadsPerSecond: 1000, weightLoadsAtOnce: 100},
	};
}

Before(function (this: ScenarioWorld) {
	this.deployment = undefined;
});

After(async function (this: ScenarioWorld) {
	await this.deployment?.close();
});

Given('a running deployment with two zones', async function (this: ScenarioWorld) {
	this.deployment = await LocalDeployment.start({
		zones: ['plovdiv', 'haskovo'],
		daemonsPerZone: 1,
		enginesPerZone: 1,
		servicesPerZone: 1,
		engine: {memoryMb: ENGINE_MEMORY_MB, words: ANSWER_WORDS, wordDelayMs: 10},
		patch: initialPatch,
		bodyBytes: BODY_LIMIT_BYTES,
	});
	await this.deployment.waitUntilReachable();
});

Given('the platform is unavailable', function (this: ScenarioWorld) {
	this.runningDeployment.platform.isDown = true;
});

Given('the service sends large responses', function (this: ScenarioWorld) {
	for (const service of this.runningDeployment.services) {
		service.paddingBytes = 200_000;
	}
});

Given('the service takes {int} ms per request', function (this: ScenarioWorld, delayMs: number) {
	for (const service of this.runningDeployment.services) {
		service.delayMs = delayMs;
	}
});

Given('the service closes connections after recording the entry, without a response', function (this: ScenarioWorld) {
	for (const service of this.runningDeployment.services) {
		service.closesBeforeAnswer = true;
	}
});

Given('the engines close the connection of the next stream midway', function (this: ScenarioWorld) {
	for (const engine of this.runningDeployment.engines) {
		engine.breakAfterWords = 5;
	}
});

Given('the engines stall in the next stream', function (this: ScenarioWorld) {
	for (const engine of this.runningDeployment.engines) {
		engine.silentAfterWords = 5;
	}
});
