/**
The record of releases in the store: when it is read and written, and by whom. It has to
name every release at which a stream may have begun, so that it proves after a kill of all
instances that there was only one.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	beacon, engineEntry, EntryHarness, effectsOfKind, instance, targetEntry,
} from '../../../test/standins/entry-harness.js';
import {onlyOrigin, type ReleaseRecord} from './release-record.js';
import {type EntryContext} from './state.js';

const v1 = engineEntry('e1', ['m0'], {release: 'v1'});
const v2 = engineEntry('e2', ['m0'], {release: 'v2'});
const records = targetEntry('t1', {release: 'v7'});

/** One instance, and the row that it reads and writes. */
class Writer extends EntryHarness {
	row: {revision: number; record: ReleaseRecord | undefined} = {revision: 0, record: undefined};
	eraRevision = 0;
	reads = 0;
	writes = 0;
	isStoreDown = false;
	private _served = 0;

	/** Serves the calls of the core, tick by tick. Reads of the registry bring the same entries again. */
	run(durationMs: number): this {
		for (let passedMs = 0; passedMs < durationMs; passedMs += 50) {
			this.advance(50);
			if (!this.isStoreDown) {
				this.confirmRegistry();
			}

			this._serve();
		}

		return this;
	}

	private _serve(): void {
		for (; this._served < this.effects.length; this._served++) {
			const effect = this.effects[this._served]!;
			if (effect.kind === 'read-releases') {
				this.reads++;
				this.dispatch({kind: 'releases-read', row: this.isStoreDown ? undefined : {...this.row, storeMs: this.storeMs, eraRevision: this.eraRevision}, sentAtMs: this.nowMs});
			} else if (effect.kind === 'write-releases') {
				this.writes++;
				const isDone = !this.isStoreDown && effect.expectedRevision === this.row.revision;
				if (isDone) {
					this.row = {revision: this.row.revision + 1, record: effect.record};
				}

				this.dispatch({kind: 'releases-written', revision: isDone ? this.row.revision : undefined});
			}
		}
	}
}

test('the first release of each service is recorded, once, with the time since which the record is complete', () => {
	const core = new Writer().readRegistry([v1, records]);
	core.run(10_000);
	assert.deepEqual(core.row.record?.releases, {llm: ['v1'], records: ['v7']});
	assert.ok(core.row.record.sinceMs <= core.storeMs - 9000);
	assert.deepEqual([core.reads, core.writes], [1, 1]);
});

test('a release is added when it appears, and removed when it has not been listed for as long as streams last', () => {
	const core = new Writer().readRegistry([v1]);
	core.run(1000);
	const {sinceMs} = core.row.record!;
	core.readRegistry([v1, v2]);
	core.run(200);
	assert.deepEqual(core.row.record?.releases, {llm: ['v1', 'v2']});
	core.readRegistry([v2]);
	core.run(25_000);
	assert.deepEqual(core.row.record.releases, {llm: ['v1', 'v2']});
	core.run(10_000);
	assert.deepEqual(core.row.record.releases, {llm: ['v2']});
	assert.equal(core.row.record.sinceMs, sinceMs);
	assert.deepEqual([core.reads, core.writes], [1, 3]);
});

// Guards against a restarted instance that forgets what it has not seen itself.
test('an instance that starts after the old release has gone leaves it on record until streams that it began are over', () => {
	const core = new Writer().readRegistry([v2]);
	core.row = {revision: 4, record: {sinceMs: core.storeMs - 90_000, eraRevision: 0, releases: {llm: ['v1']}}};
	core.run(1000);
	assert.deepEqual(core.row.record?.releases, {llm: ['v1', 'v2']});
	core.run(25_000);
	assert.deepEqual(core.row.record.releases, {llm: ['v1', 'v2']});
	core.run(10_000);
	assert.deepEqual(core.row.record.releases, {llm: ['v2']});
});

// Guards against a record that has lost a release with the store's restore and still counts as complete.
test('after the store was restored the record is written again and is complete only from then on', () => {
	const core = new Writer().readRegistry([v1]);
	core.run(5000);
	core.readRegistry([v1, v2]);
	core.run(1000);
	const restored = core.row.record!;
	core.row = {revision: 2 ** 40, record: {...restored, releases: {llm: ['v1']}}};
	core.eraRevision = 2 ** 40;
	core.dispatch({
		kind: 'registry-read', revision: (2 ** 40) + 1, entries: [v1, v2], removed: [], isFullSnapshot: true, eraRevision: 2 ** 40, sentAtMs: core.nowMs, storeMs: core.storeMs,
	});
	core.run(1000);
	assert.deepEqual(core.row.record?.releases, {llm: ['v1', 'v2']});
	assert.equal(core.row.record.eraRevision, 2 ** 40);
	assert.ok(core.row.record.sinceMs >= core.storeMs - 2000);
});

test('two writers: one that meets a newer row reads it and adds what it lacks', () => {
	const core = new Writer().readRegistry([v1]);
	core.run(1000);
	core.row = {revision: 7, record: {...core.row.record!, releases: {llm: ['v1', 'v3']}}};
	core.readRegistry([v1, v2]);
	core.run(1000);
	assert.deepEqual(core.row.record?.releases, {llm: ['v1', 'v3', 'v2']});
});

test('while the store is away the record is asked for now and then, and written once it is back', () => {
	const core = new Writer().readRegistry([v1]);
	core.isStoreDown = true;
	core.run(3000);
	assert.ok(core.reads + core.writes <= 20, `${core.reads + core.writes} calls`);
	core.isStoreDown = false;
	core.run(1000);
	assert.deepEqual(core.row.record?.releases, {llm: ['v1']});
});

test('of several instances of a zone only the first reader writes the record', () => {
	for (const [id, isWriter] of [['a', true], ['z', false]] as const) {
		const core = new Writer(instance(id)).readRegistry([v1]);
		for (let round = 0; round < 10; round++) {
			core.dispatch({
				kind: 'beacon-received', beacon: beacon({
					from: instance('b'), registry: {
						revision: 2, digest: core.state.registry.digest, asOfStoreMs: core.storeMs, isRead: true,
					},
				}),
			});
			core.run(300);
		}

		assert.equal(core.row.record !== undefined, isWriter, id);
	}
});

/** Lets another instance of the zone be its first reader for a while. */
function runBeside(core: Writer, first: string, durationMs: number): void {
	for (let passedMs = 0; passedMs < durationMs; passedMs += 300) {
		core.dispatch({
			kind: 'beacon-received', beacon: beacon({
				from: instance(first), registry: {
					revision: core.state.registry.revision, digest: core.state.registry.digest, asOfStoreMs: core.storeMs, isRead: true,
				},
			}),
		});
		core.run(300);
	}
}

// Guards against the time of an absence that runs on while another instance of the zone writes the record: a release that had come back was dropped at once.
for (const firstReaderMs of [1000, 20_000]) {
	for (const writeAfterMs of [500, 5000]) {
		test(`a release that came back while another instance was the first reader is kept for as long as streams last; this one was it ${firstReaderMs} ms into the first absence and is it again ${writeAfterMs} ms into the second`, () => {
			const core = new Writer(instance('b')).readRegistry([v1, v2]);
			core.run(31_000);
			core.readRegistry([v2]);
			core.run(firstReaderMs);
			runBeside(core, 'a', 36_000);
			core.row = {revision: 40, record: {...core.row.record!, releases: {llm: ['v2']}}};
			core.readRegistry([v1, v2]);
			runBeside(core, 'a', 2100);
			core.row = {revision: 41, record: {...core.row.record!, releases: {llm: ['v2', 'v1']}}};
			core.readRegistry([v2]);
			runBeside(core, 'a', writeAfterMs);
			core.run(24_000);
			assert.deepEqual(core.row.record?.releases, {llm: ['v2', 'v1']});
			core.run(8000);
			assert.deepEqual(core.row.record?.releases, {llm: ['v2']});
		});
	}
}

// Guards against a release that came back and went again in a gap in which the writer of the record saw nothing.
test('a release is not dropped by an instance that has not followed the registry for as long as streams last', () => {
	const core = new Writer().readRegistry([v1, v2]);
	core.run(1000);
	core.readRegistry([v2]);
	core.run(20_000);
	core.suspend(4000).readRegistry([v2]);
	core.run(25_000);
	assert.deepEqual(core.row.record?.releases, {llm: ['v1', 'v2']});
	core.run(8000);
	assert.deepEqual(core.row.record.releases, {llm: ['v2']});
});

// Guards against names that every object has: a tick that looked up the service `constructor` threw, and nothing after it was done.
test('services and releases may have the names of members that every object has', () => {
	const names = ['constructor', 'toString', '__proto__', 'hasOwnProperty'];
	const odd = names.map((name, index) => targetEntry(`t${index}`, {service: name, release: name}));
	const core = new Writer().readRegistry([v1, ...odd]);
	core.run(1000);
	assert.deepEqual(Object.entries(core.row.record!.releases), [['llm', ['v1']], ...names.map(name => [name, [name]])]);
	core.readRegistry([v1, v2, ...odd.slice(1)]);
	core.run(32_000);
	assert.deepEqual(Object.entries(core.row.record!.releases), [['llm', ['v1', 'v2']], ...names.slice(1).map(name => [name, [name]])]);
	assert.equal(core.writes, 3);
	assert.equal(onlyOrigin(contextOf(core), ['__proto__'], core.nowMs), undefined, 'the record was not read since');
	core.dispatch({kind: 'releases-read', row: {...core.row, storeMs: core.storeMs, eraRevision: 0}, sentAtMs: core.nowMs});
	assert.deepEqual([...names.slice(1), 'valueOf'].map(name => onlyOrigin(contextOf(core), [name], core.nowMs)?.release), [...names.slice(1), undefined]);
});

function contextOf({state, nowMs, wallOffsetMs}: EntryHarness): EntryContext {
	return {
		state, nowMs, wallMs: nowMs + wallOffsetMs, effects: [],
	};
}
