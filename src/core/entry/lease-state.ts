/**
State of the lease over giving orders to engines, as this instance knows it.
*/
import {type EntryInstance, type LeaseRecord} from './types.js';

export type Lease = {
	/** The row as last seen, and since when it has been seen unchanged. */
	observed: {readonly revision: number; readonly record: LeaseRecord | undefined; readonly sinceMs: number} | undefined;
	held: HeldLease | undefined;
	/** Whether a read or a write is under way. */
	isRequestPending: boolean;
	requestedAtMs: number;
	/** Newest word of a holder, from it or from peers. */
	lastKnown: {readonly holder: EntryInstance; readonly epoch: number; readonly heardAtMs: number} | undefined;
	/** Since when the holder of the news itself says that it gives no orders, undefined while it does. */
	steppedDownSinceMs: number | undefined;
};

export type HeldLease = {
	readonly epoch: number;
	readonly revision: number;
	/** Monotonic and wall-clock ends: a suspended process's monotonic clock stands still. */
	readonly validUntilMs: number;
	readonly validUntilWallMs: number;
	readonly renewedAtMs: number;
};

export function createLease(): Lease {
	return {
		observed: undefined,
		held: undefined,
		isRequestPending: false,
		requestedAtMs: Number.NEGATIVE_INFINITY,
		lastKnown: undefined,
		steppedDownSinceMs: undefined,
	};
}
