/**
A target as this instance sees it: the last report, its own requests in flight,
and what the target has shown so far of its speed.
*/
import {type GatewayKind, type Priority, type Target as ConfiguredTarget} from '../configuration/types.js';
import {
	type InstanceId, type ModelName, type RequestId, type TargetId, type ZoneName,
} from '../types.js';
import {emptyEstimate, type Estimate} from './estimate.js';

/**
How many requests, in multiples of a target's slots, may be at it for another one
of each priority to be sent. Engines honour priorities, so urgent work is sent
past what waits there; the rest keeps the slots filled between two reports and
waits here, where it can still be refused early, cancelled or sent elsewhere.
*/
const FILL_FACTOR: Readonly<Record<Priority, number>> = {urgent: 6, normal: 1.5, batch: 1};

/** Multiples of the slots that a request gains as it waits, until it has waited this share of its time. */
const AGING_FACTOR = 3;
const MAX_AGING_SHARE = 0.3;

export type TargetHealth = 'up' | 'suspect' | 'down';

/** The one crash suspect that a target may run at a time. */
export type Isolation = {
	/** Whether nothing else may run there meanwhile. */
	readonly isExclusive: boolean;
	readonly contentHash: string;
	readonly by: InstanceId;
	/** Request of this instance that runs or will run alone here. */
	readonly requestId: RequestId | undefined;
	readonly sinceMs: number;
	readonly untilMs: number;
};

export type Target = {
	readonly id: TargetId;
	zone: ZoneName;
	service: string;
	gateway: GatewayKind;
	memoryMb: number;
	accelerators: number;
	slots: number;
	boot: string;
	/** When the boot before this one was last reported. */
	earlierBootSeenMs: number;
	/** Resident copies as `name@version`, as last reported. */
	resident: ReadonlySet<string>;
	adapters: ReadonlySet<string>;
	reportedAtMs: number;
	reportedTotal: number;
	/** Own requests in flight when the last report came. */
	ownAtReport: number;
	/** Own requests in flight and the number of the try that is there. */
	readonly inFlight: Map<RequestId, number>;
	/** Requests whose connection broke here and whose retry waits for the probe. */
	readonly broken: Set<RequestId>;
	health: TargetHealth;
	leaving: boolean;
	/** Copies that get no new requests because they are about to be unloaded. */
	readonly leavingCopies: Set<ModelName>;
	readonly firstByte: Estimate;
	readonly gap: Estimate;
	isolation: Isolation | undefined;
	probing: boolean;
	/** Smoothed share of the slots in use. */
	utilisation: number;
};

export function createTarget(id: TargetId, configured: ConfiguredTarget): Target {
	return {
		id,
		zone: configured.zone,
		service: configured.service,
		gateway: configured.gateway,
		memoryMb: configured.memoryMb,
		accelerators: configured.accelerators,
		slots: configured.slots,
		boot: '',
		earlierBootSeenMs: Number.NEGATIVE_INFINITY,
		resident: new Set(),
		adapters: new Set(),
		reportedAtMs: 0,
		reportedTotal: 0,
		ownAtReport: 0,
		inFlight: new Map(),
		broken: new Set(),
		health: 'up',
		leaving: false,
		leavingCopies: new Set(),
		firstByte: emptyEstimate(),
		gap: emptyEstimate(),
		isolation: undefined,
		probing: false,
		utilisation: 0,
	};
}

/**
Requests at the target now: what others had there at the last report, and this
instance's own. Reports lag, so own requests are counted exactly.
*/
export function estimatedLoad(target: Target): number {
	const others = Math.max(0, target.reportedTotal - target.ownAtReport);
	return others + target.inFlight.size;
}

export function isUsable(target: Target): boolean {
	return target.health !== 'down' && !target.leaving && !target.isolation?.isExclusive;
}

/**
Whether a request may be sent to a target now. The longer it has waited, as a share
of its time, the more others may be there: instances do not know each other's
queues, and without this one that has requests at a target would refill it for
ever while the older requests of another wait.
*/
export function hasRoom(target: Target, priority: Priority, waitedShare: number): boolean {
	const factor = FILL_FACTOR[priority] + (Math.min(waitedShare, MAX_AGING_SHARE) * AGING_FACTOR);
	const limit = Math.max(1, Math.floor(target.slots * factor));
	return isUsable(target) && estimatedLoad(target) < limit;
}
