/**
Requests that crash their targets, other requests in flight at the same targets, and
silent connections. Guards against repeated crashes by resent requests, refusal of
requests that merely shared a target with a crash, and demotion of a healthy target.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {promptArrival, testConfiguration} from '../../../test/standins/configurations.js';
import {Simulation, type Node, type RequestOutcome} from '../../../test/standins/simulation.js';

const TARGETS = 4;
const SERVICE_MS = 300;
const RESTART_MS = 3000;
const CULPRIT = 'culprit';

type Setup = {
	readonly world: Simulation;
	readonly nodes: Node[];
	/** Content hashes that crash the target's process when run. */
	readonly crashing: Set<string>;
	/** Content hashes whose first try gets no answer. */
	readonly silent: Set<string>;
};

function setUp(): Setup {
	const crashing = new Set<string>();
	const silent = new Set<string>();
	const world = new Simulation({
		seed: 21, tryScript(current, _node, effect) {
			const content = current.arrivals.get(effect.requestId)?.contentHash ?? '';
			return {serviceMs: SERVICE_MS, crashes: crashing.has(content), silent: silent.has(content) && effect.tryNumber === 1};
		},
	});
	const targets = Array.from({length: TARGETS}, (_, index) => ({
		id: `e${index}`,
		zone: 'plovdiv',
		gateway: 'engine-unfenced' as const,
		memoryMb: 1000,
	}));
	for (const {id} of targets) {
		const target = world.addTarget({id, resident: {'m@1': 100}});
		const crash = target.crash.bind(target);
		target.crash = () => {
			crash();
			world.after(RESTART_MS, () => {
				target.restart();
				target.resident.set('m@1', 100);
			});
		};
	}

	const nodes = ['p1', 'p2', 'p3'].map(id => world.addNode(id, 'plovdiv'));
	world.configure({version: 1, configuration: testConfiguration({targets, models: {m: 100}})});
	world.run(1000);
	return {
		world, nodes, crashing, silent,
	};
}

function crashes({world}: Setup): number {
	return [...world.targets.values()].reduce((sum, target) => sum + target.crashes, 0);
}

function sendNeighbours({world, nodes}: Setup, count: number): string[] {
	return Array.from({length: count}, (_, index) => {
		const id = `neighbour-${world.nowMs}-${index}`;
		world.arrive(nodes[index % nodes.length]!, promptArrival(id, 'm', {deadlineMs: 30_000}));
		return id;
	});
}

function outcomesOf({world}: Setup, ids: readonly string[]): Array<RequestOutcome['kind'] | undefined> {
	return ids.map(id => world.outcomes.get(id)?.kind);
}

test('a crashing request costs at most two targets, however often and wherever it is resent; no neighbour is refused', () => {
	const setup = setUp();
	const {world, nodes, crashing} = setup;
	crashing.add(CULPRIT);
	const neighbours: string[] = [];
	for (let resend = 0; resend < 8; resend++) {
		neighbours.push(...sendNeighbours(setup, 12));
		world.arrive(nodes[resend % nodes.length]!, promptArrival(`culprit-${resend}`, 'm', {contentHash: CULPRIT, deadlineMs: 20_000}));
		neighbours.push(...sendNeighbours(setup, 12));
		world.run(4000);
	}

	world.run(40_000);
	assert.ok(crashes(setup) <= 2, `${crashes(setup)} targets were lost`);
	assert.deepEqual(new Set(outcomesOf(setup, neighbours)), new Set(['answered']));
	for (let resend = 0; resend < 8; resend++) {
		const outcome = world.outcomes.get(`culprit-${resend}`);
		assert.equal(outcome?.kind === 'refused' && outcome.code, 'crash-refused');
	}
});

test('two crashing requests at the same time are distinguished', () => {
	const setup = setUp();
	const {world, nodes, crashing} = setup;
	crashing.add('a').add('b');
	const neighbours = sendNeighbours(setup, 10);
	world.arrive(nodes[0]!, promptArrival('first', 'm', {contentHash: 'a', deadlineMs: 30_000}));
	world.arrive(nodes[1]!, promptArrival('second', 'm', {contentHash: 'b', deadlineMs: 30_000}));
	world.run(60_000);
	assert.ok(crashes(setup) <= 4, `${crashes(setup)} targets were lost`);
	assert.deepEqual(new Set(outcomesOf(setup, neighbours)), new Set(['answered']));
});

test('a popular prompt is not quarantined after two unrelated crashes of targets that ran it', () => {
	const setup = setUp();
	const {world, nodes} = setup;
	const ids: string[] = [];
	for (let wave = 0; wave < 20; wave++) {
		for (let index = 0; index < 6; index++) {
			const id = `popular-${wave}-${index}`;
			ids.push(id);
			world.arrive(nodes[index % nodes.length]!, promptArrival(id, 'm', {contentHash: 'popular', deadlineMs: 30_000}));
		}

		world.run(100);
		if (wave === 8 || wave === 12) {
			const busiest = [...world.targets.values()].toSorted((a, b) => b.running.size - a.running.size)[0];
			assert.ok((busiest?.running.size ?? 0) > 0, 'the target must run the popular prompt when it crashes');
			busiest?.crash();
		}
	}

	world.run(30_000);
	assert.deepEqual(new Set(outcomesOf(setup, ids)), new Set(['answered']));
	assert.ok(nodes.every(({state}) => state.requests.condemned.size === 0));
});

test('a request on a silent connection is retried and its target is not demoted', () => {
	const setup = setUp();
	const {world, nodes, silent} = setup;
	world.arrive(nodes[0]!, promptArrival('warm', 'm'));
	world.run(2000);
	silent.add('quiet');
	world.arrive(nodes[0]!, promptArrival('quiet', 'm', {contentHash: 'quiet', deadlineMs: 30_000}));
	world.run(20_000);
	assert.equal(world.outcomes.get('quiet')?.kind, 'answered');
	const {targets, requests} = (nodes[0]!).state;
	assert.ok([...targets.values()].every(({health}) => health === 'up'));
	assert.deepEqual(requests.closed.get('quiet')?.tries.map(({ended}) => ended), ['silent', 'completed']);
});
