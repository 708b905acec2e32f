/**
This instance's view of the lease whose holder sends orders to engines.
*/
import {type QuotaLevels} from './peer-messages.js';
import {type EntryInstance, type LeaseRecord} from './types.js';

export type Lease = {
	observed: ObservedRow | undefined;
	held: HeldLease | undefined;
	/** Whether a read or a write of the row is pending. */
	isRequestPending: boolean;
	/** Whether that request gives the lease up, so that its result does not renew it. */
	isReleasing: boolean;
	requestedAtMs: number;
	/** Epoch of the record that was last sent to be written. */
	requestedEpoch: number;
	/** Newest claim of a holder, received from it or from peers. */
	lastKnown: {readonly holder: EntryInstance; readonly epoch: number; readonly claimedAtMs: number; readonly instances: number; readonly quotas?: QuotaLevels} | undefined;
	/** Largest number of instances that a holder has told of lately. */
	instanceCount: {readonly count: number; readonly toldAtMs: number} | undefined;
	/** Since when the last known claim is known to have ended, undefined while it may be valid. */
	steppedDownSinceMs: number | undefined;
	/** Latest epoch that this instance held and that has ended, 0 for none. An epoch that has ended is never held again. */
	endedEpoch: number;
};

/** The row as last seen. */
export type ObservedRow = {
	readonly revision: number;
	readonly record: LeaseRecord | undefined;
	/** Revisions and epochs below this one are from before the store was last restored from an older copy; 0 if it never was. */
	readonly eraRevision: number;
	/** Since when it has been seen unchanged. */
	readonly sinceMs: number;
};

export type HeldLease = {
	readonly epoch: number;
	readonly revision: number;
	/** Expiry on the monotonic and on the wall clock: the monotonic clock stops while the process is suspended. */
	readonly validUntilMs: number;
	readonly validUntilWallMs: number;
	readonly renewedAtMs: number;
};

export function createLease(): Lease {
	return {
		observed: undefined,
		held: undefined,
		isRequestPending: false,
		isReleasing: false,
		requestedAtMs: Number.NEGATIVE_INFINITY,
		requestedEpoch: 0,
		lastKnown: undefined,
		instanceCount: undefined,
		steppedDownSinceMs: undefined,
		endedEpoch: 0,
	};
}
