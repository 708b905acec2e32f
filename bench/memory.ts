/**
Heap memory of the state per model, adapter, target, instance and open request, calculated
from the difference between two core sizes.
*/
import process from 'node:process';
import {PopulatedCore, todaySize, type CoreSize} from './core-size.js';
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
	/** Number of items added to the base size. */
	readonly added: number;
};

const slopes: readonly Slope[] = [
	{figure: 'model with two copies, no adapters', size: {...BASE, adaptersPerModel: 0, models: 3200}, added: 3000},
	{figure: 'adapter', size: {...BASE, adaptersPerModel: 23}, added: 4000},
	{figure: 'target', size: {...BASE, targets: 2060}, added: 2000},
	{figure: 'instance', size: {...BASE, instances: 20_050}, added: 20_000},
	{figure: 'open request', size: {...BASE, openRequests: 3500}, added: 3000},
];

/** Keeps the cores reachable, so that they are not garbage collected while the heap is measured. */
const retained: PopulatedCore[] = [];
const CORES_PER_MEASUREMENT = 3;

/** Mean heap size per core in bytes, over several cores that are alive at the same time. */
function measureHeapBytes(size: CoreSize): number {
	retained.length = 0;
	globalThis.gc?.();
	const before = process.memoryUsage().heapUsed;
	for (let index = 0; index < CORES_PER_MEASUREMENT; index++) {
		retained.push(new PopulatedCore(size));
	}

	globalThis.gc?.();
	return (process.memoryUsage().heapUsed - before) / CORES_PER_MEASUREMENT;
}

export function benchMemory(): Figure[] {
	if (!globalThis.gc) {
		throw new Error('the memory benchmark needs node --expose-gc');
	}

	// The first measurement is discarded because it includes the memory of compiled code.
	measureHeapBytes(BASE);
	const base = measureHeapBytes(BASE);
	const withoutAdapters = measureHeapBytes({...BASE, adaptersPerModel: 0});
	return slopes.map(({figure, size, added}) => ({
		bench: 'memory',
		figure,
		value: (measureHeapBytes(size) - (size.adaptersPerModel === 0 ? withoutAdapters : base)) / added,
		unit: 'bytes each',
	}));
}
