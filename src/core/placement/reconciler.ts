/**
The placement loop of a zone's lease holder: reconciles its ledgers with the engines'
reports, and executes the plan.
*/
import {type Context} from '../context.js';
import {type Target} from '../request/target.js';
import {type TargetId} from '../types.js';
import {
	checksFencing, openLedger, openLedgers, retryAmbiguousWrite, writeRow,
} from './ledger-store.js';
import {
	copyName, findEntry, isSettled, pickCopy, withEngineRestarted, withOrdersAnswered, withDiscoveredCopy, withoutEntry,
} from './ledger.js';
import {
	epochClosedAtMs, heldEpoch, holdsLease, isLastKnownHolder, zoneGroup,
} from './lease.js';
import {
	parseCopyName, sendDueOrders, startLoads, startUnload, type WantedLoad,
} from './orders.js';
import {planMoves} from './plan.js';
import {gatherPlanInput, updateAbsences} from './plan-input.js';
import {type Copy, type Ledger} from './state.js';
import {type LedgerRow} from './types.js';
import {loadsInProgress, publishIdleState} from './load-limiter.js';

const PLAN_INTERVAL_MS = 1000;

/** Time after an order during which a report that contradicts the ledger is ignored. */
const REPORT_GRACE_MS = 10_000;

export function runPlacement(context: Context): void {
	const {state, nowMs} = context;
	state.timers.set(nowMs + PLAN_INTERVAL_MS, {kind: 'periodic', duty: 'placement'});
	if (!isLastKnownHolder(context) || state.lifecycle !== 'serving') {
		return;
	}

	const isLeaseValid = holdsLease(context);
	if (isLeaseValid) {
		updateAbsences(context);
		openMissingLedgers(context);
	}

	for (const ledger of state.placement.ledgers.values()) {
		reconcileLedger(context, ledger);
	}

	if (isLeaseValid) {
		executePlan(context);
	}

	publishIdleState(context, !hasPendingLoads(context));
}

function hasPendingLoads(context: Context): boolean {
	return loadsInProgress(context) > 0
		|| [...context.state.placement.ledgers.values()].some(({copies}) => [...copies.values()].some(({status}) => status === 'ordering'));
}

/** Opens the ledgers of targets that were configured after the lease was taken, or whose ledgers could not be read. */
function openMissingLedgers(context: Context): void {
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

function reconcileLedger(context: Context, ledger: Ledger): void {
	retryAmbiguousWrite(context, ledger);
	const target = context.state.targets.get(ledger.targetId);
	if (target === undefined || !ledger.owned || ledger.writing !== undefined || target.boot === '') {
		return;
	}

	if (ledger.row.boot !== target.boot) {
		handleEngineRestart(context, ledger, target);
		return;
	}

	reconcileReport(context, ledger, target);
	if (!ledger.writing) {
		writeConfirmedChanges(context, ledger);
	}

	sendDueOrders(context, ledger);
}

/**
Handles an engine that restarted since the row was written. The copies that it lost
are ordered again into the memory that their entries reserve: at once if the engine
checks fencing tokens, otherwise once the row marks the load order as unanswered.
*/
function handleEngineRestart(context: Context, ledger: Ledger, target: Target): void {
	if (ledger.seenBoot !== target.boot) {
		ledger.seenBoot = target.boot;
		resetCopies(context, ledger);
	}

	const group = zoneGroup(context.state.self.zone);
	writeRow(context, ledger, withEngineRestarted(ledger.row, target.boot, epoch => {
		const closedAtMs = epochClosedAtMs(context, group, epoch);
		return closedAtMs !== undefined && closedAtMs + REPORT_GRACE_MS <= target.earlierBootSeenMs;
	}));
	if (!checksFencing(context, target.id)) {
		return;
	}

	for (const [name, copy] of ledger.copies) {
		if (copy.status === 'confirmed' && !target.resident.has(name) && isConfigured(context, name)) {
			copy.status = 'ordering';
			copy.reason = 'lost by a restart';
		}
	}

	sendDueOrders(context, ledger);
}

function resetCopies(context: Context, ledger: Ledger): void {
	for (const copy of ledger.copies.values()) {
		copy.unanswered = false;
		copy.status = 'confirmed';
		copy.orderId = undefined;
		copy.retryAtMs = 0;
		// Backdated so that a report without the copy is trusted at once.
		copy.statusSinceMs = context.nowMs - REPORT_GRACE_MS;
	}
}

function isConfigured(context: Context, name: string): boolean {
	const {model, version} = parseCopyName(name);
	return context.state.configuration.configuration.models[model]?.version === version;
}

function reconcileReport(context: Context, ledger: Ledger, target: Target): void {
	const missing: WantedLoad[] = [];
	for (const [name, copy] of ledger.copies) {
		const isPastGrace = context.nowMs - copy.statusSinceMs >= REPORT_GRACE_MS;
		const entry = findEntry(ledger.row, parseCopyName(name));
		if (copy.status !== 'confirmed' || !isPastGrace || target.resident.has(name) || !entry) {
			continue;
		}

		if (isConfigured(context, name)) {
			missing.push({copy: pickCopy(entry), reason: 'missing from the report'});
		} else {
			// The memory is free only once the engine confirms an unload, whatever the report says.
			startUnload(context, ledger, name, 'not configured');
		}
	}

	if (missing.length > 0) {
		startLoads(context, ledger, missing);
	} else {
		adoptUnknownCopies(context, ledger, target);
	}
}

/** Adds ledger entries for copies that the engine keeps reporting although they have none. */
function adoptUnknownCopies(context: Context, ledger: Ledger, target: Target): void {
	const {models} = context.state.configuration.configuration;
	let {row} = ledger;
	for (const name of target.resident) {
		const copy = parseCopyName(name);
		if (ledger.copies.has(name)) {
			ledger.strangers.delete(name);
			continue;
		}

		const sinceMs = ledger.strangers.get(name) ?? context.nowMs;
		ledger.strangers.set(name, sinceMs);
		if (context.nowMs - sinceMs >= REPORT_GRACE_MS || ledger.row.entries.length === 0) {
			row = withDiscoveredCopy(row, {...copy, memoryMb: models[copy.model]?.memoryMb ?? 0});
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

/** Writes the changes that were confirmed while another write was in progress. */
function writeConfirmedChanges(context: Context, ledger: Ledger): void {
	let {row} = ledger;
	for (const [name, copy] of ledger.copies) {
		const entry = findEntry(row, parseCopyName(name));
		if (!entry) {
			continue;
		}

		if (copy.status === 'unloaded' && isSettled(entry)) {
			row = withoutEntry(row, entry);
		} else if (copy.status === 'confirmed' && !copy.unanswered && entry.unansweredEpoch !== 0) {
			row = withOrdersAnswered(row, entry);
		}
	}

	if (row !== ledger.row) {
		writeRow(context, ledger, row);
	}
}

function executePlan(context: Context): void {
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
