/**
Effects that the reducer returns for the daemon to carry out, as plain data.
*/
import {type VersionedConfiguration} from './configuration/types.js';
import {type ValidationError} from './configuration/schema.js';
import {type Settlement} from './event.js';
import {type LogEventName} from './log-events.js';
import {type Fact} from './peer/types.js';
import {type Order} from './placement/types.js';
import {type ExecutionStatus, type ResultName} from './result-codes.js';
import {type RecordedAnswer} from './request/types.js';
import {type TableOperation} from './table.js';
import {type Instance, type RequestId, type TargetId} from './types.js';

/** How a try continues a response that an earlier try delivered in part. */
export type Continuation =
	| {readonly kind: 'whole'}
	| {readonly kind: 'resume'; readonly from: number}
	| {readonly kind: 'continue-text'};

export type Effect =
	| {readonly kind: 'send-try'; readonly requestId: RequestId; readonly tryNumber: number; readonly targetId: TargetId; readonly continuation: Continuation}
	| {readonly kind: 'cancel-try'; readonly requestId: RequestId; readonly tryNumber: number}
	| {readonly kind: 'deliver'; readonly requestId: RequestId; readonly tryNumber: number}
	| {readonly kind: 'replay'; readonly requestId: RequestId; readonly answer: RecordedAnswer}
	| {readonly kind: 'refuse'; readonly requestId: RequestId; readonly code: ResultName; readonly ran: ExecutionStatus; readonly retryAfterMs?: number; readonly detail?: string}
	| {readonly kind: 'probe'; readonly targetId: TargetId}
	| {readonly kind: 'order'; readonly targetId: TargetId; readonly order: Order; readonly validUntilMs: number}
	| {readonly kind: 'table'; readonly operationId: number; readonly operation: TableOperation}
	| {readonly kind: 'hold-write'; readonly settlement: Settlement; readonly peers: readonly Instance[]}
	| {readonly kind: 'exchange'; readonly peer: Instance; readonly facts: readonly Fact[]}
	| {readonly kind: 'fetch-configuration'; readonly peer: Instance; readonly afterVersion: number}
	| {readonly kind: 'adopt-configuration'; readonly numbered: VersionedConfiguration}
	| {readonly kind: 'answer-patch'; readonly operationId: string; readonly outcome: PatchOutcome}
	| {readonly kind: 'log'; readonly event: LogEventName; readonly fields: Readonly<Record<string, unknown>>}
	| {readonly kind: 'count'; readonly metric: string; readonly tags: Readonly<Record<string, string>>; readonly value?: number}
	| {readonly kind: 'set-readiness'; readonly ready: boolean}
	| {readonly kind: 'stop'};

export type PatchOutcome =
	| {readonly kind: 'accepted'; readonly version: number}
	| {readonly kind: 'conflict'; readonly version: number}
	| {readonly kind: 'rejected'; readonly version: number; readonly mistakes: readonly ValidationError[]}
	| {readonly kind: 'unavailable'}
	| {readonly kind: 'unresolved'};

export type EffectOf<Kind extends Effect['kind']> = Extract<Effect, {kind: Kind}>;

export {type InstanceId} from './types.js';
