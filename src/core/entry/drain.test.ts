/**
Planned stops cut off nothing: also requests that wait for a copy of their model, whose
callers would wait longer than the grace period, get an answer.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	beacon, configuration, engineEntry, EntryHarness, effectsOfKind, route,
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
