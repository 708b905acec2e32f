/**
An owner pauses between its last lease check and opening the connection for a load
order, loses its lease, and resumes after the new owner wants the memory for another
model. The late order must not make the engine exceed its memory.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {testConfiguration} from '../../../test/standins/configurations.js';
import {Simulation, type SimulatedInstance} from '../../../test/standins/simulation.js';
import {committedMb} from './ledger.js';

const MEMORY_MB = 1000;
const MODEL_MB = 600;
const TAKEOVER_MS = 25_000;
const PLAN_MS = 20_000;

type Gateway = 'engine-fenced' | 'engine-unfenced';

function configure(simulation: Simulation, gateway: Gateway, version: number, model: string): void {
	simulation.configure({
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
	for (const restarts of ['never', 'before the owner resumes', 'when the owner resumes', 'before the takeover'] as const) {
		test(`${gateway}, restarting ${restarts}: the late load order of a resumed owner does not exceed the memory`, () => {
			let paused: SimulatedInstance | undefined;
			const simulation = new Simulation({
				seed: 3, orderScript(_simulation, instance) {
					const pausesSender = paused === undefined;
					paused ??= instance;
					return {arrivesAfterMs: 5, answerLost: false, pausesSender};
				},
			});
			const engine = simulation.addTarget({id: 'engine', checksFencing: gateway === 'engine-fenced'});
			const instances = [simulation.addInstance('p1', 'plovdiv'), simulation.addInstance('p2', 'plovdiv')];
			const restart = () => {
				engine.crash();
				engine.restart();
			};

			configure(simulation, gateway, 1, 'a');
			assert.ok(simulation.runUntil(() => paused !== undefined, 20_000));
			if (restarts === 'before the takeover') {
				restart();
			}

			simulation.run(TAKEOVER_MS);
			const successor = instances.find(instance => instance !== paused)!;
			assert.ok(successor.state.placement.ledgers.size > 0, 'the other instance took over');
			configure(simulation, gateway, 2, 'b');
			simulation.run(PLAN_MS);
			if (restarts === 'before the owner resumes') {
				restart();
				simulation.run(PLAN_MS);
			}

			if (restarts === 'when the owner resumes') {
				restart();
			}

			simulation.resume(paused!);
			simulation.run(PLAN_MS);
			assert.ok(engine.peakMemoryMb <= MEMORY_MB, `the engine held ${engine.peakMemoryMb} MB`);
			for (const {state} of instances) {
				const row = state.placement.ledgers.get('engine')?.row;
				assert.ok(row === undefined || committedMb(row) >= engine.memoryMb, 'the ledger counts less than the engine holds');
			}

			// By now the old owner has closed its epoch, so the next restart frees the memory.
			simulation.run(PLAN_MS);
			restart();
			assert.ok(simulation.runUntil(() => engine.resident.has('b@1'), 60_000), 'the configured model becomes resident');
			assert.ok(engine.peakMemoryMb <= MEMORY_MB);
		});
	}
}

test('engine-fenced: a reload sent late by a paused owner, without a ledger write, does not exceed the memory', () => {
	let pausing = false;
	let paused: SimulatedInstance | undefined;
	const simulation = new Simulation({
		seed: 3, orderScript(_simulation, instance) {
			const pausesSender = pausing;
			if (pausing) {
				paused = instance;
				pausing = false;
			}

			return {arrivesAfterMs: 5, answerLost: false, pausesSender};
		},
	});
	const engine = simulation.addTarget({id: 'engine', checksFencing: true});
	const instances = [simulation.addInstance('p1', 'plovdiv'), simulation.addInstance('p2', 'plovdiv')];
	const restart = () => {
		engine.crash();
		engine.restart();
	};

	configure(simulation, 'engine-fenced', 1, 'a');
	assert.ok(simulation.runUntil(() => engine.resident.has('a@1'), 20_000));
	simulation.run(PLAN_MS);
	// The engine loses its copy while the table is down; the owner loads it again at once.
	simulation.table.fault = () => 'unavailable';
	simulation.run(15_000);
	restart();
	assert.ok(simulation.runUntil(() => engine.resident.has('a@1'), 10_000), 'reloaded without the table');
	pausing = true;
	restart();
	assert.ok(simulation.runUntil(() => paused !== undefined, 10_000), 'the owner pauses while it reloads the copy again');
	simulation.table.fault = () => 'none';
	simulation.run(TAKEOVER_MS);
	const successor = instances.find(instance => instance !== paused)!;
	assert.ok(successor.state.placement.ledgers.size > 0, 'the other instance took over');
	configure(simulation, 'engine-fenced', 2, 'b');
	simulation.run(PLAN_MS);
	restart();
	simulation.resume(paused!);
	simulation.run(PLAN_MS);
	assert.ok(engine.peakMemoryMb <= MEMORY_MB, `the engine held ${engine.peakMemoryMb} MB`);
	assert.ok(simulation.runUntil(() => engine.resident.has('b@1'), 60_000), 'the configured model becomes resident');
	assert.ok(engine.peakMemoryMb <= MEMORY_MB);
});
