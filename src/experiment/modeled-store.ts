/**
The platform's store as far as entry cores use it: the lease row and the record of
releases with their revisions, and the registry that targets write their entries to with every heartbeat.
*/
import {type LeaseResult} from '../core/entry/event.js';
import {type ReleaseRecord, type ReleaseRow} from '../core/entry/release-record.js';
import {type TargetEntry} from '../core/entry/target.js';
import {type LeaseRecord} from '../core/entry/types.js';

export class ModeledStore {
	isDown = false;
	registryRevision = 1;
	readonly entries = new Map<string, TargetEntry>();
	private _lease: {revision: number; record: LeaseRecord | undefined} = {revision: 0, record: undefined};
	private _releases: {revision: number; record: ReleaseRecord | undefined} = {revision: 0, record: undefined};

	publish(entry: TargetEntry): void {
		this.registryRevision++;
		this.entries.set(entry.id, entry);
	}

	remove(id: string): void {
		if (this.entries.delete(id)) {
			this.registryRevision++;
		}
	}

	readLease(): LeaseResult {
		return {kind: 'row', ...this._lease};
	}

	readReleases(storeMs: number): ReleaseRow {
		return {...this._releases, storeMs, eraRevision: 0};
	}

	/** Returns the new revision, undefined if another instance has written meanwhile. */
	writeReleases(expectedRevision: number, record: ReleaseRecord): number | undefined {
		if (expectedRevision !== this._releases.revision) {
			return undefined;
		}

		this._releases = {revision: expectedRevision + 1, record};
		return this._releases.revision;
	}

	writeLease(expectedRevision: number, record: LeaseRecord): LeaseResult {
		if (expectedRevision !== this._lease.revision) {
			return this.readLease();
		}

		this._lease = {revision: this._lease.revision + 1, record};
		return {kind: 'written', revision: this._lease.revision};
	}
}
