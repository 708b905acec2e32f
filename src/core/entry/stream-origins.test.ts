/**
Streams go on only at the release that began them: what instances remember of streams,
tell each other, and do when nobody knows.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	beacon, engineEntry, EntryHarness, effectsOfKind, instance, route,
} from '../../../test/standins/entry-harness.js';

const ask = route({
	name: 'ask', prefix: '/ask/', isStream: true, timeoutMs: 10_000, destinations: [{service: 'llm', weight: 1}], rank: 0,
});
const v1 = engineEntry('e1', ['m0'], {release: 'v1'});
const v2 = engineEntry('e2', ['m0'], {release: 'v2'});

/** Peers: `b` and `c` in the same zone, `d` and `e` in another, `f` in a third. */
function createCore(): EntryHarness {
	const core = new EntryHarness().configure({routes: [ask]});
	hearPeers(core);
	return core;
}

function hearPeers(core: EntryHarness, canReadStore = true): void {
	for (const [id, zone] of [['b', 'north'], ['c', 'north'], ['d', 'south'], ['e', 'south'], ['f', 'west']] as const) {
		core.dispatch({
			kind: 'beacon-received', beacon: beacon({
				from: instance(id, zone), registry: {
					revision: 0, digest: 0, asOfStoreMs: 0, isRead: canReadStore,
				},
			}),
		});
	}
}

function begin(core: EntryHarness, id: string): string {
	const sent = effectsOfKind(core.arrive(id, '/ask/1', {model: 'm0', deadlineMs: 10_000}), 'send')[0];
	core.dispatch({
		kind: 'try-progressed', requestId: id, tryNumber: 1, delivered: 1,
	});
	return sent!.targetId;
}

function resume(core: EntryHarness, id: string, resumes: string) {
	return core.arrive(id, '/ask/1', {
		model: 'm0', deadlineMs: 10_000, lastEventId: 3, resumes,
	});
}

/** Lets time pass in which the registry is read again and again. */
function stayInStep(core: EntryHarness, durationMs: number): void {
	for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 600) {
		core.advance(600);
		core.confirmRegistry();
	}
}

test('while a service runs one release, nothing is announced and nobody is asked', () => {
	const core = createCore().readRegistry([v1]);
	begin(core, 's1');
	stayInStep(core, 30_000);
	assert.equal(effectsOfKind(core.effects, 'announce-origins').length, 0);
	assert.equal(effectsOfKind(resume(core, 'r1', 'elsewhere'), 'send')[0]?.targetId, 'e1');
	assert.equal(effectsOfKind(core.effects, 'ask-origin').length, 0);
});

test('the first event of a stream of a mixed service is announced to one instance in each of three zones', () => {
	const core = createCore().readRegistry([v1, v2]);
	const targetId = begin(core, 's1');
	const announced = effectsOfKind(core.effects, 'announce-origins');
	const zoneOf: Record<string, string> = {
		'b:2': 'north', 'c:2': 'north', 'd:2': 'south', 'e:2': 'south', 'f:2': 'west',
	};
	assert.equal(announced.length, 3);
	assert.deepEqual(new Set(announced.map(({addresses}) => zoneOf[addresses[0]!])), new Set(['north', 'south', 'west']));
	assert.deepEqual(announced[0]?.announcement.origins, [['s1', 'llm', targetId === 'e1' ? 'v1' : 'v2']]);
});

// Guards against streams that began before the second release came and whose instance dies afterwards.
test('when a second release appears, the origins of all open streams are announced', () => {
	const core = createCore().readRegistry([v1]);
	begin(core, 's1');
	begin(core, 's2');
	core.readRegistry([v1, v2]);
	const origins = effectsOfKind(core.effects, 'announce-origins').flatMap(({announcement}) => announcement.origins);
	assert.deepEqual(new Set(origins.map(([id, , release]) => `${id} ${release}`)), new Set(['s1 v1', 's2 v1']));
});

test('a stream that breaks goes on only at the release that began it, and is cut off at once when none is left', () => {
	for (const begun of ['v1', 'v2']) {
		const core = createCore().readRegistry([v1, v2, {...v1, id: 'e3'}, {...v2, id: 'e4'}]);
		for (let index = 0; index < 20; index++) {
			const id = `s${index}`;
			const {release} = core.state.targets.get(begin(core, id))!.entry;
			if (release === begun) {
				const [again] = effectsOfKind(core.endTry(id, 1, 'broken'), 'send');
				assert.equal(core.state.targets.get(again?.targetId ?? '')?.entry.release, begun);
				core.readRegistry([v1, v2].filter(entry => entry.release !== begun));
				assert.equal(effectsOfKind(core.endTry(id, 2, 'not-sent'), 'break-off').length, 1);
				break;
			}

			core.dispatch({kind: 'caller-left', requestId: id});
		}
	}
});

// Guards against "not run" for a request that may have run: the target of the release broke off before the first event, and none is left.
test('a resumed stream that was sent is not refused as not run when no target of its release is left', () => {
	const core = createCore().readRegistry([v1, v2]);
	core.dispatch({kind: 'origins-announced', announcement: {origins: [['s9', 'llm', 'v2']]}});
	assert.equal(effectsOfKind(resume(core, 'r1', 's9'), 'send')[0]?.targetId, 'e2');
	core.readRegistry([v1]);
	const effects = [...core.endTry('r1', 1, 'broken'), ...core.advance(10_000)];
	assert.deepEqual(effectsOfKind(effects, 'refuse').map(({requestId, code}) => [requestId, code]), [['r1', 'target-failed']]);
});

test('a stream that another instance began is resumed once an instance answers, and the answer is remembered', () => {
	const core = createCore().readRegistry([v1, v2]);
	const effects = resume(core, 'r1', 's9');
	assert.equal(effectsOfKind(effects, 'send').length, 0);
	assert.equal(effectsOfKind(effects, 'ask-origin')[0]?.addresses.length, 5);
	const answered = core.dispatch({kind: 'origins-announced', announcement: {origins: [['s9', 'llm', 'v2']]}});
	assert.equal(effectsOfKind(answered, 'send')[0]?.targetId, 'e2');
	core.dispatch({kind: 'caller-left', requestId: 'r1'});
	assert.equal(effectsOfKind(resume(core, 'r2', 's9'), 'send')[0]?.targetId, 'e2');
	const asked = core.dispatch({kind: 'origin-asked', query: {streamId: 's9', replyTo: 'x:1'}});
	assert.deepEqual(effectsOfKind(asked, 'announce-origins')[0]?.announcement.origins, [['s9', 'llm', 'v2']]);
	assert.equal(core.dispatch({kind: 'origin-asked', query: {streamId: 'unknown', replyTo: 'x:1'}}).length, 0);
});

// Guards against guessing the release, and against holding a request whose answer cannot come.
test('a stream whose origin nobody knows is refused as not run within 300 ms, and nothing of it is kept', () => {
	const core = createCore().readRegistry([v1, v2]);
	resume(core, 'r1', 'lost');
	resume(core, 'r2', 'lost');
	core.dispatch({kind: 'caller-left', requestId: 'r2'});
	const refusals = effectsOfKind(core.advance(300), 'refuse');
	assert.deepEqual(refusals.map(({requestId, code}) => [requestId, code]), [['r1', 'stream-not-resumable']]);
	assert.equal(core.state.originQueries.size, 0);
	assert.equal(core.state.open.size, 0);
	assert.equal(effectsOfKind(core.effects, 'send').length, 0);
});

// Guards against guessing: the caller does not say which stream it resumes, so that no peer can be asked.
test('a resumption that names no request goes on at the only release that is on record, or is refused at once where several serve', () => {
	const only = createCore().readRegistry([v1]);
	const several = createCore().readRegistry([v1, v2]);
	for (const core of [only, several]) {
		core.arrive('r1', '/ask/1', {model: 'm0', deadlineMs: 10_000, lastEventId: 3});
		assert.equal(effectsOfKind(core.effects, 'ask-origin').length, 0);
	}

	assert.equal(effectsOfKind(only.effects, 'send').length, 0);
	assert.equal(effectsOfKind(readRecord(only, {llm: ['v1']}), 'send')[0]?.targetId, 'e1');
	assert.equal(effectsOfKind(several.effects, 'refuse')[0]?.code, 'stream-not-resumable');
});

/** The record of releases in the store, as this core reads it. */
function readRecord(core: EntryHarness, releases: Readonly<Record<string, readonly string[]>>, {sinceMs = core.storeMs - 60_000, eraRevision = 0} = {}) {
	return core.dispatch({
		kind: 'releases-read', sentAtMs: core.nowMs, row: {
			revision: 9, record: {sinceMs, eraRevision: 0, releases}, storeMs: core.storeMs, eraRevision,
		},
	});
}

// Guards against streams joined from two releases after all instances were killed: nobody knows who began them, and the old release's targets have gone.
test('an instance that has just started goes on at the only release that it sees once the record names no other', () => {
	const core = createCore().readRegistry([v1]);
	assert.equal(effectsOfKind(resume(core, 'r1', 's9'), 'ask-origin').length, 1);
	assert.equal(effectsOfKind(core.effects, 'read-releases').length, 1);
	assert.equal(effectsOfKind(readRecord(core, {llm: ['v1'], records: ['v7']}), 'send')[0]?.targetId, 'e1');
	assert.equal(effectsOfKind(resume(core, 'r2', 's9'), 'send')[0]?.targetId, 'e1', 'what began it is remembered');
});

for (const [unproven, answer] of [
	['the store does not answer', (core: EntryHarness) => core.advance(300)],
	['the store cannot be read', (core: EntryHarness) => {
		core.dispatch({kind: 'releases-read', row: undefined, sentAtMs: core.nowMs});
		return core.advance(300);
	}],
	['nothing is on record', (core: EntryHarness) => {
		core.dispatch({
			kind: 'releases-read', sentAtMs: core.nowMs, row: {
				revision: 0, record: undefined, storeMs: core.storeMs, eraRevision: 0,
			},
		});
		return core.advance(300);
	}],
	['another release is on record too', (core: EntryHarness) => {
		readRecord(core, {llm: ['v0', 'v1']});
		return core.advance(300);
	}],
	['only another release is on record', (core: EntryHarness) => {
		readRecord(core, {llm: ['v0']});
		return core.advance(300);
	}],
	['the record began after the stream may have', (core: EntryHarness) => {
		readRecord(core, {llm: ['v1']}, {sinceMs: core.storeMs - 5000});
		return core.advance(300);
	}],
	['the store was restored from a copy since', (core: EntryHarness) => {
		readRecord(core, {llm: ['v1']}, {eraRevision: 2 ** 40});
		return core.advance(300);
	}],
] as const) {
	test(`an instance that has just started refuses to go on with a stream at the only release that it sees, as not run within 300 ms, if ${unproven}`, () => {
		const core = createCore().readRegistry([v1]);
		resume(core, 'r1', 's9');
		const effects = answer(core);
		assert.deepEqual(effectsOfKind(core.effects, 'refuse').map(({requestId, code}) => [requestId, code]), [['r1', 'stream-not-resumable']], JSON.stringify(effects));
		assert.equal(effectsOfKind(core.effects, 'send').length, 0);
		assert.equal(core.state.open.size, 0);
	});
}

test('an instance that has just started asks peers where it sees one release, and believes them', () => {
	const core = createCore().readRegistry([v1]);
	resume(core, 'r2', 's8');
	const answered = core.dispatch({kind: 'origins-announced', announcement: {origins: [['s8', 'llm', 'v0']]}});
	assert.equal(effectsOfKind(answered, 'refuse')[0]?.code, 'stream-not-resumable');
});

// Guards against a stream that goes on anywhere since the registry has not been read yet.
test('an instance that has not read the registry yet binds a stream to the only release on record', () => {
	const core = createCore();
	resume(core, 'r1', 's9');
	readRecord(core, {llm: ['v1']});
	assert.deepEqual(effectsOfKind(core.effects, 'refuse'), []);
	core.readRegistry([v2]);
	assert.equal(effectsOfKind(core.effects, 'send').length, 0);
	core.readRegistry([v1, v2]);
	assert.equal(effectsOfKind(core.effects, 'send')[0]?.targetId, 'e1');
});

test('many streams that are resumed at once take one read of the record', () => {
	const core = createCore().readRegistry([v1]);
	for (let index = 0; index < 6; index++) {
		resume(core, `r${index}`, `s${index}`);
	}

	assert.equal(effectsOfKind(core.effects, 'read-releases').length, 1);
	readRecord(core, {llm: ['v1']});
	assert.equal([...core.state.open.values()].filter(({phase, release}) => phase !== 'resolving' && release === 'v1').length, 6);
	assert.equal(core.state.unprovenStreams.size, 0);
});

test('a stream goes on at the service that began it where a route leads to several, and is refused where it no longer leads there', () => {
	const split = {...ask, destinations: [{service: 'llm', weight: 1}, {service: 'other', weight: 0}]};
	const core = createCore().configure({version: 2, routes: [split]});
	core.readRegistry([v1, v2, engineEntry('o1', ['m0'], {service: 'other', release: 'v1'})]);
	core.dispatch({kind: 'origins-announced', announcement: {origins: [['s1', 'other', 'v1'], ['s2', 'gone', 'v1']]}});
	assert.equal(effectsOfKind(resume(core, 'r1', 's1'), 'send')[0]?.targetId, 'o1');
	assert.equal(effectsOfKind(resume(core, 'r2', 's2'), 'refuse')[0]?.code, 'stream-not-resumable');
	core.dispatch({kind: 'caller-left', requestId: 'r1'});
	assert.ok([...core.state.demand.values()].every(({open}) => open === 0));
});

/** An instance that has followed the registry for long and then is out of step for a while. */
function createBehind(): EntryHarness {
	const core = createCore().readRegistry([v1]);
	stayInStep(core, 31_000);
	hearPeers(core);
	readRecord(core, {llm: ['v1']});
	core.advance(200);
	core.effects.length = 0;
	return core;
}

// Guards against streams joined from two releases: an instance whose copy of the registry is behind took the only release that it knew for the one that began the stream.
test('a stream that another instance began goes on at the only release that is known here once the registry has been read since its caller came', () => {
	const core = createBehind();
	const effects = resume(core, 'r1', 's9');
	assert.deepEqual([effectsOfKind(effects, 'send').length, effectsOfKind(effects, 'read-registry').length, effectsOfKind(effects, 'ask-origin').length], [0, 1, 0]);
	core.advance(50);
	core.confirmRegistry();
	assert.equal(effectsOfKind(core.effects, 'send')[0]?.targetId, 'e1');
});

test('a release that joined while this instance was behind may have begun the stream: peers are asked', () => {
	const core = createBehind();
	resume(core, 'r1', 's9');
	resume(core, 'r2', 's9');
	core.readRegistry([v1, v2]);
	assert.equal(effectsOfKind(core.effects, 'ask-origin')[0]?.addresses.length, 5);
	core.dispatch({kind: 'origins-announced', announcement: {origins: [['s9', 'llm', 'v2']]}});
	assert.deepEqual(effectsOfKind(core.effects, 'send').map(({requestId, targetId}) => [requestId, targetId]), [['r1', 'e2'], ['r2', 'e2']]);
});

test('an answer to a read that was sent before the caller came proves nothing', () => {
	const core = createBehind();
	const sentAtMs = core.nowMs;
	core.advance(100);
	resume(core, 'r1', 's9');
	core.dispatch({
		kind: 'registry-read', revision: core.state.registry.revision, entries: [], removed: [], isFullSnapshot: false, sentAtMs, sentAtWallMs: sentAtMs + core.wallOffsetMs, storeMs: core.storeMs,
	});
	assert.equal(effectsOfKind(core.effects, 'send').length, 0);
});

// Guards against a release that came and went while the instance stood still, which no later read of the registry shows.
test('after a gap the record of releases has to name a single release as well', () => {
	for (const {releases, isRefused} of [{releases: ['v1'], isRefused: false}, {releases: ['v1', 'v2'], isRefused: true}]) {
		const core = createBehind().suspend(5000);
		resume(core, 'r1', 's9');
		core.readRegistry([v1]);
		assert.equal(effectsOfKind(core.effects, 'send').length, 0);
		assert.equal(effectsOfKind(core.effects, 'read-releases').length, 1);
		readRecord(core, {llm: releases});
		core.advance(300);
		assert.equal(effectsOfKind(core.effects, 'send').length, isRefused ? 0 : 1);
		assert.equal(effectsOfKind(core.effects, 'refuse')[0]?.code, isRefused ? 'stream-not-resumable' : undefined);
	}
});

test('an instance that alone does not reach the store refuses within 300 ms; where none of them does, the release that all know goes on', () => {
	for (const isAlone of [true, false]) {
		const core = createBehind();
		core.dispatch({kind: 'registry-read-failed'});
		hearPeers(core, isAlone);
		resume(core, 'r1', 's9');
		core.advance(300);
		assert.deepEqual(effectsOfKind(core.effects, 'send').map(({targetId}) => targetId), isAlone ? [] : ['e1']);
		assert.equal(effectsOfKind(core.effects, 'refuse')[0]?.code, isAlone ? 'stream-not-resumable' : undefined);
	}
});

// Guards against a release that is forgotten at once since its targets have started again as another one, under their ids.
test('the release of targets that have restarted as another one may have begun a stream for as long as streams last', () => {
	const core = createCore().readRegistry([v1]);
	stayInStep(core, 31_000);
	core.readRegistry([{...v1, incarnation: 2, release: 'v2'}]);
	hearPeers(core);
	resume(core, 'r1', 's9');
	core.confirmRegistry();
	core.advance(300);
	assert.deepEqual(effectsOfKind(core.effects, 'refuse').map(({requestId, code}) => [requestId, code]), [['r1', 'stream-not-resumable']]);
	assert.equal(effectsOfKind(core.effects, 'send').length, 0);
	core.dispatch({kind: 'origins-announced', announcement: {origins: [['s8', 'llm', 'v2']]}});
	assert.equal(effectsOfKind(resume(core, 'r2', 's8'), 'send')[0]?.targetId, 'e1', 'one that is known goes on');
	core.dispatch({kind: 'caller-left', requestId: 'r2'});
	stayInStep(core, 31_000);
	core.confirmRegistry();
	resume(core, 'r3', 's7');
	core.advance(50);
	core.confirmRegistry();
	assert.equal(effectsOfKind(core.effects, 'send').at(-1)?.requestId, 'r3', 'streams of the old release are over');
});

test('while targets restart as another release, the origins of streams that begin are announced', () => {
	const core = createCore().readRegistry([v1]);
	hearPeers(core);
	core.readRegistry([{...v1, incarnation: 2, release: 'v2'}]);
	begin(core, 'r1');
	assert.deepEqual(effectsOfKind(core.effects, 'announce-origins')[0]?.announcement.origins, [['r1', 'llm', 'v2']]);
});

const split = {...ask, destinations: [{service: 'llm', weight: 1}, {service: 'other', weight: 1}]};
const other = engineEntry('o1', ['m0'], {service: 'other', release: 'v1'});

// Guards against streams joined from two services of a split route: the one that was drawn for the resumption was taken for the one that began it.
test('a stream of a route that leads to several services is not resumed while any of them may have begun it', () => {
	for (const releases of [['v1', 'v1'], ['v1', 'v2']]) {
		const core = createCore().configure({version: 2, routes: [split]});
		core.readRegistry([{...v1, release: releases[0]!}, {...other, release: releases[1]!}]);
		stayInStep(core, 31_000);
		hearPeers(core);
		core.arrive('r1', '/ask/1', {model: 'm0', deadlineMs: 10_000, lastEventId: 3});
		for (let index = 0; index < 8; index++) {
			resume(core, `s${index}`, `begun-${index}`);
		}

		core.confirmRegistry();
		core.advance(300);
		assert.deepEqual(new Set(effectsOfKind(core.effects, 'refuse').map(({code}) => code)), new Set(['stream-not-resumable']));
		assert.equal(effectsOfKind(core.effects, 'send').length, 0);
	}
});

test('the record of releases proves what began a stream only over all services that its route leads to', () => {
	for (const {releases, isRefused} of [{releases: {llm: ['v1']}, isRefused: false}, {releases: {llm: ['v1'], other: ['v1']}, isRefused: true}]) {
		const core = createCore().configure({version: 2, routes: [split]}).readRegistry([v1]);
		resume(core, 'r1', 's9');
		readRecord(core, releases);
		core.advance(300);
		assert.deepEqual(effectsOfKind(core.effects, 'send').map(({targetId}) => targetId), isRefused ? [] : ['e1']);
		assert.equal(effectsOfKind(core.effects, 'refuse').length, isRefused ? 1 : 0);
	}
});

test('the origin of a stream of a split route is announced, so that it goes on where it is resumed', () => {
	const core = createCore().configure({version: 2, routes: [split]}).readRegistry([v1, other]);
	const targetId = begin(core, 's1');
	assert.deepEqual(effectsOfKind(core.effects, 'announce-origins').at(-1)?.announcement.origins, [['s1', targetId === 'o1' ? 'other' : 'llm', 'v1']]);
	resume(core, 'r1', 's9');
	core.dispatch({kind: 'origins-announced', announcement: {origins: [['s9', 'other', 'v1']]}});
	assert.equal(effectsOfKind(core.effects, 'send').at(-1)?.targetId, 'o1');
});

// Guards against streams joined from two services after a route was moved: only the service that it leads to now was looked at.
test('a stream of a route that has led to another service lately is not resumed at the new one unless it is known to have begun there', () => {
	const core = createCore().readRegistry([v1, other]);
	stayInStep(core, 31_000);
	core.configure({version: 2, routes: [{...ask, destinations: [{service: 'other', weight: 1}]}]});
	hearPeers(core);
	resume(core, 'r1', 's9');
	core.confirmRegistry();
	core.advance(300);
	assert.deepEqual(effectsOfKind(core.effects, 'refuse').map(({code}) => code), ['stream-not-resumable']);
	core.dispatch({kind: 'origins-announced', announcement: {origins: [['s8', 'other', 'v1']]}});
	assert.equal(effectsOfKind(resume(core, 'r2', 's8'), 'send')[0]?.targetId, 'o1');
	core.dispatch({kind: 'caller-left', requestId: 'r2'});
	stayInStep(core, 31_000);
	core.configure({version: 3, routes: [{...ask, destinations: [{service: 'other', weight: 1}]}]});
	resume(core, 'r3', 's7');
	core.advance(50);
	core.confirmRegistry();
	assert.equal(effectsOfKind(core.effects, 'send').at(-1)?.requestId, 'r3', 'streams of the service before are over');
});

test('while a route has led to another service lately, the origins of streams that begin are announced, and of those that are open', () => {
	const core = createCore().readRegistry([v1, other]);
	begin(core, 's1');
	core.effects.length = 0;
	core.configure({version: 2, routes: [{...ask, destinations: [{service: 'other', weight: 1}]}]});
	begin(core, 's2');
	const origins = effectsOfKind(core.effects, 'announce-origins').flatMap(({announcement}) => announcement.origins);
	assert.deepEqual(new Set(origins.map(origin => origin.join(' '))), new Set(['s1 llm v1', 's2 other v1']));
});
