/**
Messages between instances, and the state kept for each peer. Beacons are small and
sent several times a second, the same one to all receivers. Configurations and the
registry are too large for them and are pulled from an instance whose beacon
advertises a newer version.
*/
import {type InstanceId, type RequestId, type TargetId} from '../types.js';
import {type CrashRecord} from '../request/crash-evidence.js';
import {type AnnouncedBrittleness} from './brittle-services.js';
import {type EntryConfiguration} from './configuration.js';
import {type ModelCopy, type TargetEntry} from './target.js';
import {type EntryInstance} from './types.js';

export type ModelDemand = {
	readonly service: string;
	readonly model: string;
	readonly arrivalsPerSecond: number;
	/** Engines that these arrivals keep busy with reading prompts: seconds of reading a second. */
	readonly busyShare: number;
	/** Requests that run or are queued. */
	readonly open: number;
	readonly waiting: number;
	/** Shortest latency objective seen recently: how long callers are willing to wait. */
	readonly objectiveMs: number;
	/** Adapters requested recently. */
	readonly adapters: readonly string[];
	/** Adapters that requests in flight use, and where. Undefined from instances of an earlier release. */
	readonly runningAdapters?: readonly RunningAdapter[];
	/** Time for which the model has had no copy though it was requested there; undefined while it has one, and from instances of an earlier release. */
	readonly missingMs?: number;
};

export type RunningAdapter = readonly [targetId: TargetId, adapter: string];

export type LeaseStatus = {
	readonly holder: EntryInstance;
	readonly epoch: number;
	/** Time since the holder last claimed the lease. */
	readonly ageMs: number;
	/** Number of instances that the holder counted then; undefined from instances of an earlier release. */
	readonly instances?: number;
	/** Absent without quotas, and from instances of an earlier release. */
	readonly quotas?: QuotaLevels;
};

/** What the lease holder says of the quotas of all workspaces. */
export type QuotaLevels = {
	readonly configurationVersion: number;
	/**
	One character for each workspace with a quota, in the order of that version: the used tenths of its limit, as `0` to `9`, or,
	as `a` to `f` for 0 to 5 tenths, that instances may use some units before they report them.
	*/
	readonly levels: string;
};

/** Copy that is about to be unloaded and gets no new requests. */
export type LeavingCopy = {
	readonly targetId: TargetId;
	readonly model: string;
	/** Remaining time for which no requests are sent to it. */
	readonly forMs: number;
};

/** Copy that is being loaded, or for which memory is being freed. */
export type ComingCopy = {
	readonly targetId: TargetId;
	readonly service: string;
	readonly model: string;
	/** Expected time until it serves. Until then its target takes no orders for adapters. */
	readonly inMs: number;
};

export type HeldAdapter = {
	readonly targetId: TargetId;
	/** `model/adapter`. */
	readonly name: string;
	/** Order sequence of the target at which it was known to be held. */
	readonly sequence: number;
};

/** Copies held by an engine according to a report that is newer than its registry entry. */
export type ReportedCopies = {
	readonly targetId: TargetId;
	readonly incarnation: number;
	readonly sequence: number;
	readonly copies: readonly ModelCopy[];
};

/** What one instance has in flight at a target. */
export type AnnouncedLoad = readonly [targetId: TargetId, inFlight: number, unreadTokens?: number];

/** Target that the sender cannot open a connection to, since when, and whether it reaches others of the same service. */
export type UnreachedTarget = readonly [targetId: TargetId, incarnation: number, sinceAgoMs: number, reachesOthers: boolean];

/** Limit on the requests at a target that finds its pace; `epoch` grows with its failures. */
export type AnnouncedPace = readonly [targetId: TargetId, incarnation: number, epoch: number, limit: number];

/** Share of tries that failed through a target's fault, in percent. */
export type AnnouncedFailureRate = readonly [targetId: TargetId, incarnation: number, percent: number];

/** How long work takes at a target, in percent of the usual time, and the time since the target stated it. */
export type AnnouncedSlowness = readonly [targetId: TargetId, percent: number, agoMs: number];

/** How fast a target works, as learned from responses: hundredths of the logarithm of its time against the middle of its service, and the number of samples. */
export type AnnouncedSpeed = readonly [targetId: TargetId, incarnation: number, logTimeHundredths: number, weight: number];

/** Sent between beacons when an instance's load on engines changes, since a beacon is older than the time that a prompt takes to be read. */
export type LoadAnnouncement = {
	readonly from: InstanceId;
	readonly loads: readonly AnnouncedLoad[];
	/** Absent if none is known. */
	readonly slowness?: readonly AnnouncedSlowness[];
	/** What the sender has just found that it does not reach, or reaches; absent in announcements of loads. */
	readonly unreached?: readonly UnreachedTarget[];
	readonly reached?: readonly TargetId[];
	/** Limits that have changed. */
	readonly paces?: readonly AnnouncedPace[];
};

/** A target's rate limit, or that it has lifted one. */
export type AnnouncedLimit = {
	readonly targetId: TargetId;
	readonly incarnation: number;
	/** Absent once it is lifted. */
	readonly perSecond?: number;
	/** Time since the target stated it. */
	readonly statedAgoMs: number;
};

/** `needed`: the requests have no other target. `spare`: they have one, so that permits which others may need are left to them. */
export type PermitPurpose = 'needed' | 'spare';

/** Asks the lease holder for permits to send requests to a target that names a rate limit. */
export type PermitRequest = AnnouncedLimit & {
	readonly from: InstanceId;
	/** Host and port that receives the grant. */
	readonly replyTo: string;
	readonly perSecond: number;
	readonly wanted: number;
	readonly purpose: PermitPurpose;
};

export type PermitGrant = {
	readonly targetId: TargetId;
	/** Time until each permit may be used; fewer than wanted if the next ones are far off. */
	readonly inMs: readonly number[];
	/** Time until the target takes a request that nobody has a permit for. */
	readonly freeInMs: number;
};

/** What an instance needs and has used of one workspace's quota. */
export type AskedQuota = {
	readonly workspace: string;
	/** Units of each request that waits. */
	readonly needs: readonly number[];
	/** All units that it has ever used less those that this account has granted it; only the change since its last ask matters. */
	readonly used: number;
	/** Until its first answer: units used in the last window, by age. */
	readonly history?: readonly number[];
};

/** Asks the instance that keeps an account for units of quotas, and tells it what was used without. One ask is for all workspaces. */
export type QuotaAsk = {
	readonly askNumber: number;
	readonly from: InstanceId;
	readonly boot: string;
	/** Host and port that receives the answer. */
	readonly replyTo: string;
	/** Name of the account that is asked. */
	readonly account: string;
	/** Changes whenever the sender turns to the account anew. */
	readonly session: number;
	/** Time since the sender started: what ran in its place before is not known. */
	readonly upMs: number;
	/** Whether the account has not answered it yet, so that `history` is all that it has used in the window. */
	readonly isFirst: boolean;
	readonly quotas: readonly AskedQuota[];
};

export type GrantedQuota = {
	readonly workspace: string;
	/** For the first needs of the ask: time until the units of each may be used. */
	readonly inMs: readonly number[];
	/** Time until there may be room for the next need; absent if all are granted. */
	readonly roomInMs?: number;
};

export type QuotaGrant = {
	/** Number of the ask that it answers. */
	readonly grantNumber: number;
	readonly account: string;
	readonly quotas: readonly GrantedQuota[];
	readonly levels: QuotaLevels;
};

/** What began a stream, by the request that brought its first event. */
export type AnnouncedOrigin = readonly [streamId: RequestId, service: string, release: string];

export type OriginAnnouncement = {
	readonly origins: readonly AnnouncedOrigin[];
};

/** Asks what began a stream. Only instances that know answer. */
export type OriginQuery = {
	readonly streamId: RequestId;
	/** Host and port that receives the answer. */
	readonly replyTo: string;
};

/** A request that was passed on and ended without a whole answer at an instance that stops, in the order of the members of a log line. */
export type AnnouncedCut = {
	readonly requestId: RequestId;
	readonly reason: string;
	/** Targets and outcomes, with a space between them. */
	readonly tries: string;
	/** Members of the log line of the instance that it ended at. */
	readonly [fact: string]: unknown;
};

/** A request that was passed on and has no whole answer yet. */
export type AnnouncedOpen = {
	readonly requestId: RequestId;
	readonly tries: string;
	/** `open`, `begun` (its answer has begun) or `decided`. */
	readonly state: string;
	readonly openForMs: number;
	readonly leftMs?: number;
};

/** All that an instance that stops has to tell of its requests. Instances of an earlier release take it for a datagram of another program. */
export type StopAnnouncement = {
	readonly from: InstanceId;
	readonly boot: string;
	/** Grows with each announcement of the process. */
	readonly sequence: number;
	/** Whether it is the last word of the process. */
	readonly isClosed: boolean;
	readonly cuts: readonly AnnouncedCut[];
	/** How many others there are that it does not name. */
	readonly moreCuts: number;
	readonly open: readonly AnnouncedOpen[];
	readonly moreOpen: number;
};

/** How an instance's copy of the registry has changed since one with a certain digest. */
export type AnnouncedRegistryChange = {
	readonly sinceDigest: number;
	readonly entries: readonly TargetEntry[];
	readonly removed: readonly TargetId[];
};

export type Beacon = {
	readonly from: EntryInstance;
	readonly isLeaving: boolean;
	readonly configurationVersion: number;
	/** When that was known to be the newest version, on the store's clock; undefined from instances of an earlier release. */
	readonly configurationAsOfStoreMs?: number;
	readonly registry: {
		readonly revision: number;
		readonly digest: number;
		/** When the sender's copy was current, on the store's clock. An age would not include the beacon's time in transit. */
		readonly asOfStoreMs: number;
		/** Whether the sender's own reads of the registry succeed. */
		readonly isRead: boolean;
		/** What the sender has just read, for peers of its zone; undefined from instances of an earlier release. */
		readonly change?: AnnouncedRegistryChange;
	};
	readonly lease?: LeaseStatus;
	/** Latest epoch in which the sender held the lease and that has ended; absent if there is none, and from instances of an earlier release. */
	readonly endedEpoch?: number;
	/** What the sender has in flight at each target. */
	readonly loads: readonly AnnouncedLoad[];
	/** Only in beacons to the lease holder. */
	readonly demand?: readonly ModelDemand[];
	readonly reported: readonly ReportedCopies[];
	readonly leavingCopies: readonly LeavingCopy[];
	/** Undefined from instances of an earlier release. */
	readonly comingCopies?: readonly ComingCopy[];
	readonly adapters: readonly HeldAdapter[];
	/** Crashes of which something new is known. Instances of an earlier release send counts instead, which name no target. */
	readonly crashes: readonly CrashRecord[];
	/** Digest of all that the sender knows of crashes; undefined from instances of an earlier release. */
	readonly crashDigest?: number;
	/** Targets that the sender cannot open a connection to; not all if there are many. */
	readonly unreached?: readonly TargetId[];
	/** Whether it reaches no target of any service. */
	readonly isCutOff?: boolean;
	/** Services whose targets fall over when they turn too many requests away. */
	readonly brittle?: readonly AnnouncedBrittleness[];
	/** What targets stated just now; absent if none did. */
	readonly slowness?: readonly AnnouncedSlowness[];
	/** Targets that fail; absent if there are none. */
	readonly failureRates?: readonly AnnouncedFailureRate[];
	/** Limits of targets that find their pace; absent if there are none. */
	readonly paces?: readonly AnnouncedPace[];
	/** Speeds of targets of which the sender has learned something new, a few in each beacon. */
	readonly speeds?: readonly AnnouncedSpeed[];
	/** Undefined from instances of an earlier release. */
	readonly rateLimits?: readonly AnnouncedLimit[];
};

/** Versions that an instance holds when it pulls. */
export type KnownVersions = {
	readonly from: EntryInstance;
	readonly configurationVersion: number;
	readonly registryRevision: number;
	readonly crashDigest?: number;
	/** Whether it can take a transfer of only what has changed; for instances of an earlier release, which do not look at the next one. */
	readonly acceptsChanges?: boolean;
	/** Whether it compares its copy with the digest of a transfer, and asks for all entries if it differs; instances of an earlier release do not. */
	readonly checksDigest?: boolean;
};

export type RegistryTransfer = {
	readonly revision: number;
	/** When the entries were current, on the store's clock. */
	readonly asOfStoreMs: number;
	/** All entries, or those that have changed since the revision that the peer knows. */
	readonly entries: readonly TargetEntry[];
	/** Targets removed since that revision; undefined if `entries` are all. */
	readonly removed?: readonly TargetId[];
	/** Digest of the sender's copy; undefined from instances of an earlier release. */
	readonly digest?: number;
};

/** Answer to a pull: only what is newer than the versions known to the sender of the pull. */
export type StateTransfer = {
	readonly instances: readonly EntryInstance[];
	readonly configuration?: EntryConfiguration;
	readonly registry?: RegistryTransfer;
	readonly lease?: LeaseStatus;
	/** All known crashes, if they are not those that the peer knows. */
	readonly crashes?: readonly CrashRecord[];
};

/** State kept for another instance. */
export type Peer = {
	instance: EntryInstance;
	/** When a beacon last came from it. */
	beaconReceivedAtMs: number;
	/** When a beacon was last sent to it. */
	beaconSentAtMs: number;
	/** When the last pull from it was sent. */
	pulledAtMs: number;
	/** Targets that it does not reach. */
	unreached: ReadonlySet<TargetId>;
	/** Whether it reaches no target. */
	isCutOff: boolean;
	/** Requests of this instance that were passed on to it. */
	readonly relays: Set<RequestId>;
	/** Nothing is passed on to it before this time. */
	avoidedUntilMs: number;
	/** Since when what it knows of crashes differs, undefined while it does not. */
	crashesDifferSinceMs: number | undefined;
	isLeaving: boolean;
	/** Newest version of the configuration that it is known to hold. */
	configurationVersion: number;
	/** Whether its reads of the registry succeed. */
	canReadStore: boolean;
	demand: readonly ModelDemand[];
	/** When a beacon last carried its demand. */
	demandReceivedAtMs: number;
	/** Targets at which it had requests by its last beacon or a later announcement. */
	loadedTargets: Set<TargetId>;
};

export type Peers = Map<InstanceId, Peer>;
