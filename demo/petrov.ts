/**
Sample deployment with the services, models and adapters of Petrov, with small engines and
two of the three availability zones.
*/
import {type Patch} from '../src/core/configuration/patch.js';
import {type DeploymentOptions, type TargetAddress} from '../test/standins/local-deployment.js';

export const zones = ['plovdiv', 'haskovo'] as const;

const MODEL_COUNT = 14;
const ADAPTER_COUNT = 40;
const MODEL_MB = 1000;

/** Memory of one engine. There are fewer engines than models, and room for at most two copies of every model. */
export const ENGINE_MB = 6000;
export const ENGINE_SLOTS = 8;

export function modelName(index: number): string {
	return `verdict-${String(index + 1).padStart(2, '0')}`;
}

export function petrovPatch(engines: readonly TargetAddress[], services: readonly TargetAddress[]): Patch {
	const engineTargets = engines.map(({id, zone, address, isFenced}) => [id, {
		service: 'inspect-llm',
		address,
		zone,
		gateway: isFenced ? 'engine-fenced' : 'engine-unfenced',
		memoryMb: ENGINE_MB,
		accelerators: 1,
		slots: ENGINE_SLOTS,
	}]);
	const serviceTargets = services.map(({id, zone, address}) => [id, {
		service: 'records-app',
		address,
		zone,
		gateway: 'plain',
		slots: 16,
	}]);
	return {
		services: {
			'inspect-llm': {kind: 'engine'},
			'records-app': {
				kind: 'plain',
				routes: [
					{method: 'GET', path: '/permits', repeat: 'idempotent'},
					{
						method: 'POST',
						path: '/signoffs',
						repeat: 'once',
						key: {from: 'body', pointer: '/trench'},
						priority: 'urgent',
					},
					{
						method: 'POST', path: '/invoices', repeat: 'once', key: {from: 'header'},
					},
				],
			},
		},
		targets: Object.fromEntries([...engineTargets, ...serviceTargets]) as Record<string, unknown>,
		models: petrovModels(),
		callers: {inspectors: {priority: 'urgent', weight: 4}, archive: {tokenSha256: archiveTokenSha256, priority: 'batch'}},
	};
}

/** SHA-256 of the token `archive`. */
const archiveTokenSha256 = '0eb3e36bfb24dcd9bb1d1bece1531216b59539a8fde17ee80224af0653c92aa3';

function petrovModels(): Record<string, unknown> {
	const models: Record<string, {service: string; memoryMb: number; adapters: Record<string, {memoryMb: number}>}> = {};
	for (let index = 0; index < MODEL_COUNT; index++) {
		models[modelName(index)] = {service: 'inspect-llm', memoryMb: MODEL_MB, adapters: {}};
	}

	for (let index = 0; index < ADAPTER_COUNT; index++) {
		const model = models[modelName(index % MODEL_COUNT)];
		if (model) {
			model.adapters[`soil-${String(index + 1).padStart(2, '0')}`] = {memoryMb: 0};
		}
	}

	return models;
}

export const petrovDeployment: DeploymentOptions = {
	zones,
	daemonsPerZone: 2,
	enginesPerZone: 2,
	servicesPerZone: 1,
	engine: {memoryMb: ENGINE_MB, words: 24, wordDelayMs: 10},
	patch: petrovPatch,
	logLevel: 'error',
};
