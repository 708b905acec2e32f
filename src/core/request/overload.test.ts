/**
Overload at ten times the capacity and the recovery from it: guards against urgent requests
missing their deadlines and against retry storms.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type Priority} from '../configuration/types.js';
import {promptArrival, testConfiguration} from '../../../test/standins/configurations.js';
import {Simulation, type SimulatedInstance} from '../../../test/standins/simulation.js';

const SERVICE_MS = 200;
const SLOTS = 4;
const OVERLOAD_MS = 10_000;
const CALM_MS = 10_000;
/** After this time the deadlines of all requests that arrived during the overload have passed. */
const RECOVERY_MS = 4000;

/** Arrivals per second; two engines serve 40. */
const OVERLOAD_RATE = 400;
const CALM_RATE = 20;

/** Every twentieth request is urgent, which is half of the capacity at ten times the load. */
const URGENT_EVERY = 20;
const BATCH_EVERY = 2;
const deadlinesMs: Readonly<Record<Priority, number>> = {urgent: 2000, normal: 4000, batch: 4000};

type Sent = {readonly id: string; readonly priority: Priority; readonly atMs: number};

test('at ten times the capacity urgent requests are answered in time, batch requests are deferred first, and no retry storm follows', () => {
	let tries = 0;
	const simulation = new Simulation({
		seed: 13, tryScript() {
			tries++;
			return {serviceMs: SERVICE_MS};
		},
	});
	const targets = ['e0', 'e1'].map(id => ({
		id,
		zone: 'z',
		gateway: 'engine-unfenced' as const,
		memoryMb: 1000,
		slots: SLOTS,
	}));
	for (const {id} of targets) {
		simulation.addTarget({id, slots: SLOTS, resident: {'m@1': 100}});
	}

	const instances = ['p1', 'p2', 'p3'].map(id => simulation.addInstance(id, 'z'));
	simulation.configure({version: 1, configuration: testConfiguration({targets, models: {m: 100}})});
	simulation.run(1000);
	const sent: Sent[] = [];
	const send = (rate: number, durationMs: number) => {
		for (let index = 0; index < (rate * durationMs) / 1000; index++) {
			const priority = index % URGENT_EVERY === 0 ? 'urgent' : (index % BATCH_EVERY === 0 ? 'batch' : 'normal');
			const id = `r${sent.length}`;
			sent.push({id, priority, atMs: simulation.nowMs});
			simulation.arrive(instances[index % instances.length]!, promptArrival(id, 'm', {priority, deadlineMs: deadlinesMs[priority]}));
			simulation.run(1000 / rate);
		}
	};

	const shareInTime = (chosen: readonly Sent[]) => chosen.filter(({id, atMs, priority}) => {
		const outcome = simulation.outcomes.get(id);
		return outcome?.kind === 'answered' && outcome.atMs <= atMs + deadlinesMs[priority];
	}).length / chosen.length;

	send(OVERLOAD_RATE, OVERLOAD_MS);
	const overloaded = sent.length;
	simulation.run(RECOVERY_MS);
	send(CALM_RATE, CALM_MS);
	simulation.run(10_000);
	const during = sent.slice(0, overloaded);
	assert.ok(shareInTime(during.filter(({priority}) => priority === 'urgent')) >= 0.99);
	assert.ok(shareInTime(during.filter(({priority}) => priority === 'normal')) > shareInTime(during.filter(({priority}) => priority === 'batch')));
	assert.equal(shareInTime(sent.slice(overloaded)), 1, 'every request is answered in time once the overload has ended');
	assert.equal(simulation.outcomes.size, sent.length, 'every request has an outcome');
	assert.ok(tries <= sent.length, 'no more tries than requests');
	for (const outcome of simulation.outcomes.values()) {
		assert.ok(outcome.kind !== 'refused' || (outcome.retryAfterMs ?? 0) > 0, 'every refusal states when to retry');
	}
});
