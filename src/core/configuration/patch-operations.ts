/**
Patches submitted by operators. Of several patches against the same base version
exactly one creates the next version, because its row is inserted only if absent. A
write whose answer was lost is resolved by reading the patch id in that row.
*/
import {jitter, logEvent, type Context} from '../context.js';
import {type PatchOutcome} from '../effect.js';
import {type EventOf} from '../event.js';
import {startTableOperation, type TableStepOf} from '../table-steps.js';
import {type Put, type Row, type TableAnswer} from '../table.js';
import {adoptConfiguration} from './adoption.js';
import {type ValidationError} from './schema.js';
import {applyPatch, type Patch} from './patch.js';
import {
	documentKey, HEAD_KEY, patchKey, latestSnapshotVersion, type DocumentRow, type HeadRow, type PatchRow,
} from './rows.js';
import {type Configuration, type VersionedConfiguration} from './types.js';

const OPERATION_TIMEOUT_MS = 10_000;
const RETRY_DELAY_MS = 200;

export type PatchOperation = {
	readonly id: string;
	readonly base: number;
	readonly patch: Patch;
	readonly operator: string;
	readonly atMs: number;
	readonly giveUpAtMs: number;
	/** The resulting version, set once the patch has been applied to its base. */
	next: VersionedConfiguration | undefined;
	/** Whether the answer to a write was lost, so that it may have taken effect. */
	ambiguous: boolean;
	/** Whether a table operation is pending. */
	busy: boolean;
};

export function handlePatch(context: Context, event: EventOf<'patch-submitted'>): void {
	const operation: PatchOperation = {
		id: event.operationId,
		base: event.base,
		patch: event.patch,
		operator: event.operator,
		atMs: event.wallMs,
		giveUpAtMs: context.nowMs + OPERATION_TIMEOUT_MS,
		next: undefined,
		ambiguous: false,
		busy: false,
	};
	context.state.configuration.patches.set(operation.id, operation);
	advance(context, operation);
}

/** Advances an operation by one step. An operation whose base is newer than the current version waits for that version. */
function advance(context: Context, operation: PatchOperation): void {
	if (operation.busy) {
		return;
	}

	if (context.nowMs >= operation.giveUpAtMs) {
		finish(context, operation, {kind: operation.ambiguous ? 'unresolved' : 'unavailable'});
		return;
	}

	if (operation.ambiguous) {
		readPatchRow(context, operation);
		return;
	}

	const current = context.state.configuration;
	if (operation.base > current.version) {
		scheduleRetry(context, operation);
		return;
	}

	if (operation.base < current.version) {
		finish(context, operation, {kind: 'conflict', version: current.version});
		return;
	}

	applyPatch(current.configuration, operation.patch).caseOf({
		Left(errors: ValidationError[]) {
			finish(context, operation, {kind: 'rejected', version: current.version, mistakes: errors});
		},
		Right(configuration: Configuration) {
			operation.next = {version: operation.base + 1, configuration};
			writeVersion(context, operation, operation.next);
		},
	});
}

function writeVersion(context: Context, operation: PatchOperation, next: VersionedConfiguration): void {
	operation.busy = true;
	const {version} = next;
	const head: HeadRow = {version, snapshot: latestSnapshotVersion(version)};
	const row: PatchRow = {
		version,
		patchId: operation.id,
		operator: operation.operator,
		atMs: operation.atMs,
		patch: operation.patch,
	};
	const puts: Put[] = [{key: patchKey(version), value: row}, {key: HEAD_KEY, value: head}];
	if (head.snapshot === version) {
		const document: DocumentRow = next;
		puts.push({key: documentKey(version), value: document});
	}

	startTableOperation(context, {
		kind: 'write',
		conditions: [{key: patchKey(version), revision: 0}],
		puts,
	}, {kind: 'patch-write', operationId: operation.id});
}

function readPatchRow(context: Context, operation: PatchOperation): void {
	operation.busy = true;
	startTableOperation(context, {kind: 'read', keys: [patchKey(operation.base + 1)]}, {kind: 'patch-read', operationId: operation.id});
}

export function handlePatchWrite(context: Context, step: TableStepOf<'patch-write'>, event: EventOf<'table-answered'>): void {
	handlePatchAnswer(context, step.operationId, event.answer);
}

export function handlePatchRead(context: Context, step: TableStepOf<'patch-read'>, event: EventOf<'table-answered'>): void {
	handlePatchAnswer(context, step.operationId, event.answer);
}

function handlePatchAnswer(context: Context, operationId: string, answer: TableAnswer): void {
	const operation = context.state.configuration.patches.get(operationId);
	if (!operation) {
		return;
	}

	operation.busy = false;
	switch (answer.kind) {
		case 'written': {
			accept(context, operation);
			break;
		}

		case 'conflict':
		case 'rows': {
			resolveFromRow(context, operation, answer.rows[0]);
			break;
		}

		case 'lost': {
			operation.ambiguous = true;
			scheduleRetry(context, operation);
			break;
		}

		case 'unavailable': {
			scheduleRetry(context, operation);
			break;
		}
	}
}

/** Resolves an operation from the current row of the version after its base. */
function resolveFromRow(context: Context, operation: PatchOperation, row: Row | undefined): void {
	const value = row?.value as PatchRow | undefined;
	if (!row || row.revision === 0 || !value) {
		// The lost write has not taken effect. Writing again is safe: the row is inserted only if absent, so the patch cannot be applied twice.
		if (operation.next) {
			writeVersion(context, operation, operation.next);
		}
	} else if (value.patchId === operation.id) {
		accept(context, operation);
	} else {
		finish(context, operation, {kind: 'conflict', version: Math.max(value.version, context.state.configuration.version)});
	}
}

function accept(context: Context, operation: PatchOperation): void {
	const {next} = operation;
	if (!next) {
		return;
	}

	logEvent(context, 'patch-accepted', {version: next.version, operator: operation.operator, patchId: operation.id});
	finish(context, operation, {kind: 'accepted', version: next.version});
	adoptConfiguration(context, next);
}

function finish(context: Context, operation: PatchOperation, outcome: PatchOutcome): void {
	context.state.configuration.patches.delete(operation.id);
	if (outcome.kind === 'rejected' || outcome.kind === 'conflict') {
		logEvent(context, 'patch-rejected', {reason: outcome.kind, version: outcome.version, operator: operation.operator});
	}

	context.effects.push({kind: 'answer-patch', operationId: operation.id, outcome});
}

function scheduleRetry(context: Context, operation: PatchOperation): void {
	context.state.timers.set(context.nowMs + jitter(context, RETRY_DELAY_MS), {kind: 'patch-retry', operationId: operation.id});
}

export function handlePatchRetry(context: Context, operationId: string): void {
	const operation = context.state.configuration.patches.get(operationId);
	if (operation) {
		advance(context, operation);
	}
}

/** Advances all operations after a new version took effect: some waited for it, others now conflict with it. */
export function retryPatches(context: Context): void {
	for (const operation of context.state.configuration.patches.values()) {
		advance(context, operation);
	}
}
