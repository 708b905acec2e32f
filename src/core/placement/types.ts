/**
Types for orders to engines, the lease on a group of targets, and the ledger of
each target's accelerator memory.
*/
import {
	type InstanceId, type ModelName, type TargetId, type ZoneName,
} from '../types.js';

export type OrderKind = 'load-model' | 'unload-model';

export type Order = {
	readonly id: string;
	readonly kind: OrderKind;
	readonly model: ModelName;
	readonly version: number;
	readonly memoryMb: number;
	/** Fencing token; increases with every order to a target, also across owners. */
	readonly fence: number;
};

/**
`done` and `refused` are answers of the engine. `not-sent` means that no byte of the
order left this instance. `lost` means that no answer arrived, so the order may have
taken effect or may still do so.
*/
export type OrderOutcome = 'done' | 'refused' | 'not-sent' | 'lost';

export type LedgerEntry = {
	readonly model: ModelName;
	readonly version: number;
	readonly memoryMb: number;
	/** Epoch of the current owner while one of its load orders for this copy may still take effect, otherwise 0. */
	readonly unansweredEpoch: number;
	/** Epochs of earlier owners whose load orders for this copy may still take effect. */
	readonly inheritedEpochs: readonly number[];
};

/** One table row per target. The entries cover every copy that occupies, or may come to occupy, its memory. */
export type LedgerRow = {
	readonly targetId: TargetId;
	readonly epoch: number;
	/** Boot id of the engine process that the entries refer to. */
	readonly boot: string;
	readonly entries: readonly LedgerEntry[];
	/** Unique per write, so that an owner recognizes its own write after a lost answer. */
	readonly token: string;
};

/** One table row per group. */
export type LeaseRow = {
	/** Empty once the holder has released the lease. */
	readonly holder: InstanceId;
	readonly holderBoot: string;
	/** Increases with every change of holder. */
	readonly epoch: number;
	/** Unique per write, so that a holder's writes can be told apart after a lost answer. */
	readonly token: string;
};

/** A confirmed order, kept for operators to inspect. */
export type Move = {
	readonly atMs: number;
	readonly kind: OrderKind;
	readonly model: ModelName;
	readonly version: number;
	readonly targetId: TargetId;
	readonly reason: string;
};

export type Demand = {
	readonly model: ModelName;
	/** Arrivals per second. */
	readonly rate: number;
	/** Requests currently queued. */
	readonly waiting: number;
};

export type PeerDemand = {
	readonly demand: readonly Demand[];
	readonly receivedAtMs: number;
};

export type ZoneTargets = ReadonlyMap<ZoneName, readonly TargetId[]>;
