/**
Planned stops cut off nothing: also requests that wait for a copy of their model, whose
callers would wait longer than the grace period, get an answer.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	beacon, configuration, engineEntry, EntryHarness, effectsOfKind, route, targetEntry,
} from '../../../test/standins/entry-harness.js';

function leisurely(): EntryHarness {
	return new EntryHarness().configure(configuration({
		routes: [route({
			name: 'digest', prefix: '/digest/', isStream: true, objectiveMs: 6000, timeoutMs: 25_000, patienceMs: 24_000, destinations: [{service: 'llm', weight: 1}],
		})],
	})).readRegistry([engineEntry('e0', ['m1'])]);
}

test('a request that waits for its model when its instance stops is refused in time, and its caller may return at once', () => {
	const core = leisurely();
	core.arrive('r', '/digest/1', {model: 'm0', deadlineMs: 25_000});
	core.dispatch({kind: 'drain-requested'});
	core.advance(1100);
	const [refusal] = effectsOfKind(core.effects, 'refuse');
	assert.equal(refusal?.code, 'stopping');
	assert.ok((refusal?.retryAfterMs ?? Number.POSITIVE_INFINITY) <= 200);
	assert.equal(core.state.open.size, 0);
});

test('a request that arrives late in the stop and cannot be sent is refused before the grace period ends', () => {
	const core = leisurely();
	core.dispatch({kind: 'drain-requested'});
	core.advance(2200);
	core.arrive('late', '/digest/1', {model: 'm0', deadlineMs: 25_000});
	core.advance(1500);
	assert.equal(effectsOfKind(core.effects, 'refuse').at(-1)?.code, 'stopping');
	core.advance(4000);
	assert.equal(effectsOfKind(core.effects, 'stop').length, 1);
	assert.equal(core.state.open.size, 0);
});

// Guards against a stop that cuts off a stream which is between two targets, while its caller still waits for the next event.
test('a stream that has begun and waits for another target when its instance stops goes on once one has room', () => {
	const core = new EntryHarness().configure({
		routes: [route({
			name: 'ask', prefix: '/ask/', isStream: true, timeoutMs: 10_000, destinations: [{service: 'llm', weight: 1}],
		})],
	}).readRegistry([engineEntry('e0', ['m0'])]);
	core.arrive('r', '/ask/1', {model: 'm0', deadlineMs: 10_000});
	core.advance(1000);
	core.dispatch({
		kind: 'try-progressed', requestId: 'r', tryNumber: 1, delivered: 1,
	});
	core.dispatch({kind: 'drain-requested'});
	core.advance(900);
	core.readRegistry([engineEntry('e0', ['m0'], {isLeaving: true}), engineEntry('e1', ['m0'])]);
	core.dispatch({kind: 'beacon-received', beacon: beacon({loads: [['e1', 50, 0]]})});
	core.endTry('r', 1, 'broken');
	assert.equal(effectsOfKind(core.advance(400), 'break-off').length, 0);
	core.dispatch({kind: 'beacon-received', beacon: beacon()});
	core.advance(100);
	assert.equal(effectsOfKind(core.effects, 'send').at(-1)?.targetId, 'e1');
});

// Guards against requests that are cut off without an answer at the end of the grace period (LOST).
test('requests that outlast the grace period get a final response in time, and none is sent to a slot that another one leaves', () => {
	const core = leisurely().readRegistry([engineEntry('e0', ['m1'], {slots: 1})]);
	core.state.bounds = {...core.state.bounds, graceMs: 3000};
	for (const id of ['running', 'also-running']) {
		core.arrive(id, '/digest/1', {model: 'm1', deadlineMs: 25_000});
	}

	core.dispatch({kind: 'drain-requested'});
	core.advance(1500);
	core.arrive('waiting', '/digest/1', {model: 'm1', deadlineMs: 25_000});
	assert.deepEqual([...core.state.open.values()].map(({phase}) => phase), ['running', 'running', 'queued']);
	core.effects.length = 0;
	core.advance(900);
	assert.deepEqual(effectsOfKind(core.effects, 'refuse').map(({requestId, code}) => [requestId, code]), [['waiting', 'stopping'], ['running', 'target-failed'], ['also-running', 'target-failed']]);
	assert.equal(effectsOfKind(core.effects, 'send').length, 0);
	assert.equal(effectsOfKind(core.effects, 'stop').length, 1);
	assert.equal(core.state.open.size, 0);
});

// Guards against requests that may not be repeated and that are left with an unknown outcome, since they came to an instance that stops (LOST).
test('while it stops, an instance takes requests that may not be repeated only if their time ends before the grace period', () => {
	const routes = [route({timeoutMs: 20_000, patienceMs: 20_000}), route({
		name: 'sign', prefix: '/sign/', repeat: 'once', maxAttempts: 1, timeoutMs: 20_000, patienceMs: 20_000,
	})];
	const core = new EntryHarness().configure({routes}).readRegistry([targetEntry('t0', {slots: 8})]);
	core.dispatch({kind: 'drain-requested'});
	core.advance(1000);
	const [refusal] = effectsOfKind(core.arrive('long', '/sign/1', {deadlineMs: 20_000}), 'refuse');
	assert.equal(refusal?.code, 'stopping');
	assert.ok((refusal?.retryAfterMs ?? Number.POSITIVE_INFINITY) <= 200);
	for (const [id, path, deadlineMs] of [['short', '/sign/1', 5000], ['repeatable', '/records/1', 20_000]] as const) {
		assert.equal(effectsOfKind(core.arrive(id, path, {deadlineMs}), 'send').length, 1, id);
	}
});

test('it takes one whose time ends later if such requests usually take far less than what is left', () => {
	for (const [usualMs, isTaken] of [[100, true], [3000, false]] as const) {
		const core = new EntryHarness().configure({
			routes: [route({
				name: 'sign', prefix: '/sign/', repeat: 'once', maxAttempts: 1, timeoutMs: 20_000, patienceMs: 20_000,
			})],
		}).readRegistry([targetEntry('t0', {slots: 8})]);
		for (let index = 0; index < 20; index++) {
			core.arrive(`r${index}`, '/sign/1', {deadlineMs: 20_000});
			core.advance(usualMs);
			core.confirmRegistry();
			core.endTry(`r${index}`, 1, 'answered');
		}

		core.dispatch({kind: 'drain-requested'});
		core.advance(2000);
		core.effects.length = 0;
		core.arrive('long', '/sign/1', {deadlineMs: 20_000});
		assert.equal(effectsOfKind(core.effects, isTaken ? 'send' : 'refuse').length, 1, `${usualMs}`);
	}
});

// Guards against a grace period that is counted from when a process that is behind handles the signal, and that the platform ends before (LOST).
test('the grace period counts from when the signal may have been sent', () => {
	const core = new EntryHarness().configure({routes: [route({timeoutMs: 20_000, patienceMs: 20_000})]}).readRegistry([targetEntry('t0', {slots: 8})]);
	core.arrive('r', '/records/1', {deadlineMs: 20_000});
	core.dispatch({kind: 'drain-requested', noticedWithinMs: 1600});
	core.advance(1250);
	assert.equal(effectsOfKind(core.effects, 'close-front').length, 0);
	core.advance(100);
	assert.equal(effectsOfKind(core.effects, 'close-front').length, 1, 'requests that come more than 3 s after the signal are not taken');
	core.advance(6000 - 1350);
	assert.deepEqual(effectsOfKind(core.effects, 'refuse').map(({code}) => code), ['target-failed']);
	assert.equal(effectsOfKind(core.effects, 'stop').length, 1);
});

// Guards against requests that are taken by an instance whose stop is over.
test('a stop with a short grace period takes no request after its end', () => {
	const core = new EntryHarness().configure().readRegistry([targetEntry('t0', {slots: 8})]);
	core.state.bounds = {...core.state.bounds, graceMs: 1000};
	core.dispatch({kind: 'drain-requested'});
	core.advance(400);
	assert.equal(effectsOfKind(core.effects, 'stop').length, 1);
	assert.deepEqual(effectsOfKind(core.arrive('r', '/records/1'), 'refuse').map(({code}) => code), ['stopping']);
});

// Guards against requests that a process which is behind passes on although they came later than 3 s after the signal: the end of the grace period cuts them off (LOST).
test('a request that is read before the tick that closes the listener is refused if it came after that was due', () => {
	const core = new EntryHarness().configure({routes: [route({isStream: true, timeoutMs: 20_000, patienceMs: 20_000})]}).readRegistry([targetEntry('t0', {slots: 8})]);
	core.dispatch({kind: 'drain-requested'});
	core.advance(2200);
	core.nowMs += 50;
	assert.equal(effectsOfKind(core.arrive('in-time', '/records/1', {deadlineMs: 20_000}), 'send').length, 1);
	core.nowMs += 950;
	const effects = core.arrive('late', '/records/1', {deadlineMs: 20_000});
	assert.deepEqual(effectsOfKind(effects, 'refuse').map(({requestId, code}) => [requestId, code]), [['late', 'stopping']]);
	assert.equal(effectsOfKind(effects, 'send').length, 0);
});

test('a process that noticed the signal late refuses what is read later than 3 s after the signal may have been sent', () => {
	const core = new EntryHarness().configure({routes: [route({isStream: true, timeoutMs: 20_000, patienceMs: 20_000})]}).readRegistry([targetEntry('t0', {slots: 8})]);
	core.dispatch({kind: 'drain-requested', noticedWithinMs: 2000});
	core.nowMs += 800;
	assert.equal(effectsOfKind(core.arrive('in-time', '/records/1', {deadlineMs: 20_000}), 'send').length, 1);
	core.nowMs += 200;
	assert.deepEqual(effectsOfKind(core.arrive('late', '/records/1', {deadlineMs: 20_000}), 'refuse').map(({code}) => code), ['stopping']);
});
