/**
An owner pauses between its last check and the connection for a load order, loses
its lease, and wakes after the new owner wants the room for another model.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {testConfiguration} from '../../../test/standins/configurations.js';
import {Simulation, type Node} from '../../../test/standins/simulation.js';
import {committedMb} from './ledger.js';

const MEMORY_MB = 1000;
const MODEL_MB = 600;
const TAKEOVER_MS = 25_000;
const PLAN_MS = 20_000;

type Gateway = 'engine-fenced' | 'engine-unfenced';

function configure(world: Simulation, gateway: Gateway, version: number, model: string): void {
	world.configure({
		version, configuration: testConfiguration({
			targets: [{
				id: 'engine',
				zone: 'plovdiv',
				gateway,
				memoryMb: MEMORY_MB,
			}],
			models: {[model]: MODEL_MB},
			limits: {weightLoadsPerSecond: 30, weightLoadsAtOnce: 30},
		}),
	});
}

for (const gateway of ['engine-fenced', 'engine-unfenced'] as const) {
	for (const restarts of ['never', 'before the owner wakes', 'as the owner wakes', 'before the takeover'] as const) {
		test(`${gateway}, restarting ${restarts}: the order of an owner that wakes late finds its room`, () => {
			let paused: Node | undefined;
			const world = new Simulation({
				seed: 3, orderScript(_world, node) {
					const pausesSender = paused === undefined;
					paused ??= node;
					return {arrivesAfterMs: 5, answerLost: false, pausesSender};
				},
			});
			const engine = world.addTarget({id: 'engine', checksFencing: gateway === 'engine-fenced'});
			const nodes = [world.addNode('p1', 'plovdiv'), world.addNode('p2', 'plovdiv')];
			const restart = () => {
				engine.crash();
				engine.restart();
			};

			configure(world, gateway, 1, 'a');
			assert.ok(world.runUntil(() => paused !== undefined, 20_000));
			if (restarts === 'before the takeover') {
				restart();
			}

			world.run(TAKEOVER_MS);
			const successor = nodes.find(node => node !== paused)!;
			assert.ok(successor.state.placement.ledgers.size > 0, 'the other instance took over');
			configure(world, gateway, 2, 'b');
			world.run(PLAN_MS);
			if (restarts === 'before the owner wakes') {
				restart();
				world.run(PLAN_MS);
			}

			if (restarts === 'as the owner wakes') {
				restart();
			}

			world.resume(paused!);
			world.run(PLAN_MS);
			assert.ok(engine.peakMemoryMb <= MEMORY_MB, `the engine held ${engine.peakMemoryMb} MB`);
			for (const {state} of nodes) {
				const row = state.placement.ledgers.get('engine')?.row;
				assert.ok(row === undefined || committedMb(row) >= engine.memoryMb, 'the ledger counts less than the engine holds');
			}

			// The old owner has said by now that it sends no more, so the next restart frees the room.
			world.run(PLAN_MS);
			restart();
			assert.ok(world.runUntil(() => engine.resident.has('b@1'), 60_000), 'the wanted model becomes resident in the end');
			assert.ok(engine.peakMemoryMb <= MEMORY_MB);
		});
	}
}

test('engine-fenced: a reload without the journal, sent late by a paused owner, finds its room', () => {
	let pausing = false;
	let paused: Node | undefined;
	const world = new Simulation({
		seed: 3, orderScript(_world, node) {
			const pausesSender = pausing;
			if (pausing) {
				paused = node;
				pausing = false;
			}

			return {arrivesAfterMs: 5, answerLost: false, pausesSender};
		},
	});
	const engine = world.addTarget({id: 'engine', checksFencing: true});
	const nodes = [world.addNode('p1', 'plovdiv'), world.addNode('p2', 'plovdiv')];
	const restart = () => {
		engine.crash();
		engine.restart();
	};

	configure(world, 'engine-fenced', 1, 'a');
	assert.ok(world.runUntil(() => engine.resident.has('a@1'), 20_000));
	world.run(PLAN_MS);
	// The engine loses its copy while the table is down: the owner gives it back at once.
	world.table.fault = () => 'unavailable';
	world.run(15_000);
	restart();
	assert.ok(world.runUntil(() => engine.resident.has('a@1'), 10_000), 'reloaded without the table');
	pausing = true;
	restart();
	assert.ok(world.runUntil(() => paused !== undefined, 10_000), 'the owner pauses over another reload');
	world.table.fault = () => 'none';
	world.run(TAKEOVER_MS);
	const successor = nodes.find(node => node !== paused)!;
	assert.ok(successor.state.placement.ledgers.size > 0, 'the other instance took over');
	configure(world, 'engine-fenced', 2, 'b');
	world.run(PLAN_MS);
	restart();
	world.resume(paused!);
	world.run(PLAN_MS);
	assert.ok(engine.peakMemoryMb <= MEMORY_MB, `the engine held ${engine.peakMemoryMb} MB`);
	assert.ok(world.runUntil(() => engine.resident.has('b@1'), 60_000), 'the wanted model becomes resident in the end');
	assert.ok(engine.peakMemoryMb <= MEMORY_MB);
});
