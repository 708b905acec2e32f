/**
Table operations under way. Each is remembered with its step, a value that says
what the answer is for; `src/core/reducer.ts` holds the handler of every step.
*/
import {type Context} from './context.js';
import {type Settlement} from './event.js';
import {type TableOperation} from './table.js';
import {type RequestId, type TargetId} from './types.js';

export type TableSteps =
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

export type TableStepOf<Kind extends TableSteps['kind']> = Extract<TableSteps, {kind: Kind}>;

/** Starts a table operation whose answer is handled by the step's handler. */
export function startTableOperation(context: Context, operation: TableOperation, step: TableSteps): void {
	const {state} = context;
	state.tableOperations++;
	state.tableSteps.set(state.tableOperations, step);
	context.effects.push({kind: 'table', operationId: state.tableOperations, operation});
}
