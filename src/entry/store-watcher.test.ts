/**
What a reader of the registry makes of the store's feed.
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

/** Reads the registry once as a whole and once as the changes given. */
async function readChanges(rows: readonly StoredRow[]): Promise<Extract<EntryEvent, {kind: 'registry-read'}>> {
	const events: EntryEvent[] = [];
	const watcher = new StoreWatcher({
		deployment: {
			store: {
				read: async () => Right({rows: [], revision: 1, storeMs: 0}),
				pollChanges: async () => Right({rows, revision: 9, storeMs: 0}),
				write: async () => Left('unknown'),
				async close() {
					// Nothing is open.
				},
			},
			documents: {registryTable: 'targets', decodeTarget: (id: string, value: Buffer) => Right(targetEntry(id, {isLeaving: value.toString() === 'leaving'}))},
		} as unknown as Deployment,
		log: new EntryLog({level: 'silent', instanceId: 'a', clock}),
		clock,
		dispatch(event) {
			events.push({...event, nowMs: 0, wallMs: 0});
		},
	});
	await watcher.readRegistry();
	await watcher.readRegistry();
	return events.at(-1) as Extract<EntryEvent, {kind: 'registry-read'}>;
}

test('a row that was written and then deleted since the last read is gone', async () => {
	const {entries, removed} = await readChanges([row('t1', 2, 'ready'), row('t2', 3, 'ready'), row('t1', 4)]);
	assert.deepEqual(entries.map(({id}) => id), ['t2']);
	assert.deepEqual(removed, ['t1']);
});

test('of several versions of a row the last one counts', async () => {
	const {entries, removed} = await readChanges([row('t1', 2), row('t1', 3, 'ready'), row('t1', 4, 'leaving')]);
	assert.deepEqual(entries.map(({id, isLeaving}) => [id, isLeaving]), [['t1', true]]);
	assert.deepEqual(removed, []);
});
