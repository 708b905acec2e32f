/**
Targets that go dark: who stops trying them, who may say so, who finds them back, and
what becomes of the requests in flight there.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {EntryGroup} from '../../../test/standins/entry-group.js';
import {
	effectsOfKind, engineEntry, type EntryHarness, instance,
} from '../../../test/standins/entry-harness.js';
import {type EntryEffect} from './effect.js';
import {isUsable} from './target.js';

const CONNECT_TIMEOUT_MS = 300;
/** Bound of the work order for requests that may be repeated. */
const MOVED_WITHIN_MS = 300;
const entries = ['e1', 'e2', 'e3'].map(id => engineEntry(id, ['m0'], {slots: 64}));

function createGroup(size: number): EntryGroup {
	const group = new EntryGroup(Array.from({length: size}, (_, index) => instance(`i${index}`)), () => entries);
	group.advance(700);
	confirm(group);
	return group;
}

function confirm(group: EntryGroup): void {
	for (const member of group.members) {
		member.confirmRegistry();
	}
}

function usable(core: EntryHarness, id: string): boolean {
	return isUsable(core.state.targets.get(id)!, core.nowMs);
}

/** Something comes from a target: a request is served there. */
function hear(core: EntryHarness, targetId: string, id: string): void {
	for (const other of entries) {
		core.state.targets.get(other.id)!.peerLoads.set('filler', {inFlight: other.id === targetId ? 0 : 60, unreadTokens: 0, atMs: core.nowMs});
	}

	const [sent] = effectsOfKind(core.arrive(id, '/ask/1', {model: 'm0', deadlineMs: 10_000}), 'send');
	assert.equal(sent?.targetId, targetId);
	core.dispatch({
		kind: 'try-progressed', requestId: id, tryNumber: 1, delivered: 1,
	});
	for (const other of entries) {
		core.state.targets.get(other.id)!.peerLoads.delete('filler');
	}
}

/** An attempt to open a connection fails after the time-out. */
function probe(core: EntryHarness, targetId: string, outcome: 'accepted' | 'unanswered' | 'refused'): EntryEffect[] {
	const target = core.state.targets.get(targetId)!;
	target.probe.sentAtMs = core.nowMs - (outcome === 'unanswered' ? CONNECT_TIMEOUT_MS : 1);
	return core.dispatch({
		kind: 'target-probed', targetId, incarnation: 1, outcome,
	});
}

// Guards against 72 instances that each spend a connection time-out on the same dark engine.
test('one instance that reaches others of the service finds a target unanswered: nobody of the zone tries it until one reaches it', () => {
	const group = createGroup(5);
	const [first, second] = group.members as [EntryHarness, EntryHarness];
	hear(first, 'e2', 'r1');
	group.deliver(first, probe(first, 'e1', 'unanswered'));
	for (const member of group.members) {
		assert.equal(usable(member, 'e1'), false);
		assert.equal(usable(member, 'e2'), true);
		const sent = new Set(Array.from({length: 6}, (_, index) => effectsOfKind(member.arrive(`s${index}`, '/ask/1', {model: 'm0', promptTokens: 20}), 'send')[0]?.targetId));
		assert.ok(!sent.has('e1') && !sent.has(undefined));
	}

	assert.equal(effectsOfKind(second.effects, 'log').filter(({event}) => event === 'target-dark').length, 1);
	group.advance(1000);
	confirm(group);
	assert.equal(usable(second, 'e1'), false, 'beacons renew the report');
	group.deliver(first, probe(first, 'e1', 'accepted'));
	assert.deepEqual(group.members.map(member => usable(member, 'e1')), [true, true, true, true, true]);
});

// Guards against requests that crash targets and move on at once, before the crash is known to be theirs.
test('a target that refuses connections is not reported: the others find that out by themselves', () => {
	const group = createGroup(5);
	const [first, ...others] = group.members as [EntryHarness, ...EntryHarness[]];
	hear(first, 'e2', 'r1');
	const effects = probe(first, 'e1', 'refused');
	assert.deepEqual(effectsOfKind(effects, 'announce-load').filter(({announcement}) => announcement.unreached !== undefined), []);
	group.deliver(first, effects);
	assert.equal(first.state.targets.get('e1')!.unreachedSinceMs !== undefined, true);
	for (const other of others) {
		assert.equal(usable(other, 'e1'), true);
	}
});

// Guards against a target given up by all because one instance is cut off.
test('an instance that reaches no other target is not believed alone; three are', () => {
	const group = createGroup(6);
	const tell = (index: number) => {
		group.deliver(group.members[index]!, probe(group.members[index]!, 'e1', 'unanswered'));
	};

	tell(0);
	tell(1);
	assert.ok(usable(group.members[5]!, 'e1'));
	tell(2);
	assert.ok(!usable(group.members[5]!, 'e1'));
});

test('instances that say in their beacons that they reach no target are not counted', () => {
	const group = createGroup(6);
	for (const index of [0, 1, 2]) {
		const member = group.members[index]!;
		for (const {id} of entries) {
			group.deliver(member, probe(member, id, 'unanswered'));
		}
	}

	group.advance(400);
	confirm(group);
	assert.ok(entries.every(({id}) => usable(group.members[5]!, id)));
});

// Guards against taking a lost packet for a dark target.
test('an instance that has heard from the target since contradicts, and the teller takes it back', () => {
	const group = createGroup(3);
	const [first, second, third] = group.members as [EntryHarness, EntryHarness, EntryHarness];
	hear(second, 'e1', 'r1');
	hear(first, 'e2', 'r2');
	group.deliver(first, probe(first, 'e1', 'unanswered'));
	assert.ok(usable(second, 'e1'));
	assert.ok(usable(third, 'e1'));
});

test('a report ends when its teller is gone', () => {
	const group = createGroup(3);
	const [first, second] = group.members as [EntryHarness, EntryHarness];
	hear(first, 'e2', 'r1');
	group.deliver(first, probe(first, 'e1', 'unanswered'));
	assert.ok(!usable(second, 'e1'));
	group.isolated.add(first);
	group.advance(2600);
	assert.ok(usable(second, 'e1'));
});

// Guards against streams that stay at a dark target until their callers give up, though another instance knows.
test('requests in flight at a target that went dark move within 300 ms if they may be repeated; others stay', () => {
	const group = createGroup(3);
	const [first, second] = group.members as [EntryHarness, EntryHarness];
	hear(second, 'e1', 'stream');
	group.advance(400);
	confirm(group);
	hear(first, 'e2', 'other');
	group.deliver(first, probe(first, 'e1', 'unanswered'));
	const knownAtMs = second.nowMs;
	let movedAtMs: number | undefined;
	while (movedAtMs === undefined && second.nowMs < knownAtMs + 1000) {
		const sent = effectsOfKind(second.advance(50), 'send');
		movedAtMs = sent.some(({requestId, targetId}) => requestId === 'stream' && targetId !== 'e1') ? second.nowMs : undefined;
	}

	assert.ok(movedAtMs !== undefined && movedAtMs - knownAtMs <= MOVED_WITHIN_MS, `${movedAtMs} after ${knownAtMs}`);
});

// Guards against repeating work that may run only once.
test('a request that may not be repeated stays at a target that went dark', () => {
	const group = createGroup(3);
	const [first, second] = group.members as [EntryHarness, EntryHarness];
	const [sent] = effectsOfKind(second.arrive('once', '/digest/1', {model: 'm0', deadlineMs: 10_000}), 'send');
	assert.ok(sent);
	group.advance(400);
	confirm(group);
	hear(first, sent.targetId === 'e1' ? 'e2' : 'e1', 'other');
	group.deliver(first, probe(first, sent.targetId, 'unanswered'));
	assert.ok(!usable(second, sent.targetId));
	assert.deepEqual(effectsOfKind(second.advance(600), 'cancel'), []);
});
