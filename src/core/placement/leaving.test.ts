/**
A copy that is to be unloaded gets no new requests and is unloaded only after its running
requests have ended.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {promptArrival, testConfiguration} from '../../../test/standins/configurations.js';
import {Simulation, type SimulatedInstance} from '../../../test/standins/simulation.js';

const SERVICE_MS = 9000;

test('an unload waits until the requests of all instances on the copy have ended', () => {
	const unloads: number[] = [];
	const simulation: Simulation = new Simulation({
		seed: 6,
		tryScript: () => ({serviceMs: SERVICE_MS}),
		orderScript(_simulation, _instance, order) {
			if (order.kind === 'unload-model') {
				unloads.push(simulation.targets.get('engine')?.running.size ?? 0);
			}

			return {arrivesAfterMs: 5, answerLost: false};
		},
	});
	simulation.addTarget({id: 'engine', checksFencing: true});
	const instances = [simulation.addInstance('p1', 'z'), simulation.addInstance('p2', 'z'), simulation.addInstance('p3', 'z')];
	const configure = (version: number, models: Record<string, number>) => {
		simulation.configure({
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
	assert.ok(simulation.runUntil(() => simulation.targets.get('engine')?.resident.has('a@1') ?? false, 20_000));
	const sendWave = (wave: number) => {
		for (const [index, instance] of instances.entries()) {
			simulation.arrive(instance, promptArrival(`r${wave}-${index}`, 'a'));
		}
	};

	sendWave(1);
	simulation.run(SERVICE_MS + 1000);
	sendWave(2);
	simulation.run(100);
	configure(2, {b: 100});
	simulation.run(40_000);
	assert.deepEqual(unloads, [0], 'one unload, with nothing running');
	assert.ok([...simulation.outcomes.values()].every(({kind}) => kind === 'answered'));
	assert.equal(simulation.outcomes.size, 6);
	assert.equal(simulation.targets.get('engine')?.resident.has('a@1'), false);
});
