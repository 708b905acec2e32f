/**
A discovered target as this instance sees it: its entry in the registry, the contents
of its responses and reports, this instance's own requests in flight there, and those
that peers announce. Its load is estimated from the newest of these.
*/
import {emptyEstimate, type Estimate} from '../request/estimate.js';
import {
	type InstanceId, type RequestId, type TargetId, type ZoneName,
} from '../types.js';
import {type Fingerprint} from '../request/crash-evidence.js';
import {type DarkReport} from './dark-targets.js';
import {type PaceLimit} from './pace.js';
import {createTargetSpeed, type TargetSpeed} from './target-speeds.js';

export type ModelCopy = {
	readonly model: string;
	readonly version: number;
	readonly adapters: readonly string[];
};

/** The registry entry that a target publishes. */
export type TargetEntry = {
	readonly id: TargetId;
	/** Changes with every start of the target's process. */
	readonly incarnation: number;
	readonly service: string;
	/** Host and port. */
	readonly address: string;
	readonly zone: ZoneName;
	/** Version of its software, empty if it states none. What two releases write does not fit together in one stream. */
	readonly release: string;
	readonly slots: number;
	readonly isLeaving: boolean;
	/** Number of orders that this incarnation has accepted. */
	readonly sequence: number;
	/** Remaining warm-up time, in which it is slower than usual. */
	readonly slowLeftMs: number;
	readonly copies: readonly ModelCopy[];
	/** Models whose weights are cached in its memory or on its disk. */
	readonly inMemory: readonly string[];
	readonly onDisk: readonly string[];
};

/** State of a target's engine as the target reports it, a few hundred milliseconds old. */
export type TargetReport = {
	readonly incarnation: number;
	readonly sequence: number;
	/** Whether the engine is executing an order for a model. */
	readonly isBusy: boolean;
	readonly running: number;
	readonly waiting: number;
	readonly copies: readonly ModelCopy[];
	/** Adapters in transfer to the target, as `model/adapter`. */
	readonly adaptersInTransfer: readonly string[];
	readonly inMemory: readonly string[];
	readonly onDisk: readonly string[];
};

/** Load that a target sends with each response. */
export type TargetLoad = {
	readonly running: number;
	readonly waiting: number;
	readonly slots: number;
	/** How long work takes there at this moment, as a multiple of the usual time; absent if the target does not state it. */
	readonly slowness?: number;
};

/** What the head of a target's response states about the rate of requests. */
export type StatedRateLimit = {
	/** Requests a second that it takes from all instances together, undefined if it names no limit. */
	readonly perSecond: number | undefined;
	/** Requests a second that it can turn away, from all instances together, undefined if it is not brittle. */
	readonly declinesPerSecond?: number;
};

export type RateLimit = {
	/** Undefined once the target has lifted it. */
	readonly perSecond: number | undefined;
	/** Time up to which the target is known to have stated this. */
	readonly statedAtMs: number;
};

/** Permits of this instance to send requests to a target that names a rate limit. */
export type PermitPool = {
	/** Times from which each may be used, ascending. */
	readonly usableFromMs: number[];
	/** When permits were last asked for, undefined once the answer has come. */
	askedAtMs: number | undefined;
	/** None are asked for before this time. */
	askAgainAtMs: number;
	/** When the target takes a request that nobody has a permit for yet, as far as this instance knows. */
	freeAtMs: number;
	/** When this instance's own share of the limit allows the next request; undefined until that is needed. */
	shareDueMs: number | undefined;
};

export type PeerLoad = {
	readonly inFlight: number;
	/** Tokens of prompts that the peer sent and that the target has not read yet. */
	readonly unreadTokens: number;
	readonly atMs: number;
};

export type Target = {
	readonly id: TargetId;
	entry: TargetEntry;
	/** The entry as last read from the registry, without updates from reports. It may be of an earlier incarnation, which is not used. */
	listed: TargetEntry;
	/** Whether the registry lists it, used or not. */
	isInRegistry: boolean;
	/** Hash of `hashedEntry`, an entry equal to `listed`. */
	listedHash: number;
	hashedEntry: TargetEntry | undefined;
	/** Revision of the registry at which the entry last changed, was listed again or was removed, as far as this instance knows. */
	changedRevision: number;
	/** Since when this instance has known that this incarnation leaves, by its entry or an answer; undefined while it does not. It does not take that back. */
	leavingSinceMs: number | undefined;
	/** Time from which the target counts as removed from the registry and gets nothing new, undefined while it is listed. */
	unlistedFromMs: number | undefined;
	/** Until then, the last report of the engine overrides the registry entry. */
	reportValidUntilMs: number;
	/** Requests of this instance in flight there, with the number of the try. */
	readonly inFlight: Map<RequestId, number>;
	/** Tokens of this instance's requests in flight there whose prompts are not read yet. */
	readonly unread: Map<RequestId, number>;
	readonly peerLoads: Map<InstanceId, PeerLoad>;
	/** Running and waiting requests in the last load that the target sent. */
	loadTotal: number;
	loadReceivedAtMs: number;
	/** This instance's requests in flight there when that load arrived. */
	ownAtLoad: number;
	/** How long work takes there, as a multiple of the usual time, as last stated to this instance or a peer; undefined if it never was. */
	slowness: {readonly factor: number; readonly statedAtMs: number} | undefined;
	readonly speed: TargetSpeed;
	/** Limit while it finds its pace. */
	pace: PaceLimit | undefined;
	/** Nothing is sent to it before this time, after connection failures. */
	backoffUntilMs: number;
	/** Nothing is sent to it before this time, which it has named when it turned a request away. */
	closedUntilMs: number;
	/** Consecutive connection failures. */
	failures: number;
	/** Smoothed share of tries that failed through the target's fault. */
	failureRate: number;
	/** When an outcome last changed it; infinite where it does not fade. */
	failureRateAtMs: number;
	/** Whether this instance has had an outcome there since it last told its peers. */
	hasUnannouncedFailures: boolean;
	/** Fingerprints of requests whose connection to it broke, until it is known whether it crashed. */
	readonly suspects: Array<{readonly fingerprints: readonly Fingerprint[]; readonly atMs: number}>;
	/** When a response, or a part of one, last came from it. */
	heardAtMs: number;
	/** Since when connections to it cannot be opened; undefined while they can, as far as this instance knows. */
	unreachedSinceMs: number | undefined;
	/** Instances of the zone that cannot open a connection to it. */
	readonly darkReports: Map<InstanceId, DarkReport>;
	/** Since when they suffice for nobody to try it; undefined while they do not. */
	darkSinceMs: number | undefined;
	/** When a peer last told that it reaches it. */
	reachedByPeerAtMs: number;
	/** When this instance last told others that it does reach it. */
	contradictedAtMs: number;
	readonly probe: {
		sentAtMs: number;
		isPending: boolean;
		/** Whether to learn if it is reached, since another target is not. */
		isWanted: boolean;
		/** When it first refused a connection since it was last heard from. */
		refusedAtMs: number | undefined;
		/** When it last accepted or refused a connection, which shows that the path to it works. */
		answeredAtMs: number;
		/** Since when connections to it have got no answer at all; undefined after any sign of the path. */
		unansweredSinceMs: number | undefined;
	};
	readonly firstByte: Estimate;
	/** Adapters known to be loaded, as `model/adapter`, with the order sequence at which that was known. */
	readonly adapters: Map<string, number>;
	/** Copies that get no new requests because they are about to be unloaded, with the time from which they may get some again. */
	readonly leavingCopies: Map<string, number>;
	/** Undefined until it names a limit. */
	rateLimit: RateLimit | undefined;
	readonly permits: PermitPool;
};

/** The load sent by a target is used this long; after that only own and peers' requests count. */
const LOAD_VALID_MS = 1000;
const PEER_LOAD_VALID_MS = 3000;
/** Prompts are read within this time, and an announcement that they were may be lost. */
const PEER_UNREAD_VALID_MS = 700;

export function createTarget(entry: TargetEntry): Target {
	return {
		id: entry.id,
		entry,
		listed: entry,
		isInRegistry: true,
		listedHash: 0,
		hashedEntry: undefined,
		changedRevision: 0,
		leavingSinceMs: undefined,
		unlistedFromMs: undefined,
		reportValidUntilMs: Number.NEGATIVE_INFINITY,
		inFlight: new Map(),
		unread: new Map(),
		peerLoads: new Map(),
		loadTotal: 0,
		loadReceivedAtMs: Number.NEGATIVE_INFINITY,
		ownAtLoad: 0,
		slowness: undefined,
		speed: createTargetSpeed(),
		pace: undefined,
		backoffUntilMs: Number.NEGATIVE_INFINITY,
		closedUntilMs: Number.NEGATIVE_INFINITY,
		failures: 0,
		failureRate: 0,
		failureRateAtMs: Number.POSITIVE_INFINITY,
		hasUnannouncedFailures: false,
		suspects: [],
		heardAtMs: Number.NEGATIVE_INFINITY,
		unreachedSinceMs: undefined,
		darkReports: new Map(),
		darkSinceMs: undefined,
		reachedByPeerAtMs: Number.NEGATIVE_INFINITY,
		contradictedAtMs: Number.NEGATIVE_INFINITY,
		probe: {
			sentAtMs: Number.NEGATIVE_INFINITY, isPending: false, isWanted: false, refusedAtMs: undefined, answeredAtMs: Number.NEGATIVE_INFINITY, unansweredSinceMs: undefined,
		},
		firstByte: emptyEstimate(),
		adapters: new Map(adaptersOf(entry.copies).map(name => [name, entry.sequence])),
		leavingCopies: new Map(),
		rateLimit: undefined,
		permits: {
			usableFromMs: [], askedAtMs: undefined, askAgainAtMs: Number.NEGATIVE_INFINITY, freeAtMs: Number.NEGATIVE_INFINITY, shareDueMs: undefined,
		},
	};
}

export function adaptersOf(copies: readonly ModelCopy[]): string[] {
	return copies.flatMap(copy => copy.adapters.map(adapter => `${copy.model}/${adapter}`));
}

/** Estimated number of requests at the target now, from all instances. */
export function estimatedLoad(target: Target, nowMs: number): number {
	const own = target.inFlight.size;
	let peers = 0;
	for (const {inFlight, atMs} of target.peerLoads.values()) {
		if (nowMs - atMs < PEER_LOAD_VALID_MS) {
			peers += inFlight;
		}
	}

	const others = nowMs - target.loadReceivedAtMs < LOAD_VALID_MS
		? Math.max(0, target.loadTotal - target.ownAtLoad)
		: 0;
	return own + Math.max(peers, others);
}

/** Tokens of this instance's prompts that the target has not read yet. */
export function ownUnreadTokens({unread}: Target): number {
	let tokens = 0;
	for (const size of unread.values()) {
		tokens += size;
	}

	return tokens;
}

/** Tokens of prompts that the target has yet to read, from all instances. */
export function unreadTokens(target: Target, nowMs: number): number {
	let tokens = ownUnreadTokens(target);
	for (const peer of target.peerLoads.values()) {
		if (nowMs - peer.atMs < PEER_UNREAD_VALID_MS) {
			tokens += peer.unreadTokens;
		}
	}

	return tokens;
}

export function recordLoad(target: Target, load: TargetLoad, nowMs: number): void {
	target.loadTotal = load.running + load.waiting;
	target.loadReceivedAtMs = nowMs;
	target.ownAtLoad = target.inFlight.size;
}

export function holdsModel(target: Target, model: string): boolean {
	return target.entry.copies.some(copy => copy.model === model);
}

/** Whether new requests may be sent to the target, by its entry and by what it has said. */
export function isListed(target: Target, nowMs: number): boolean {
	return target.leavingSinceMs === undefined && (target.unlistedFromMs === undefined || nowMs < target.unlistedFromMs);
}

/** Whether the target names a rate limit. */
export function isLimited({rateLimit}: Target): boolean {
	return rateLimit?.perSecond !== undefined;
}

export function isUsable(target: Target, nowMs: number): boolean {
	return isListed(target, nowMs) && target.darkSinceMs === undefined && nowMs >= target.backoffUntilMs && nowMs >= target.closedUntilMs;
}
