/**
Orders to engines, the lease of a group of targets, and the ledger of each
target's accelerator memory.
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
	/** Grows with every order to a target, across owners. */
	readonly fence: number;
};

/**
`done` and `refused` come from the engine. `not-sent` means that no byte left this
instance. `lost` means that the order may still take effect, now or later.
*/
export type OrderOutcome = 'done' | 'refused' | 'not-sent' | 'lost';

export type LedgerEntry = {
	readonly model: ModelName;
	readonly version: number;
	readonly memoryMb: number;
	/** Epoch of the present owner while a load order of it may still take effect, otherwise 0. */
	readonly unansweredEpoch: number;
	/** Epochs of earlier owners whose load orders may still take effect. */
	readonly inheritedEpochs: readonly number[];
};

/** One row per target in the table. Its entries are all that may come to occupy the target. */
export type LedgerRow = {
	readonly targetId: TargetId;
	readonly epoch: number;
	/** Boot of the engine that the entries were ordered on. */
	readonly boot: string;
	readonly entries: readonly LedgerEntry[];
	/** Tells a write of this owner from any other, for lost answers. */
	readonly token: string;
};

/** One row per group in the table. */
export type LeaseRow = {
	/** Empty after a holder handed the lease back. */
	readonly holder: InstanceId;
	readonly holderBoot: string;
	/** Grows with every change of holder. */
	readonly epoch: number;
	/** Tells a write of this holder from any other, for lost answers. */
	readonly token: string;
};

/** A move for people to look at: an order that was confirmed. */
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
	/** Requests queued now. */
	readonly waiting: number;
};

export type PeerDemand = {
	readonly demand: readonly Demand[];
	readonly receivedAtMs: number;
};

export type ZoneTargets = ReadonlyMap<ZoneName, readonly TargetId[]>;
