/**
Requests at an instance whose copy of the registry has become old: because its event loop
was behind, or because the store gives no answers.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {effectsOfKind, EntryHarness, targetEntry} from '../../../test/standins/entry-harness.js';

/** Longer than a leaving target may still get requests. */
const BEHIND_MS = 2700;

function createCore(): EntryHarness {
	return new EntryHarness().configure().readRegistry([targetEntry('t1')]);
}

// Guards against requests at a target that left while the event loop of a small instance was behind by seconds.
test('a request that is read after the loop was behind waits for the news that arrived with it', () => {
	const core = createCore();
	core.nowMs += BEHIND_MS;
	assert.deepEqual(effectsOfKind(core.arrive('r', '/sign/1'), 'send'), []);
	core.advance(50);
	core.readRegistry([targetEntry('t1', {isLeaving: true}), targetEntry('t2')]);
	assert.deepEqual(effectsOfKind(core.effects, 'send').map(({requestId, targetId}) => [requestId, targetId]), [['r', 't2']]);
});

test('a request that moves to another target after the loop was behind waits as well', () => {
	const core = createCore();
	core.arrive('r');
	core.nowMs += BEHIND_MS / 2;
	core.endTry('r', 1, 'not-sent');
	core.nowMs += BEHIND_MS;
	core.effects.length = 0;
	core.dispatch({kind: 'tick'});
	assert.deepEqual(effectsOfKind(core.effects, 'send'), []);
});

test('the store gives no answers: requests go on by the copy that there is, after a few turns of the loop', () => {
	const core = createCore();
	core.advance(BEHIND_MS);
	assert.equal(effectsOfKind(core.arrive('r'), 'send').length, 1, 'the reads of this time had no answer');

	const late = createCore();
	late.nowMs += BEHIND_MS;
	late.arrive('r', '/sign/1', {deadlineMs: 2000});
	assert.deepEqual(effectsOfKind(late.advance(400), 'send').map(({requestId}) => requestId), ['r']);
});

test('the store is known to fail: requests go on at once', () => {
	const core = createCore();
	core.nowMs += BEHIND_MS;
	core.dispatch({kind: 'registry-read-failed'});
	assert.equal(effectsOfKind(core.arrive('r'), 'send').length, 1);
});
