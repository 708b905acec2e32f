/**
Reduction of the store's change feed to the events of a registry read. A reader that was
unreachable for a while gets several changes of one row at once; only the last one counts.
*/
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {Left, Right} from 'purify-ts';
import {type EntryEvent} from '../core/entry/event.js';
import {targetEntry} from '../../test/standins/entry-harness.js';
import {EntryLog} from './entry-log.js';
import {type Deployment, type StoredRow} from './deployment.js';
import {StoreWatcher} from './store-watcher.js';

const clock = {now: () => new Date(0), monotonicMs: () => 0};

function row(key: string, revision: number, value?: string): StoredRow {
	return {key, revision, value: value === undefined ? undefined : Buffer.from(value)};
}

type Script = {
	readonly store: Partial<Deployment['store']>;
	readonly documents: Partial<Deployment['documents']>;
	readonly onEvent: (event: EntryEvent) => void;
};

/** A watcher on a store that answers as scripted, and whose writes get no answer. */
function createWatcher({store, documents, onEvent}: Script): StoreWatcher {
	return new StoreWatcher({
		deployment: {
			store: {
				write: async () => Left('unknown'),
				async close() {
					// No connection is open.
				},
				...store,
			},
			documents,
		} as unknown as Deployment,
		log: new EntryLog({level: 'silent', instanceId: 'a', clock}),
		clock,
		dispatch(event) {
			onEvent({...event, nowMs: 0, wallMs: 0});
		},
	});
}

/** Reads the registry twice: first an empty full snapshot, then the given changes. Returns the second event. */
async function readChanges(rows: readonly StoredRow[]): Promise<Extract<EntryEvent, {kind: 'registry-read'}>> {
	const events: EntryEvent[] = [];
	const watcher = createWatcher({
		store: {
			read: async () => Right({
				rows: [], revision: 1, eraRevision: 0, storeMs: 0,
			}),
			pollChanges: async () => Right({
				rows, revision: 9, eraRevision: 0, storeMs: 0,
			}),
		},
		documents: {registryTable: 'targets', decodeTarget: (id: string, value: Buffer) => Right(targetEntry(id, {isLeaving: value.toString() === 'leaving'}))},
		onEvent(event) {
			events.push(event);
		},
	});
	await watcher.readRegistry();
	await watcher.readRegistry();
	return events.at(-1) as Extract<EntryEvent, {kind: 'registry-read'}>;
}

test('a row that was written and then deleted since the last read is reported as removed', async () => {
	const {entries, removed} = await readChanges([row('t1', 2, 'ready'), row('t2', 3, 'ready'), row('t1', 4)]);
	assert.deepEqual(entries.map(({id}) => id), ['t2']);
	assert.deepEqual(removed, ['t1']);
});

test('the last of several changes of a row counts', async () => {
	const {entries, removed} = await readChanges([row('t1', 2), row('t1', 3, 'ready'), row('t1', 4, 'leaving')]);
	assert.deepEqual(entries.map(({id, isLeaving}) => [id, isLeaving]), [['t1', true]]);
	assert.deepEqual(removed, []);
});

// Guards against a failure that callers saw as days given up: at 118 targets, decoding heartbeats took a seventh of a reader's processor time.
test('a row that comes again with the same value is not decoded again', async () => {
	const decoded: string[] = [];
	const pages = [[], [row('t1', 2, 'ready')], [row('t1', 3, 'ready')], [row('t1', 4, 'leaving')], [row('t1', 5)], [row('t1', 6, 'leaving')], [row('t1', 7, 'leaving')]];
	const events: Array<Extract<EntryEvent, {kind: 'registry-read'}>> = [];
	const watcher = createWatcher({
		store: {
			read: async () => Right({
				rows: pages.shift()!, revision: 1, eraRevision: 0, storeMs: 0,
			}),
			pollChanges: async () => Right({
				rows: pages.shift()!, revision: 9, eraRevision: 0, storeMs: 0,
			}),
		},
		documents: {
			registryTable: 'targets',
			decodeTarget(id: string, value: Buffer) {
				decoded.push(value.toString());
				return Right(targetEntry(id, {isLeaving: value.toString() === 'leaving'}));
			},
		},
		onEvent(event) {
			events.push(event as Extract<EntryEvent, {kind: 'registry-read'}>);
		},
	});
	while (pages.length > 0) {
		await watcher.readRegistry();
	}

	assert.deepEqual(decoded, ['ready', 'leaving', 'leaving']);
	assert.deepEqual(events.map(({entries}) => entries.map(({isLeaving}) => isLeaving)), [[], [false], [false], [true], [], [true], [true]]);
});

test('a registry whose history is lost again and again is read once more in whole, then the read counts as failed', async () => {
	let reads = 0;
	const events: string[] = [];
	const watcher = createWatcher({
		store: {
			async read() {
				reads++;
				return reads === 1
					? Right({
						rows: [], revision: 1, eraRevision: 0, storeMs: 0,
					})
					: Left('history-lost');
			},
			pollChanges: async () => Left('history-lost'),
		},
		documents: {registryTable: 'targets'},
		onEvent({kind}) {
			events.push(kind);
		},
	});
	await watcher.readRegistry();
	await watcher.readRegistry();
	assert.deepEqual([reads, events], [2, ['registry-read', 'registry-read-failed']]);
});

// Guards against an instance that believes its configuration confirmed by a store that is behind what it has said before.
test('an answer of an older revision does not confirm the configuration', async () => {
	const revisions = [5, 7, 6, 8];
	const confirmed: number[] = [];
	const watcher = createWatcher({
		store: {
			read: async () => Right({
				rows: [], revision: revisions.shift()!, eraRevision: 0, storeMs: 0,
			}),
			pollChanges: async () => Right({
				rows: [], revision: revisions.shift()!, eraRevision: 0, storeMs: 0,
			}),
		},
		documents: {configurationTable: 'op'},
		onEvent({kind}) {
			assert.equal(kind, 'configuration-checked');
			confirmed.push(revisions.length);
		},
	});
	while (revisions.length > 0) {
		await watcher.checkConfiguration();
	}

	assert.deepEqual(confirmed, [3, 2, 0], 'all but the third');
});

// Guards against an epoch that is given out twice: without its row, only the era tells that the store has forgotten the lease.
test('the row of the lease comes with the era of the store, also where there is no row', async () => {
	const results: unknown[] = [];
	const watcher = createWatcher({
		store: {
			read: async () => Right({
				rows: [], revision: 70, eraRevision: 60, storeMs: 0,
			}),
			write: async () => Right({kind: 'conflict', row: undefined, eraRevision: 80}),
		},
		documents: {},
		onEvent(event) {
			results.push(event.kind === 'lease-request-completed' && event.result);
		},
	});
	await watcher.readLease();
	await watcher.writeLease(0, {
		holder: 'a', boot: 'a-1', epoch: 1, isReleased: false,
	});
	assert.deepEqual(results, [60, 80].map(eraRevision => ({
		kind: 'row', revision: 0, record: undefined, eraRevision,
	})));
});
