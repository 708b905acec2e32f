/**
State of placement: known leases, the ledgers that this instance owns, and orders in flight.
*/
import {type InstanceId, type ModelName, type TargetId} from '../types.js';
import {
	type LedgerRow, type LeaseRow, type Move, type Order, type PeerDemand,
} from './types.js';

const MAX_MOVES = 500;

export type Lease = {
	readonly group: string;
	row: LeaseRow | undefined;
	revision: number;
	/** Monotonic time at which the current revision of the row was first seen. */
	seenAtMs: number;
	/** Whether this instance took the lease and knows of no later holder. */
	held: boolean;
	/** Last epoch in which this instance held the lease, 0 if none. */
	ownEpoch: number;
	/** Time until which the holder may act without a renewal. */
	validUntilMs: number;
	/** Whether a read or a write of the row is pending. */
	busy: boolean;
	/** Whether this instance is stopping, so that it releases the lease and does not take it again. */
	handingOver: boolean;
};

export type CopyStatus = 'ordering' | 'confirmed' | 'leaving' | 'unloading' | 'unloaded';

/** What the owner knows about one ledger entry beyond the stored row. */
export type Copy = {
	status: CopyStatus;
	orderId: string | undefined;
	/** Whether a load order of this owner has gone unanswered since the engine's last restart. */
	unanswered: boolean;
	retryAtMs: number;
	statusSinceMs: number;
	reason: string;
};

export type Ledger = {
	readonly targetId: TargetId;
	readonly openedAtMs: number;
	row: LedgerRow;
	revision: number;
	/** Row being written; it replaces `row` once the table confirms the write. */
	writing: LedgerRow | undefined;
	/** Whether the outcome of the write in progress is unknown, so that it must be repeated. */
	ambiguous: boolean;
	/** Whether the row in the table is known to carry this owner's epoch. */
	owned: boolean;
	/** Boot id of the engine process that `copies` refers to. */
	seenBoot: string;
	/** Keyed by `name@version`. */
	readonly copies: Map<string, Copy>;
	/** When a copy that the engine reports, but that has no ledger entry, was first seen. */
	readonly strangers: Map<string, number>;
	/** Copies that the engine refused, and the time until which they are not ordered again. */
	readonly refusedUntilMs: Map<string, number>;
};

export type OpenOrder = {
	readonly targetId: TargetId;
	readonly order: Order;
	readonly epoch: number;
	readonly sentAtMs: number;
	/** Earlier epochs known to be closed when the order was sent. */
	readonly closedEpochs: ReadonlySet<number>;
};

export class PlacementState {
	readonly leases = new Map<string, Lease>();
	readonly ledgers = new Map<TargetId, Ledger>();
	readonly orders = new Map<string, OpenOrder>();
	/** Epochs, as `group#epoch`, whose holders send no more orders, and when that became known. */
	readonly closedEpochs = new Map<string, number>();
	/** Lease rows by epoch, as last seen, keyed by `group#epoch`. */
	readonly epochHolders = new Map<string, LeaseRow>();
	readonly peerDemand = new Map<InstanceId, PeerDemand>();
	/** Time since which a configured model has had no resident copy. */
	readonly absentSinceMs = new Map<ModelName, number>();
	/** Consecutive plans in which requests for a model were waiting. */
	readonly pressure = new Map<ModelName, number>();
	readonly moves: Move[] = [];
	orderCounter = 0;
	/** Idle state that each zone last published, keyed by group, and when it was received. An idle zone has nothing to load. */
	readonly idleZones = new Map<string, {readonly isIdle: boolean; readonly atMs: number}>();
	/** Idle state that this zone last published, and when. */
	saidIdle = {isIdle: false, atMs: Number.NEGATIVE_INFINITY};
	/** Token bucket: loads from the weight store that this zone may start now. */
	loadTokens = 1;
	loadTokensAtMs = 0;

	recordMove(move: Move): void {
		this.moves.push(move);
		if (this.moves.length > MAX_MOVES) {
			this.moves.shift();
		}
	}
}
