/**
Silent targets: a try is given up only for another one that has brought the answer. A
sound target may pause for a second and go on, and a stream whose head was passed on can
only end whole or cut off.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	beacon, engineEntry, EntryHarness, effectsOfKind, instance, route,
} from '../../../test/standins/entry-harness.js';
import {type EntryEffect} from './effect.js';
import {failureRateOf} from './failure-rates.js';
import {isLeaseVacant} from './lease.js';
import {retryBudget} from './retry-budgets.js';
import {type EntryArrival} from './types.js';

/** Longer than the pauses of sound targets, and shorter than the time after which callers give up. */
const SILENCE_MS = 1500;

/** A stream that has passed its first event on, and the target that it runs at. */
function beginStream(core: EntryHarness, id: string, overrides: Partial<EntryArrival> = {}): string {
	const [sent] = effectsOfKind(core.arrive(id, '/ask/1', {model: 'm0', deadlineMs: 10_000, ...overrides}), 'send');
	assert.ok(sent);
	core.dispatch({
		kind: 'try-progressed', requestId: id, tryNumber: 1, delivered: 1,
	});
	return sent.targetId;
}

function createCore(): EntryHarness {
	const ask = route({
		name: 'ask', prefix: '/ask/', isStream: true, timeoutMs: 10_000, destinations: [{service: 'llm', weight: 1}], rank: 0,
	});
	return new EntryHarness().configure({routes: [ask]}).readRegistry([engineEntry('e1', ['m0']), engineEntry('e2', ['m0'])]);
}

/** Repeats until the budget refuses one. */
function exhaustRetryBudget(core: EntryHarness): void {
	for (let index = 0; index < 1000; index++) {
		core.arrive(`spent${index}`, '/ask/1', {model: 'm0'});
		const isRetried = effectsOfKind(core.endTry(`spent${index}`, 1, 'broken'), 'send').length > 0;
		core.dispatch({kind: 'caller-left', requestId: `spent${index}`});
		if (!isRetried) {
			return;
		}
	}

	throw new Error('the budget has no end');
}

function assertUntouched(effects: readonly EntryEffect[], what: string): void {
	for (const kind of ['break-off', 'refuse', 'cancel'] as const) {
		assert.deepEqual(effectsOfKind(effects, kind), [], what);
	}
}

// Guards against canceling a try before it is known that another one is allowed, which cut the stream off.
test('the retry budget is used up: a stream whose target pauses stays there and ends whole', () => {
	const core = createCore();
	beginStream(core, 'r');
	exhaustRetryBudget(core);
	assertUntouched(core.advance(SILENCE_MS), 'while the target is silent');
	core.dispatch({
		kind: 'try-progressed', requestId: 'r', tryNumber: 1, delivered: 2,
	});
	assert.equal(effectsOfKind(core.endTry('r', 1, 'answered'), 'deliver').length, 1);
});

// Guards against canceling a try for a target that cannot serve the request: an adapter has to be ordered by a lease holder first.
test('no other target holds the adapter, and no instance may order it: a stream whose target pauses stays there', () => {
	const core = createCore().readRegistry([
		engineEntry('e1', [], {copies: [{model: 'm0', version: 1, adapters: ['a1']}]}), engineEntry('e2', ['m0']),
	]);
	core.advance(100);
	beginStream(core, 'r', {adapter: 'a1'});
	assertUntouched(core.advance(SILENCE_MS), 'while the target is silent');
});

/** A stream whose target has been silent and that was sent to the other one as well. */
function sendBeside(core: EntryHarness, id: string): {readonly first: string; readonly second: string} {
	const first = beginStream(core, id);
	const effects = core.advance(SILENCE_MS);
	assertUntouched(effects, 'while it is sent to the other target as well');
	const [sent] = effectsOfKind(effects, 'send');
	assert.ok(sent && sent.targetId !== first);
	return {first, second: sent.targetId};
}

// Guards against a stream that queues again behind the requests of others, and is cut off when its turn does not come in time.
test('a stream whose target is silent is sent to another one in one step: it never waits in a queue', () => {
	const core = createCore();
	sendBeside(core, 'r');
	assert.equal(core.state.open.get('r')?.phase, 'running');
	assert.deepEqual(core.state.open.get('r')?.tries.map(({outcome}) => outcome), [undefined, undefined]);
});

for (const outcome of ['failed', 'broken', 'not-run', 'not-sent'] as const) {
	// Guards against giving up a sound run for one of which nothing is known: what fails there ended the answer (LOST).
	test(`a stream whose target pauses goes on there when its try at another one has ended as ${outcome}`, () => {
		const core = createCore();
		const {first, second} = sendBeside(core, 'r');
		assertUntouched(core.endTry('r', 2, outcome), 'when the other try ends');
		assert.equal(core.state.targets.get(second)?.inFlight.has('r'), false);
		assert.equal(core.state.targets.get(first)?.inFlight.has('r'), true);
		assertUntouched(core.dispatch({
			kind: 'try-progressed', requestId: 'r', tryNumber: 1, delivered: 2,
		}), 'when it goes on');
		assert.equal(effectsOfKind(core.endTry('r', 1, 'answered'), 'deliver').length, 1);
	});
}

// Guards against a target that counts as failing twice for one try, by its silence and by its end, and is avoided once it serves again.
test('a try that is silent and then breaks counts as one failure of its target', () => {
	const rates = [false, true].map(isSilent => {
		const core = createCore();
		const first = beginStream(core, 'r');
		if (isSilent) {
			core.advance(SILENCE_MS);
		}

		core.endTry('r', 1, 'broken');
		const target = core.state.targets.get(first)!;
		return Math.round(failureRateOf(target, target.failureRateAtMs) * 100);
	});
	assert.equal(rates[1], rates[0]);
});

// Guards against two runs of a stream that go on beside each other.
test('of a stream that was sent to two targets, the try that brings the next event ends the other', () => {
	for (const [winner, loser] of [[1, 2], [2, 1]] as const) {
		const core = createCore();
		const {first, second} = sendBeside(core, 'r');
		const effects = core.dispatch({
			kind: 'try-progressed', requestId: 'r', tryNumber: winner, delivered: 2,
		});
		assert.deepEqual(effectsOfKind(effects, 'cancel').map(({tryNumber}) => tryNumber), [loser]);
		const [kept, ended] = winner === 1 ? [first, second] : [second, first];
		assert.equal(core.state.targets.get(kept)?.inFlight.has('r'), true);
		assert.equal(core.state.targets.get(ended)?.inFlight.has('r'), false);
		assert.equal(effectsOfKind(core.endTry('r', winner, 'answered'), 'deliver').length, 1);
	}
});

// Guards against tries that outlive their request, and against more runs than the route allows.
test('a request that ends, ends all its tries, and has no more of them than its route allows', () => {
	const core = createCore();
	const {first, second} = sendBeside(core, 'r');
	assert.equal(effectsOfKind(core.advance(SILENCE_MS), 'send').length, 0);
	const effects = core.dispatch({kind: 'caller-left', requestId: 'r'});
	assert.deepEqual(effectsOfKind(effects, 'cancel').map(({tryNumber}) => tryNumber), [1, 2]);
	assert.deepEqual([first, second].map(id => core.state.targets.get(id)?.inFlight.size), [0, 0]);
});

// Guards against a stream that is broken off for what it brings, since the try that was sent beside its own has not begun.
test('a stream that goes on is not broken off for what it shares with crashed targets while it is sent to another one as well', () => {
	const core = createCore();
	const part = 'aa';
	const first = beginStream(core, 'r', {promptParts: [part, 'own']});
	const [sent] = effectsOfKind(core.advance(SILENCE_MS), 'send');
	assert.ok(sent && sent.targetId !== first);
	const effects = core.dispatch({
		kind: 'beacon-received', beacon: beacon({
			crashes: ['x1', 'x2', 'x3'].map(targetId => ({
				targetId, incarnation: 1, agoMs: 0, suspects: [`part:${part}`], cleared: [],
			})),
		}),
	});
	assertUntouched(effects, 'when what it brings is at fault');
});

test('no other target has room: a stream whose target pauses stays there alone until one has', () => {
	const core = createCore();
	const first = beginStream(core, 'r');
	const other = first === 'e1' ? 'e2' : 'e1';
	core.dispatch({kind: 'beacon-received', beacon: beacon({loads: [[other, 50, 0]]})});
	assertUntouched(core.advance(SILENCE_MS), 'while the other target is full');
	core.dispatch({kind: 'beacon-received', beacon: beacon()});
	assert.equal(effectsOfKind(core.advance(400), 'send')[0]?.targetId, other);
});

// Guards against suspecting sound targets: pauses of about a second are theirs, and a second try spends the budget of those in need.
test('a pause of one second, which sound targets make, cancels no stream and sends it nowhere else', () => {
	const core = createCore();
	beginStream(core, 'r');
	const effects = core.advance(1000);
	assertUntouched(effects, 'after one second');
	assert.deepEqual(effectsOfKind(effects, 'send'), []);
});

// Guards against measuring a stream's patience from its arrival: a stream older than that was cut off where no target had room at once.
test('a stream that breaks after it has run for long waits for room as long as its caller waits for the next event', () => {
	const core = createCore();
	const first = beginStream(core, 'r');
	const other = first === 'e1' ? 'e2' : 'e1';
	for (let delivered = 2; delivered < 18; delivered++) {
		core.advance(200);
		core.dispatch({
			kind: 'try-progressed', requestId: 'r', tryNumber: 1, delivered,
		});
	}

	core.dispatch({kind: 'beacon-received', beacon: beacon({loads: [[other, 50, 0]]})});
	core.readRegistry([engineEntry(first, ['m0'], {isLeaving: true}), engineEntry(other, ['m0'])]);
	assertUntouched(core.endTry('r', 1, 'broken'), 'when the target breaks');
	assertUntouched(core.advance(600), 'while the other target is full');
	core.dispatch({kind: 'beacon-received', beacon: beacon()});
	assert.equal(effectsOfKind(core.advance(200), 'send')[0]?.targetId, other);
});

// Guards against a stream that has begun and waits behind requests that have not: only its caller cannot be refused and return.
test('a stream that has begun goes before requests of its rank that have not', () => {
	const core = createCore();
	const first = beginStream(core, 'r');
	const other = first === 'e1' ? 'e2' : 'e1';
	core.advance(400);
	core.dispatch({kind: 'beacon-received', beacon: beacon({loads: [[other, 50, 0]]})});
	core.readRegistry([engineEntry(first, ['m0'], {isLeaving: true}), engineEntry(other, ['m0'])]);
	core.arrive('new', '/ask/1', {model: 'm0'});
	core.endTry('r', 1, 'broken');
	core.dispatch({kind: 'beacon-received', beacon: beacon({loads: [[other, 5, 0]]})});
	assert.equal(effectsOfKind(core.advance(200), 'send')[0]?.requestId, 'r');
});

// Guards against a wait that is estimated from the whole queue for a stream that goes first: it was cut off at once where requests without a head waited.
test('a stream that breaks is not cut off because of the requests that it goes before', () => {
	const core = createCore();
	const first = beginStream(core, 'r');
	const other = first === 'e1' ? 'e2' : 'e1';
	core.readRegistry([engineEntry(first, ['m0'], {isLeaving: true}), engineEntry(other, ['m0'])]);
	const sent: string[] = [];
	for (let index = 0; index < 40; index++) {
		sent.push(...effectsOfKind(core.arrive(`b${index}`, '/ask/1', {model: 'm0', deadlineMs: 10_000}), 'send').map(({requestId}) => requestId));
	}

	// Requests leave the queue one by one, so that its rate is known.
	for (let index = 0; index < 10; index++) {
		core.advance(100);
		const ended = sent.shift();
		assert.ok(ended);
		sent.push(...effectsOfKind(core.endTry(ended, 1, 'answered'), 'send').map(({requestId}) => requestId));
	}

	core.dispatch({
		kind: 'try-progressed', requestId: 'r', tryNumber: 1, delivered: 2,
	});
	core.advance(700);
	core.confirmRegistry();
	for (let index = 0; index < 40; index++) {
		core.arrive(`c${index}`, '/ask/1', {model: 'm0', deadlineMs: 10_000});
	}

	assertUntouched(core.endTry('r', 1, 'broken'), 'when the target breaks');
	core.advance(100);
	assert.equal(effectsOfKind(core.endTry(sent.shift()!, 1, 'answered'), 'send')[0]?.requestId, 'r');
});

// Guards against refusing a request for an adapter that a target holds: only a load of the adapter needs a lease holder.
test('no instance holds the lease, and the target that holds the adapter is full: a request waits for it', () => {
	const core = createCore().readRegistry([
		engineEntry('e1', [], {copies: [{model: 'm0', version: 1, adapters: ['a1']}]}), engineEntry('e2', ['m0']),
	]);
	core.dispatch({kind: 'beacon-received', beacon: beacon({lease: {holder: instance('b'), epoch: 1, ageMs: 0}})});
	core.advance(4000);
	core.dispatch({kind: 'beacon-received', beacon: beacon({loads: [['e1', 50, 0]], lease: {holder: instance('b'), epoch: 1, ageMs: 4000}})});
	assert.ok(isLeaseVacant({
		state: core.state, nowMs: core.nowMs, wallMs: core.nowMs, effects: [],
	}));
	assertUntouched(core.arrive('r', '/ask/1', {model: 'm0', adapter: 'a1', deadlineMs: 10_000}), 'while its target is full');
	core.dispatch({kind: 'beacon-received', beacon: beacon({lease: {holder: instance('b'), epoch: 1, ageMs: 4000}})});
	assert.equal(effectsOfKind(core.advance(200), 'send')[0]?.targetId, 'e1');
});

for (const {left, tries} of [{left: 2, tries: 1}, {left: 3, tries: 2}]) {
	// Guards against a move that takes the last retry: the target that it was moved to declines it, and the stream is cut off.
	test(`a stream whose target pauses while fewer than ${left} retries are left is not cut off, though the next target declines it`, () => {
		const core = createCore();
		beginStream(core, 'r');
		const {repeatShare, repeatSlack} = core.state.bounds;
		const budget = retryBudget(core.state, 'llm');
		while (budget.remaining(core.nowMs, repeatShare, repeatSlack) >= left) {
			budget.take(core.nowMs, repeatShare, repeatSlack);
		}

		core.advance(SILENCE_MS);
		assert.equal(core.state.open.get('r')?.tries.length, tries);
		if (tries > 1) {
			assertUntouched(core.endTry('r', tries, 'not-run'), 'when the second target declines');
		}
	});
}

// Guards against leaving a stream to a target that is gone because its caller would wait for long.
test('a stream whose caller waits for 16 s is sent to another target than one that has been silent for 3 s', () => {
	const digest = route({
		name: 'digest', prefix: '/ask/', isStream: true, timeoutMs: 20_000, patienceMs: 16_000, destinations: [{service: 'llm', weight: 1}],
	});
	const core = new EntryHarness().configure({routes: [digest]}).readRegistry([engineEntry('e1', ['m0']), engineEntry('e2', ['m0'])]);
	const first = beginStream(core, 'r', {deadlineMs: 20_000});
	assertUntouched(core.advance(SILENCE_MS), 'while the target may pause');
	const [second] = effectsOfKind(core.advance(SILENCE_MS), 'send');
	assert.notEqual(second?.targetId ?? first, first);
});

// Guards against a process that takes its own delay for the silence of a target, and cancels sound streams (LOST).
test('a stream does not move for a silence in which nothing was read, nor before its request was written', () => {
	const core = createCore();
	beginStream(core, 'begun');
	const [sent] = effectsOfKind(core.arrive('sent', '/ask/1', {model: 'm0', deadlineMs: 10_000}), 'send');
	assert.ok(sent);
	const readUntilMs = core.nowMs;
	core.nowMs += SILENCE_MS;
	assertUntouched(core.dispatch({kind: 'tick', readUntilMs}), 'nothing was read');
	core.dispatch({kind: 'try-written', requestId: 'sent', tryNumber: 1});
	core.dispatch({
		kind: 'try-progressed', requestId: 'begun', tryNumber: 1, delivered: 2,
	});
	assertUntouched(core.advance(100), 'written, and gone on');
	core.readRegistry([engineEntry('e1', ['m0']), engineEntry('e2', ['m0'])]);
	const effects = core.advance(SILENCE_MS);
	assert.deepEqual(effectsOfKind(effects, 'send').map(({requestId}) => requestId).sort(), ['begun', 'sent']);
	assertUntouched(effects, 'sent to the other target as well');
});

// Guards against taking a target for silent whose stream is not read, since its caller reads slowly (LOST: the other target may break off).
test('a stream does not move while its response is not read, and counts as silent only from when it is', () => {
	const core = createCore();
	const first = beginStream(core, 'r');
	core.dispatch({
		kind: 'try-held', requestId: 'r', tryNumber: 1, isHeld: true,
	});
	const held = core.advance(2 * SILENCE_MS);
	assert.deepEqual(effectsOfKind(held, 'send'), []);
	assertUntouched(held, 'not read');
	core.dispatch({
		kind: 'try-held', requestId: 'r', tryNumber: 1, isHeld: false,
	});
	assert.deepEqual(effectsOfKind(core.advance(SILENCE_MS / 2), 'send'), []);
	const [second] = effectsOfKind(core.advance(SILENCE_MS), 'send');
	assert.notEqual(second?.targetId ?? first, first);
});
