/**
Memory accounting of an engine, and how long it takes to load a model into it.
*/
import {type Engine, type EngineModel} from './configuration.js';
import {type PlannedTarget} from './plan-input.js';
import {type ModelCopy} from './target.js';

/** Memory left free by models and by the memory reserved for adapters; each adapter place reserves the largest adapter size. */
export function freeMemoryMb(engine: Engine, copies: readonly ModelCopy[]): number {
	let adapterMb = 0;
	for (const {adapterMb: size} of engine.models.values()) {
		adapterMb = Math.max(adapterMb, size);
	}

	let free = engine.memoryMb - (engine.adapterPlaces * adapterMb);
	for (const {model} of copies) {
		free -= engine.models.get(model)?.sizeMb ?? 0;
	}

	return free;
}

/** Free memory once the models that are being loaded are held too. */
export function unreservedMemoryMb(engine: Engine, target: PlannedTarget): number {
	const pendingCopies = target.loading
		.filter(model => !target.copies.some(copy => copy.model === model))
		.map(model => ({model, version: 0, adapters: []}));
	return freeMemoryMb(engine, [...target.copies, ...pendingCopies]);
}

/** Whether the model's weights are in the target's memory or on its disk, so that a load does not use the weight store. */
export function isCached({inMemory, onDisk}: PlannedTarget, model: string): boolean {
	return inMemory.includes(model) || onDisk.includes(model);
}

export function loadTimeMs({inMemory, onDisk}: Pick<PlannedTarget, 'inMemory' | 'onDisk'>, model: EngineModel): number {
	if (inMemory.includes(model.name)) {
		return model.memoryLoadMs;
	}

	return onDisk.includes(model.name) ? model.diskLoadMs : model.loadMs;
}
