/**
Pending table operations. Each is recorded with a step, which tells what its answer
is for; `src/core/reducer.ts` maps every kind of step to its handler.
*/
import {type Context} from './context.js';
import {type Settlement} from './event.js';
import {type TableOperation} from './table.js';
import {type RequestId, type TargetId} from './types.js';

export type TableStep =
	| {readonly kind: 'claim-insert'; readonly requestId: RequestId}
	| {readonly kind: 'claim-read'; readonly requestId: RequestId}
	| {readonly kind: 'claim-join'; readonly requestId: RequestId}
	| {readonly kind: 'settle-read'; readonly settlement: Settlement}
	| {readonly kind: 'settle-write'; readonly settlement: Settlement}
	| {readonly kind: 'configuration-head'}
	| {readonly kind: 'configuration-read'}
	| {readonly kind: 'patch-write'; readonly operationId: string}
	| {readonly kind: 'patch-read'; readonly operationId: string}
	| {readonly kind: 'lease-read'; readonly group: string}
	| {readonly kind: 'lease-write'; readonly group: string; readonly epoch: number; readonly token: string; readonly startedAtMs: number}
	| {readonly kind: 'ledger-scan'; readonly group: string; readonly epoch: number}
	| {readonly kind: 'ledger-write'; readonly targetId: TargetId; readonly epoch: number};

export type TableStepOf<Kind extends TableStep['kind']> = Extract<TableStep, {kind: Kind}>;

/** Starts a table operation and records the step whose handler gets the answer. */
export function startTableOperation(context: Context, operation: TableOperation, step: TableStep): void {
	const {state} = context;
	state.tableOperations++;
	state.tableSteps.set(state.tableOperations, step);
	context.effects.push({kind: 'table', operationId: state.tableOperations, operation});
}
