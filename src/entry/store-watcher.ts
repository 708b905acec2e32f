/**
Reads the platform's store for the core: a feed of the configuration, the registry on
request, this instance's row and the lease.
*/
import {setTimeout as delay} from 'node:timers/promises';
import {type EntryEvent} from '../core/entry/event.js';
import {type EntryInstance, type LeaseRecord} from '../core/entry/types.js';
import {type TargetEntry} from '../core/entry/target.js';
import {type Clock} from '../core/clock.js';
import {
	decodeInstance, decodeLease, encodeRecord, INSTANCES_TABLE, LEASES_TABLE, ORDERS_LEASE,
} from './records.js';
import {type Deployment, type StoredRow} from './services.js';
import {type EntryLog} from './entry-log.js';

/** Each return of the feed is a priced call; news of a version also comes from peers. */
const FEED_WAIT_MS = 10_000;
/** First and longest pause after the store failed. */
const PAUSE_FIRST_MS = 250;
const PAUSE_MOST_MS = 1500;

type Untimed<Event> = Event extends unknown ? Omit<Event, 'nowMs' | 'wallMs'> : never;

export type StoreWatcherOptions = {
	readonly deployment: Deployment;
	readonly log: EntryLog;
	readonly clock: Clock;
	readonly dispatch: (event: Untimed<EntryEvent>) => void;
};

export class StoreWatcher {
	private readonly _unreadable = new Set<string>();
	private _isStopped = false;
	private _registryRevision = 0;

	constructor(private readonly _options: StoreWatcherOptions) {}

	stop(): void {
		this._isStopped = true;
	}

	/** Follows the configuration until stopped. */
	async followConfiguration(): Promise<void> {
		const {store, records} = this._options.deployment;
		let revision: number | undefined;
		let pauseMs = PAUSE_FIRST_MS;
		let isAway = false;
		while (!this._isStopped) {
			const page = revision === undefined
				? await store.read(records.configurationTable)
				: await store.changes(records.configurationTable, revision, FEED_WAIT_MS);
			if (page.isRight()) {
				const {rows, revision: next} = page.unsafeCoerce();
				pauseMs = PAUSE_FIRST_MS;
				if (isAway) {
					isAway = false;
					this._options.log.write('platform-reachable', {what: 'configuration', revision: next});
				}

				revision = Math.max(revision ?? 0, next);
				this._takeConfiguration(rows);
				continue;
			}

			const failure = page.extract();
			if (failure === 'history-lost') {
				revision = undefined;
			} else if (!isAway) {
				isAway = true;
				this._options.log.write('platform-unreachable', {what: 'configuration', failure, revision});
			}

			await delay(pauseMs * (0.5 + Math.random()));
			pauseMs = Math.min(PAUSE_MOST_MS, pauseMs * 2);
		}
	}

	async readRegistry(): Promise<void> {
		const {deployment, dispatch, clock} = this._options;
		const {store, records} = deployment;
		const isWhole = this._registryRevision === 0;
		const askedAtMs = clock.monotonicMs();
		const page = isWhole
			? await store.read(records.registryTable)
			: await store.changes(records.registryTable, this._registryRevision, 0);
		if (page.isLeft()) {
			if (page.extract() === 'history-lost') {
				this._registryRevision = 0;
				await this.readRegistry();
				return;
			}

			dispatch({kind: 'registry-unread'});
			return;
		}

		const {rows, revision, storeMs} = page.unsafeCoerce();
		this._registryRevision = Math.max(this._registryRevision, revision);
		// The feed tells every change in order; a reader that was away for a while sees a row written and then deleted.
		const latest = [...new Map(rows.map(row => [row.key, row])).values()];
		const entries = latest.map(row => this._decodeTarget(row)).filter(entry => entry !== undefined);
		const readable = new Set(entries.map(({id}) => id));
		dispatch({
			kind: 'registry-read',
			revision,
			entries,
			removed: latest.filter(({key}) => !readable.has(key)).map(({key}) => key),
			isFullSnapshot: isWhole,
			sentAtMs: askedAtMs,
			storeMs,
		});
	}

	/** Makes this instance known and learns of the others. */
	async announce(self: EntryInstance): Promise<void> {
		const {store} = this._options.deployment;
		let pauseMs = PAUSE_FIRST_MS;
		while (!this._isStopped) {
			const written = await store.write({table: INSTANCES_TABLE, key: self.id, value: encodeRecord(self)});
			const page = written.isRight() ? await store.read(INSTANCES_TABLE) : undefined;
			if (page?.isRight()) {
				const instances = page.unsafeCoerce().rows.map(({value}) => decodeInstance(value).extract()).filter(instance => instance !== undefined);
				this._options.dispatch({kind: 'instances-read', instances});
				return;
			}

			await delay(pauseMs * (0.5 + Math.random()));
			pauseMs = Math.min(PAUSE_MOST_MS, pauseMs * 2);
		}
	}

	/** Takes this instance's row away. It names nobody any more; a failure leaves only a row that peers find silent. */
	async withdraw(id: string): Promise<void> {
		await this._options.deployment.store.write({table: INSTANCES_TABLE, key: id, value: undefined});
	}

	async readLease(): Promise<void> {
		const sent = this._stamp();
		const page = await this._options.deployment.store.read(LEASES_TABLE, ORDERS_LEASE);
		page.caseOf({
			Left: () => {
				this._options.dispatch({kind: 'lease-answered', answer: {kind: 'unknown'}, ...sent});
			},
			Right: ({rows}) => {
				this._tellRow(rows[0], sent);
			},
		});
	}

	async writeLease(expectedRevision: number, record: LeaseRecord): Promise<void> {
		const sent = this._stamp();
		const answer = await this._options.deployment.store.write({
			table: LEASES_TABLE, key: ORDERS_LEASE, value: encodeRecord(record), expectedRevision,
		});
		answer.caseOf({
			Left: () => {
				this._options.dispatch({kind: 'lease-answered', answer: {kind: 'unknown'}, ...sent});
			},
			Right: written => {
				if (written.kind === 'conflict') {
					this._tellRow(written.row, sent);
				} else {
					this._options.dispatch({kind: 'lease-answered', answer: {kind: 'written', revision: written.revision}, ...sent});
				}
			},
		});
	}

	private _tellRow(row: StoredRow | undefined, sent: {sentAtMs: number; sentAtWallMs: number}): void {
		this._options.dispatch({
			kind: 'lease-answered',
			answer: {kind: 'row', revision: row?.revision ?? 0, record: decodeLease(row?.value).extract()},
			...sent,
		});
	}

	private _stamp(): {sentAtMs: number; sentAtWallMs: number} {
		const {clock} = this._options;
		return {sentAtMs: clock.monotonicMs(), sentAtWallMs: clock.now().getTime()};
	}

	private _takeConfiguration(rows: readonly StoredRow[]): void {
		const {deployment, dispatch, log} = this._options;
		const row = rows.findLast(({key}) => key === deployment.records.configurationKey);
		if (!row?.value) {
			return;
		}

		deployment.records.decodeConfiguration(row.value).caseOf({
			Left(reason) {
				log.write('configuration-unreadable', {revision: row.revision, reason});
			},
			Right(configuration) {
				dispatch({kind: 'configuration-read', configuration});
			},
		});
	}

	private _decodeTarget(row: StoredRow): TargetEntry | undefined {
		if (!row.value) {
			return undefined;
		}

		return this._options.deployment.records.decodeTarget(row.key, row.value).caseOf<TargetEntry | undefined>({
			Left: reason => {
				if (!this._unreadable.has(row.key)) {
					this._unreadable.add(row.key);
					this._options.log.write('entry-unreadable', {targetId: row.key, revision: row.revision, reason});
				}

				return undefined;
			},
			Right: entry => entry,
		});
	}
}
