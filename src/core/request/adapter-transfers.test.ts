/**
Guards against more concurrent adapter transfers than the limit that all instances share;
beyond it transfers slow down.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {promptArrival, testConfiguration} from '../../../test/standins/configurations.js';
import {Simulation, type SimulatedInstance} from '../../../test/standins/simulation.js';

const TRANSFER_LIMIT = 6;
const REQUESTS = 60;

test('concurrent adapter transfers over all instances stay within the limit, and every request is answered', () => {
	const simulation = new Simulation({seed: 2, tryScript: () => ({serviceMs: 50})});
	const targets = ['e0', 'e1', 'e2'].map(id => ({
		id,
		zone: 'z',
		gateway: 'engine-unfenced' as const,
		memoryMb: 1000,
		slots: 32,
	}));
	for (const {id} of targets) {
		simulation.addTarget({id, slots: 32, resident: {'m@1': 100}});
	}

	const instances = ['p1', 'p2', 'p3'].map(id => simulation.addInstance(id, 'z'));
	const configuration = testConfiguration({targets, models: {m: 100}, limits: {adapterTransfersAtOnce: TRANSFER_LIMIT}});
	const model = configuration.models.m;
	assert.ok(model);
	simulation.configure({version: 1, configuration: {...configuration, models: {m: {...model, adapters: {clay: {version: 1, memoryMb: 0}}}}}});
	simulation.run(1000);
	for (let index = 0; index < REQUESTS; index++) {
		simulation.arrive(instances[index % instances.length]!, promptArrival(`r${index}`, 'clay', {deadlineMs: 60_000}));
	}

	let peak = 0;
	for (let step = 0; step < 2000 && simulation.outcomes.size < REQUESTS; step++) {
		peak = Math.max(peak, instances.reduce((sum, {state}) => sum + state.requests.adapterTransfers.size, 0));
		simulation.run(5);
	}

	assert.ok(peak > 0 && peak <= TRANSFER_LIMIT, `${peak} concurrent transfers`);
	assert.deepEqual(new Set([...simulation.outcomes.values()].map(({kind}) => kind)), new Set(['answered']));
	assert.equal(simulation.outcomes.size, REQUESTS);
});
