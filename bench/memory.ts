/**
Memory of the state for each thing that it holds, as slopes between two sizes.
*/
import process from 'node:process';
import {FilledCore, todaySize, type CoreSize} from './core-size.js';
import {type Figure} from './figure.js';

const BASE: CoreSize = {
	...todaySize,
	models: 200,
	targets: 60,
	instances: 50,
	openRequests: 500,
};

type Slope = {
	readonly figure: string;
	readonly size: CoreSize;
	/** Things added to the base. */
	readonly added: number;
};

const slopes: readonly Slope[] = [
	{figure: 'model with two copies, no adapters', size: {...BASE, adaptersPerModel: 0, models: 3200}, added: 3000},
	{figure: 'adapter', size: {...BASE, adaptersPerModel: 23}, added: 4000},
	{figure: 'target', size: {...BASE, targets: 2060}, added: 2000},
	{figure: 'instance', size: {...BASE, instances: 20_050}, added: 20_000},
	{figure: 'open request', size: {...BASE, openRequests: 3500}, added: 3000},
];

/** Cores that must not be collected while the heap is measured. */
const kept: FilledCore[] = [];
const BUILDS = 3;

/** Heap per core of a size, from several that live at once. */
function heapOf(size: CoreSize): number {
	kept.length = 0;
	globalThis.gc?.();
	const before = process.memoryUsage().heapUsed;
	for (let build = 0; build < BUILDS; build++) {
		kept.push(new FilledCore(size));
	}

	globalThis.gc?.();
	return (process.memoryUsage().heapUsed - before) / BUILDS;
}

export function benchMemory(): Figure[] {
	if (!globalThis.gc) {
		throw new Error('run with --expose-gc');
	}

	// The first build also compiles code.
	heapOf(BASE);
	const base = heapOf(BASE);
	const withoutAdapters = heapOf({...BASE, adaptersPerModel: 0});
	return slopes.map(({figure, size, added}) => ({
		bench: 'memory',
		figure,
		value: (heapOf(size) - (size.adaptersPerModel === 0 ? withoutAdapters : base)) / added,
		unit: 'bytes each',
	}));
}
