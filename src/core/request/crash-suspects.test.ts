/**
Requests that crash their targets, other requests in flight at the same targets, and
silent connections. Guards against repeated crashes by resent requests, refusal of
requests that merely shared a target with a crash, and demotion of a healthy target.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {promptArrival, testConfiguration} from '../../../test/standins/configurations.js';
import {Simulation, type SimulatedInstance, type RequestOutcome} from '../../../test/standins/simulation.js';

const TARGETS = 4;
const SERVICE_MS = 300;
const RESTART_MS = 3000;
const CRASHING_CONTENT = 'culprit';
const SLOW_CONTENT = 'slow';
/** Longer than a try may be silent before its target is probed. */
const SLOW_MS = 9000;

type Setup = {
	readonly simulation: Simulation;
	readonly instances: SimulatedInstance[];
	/** Content hashes that crash the target's process when run. */
	readonly crashing: Set<string>;
	/** Content hashes whose first try gets no answer. */
	readonly silent: Set<string>;
};

function setUp(): Setup {
	const crashing = new Set<string>();
	const silent = new Set<string>();
	const simulation = new Simulation({
		seed: 21, tryScript(current, _instance, effect) {
			const content = current.arrivals.get(effect.requestId)?.contentHash ?? '';
			return {serviceMs: content === SLOW_CONTENT ? SLOW_MS : SERVICE_MS, crashes: crashing.has(content), silent: silent.has(content) && effect.tryNumber === 1};
		},
	});
	const targets = Array.from({length: TARGETS}, (_, index) => ({
		id: `e${index}`,
		zone: 'plovdiv',
		gateway: 'engine-unfenced' as const,
		memoryMb: 1000,
	}));
	for (const {id} of targets) {
		const target = simulation.addTarget({id, resident: {'m@1': 100}});
		const crash = target.crash.bind(target);
		target.crash = () => {
			crash();
			simulation.after(RESTART_MS, () => {
				target.restart();
				target.resident.set('m@1', 100);
			});
		};
	}

	const instances = ['p1', 'p2', 'p3'].map(id => simulation.addInstance(id, 'plovdiv'));
	simulation.configure({version: 1, configuration: testConfiguration({targets, models: {m: 100}})});
	simulation.run(1000);
	return {
		simulation, instances, crashing, silent,
	};
}

function crashes({simulation}: Setup): number {
	return [...simulation.targets.values()].reduce((sum, target) => sum + target.crashes, 0);
}

/** Sends other requests, which run at the same targets as the crashing ones. */
function sendNeighbours({simulation, instances}: Setup, count: number): string[] {
	return Array.from({length: count}, (_, index) => {
		const id = `neighbour-${simulation.nowMs}-${index}`;
		simulation.arrive(instances[index % instances.length]!, promptArrival(id, 'm', {deadlineMs: 30_000}));
		return id;
	});
}

function outcomesOf({simulation}: Setup, ids: readonly string[]): Array<RequestOutcome['kind'] | undefined> {
	return ids.map(id => simulation.outcomes.get(id)?.kind);
}

test('a crashing request crashes at most two targets, however often and to whichever instance it is resent, and no other request is refused', () => {
	const setup = setUp();
	const {simulation, instances, crashing} = setup;
	crashing.add(CRASHING_CONTENT);
	const neighbours: string[] = [];
	for (let resend = 0; resend < 8; resend++) {
		neighbours.push(...sendNeighbours(setup, 12));
		simulation.arrive(instances[resend % instances.length]!, promptArrival(`culprit-${resend}`, 'm', {contentHash: CRASHING_CONTENT, deadlineMs: 20_000}));
		neighbours.push(...sendNeighbours(setup, 12));
		simulation.run(4000);
	}

	simulation.run(40_000);
	assert.ok(crashes(setup) <= 2, `${crashes(setup)} targets were lost`);
	assert.deepEqual(new Set(outcomesOf(setup, neighbours)), new Set(['answered']));
	for (let resend = 0; resend < 8; resend++) {
		const outcome = simulation.outcomes.get(`culprit-${resend}`);
		assert.equal(outcome?.kind === 'refused' && outcome.code, 'crash-refused');
	}
});

// Guards against counting crashes by the whole content, by which requests that share only the part at fault are strangers.
test('requests with one prompt prefix, no two alike, crash at most five targets, and no other request is refused', () => {
	const setup = setUp();
	const {simulation, instances, crashing} = setup;
	const neighbours: string[] = [];
	for (let index = 0; index < 8; index++) {
		const contentHash = `${CRASHING_CONTENT} ${index}`;
		crashing.add(contentHash);
		neighbours.push(...sendNeighbours(setup, 12));
		simulation.arrive(instances[index % instances.length]!, promptArrival(contentHash, 'm', {contentHash, prefixHash: 'shared', deadlineMs: 20_000}));
		simulation.run(4000);
	}

	simulation.run(40_000);
	assert.deepEqual(new Set(outcomesOf(setup, neighbours)), new Set(['answered']));
	assert.ok(crashes(setup) <= 5, `${crashes(setup)} targets were lost`);
});

test('two crashing requests at the same time crash at most two targets each, and no other request is refused', () => {
	const setup = setUp();
	const {simulation, instances, crashing} = setup;
	crashing.add('a').add('b');
	const neighbours = sendNeighbours(setup, 10);
	simulation.arrive(instances[0]!, promptArrival('first', 'm', {contentHash: 'a', deadlineMs: 30_000}));
	simulation.arrive(instances[1]!, promptArrival('second', 'm', {contentHash: 'b', deadlineMs: 30_000}));
	simulation.run(60_000);
	assert.ok(crashes(setup) <= 4, `${crashes(setup)} targets were lost`);
	assert.deepEqual(new Set(outcomesOf(setup, neighbours)), new Set(['answered']));
});

test('a popular prompt is not quarantined after two unrelated crashes of targets that ran it', () => {
	const setup = setUp();
	const {simulation, instances} = setup;
	const ids: string[] = [];
	for (let wave = 0; wave < 20; wave++) {
		for (let index = 0; index < 6; index++) {
			const id = `popular-${wave}-${index}`;
			ids.push(id);
			simulation.arrive(instances[index % instances.length]!, promptArrival(id, 'm', {contentHash: 'popular', deadlineMs: 30_000}));
		}

		simulation.run(100);
		if (wave === 8 || wave === 12) {
			const busiest = [...simulation.targets.values()].toSorted((a, b) => b.running.size - a.running.size)[0];
			assert.ok((busiest?.running.size ?? 0) > 0, 'the target must run the popular prompt when it crashes');
			busiest?.crash();
		}
	}

	simulation.run(30_000);
	assert.deepEqual(new Set(outcomesOf(setup, ids)), new Set(['answered']));
	assert.ok(instances.every(({state}) => state.requests.condemned.size === 0));
});

test('a request on a silent connection is retried and its target is not demoted', () => {
	const setup = setUp();
	const {simulation, instances, silent} = setup;
	simulation.arrive(instances[0]!, promptArrival('warm', 'm'));
	simulation.run(2000);
	silent.add('quiet');
	simulation.arrive(instances[0]!, promptArrival('quiet', 'm', {contentHash: 'quiet', deadlineMs: 30_000}));
	simulation.run(20_000);
	assert.equal(simulation.outcomes.get('quiet')?.kind, 'answered');
	const {targets, requests} = (instances[0]!).state;
	assert.ok([...targets.values()].every(({health}) => health === 'up'));
	assert.deepEqual(requests.closed.get('quiet')?.tries.map(({ended}) => ended), ['silent', 'completed']);
});

// Guards against an answer that is ended early, since its target was silent and no retry was left, though the target was sound.
test('a request whose sound target is silent for long is answered by it when no retry is allowed', () => {
	const {simulation, instances} = setUp();
	const [instance] = instances;
	simulation.arrive(instance!, promptArrival('warm', 'm'));
	simulation.run(2000);
	instance!.state.requests.retryBudget = 0;
	simulation.arrive(instance!, promptArrival('slow', 'm', {contentHash: SLOW_CONTENT, deadlineMs: 30_000}));
	simulation.run(20_000);
	assert.equal(simulation.outcomes.get('slow')?.kind, 'answered');
	assert.deepEqual(instance!.state.requests.closed.get('slow')?.tries.map(({ended}) => ended), ['completed']);
});
