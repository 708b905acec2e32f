/**
What becomes of requests whose deadlines have passed before a tick of a late process says so.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {effectsOfKind, EntryHarness, targetEntry} from '../../../test/standins/entry-harness.js';

const DEADLINE_MS = 2000;
const HELD_UP_MS = 4000;

// Guards against requests that a late process sends on after their callers have left (GONE): what has arrived is handled before the tick that ends them.
test('a request whose deadline has passed is not sent when a target starts before the next tick', () => {
	const core = new EntryHarness().configure().readRegistry([targetEntry('t0', {slots: 1})]);
	for (let index = 0; index < 6; index++) {
		core.arrive(`r${index}`, '/records/1', {deadlineMs: DEADLINE_MS});
	}

	const waiting = [...core.state.open.values()].filter(({phase}) => phase === 'queued');
	assert.ok(waiting.length > 0);
	core.nowMs += HELD_UP_MS;
	core.effects.length = 0;
	core.readRegistry([targetEntry('t0', {slots: 1}), targetEntry('t1', {slots: 4})]);
	assert.deepEqual(effectsOfKind(core.effects, 'send').map(({requestId}) => requestId), []);
});

// The same for a target that gets room.
test('a request whose deadline has passed is not sent when another one ends before the next tick', () => {
	const core = new EntryHarness().configure().readRegistry([targetEntry('t0', {slots: 1})]);
	for (let index = 0; index < 6; index++) {
		core.arrive(`r${index}`, '/records/1', {deadlineMs: DEADLINE_MS});
	}

	assert.ok([...core.state.open.values()].some(({phase}) => phase === 'queued'));
	core.nowMs += HELD_UP_MS;
	core.confirmRegistry();
	core.effects.length = 0;
	core.endTry('r0', 1, 'answered');
	assert.deepEqual(effectsOfKind(core.effects, 'send').map(({requestId}) => requestId), []);
});
