/**
The deployment that whole-program scenarios run against.
*/
import {
	After, Before, Given, setDefaultTimeout, setWorldConstructor,
} from '@cucumber/cucumber';
import {LocalDeployment, type TargetAddress} from '../../standins/local-deployment.js';

const STEP_TIMEOUT_MS = 90_000;
const BODY_BYTES = 100_000;
export const ENGINE_MB = 2000;
export const WORDS = 12;

setDefaultTimeout(STEP_TIMEOUT_MS);

export type Answer = {
	readonly status: number;
	readonly text: string;
};

/** What the steps of one scenario share. */
export class ScenarioState {
	deployment: LocalDeployment | undefined;
	readonly answers: Answer[] = [];
	whole = '';
	streamed = '';
	base = 0;

	get running(): LocalDeployment {
		if (!this.deployment) {
			throw new Error('the deployment does not run');
		}

		return this.deployment;
	}
}

setWorldConstructor(ScenarioState);

function patch(engines: readonly TargetAddress[], services: readonly TargetAddress[]): Record<string, unknown> {
	const engineTargets = engines.map(({id, zone, address, isFenced}) => [id, {
		service: 'llm',
		address,
		zone,
		gateway: isFenced ? 'engine-fenced' : 'engine-unfenced',
		memoryMb: ENGINE_MB,
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

Before(function (this: ScenarioState) {
	this.deployment = undefined;
});

After(async function (this: ScenarioState) {
	await this.deployment?.close();
});

Given('a running deployment with two zones', async function (this: ScenarioState) {
	this.deployment = await LocalDeployment.start({
		zones: ['plovdiv', 'haskovo'],
		daemonsPerZone: 1,
		enginesPerZone: 1,
		servicesPerZone: 1,
		engine: {memoryMb: ENGINE_MB, words: WORDS, wordDelayMs: 10},
		patch,
		bodyBytes: BODY_BYTES,
	});
	await this.deployment.waitUntilReachable();
});

Given('the platform is down', function (this: ScenarioState) {
	this.running.platform.isDown = true;
});

Given('the service gives large answers', function (this: ScenarioState) {
	for (const service of this.running.services) {
		service.paddingBytes = 200_000;
	}
});

Given('the service takes {int} ms', function (this: ScenarioState, delayMs: number) {
	for (const service of this.running.services) {
		service.delayMs = delayMs;
	}
});

Given('the service breaks connections after it made an entry', function (this: ScenarioState) {
	for (const service of this.running.services) {
		service.closesBeforeAnswer = true;
	}
});

Given('the engines break the next stream in the middle', function (this: ScenarioState) {
	for (const engine of this.running.engines) {
		engine.breakAfterWords = 5;
	}
});

Given('the engines go silent in the next stream', function (this: ScenarioState) {
	for (const engine of this.running.engines) {
		engine.silentAfterWords = 5;
	}
});
