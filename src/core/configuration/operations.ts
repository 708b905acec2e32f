/**
Operators' patches. Exactly one of the patches made against a version becomes the
next one: the row of the new version is inserted only if it is absent. A write
whose answer was lost is resolved by the patch id that the row holds.
*/
import {jitter, log, type Context} from '../context.js';
import {type PatchOutcome} from '../effect.js';
import {type EventOf} from '../event.js';
import {startTableOperation, type TableStepOf} from '../table-steps.js';
import {type Put, type Row, type TableAnswer} from '../table.js';
import {adopt} from './adoption.js';
import {type Mistake} from './schema.js';
import {applyPatch, type Patch} from './patch.js';
import {
	documentKey, HEAD_KEY, patchKey, latestSnapshotVersion, type DocumentRow, type HeadRow, type PatchRow,
} from './rows.js';
import {type Configuration, type VersionedConfiguration} from './types.js';

const OPERATION_LIMIT_MS = 10_000;
const RETRY_DELAY_MS = 200;

export type PatchOperation = {
	readonly id: string;
	readonly base: number;
	readonly patch: Patch;
	readonly operator: string;
	readonly atMs: number;
	readonly giveUpAtMs: number;
	/** The version that the patch gives, once it was applied to its base. */
	next: VersionedConfiguration | undefined;
	/** Whether a write was sent whose answer never came. */
	ambiguous: boolean;
	busy: boolean;
};

export function handlePatch(context: Context, event: EventOf<'patch-submitted'>): void {
	const operation: PatchOperation = {
		id: event.operationId,
		base: event.base,
		patch: event.patch,
		operator: event.operator,
		atMs: event.wallMs,
		giveUpAtMs: context.nowMs + OPERATION_LIMIT_MS,
		next: undefined,
		ambiguous: false,
		busy: false,
	};
	context.state.configuration.patches.set(operation.id, operation);
	advance(context, operation);
}

/** Takes an operation its next step: against a version that is still to come, it waits. */
function advance(context: Context, operation: PatchOperation): void {
	if (operation.busy) {
		return;
	}

	if (context.nowMs >= operation.giveUpAtMs) {
		finish(context, operation, {kind: operation.ambiguous ? 'unresolved' : 'unavailable'});
		return;
	}

	if (operation.ambiguous) {
		readNext(context, operation);
		return;
	}

	const held = context.state.configuration;
	if (operation.base > held.version) {
		retryLater(context, operation);
		return;
	}

	if (operation.base < held.version) {
		finish(context, operation, {kind: 'conflict', version: held.version});
		return;
	}

	applyPatch(held.configuration, operation.patch).caseOf({
		Left(mistakes: Mistake[]) {
			finish(context, operation, {kind: 'rejected', version: held.version, mistakes});
		},
		Right(configuration: Configuration) {
			operation.next = {version: operation.base + 1, configuration};
			writeNext(context, operation, operation.next);
		},
	});
}

function writeNext(context: Context, operation: PatchOperation, next: VersionedConfiguration): void {
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

function readNext(context: Context, operation: PatchOperation): void {
	operation.busy = true;
	startTableOperation(context, {kind: 'read', keys: [patchKey(operation.base + 1)]}, {kind: 'patch-read', operationId: operation.id});
}

export function handlePatchWrite(context: Context, step: TableStepOf<'patch-write'>, event: EventOf<'table-answered'>): void {
	resolve(context, step.operationId, event.answer);
}

export function handlePatchRead(context: Context, step: TableStepOf<'patch-read'>, event: EventOf<'table-answered'>): void {
	resolve(context, step.operationId, event.answer);
}

function resolve(context: Context, operationId: string, answer: TableAnswer): void {
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
			judge(context, operation, answer.rows[0]);
			break;
		}

		case 'lost': {
			operation.ambiguous = true;
			retryLater(context, operation);
			break;
		}

		case 'unavailable': {
			retryLater(context, operation);
			break;
		}
	}
}

/** Decides by the row of the next version as it stands. */
function judge(context: Context, operation: PatchOperation, row: Row | undefined): void {
	const value = row?.value as PatchRow | undefined;
	if (!row || row.revision === 0 || !value) {
		// The lost write has not taken effect; writing again cannot make two versions of it.
		if (operation.next) {
			writeNext(context, operation, operation.next);
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

	log(context, 'patch-accepted', {version: next.version, operator: operation.operator, patchId: operation.id});
	finish(context, operation, {kind: 'accepted', version: next.version});
	adopt(context, next);
}

function finish(context: Context, operation: PatchOperation, outcome: PatchOutcome): void {
	context.state.configuration.patches.delete(operation.id);
	if (outcome.kind === 'rejected' || outcome.kind === 'conflict') {
		log(context, 'patch-rejected', {reason: outcome.kind, version: outcome.version, operator: operation.operator});
	}

	context.effects.push({kind: 'answer-patch', operationId: operation.id, outcome});
}

function retryLater(context: Context, operation: PatchOperation): void {
	context.state.timers.set(context.nowMs + jitter(context, RETRY_DELAY_MS), {kind: 'patch-retry', operationId: operation.id});
}

export function handlePatchRetry(context: Context, operationId: string): void {
	const operation = context.state.configuration.patches.get(operationId);
	if (operation) {
		advance(context, operation);
	}
}

/** A new version came into force: operations that waited for it or lost to it go on. */
export function retryPatches(context: Context): void {
	for (const operation of context.state.configuration.patches.values()) {
		advance(context, operation);
	}
}
