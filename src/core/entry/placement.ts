/**
Placement of model copies on engines by the lease holder: it sums the demand of all
instances, takes the next moves of the plan and hands each to the order tracker of its
target.
*/
import {localDemand} from './demand.js';
import {holdsLease} from './lease.js';
import {ANNOUNCE_ROUNDS, type TargetTracker} from './order-tracker.js';
import {sendNextOrder, readReport} from './orders.js';
import {PEER_DEMAND_VALID_MS} from './peers.js';
import {planMove} from './plan.js';
import {type PlannedDemand, type PlannedMove, type PlannedTarget} from './plan-input.js';
import {logEvent, type EntryContext} from './state.js';
import {type Engine} from './configuration.js';
import {isUsable, type Target} from './target.js';

/** Interval between plans for up to `TARGETS_PER_INTERVAL` targets. A plan takes longer for more targets; the interval grows with them, so that the share of time spent on planning stays the same. */
const PLAN_INTERVAL_MS = 200;
const TARGETS_PER_INTERVAL = 25;
/** Interval at which an engine that executes an order of an earlier holder is asked whether it still does. */
const FOREIGN_ORDER_CHECK_MS = 1000;
/** Time for peers to learn that a copy is to be unloaded, and to stop sending requests to it, before the unload is ordered. */
const UNLOAD_NOTICE_MS = 200;
/** Demand that is below this share of that of the last seconds is falling. */
const FALLING_SHARE = 0.4;
/** Time for which a copy that is to be unloaded gets no requests; covers the time until the registry no longer shows it. */
const LEAVING_COPY_MS = 6000;
/** As many as the loads from the weight store that can run at once without slowing each other. */
const MOVES_PER_PLAN = 3;

export function runPlacement(context: EntryContext): void {
	const {state, nowMs} = context;
	const {orderTracker, configuration} = state;
	const intervalMs = PLAN_INTERVAL_MS * Math.max(1, state.targets.size / TARGETS_PER_INTERVAL);
	if (!holdsLease(context) || !configuration || nowMs - orderTracker.plannedAtMs < intervalMs) {
		return;
	}

	orderTracker.plannedAtMs = nowMs;
	for (const service of configuration.services.values()) {
		if (service.engine) {
			orderTracker.refillStoreLoads(service.name, nowMs, service.engine.loadsPerSecond);
			planService(context, service.name, service.engine);
		}
	}
}

function planService(context: EntryContext, service: string, engine: Engine): void {
	const {state} = context;
	const targets = [...state.targets.values()].filter(({entry}) => entry.service === service && entry.slots > 0);
	const held = new Set(targets.filter(target => isUsable(target, context.nowMs)).flatMap(({entry}) => entry.copies.map(({model}) => model)));
	const demand = totalDemand(context, service, held);
	touchUsedAdapters(context, targets, demand);
	for (const target of targets) {
		// The report is read as soon as the target is known, so that its first order does not wait for one.
		const tracker = state.orderTracker.forTarget(target);
		if (isUsable(target, context.nowMs) && (!tracker.report || isForeignOrderCheckDue(context, tracker))) {
			readReport(context, target, tracker);
		}
	}

	for (let step = 0; step < MOVES_PER_PLAN; step++) {
		const move = planMove({
			engine,
			targets: targets.filter(target => isUsable(target, context.nowMs)).map(target => toPlannedTarget(context, target)),
			demand,
			mechanisms: state.mechanisms,
			storeLoads: state.orderTracker.unplannedStoreLoads(service),
		});
		if (!move) {
			return;
		}

		startMove(context, move);
	}
}

/** Whether to ask an engine that was busy, though this holder has ordered nothing for a model: it takes no order for one until a report shows it idle. */
function isForeignOrderCheckDue({nowMs}: EntryContext, {report, move, moveDueMs, outstanding, reportRequestedAtMs}: TargetTracker): boolean {
	return report?.isBusy === true && !move && moveDueMs === undefined && !outstanding && nowMs - reportRequestedAtMs >= FOREIGN_ORDER_CHECK_MS;
}

/** Marks adapters in use at any instance as just used, so that they are evicted last. */
function touchUsedAdapters({state, nowMs}: EntryContext, targets: readonly Target[], demand: ReadonlyMap<string, PlannedDemand>): void {
	for (const target of targets) {
		const {adapters} = state.orderTracker.forTarget(target);
		for (const name of adapters.keys()) {
			const [model = '', adapter = ''] = name.split('/');
			if (demand.get(model)?.adapters.has(adapter)) {
				adapters.set(name, nowMs);
			}
		}
	}
}

function toPlannedTarget({state, nowMs}: EntryContext, target: Target): PlannedTarget {
	const {entry} = target;
	const tracker = state.orderTracker.forTarget(target);
	const copies = tracker.report?.copies ?? entry.copies;
	return {
		id: target.id,
		zone: entry.zone,
		copies,
		loading: tracker.move ? [tracker.move.wanted] : [],
		loadingForMs: tracker.moveDueMs !== undefined && tracker.move?.kind === 'load' ? Math.max(0, tracker.moveDueMs - nowMs) : tracker.move?.takesMs ?? 0,
		// The entry in `leavingCopies` outlives the copy, so that peers with an older registry do not send requests to it.
		leaving: [...target.leavingCopies].filter(([model, untilMs]) => nowMs < untilMs && copies.some(copy => copy.model === model)).map(([model]) => model),
		isIdle: tracker.report !== undefined && !tracker.move && tracker.moveDueMs === undefined && !tracker.report.isBusy,
		inMemory: entry.inMemory,
		onDisk: entry.onDisk,
	};
}

/** Demand of all instances for each model, and the time for which it has had no copy anywhere. */
function totalDemand(context: EntryContext, service: string, held: ReadonlySet<string>): Map<string, PlannedDemand> {
	const {state, nowMs} = context;
	const total = new Map<string, Omit<PlannedDemand, 'backForMs' | 'isFalling'>>();
	const recentPeers = [...state.peers.values()].filter(({demandReceivedAtMs}) => nowMs - demandReceivedAtMs < PEER_DEMAND_VALID_MS);
	const all = [localDemand(context), ...recentPeers.map(({demand}) => demand)];
	for (const record of all.flat()) {
		if (record.service !== service) {
			continue;
		}

		const known = total.get(record.model);
		total.set(record.model, {
			perSecond: (known?.perSecond ?? 0) + record.arrivalsPerSecond,
			busyShare: (known?.busyShare ?? 0) + record.busyShare,
			open: (known?.open ?? 0) + record.open,
			waiting: (known?.waiting ?? 0) + record.waiting,
			objectiveMs: Math.min(known?.objectiveMs ?? record.objectiveMs, record.objectiveMs),
			adapters: new Set([...known?.adapters ?? [], ...record.adapters]),
			missingMs: Math.max(known?.missingMs ?? 0, record.missingMs ?? 0),
		});
	}

	return new Map([...total].map(([model, demand]) => {
		const key = `${service} ${model}`;
		const recent = state.orderTracker.recentDemand(key, demand, nowMs);
		return [model, {
			...demand,
			...recent,
			isFalling: demand.perSecond < recent.perSecond * FALLING_SHARE,
			missingMs: state.orderTracker.missingForMs(key, held.has(model), nowMs, demand.missingMs),
			backForMs: state.orderTracker.backForMs(key, nowMs),
		}];
	}));
}

function startMove(context: EntryContext, move: PlannedMove): void {
	const {state, nowMs} = context;
	const target = state.targets.get(move.targetId);
	if (!target) {
		return;
	}

	const tracker = state.orderTracker.forTarget(target);
	const isUnload = move.kind === 'unload';
	tracker.move = {
		kind: move.kind,
		model: move.model,
		wanted: isUnload ? move.wanted : move.model,
		takesMs: move.takesMs,
		notBeforeMs: isUnload ? nowMs + UNLOAD_NOTICE_MS : nowMs,
		isFromStore: move.isFromStore,
		isLoadSent: false,
	};
	if (isUnload) {
		target.leavingCopies.set(move.model, nowMs + LEAVING_COPY_MS);
	}

	state.orderTracker.announceRounds = ANNOUNCE_ROUNDS;
	state.beaconsSentAtMs = Number.NEGATIVE_INFINITY;

	logEvent(context, 'move-planned', {...move, storeLoads: state.orderTracker.unplannedStoreLoads(target.entry.service)});
	sendNextOrder(context, target, tracker);
}
