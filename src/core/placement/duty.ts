/**
The placement duty of a zone's lease holder: keeps its ledgers true to what the
engines report, and carries out the plan.
*/
import fnv1a from '@sindresorhus/fnv1a';
import {type Context} from '../context.js';
import {publish} from '../peer/facts.js';
import {type Target} from '../request/target.js';
import {type ModelName, type ZoneName} from '../types.js';
import {
	checksFencing, openLedger, openLedgers, retryRow, writeRow,
} from './journal.js';
import {
	committedMb, copyName, findEntry, isSettled, restarted, withAnswered, withFound, withoutEntry, type ModelCopy,
} from './ledger.js';
import {
	epochClosedAtMs, heldEpoch, holdsLease, keepsLease, zoneGroup,
} from './lease.js';
import {
	isRemovable, parseName, sendPending, startLoad, startUnload,
} from './orders.js';
import {
	planMoves, type PlanAction, type PlanModel, type PlanTarget,
} from './plan.js';
import {type Copy, type Ledger} from './state.js';
import {type Demand, type LedgerRow} from './types.js';
import {loadsUnderWay, sayIdle} from './weight-store.js';

const PLAN_INTERVAL_MS = 1000;
const DEMAND_INTERVAL_MS = 2000;
const DEMAND_GAIN = 0.3;
const PEER_DEMAND_LIFETIME_MS = 15_000;

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
	for (const [name, copy] of ledger.copies) {
		const isOverdue = context.nowMs - copy.statusSinceMs >= REPORT_SETTLE_MS;
		if (copy.status === 'confirmed' && isOverdue && !target.resident.has(name)) {
			reload(context, ledger, name, copy);
			return;
		}
	}

	noteStrangers(context, ledger, target);
}

function reload(context: Context, ledger: Ledger, name: string, copy: Copy): void {
	const entry = findEntry(ledger.row, parseName(name));
	if (!entry) {
		return;
	}

	if (isWanted(context, name)) {
		startLoad(context, ledger, pickCopy(entry), 'missing from the report');
	} else {
		// The room is free only once the engine confirms an unload, whatever the report says.
		startUnload(context, ledger, name, 'not configured');
	}
}

function pickCopy({model, version, memoryMb}: ModelCopy): ModelCopy {
	return {model, version, memoryMb};
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

	const actions = planMoves({
		models: planModels(context),
		targets: planTargets(context),
		zones: engineZones(context).length,
		ownedMs: ownedMs(context),
	});
	for (const action of actions) {
		actionHandlers[action.kind](context, action);
	}
}

const actionHandlers: Readonly<Record<PlanAction['kind'], (context: Context, action: PlanAction) => void>> = {
	load(context, {targetId, copy, reason}) {
		const ledger = context.state.placement.ledgers.get(targetId);
		if (ledger) {
			startLoad(context, ledger, pickCopy(copy), reason);
		}
	},
	unload(context, {targetId, copy, reason}) {
		const ledger = context.state.placement.ledgers.get(targetId);
		if (ledger) {
			startUnload(context, ledger, copyName(copy), reason);
		}
	},
};

function ownedMs(context: Context): number {
	let oldest = context.nowMs;
	for (const ledger of context.state.placement.ledgers.values()) {
		oldest = Math.min(oldest, ledger.openedAtMs);
	}

	return context.nowMs - oldest;
}

function engineZones({state}: Context): ZoneName[] {
	const zones = new Set<ZoneName>();
	for (const target of state.targets.values()) {
		if (target.memoryMb > 0) {
			zones.add(target.zone);
		}
	}

	return [...zones];
}

function planTargets(context: Context): PlanTarget[] {
	const plans: PlanTarget[] = [];
	for (const ledger of context.state.placement.ledgers.values()) {
		const target = context.state.targets.get(ledger.targetId);
		const isReady = target && target.health !== 'down' && !target.leaving && target.boot !== '' && target.boot === ledger.row.boot;
		if (!isReady) {
			continue;
		}

		plans.push({
			id: target.id,
			service: target.service,
			memoryMb: target.memoryMb,
			committedMb: committedMb(ledger.writing ?? ledger.row),
			slots: target.slots,
			utilisation: target.utilisation,
			entries: (ledger.writing ?? ledger.row).entries.map(entry => ({
				...pickCopy(entry),
				resident: ledger.copies.get(copyName(entry))?.status === 'confirmed' && target.resident.has(copyName(entry)),
				removable: isRemovable(ledger, copyName(entry)) || target.gateway === 'engine-fenced',
			})),
			refused: new Set([...ledger.refusedUntilMs].filter(([, untilMs]) => untilMs > context.nowMs).map(([name]) => name)),
		});
	}

	return plans;
}

function planModels(context: Context): PlanModel[] {
	const {state, nowMs} = context;
	const zones = engineZones(context);
	const demand = totalDemand(context);
	return Object.entries(state.configuration.configuration.models).map(([name, model]) => {
		const holders = (state.residentTargets.get(name) ?? [])
			.map(id => state.targets.get(id))
			.filter(target => target?.resident.has(`${name}@${model.version}`))
			.filter(target => target !== undefined);
		const utilisation = holders.length === 0 ? 0 : holders.reduce((sum, target) => sum + target.utilisation, 0) / holders.length;
		const {rate, waiting} = demand.get(name) ?? {rate: 0, waiting: 0};
		const pressurePlans = waiting > 0 ? (state.placement.pressure.get(name) ?? 0) + 1 : 0;
		state.placement.pressure.set(name, pressurePlans);
		return {
			name,
			model,
			copies: holders.length,
			otherCopies: (state.residentTargets.get(name)?.length ?? 0) - holders.length,
			zones: new Set(holders.map(({zone}) => zone)).size,
			residentHere: holders.some(({zone}) => zone === state.self.zone),
			zoneRank: zoneRank(name, state.self.zone, zones),
			absentMs: nowMs - (state.placement.absentSinceMs.get(name) ?? nowMs),
			rate,
			waiting,
			utilisation,
			pressurePlans,
		};
	});
}

/** A zone's place in a model's ranking, the same on every instance, different for every model. */
export function zoneRank(model: ModelName, zone: ZoneName, zones: readonly ZoneName[]): number {
	const weigh = (candidate: ZoneName) => fnv1a(`${model}/${candidate}`, {size: 32});
	const own = weigh(zone);
	return zones.filter(candidate => weigh(candidate) < own).length;
}

function noteAbsences({state, nowMs}: Context): void {
	const {absentSinceMs} = state.placement;
	for (const [name, {version}] of Object.entries(state.configuration.configuration.models)) {
		const isResident = (state.residentTargets.get(name) ?? [])
			.some(id => state.targets.get(id)?.resident.has(`${name}@${version}`));
		if (isResident) {
			absentSinceMs.delete(name);
		} else if (!absentSinceMs.has(name)) {
			absentSinceMs.set(name, nowMs);
		}
	}
}

/** Rates this instance's demand and tells peers. */
export function runDemand(context: Context): void {
	const {state, nowMs} = context;
	state.timers.set(nowMs + DEMAND_INTERVAL_MS, {kind: 'periodic', duty: 'demand'});
	const demand: Demand[] = [];
	for (const [id, route] of state.requests.routes) {
		const perSecond = (route.arrivals * 1000) / DEMAND_INTERVAL_MS;
		route.arrivalRate += DEMAND_GAIN * (perSecond - route.arrivalRate);
		route.arrivals = 0;
		const {waiting} = route.queue;
		if (id.startsWith('model:') && (route.arrivalRate > 0.01 || waiting > 0)) {
			demand.push({model: id.slice('model:'.length), rate: Math.round(route.arrivalRate * 100) / 100, waiting});
		}
	}

	const known = state.placement.peerDemand.get(state.self.id)?.demand ?? [];
	state.placement.peerDemand.set(state.self.id, {demand, receivedAtMs: nowMs});
	if (demand.length > 0 || known.length > 0) {
		publish(context, `demand/${state.self.id}`, {kind: 'demand', demand});
	}
}

function totalDemand({state, nowMs}: Context): Map<ModelName, {rate: number; waiting: number}> {
	const totals = new Map<ModelName, {rate: number; waiting: number}>();
	for (const [instanceId, {demand, receivedAtMs}] of state.placement.peerDemand) {
		if (nowMs - receivedAtMs > PEER_DEMAND_LIFETIME_MS) {
			state.placement.peerDemand.delete(instanceId);
			continue;
		}

		for (const {model, rate, waiting} of demand) {
			const total = totals.get(model) ?? {rate: 0, waiting: 0};
			total.rate += rate;
			total.waiting += waiting;
			totals.set(model, total);
		}
	}

	return totals;
}
