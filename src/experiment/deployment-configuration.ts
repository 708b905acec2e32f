/**
The configuration of a modelled deployment, as operators would write it for the pattern.
*/
import {type EngineModel as ModelSizes, type EntryConfiguration} from '../core/entry/configuration.js';
import {type Pattern} from './pattern.js';

export const MODEL_SERVICE = 'models';
export const PLAIN_SERVICE = 'plain';
export const HOST = 'callers.example';

/** Whether an engine that holds a number of models has memory for another one, besides its places for adapters. */
export function hasRoom({engine, models}: Pattern, held: number, {sizeMb}: ModelSizes): boolean {
	return ((held + 1) * sizeMb) + (engine.adapterPlaces * models.adapterMb) <= engine.memoryMb;
}

export function modelName(index: number): string {
	return `model-${index}`;
}

/** Stands for the hash of the workspace's key. */
export function keyHashOf(workspace: number): string {
	return `key-${workspace}`;
}

export function createConfiguration({kinds, models, engine, workspaces, quota}: Pattern): EntryConfiguration {
	return {
		version: 1,
		routes: kinds.map(kind => ({
			name: kind.name,
			host: HOST,
			prefix: `/${kind.name}/`,
			repeat: kind.repeat,
			isStream: kind.prompt !== undefined,
			timeoutMs: kind.deadlineMs,
			objectiveMs: kind.objectiveMs,
			pauseMs: kind.pauseMs,
			patienceMs: kind.patienceMs,
			rank: kind.rank,
			maxAttempts: kind.repeat === 'once' ? 1 : 2,
			destinations: [{service: kind.prompt ? MODEL_SERVICE : PLAIN_SERVICE, weight: 1}],
		})),
		services: new Map([
			[MODEL_SERVICE, {
				name: MODEL_SERVICE,
				maxConnections: 700,
				engine: {
					memoryMb: engine.memoryMb,
					adapterPlaces: engine.adapterPlaces,
					loadsPerSecond: models.loadsPerSecond,
					models: new Map(Array.from({length: models.number}, (_, index) => [modelName(index), {
						name: modelName(index),
						sizeMb: models.sizeMb,
						loadMs: models.loadMs,
						diskLoadMs: models.diskLoadMs,
						memoryLoadMs: models.memoryLoadMs,
						adapterMb: models.adapterMb,
						adapters: 0,
					}])),
				},
			}],
			[PLAIN_SERVICE, {name: PLAIN_SERVICE, maxConnections: 200, engine: undefined}],
		]),
		limits: {
			headerBytes: 16_384, bodyBytes: 1_000_000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
		},
		workspaces: Array.from({length: workspaces}, (_, index) => ({
			name: `workspace-${index}`, keyHashes: [keyHashOf(index)], rank: undefined, quota: quota && {unit: 'tokens', ...quota},
		})),
	};
}
