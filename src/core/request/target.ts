/**
A target as this instance sees it: the last report, this instance's requests in flight,
and latency estimates.
*/
import {type GatewayKind, type Priority, type Target as ConfiguredTarget} from '../configuration/types.js';
import {
	type InstanceId, type ModelName, type RequestId, type TargetId, type ZoneName,
} from '../types.js';
import {emptyEstimate, type Estimate} from './estimate.js';

/**
Limit, in multiples of a target's slots, on the requests there up to which another one of
each priority is sent. Engines honour priorities, so urgent requests are sent even if
others wait there. The limits of the rest keep the slots busy between two reports while
the excess waits here, where it can still be refused early, canceled or sent elsewhere.
*/
const FILL_FACTORS: Readonly<Record<Priority, number>> = {urgent: 6, normal: 1.5, batch: 1};

/** Growth of the fill factor per share of the time to the deadline that a request has waited, up to a maximum share. */
const AGING_FACTOR = 3;
const MAX_AGING_SHARE = 0.3;

export type TargetHealth = 'up' | 'suspect' | 'down';

/** Reservation of a target for a crash suspect, of which it runs at most one at a time. */
export type Isolation = {
	/** Whether no other requests may be sent there in the meantime. */
	readonly isExclusive: boolean;
	readonly contentHash: string;
	readonly by: InstanceId;
	/** Request of this instance that holds the reservation, undefined if a peer holds it. */
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
	/** When the previous boot was last reported. */
	earlierBootSeenMs: number;
	/** Resident copies as `name@version`, as last reported. */
	resident: ReadonlySet<string>;
	adapters: ReadonlySet<string>;
	reportedAtMs: number;
	reportedTotal: number;
	/** This instance's requests in flight when the last report arrived. */
	ownAtReport: number;
	/** This instance's requests in flight, with the number of their current try. */
	readonly inFlight: Map<RequestId, number>;
	/** Requests whose connection to the target broke and whose retry waits for its probe. */
	readonly broken: Set<RequestId>;
	health: TargetHealth;
	leaving: boolean;
	/** Models whose copies get no new requests because they are about to be unloaded. */
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
Estimated number of requests at the target: those of other instances as of the last
report, plus this instance's own, which are counted exactly because reports lag.
*/
export function estimatedLoad(target: Target): number {
	const others = Math.max(0, target.reportedTotal - target.ownAtReport);
	return others + target.inFlight.size;
}

export function isUsable(target: Target): boolean {
	return target.health !== 'down' && !target.leaving && !target.isolation?.isExclusive;
}

/**
Whether a request may be sent to a target now. The limit on requests there grows with
the share of its time that the request has waited: instances do not know each other's
queues, and without aging, an instance with requests at a target could refill it
indefinitely while older requests of another instance starve.
*/
export function hasRoom(target: Target, priority: Priority, waitedShare: number): boolean {
	const factor = FILL_FACTORS[priority] + (Math.min(waitedShare, MAX_AGING_SHARE) * AGING_FACTOR);
	const limit = Math.max(1, Math.floor(target.slots * factor));
	return isUsable(target) && estimatedLoad(target) < limit;
}
