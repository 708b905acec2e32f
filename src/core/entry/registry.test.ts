/**
Targets are added and removed as the registry changes; configurations only move to higher versions.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	beacon, configuration, targetEntry, EntryHarness, effectsOfKind, instance, route,
} from '../../../test/standins/entry-harness.js';
import {knownVersions, transferFor} from './peer-sync.js';
import {canReadStore} from './registry-readers.js';
import {type EntryContext} from './state.js';

test('a leaving target and an unlisted one get no new requests', () => {
	const core = new EntryHarness().configure().readRegistry([targetEntry('t1'), targetEntry('t2')]);
	core.readRegistry([targetEntry('t1', {isLeaving: true})]);
	assert.equal(effectsOfKind(core.arrive('r'), 'send').length, 0);
	core.readRegistry([targetEntry('t3')]);
	assert.equal(core.state.targets.get('t3')?.inFlight.size, 1, 'the queued request is sent to the new target');
});

test('entries that expired during a store outage have two seconds to be listed again', () => {
	const core = new EntryHarness().configure().readRegistry([targetEntry('t1')]);
	core.dispatch({kind: 'registry-read-failed'});
	core.nowMs += 3000;
	core.readRegistry([]);
	assert.equal(effectsOfKind(core.arrive('r1'), 'send').length, 1);
	core.nowMs += 2500;
	assert.equal(effectsOfKind(core.arrive('r2'), 'send').length, 0);
	core.readRegistry([targetEntry('t1')]);
	assert.equal(effectsOfKind(core.arrive('r3'), 'send').length, 1);
});

test('a registry read of an older revision changes nothing', () => {
	const core = new EntryHarness().configure().readRegistry([targetEntry('t1')]);
	core.dispatch({
		kind: 'registry-read', revision: 1, entries: [], removed: [], isFullSnapshot: true, sentAtMs: core.nowMs, storeMs: core.storeMs,
	});
	assert.equal(effectsOfKind(core.arrive('r'), 'send').length, 1);
});

// Guards against a copy that calls itself fresh while what is read is older than what it holds: it was never corrected, and its zone read through it.
test('a read that returns an older revision does not make the copy fresh, and its reader does not count as one', () => {
	const core = new EntryHarness().configure().readRegistry([targetEntry('t1')]);
	const readAtMs = core.nowMs;
	core.nowMs += 1000;
	core.dispatch({
		kind: 'registry-read', revision: 1, entries: [targetEntry('t1')], removed: [], isFullSnapshot: true, sentAtMs: core.nowMs, storeMs: core.storeMs,
	});
	assert.equal(core.state.registry.freshAtMs, readAtMs);
	assert.equal(canReadStore(core.state, core.nowMs), false);
	core.nowMs += 100;
	core.readRegistry([targetEntry('t1', {isLeaving: true})]);
	assert.equal(core.state.registry.freshAtMs, core.nowMs);
	assert.equal(canReadStore(core.state, core.nowMs), true);
	assert.equal(effectsOfKind(core.arrive('r'), 'send').length, 0);
});

test('an answer that was overtaken by a later one is ignored, and its reader goes on counting as one', () => {
	const core = new EntryHarness().configure().readRegistry([targetEntry('t1')]);
	core.dispatch({
		kind: 'registry-read', revision: 1, entries: [], removed: [], isFullSnapshot: true, sentAtMs: core.nowMs - 100, storeMs: core.storeMs - 50,
	});
	assert.equal(canReadStore(core.state, core.nowMs), true);
	assert.equal(effectsOfKind(core.arrive('r'), 'send').length, 1);
});

// Guards against a restored store that takes back what targets have said since its copy.
test('the first read of a restored store lists no target again that was gone, and gives those it lacks two seconds', () => {
	const core = new EntryHarness().configure().readRegistry([targetEntry('gone'), targetEntry('new')]);
	core.readRegistry([targetEntry('new')]);
	const restored = {
		kind: 'registry-read', removed: [], sentAtMs: core.nowMs, storeMs: core.storeMs,
	} as const;
	core.dispatch({
		...restored, revision: 2 ** 40, entries: [targetEntry('gone')], isFullSnapshot: true, eraRevision: 2 ** 40,
	});
	assert.deepEqual(effectsOfKind(core.arrive('r1'), 'send').map(({targetId}) => targetId), ['new']);
	core.dispatch({
		...restored, revision: (2 ** 40) + 1, entries: [targetEntry('gone')], isFullSnapshot: false, eraRevision: 2 ** 40,
	});
	core.nowMs += 2500;
	core.confirmRegistry();
	assert.deepEqual(effectsOfKind(core.arrive('r2'), 'send').map(({targetId}) => targetId), ['gone'], 'its heartbeat lists it');
});

// Guards against requests at a target that has said it leaves, after an older row or another writer took that back.
test('a target that has said it leaves gets nothing more until it has restarted, whatever its entry says later', () => {
	const core = new EntryHarness().configure().readRegistry([targetEntry('t1', {isLeaving: true})]);
	core.readRegistry([targetEntry('t1', {sequence: 3})]);
	assert.equal(effectsOfKind(core.arrive('r1'), 'send').length, 0);
	core.readRegistry([]).readRegistry([targetEntry('t1')]);
	assert.equal(effectsOfKind(core.arrive('r2'), 'send').length, 0, 'listed again');
	core.readRegistry([targetEntry('t1', {incarnation: 2})]);
	assert.ok(core.state.targets.get('t1')!.inFlight.size > 0, 'restarted');
});

test('a target that says in an answer that it leaves gets nothing more, and what waits goes elsewhere', () => {
	for (const kind of ['try-ended', 'try-progressed'] as const) {
		const core = new EntryHarness().configure().readRegistry([targetEntry('t1', {slots: 1})]);
		core.arrive('r1');
		if (kind === 'try-ended') {
			core.dispatch({
				kind, requestId: 'r1', tryNumber: 1, outcome: 'answered', delivered: 0, status: 200, isLeaving: true,
			});
		} else {
			core.dispatch({
				kind, requestId: 'r1', tryNumber: 1, delivered: 1, isLeaving: true,
			});
		}

		assert.equal(effectsOfKind(core.effects, 'log').filter(({event}) => event === 'target-leaving').length, 1, kind);
		core.readRegistry([targetEntry('t1', {sequence: 1}), targetEntry('t2')]);
		assert.deepEqual(effectsOfKind(core.arrive('r2'), 'send').map(({targetId}) => targetId), ['t2'], kind);
	}
});

test('an answer of an earlier incarnation does not make the restarted target a leaving one', () => {
	const core = new EntryHarness().configure().readRegistry([targetEntry('t1')]);
	core.arrive('r1');
	core.readRegistry([targetEntry('t1', {incarnation: 2})]);
	core.dispatch({
		kind: 'try-ended', requestId: 'r1', tryNumber: 1, outcome: 'answered', delivered: 0, status: 200, isLeaving: true,
	});
	assert.equal(effectsOfKind(core.arrive('r2'), 'send').length, 1);
});

test('a restarted target with the same id starts with fresh state', () => {
	const core = new EntryHarness().configure().readRegistry([targetEntry('t1', {sequence: 9})]);
	core.readRegistry([targetEntry('t1', {incarnation: 2, sequence: 0})]);
	assert.equal(core.state.targets.get('t1')?.entry.sequence, 0);
	core.readRegistry([targetEntry('t1', {incarnation: 1, sequence: 10})]);
	assert.equal(core.state.targets.get('t1')?.entry.incarnation, 2, 'a delayed entry of the earlier incarnation is ignored');
});

test('neither the store nor a peer can restore an older configuration', () => {
	const core = new EntryHarness().configure({version: 7, routes: [route({prefix: '/new/'})]});
	core.configure({version: 3});
	core.dispatch({kind: 'pull-completed', transfer: {instances: [], configuration: configuration({version: 6})}});
	assert.equal(core.state.configuration?.version, 7);
	assert.equal(effectsOfKind(core.arrive('r', '/records/1'), 'refuse')[0]?.code, 'path-unknown');
});

test('without a configuration requests get 503 instead of 404, and the instance is not ready', () => {
	const core = new EntryHarness();
	assert.equal(effectsOfKind(core.arrive('r'), 'refuse')[0]?.code, 'no-configuration');
	assert.equal(effectsOfKind(core.effects, 'set-readiness').length, 0);
	core.configure();
	assert.equal(effectsOfKind(core.effects, 'set-readiness').length, 1);
});

test('a newer configuration is pulled from the peer that has it', () => {
	const core = new EntryHarness().configure();
	const receiveBeacon = () => core.dispatch({
		kind: 'beacon-received',
		beacon: beacon({configurationVersion: 2}),
	});
	receiveBeacon();
	core.nowMs += 300;
	assert.equal(effectsOfKind(receiveBeacon(), 'pull')[0]?.address, 'b:1');
});

// Guards against a whole transfer from each peer that has a new version, which an instance that is late asks all of them for.
test('what many peers have is pulled from one of them, and from another one only once that is overdue', () => {
	const core = new EntryHarness().configure();
	const receiveBeacons = () => Array.from({length: 20}, (_, index) => core.dispatch({
		kind: 'beacon-received',
		beacon: beacon({from: instance(`p${index}`), configurationVersion: 2}),
	})).flatMap(effects => effectsOfKind(effects, 'pull').map(({address}) => address));
	assert.deepEqual(receiveBeacons(), []);
	core.nowMs += 300;
	assert.equal(receiveBeacons().length, 1);
	core.nowMs += 700;
	assert.equal(receiveBeacons().length, 0);
	core.nowMs += 300;
	assert.equal(receiveBeacons().length, 1);
	const afterFailure = core.dispatch({kind: 'pull-completed', transfer: undefined});
	assert.equal(effectsOfKind(afterFailure, 'pull').length, 1, 'the pull before it has failed');
	assert.equal(receiveBeacons().length, 0);
	core.dispatch({kind: 'pull-completed', transfer: {instances: [], configuration: configuration({version: 2})}});
	assert.equal(receiveBeacons().length, 0);
});

test('the longest matching prefix of the host wins, and a route is split by weight', () => {
	const core = new EntryHarness().configure({
		routes: [
			route({name: 'short', prefix: '/a/', destinations: [{service: 'records', weight: 1}]}),
			route({name: 'long', prefix: '/a/b/', destinations: [{service: 'left', weight: 9}, {service: 'right', weight: 1}]}),
		],
	}).readRegistry([targetEntry('t1'), targetEntry('l', {service: 'left', slots: 1000}), targetEntry('r', {service: 'right', slots: 1000})]);
	assert.equal(effectsOfKind(core.arrive('x', '/a/c'), 'send')[0]?.targetId, 't1');
	let right = 0;
	for (let index = 0; index < 500; index++) {
		right += effectsOfKind(core.arrive(`s${index}`, '/a/b/c'), 'send')[0]?.targetId === 'r' ? 1 : 0;
	}

	assert.ok(right > 25 && right < 90, `${right} of 500`);
	assert.equal(effectsOfKind(core.arrive('y', '/a', {host: 'a.example'}), 'refuse')[0]?.code, 'path-unknown');
});

/** Lets time pass until the registry is read, and returns how long that took. */
function advanceUntilRead(core: EntryHarness, maxMs: number): number {
	const sinceMs = core.nowMs;
	while (core.nowMs - sinceMs < maxMs && effectsOfKind(core.advance(50), 'read-registry').length === 0) {
		// The condition advances the clock.
	}

	return core.nowMs - sinceMs;
}

test('a delayed beacon does not make the registry copy look fresher than the store\'s time in it', () => {
	const core = new EntryHarness().configure().readRegistry([targetEntry('t1')]);
	const lateMs = 3000;
	const {digest, revision} = core.state.registry;
	let readAfterMs = Number.POSITIVE_INFINITY;
	for (let passedMs = 0; passedMs < 1500; passedMs += 50) {
		core.dispatch({
			kind: 'beacon-received',
			beacon: beacon({
				registry: {
					revision, digest, asOfStoreMs: core.storeMs - lateMs, isRead: true,
				},
			}),
		});
		if (effectsOfKind(core.advance(50), 'read-registry').length > 0) {
			readAfterMs = Math.min(readAfterMs, passedMs + 50);
		}
	}

	assert.ok(readAfterMs <= 900, `read the store after ${readAfterMs} ms`);
});

test('beacons that confirm a fresh copy make reads unnecessary', () => {
	const core = new EntryHarness().configure().readRegistry([targetEntry('t1')]);
	const {digest, revision} = core.state.registry;
	for (let passedMs = 0; passedMs < 3000; passedMs += 300) {
		core.dispatch({
			kind: 'beacon-received',
			beacon: beacon({
				registry: {
					revision, digest, asOfStoreMs: core.storeMs - 200, isRead: true,
				},
			}),
		});
		assert.equal(effectsOfKind(core.advance(300), 'read-registry').length, 0);
	}
});

test('an unanswered read is repeated within half a second, and a late response counts from when its read was sent', () => {
	const core = new EntryHarness().configure().readRegistry([targetEntry('t1')]);
	advanceUntilRead(core, 2000);
	const readSentAtMs = core.nowMs;
	const storeMs = core.storeMs + 1;
	assert.ok(advanceUntilRead(core, 2000) <= 500);
	core.advance(300);
	core.dispatch({
		kind: 'registry-read', revision: 9, entries: [], removed: [], isFullSnapshot: false, sentAtMs: readSentAtMs, storeMs,
	});
	assert.equal(core.state.registry.freshAtMs, readSentAtMs);
});

test('one failed read does not start the grace period for unlisted targets', () => {
	const core = new EntryHarness().configure().readRegistry([targetEntry('t1'), targetEntry('t2')]);
	core.advance(600);
	core.dispatch({kind: 'registry-read-failed'});
	core.advance(700);
	core.readRegistry([targetEntry('t2')]);
	core.arrive('r');
	assert.equal(core.state.targets.get('t1')?.inFlight.size, 0);
	assert.equal(core.state.targets.get('t2')?.inFlight.size, 1);
});

test('after a suspension a peer\'s copy does not count as fresh until the instance has read the store itself', () => {
	const core = new EntryHarness().configure().readRegistry([targetEntry('t1')]);
	const {digest, revision} = core.state.registry;
	// The monotonic clock was stopped for four seconds while the store's advanced.
	core.storeClockOffsetMs += 4000;
	let readAfterMs = 0;
	for (let hasRead = false; !hasRead && readAfterMs < 3000; readAfterMs += 50) {
		core.dispatch({
			kind: 'beacon-received',
			beacon: beacon({
				registry: {
					revision, digest, asOfStoreMs: core.storeMs - 200, isRead: true,
				},
			}),
		});
		hasRead = effectsOfKind(core.advance(50), 'read-registry').length > 0;
	}

	assert.ok(readAfterMs <= 1100, `read the store after ${readAfterMs} ms`);
});

test('a peer that pulls gets only the entries that have changed and the removals since its revision, and ends with the same digest', () => {
	const reader = new EntryHarness().configure().readRegistry([targetEntry('t1'), targetEntry('t2'), targetEntry('t3')]);
	const peer = new EntryHarness(instance('b')).configure();
	const pull = () => {
		const transfer = transferFor(contextOf(reader), knownVersions(contextOf(peer)));
		peer.dispatch({kind: 'pull-completed', transfer});
		return transfer.registry;
	};

	assert.deepEqual([pull()?.entries.length, peer.state.targets.size], [3, 3], 'a peer without any revision pulls the whole registry');
	reader.readRegistry([targetEntry('t1'), targetEntry('t2', {sequence: 4})]);
	const changes = pull();
	assert.deepEqual([changes?.entries.map(({id}) => id), changes?.removed], [['t2'], ['t3']]);
	assert.equal(peer.state.registry.digest, reader.state.registry.digest);
	assert.notEqual(peer.state.targets.get('t3')?.unlistedFromMs, undefined);
	reader.readRegistry([targetEntry('t1'), targetEntry('t2', {sequence: 4}), targetEntry('t3')]);
	assert.deepEqual(pull()?.entries.map(({id}) => id), ['t3']);
	assert.equal(peer.state.registry.digest, reader.state.registry.digest);
	const {acceptsChanges, checksDigest, ...known} = knownVersions(contextOf(peer));
	assert.deepEqual([acceptsChanges, checksDigest], [true, true]);
	reader.readRegistry([targetEntry('t1', {sequence: 9})]);
	for (const earlier of [known, {...known, acceptsChanges}]) {
		assert.equal(transferFor(contextOf(reader), earlier).registry?.removed, undefined, 'an earlier release gets the whole registry');
	}
});

test('an instance that has read the registry tells its whole zone, also when it is larger than a round of beacons', () => {
	const core = new EntryHarness().configure();
	const zone = Array.from({length: 40}, (_, index) => instance(`p${index}`));
	for (const from of zone) {
		core.dispatch({kind: 'beacon-received', beacon: beacon({from})});
	}

	core.advance(400);
	const receivers = (effects: ReturnType<typeof core.advance>) => new Set(effectsOfKind(effects, 'beacon').flatMap(({addresses}) => addresses)).size;
	core.effects.length = 0;
	assert.ok(receivers(core.advance(300)) < 20);
	core.readRegistry([targetEntry('t1')]);
	assert.equal(receivers(core.advance(300)), zone.length);
});

function contextOf({state, nowMs, wallOffsetMs}: EntryHarness): EntryContext {
	return {
		state, nowMs, wallMs: nowMs + wallOffsetMs, effects: [],
	};
}
