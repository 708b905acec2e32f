/**
Order of waiting requests: across workspaces by start-time fair queueing, and as ever
where there are none.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import TinyQueue from 'tinyqueue';
import {route} from '../../../test/standins/entry-harness.js';
import {type EntryRequest} from './types.js';
import {WaitingQueue} from './waiting-queue.js';

type Options = Partial<{workspace: string; rank: number; atMs: number; tokens: number; hasHead: boolean; objectiveMs: number; deadlineMs: number}>;

function request(id: string, {workspace, rank = 1, atMs = 0, tokens = 1000, hasHead = false, objectiveMs = 10_000, deadlineMs = 60_000}: Options = {}): EntryRequest {
	return {
		id,
		arrival: {
			id, host: 'a.example', path: '/', contentHash: id, model: undefined, adapter: undefined, deadlineMs: undefined, promptTokens: tokens, outputTokens: 0,
		},
		route: route({rank, objectiveMs}),
		workspace: workspace === undefined
			? undefined
			: {
				name: workspace, keyHashes: [], rank: undefined, quota: undefined,
			},
		service: 'records',
		queueKey: 'records',
		streamId: id,
		release: undefined,
		trialOf: undefined,
		arrivedAtMs: atMs,
		deadlineAtMs: atMs + deadlineMs,
		patienceEndsAtMs: atMs + deadlineMs,
		tries: [],
		phase: 'queued',
		delivered: 0,
		hasHead,
		mayHaveRun: false,
		declined: 0,
	};
}

function take(queue: WaitingQueue, count: number, nowMs = 0): EntryRequest[] {
	return Array.from({length: count}, () => {
		const first = queue.peek(nowMs)!;
		queue.shift(nowMs);
		return first;
	});
}

function fill(queue: WaitingQueue, workspace: string, count: number, options: Options = {}): void {
	for (let index = 0; index < count; index++) {
		queue.push(request(`${workspace}${index}`, {workspace, ...options}));
	}
}

function countOf(requests: readonly EntryRequest[], name: string): number {
	return requests.filter(({workspace}) => workspace?.name === name).length;
}

// Guards against a workspace that sends much and delays the others of its rank.
test('a request of a quiet workspace goes next though many of a hot one wait', () => {
	const queue = new WaitingQueue();
	fill(queue, 'hot', 100);
	take(queue, 10);
	queue.push(request('quiet', {workspace: 'quiet', atMs: 50}));
	assert.ok(take(queue, 2, 60).some(({id}) => id === 'quiet'));
});

// Guards against a workspace that is served less than a quarter as often as the others while all of them wait.
test('workspaces that wait are served by their tokens alike, whatever they send', () => {
	const queue = new WaitingQueue();
	fill(queue, 'large', 200, {tokens: 4000});
	fill(queue, 'small', 200, {tokens: 1000});
	fill(queue, 'hot', 400, {tokens: 1000});
	const served = take(queue, 180);
	assert.ok(Math.abs(countOf(served, 'small') - countOf(served, 'hot')) <= 1);
	assert.ok(Math.abs((countOf(served, 'large') * 4) - countOf(served, 'small')) <= 4);
});

// Guards against punctual requests of one workspace that keep the late ones of another waiting for good.
test('a workspace all of whose requests are late is served as often as one whose requests are not', () => {
	const queue = new WaitingQueue();
	fill(queue, 'late', 50, {objectiveMs: 10});
	fill(queue, 'punctual', 50, {objectiveMs: 10_000});
	const served = take(queue, 40, 1000);
	assert.ok(Math.abs(countOf(served, 'late') - 20) <= 1);
});

test('ranks come before workspaces, and streams that have begun before both the turns of workspaces', () => {
	const queue = new WaitingQueue();
	fill(queue, 'hot', 5);
	for (const waiting of [request('urgent', {workspace: 'hot', rank: 0}), request('begun', {workspace: 'other', hasHead: true})]) {
		queue.push(waiting);
	}

	assert.deepEqual(take(queue, 2).map(({id}) => id), ['urgent', 'begun']);
});

test('within a workspace, punctual requests go before late ones', () => {
	const queue = new WaitingQueue();
	for (const waiting of [request('late', {workspace: 'a', objectiveMs: 100}), request('punctual', {workspace: 'a', atMs: 50, objectiveMs: 10_000})]) {
		queue.push(waiting);
	}

	assert.deepEqual(take(queue, 2, 1000).map(({id}) => id), ['punctual', 'late']);
});

// Guards against a quiet workspace whose requests are refused because of the backlog of another.
test('the expected wait of a quiet workspace does not count the backlog of a hot one', () => {
	const queue = new WaitingQueue();
	fill(queue, 'hot', 200);
	for (let nowMs = 0; nowMs <= 1000; nowMs += 50) {
		take(queue, 1, nowMs);
	}

	const quietMs = queue.expectedWaitMs(request('quiet', {workspace: 'quiet'}));
	const hotMs = queue.expectedWaitMs(request('hot', {workspace: 'hot'}));
	assert.ok(quietMs <= 100 && hotMs >= 5000, `${quietMs} ms and ${hotMs} ms`);
});

// Guards against state of workspaces that grows with all that ever waited.
test('a workspace that has left the queue leaves nothing behind', () => {
	const queue = new WaitingQueue();
	for (let index = 0; index < 50; index++) {
		const waiting = request(`r${index}`, {workspace: `w${index}`});
		queue.push(waiting);
		if (index % 2 === 0) {
			queue.remove(waiting);
		} else {
			take(queue, 1);
		}
	}

	assert.equal(queue.waiting, 0);
	const {_flows: flows} = queue as unknown as {_flows: ReadonlyMap<string, unknown>};
	assert.equal(flows.size, 1);
});

/** The order of the builds before workspaces, by its definition. */
class EarlierQueue {
	private readonly _dueAtMs = ({arrivedAtMs, route: {objectiveMs}}: EntryRequest) => arrivedAtMs + objectiveMs;
	private readonly _punctual = new TinyQueue<EntryRequest>([], (a, b) => a.route.rank - b.route.rank || Number(b.hasHead) - Number(a.hasHead) || this._dueAtMs(a) - this._dueAtMs(b));
	private readonly _late = new TinyQueue<EntryRequest>([], (a, b) => a.route.rank - b.route.rank || a.deadlineAtMs - b.deadlineAtMs);

	push(waiting: EntryRequest): void {
		this._punctual.push(waiting);
	}

	shift(nowMs: number): EntryRequest | undefined {
		for (let first = this._punctual.peek(); first && !first.hasHead && this._dueAtMs(first) < nowMs; first = this._punctual.peek()) {
			this._punctual.pop();
			this._late.push(first);
		}

		const punctual = this._punctual.peek();
		const late = this._late.peek();
		return late !== undefined && (punctual === undefined || late.route.rank < punctual.route.rank) ? this._late.pop() : this._punctual.pop();
	}
}

// Guards against another order for deployments without workspaces.
test('without workspaces requests go in the order of earlier builds', () => {
	const steps = fc.array(fc.record({
		rank: fc.integer({min: 0, max: 2}), hasHead: fc.boolean(), objectiveMs: fc.integer({min: 10, max: 500}), deadlineMs: fc.integer({min: 500, max: 3000}), tokens: fc.integer({min: 0, max: 5000}), takes: fc.integer({min: 0, max: 2}), afterMs: fc.integer({min: 0, max: 60}),
	}), {minLength: 1, maxLength: 60});
	fc.assert(fc.property(steps, list => {
		const queue = new WaitingQueue();
		const earlier = new EarlierQueue();
		let nowMs = 0;
		for (const [index, {takes, afterMs, ...options}] of list.entries()) {
			nowMs += afterMs;
			const waiting = request(`r${index}`, {...options, atMs: nowMs});
			queue.push(waiting);
			earlier.push(waiting);
			for (let number = 0; number < takes && queue.waiting > 0; number++) {
				assert.equal(take(queue, 1, nowMs)[0], earlier.shift(nowMs));
			}
		}

		while (queue.waiting > 0) {
			assert.equal(take(queue, 1, nowMs)[0], earlier.shift(nowMs));
		}
	}), {seed: 11, numRuns: 200});
});
