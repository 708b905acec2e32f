/**
The weight store's rate over all zones, without a coordinator.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {testConfiguration} from '../../../test/standins/configurations.js';
import {Simulation} from '../../../test/standins/simulation.js';

const PER_SECOND = 1.5;
const AT_ONCE = 6;
const LOAD_MS = 3000;
const MODELS = 60;

type Run = {
	/** When each load was started. */
	readonly starts: readonly number[];
	readonly mostAtOnce: number;
};

/** Loads all models in the given zones and notes when each load began. */
function loadAll(zones: readonly string[], busyZones: number): Run {
	const starts: number[] = [];
	let underWay = 0;
	let mostAtOnce = 0;
	const world: Simulation = new Simulation({
		seed: 8, orderScript() {
			starts.push(world.nowMs);
			underWay++;
			mostAtOnce = Math.max(mostAtOnce, underWay);
			world.after(LOAD_MS, () => {
				underWay--;
			});
			return {arrivesAfterMs: LOAD_MS, answerLost: false};
		},
	});
	const targets = zones.map((zone, index) => ({
		id: `e-${zone}`,
		zone,
		gateway: 'engine-fenced' as const,
		// A zone without room has nothing to load.
		memoryMb: index < busyZones ? MODELS * 10 : 5,
	}));
	for (const {id} of targets) {
		world.addTarget({id, checksFencing: true});
	}

	for (const zone of zones) {
		world.addNode(`n-${zone}`, zone);
	}

	world.configure({
		version: 1, configuration: testConfiguration({
			targets,
			models: Object.fromEntries(Array.from({length: MODELS}, (_, index) => [`m${index}`, 10])),
			limits: {weightLoadsPerSecond: PER_SECOND, weightLoadsAtOnce: AT_ONCE},
		}),
	});
	world.run(60_000);
	return {starts, mostAtOnce};
}

/** Most loads started within any window of ten seconds. */
function mostInTenSeconds(starts: readonly number[]): number {
	return Math.max(...starts.map(start => starts.filter(other => other >= start && other < start + 10_000).length));
}

for (const [name, zones, busy] of [
	['three zones that all load', ['a', 'b', 'c'], 3],
	['one zone that borrows from two idle ones', ['a', 'b', 'c'], 1],
] as const) {
	test(`${name} keep to the weight store's rate and use most of it`, () => {
		const {starts, mostAtOnce} = loadAll(zones, busy);
		// Each zone may start with a token in hand, and one more while its neighbours hear of it.
		const allowance = zones.length * 2;
		assert.ok(mostInTenSeconds(starts) <= (PER_SECOND * 10) + allowance, `${mostInTenSeconds(starts)} loads in ten seconds`);
		assert.ok(mostAtOnce <= AT_ONCE + 1, `${mostAtOnce} loads at once`);
		const first = starts[0] ?? 0;
		const used = starts.filter(start => start < first + 20_000).length / 20;
		assert.ok(used >= PER_SECOND * 0.75, `${used} loads a second`);
	});
}
