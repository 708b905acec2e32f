/**
The placement duty of a zone's lease holder: keeps its ledgers true to what the
engines report, and carries out the plan.
*/
import {type Context} from '../context.js';
import {type Target} from '../request/target.js';
import {type TargetId} from '../types.js';
import {
	checksFencing, openLedger, openLedgers, retryRow, writeRow,
} from './ledger-store.js';
import {
	copyName, findEntry, isSettled, pickCopy, restarted, withAnswered, withFound, withoutEntry,
} from './ledger.js';
import {
	epochClosedAtMs, heldEpoch, holdsLease, keepsLease, zoneGroup,
} from './lease.js';
import {
	parseName, sendPending, startLoads, startUnload, type WantedLoad,
} from './orders.js';
import {planMoves} from './plan.js';
import {gatherPlanInput, noteAbsences} from './plan-input.js';
import {type Copy, type Ledger} from './state.js';
import {type LedgerRow} from './types.js';
import {loadsUnderWay, sayIdle} from './load-limiter.js';

const PLAN_INTERVAL_MS = 1000;

/** Time after an order before a report that contradicts the ledger is believed. */
const REPORT_SETTLE_MS = 10_000;

export function runPlacement(context: Context): void {
	const {state, nowMs} = context;
	state.timers.set(nowMs + PLAN_INTERVAL_MS, {kind: 'periodic', duty: 'placement'});
	if (!keepsLease(context) || state.lifecycle !== 'serving') {
		return;
	}

	const isValid = holdsLease(context);
	if (isValid) {
		noteAbsences(context);
		ensureLedgers(context);
	}

	for (const ledger of state.placement.ledgers.values()) {
		maintain(context, ledger);
	}

	if (isValid) {
		carryOut(context);
	}

	sayIdle(context, !hasLoads(context));
}

function hasLoads(context: Context): boolean {
	return loadsUnderWay(context) > 0
		|| [...context.state.placement.ledgers.values()].some(({copies}) => [...copies.values()].some(({status}) => status === 'ordering'));
}

/** Opens ledgers of targets that were configured, or could not be read, since the lease was taken. */
function ensureLedgers(context: Context): void {
	const {state} = context;
	const {ledgers} = state.placement;
	const wanted = [...state.targets.values()].filter(target => target.zone === state.self.zone && target.memoryMb > 0);
	if (wanted.length > 0 && ledgers.size === 0) {
		openLedgers(context, zoneGroup(state.self.zone), heldEpoch(context));
		return;
	}

	for (const target of wanted) {
		if (!ledgers.has(target.id)) {
			openLedger(context, target.id, undefined, heldEpoch(context));
		}
	}
}

function maintain(context: Context, ledger: Ledger): void {
	retryRow(context, ledger);
	const target = context.state.targets.get(ledger.targetId);
	if (target === undefined || !ledger.owned || ledger.writing !== undefined || target.boot === '') {
		return;
	}

	if (ledger.row.boot !== target.boot) {
		noteRestart(context, ledger, target);
		return;
	}

	compareReport(context, ledger, target);
	if (!ledger.writing) {
		tidy(context, ledger);
	}

	sendPending(context, ledger);
}

/**
The engine is new to this ledger. What it lost is ordered again, into the room that
is journaled for it: at once where the engine checks fences, otherwise when the row
is marked for it.
*/
function noteRestart(context: Context, ledger: Ledger, target: Target): void {
	if (ledger.seenBoot !== target.boot) {
		ledger.seenBoot = target.boot;
		resetCopies(context, ledger);
	}

	const group = zoneGroup(context.state.self.zone);
	writeRow(context, ledger, restarted(ledger.row, target.boot, epoch => {
		const closedAtMs = epochClosedAtMs(context, group, epoch);
		return closedAtMs !== undefined && closedAtMs + REPORT_SETTLE_MS <= target.earlierBootSeenMs;
	}));
	if (!checksFencing(context, target.id)) {
		return;
	}

	for (const [name, copy] of ledger.copies) {
		if (copy.status === 'confirmed' && !target.resident.has(name) && isWanted(context, name)) {
			copy.status = 'ordering';
			copy.reason = 'lost by a restart';
		}
	}

	sendPending(context, ledger);
}

function resetCopies(context: Context, ledger: Ledger): void {
	for (const copy of ledger.copies.values()) {
		copy.unanswered = false;
		copy.status = 'confirmed';
		copy.orderId = undefined;
		copy.retryAtMs = 0;
		// Old enough that a report without the copy is believed at once.
		copy.statusSinceMs = context.nowMs - REPORT_SETTLE_MS;
	}
}

function isWanted(context: Context, name: string): boolean {
	const {model, version} = parseName(name);
	return context.state.configuration.configuration.models[model]?.version === version;
}

function compareReport(context: Context, ledger: Ledger, target: Target): void {
	const missing: WantedLoad[] = [];
	for (const [name, copy] of ledger.copies) {
		const isOverdue = context.nowMs - copy.statusSinceMs >= REPORT_SETTLE_MS;
		const entry = findEntry(ledger.row, parseName(name));
		if (copy.status !== 'confirmed' || !isOverdue || target.resident.has(name) || !entry) {
			continue;
		}

		if (isWanted(context, name)) {
			missing.push({copy: pickCopy(entry), reason: 'missing from the report'});
		} else {
			// The room is free only once the engine confirms an unload, whatever the report says.
			startUnload(context, ledger, name, 'not configured');
		}
	}

	if (missing.length > 0) {
		startLoads(context, ledger, missing);
	} else {
		noteStrangers(context, ledger, target);
	}
}

/** Takes copies into the ledger that the engine goes on reporting though nobody journaled them. */
function noteStrangers(context: Context, ledger: Ledger, target: Target): void {
	const {models} = context.state.configuration.configuration;
	let {row} = ledger;
	for (const name of target.resident) {
		const copy = parseName(name);
		if (ledger.copies.has(name)) {
			ledger.strangers.delete(name);
			continue;
		}

		const sinceMs = ledger.strangers.get(name) ?? context.nowMs;
		ledger.strangers.set(name, sinceMs);
		if (context.nowMs - sinceMs >= REPORT_SETTLE_MS || ledger.row.entries.length === 0) {
			row = withFound(row, {...copy, memoryMb: models[copy.model]?.memoryMb ?? 0});
			ledger.copies.set(name, {
				status: 'confirmed',
				orderId: undefined,
				unanswered: false,
				retryAtMs: 0,
				statusSinceMs: context.nowMs,
				reason: 'found on the engine',
			});
		}
	}

	if (row !== ledger.row) {
		writeRow(context, ledger, row);
	}
}

/** Journals what was confirmed while another write was under way. */
function tidy(context: Context, ledger: Ledger): void {
	let {row} = ledger;
	for (const [name, copy] of ledger.copies) {
		const entry = findEntry(row, parseName(name));
		if (!entry) {
			continue;
		}

		if (copy.status === 'unloaded' && isSettled(entry)) {
			row = withoutEntry(row, entry);
		} else if (copy.status === 'confirmed' && !copy.unanswered && entry.unansweredEpoch !== 0) {
			row = withAnswered(row, entry);
		}
	}

	if (row !== ledger.row) {
		writeRow(context, ledger, row);
	}
}

function carryOut(context: Context): void {
	const {ledgers} = context.state.placement;
	if ([...ledgers.values()].some(ledger => !ledger.owned)) {
		return;
	}

	const loads = new Map<TargetId, WantedLoad[]>();
	for (const action of planMoves(gatherPlanInput(context))) {
		const ledger = ledgers.get(action.targetId);
		if (action.kind === 'load') {
			loads.set(action.targetId, [...loads.get(action.targetId) ?? [], {copy: pickCopy(action.copy), reason: action.reason}]);
		} else if (ledger) {
			startUnload(context, ledger, copyName(action.copy), action.reason);
		}
	}

	for (const [targetId, wanted] of loads) {
		const ledger = ledgers.get(targetId);
		if (ledger) {
			startLoads(context, ledger, wanted);
		}
	}
}
