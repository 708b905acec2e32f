/**
State of open requests, their tries and their claims.
*/
import {type KeySource, type Priority, type RepeatRule} from '../configuration/types.js';
import {type ExecutionStatus, type ResultName} from '../result-codes.js';
import {
	type InstanceId, type ModelName, type RequestId, type RouteId, type TargetId,
} from '../types.js';

/**
Why a try ended without a complete response.

- `not-written`: no byte of the request left this instance.
- `refused`: the target stated that it did not run the request.
- `target-error`: the target responded with a server error.
- `reset`: the connection broke after bytes were written.
- `truncated`: the response ended before its stated length or its terminator.
- `silent`: nothing arrived for longer than is usual for this target.
- `canceled`: this instance canceled the try.
*/
export type Failure = 'not-written' | 'refused' | 'target-error' | 'reset' | 'truncated' | 'silent' | 'canceled';

export type RecordedAnswer = {
	readonly status: number;
	readonly contentType: string;
	/** The body in Base64, absent if it is in the object store. */
	readonly body?: string;
	readonly objectKey?: string;
};

export type Claim = {
	readonly key: string;
	readonly token: string;
	/** Revision of the claim's row once this instance has written it, 0 before. */
	revision: number;
	/** Whether the answer to an insert was lost, so that the insert may have taken effect. */
	ambiguous: boolean;
	/** Whether an insert is in progress. */
	inserting: boolean;
	retries: number;
};

export type Try = {
	readonly number: number;
	readonly targetId: TargetId;
	readonly startedAtMs: number;
	firstByteAtMs: number | undefined;
	progressAtMs: number;
	ended: Failure | 'completed' | undefined;
	/** Whether the try is silent and waits for the result of a probe on a new connection. */
	probing: boolean;
};

/**
- `claiming`: the claim is being acquired.
- `joining`: another request holds the claim; this one waits for its answer.
- `queued`: waits for room at a target.
- `isolating`: waits to run in isolation as a crash suspect.
- `running`: a try is in progress.
- `verifying`: a try's connection broke; a probe checks whether the target crashed.
- `detached`: the caller has its final response or left; a current try continues so that its answer can be recorded.
*/
export type Phase = 'claiming' | 'joining' | 'queued' | 'isolating' | 'running' | 'verifying' | 'detached';

export type OpenRequest = {
	readonly id: RequestId;
	readonly caller: string;
	readonly route: RouteId;
	readonly model: ModelName | undefined;
	readonly adapter: string | undefined;
	readonly stream: boolean;
	readonly priority: Priority;
	readonly repeat: RepeatRule;
	readonly answerRetentionMs: number;
	readonly contentHash: string;
	readonly prefixHash: string | undefined;
	readonly arrivedAtMs: number;
	readonly deadlineAtMs: number;
	readonly claim: Claim | undefined;
	readonly tries: Try[];
	phase: Phase;
	/** How much of the response was sent to the caller: events of an event stream, otherwise bytes. */
	delivered: number;
	/** Whether any try may have run the work. */
	ran: ExecutionStatus;
	callerLeft: boolean;
	enqueuedAtMs: number;
	/** Round of the route's fair queue. Within a round, the earliest deadline comes first. */
	round: number;
	/** Sequence number of the newest timer; older timers are stale. */
	timerSequence: number;
	joinDelayMs: number;
};

/** Summary of a closed request, as shown by `explain`. */
export type ClosedRequest = {
	readonly id: RequestId;
	readonly route: RouteId;
	readonly caller: string;
	readonly priority: Priority;
	readonly arrivedAtMs: number;
	readonly closedAtMs: number;
	readonly outcome: ResultName | 'answered' | 'replayed' | 'caller-left';
	readonly ran: ExecutionStatus;
	readonly tries: readonly Try[];
};

export type ResolvedRoute = {
	readonly route: RouteId;
	readonly model: ModelName | undefined;
	readonly adapter: string | undefined;
	readonly repeat: RepeatRule;
	readonly key: KeySource | undefined;
	readonly answerRetentionMs: number;
	readonly priority: Priority | undefined;
};

export type ClaimState = 'open' | 'done' | 'released' | 'unknown';

/** Value of a claim's row in the table. */
export type ClaimRow = {
	readonly token: string;
	readonly claimant: InstanceId;
	readonly claimantBoot: string;
	readonly bodyHash: string;
	readonly state: ClaimState;
	readonly answer?: RecordedAnswer;
};
