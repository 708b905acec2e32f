/**
Reads and writes ledger rows in the platform's table. Every write is conditional on
the revision that this owner last saw, so a superseded owner cannot change a row.
*/
import {logEvent, uniqueToken, type Context} from '../context.js';
import {type EventOf} from '../event.js';
import {startTableOperation, type TableStepOf} from '../table-steps.js';
import {type Row} from '../table.js';
import {type TargetId, type ZoneName} from '../types.js';
import {gatewayCapabilities} from './gateways.js';
import {copyName, withNewOwner} from './ledger.js';
import {sendDueOrders} from './orders.js';
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

/** Reads all ledger rows of the zone for a new owner. */
export function openLedgers(context: Context, group: string, epoch: number): void {
	context.state.placement.ledgers.clear();
	startTableOperation(context, {kind: 'scan', prefix: ledgerPrefix(context.state.self.zone)}, {kind: 'ledger-scan', group, epoch});
}

export function closeLedgers(context: Context): void {
	context.state.placement.ledgers.clear();
}

export function handleLedgerScan(context: Context, step: TableStepOf<'ledger-scan'>, event: EventOf<'table-answered'>): void {
	const lease = context.state.placement.leases.get(step.group);
	if (!lease?.held || lease.row?.epoch !== step.epoch) {
		return;
	}

	if (event.answer.kind !== 'rows') {
		// The next placement run finds the ledgers missing and scans again.
		return;
	}

	const rows = new Map(event.answer.rows.map(row => [row.key, row]));
	for (const target of context.state.targets.values()) {
		if (target.zone === context.state.self.zone && target.memoryMb > 0) {
			openLedger(context, target.id, rows.get(ledgerKey(context, target.id)), step.epoch);
		}
	}
}

/** Claims the ledger of one target for this owner's epoch. */
export function openLedger(context: Context, targetId: TargetId, row: Row | undefined, epoch: number): void {
	const storedRow = row?.value as LedgerRow | undefined;
	const ledger: Ledger = {
		targetId,
		openedAtMs: context.nowMs,
		row: storedRow ?? {
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
		seenBoot: storedRow?.boot ?? '',
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
	writeRow(context, ledger, withNewOwner(ledger.row, epoch, checksFencing(context, targetId)));
}

/** Starts writing a row. At most one write per ledger is in progress. */
export function writeRow(context: Context, ledger: Ledger, row: LedgerRow): void {
	ledger.writing = {...row, token: uniqueToken(context)};
	startRowWrite(context, ledger, ledger.writing);
}

function startRowWrite(context: Context, ledger: Ledger, row: LedgerRow): void {
	const key = ledgerKey(context, ledger.targetId);
	ledger.ambiguous = false;
	startTableOperation(context, {
		kind: 'write',
		conditions: [{key, revision: ledger.revision}],
		puts: [{key, value: row}],
	}, {kind: 'ledger-write', targetId: ledger.targetId, epoch: row.epoch});
}

/** Repeats a write whose outcome is unknown. */
export function retryAmbiguousWrite(context: Context, ledger: Ledger): void {
	if (ledger.writing && ledger.ambiguous) {
		startRowWrite(context, ledger, ledger.writing);
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
			applyWrittenRow(context, ledger, answer.revisions[ledgerKey(context, step.targetId)] ?? 0);
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
			// Nothing was written. An owned ledger drops the write and is planned again; a claim is retried.
			logEvent(context, 'journal-unavailable', {targetId: ledger.targetId});
			if (ledger.owned) {
				ledger.writing = undefined;
			} else {
				ledger.ambiguous = true;
			}
		}
	}
}

function applyWrittenRow(context: Context, ledger: Ledger, revision: number): void {
	if (!ledger.writing) {
		return;
	}

	ledger.revision = revision;
	ledger.row = ledger.writing;
	ledger.writing = undefined;
	ledger.owned = true;
	dropCopiesWithoutEntry(ledger);
	sendDueOrders(context, ledger);
}

function dropCopiesWithoutEntry(ledger: Ledger): void {
	const entries = new Set(ledger.row.entries.map(copyName));
	for (const name of ledger.copies.keys()) {
		if (!entries.has(name)) {
			ledger.copies.delete(name);
		}
	}
}

/** Either an earlier write of this owner took effect, or another owner has written the row. */
function resolveConflict(context: Context, ledger: Ledger, row: Row | undefined): void {
	const value = row?.value as LedgerRow | undefined;
	if (value?.token === ledger.writing?.token && row !== undefined) {
		applyWrittenRow(context, ledger, row.revision);
		return;
	}

	context.state.placement.ledgers.delete(ledger.targetId);
	logEvent(context, 'lease-lost', {targetId: ledger.targetId, epoch: ledger.writing?.epoch});
	if (row && value && value.epoch < (ledger.writing?.epoch ?? 0)) {
		// An earlier owner wrote the row once more before this one could claim it.
		openLedger(context, ledger.targetId, row, ledger.writing?.epoch ?? 0);
	}
}
