/**
The zones together stay within the weight store's limits without a coordinator.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {testConfiguration} from '../../../test/standins/configurations.js';
import {Simulation} from '../../../test/standins/simulation.js';

const PER_SECOND = 1.5;
const MAX_CONCURRENT = 6;
const LOAD_MS = 3000;
const MODELS = 60;

type Run = {
	/** Start time of each load. */
	readonly starts: readonly number[];
	readonly maxConcurrent: number;
};

/** Loads all models in the given zones and records when each load started. */
function loadAll(zones: readonly string[], busyZones: number): Run {
	const starts: number[] = [];
	let inProgress = 0;
	let maxConcurrent = 0;
	const simulation: Simulation = new Simulation({
		seed: 8, orderScript() {
			starts.push(simulation.nowMs);
			inProgress++;
			maxConcurrent = Math.max(maxConcurrent, inProgress);
			simulation.after(LOAD_MS, () => {
				inProgress--;
			});
			return {arrivesAfterMs: LOAD_MS, answerLost: false};
		},
	});
	const targets = zones.map((zone, index) => ({
		id: `e-${zone}`,
		zone,
		gateway: 'engine-fenced' as const,
		// A zone without enough memory has nothing to load.
		memoryMb: index < busyZones ? MODELS * 10 : 5,
	}));
	for (const {id} of targets) {
		simulation.addTarget({id, checksFencing: true});
	}

	for (const zone of zones) {
		simulation.addInstance(`n-${zone}`, zone);
	}

	simulation.configure({
		version: 1, configuration: testConfiguration({
			targets,
			models: Object.fromEntries(Array.from({length: MODELS}, (_, index) => [`m${index}`, 10])),
			limits: {weightLoadsPerSecond: PER_SECOND, weightLoadsAtOnce: MAX_CONCURRENT},
		}),
	});
	simulation.run(60_000);
	return {starts, maxConcurrent};
}

/** Largest number of loads started within any window of ten seconds. */
function maxStartsInTenSeconds(starts: readonly number[]): number {
	return Math.max(...starts.map(start => starts.filter(other => other >= start && other < start + 10_000).length));
}

for (const [name, zones, busy] of [
	['three zones that all load', ['a', 'b', 'c'], 3],
	['one zone that borrows from two idle ones', ['a', 'b', 'c'], 1],
] as const) {
	test(`${name}: loads stay within the weight store's rate and use most of it`, () => {
		const {starts, maxConcurrent} = loadAll(zones, busy);
		// Each zone may start with one token, and with one more until the other zones learn that it is no longer idle.
		const allowance = zones.length * 2;
		assert.ok(maxStartsInTenSeconds(starts) <= (PER_SECOND * 10) + allowance, `${maxStartsInTenSeconds(starts)} loads in ten seconds`);
		assert.ok(maxConcurrent <= MAX_CONCURRENT + 1, `${maxConcurrent} loads at once`);
		const first = starts[0] ?? 0;
		const usedPerSecond = starts.filter(start => start < first + 20_000).length / 20;
		assert.ok(usedPerSecond >= PER_SECOND * 0.75, `${usedPerSecond} loads a second`);
	});
}
