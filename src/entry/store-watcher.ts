/**
Accesses the platform's store for the core: polls the configuration continuously, reads
the registry on request, and reads and writes the lease, the record of releases and this
instance's row.
*/
import {type Buffer} from 'node:buffer';
import {setTimeout as delay} from 'node:timers/promises';
import {type Untimed} from '../core/entry/event.js';
import {type EntryInstance, type LeaseRecord} from '../core/entry/types.js';
import {type ReleaseRecord} from '../core/entry/release-record.js';
import {type TargetEntry} from '../core/entry/target.js';
import {type Clock} from '../core/clock.js';
import {
	decodeInstance, decodeLease, decodeReleases, encodeRow, INSTANCES_TABLE, LEASES_TABLE, ORDERS_LEASE_KEY, RELEASES_KEY, RELEASES_TABLE,
} from './row-codec.js';
import {type Deployment, type StoredRow, type StoreFailure} from './deployment.js';
import {type EntryLog} from './entry-log.js';

/** Each poll of the feed is a billed call, so polls are long; checks by an instance of each zone find out that one has gone silent. */
const LONG_POLL_MS = 20_000;
/** First and longest delay of the exponential backoff after a failed call. */
const RETRY_DELAY_FIRST_MS = 250;
const RETRY_DELAY_MAX_MS = 1500;

export type StoreWatcherOptions = {
	readonly deployment: Deployment;
	readonly log: EntryLog;
	readonly clock: Clock;
	readonly dispatch: (event: Untimed) => void;
};

export class StoreWatcher {
	private readonly _loggedUnreadable = new Set<string>();
	private _isStopped = false;
	private _registryRevision = 0;
	/** Of the latest page; it rises when the store has been restored. */
	private _eraRevision: number | undefined;
	/** Revision up to which changes of the configuration have been read; undefined before it was read as a whole. */
	private _configurationRevision: number | undefined;
	/** Entries of the registry as last decoded: most rows that the feed returns are heartbeats with the same value. */
	private readonly _decodedTargets = new Map<string, {readonly value: Buffer; readonly entry: TargetEntry}>();

	constructor(private readonly _options: StoreWatcherOptions) {}

	stop(): void {
		this._isStopped = true;
	}

	/** Polls the configuration until `stop` is called, and dispatches each version. */
	async followConfiguration(): Promise<void> {
		let retryDelayMs = RETRY_DELAY_FIRST_MS;
		let isUnreachable = false;
		while (!this._isStopped) {
			const failure = await this._readConfiguration(LONG_POLL_MS);
			if (failure === undefined) {
				retryDelayMs = RETRY_DELAY_FIRST_MS;
				if (isUnreachable) {
					isUnreachable = false;
					this._options.log.write('platform-reachable', {what: 'configuration', revision: this._configurationRevision});
				}

				continue;
			}

			if (failure !== 'history-lost' && !isUnreachable) {
				isUnreachable = true;
				this._options.log.write('platform-unreachable', {what: 'configuration', failure, revision: this._configurationRevision});
			}

			await delay(retryDelayMs * (0.5 + Math.random()));
			retryDelayMs = Math.min(RETRY_DELAY_MAX_MS, retryDelayMs * 2);
		}
	}

	/** Reads what has changed since the last answer, without waiting for a change. A failure is left to the next check. */
	async checkConfiguration(): Promise<void> {
		await this._readConfiguration(0);
	}

	private async _readConfiguration(waitMs: number): Promise<StoreFailure | undefined> {
		const {deployment: {store, documents}, dispatch} = this._options;
		const sent = this._sendTimes();
		const afterRevision = this._configurationRevision;
		const page = afterRevision === undefined
			? await store.read(documents.configurationTable)
			: await store.pollChanges(documents.configurationTable, afterRevision, waitMs);
		return page.caseOf<StoreFailure | undefined>({
			Left: failure => {
				if (failure === 'history-lost') {
					this._configurationRevision = undefined;
				}

				return failure;
			},
			Right: ({rows, revision, storeMs, eraRevision}) => {
				this._noteEra(eraRevision);
				const heldRevision = this._configurationRevision ?? 0;
				this._configurationRevision = Math.max(heldRevision, revision);
				this._dispatchConfiguration(rows);
				if (revision >= heldRevision) {
					// An older answer does not tell whether there is a newer version now.
					dispatch({kind: 'configuration-checked', ...sent, storeMs});
				}

				return undefined;
			},
		});
	}

	/** Reads what has changed since the last answer, or all of the registry. */
	async readRegistry({isWhole = false}: {readonly isWhole?: boolean} = {}): Promise<void> {
		const {deployment, dispatch} = this._options;
		const {store, documents} = deployment;
		const sent = this._sendTimes();
		let isFullSnapshot = isWhole || this._registryRevision === 0;
		let page = isFullSnapshot
			? await store.read(documents.registryTable)
			: await store.pollChanges(documents.registryTable, this._registryRevision, 0);
		if (page.isLeft() && page.extract() === 'history-lost') {
			// The whole registry is read once; if that fails as well, the core asks again after its usual delay.
			this._registryRevision = 0;
			isFullSnapshot = true;
			page = await store.read(documents.registryTable);
		}

		if (page.isLeft()) {
			dispatch({kind: 'registry-read-failed'});
			return;
		}

		const {rows, revision, storeMs, eraRevision} = page.unsafeCoerce();
		this._noteEra(eraRevision);
		this._registryRevision = Math.max(this._registryRevision, revision);
		// The feed returns every change in order, so a row may be both written and deleted since the last read; its last change counts.
		const latest = [...new Map(rows.map(row => [row.key, row])).values()];
		const entries = latest.map(row => this._decodeTarget(row)).filter(entry => entry !== undefined);
		const readable = new Set(entries.map(({id}) => id));
		dispatch({
			kind: 'registry-read',
			revision,
			entries,
			removed: latest.filter(({key}) => !readable.has(key)).map(({key}) => key),
			isFullSnapshot,
			eraRevision,
			...sent,
			storeMs,
		});
	}

	/** Writes this instance's row and reads those of the others, with retries until both succeed. */
	async registerInstance(self: EntryInstance): Promise<void> {
		const {store} = this._options.deployment;
		let retryDelayMs = RETRY_DELAY_FIRST_MS;
		while (!this._isStopped) {
			const written = await store.write({table: INSTANCES_TABLE, key: self.id, value: encodeRow(self)});
			const page = written.isRight() ? await store.read(INSTANCES_TABLE) : undefined;
			if (page?.isRight()) {
				const instances = page.unsafeCoerce().rows.map(({value}) => decodeInstance(value).extract()).filter(instance => instance !== undefined);
				this._options.dispatch({kind: 'instances-read', instances});
				return;
			}

			await delay(retryDelayMs * (0.5 + Math.random()));
			retryDelayMs = Math.min(RETRY_DELAY_MAX_MS, retryDelayMs * 2);
		}
	}

	/** Deletes this instance's row. Failures are ignored: the row left behind only names an instance that peers find silent. */
	async deregisterInstance(id: string): Promise<void> {
		await this._options.deployment.store.write({table: INSTANCES_TABLE, key: id, value: undefined});
	}

	async readLease(): Promise<void> {
		const sent = this._sendTimes();
		const page = await this._options.deployment.store.read(LEASES_TABLE, ORDERS_LEASE_KEY);
		page.caseOf({
			Left: () => {
				this._options.dispatch({kind: 'lease-request-completed', result: {kind: 'unknown'}, ...sent});
			},
			Right: ({rows, eraRevision}) => {
				this._noteEra(eraRevision);
				this._dispatchLeaseRow({row: rows[0], eraRevision}, sent);
			},
		});
	}

	async writeLease(expectedRevision: number, record: LeaseRecord): Promise<void> {
		const sent = this._sendTimes();
		const result = await this._options.deployment.store.write({
			table: LEASES_TABLE, key: ORDERS_LEASE_KEY, value: encodeRow(record), expectedRevision,
		});
		result.caseOf({
			Left: () => {
				this._options.dispatch({kind: 'lease-request-completed', result: {kind: 'unknown'}, ...sent});
			},
			Right: written => {
				if (written.kind === 'conflict') {
					this._dispatchLeaseRow(written, sent);
				} else {
					const {revision, eraRevision} = written;
					this._options.dispatch({kind: 'lease-request-completed', result: {kind: 'written', revision, eraRevision}, ...sent});
				}
			},
		});
	}

	async readReleases(): Promise<void> {
		const {sentAtMs} = this._sendTimes();
		const page = await this._options.deployment.store.read(RELEASES_TABLE, RELEASES_KEY);
		const row = page.map(({rows: [current], storeMs, eraRevision}) => {
			this._noteEra(eraRevision);
			return {
				revision: current?.revision ?? 0, record: decodeReleases(current?.value).extract(), storeMs, eraRevision,
			};
		});
		this._options.dispatch({kind: 'releases-read', row: row.toMaybe().extract(), sentAtMs});
	}

	async writeReleases(expectedRevision: number, record: ReleaseRecord): Promise<void> {
		const result = await this._options.deployment.store.write({
			table: RELEASES_TABLE, key: RELEASES_KEY, value: encodeRow(record), expectedRevision,
		});
		const written = result.toMaybe().extract();
		this._options.dispatch({kind: 'releases-written', revision: written?.kind === 'written' ? written.revision : undefined});
	}

	private _dispatchLeaseRow({row, eraRevision}: {row: StoredRow | undefined; eraRevision: number}, sent: {sentAtMs: number; sentAtWallMs: number}): void {
		this._options.dispatch({
			kind: 'lease-request-completed',
			result: {
				kind: 'row', revision: row?.revision ?? 0, record: decodeLease(row?.value).extract(), eraRevision,
			},
			...sent,
		});
	}

	private _noteEra(eraRevision: number): void {
		if (eraRevision > (this._eraRevision ?? eraRevision)) {
			this._options.log.write('store-restored', {eraRevision, registryRevision: this._registryRevision, configurationRevision: this._configurationRevision});
		}

		this._eraRevision = Math.max(this._eraRevision ?? 0, eraRevision);
	}

	private _sendTimes(): {sentAtMs: number; sentAtWallMs: number} {
		const {clock} = this._options;
		return {sentAtMs: clock.monotonicMs(), sentAtWallMs: clock.now().getTime()};
	}

	private _dispatchConfiguration(rows: readonly StoredRow[]): void {
		const {deployment, dispatch, log} = this._options;
		const row = rows.findLast(({key}) => key === deployment.documents.configurationKey);
		if (!row?.value) {
			return;
		}

		deployment.documents.decodeConfiguration(row.value).caseOf({
			Left(reason) {
				log.write('configuration-unreadable', {revision: row.revision, reason});
			},
			Right(configuration) {
				dispatch({kind: 'configuration-read', configuration});
			},
		});
	}

	private _decodeTarget(row: StoredRow): TargetEntry | undefined {
		const {key, value} = row;
		if (!value) {
			this._decodedTargets.delete(key);
			return undefined;
		}

		const known = this._decodedTargets.get(key);
		if (known?.value.equals(value)) {
			return known.entry;
		}

		return this._options.deployment.documents.decodeTarget(key, value).caseOf<TargetEntry | undefined>({
			Left: reason => {
				this._decodedTargets.delete(key);
				if (!this._loggedUnreadable.has(key)) {
					this._loggedUnreadable.add(key);
					this._options.log.write('entry-unreadable', {targetId: key, revision: row.revision, reason});
				}

				return undefined;
			},
			Right: entry => {
				this._decodedTargets.set(key, {value, entry});
				return entry;
			},
		});
	}
}
