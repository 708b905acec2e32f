/**
A discovered target as this instance sees it: its entry in the registry, what its
answers and reports told, this instance's own requests there, and what peers say of
theirs. Estimates of its load come from the newest of these.
*/
import {emptyEstimate, type Estimate} from '../request/estimate.js';
import {
	type InstanceId, type RequestId, type TargetId, type ZoneName,
} from '../types.js';

export type ModelCopy = {
	readonly model: string;
	readonly version: number;
	readonly adapters: readonly string[];
};

/** What a target says of itself in the registry. */
export type TargetEntry = {
	readonly id: TargetId;
	/** Start of the target's process, which tells two incarnations with one id apart. */
	readonly incarnation: number;
	readonly service: string;
	/** Host and port. */
	readonly address: string;
	readonly zone: ZoneName;
	readonly slots: number;
	readonly isLeaving: boolean;
	/** Orders that this incarnation has accepted. */
	readonly sequence: number;
	/** How much longer it stays slow after its start. */
	readonly slowLeftMs: number;
	readonly copies: readonly ModelCopy[];
	/** Models whose weights lie in its memory or on its disk. */
	readonly inMemory: readonly string[];
	readonly onDisk: readonly string[];
};

/** A target's own account of its engine, a few hundred milliseconds old. */
export type TargetReport = {
	readonly incarnation: number;
	readonly sequence: number;
	/** Whether an order for a model is being carried out. */
	readonly isBusy: boolean;
	readonly running: number;
	readonly waiting: number;
	readonly copies: readonly ModelCopy[];
	/** Adapters under way to the target, as `model/adapter`. */
	readonly coming: readonly string[];
	readonly inMemory: readonly string[];
	readonly onDisk: readonly string[];
};

/** Load that a target states with each answer. */
export type TargetLoad = {
	readonly running: number;
	readonly waiting: number;
	readonly slots: number;
};

export type PeerLoad = {
	readonly inFlight: number;
	readonly atMs: number;
};

export type Target = {
	readonly id: TargetId;
	entry: TargetEntry;
	/** The entry as the registry has it, without what reports add. */
	listed: TargetEntry;
	/** From when on the entry counts as gone from the registry, undefined while it stands there. */
	unlistedFromMs: number | undefined;
	/** A report's account of the engine goes before the registry's until then. */
	reportValidUntilMs: number;
	/** Requests of this instance that are there, with the number of the try. */
	readonly inFlight: Map<RequestId, number>;
	readonly peerLoads: Map<InstanceId, PeerLoad>;
	statedTotal: number;
	statedAtMs: number;
	/** This instance's requests there when the load was stated. */
	ownAtStated: number;
	/** Nothing is sent before this time, after failures. */
	avoidUntilMs: number;
	/** Failures in a row. */
	failures: number;
	/** Smoothed share of requests that failed by the target's own fault. */
	failureShare: number;
	/** Content that ran when a connection broke, until it is known whether the target crashed. */
	readonly suspects: Array<{readonly contentHash: string; readonly atMs: number}>;
	readonly firstByte: Estimate;
	/** Adapters known to be held, as `model/adapter`, with the order sequence of that knowledge. */
	readonly adapters: Map<string, number>;
	/** Copies that get no new requests because they are about to be unloaded, with the time until which that holds. */
	readonly leavingCopies: Map<string, number>;
};

/** A stated load is trusted this long; after it only own and peers' requests count. */
const STATED_VALID_MS = 1000;
const PEER_LOAD_VALID_MS = 3000;

export function createTarget(entry: TargetEntry): Target {
	return {
		id: entry.id,
		entry,
		listed: entry,
		unlistedFromMs: undefined,
		reportValidUntilMs: Number.NEGATIVE_INFINITY,
		inFlight: new Map(),
		peerLoads: new Map(),
		statedTotal: 0,
		statedAtMs: Number.NEGATIVE_INFINITY,
		ownAtStated: 0,
		avoidUntilMs: Number.NEGATIVE_INFINITY,
		failures: 0,
		failureShare: 0,
		suspects: [],
		firstByte: emptyEstimate(),
		adapters: new Map(adaptersOf(entry.copies).map(name => [name, entry.sequence])),
		leavingCopies: new Map(),
	};
}

export function adaptersOf(copies: readonly ModelCopy[]): string[] {
	return copies.flatMap(copy => copy.adapters.map(adapter => `${copy.model}/${adapter}`));
}

/** Requests at the target now, of all instances, as far as known. */
export function estimatedLoad(target: Target, nowMs: number): number {
	const own = target.inFlight.size;
	let peers = 0;
	for (const {inFlight, atMs} of target.peerLoads.values()) {
		if (nowMs - atMs < PEER_LOAD_VALID_MS) {
			peers += inFlight;
		}
	}

	const stated = nowMs - target.statedAtMs < STATED_VALID_MS
		? Math.max(0, target.statedTotal - target.ownAtStated)
		: 0;
	return own + Math.max(peers, stated);
}

export function noteStatedLoad(target: Target, load: TargetLoad, nowMs: number): void {
	target.statedTotal = load.running + load.waiting;
	target.statedAtMs = nowMs;
	target.ownAtStated = target.inFlight.size;
}

export function holdsModel(target: Target, model: string): boolean {
	return target.entry.copies.some(copy => copy.model === model);
}

/** Whether new requests may be sent to the target, as far as the registry says. */
export function isListed(target: Target, nowMs: number): boolean {
	return !target.entry.isLeaving && (target.unlistedFromMs === undefined || nowMs < target.unlistedFromMs);
}

export function isUsable(target: Target, nowMs: number): boolean {
	return isListed(target, nowMs) && nowMs >= target.avoidUntilMs;
}
