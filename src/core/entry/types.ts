/**
Requests as an entry instance keeps them, and the answers of its peers and of the
platform's store, as plain data.
*/
import {
	type InstanceId, type RequestId, type TargetId, type ZoneName,
} from '../types.js';
import {type Route} from './configuration.js';

/** This process and what its settings bound. */
export type EntryInstance = {
	readonly id: InstanceId;
	/** Changes with every start of the process. */
	readonly boot: string;
	readonly zone: ZoneName;
	/** Host and port of the peer listener. */
	readonly address: string;
	/** Host and port that takes beacons. */
	readonly beaconAddress: string;
};

/** Bounds that the deployment states. */
export type EntryBounds = {
	/** Time that a stopping instance has before it is killed. */
	readonly graceMs: number;
	/** Time in which two instances may not both give orders to one target. */
	readonly leaseMs: number;
	/** Repeats allowed in a window, as a share of the requests and a constant. */
	readonly repeatShare: number;
	readonly repeatWindowMs: number;
	readonly repeatSlack: number;
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
	/** Time that the caller will wait. */
	readonly deadlineMs: number | undefined;
};

/**
How a try ended.

- `not-sent`: no byte of the request left this instance.
- `not-run`: the target says that it did not run the request.
- `answered`: the whole answer arrived and the target stands by it.
- `failed`: the whole answer arrived and is a server error of the target.
- `broken`: the connection or the answer broke off; the request may have run.
- `canceled`: this instance gave the try up.
*/
export type TryOutcome = 'not-sent' | 'not-run' | 'answered' | 'failed' | 'broken' | 'canceled';

export type EntryTry = {
	readonly number: number;
	readonly targetId: TargetId;
	readonly startedAtMs: number;
	/** When the answer began, or its last event came. */
	progressAtMs: number;
	hasBegun: boolean;
	outcome: TryOutcome | undefined;
	/** Of a stream: when its first event came, and the longest pause between two. */
	firstEventAtMs?: number;
	longestPauseMs?: number;
};

/** `queued`: waits for room. `fetching`: waits for its adapter. `running`: a try is out. */
export type EntryPhase = 'queued' | 'fetching' | 'running';

export type EntryRequest = {
	readonly id: RequestId;
	readonly arrival: EntryArrival;
	readonly route: Route;
	readonly service: string;
	/** Queue that it waits in: requests with one key can be served by the same targets. */
	readonly queueKey: string;
	readonly arrivedAtMs: number;
	/** The earlier of the caller's deadline and the route's timeout. */
	readonly deadlineAtMs: number;
	/** When its caller leaves if nothing has come. */
	readonly patienceEndsAtMs: number;
	readonly tries: EntryTry[];
	phase: EntryPhase;
	/** Events of a stream that reached the caller. */
	delivered: number;
	/** Whether a head was passed on, after which only the same answer may go on. */
	hasHead: boolean;
	/** Whether any try may have run the work. */
	mayHaveRun: boolean;
	/** Sends that targets declined without running them, and adapters that could not be brought. */
	declined: number;
};

/** Order to a target's engine, conditional on the number of orders it has accepted. */
export type EngineOrder = {
	readonly kind: 'load' | 'unload';
	readonly model: string;
	readonly adapter: string | undefined;
	readonly expectedSequence: number;
	readonly holder: InstanceId;
	readonly epoch: number;
};

/**
- `accepted`: it is being carried out, and counts in the sequence.
- `holds`: nothing was to be done.
- `conflict`: another order is in progress, or the sequence differs.
- `declined`: the target does not take it.
- `not-sent`: it never left this instance.
- `lost`: no answer; it may be carried out later if its condition still holds.
*/
export type EngineOrderOutcome = 'accepted' | 'holds' | 'conflict' | 'declined' | 'not-sent' | 'lost';

/** The lease's row: who may give orders, under a revision that the store counts up. */
export type LeaseRecord = {
	readonly holder: InstanceId;
	readonly boot: string;
	readonly epoch: number;
	/** Whether the holder gave it up in an orderly way. */
	readonly isReleased: boolean;
};
