/**
State of the placement slice: leases known, ledgers held, orders under way.
*/
import {type InstanceId, type ModelName, type TargetId} from '../types.js';
import {
	type LedgerRow, type LeaseRow, type Move, type Order, type PeerDemand,
} from './types.js';

const MOVES_KEPT = 500;

export type Lease = {
	readonly group: string;
	row: LeaseRow | undefined;
	revision: number;
	/** Monotonic time at which this row was first seen. */
	seenAtMs: number;
	held: boolean;
	/** The last epoch that this instance held, 0 if none. */
	ownEpoch: number;
	/** Up to when the holder may act without a renewal. */
	validUntilMs: number;
	busy: boolean;
	handingOver: boolean;
};

export type CopyStatus = 'ordering' | 'confirmed' | 'leaving' | 'unloading' | 'unloaded';

/** What the owner knows of one entry beside the journal. */
export type Copy = {
	status: CopyStatus;
	orderId: string | undefined;
	/** Whether a load order of this owner went without an answer since the engine's last restart. */
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
	/** Row that is being written, taken over once the table confirms it. */
	writing: LedgerRow | undefined;
	/** Whether the answer to the write under way was lost. */
	ambiguous: boolean;
	/** Whether the row carries this owner's epoch in the table. */
	owned: boolean;
	/** Boot of the engine that the copies below refer to. */
	seenBoot: string;
	/** Keyed by `name@version`. */
	readonly copies: Map<string, Copy>;
	/** When a reported copy that the ledger does not know was first seen. */
	readonly strangers: Map<string, number>;
	/** Copies that the engine refused, and until when they are not ordered again. */
	readonly refusedUntilMs: Map<string, number>;
};

export type OpenOrder = {
	readonly targetId: TargetId;
	readonly order: Order;
	readonly epoch: number;
	readonly sentAtMs: number;
	/** Earlier epochs that were known to be closed when the order was sent. */
	readonly closedEpochs: ReadonlySet<number>;
};

export class PlacementState {
	readonly leases = new Map<string, Lease>();
	readonly ledgers = new Map<TargetId, Ledger>();
	readonly orders = new Map<string, OpenOrder>();
	/** Epochs as `group#epoch` whose owners stopped sending, and when that became known. */
	readonly closedEpochs = new Map<string, number>();
	/** Holders of earlier epochs, keyed as above. */
	readonly epochHolders = new Map<string, LeaseRow>();
	readonly peerDemand = new Map<InstanceId, PeerDemand>();
	/** Since when a configured model has had no resident copy. */
	readonly absentSinceMs = new Map<ModelName, number>();
	/** Plans in a row in which a model had more waiting than its copies can take. */
	readonly pressure = new Map<ModelName, number>();
	readonly moves: Move[] = [];
	orderCounter = 0;
	/** Zones, as groups, that say that they have nothing to load, and when they said so. */
	readonly idleZones = new Map<string, {readonly isIdle: boolean; readonly atMs: number}>();
	/** What this zone last said, and when. */
	saidIdle = {isIdle: false, atMs: Number.NEGATIVE_INFINITY};
	/** Weight-store loads that this zone may start now. */
	loadTokens = 1;
	loadTokensAtMs = 0;

	noteMove(move: Move): void {
		this.moves.push(move);
		if (this.moves.length > MOVES_KEPT) {
			this.moves.shift();
		}
	}
}
