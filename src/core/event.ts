/**
Events that the reducer handles. An event carries the monotonic time at which it
occurred, since the reducer reads no clock itself.
*/
import {type VersionedConfiguration, type Priority} from './configuration/types.js';
import {type Patch} from './configuration/patch.js';
import {type Fact} from './peer/types.js';
import {type OrderOutcome} from './placement/types.js';
import {type Failure, type RecordedAnswer} from './request/types.js';
import {type Row, type TableAnswer} from './table.js';
import {
	type Instance, type InstanceId, type RequestId, type TargetId, type ZoneName,
} from './types.js';

export type Arrival = {
	readonly id: RequestId;
	readonly destination:
		| {readonly kind: 'model'; readonly name: string; readonly stream: boolean}
		| {readonly kind: 'service'; readonly service: string; readonly method: string; readonly path: string};
	/** SHA-256 of the bearer token in hexadecimal, if one was sent. */
	readonly tokenSha256?: string;
	readonly keyHeader?: string;
	/** The JSON body, present only on routes that take the idempotency key from it. */
	readonly keyBody?: unknown;
	/** Hash of destination and body; requests for the same work have the same hash. */
	readonly contentHash: string;
	/** Hash of the start of the prompt, for prefix-cache affinity. */
	readonly prefixHash?: string;
	readonly deadlineMs?: number;
	readonly priority?: Priority;
};

export type TargetReport = {
	/** Boot id, which changes whenever the target restarts. */
	readonly boot: string;
	readonly running: number;
	readonly waiting: number;
	/** Resident models, as `name@version`. */
	readonly models: readonly string[];
	readonly adapters: readonly string[];
	readonly leaving?: boolean;
};

/** Result of a new connection to a target; `refused` means that no process listens on the port. */
export type ProbeResult = 'answered' | 'refused' | 'silent';

type Timed = {readonly nowMs: number};

export type Event = Timed & (
	| {
		readonly kind: 'started';
		readonly self: Instance;
		readonly seed: number;
		/** Wall-clock time at `nowMs`, for values that outlive the process. */
		readonly wallMs: number;
	}
	| {readonly kind: 'tick'}
	| {readonly kind: 'request-arrived'; readonly arrival: Arrival}
	| {readonly kind: 'caller-left'; readonly requestId: RequestId}
	| {readonly kind: 'try-progressed'; readonly requestId: RequestId; readonly tryNumber: number; readonly delivered: number}
	| {readonly kind: 'try-completed'; readonly requestId: RequestId; readonly tryNumber: number; readonly status: number; readonly answer?: RecordedAnswer}
	| {readonly kind: 'try-failed'; readonly requestId: RequestId; readonly tryNumber: number; readonly failure: Failure; readonly delivered: number; readonly answer?: RecordedAnswer}
	| {readonly kind: 'probe-answered'; readonly targetId: TargetId; readonly result: ProbeResult; readonly boot?: string}
	| {readonly kind: 'target-reported'; readonly targetId: TargetId; readonly report: TargetReport}
	| {readonly kind: 'target-silent'; readonly targetId: TargetId}
	| {readonly kind: 'table-answered'; readonly operationId: number; readonly answer: TableAnswer}
	| {readonly kind: 'order-answered'; readonly orderId: string; readonly targetId: TargetId; readonly outcome: OrderOutcome}
	| {readonly kind: 'patch-submitted'; readonly operationId: string; readonly base: number; readonly patch: Patch; readonly operator: string; readonly wallMs: number}
	| {readonly kind: 'configuration-fetched'; readonly numbered: VersionedConfiguration}
	| {readonly kind: 'instances-listed'; readonly instances: readonly Instance[]}
	| {readonly kind: 'facts-received'; readonly from: InstanceId; readonly facts: readonly Fact[]}
	| {readonly kind: 'peer-answered'; readonly instanceId: InstanceId; readonly reachable: boolean}
	| {readonly kind: 'write-held'; readonly claimKey: string; readonly instanceId: InstanceId}
	| {readonly kind: 'hold-requested'; readonly settlement: Settlement}
	| {readonly kind: 'drain-requested'; readonly reason: 'signal' | 'operator'}
	| {readonly kind: 'platform-state'; readonly reachable: boolean}
);

/** The final state of a claim, written to the table by the claimant or by a peer that holds a replica of it. */
export type Settlement = {
	readonly claimKey: string;
	readonly token: string;
	readonly state: 'done' | 'released' | 'unknown';
	readonly bodyHash: string;
	readonly claimant: InstanceId;
	readonly answer?: RecordedAnswer;
	readonly expiresAtMs: number;
};

export type EventOf<Kind extends Event['kind']> = Extract<Event, {kind: Kind}>;

export type TableRows = readonly Row[];
export type Zones = readonly ZoneName[];
