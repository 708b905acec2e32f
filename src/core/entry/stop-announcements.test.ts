import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	effectsOfKind, beacon, EntryHarness, instance,
} from '../../../test/standins/entry-harness.js';
import {EntryGroup} from '../../../test/standins/entry-group.js';
import {encodeDatagram} from '../../entry/datagram-codec.js';
import {type EntryEffect} from './effect.js';
import {type AnnouncedCut, type StopAnnouncement} from './peer-messages.js';
import {MAX_CUTS_NAMED, MAX_OPEN_NAMED} from './stop-announcements.js';

const LOST_AFTER_MS = 3000;

function cut(requestId: string, reason = 'instance-stopped'): AnnouncedCut {
	return {
		requestId, reason, tries: 'i-1:canceled', closedBy: 'instance',
	};
}

function open(requestId: string) {
	return {
		requestId, tries: 'i-1:open', state: 'begun', openForMs: 100,
	};
}

function announcement(overrides: Partial<StopAnnouncement> = {}): StopAnnouncement {
	return {
		from: 'b', boot: 'b-1', sequence: 1, isClosed: false, cuts: [], moreCuts: 0, open: [], moreOpen: 0, ...overrides,
	};
}

/** Event, request and reason of the lines of a peer's stop. */
function linesOf(effects: readonly EntryEffect[]): unknown[] {
	return effectsOfKind(effects, 'log')
		.filter(({event}) => event.startsWith('peer-request'))
		.map(({event, fields}) => event === 'peer-requests-unnamed' ? [event, fields.cut, fields.open] : [event, fields.requestId, fields.reason]);
}

function announced(effects: readonly EntryEffect[]): StopAnnouncement[] {
	return effectsOfKind(effects, 'announce-stop').map(effect => effect.announcement);
}

function stopping(): EntryHarness {
	const core = new EntryHarness().configure();
	core.dispatch({kind: 'beacon-received', beacon: beacon()});
	core.dispatch({kind: 'drain-requested'});
	return core;
}

// Guards against ends of requests at a stop (LOST) that only the log of the instance that stops tells of.
test('peers write one line for each request that a stop cuts off, whatever datagrams are doubled or late', () => {
	const group = new EntryGroup(['a', 'b', 'c'].map(id => instance(id)), () => []);
	const [a, b, c] = group.members as [EntryHarness, EntryHarness, EntryHarness];
	group.advance(1000);
	group.deliver(c, c.dispatch({kind: 'drain-requested'}));
	c.dispatch({kind: 'request-cut', cut: cut('r1')});
	c.dispatch({kind: 'request-cut', cut: cut('r2', 'deadline')});
	group.advance(100);
	const closing = c.dispatch({kind: 'closing'});
	assert.equal(announced(closing).length, 2);
	group.deliver(c, closing);
	group.isolated.add(c);
	group.advance(LOST_AFTER_MS * 2);
	for (const peer of [a, b]) {
		assert.deepEqual(linesOf(peer.effects), [['peer-request-cut', 'r1', 'instance-stopped'], ['peer-request-cut', 'r2', 'deadline']]);
	}

	const line = effectsOfKind(a.effects, 'log').find(({event}) => event === 'peer-request-cut')!;
	assert.deepEqual(Object.keys(line.fields).slice(0, 4), ['requestId', 'reason', 'by', 'tries']);
	assert.deepEqual(linesOf(c.effects), []);
});

// Guards against requests that end with a killed process and that the logs of others do not name.
test('a peer names the open requests of an instance that is gone without a last word, once', () => {
	const group = new EntryGroup(['a', 'b'].map(id => instance(id)), () => []);
	const [a, b] = group.members as [EntryHarness, EntryHarness];
	group.advance(1000);
	group.deliver(b, b.dispatch({kind: 'drain-requested'}));
	group.deliver(b, b.dispatch({kind: 'requests-open', open: [open('r1'), open('r2')], more: 3}));
	group.advance(1000);
	group.deliver(b, b.dispatch({kind: 'requests-open', open: [open('r2')], more: 3}));
	group.isolated.add(b);
	group.advance(LOST_AFTER_MS - 500);
	assert.deepEqual(linesOf(a.effects), []);
	group.advance(1000);
	const expected = [['peer-request-cut', 'r2', 'instance-lost'], ['peer-requests-unnamed', 0, 3]];
	assert.deepEqual(linesOf(a.effects), expected);
	// It was only paused, and tells more.
	group.isolated.delete(b);
	b.dispatch({kind: 'request-cut', cut: cut('r2')});
	group.deliver(b, b.dispatch({kind: 'closing'}));
	group.isolated.add(b);
	group.advance(LOST_AFTER_MS * 2);
	assert.deepEqual(linesOf(a.effects).slice(0, 2), expected);
	assert.equal(linesOf(a.effects).filter(line => (line as unknown[])[1] === 'r2').length, 1);
});

test('an announcement that comes late does not open again what a later one has closed', () => {
	const core = new EntryHarness().configure();
	core.dispatch({kind: 'stop-announced', announcement: announcement({sequence: 2, isClosed: true})});
	core.dispatch({kind: 'stop-announced', announcement: announcement({sequence: 1, open: [open('r1')]})});
	core.advance(LOST_AFTER_MS * 2);
	assert.deepEqual(linesOf(core.effects), []);
});

test('a new process of an instance ends the stop of the one before it, and is not taken for it', () => {
	const core = new EntryHarness().configure();
	core.dispatch({kind: 'beacon-received', beacon: beacon()});
	core.dispatch({kind: 'stop-announced', announcement: announcement({open: [open('r1')]})});
	core.dispatch({kind: 'beacon-received', beacon: beacon({from: {...instance('b'), boot: 'b-2'}})});
	assert.deepEqual(linesOf(core.effects), [['peer-request-cut', 'r1', 'instance-lost']]);
	core.dispatch({kind: 'stop-announced', announcement: announcement({boot: 'b-2', cuts: [cut('r1')]})});
	assert.equal(linesOf(core.effects).length, 2);
});

test('an instance that is late itself does not take a stopping one for lost', () => {
	const core = new EntryHarness().configure();
	core.dispatch({kind: 'stop-announced', announcement: announcement({open: [open('r1')]})});
	const heardAtMs = core.nowMs;
	core.nowMs += LOST_AFTER_MS * 2;
	core.dispatch({kind: 'tick', lateMs: LOST_AFTER_MS * 2, readUntilMs: heardAtMs + 100});
	core.dispatch({kind: 'stop-announced', announcement: announcement({sequence: 2, isClosed: true})});
	core.advance(LOST_AFTER_MS * 2);
	assert.deepEqual(linesOf(core.effects), []);
});

test('a stop names a bounded number of requests, of those that others account for fewer, to a bounded number of peers', () => {
	const core = stopping();
	for (let index = 0; index < 100; index++) {
		core.dispatch({kind: 'beacon-received', beacon: beacon({from: instance(`p${String(index).padStart(3, '0')}`, 'south')})});
	}

	for (let index = 0; index < 200; index++) {
		core.dispatch({kind: 'request-cut', cut: cut(`deadline${index}`, 'deadline')});
	}

	for (let index = 0; index < 200; index++) {
		core.dispatch({kind: 'request-cut', cut: cut(`cut${index}`)});
	}

	const [last, again] = effectsOfKind(core.dispatch({kind: 'closing'}), 'announce-stop');
	assert.equal(last!.announcement.cuts.length, MAX_CUTS_NAMED);
	assert.ok(last!.announcement.cuts.filter(({reason}) => reason === 'instance-stopped').length >= MAX_CUTS_NAMED / 2);
	assert.equal(last!.announcement.moreCuts, 400 - MAX_CUTS_NAMED);
	assert.ok(last!.addresses.length <= 16, `${last!.addresses.length} receivers`);
	assert.deepEqual(last!.addresses.slice(0, 3), ['b:2', 'p000:2', 'p001:2']);
	assert.equal(again!.announcement.sequence, last!.announcement.sequence + 1);
	const peer = new EntryHarness(instance('p001', 'south')).configure();
	peer.dispatch({kind: 'stop-announced', announcement: last!.announcement});
	peer.dispatch({kind: 'stop-announced', announcement: again!.announcement});
	assert.equal(linesOf(peer.effects).length, MAX_CUTS_NAMED + 1);
	assert.ok(MAX_OPEN_NAMED <= 50);
});

test('many ends at once go into one announcement, and an instance that serves or has nothing to tell makes none', () => {
	const core = stopping();
	core.effects.length = 0;
	for (let index = 0; index < 10; index++) {
		core.dispatch({kind: 'request-cut', cut: cut(`r${index}`)});
	}

	core.advance(500);
	assert.deepEqual(announced(core.effects).map(({cuts}) => cuts.length), [10]);
	const serving = new EntryHarness().configure();
	serving.dispatch({kind: 'beacon-received', beacon: beacon()});
	serving.dispatch({kind: 'request-cut', cut: cut('r1')});
	serving.advance(500);
	serving.dispatch({kind: 'closing'});
	const quiet = stopping();
	quiet.dispatch({kind: 'requests-open', open: [], more: 0});
	quiet.advance(500);
	quiet.dispatch({kind: 'closing'});
	assert.deepEqual([...announced(serving.effects), ...announced(quiet.effects)], []);
});

// Guards against a stop whose announcements are dropped since callers chose long ids.
test('what a stop names fits into a datagram whatever ids callers choose', () => {
	const core = stopping();
	for (let index = 0; index < 100; index++) {
		core.dispatch({kind: 'request-cut', cut: {...cut(`${index}${'x'.repeat(index % 2 === 0 ? 180 : 5000)}`), tries: 'i-1:failed:500 '.repeat(1000)}});
	}

	core.dispatch({kind: 'requests-open', open: Array.from({length: MAX_OPEN_NAMED * 2}, (_, index) => ({...open(`${index}${'x'.repeat(index === 0 ? 5000 : 180)}`), tries: 'i-1:open '.repeat(1000)})), more: 7});
	const [last] = announced(core.effects).slice(-1);
	assert.equal(last!.cuts.length + last!.moreCuts, 100);
	assert.deepEqual([last!.open.length, last!.moreOpen], [MAX_OPEN_NAMED, MAX_OPEN_NAMED + 7]);
	assert.ok(encodeDatagram(last!).length < 40_000, `${encodeDatagram(last!).length} bytes`);
});
