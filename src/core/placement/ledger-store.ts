/**
Reads and writes the ledgers' rows. A row is written only on condition that it is
as this owner last saw it, so an owner that was taken over cannot change it.
*/
import {log, uniqueToken, type Context} from '../context.js';
import {type EventOf} from '../event.js';
import {startTableOperation, type TableStepOf} from '../table-steps.js';
import {type Row} from '../table.js';
import {type TargetId, type ZoneName} from '../types.js';
import {gatewayCapabilities} from './gateways.js';
import {copyName, takenOver} from './ledger.js';
import {sendPending} from './orders.js';
import {type Ledger} from './state.js';
import {type LedgerRow} from './types.js';

export function checksFencing({state}: Context, targetId: TargetId): boolean {
	const target = state.targets.get(targetId);
	return target !== undefined && gatewayCapabilities[target.gateway].checksFencing;
}

function ledgerPrefix(zone: ZoneName): string {
	return `ledger/${zone}/`;
}

function ledgerKey({state}: Context, targetId: TargetId): string {
	return `${ledgerPrefix(state.self.zone)}${targetId}`;
}

/** Reads all ledgers of the zone for a new owner. */
export function openLedgers(context: Context, group: string, epoch: number): void {
	context.state.placement.ledgers.clear();
	startTableOperation(context, {kind: 'scan', prefix: ledgerPrefix(context.state.self.zone)}, {kind: 'ledger-scan', group, epoch});
}

export function abandonLedgers(context: Context): void {
	context.state.placement.ledgers.clear();
}

export function handleLedgerScan(context: Context, step: TableStepOf<'ledger-scan'>, event: EventOf<'table-answered'>): void {
	const lease = context.state.placement.leases.get(step.group);
	if (!lease?.held || lease.row?.epoch !== step.epoch) {
		return;
	}

	if (event.answer.kind !== 'rows') {
		// The next renewal finds the ledgers missing and asks again.
		return;
	}

	const rows = new Map(event.answer.rows.map(row => [row.key, row]));
	for (const target of context.state.targets.values()) {
		if (target.zone === context.state.self.zone && target.memoryMb > 0) {
			openLedger(context, target.id, rows.get(ledgerKey(context, target.id)), step.epoch);
		}
	}
}

/** Claims one target's ledger for this owner's epoch. */
export function openLedger(context: Context, targetId: TargetId, row: Row | undefined, epoch: number): void {
	const held = row?.value as LedgerRow | undefined;
	const ledger: Ledger = {
		targetId,
		openedAtMs: context.nowMs,
		row: held ?? {
			targetId,
			epoch,
			boot: '',
			entries: [],
			token: '',
		},
		revision: row?.revision ?? 0,
		writing: undefined,
		ambiguous: false,
		owned: false,
		seenBoot: held?.boot ?? '',
		copies: new Map(),
		strangers: new Map(),
		refusedUntilMs: new Map(),
	};
	for (const entry of ledger.row.entries) {
		ledger.copies.set(copyName(entry), {
			status: 'confirmed',
			orderId: undefined,
			unanswered: false,
			retryAtMs: 0,
			statusSinceMs: context.nowMs,
			reason: 'taken over',
		});
	}

	context.state.placement.ledgers.set(targetId, ledger);
	writeRow(context, ledger, takenOver(ledger.row, epoch, checksFencing(context, targetId)));
}

/** Starts writing a row. Only one write of a ledger is under way at a time. */
export function writeRow(context: Context, ledger: Ledger, row: LedgerRow): void {
	ledger.writing = {...row, token: uniqueToken(context)};
	sendRow(context, ledger, ledger.writing);
}

function sendRow(context: Context, ledger: Ledger, row: LedgerRow): void {
	const key = ledgerKey(context, ledger.targetId);
	ledger.ambiguous = false;
	startTableOperation(context, {
		kind: 'write',
		conditions: [{key, revision: ledger.revision}],
		puts: [{key, value: row}],
	}, {kind: 'ledger-write', targetId: ledger.targetId, epoch: row.epoch});
}

/** Writes again what may or may not have been written. */
export function retryRow(context: Context, ledger: Ledger): void {
	if (ledger.writing && ledger.ambiguous) {
		sendRow(context, ledger, ledger.writing);
	}
}

export function handleLedgerWrite(context: Context, step: TableStepOf<'ledger-write'>, event: EventOf<'table-answered'>): void {
	const ledger = context.state.placement.ledgers.get(step.targetId);
	if (ledger?.writing?.epoch !== step.epoch) {
		return;
	}

	const {answer} = event;
	switch (answer.kind) {
		case 'written': {
			accept(context, ledger, answer.revisions[ledgerKey(context, step.targetId)] ?? 0);
			break;
		}

		case 'conflict': {
			resolveConflict(context, ledger, answer.rows[0]);
			break;
		}

		case 'lost': {
			ledger.ambiguous = true;
			break;
		}

		default: {
			// Nothing was written. An owned ledger forgets the step and plans anew.
			log(context, 'journal-unavailable', {targetId: ledger.targetId});
			if (ledger.owned) {
				ledger.writing = undefined;
			} else {
				ledger.ambiguous = true;
			}
		}
	}
}

function accept(context: Context, ledger: Ledger, revision: number): void {
	if (!ledger.writing) {
		return;
	}

	ledger.revision = revision;
	ledger.row = ledger.writing;
	ledger.writing = undefined;
	ledger.owned = true;
	dropCopiesWithoutEntry(ledger);
	sendPending(context, ledger);
}

function dropCopiesWithoutEntry(ledger: Ledger): void {
	const entries = new Set(ledger.row.entries.map(copyName));
	for (const name of ledger.copies.keys()) {
		if (!entries.has(name)) {
			ledger.copies.delete(name);
		}
	}
}

/** Either an own earlier write took effect, or another owner has the row. */
function resolveConflict(context: Context, ledger: Ledger, row: Row | undefined): void {
	const value = row?.value as LedgerRow | undefined;
	if (value?.token === ledger.writing?.token && row !== undefined) {
		accept(context, ledger, row.revision);
		return;
	}

	context.state.placement.ledgers.delete(ledger.targetId);
	log(context, 'lease-lost', {targetId: ledger.targetId, epoch: ledger.writing?.epoch});
	if (row && value && value.epoch < (ledger.writing?.epoch ?? 0)) {
		// An earlier owner wrote once more before this one claimed the row.
		openLedger(context, ledger.targetId, row, ledger.writing?.epoch ?? 0);
	}
}
