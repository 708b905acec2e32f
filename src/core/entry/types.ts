/**
Data types of the entry core: instances, requests and their tries, orders to engines,
and the lease row in the platform's store. All are plain data.
*/
import {
	type InstanceId, type RequestId, type TargetId, type ZoneName,
} from '../types.js';
import {type Fingerprint} from '../request/crash-evidence.js';
import {type Route} from './configuration.js';
import {type Workspace} from './workspace.js';

/** Identity and addresses of one entry process. */
export type EntryInstance = {
	readonly id: InstanceId;
	/** Boot id: changes with every start of the process. */
	readonly boot: string;
	readonly zone: ZoneName;
	/** Host and port of the peer listener. */
	readonly address: string;
	/** Host and port that receives beacons. */
	readonly beaconAddress: string;
	/** Host and port of the listener for callers; undefined for instances of an earlier release. */
	readonly callerAddress?: string;
	/** Processor time that it gets, in cores; undefined if it is not stated. */
	readonly processorCores?: number;
};

/** Bounds set by the deployment. */
export type EntryBounds = {
	/** Grace period between the stop signal and the kill of the process. */
	readonly graceMs: number;
	/** Time after a target's leaving was stored within which a request may still reach it. */
	readonly drainMs: number;
	/** Term of the lease: within it no second instance may send orders to the same targets. */
	readonly leaseMs: number;
	/** Retries allowed in a sliding window: a share of the requests plus a constant (`repeatSlack`). */
	readonly repeatShare: number;
	readonly repeatWindowMs: number;
	readonly repeatSlack: number;
	/** Absent if no bound is set on how long a withdrawn API key may still be accepted. */
	readonly revocation?: {
		/** Whether that holds for instances that are out of touch with the store as well. */
		readonly isStrict: boolean;
		readonly withinMs: number;
	};
	/** How quotas of workspaces are measured: over sliding windows, with a share and a constant (in units of the quota) by which they may be exceeded. */
	readonly quota?: {
		readonly windowMs: number;
		readonly overShare: number;
		readonly slack: number;
	};
};

/** How an instance that cannot reach the targets of a request passed it on. */
export type Relayed = {
	readonly by: InstanceId;
	/** Its boot id, which only instances know: a caller cannot make its request count as passed on. */
	readonly boot: string;
	/** Service that it chose for the request. */
	readonly service: string;
	/** Version of the configuration by which it chose. */
	readonly configurationVersion: number;
	/** The request's route in that version; absent if the other instance has said that it holds that version. */
	readonly route?: Route;
	/** For a stream that has begun: the release at which it has to go on. */
	readonly release: string | undefined;
	/** Name of the workspace whose key the request brought; absent for none. */
	readonly workspace?: string;
	/** SHA-256 of that key, by which an instance with a newer configuration checks it again. */
	readonly keyHash?: string;
};

export type EntryArrival = {
	readonly id: RequestId;
	readonly host: string;
	/** Path without the query. */
	readonly path: string;
	/** Equal for equal host, path and body. */
	readonly contentHash: string;
	readonly model: string | undefined;
	readonly adapter: string | undefined;
	/** Size of the prompt, undefined if the caller does not state it. */
	readonly promptTokens?: number;
	/** Longest output that the caller asks for, undefined if it does not state it. */
	readonly outputTokens?: number;
	/** SHA-256 of the caller's API key, base64url; absent if it sent none. */
	readonly keyHash?: string;
	/** Ids of the parts of its prompt in order. Requests share them, but for the last, which belongs to this request or its session. */
	readonly promptParts?: readonly string[];
	/** For a stream that the caller resumes: the last event that it has received, and the request that brought the first one. */
	readonly lastEventId?: number;
	readonly resumes?: RequestId;
	/** Present if another instance passed the request on. */
	readonly relayed?: Relayed;
	/** Time that the caller is willing to wait, from its deadline header. */
	readonly deadlineMs: number | undefined;
	/** Part of that which has passed since the head of the request was read. */
	readonly waitedMs?: number;
};

/**
How a try ended.

- `not-sent`: no byte of the request left this instance.
- `not-run`: the target states that it did not execute the request.
- `answered`: the response arrived complete and is not a server error.
- `failed`: the response arrived complete and is a server error of the target.
- `broken`: the connection or the response was cut off; the request may have been executed.
- `unproven`: the response has no length, ended with its connection in the regular way, and its target has gone, so that the end of
  its process may have cut it off.
- `canceled`: this instance canceled the try.
*/
export type TryOutcome = 'not-sent' | 'not-run' | 'answered' | 'failed' | 'broken' | 'unproven' | 'canceled';

/** What began a stream. */
export type StreamOrigin = {
	readonly service: string;
	readonly release: string;
};

export type EntryTry = {
	readonly number: number;
	/** The target, or the instance that it was passed on to. */
	readonly targetId: TargetId;
	/** Whether it was passed on to another instance. */
	readonly isRelay?: boolean;
	/** Version of the target's software; undefined if another instance chooses among several. */
	readonly release: string | undefined;
	readonly startedAtMs: number;
	/** Tokens that this instance had sent to the target and that were unread, with this request's own; 0 for plain services. */
	readonly unreadTokens: number;
	/** Work that the time to the first event depends on: for engines the tokens unread there, also those that peers had announced; for plain services the load by slots, at least 1. */
	readonly workUnits: number;
	/** How long a sound target may take until the response begins. */
	readonly silenceLimitMs: number;
	/** When the try was sent, the response began, or its last event arrived. */
	progressAtMs: number;
	hasBegun: boolean;
	/** Whether its response is not read until its caller has taken what it brought. */
	isHeld: boolean;
	/** Whether it was silent, and the request was sent to another target as well. */
	hasReplacement: boolean;
	/** Whether it has been silent since its last progress, which has counted as a failure of its target. */
	wasSilent: boolean;
	/** When the first event of a stream arrived, as the core was told. */
	beganAtMs?: number;
	outcome: TryOutcome | undefined;
	/** What was wrong with it: the code of a connection's error, or a name of the daemon's. */
	fault?: string;
	/** Of its response; undefined without the head of one. */
	status?: number;
	/** For streams: when the first event arrived, and the longest pause between two events. */
	firstEventAtMs?: number;
	longestPauseMs?: number;
};

/** What a request counts as in its workspace's quota. */
export type QuotaCharge = {
	readonly workspace: string;
	readonly units: number;
	readonly atMs: number;
};

/** `charging`: waits for its workspace's quota. `resolving`: waits to learn what began its stream. `queued`: waits for capacity. `fetching`: waits for its adapter to be loaded. `running`: a try is in flight. */
export type RequestPhase = 'charging' | 'resolving' | 'queued' | 'fetching' | 'running';

export type EntryRequest = {
	readonly id: RequestId;
	readonly arrival: EntryArrival;
	readonly route: Route;
	/** Workspace whose key the request brought; undefined on public routes and where the configuration has no workspaces. */
	readonly workspace?: Workspace;
	service: string;
	/** Key of its waiting queue: requests with the same key can be served by the same targets. */
	queueKey: string;
	/** The request that brought the first event of its stream: itself, or the one that its caller resumes. */
	readonly streamId: RequestId;
	/** The release that began its stream, at which alone it can go on; undefined until the first event. */
	release: string | undefined;
	/** The fingerprint at fault that it is sent with, to learn whether it still crashes targets. */
	readonly trialOf: Fingerprint | undefined;
	readonly arrivedAtMs: number;
	/** The earlier of the caller's deadline and the route's timeout. */
	readonly deadlineAtMs: number;
	/** When the caller is expected to give up if nothing more arrives. */
	patienceEndsAtMs: number;
	readonly tries: EntryTry[];
	/** While the end of a try is handled: what the log tells of it. */
	lastTry?: Readonly<Record<string, unknown>>;
	phase: RequestPhase;
	/** Present once it was charged to a quota. */
	charge?: QuotaCharge;
	/** Stream events delivered to the caller. */
	delivered: number;
	/** Whether a response head was forwarded to the caller; after that no other response can be sent. */
	hasHead: boolean;
	/** Whether any try may have executed the request. */
	mayHaveRun: boolean;
	/** Tries that targets declined without executing them, plus failed adapter fetches. */
	declined: number;
};

/** Order to a target's engine. The engine takes it only if `expectedSequence` equals the number of orders it has accepted. */
export type EngineOrder = {
	readonly kind: 'load' | 'unload';
	readonly model: string;
	readonly adapter: string | undefined;
	readonly expectedSequence: number;
	readonly holder: InstanceId;
	readonly epoch: number;
};

/**
- `accepted`: the order is being executed and counts in the sequence.
- `holds`: the engine is already in the requested state.
- `conflict`: another order is in progress, or the sequence differs.
- `declined`: the target rejects the order.
- `not-sent`: the order never left this instance.
- `lost`: no response; the order may still be executed later if its condition still holds.
*/
export type EngineOrderOutcome = 'accepted' | 'holds' | 'conflict' | 'declined' | 'not-sent' | 'lost';

/** Row of the lease: which instance may send orders to engines. The store increments the row's revision with every write. */
export type LeaseRecord = {
	readonly holder: InstanceId;
	readonly boot: string;
	readonly epoch: number;
	/** Whether the holder released the lease itself, so that nobody has to wait for it to expire. */
	readonly isReleased: boolean;
};
