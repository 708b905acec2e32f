/**
The complete state of an entry instance. Only its reducer modifies it, in place, so
that the cost of an event does not grow with the size of the state.
*/
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {type RandomGenerator} from 'pure-rand/types/RandomGenerator';
import TinyQueue from 'tinyqueue';
import {type LogEventName} from '../log-events.js';
import {RecentMap} from '../request/recent-map.js';
import {type Estimate} from '../request/estimate.js';
import {type InstanceId, type RequestId, type TargetId} from '../types.js';
import {CrashEvidence} from '../request/crash-evidence.js';
import {type EntryConfiguration, type RouteIndex} from './configuration.js';
import {createConfigurationAge, type ConfigurationAge} from './configuration-age.js';
import {type EntryEffect} from './effect.js';
import {type ComingCopy, type HeldAdapter, type Peers} from './peer-messages.js';
import {OrderTracker} from './order-tracker.js';
import {createLease, type Lease} from './lease-state.js';
import {allMechanisms, type EnabledMechanisms} from './mechanisms.js';
import {createQuotas, type Quotas} from './quota-state.js';
import {type PaceMode} from './pace.js';
import {type ReadingSpeed} from './reading-speed.js';
import {createKnownReleases, type KnownReleases} from './release-record.js';
import {createReleaseHistory, type ReleaseHistory} from './release-history.js';
import {type RetryBudget} from './retry-budget.js';
import {createOwnStop, type OwnStop, type PeerStop} from './stop-announcements.js';
import {createTargetSpeeds, type TargetSpeeds} from './target-speeds.js';
import {type Target} from './target.js';
import {
	type EntryBounds, type EntryInstance, type EntryRequest, type StreamOrigin,
} from './types.js';
import {type WaitingQueue} from './waiting-queue.js';
import {type WorkspaceIndex} from './workspaces.js';

/** Fingerprints of the answers of the last seconds, at 50 requests a second with a few fingerprints each. */
const MAX_SURVIVALS = 5000;
const MAX_CRASH_TRIALS = 200;
/** Targets of the largest deployments. */
const MAX_PACES_ENDED = 1000;
/** Those of the last minute, of own streams and of streams that this instance keeps for others, at 50 a second. */
const MAX_STREAM_ORIGINS = 6000;

export type Timer = {
	readonly atMs: number;
	/** Not its id: a caller may send another request under it while the timer runs. */
	readonly request: EntryRequest;
	/** `deadline` ends the request, `patience` checks how long it has waited, `silence` checks the try `tryNumber` for progress, `origin` ends the wait for what began the stream, `quota` the wait for its quota. */
	readonly kind: 'deadline' | 'patience' | 'silence' | 'origin' | 'quota';
	readonly tryNumber: number;
};

/** Demand for one model at this instance. */
export type DemandRecord = {
	readonly service: string;
	readonly model: string;
	/** Arrivals since the rate was last updated. */
	arrivals: number;
	/** Smoothed rate of arrivals. */
	arrivalsPerSecond: number;
	/** Tokens of prompts that arrived since the rate was last updated. */
	tokens: number;
	/** Smoothed rate of these. */
	tokensPerSecond: number;
	objectiveMs: number;
	rateUpdatedAtMs: number;
	lastArrivalAtMs: number;
	open: number;
	/** Since when it has been known that no target holds a copy; undefined while one does. */
	missingSinceMs: number | undefined;
	/** Adapters and the time of their last request. */
	readonly adapters: Map<string, number>;
};

export type EntryState = {
	self: EntryInstance;
	bounds: EntryBounds;
	mechanisms: EnabledMechanisms;
	paceMode: PaceMode;
	/** Limits that have ended, by target, with the epoch at which they did. */
	readonly pacesEnded: RecentMap<{readonly epoch: number; readonly atMs: number}>;
	random: RandomGenerator;
	/** How late the event loop was with the last tick. */
	tickLateMs: number;
	/** Everything that had arrived by then has been handled: only silence up to then is that of others. */
	readUntilMs: number;
	lifecycle: 'starting' | 'serving' | 'draining' | 'stopped';
	/** When the signal to stop may have been sent at the earliest, from which the grace period counts, and when it was noticed. */
	drainSinceMs: number;
	drainNoticedAtMs: number;
	/** Whether idle connections of callers are closed and no new ones accepted. */
	isCallerListenerClosed: boolean;
	startedAtMs: number;
	configuration: EntryConfiguration | undefined;
	routes: RouteIndex;
	/** Those of earlier versions, until the streams that they led to a service are over. */
	formerRoutes: ReadonlyArray<{readonly routes: RouteIndex; readonly untilMs: number}>;
	/** Undefined if the configuration contains no workspaces. */
	workspaces: WorkspaceIndex | undefined;
	/** Since when a peer is known to have a newer configuration. */
	configurationBehindSinceMs: number | undefined;
	configurationWatch: {
		/** When the version held was last known to be the store's newest, by the local clock. */
		confirmedAtMs: number;
		/** The same by the store's clock; 0 before the first answer. */
		asOfStoreMs: number;
		checkSentAtMs: number;
		/** Whether it is logged that this has not been known for a while. */
		isUnconfirmed: boolean;
	};
	/** Maintained where the age of the configuration has a bound. */
	readonly configurationAge: ConfigurationAge;
	readonly targets: Map<TargetId, Target>;
	registry: {
		revision: number;
		/** When this copy of the registry was last known to match the store: by the local clock, and by the store's clock (0 before the first read). */
		freshAtMs: number;
		asOfStoreMs: number;
		/** Since when this copy has followed the store without a gap in which a target could have come and gone unseen. */
		inStepSinceMs: number;
		/** When the last read by this instance that succeeded was sent: what was listed by then is in this copy. */
		confirmedAtMs: number;
		/** Local clock minus the store's clock, from the last read by this instance; undefined while unknown. */
		storeOffsetMs: number | undefined;
		/** Revisions below this one are from before the store was last restored, by this instance's reads. */
		eraRevision: number;
		/** Since when reads have had no response. */
		unansweredSinceMs: number | undefined;
		readSentAtMs: number;
		/** Until then, targets that disappear from the registry get a grace period, since their entries may come back. */
		graceUntilMs: number;
		/** Ticks since the copy became too old to choose targets by; 0 while it is not. */
		staleTicks: number;
		/** When a read last failed, and when reads next succeeded after that. */
		failedAtMs: number;
		restoredAtMs: number;
		/** Whether it was read since the last beacon: the whole zone is told, so that nobody else has to read it. */
		isReadNews: boolean;
		/** The copy that the zone was last told of by this instance's beacons. */
		announced: {readonly revision: number; readonly digest: number} | undefined;
		/** Digest of the entries: equal on instances whose entries are equal. */
		digest: number;
		/** Whether what a peer has passed on did not lead to its copy, so that the next pull asks for all entries. */
		isWholeNeeded: boolean;
		/** Whether the next read of the store is to bring all entries. */
		isWholeReadNeeded: boolean;
		/** When a peer with another copy of the same revision was last taken for a reason to obtain all entries. */
		doubtedAtMs: number;
		/** Targets that are not listed; may contain some that are listed again. */
		readonly unlisted: Set<TargetId>;
	};
	readonly open: Map<RequestId, EntryRequest>;
	readonly queues: Map<string, WaitingQueue>;
	readonly timers: TinyQueue<Timer>;
	readonly retryBudgets: Map<string, RetryBudget>;
	readonly crashEvidence: CrashEvidence;
	/** Keys of crashes of which something new is known, and the time until which beacons carry them. */
	readonly crashesToAnnounce: Map<string, number>;
	/** Until then, what this instance itself has found out of crashes is also told to other zones. */
	crashNewsUntilMs: number;
	/** When the pull that is under way was sent; undefined if there is none. */
	pullSentAtMs: number | undefined;
	/** The last peer that told of something newer meanwhile, to be asked if that pull brings nothing. */
	nextPullFrom: InstanceId | undefined;
	/** When a peer was last asked for what it knows of crashes. */
	crashesPulledAtMs: number;
	/** When an answer last survived with each fingerprint. */
	readonly survivals: RecentMap<number>;
	/** When a request with a fingerprint at fault was last sent to learn whether it still crashes targets. */
	readonly crashTrials: RecentMap<number>;
	/** Whether a connection to an address is idle and may be used for any request; set by the daemon where all requests reuse connections. */
	hasIdleConnection: (address: string) => boolean;
	/** Targets that are probed. */
	readonly probedTargets: Set<TargetId>;
	/** Services whose targets have stated how many requests a second they can turn away. */
	readonly brittleServices: Map<string, {readonly declinesPerSecond: number; readonly statedAtMs: number}>;
	/** Targets that instances of the zone cannot open a connection to. */
	readonly reportedTargets: Set<TargetId>;
	/** Services of which this instance reaches no target. */
	readonly unreachedServices: Set<string>;
	/** Targets whose connections broke, until it is known whether they went down. */
	readonly suspectedTargets: Set<TargetId>;
	readonly streamOrigins: RecentMap<StreamOrigin>;
	/** Requests that wait for a peer to tell the origin of a stream. */
	readonly originQueries: Map<RequestId, readonly RequestId[]>;
	/** Requests that wait for the proof that a single release can have begun their stream. */
	readonly unprovenStreams: Set<RequestId>;
	readonly knownReleases: KnownReleases;
	readonly releaseHistory: ReleaseHistory;
	/** Services of which several releases are known. */
	readonly mixedServices: Set<string>;
	/** Adapters loaded recently, and the time until which beacons carry them. */
	readonly adaptersToAnnounce: Map<string, {readonly adapter: HeldAdapter; readonly untilMs: number}>;
	/** Copies on their way by target, as the lease holder last announced them, with the time at which they are expected to serve. */
	readonly comingCopies: Map<TargetId, ComingCopy & {readonly atMs: number}>;
	readonly demand: Map<string, DemandRecord>;
	/** Reading speed of engines by queue key, since it differs by model. */
	/** How long requests take that may not be repeated and were answered, by route. */
	readonly answerTimes: Map<string, Estimate>;
	readonly readingSpeeds: Map<string, ReadingSpeed>;
	readonly targetSpeeds: TargetSpeeds;
	readonly peers: Peers;
	readonly ownStop: OwnStop;
	/** By instance and boot. */
	readonly peerStops: Map<string, PeerStop>;
	/** Instances heard from recently, this one included, as of the last round of beacons. */
	heardInstances: number;
	beaconsSentAtMs: number;
	/** Targets whose load by this instance has changed since it was announced to peers. */
	readonly loadsToAnnounce: Set<TargetId>;
	readonly lease: Lease;
	readonly orderTracker: OrderTracker;
	readonly quotas: Quotas;
	/** Requests that wait for an adapter to be loaded, by `target model/adapter`. */
	readonly adapterFetches: Map<string, {sinceMs: number; readonly requests: Set<RequestId>}>;
};

export function createEntryState(): EntryState {
	return {
		self: {
			id: '', boot: '', zone: '', address: '', beaconAddress: '',
		},
		bounds: {
			graceMs: 8000, drainMs: 2000, leaseMs: 3000, repeatShare: 0.2, repeatWindowMs: 10_000, repeatSlack: 0,
		},
		mechanisms: allMechanisms,
		paceMode: 'off',
		pacesEnded: new RecentMap(MAX_PACES_ENDED),
		random: xoroshiro128plus(0),
		lifecycle: 'starting',
		tickLateMs: 0,
		readUntilMs: 0,
		drainSinceMs: 0,
		drainNoticedAtMs: 0,
		isCallerListenerClosed: false,
		startedAtMs: 0,
		configuration: undefined,
		routes: new Map(),
		formerRoutes: [],
		workspaces: undefined,
		configurationBehindSinceMs: undefined,
		configurationWatch: {
			confirmedAtMs: Number.NEGATIVE_INFINITY, asOfStoreMs: 0, checkSentAtMs: Number.NEGATIVE_INFINITY, isUnconfirmed: false,
		},
		configurationAge: createConfigurationAge(),
		targets: new Map(),
		registry: {
			revision: 0,
			freshAtMs: Number.NEGATIVE_INFINITY,
			asOfStoreMs: 0,
			inStepSinceMs: Number.POSITIVE_INFINITY,
			confirmedAtMs: Number.NEGATIVE_INFINITY,
			storeOffsetMs: undefined,
			eraRevision: 0,
			unansweredSinceMs: undefined,
			readSentAtMs: Number.NEGATIVE_INFINITY,
			graceUntilMs: Number.NEGATIVE_INFINITY,
			staleTicks: 0,
			failedAtMs: Number.NEGATIVE_INFINITY,
			restoredAtMs: Number.NEGATIVE_INFINITY,
			isReadNews: false,
			announced: undefined,
			digest: 0,
			isWholeNeeded: false,
			isWholeReadNeeded: false,
			doubtedAtMs: Number.NEGATIVE_INFINITY,
			unlisted: new Set(),
		},
		open: new Map(),
		queues: new Map(),
		timers: new TinyQueue<Timer>([], (a, b) => a.atMs - b.atMs),
		retryBudgets: new Map(),
		crashEvidence: new CrashEvidence(),
		crashesToAnnounce: new Map(),
		crashNewsUntilMs: Number.NEGATIVE_INFINITY,
		pullSentAtMs: undefined,
		nextPullFrom: undefined,
		crashesPulledAtMs: Number.NEGATIVE_INFINITY,
		survivals: new RecentMap(MAX_SURVIVALS),
		crashTrials: new RecentMap(MAX_CRASH_TRIALS),
		hasIdleConnection: () => true,
		probedTargets: new Set(),
		brittleServices: new Map(),
		reportedTargets: new Set(),
		unreachedServices: new Set(),
		suspectedTargets: new Set(),
		streamOrigins: new RecentMap(MAX_STREAM_ORIGINS),
		originQueries: new Map(),
		unprovenStreams: new Set(),
		knownReleases: createKnownReleases(),
		releaseHistory: createReleaseHistory(),
		mixedServices: new Set(),
		adaptersToAnnounce: new Map(),
		comingCopies: new Map(),
		demand: new Map(),
		answerTimes: new Map(),
		readingSpeeds: new Map(),
		targetSpeeds: createTargetSpeeds(),
		peers: new Map(),
		ownStop: createOwnStop(),
		peerStops: new Map(),
		heardInstances: 1,
		loadsToAnnounce: new Set(),
		beaconsSentAtMs: Number.NEGATIVE_INFINITY,
		lease: createLease(),
		orderTracker: new OrderTracker(),
		quotas: createQuotas(),
		adapterFetches: new Map(),
	};
}

/** What a handler receives besides its event. A context is created for each event. */
export type EntryContext = {
	readonly state: EntryState;
	readonly nowMs: number;
	readonly wallMs: number;
	readonly effects: EntryEffect[];
};

/** The request of a timer, unless it has ended. */
export function openRequest({state}: EntryContext, {request}: Timer): EntryRequest | undefined {
	return state.open.get(request.id) === request ? request : undefined;
}

export function logEvent(context: EntryContext, event: LogEventName, fields: Readonly<Record<string, unknown>>): void {
	context.effects.push({kind: 'log', event, fields});
}

/** A random number from 0 (inclusive) to 1 (exclusive). */
export function randomFraction({state}: EntryContext): number {
	return uniformFloat64(state.random);
}
