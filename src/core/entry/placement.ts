/**
The lease holder's duty over the copies on engines: it gathers what all instances ask
for, takes the next move of the plan and hands it to the target's order desk.
*/
import {ownDemand} from './demand.js';
import {holdsLease} from './lease.js';
import {pump, readReport} from './orders.js';
import {
	planMove, type PlannedDemand, type PlannedMove, type PlannedTarget,
} from './plan.js';
import {logEvent, type EntryContext} from './state.js';
import {type Engine} from './configuration.js';
import {estimatedLoad, isUsable, type Target} from './target.js';

const PLAN_INTERVAL_MS = 200;
/** Peers hear of a copy that is to go, and stop sending, before the unload is ordered. */
const LEAVE_NOTICE_MS = 350;
/** A copy that is going gets nothing until the registry shows it gone. */
const LEAVING_MS = 6000;
/** Loads of the store that may run at once without slowing each other. */
const STEPS_PER_PLAN = 3;

export function runPlacement(context: EntryContext): void {
	const {state, nowMs} = context;
	const {desk, configuration} = state;
	if (!holdsLease(context) || !configuration || nowMs - desk.plannedAtMs < PLAN_INTERVAL_MS) {
		return;
	}

	desk.plannedAtMs = nowMs;
	for (const service of configuration.services.values()) {
		if (service.engine) {
			desk.refill(nowMs, service.engine.loadsPerSecond);
			planService(context, service.name, service.engine);
		}
	}
}

function planService(context: EntryContext, service: string, engine: Engine): void {
	const {state} = context;
	const targets = [...state.targets.values()].filter(({entry}) => entry.service === service && entry.slots > 0);
	const demand = totalDemand(context, service);
	noteAdapterUse(context, targets, demand);
	for (const target of targets) {
		// An engine is watched from the first look on, so that its first order does not wait for a report.
		const desk = state.desk.of(target.id, target.entry.incarnation);
		if (!desk.report && isUsable(target, context.nowMs)) {
			readReport(context, target, desk);
		}
	}

	for (let step = 0; step < STEPS_PER_PLAN; step++) {
		const move = planMove({
			engine,
			targets: targets.filter(target => isUsable(target, context.nowMs)).map(target => describe(context, target)),
			demand,
			storeLoads: state.desk.storeLoads,
		});
		if (!move) {
			return;
		}

		begin(context, move);
	}
}

/** Adapters in use anywhere are the last to make way. */
function noteAdapterUse({state, nowMs}: EntryContext, targets: readonly Target[], demand: ReadonlyMap<string, PlannedDemand>): void {
	for (const target of targets) {
		const {adapters} = state.desk.of(target.id, target.entry.incarnation);
		for (const name of adapters.keys()) {
			const [model = '', adapter = ''] = name.split('/');
			if (demand.get(model)?.adapters.has(adapter)) {
				adapters.set(name, nowMs);
			}
		}
	}
}

function describe({state, nowMs}: EntryContext, target: Target): PlannedTarget {
	const {entry} = target;
	const desk = state.desk.of(target.id, entry.incarnation);
	return {
		id: target.id,
		zone: entry.zone,
		slots: entry.slots,
		copies: desk.report?.copies ?? entry.copies,
		loading: desk.move?.kind === 'load' ? [desk.move.model] : [],
		leaving: [...target.leavingCopies].filter(([, untilMs]) => nowMs < untilMs).map(([model]) => model),
		isIdle: desk.report !== undefined && !desk.move && desk.moveDueMs === undefined && !desk.report.isBusy,
		load: estimatedLoad(target, nowMs) / entry.slots,
		inMemory: entry.inMemory,
		onDisk: entry.onDisk,
	};
}

function totalDemand(context: EntryContext, service: string): Map<string, PlannedDemand> {
	const {state} = context;
	const total = new Map<string, PlannedDemand>();
	const all = [ownDemand(context), ...[...state.peers.values()].map(({demand}) => demand)];
	for (const record of all.flat()) {
		if (record.service !== service) {
			continue;
		}

		const known = total.get(record.model);
		total.set(record.model, {
			perSecond: (known?.perSecond ?? 0) + record.arrivalsPerSecond,
			open: (known?.open ?? 0) + record.open,
			rank: Math.min(known?.rank ?? record.rank, record.rank),
			adapters: new Set([...known?.adapters ?? [], ...record.adapters]),
		});
	}

	return total;
}

function begin(context: EntryContext, move: PlannedMove): void {
	const {state, nowMs} = context;
	const target = state.targets.get(move.targetId);
	if (!target) {
		return;
	}

	const desk = state.desk.of(target.id, target.entry.incarnation);
	const isUnload = move.kind === 'unload';
	desk.move = {
		kind: move.kind, model: move.model, takesMs: move.takesMs, notBeforeMs: isUnload ? nowMs + LEAVE_NOTICE_MS : nowMs,
	};
	if (isUnload) {
		target.leavingCopies.set(move.model, nowMs + LEAVING_MS);
		state.sharedAtMs = Number.NEGATIVE_INFINITY;
	}

	if (move.isFromStore) {
		state.desk.storeLoads--;
	}

	logEvent(context, 'move-planned', {...move, storeLoads: state.desk.storeLoads});
	pump(context, target, desk);
}
