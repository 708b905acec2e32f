/**
Which requests may be retried, and which response the caller gets.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	beacon, targetEntry, EntryHarness, effectsOfKind,
} from '../../../test/standins/entry-harness.js';

function createCore(): EntryHarness {
	return new EntryHarness().configure().readRegistry([targetEntry('t1'), targetEntry('t2'), targetEntry('t3')]);
}

test('an at-most-once request is not retried after its connection broke', () => {
	const core = createCore();
	assert.equal(effectsOfKind(core.arrive('r', '/sign/1'), 'send').length, 1);
	const effects = core.endTry('r', 1, 'broken');
	assert.equal(effectsOfKind(effects, 'send').length, 0);
	assert.equal(effectsOfKind(effects, 'refuse')[0]?.code, 'target-failed');
});

test('an at-most-once request is retried after the target stated that it did not execute it', () => {
	const core = createCore();
	const first = effectsOfKind(core.arrive('r', '/sign/1'), 'send')[0];
	const second = effectsOfKind(core.endTry('r', 1, 'not-run'), 'send')[0];
	assert.ok(second);
	assert.notEqual(second.targetId, first?.targetId);
	const refusal = effectsOfKind(core.endTry('r', 2, 'broken'), 'refuse')[0];
	assert.equal(refusal?.code, 'target-failed');
	assert.equal(refusal?.retryAfterMs, undefined);
});

test('a response that means "not executed" is sent only if no try may have been executed', () => {
	const core = createCore();
	core.arrive('r');
	core.endTry('r', 1, 'broken');
	core.readRegistry([]);
	const refusal = effectsOfKind([...core.endTry('r', 2, 'not-sent'), ...core.advance(2100)], 'refuse')[0];
	assert.equal(refusal?.code, 'target-failed');
});

test('an idempotent request is retried on another target after a server error, up to the maximum attempts of its route', () => {
	const core = createCore();
	const first = effectsOfKind(core.arrive('r'), 'send')[0];
	const second = effectsOfKind(core.endTry('r', 1, 'failed'), 'send')[0];
	assert.notEqual(second?.targetId, first?.targetId);
	const effects = core.endTry('r', 2, 'failed');
	assert.equal(effectsOfKind(effects, 'send').length, 0);
	assert.equal(effectsOfKind(effects, 'deliver').length, 1, 'the target\'s own error is the response');
});

test('the time sent to a target never exceeds the time left, also on the second try', () => {
	const core = createCore();
	const first = effectsOfKind(core.arrive('r'), 'send')[0];
	assert.ok(first && first.remainingMs <= 2000);
	core.nowMs += 700;
	const second = effectsOfKind(core.endTry('r', 1, 'broken'), 'send')[0];
	assert.ok(second && second.remainingMs <= 1300);
});

test('a target that cannot be reached is avoided for 150 ms at first, then twice as long', () => {
	const core = new EntryHarness().configure().readRegistry([targetEntry('t1')]);
	core.arrive('r', '/records/1', {deadlineMs: 20_000});
	core.endTry('r', 1, 'not-sent');
	const {backoffUntilMs} = core.state.targets.get('t1')!;
	assert.equal(backoffUntilMs - core.nowMs, 150);
	core.advance(200);
	core.endTry('r', 2, 'not-sent');
	assert.equal(core.state.targets.get('t1')!.backoffUntilMs - core.nowMs, 300);
});

test('a silent try goes to another target as soon as one has room, also if none had when the silence was noticed', () => {
	const core = new EntryHarness().configure().readRegistry([targetEntry('t1'), targetEntry('t2')]);
	const [first] = effectsOfKind(core.arrive('r'), 'send');
	const other = first?.targetId === 't1' ? 't2' : 't1';
	core.dispatch({kind: 'beacon-received', beacon: beacon({loads: [[other, 50, 0]]})});
	assert.equal(effectsOfKind(core.advance(900), 'cancel').length, 0, 'the other target is full');
	core.dispatch({kind: 'beacon-received', beacon: beacon()});
	assert.equal(effectsOfKind(core.advance(400), 'send')[0]?.targetId, other);
});

test('every request has its final response at its timeout', () => {
	const core = new EntryHarness().configure().readRegistry([]);
	core.arrive('waiting');
	const refused = effectsOfKind(core.advance(2050), 'refuse');
	assert.deepEqual(refused.map(({requestId, code}) => [requestId, code]), [['waiting', 'no-target']]);
	core.readRegistry([targetEntry('t1')]);
	core.arrive('running', '/sign/1');
	const effects = core.advance(2050);
	assert.equal(effectsOfKind(effects, 'cancel').length, 1);
	assert.equal(effectsOfKind(effects, 'refuse')[0]?.code, 'target-timeout');
});

test('a caller that disconnects cancels its try at once', () => {
	const core = createCore();
	core.arrive('r');
	assert.equal(effectsOfKind(core.dispatch({kind: 'caller-left', requestId: 'r'}), 'cancel').length, 1);
	assert.equal(core.state.open.size, 0);
});

test('retries stay within the budget when every response breaks off', () => {
	const core = createCore();
	let retries = 0;
	for (let index = 0; index < 1000; index++) {
		core.arrive(`r${index}`);
		retries += effectsOfKind(core.endTry(`r${index}`, 1, 'broken'), 'send').length;
		core.dispatch({kind: 'caller-left', requestId: `r${index}`});
		core.nowMs += 5;
	}

	assert.ok(retries > 50, `${retries} retries`);
	assert.ok(retries <= (1000 * 0.2) + 100, `${retries} retries`);
});

test('content that crashed three targets is quarantined, other content is not', () => {
	const core = createCore();
	for (const [index, id] of ['t1', 't2', 't3'].entries()) {
		core.readRegistry([targetEntry(id, {incarnation: index + 1})]);
		core.arrive(`culprit${index}`, '/sign/1', {contentHash: 'culprit'});
		core.endTry(`culprit${index}`, 1, 'broken');
		core.readRegistry([targetEntry(id, {incarnation: index + 2})]);
	}

	assert.equal(effectsOfKind(core.arrive('again', '/sign/1', {contentHash: 'culprit'}), 'refuse')[0]?.code, 'content-quarantined');
	assert.equal(effectsOfKind(core.arrive('other', '/sign/1'), 'send').length, 1);
});

test('broken connections without evidence of a crash do not quarantine their content', () => {
	const core = createCore();
	for (let index = 0; index < 5; index++) {
		core.arrive(`r${index}`, '/sign/1', {contentHash: 'innocent'});
		core.endTry(`r${index}`, 1, 'broken');
	}

	assert.equal(effectsOfKind(core.arrive('again', '/sign/1', {contentHash: 'innocent'}), 'send').length, 1);
});

// Guards against a target that has just started and is blamed for what its former lifetime did: it was slowed down, and its content suspected of a crash.
test('a try that breaks after its target has started anew counts against nothing of the new lifetime', () => {
	const core = createCore().readRegistry([targetEntry('t1', {incarnation: 1})]);
	core.arrive('r', '/sign/1');
	core.readRegistry([targetEntry('t1', {incarnation: 2})]);
	core.endTry('r', 1, 'broken');
	const target = core.state.targets.get('t1')!;
	assert.deepEqual([target.failureRate, target.suspects], [0, []]);
	assert.equal(core.state.suspectedTargets.size, 0);
});

// Guards against a short answer that looks whole, since its target died and the operating system closed the connection in the regular way.
test('an answer without a length whose target has gone down counts as broken', () => {
	const core = createCore();
	core.arrive('once', '/sign/1');
	assert.equal(effectsOfKind(core.endTry('once', 1, 'unproven'), 'refuse')[0]?.code, 'target-failed');
	core.arrive('again');
	const second = effectsOfKind(core.endTry('again', 1, 'unproven'), 'send')[0];
	assert.ok(second);
	assert.equal(core.state.suspectedTargets.size, 2);
	assert.equal(effectsOfKind(core.endTry('again', 2, 'unproven'), 'refuse')[0]?.code, 'target-failed');
});

// Guards against a target, or the content of a request, that is blamed for a crash since the target has left as announced.
test('an answer without a length whose target leaves and has gone is taken from another target where it may, and blames nothing', () => {
	const core = createCore().readRegistry([targetEntry('t1')]);
	core.arrive('once', '/sign/1');
	core.arrive('again');
	core.readRegistry([targetEntry('t1', {isLeaving: true}), targetEntry('t2')]);
	assert.equal(effectsOfKind(core.endTry('once', 1, 'unproven'), 'refuse')[0]?.code, 'target-failed');
	assert.equal(effectsOfKind(core.endTry('again', 1, 'unproven'), 'send')[0]?.targetId, 't2');
	assert.deepEqual([core.state.targets.get('t1')!.failureRate, core.state.suspectedTargets.size], [0, 0]);
});

/** Lines of tries and of the request's end. */
function endLines(core: EntryHarness): Array<{readonly event: string; readonly fields: Readonly<Record<string, unknown>>}> {
	return effectsOfKind(core.effects, 'log').filter(({event}) => event === 'try-ended' || event === 'request-ended');
}

// Guards against two warnings for one failure of a target, which fill records in place of what they are read for.
test('a try that ends its request has no line of its own, and the line of the request has all that is known of it', () => {
	const core = createCore();
	core.arrive('r', '/sign/1');
	core.nowMs += 300;
	core.dispatch({
		kind: 'try-ended', requestId: 'r', tryNumber: 1, outcome: 'failed', delivered: 0, status: 504, reason: 'the status of the target', connection: {number: 4, carried: 2},
	});
	const [line, ...others] = endLines(core);
	assert.deepEqual([line?.event, others.length], ['request-ended', 0]);
	const [targetId] = core.state.targets.keys();
	assert.deepEqual(line?.fields.tries, [`${targetId}:failed:504`]);
	assert.deepEqual(Object.fromEntries(Object.entries(line?.fields.lastTry ?? {}).filter(([, value]) => value !== undefined)), {
		tryNumber: 1, targetId, outcome: 'failed', status: 504, reason: 'the status of the target', delivered: 0, connection: 4, carriedBefore: 2, tookMs: 300,
	});
});

// Guards against facts of a try that are lost with its line: each try is told of once.
test('a try after which its request goes on has a line of its own, before what follows from it', () => {
	const core = createCore();
	core.arrive('r');
	const effects = core.dispatch({
		kind: 'try-ended', requestId: 'r', tryNumber: 1, outcome: 'broken', delivered: 0, fault: 'ECONNRESET', connection: {number: 1, carried: 0},
	});
	assert.deepEqual(effects.filter(({kind}) => kind === 'log' || kind === 'send').map(effect => effect.kind === 'log' ? effect.event : effect.kind), ['try-ended', 'send', 'try-sent']);
	core.dispatch({
		kind: 'try-ended', requestId: 'r', tryNumber: 2, outcome: 'broken', delivered: 0, fault: 'event-cut', connection: {number: 2, carried: 0},
	});
	const [first, last, ...others] = endLines(core);
	assert.deepEqual([first?.event, first?.fields.fault, first?.fields.contentHash, first?.fields.requestId], ['try-ended', 'ECONNRESET', 'hash r', 'r']);
	const lastTry = last?.fields.lastTry as Record<string, unknown>;
	assert.deepEqual([last?.event, lastTry.tryNumber, lastTry.fault, lastTry.contentHash, others.length], ['request-ended', 2, 'event-cut', 'hash r', 0]);
});

test('a request that ends without the end of a try names none as its last', () => {
	const core = createCore();
	core.arrive('r', '/records/1', {deadlineMs: 300});
	core.advance(500);
	const [line] = endLines(core);
	assert.deepEqual([line?.event, line?.fields.reason, line?.fields.lastTry], ['request-ended', 'deadline', undefined]);
});
