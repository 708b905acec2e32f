/**
A copy that is to be unloaded gets no new requests, and those that run there end first.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {promptArrival, testConfiguration} from '../../../test/standins/configurations.js';
import {Simulation, type Node} from '../../../test/standins/simulation.js';

const SERVICE_MS = 9000;

test('an unload waits for requests of every instance on the copy', () => {
	const unloads: number[] = [];
	const world: Simulation = new Simulation({
		seed: 6,
		tryScript: () => ({serviceMs: SERVICE_MS}),
		orderScript(_world, _node, order) {
			if (order.kind === 'unload-model') {
				unloads.push(world.targets.get('engine')?.running.size ?? 0);
			}

			return {arrivesAfterMs: 5, answerLost: false};
		},
	});
	world.addTarget({id: 'engine', checksFencing: true});
	const nodes = [world.addNode('p1', 'z'), world.addNode('p2', 'z'), world.addNode('p3', 'z')];
	const configure = (version: number, models: Record<string, number>) => {
		world.configure({
			version, configuration: testConfiguration({
				targets: [{
					id: 'engine',
					zone: 'z',
					gateway: 'engine-fenced',
					memoryMb: 1000,
				}],
				models,
				limits: {weightLoadsPerSecond: 30, weightLoadsAtOnce: 30},
			}),
		});
	};

	configure(1, {a: 100});
	assert.ok(world.runUntil(() => world.targets.get('engine')?.resident.has('a@1') ?? false, 20_000));
	const ask = (wave: number) => {
		for (const [index, node] of nodes.entries()) {
			world.arrive(node, promptArrival(`r${wave}-${index}`, 'a'));
		}
	};

	ask(1);
	world.run(SERVICE_MS + 1000);
	ask(2);
	world.run(100);
	configure(2, {b: 100});
	world.run(40_000);
	assert.deepEqual(unloads, [0], 'one unload, with nothing running');
	assert.ok([...world.outcomes.values()].every(({kind}) => kind === 'answered'));
	assert.equal(world.outcomes.size, 6);
	assert.equal(world.targets.get('engine')?.resident.has('a@1'), false);
});
