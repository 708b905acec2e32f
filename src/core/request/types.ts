/**
State of open requests, their tries and their claims.
*/
import {type KeySource, type Priority, type RepeatRule} from '../configuration/types.js';
import {type ExecutionStatus, type ResultName} from '../result-codes.js';
import {
	type InstanceId, type ModelName, type RequestId, type RouteId, type TargetId,
} from '../types.js';

/**
Why a try ended without a whole answer.

- `not-written`: no byte of the request left this instance.
- `refused`: the target says that it did not run the request.
- `target-error`: the target answered with a server error.
- `reset`: the connection broke after bytes were written.
- `truncated`: the answer ended before its length or terminator.
- `silent`: nothing came for longer than this target has ever shown.
- `canceled`: this instance gave the try up.
*/
export type Failure = 'not-written' | 'refused' | 'target-error' | 'reset' | 'truncated' | 'silent' | 'canceled';

export type RecordedAnswer = {
	readonly status: number;
	readonly contentType: string;
	/** Base64 of the body, absent when the body stands in the object store. */
	readonly body?: string;
	readonly objectKey?: string;
};

export type Claim = {
	readonly key: string;
	readonly token: string;
	/** Revision of the claim's row once this instance has written it. */
	revision: number;
	/** Whether an insert was sent whose answer never came. */
	ambiguous: boolean;
	/** Whether an insert is under way. */
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
	/** Whether a probe on a new connection is out for this try's silence. */
	probing: boolean;
};

/**
- `claiming`: the claim is being written.
- `joining`: another request holds the claim; its answer is awaited.
- `queued`: waits for room at a target.
- `isolating`: waits for a target of its own, as a crash suspect.
- `running`: a try is out.
- `verifying`: a try's connection broke; a probe finds out whether the target crashed.
- `detached`: the caller has its final answer, the try goes on so that its answer can be recorded.
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
	/** Units of the answer that reached the caller. */
	delivered: number;
	/** Whether any try may have run the work. */
	ran: ExecutionStatus;
	callerLeft: boolean;
	enqueuedAtMs: number;
	/** Rank in the route's queue: fair round, then deadline. */
	round: number;
	/** Sequence number that invalidates older timers. */
	timerSequence: number;
	joinDelayMs: number;
};

/** What `explain` shows of a request after it closed. */
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
