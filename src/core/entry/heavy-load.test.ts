/**
Load scenarios without a network: which requests wait, which are refused, and where the
others are sent.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	beacon, engineEntry, targetEntry, EntryHarness, effectsOfKind,
} from '../../../test/standins/entry-harness.js';

test('with more requests than slots, urgent ones leave the queue first', () => {
	const core = new EntryHarness().configure().readRegistry([engineEntry('e0', ['m0'], {slots: 2})]);
	for (let index = 0; index < 6; index++) {
		core.arrive(`digest${index}`, '/digest/1', {model: 'm0', promptTokens: 20, deadlineMs: 20_000});
	}

	for (let index = 0; index < 3; index++) {
		core.arrive(`ask${index}`, '/ask/1', {model: 'm0', promptTokens: 20, deadlineMs: 20_000});
	}

	const sent = effectsOfKind(core.effects, 'send').map(({requestId}) => requestId);
	assert.ok(sent.includes('ask0'), 'urgent requests are sent beyond the slots that low-priority requests fill');
	core.effects.length = 0;
	core.endTry(sent[0]!, 1, 'answered');
	core.endTry(sent[1]!, 1, 'answered');
	assert.ok(effectsOfKind(core.effects, 'send').every(({requestId}) => requestId.startsWith('ask')));
});

test('when one target is full, requests go to a free one, even in another zone', () => {
	const core = new EntryHarness().configure().readRegistry([targetEntry('near', {slots: 2}), targetEntry('far', {slots: 2, zone: 'south'})]);
	const targets = Array.from({length: 5}, (_, index) => effectsOfKind(core.arrive(`r${index}`), 'send')[0]?.targetId);
	assert.equal(targets[0], 'near');
	assert.ok(targets.includes('far'));
});

test('the load that beacons of peers announce counts like own requests', () => {
	const core = new EntryHarness().configure().readRegistry([targetEntry('t1', {slots: 4}), targetEntry('t2', {slots: 4})]);
	core.dispatch({
		kind: 'beacon-received',
		beacon: beacon({loads: [['t1', 4, 0]]}),
	});
	const targets = Array.from({length: 3}, (_, index) => effectsOfKind(core.arrive(`r${index}`), 'send')[0]?.targetId);
	assert.deepEqual(targets, ['t2', 't2', 't2']);
});

test('an unreachable target is avoided, and requests that were not sent go to another one', () => {
	const core = new EntryHarness().configure().readRegistry([targetEntry('t1'), targetEntry('t2', {zone: 'south'})]);
	assert.equal(effectsOfKind(core.arrive('r1', '/sign/1'), 'send')[0]?.targetId, 't1');
	assert.equal(effectsOfKind(core.endTry('r1', 1, 'not-sent'), 'send')[0]?.targetId, 't2');
	assert.equal(effectsOfKind(core.arrive('r2', '/sign/1'), 'send')[0]?.targetId, 't2');
});

test('no new requests are sent to a copy that is about to be unloaded', () => {
	const core = new EntryHarness().configure().readRegistry([engineEntry('e0', ['m0']), engineEntry('e1', ['m0'], {zone: 'south'})]);
	core.dispatch({
		kind: 'beacon-received',
		beacon: beacon({leavingCopies: [{targetId: 'e0', model: 'm0', forMs: 5000}]}),
	});
	assert.equal(effectsOfKind(core.arrive('r', '/ask/1', {model: 'm0'}), 'send')[0]?.targetId, 'e1');
});

test('when the queue cannot be served in time, new requests are refused at once with a retry delay', () => {
	const core = new EntryHarness().configure().readRegistry([engineEntry('e0', ['m0'], {slots: 1})]);
	// Each request takes a second, and ten a second arrive.
	for (let index = 0; index < 100; index++) {
		core.arrive(`r${index}`, '/digest/1', {model: 'm0', deadlineMs: 2000});
		if (index % 10 === 9) {
			const [first] = core.state.open.keys();
			core.endTry(first!, 1, 'answered');
		}

		core.advance(100);
	}

	const refusals = effectsOfKind(core.effects, 'refuse');
	assert.ok(refusals.length > 0);
	assert.ok(refusals.some(({code, retryAfterMs}) => code === 'deadline-unreachable' && (retryAfterMs ?? 0) > 0));
});

test('a graceful shutdown under load completes running requests and ends in time', () => {
	const core = new EntryHarness().configure().readRegistry([targetEntry('t1')]);
	core.arrive('r', '/sign/1', {deadlineMs: 10_000});
	core.dispatch({kind: 'drain-requested'});
	assert.equal(effectsOfKind(core.effects, 'set-readiness').at(-1)?.isReady, false);
	core.effects.length = 0;
	assert.equal(effectsOfKind(core.advance(1500), 'stop').length, 0, 'requests still arrive until the load balancer has deregistered the instance');
	assert.equal(effectsOfKind(core.arrive('late'), 'send').length, 1);
	core.endTry('late', 1, 'answered');
	core.advance(1000);
	assert.equal(effectsOfKind(core.arrive('kept'), 'refuse')[0]?.code, 'stopping', 'a request on a keep-alive connection that was busy for long');
	core.endTry('r', 1, 'answered');
	assert.equal(effectsOfKind(core.advance(1000), 'stop').length, 1);
	assert.ok(core.nowMs < 1000 + 4000);
});

test('when all targets are slow, a request whose try is silent is sent to another target only if that has capacity, and no try is canceled', () => {
	const core = new EntryHarness().configure().readRegistry([engineEntry('e0', ['m0'], {slots: 4}), engineEntry('e1', ['m0'], {slots: 1, zone: 'south'})]);
	core.state.targets.get('e1')!.backoffUntilMs = core.nowMs + 100;
	core.arrive('r', '/ask/1', {model: 'm0', deadlineMs: 5000});
	core.dispatch({kind: 'beacon-received', beacon: beacon({loads: [['e1', 9, 0]]})});
	assert.equal(effectsOfKind(core.advance(1000), 'send').length, 0, 'the other target is full');
	core.arrive('s', '/ask/1', {model: 'm0', deadlineMs: 5000});
	core.dispatch({kind: 'beacon-received', beacon: beacon()});
	assert.deepEqual(effectsOfKind(core.advance(700), 'send').map(({requestId, targetId}) => [requestId, targetId]), [['r', 'e1'], ['s', 'e1']], 'also the one that found no room when its silence was noticed');
	assert.equal(effectsOfKind(core.effects, 'cancel').length, 0);
});

test('for a rarely requested model, a few simultaneous requests are not mistaken for a backlog of seconds', () => {
	const core = new EntryHarness().configure().readRegistry([engineEntry('e0', ['m0'], {slots: 1})]);
	for (let index = 0; index < 10; index++) {
		core.arrive(`r${index}`, '/digest/1', {model: 'm0'});
		core.advance(100);
		core.endTry(`r${index}`, 1, 'answered');
		core.advance(900);
	}

	core.effects.length = 0;
	for (let index = 0; index < 4; index++) {
		core.arrive(`at-once${index}`, '/digest/1', {model: 'm0'});
	}

	assert.deepEqual(effectsOfKind(core.effects, 'refuse').map(({code}) => code), []);
});
