/**
Orders to engines, sent by the lease holder. Each target has at most one outstanding
order, conditional on the sequence that the engine must have reached. Adapters come
first because requests wait for them; models are loaded and unloaded only when a
report newer than the last order shows what the engine holds. An engine accepts no
other order while it loads or unloads a model, so none is sent to it meanwhile.
*/
import {holdsLease, isUncontested} from './lease.js';
import {
	type AdapterLoad, type Move, type TargetTracker,
} from './order-tracker.js';
import {localDemand} from './demand.js';
import {freeMemoryMb} from './engine-memory.js';
import {PEER_DEMAND_VALID_MS} from './peers.js';
import {logEvent, type EntryContext} from './state.js';
import {isListed, type Target} from './target.js';
import {type EngineOrder} from './types.js';

/** Lag of reports: one requested sooner after an order may not show its effect. */
const REPORT_LAG_MS = 450;
const REPORT_INTERVAL_MS = 250;
const REPORT_TIMEOUT_MS = 1500;
const RESEND_INTERVAL_MS = 300;
const ADAPTER_LOAD_TIMEOUT_MS = 1000;
/** Requests for adapters wait about this long, trying several times; while an engine takes no orders for longer, they are told at once. */
const ADAPTER_WAIT_MS = 2000;
/** Delay before an unreachable engine is contacted again. */
export const BACKOFF_MS = 500;

export type AdapterRequest = {
	readonly targetId: string;
	readonly model: string;
	readonly adapter: string;
	/** The peer's pending call, undefined for this instance's own request. */
	readonly callId: number | undefined;
};

export function requestAdapter(context: EntryContext, {targetId, model, adapter, callId}: AdapterRequest): void {
	const {state, nowMs} = context;
	const name = `${model}/${adapter}`;
	const target = state.targets.get(targetId);
	if (!target || !holdsLease(context)) {
		replyToAdapterRequest(context, {
			targetId, name, callId, isHeld: false, delayMs: 0,
		});
		return;
	}

	const tracker = state.orderTracker.forTarget(target);
	if (tracker.adapters.has(name)) {
		tracker.adapters.set(name, nowMs);
		replyToAdapterRequest(context, {
			targetId, name, callId, isHeld: true, delayMs: 0,
		});
		return;
	}

	const known = tracker.adapterLoads.find(adapterLoad => adapterLoad.name === name);
	if (known) {
		known.callIds.push(callId);
	} else {
		tracker.adapterLoads.push({
			model, adapter, name, callIds: [callId], sinceMs: nowMs, notBeforeMs: nowMs,
		});
	}

	sendNextOrder(context, target, tracker);
}

type AdapterReply = {
	readonly targetId: string;
	readonly name: string;
	readonly callId: number | undefined;
	readonly isHeld: boolean;
	readonly delayMs: number;
};

function replyToAdapterRequest(context: EntryContext, reply: AdapterReply): void {
	const tracker = context.state.orderTracker.targets.get(reply.targetId);
	context.effects.push({kind: 'tell-adapter', ...reply, sequence: tracker?.sequence ?? 0});
}

export function replyToAll(context: EntryContext, targetId: string, adapterLoad: AdapterLoad, {isHeld, delayMs}: {isHeld: boolean; delayMs: number}): void {
	for (const callId of adapterLoad.callIds) {
		replyToAdapterRequest(context, {
			targetId, name: adapterLoad.name, callId, isHeld, delayMs,
		});
	}
}

/** Sends the next order of every target, and drops the trackers of targets that are gone, or all of them once another instance has the lease. */
export function runOrders(context: EntryContext): void {
	const {state, nowMs} = context;
	const isHolder = holdsLease(context) !== undefined;
	const isKept = isHolder || isUncontested(state);
	for (const [id, tracker] of state.orderTracker.targets) {
		const target = state.targets.get(id);
		const isCurrent = isKept && target?.entry.incarnation === tracker.incarnation && isListed(target, nowMs);
		if (isCurrent && isHolder) {
			sendNextOrder(context, target, tracker);
			continue;
		}

		for (const adapterLoad of tracker.adapterLoads.splice(0)) {
			replyToAll(context, id, adapterLoad, {isHeld: false, delayMs: 0});
		}

		if (!isCurrent) {
			state.orderTracker.forget(id);
		} else if (tracker.moveDueMs === undefined && !tracker.outstanding) {
			// Planned for what was known then, and not ordered yet.
			tracker.move = undefined;
		}
	}

	if (!isKept) {
		state.orderTracker.clear();
	}
}

/** Sends the next order of a target if one is due and none is outstanding. */
export function sendNextOrder(context: EntryContext, target: Target, tracker: TargetTracker): void {
	const {nowMs} = context;
	const lease = holdsLease(context);
	if (!lease || nowMs < tracker.backoffUntilMs) {
		return;
	}

	if (tracker.outstanding) {
		if (tracker.outstanding.isAnswerLost && nowMs - tracker.outstanding.sentAtMs >= RESEND_INTERVAL_MS) {
			// The epoch may be later than that of the first sending.
			send(context, target, tracker, {...tracker.outstanding.order, epoch: lease.epoch});
		}

		return;
	}

	expireAdapterLoads(context, target, tracker);
	if (tracker.sequence === undefined) {
		const hasWork = tracker.adapterLoads.length > 0 || tracker.move !== undefined || tracker.moveDueMs !== undefined;
		if (hasWork) {
			readReport(context, target, tracker);
		}

		return;
	}

	if (tracker.moveDueMs !== undefined) {
		trackMove(context, target, tracker);
		return;
	}

	const adapterLoad = tracker.adapterLoads.find(({notBeforeMs}) => nowMs >= notBeforeMs);
	if (adapterLoad && tracker.report?.isBusy) {
		// It executes an order for a model whose answer was lost, or one of an earlier holder.
		readReport(context, target, tracker);
	} else if (adapterLoad && canLoadAdapter(context, target, tracker)) {
		loadOrEvictAdapter(context, target, tracker, adapterLoad);
	} else if (tracker.move && nowMs >= tracker.move.notBeforeMs) {
		orderMove(context, target, tracker, tracker.move);
	}
}

/** Replies to those that have waited for too long, and at once to all while the engine loads a model for longer than they would wait. */
function expireAdapterLoads(context: EntryContext, target: Target, tracker: TargetTracker): void {
	const {nowMs} = context;
	const isLoadingForLong = tracker.move?.kind === 'load' && (tracker.moveDueMs ?? 0) - nowMs > ADAPTER_WAIT_MS;
	for (const adapterLoad of tracker.adapterLoads.filter(({sinceMs}) => isLoadingForLong || nowMs - sinceMs > ADAPTER_LOAD_TIMEOUT_MS)) {
		tracker.adapterLoads.splice(tracker.adapterLoads.indexOf(adapterLoad), 1);
		replyToAll(context, target.id, adapterLoad, {isHeld: false, delayMs: 0});
	}
}

/** Whether a place for an adapter is free, or is held by one that no request uses. */
function canLoadAdapter(context: EntryContext, target: Target, tracker: TargetTracker): boolean {
	return tracker.adapters.size < adapterPlaces(context, target) || idleAdapter(context, target, tracker) !== undefined;
}

function adapterPlaces({state}: EntryContext, {entry: {service}}: Target): number {
	return state.configuration?.services.get(service)?.engine?.adapterPlaces ?? 0;
}

/** Loads the adapter, or evicts the least recently used one first when no place is free. */
function loadOrEvictAdapter(context: EntryContext, target: Target, tracker: TargetTracker, adapterLoad: AdapterLoad): void {
	if (tracker.adapters.size < adapterPlaces(context, target)) {
		issueOrder(context, target, tracker, {kind: 'load', model: adapterLoad.model, adapter: adapterLoad.adapter});
		return;
	}

	const [model, adapter] = idleAdapter(context, target, tracker)?.split('/') ?? [];
	if (model !== undefined && adapter !== undefined) {
		issueOrder(context, target, tracker, {kind: 'unload', model, adapter});
	}
}

/**
Name of the adapter whose last use is oldest among those that no request uses. An engine unloads one in use only when
its requests have ended, and accepts no other order until then.
*/
function idleAdapter(context: EntryContext, target: Target, {adapters}: TargetTracker): string | undefined {
	const running = runningAt(context, target);
	let oldest: string | undefined;
	let oldestMs = Number.POSITIVE_INFINITY;
	for (const [name, usedAtMs] of adapters) {
		if (usedAtMs < oldestMs && !running.has(name)) {
			oldest = name;
			oldestMs = usedAtMs;
		}
	}

	return oldest;
}

/** Names of the adapters that requests of any instance use at a target. */
function runningAt(context: EntryContext, target: Target): Set<string> {
	const {state, nowMs} = context;
	const recentPeers = [...state.peers.values()].filter(({demandReceivedAtMs}) => nowMs - demandReceivedAtMs < PEER_DEMAND_VALID_MS);
	const running = new Set<string>();
	for (const {service, model, runningAdapters = []} of [localDemand(context), ...recentPeers.map(({demand}) => demand)].flat()) {
		for (const [targetId, adapter] of runningAdapters) {
			if (targetId === target.id && service === target.entry.service) {
				running.add(`${model}/${adapter}`);
			}
		}
	}

	return running;
}

/** Reads reports until the accepted move is complete. */
function trackMove(context: EntryContext, target: Target, tracker: TargetTracker): void {
	const {nowMs} = context;
	if (nowMs < (tracker.moveDueMs ?? 0)) {
		return;
	}

	if (isMoveShown(tracker) || (isReportCurrent(tracker) && !tracker.report?.isBusy)) {
		const {move} = tracker;
		tracker.moveDueMs = undefined;
		tracker.move = undefined;
		tracker.settledSequence = tracker.sequence;
		if (move?.kind === 'unload') {
			followWithLoad(context, target, tracker, move);
		}

		return;
	}

	readReport(context, target, tracker);
}

/** Whether the last report shows the accepted move as complete. Orders after it can only have been for adapters. */
function isMoveShown({report, moveSequence, move}: TargetTracker): boolean {
	return report !== undefined && move !== undefined && moveSequence !== undefined && report.sequence >= moveSequence && !report.isBusy
		&& report.copies.some(({model}) => model === move.model) === (move.kind === 'load');
}

/** Whether the last report shows the engine's state after its last order. */
function isReportCurrent({report, sequence, reportedAtMs, acceptedAtMs}: TargetTracker): boolean {
	return report !== undefined && report.sequence === sequence && reportedAtMs - acceptedAtMs >= REPORT_LAG_MS;
}

/** Whether it is known which models the engine holds, and that it executes no order for one. */
function areModelsSettled({sequence, settledSequence}: TargetTracker): boolean {
	return sequence !== undefined && settledSequence === sequence;
}

/** Records that the last report settles which models the engine holds, if it does. */
export function settleModels(tracker: TargetTracker): void {
	if (isReportCurrent(tracker) && !tracker.report?.isBusy) {
		tracker.settledSequence = tracker.sequence;
	}
}

/** Loads the model for which a copy was unloaded, unless there is not enough memory yet. */
function followWithLoad(context: EntryContext, target: Target, tracker: TargetTracker, unload: Move): void {
	const engine = context.state.configuration?.services.get(target.entry.service)?.engine;
	const model = engine?.models.get(unload.wanted);
	if (context.state.mechanisms.has('joined-swaps') && engine && model && model.sizeMb <= freeMemoryMb(engine, tracker.report?.copies ?? [])) {
		tracker.move = {
			...unload, kind: 'load', model: unload.wanted, notBeforeMs: context.nowMs,
		};
		sendNextOrder(context, target, tracker);
	}
}

function orderMove(context: EntryContext, target: Target, tracker: TargetTracker, move: Move): void {
	if (!areModelsSettled(tracker)) {
		readReport(context, target, tracker);
		return;
	}

	const engine = context.state.configuration?.services.get(target.entry.service)?.engine;
	const model = engine?.models.get(move.model);
	const isRedundant = tracker.report?.copies.some(copy => copy.model === move.model) === (move.kind === 'load');
	const isTooLarge = engine && model && move.kind === 'load' && model.sizeMb > freeMemoryMb(engine, tracker.report?.copies ?? []);
	if (!engine || !model || isRedundant || isTooLarge) {
		tracker.move = undefined;
		return;
	}

	if (move.kind === 'unload' || takeStoreLoad(context, tracker, move)) {
		issueOrder(context, target, tracker, {kind: move.kind, model: move.model, adapter: undefined});
	}
}

/** Whether a load may start now, counted once if it takes its weights from the weight store. */
function takeStoreLoad({state: {orderTracker}}: EntryContext, {service}: TargetTracker, move: Move): boolean {
	move.isLoadSent ||= !move.isFromStore || orderTracker.takeStoreLoad(service);
	return move.isLoadSent;
}

function issueOrder(context: EntryContext, target: Target, tracker: TargetTracker, action: Pick<EngineOrder, 'kind' | 'model' | 'adapter'>): void {
	const lease = holdsLease(context);
	if (lease && tracker.sequence !== undefined) {
		send(context, target, tracker, {
			...action, expectedSequence: tracker.sequence, holder: context.state.self.id, epoch: lease.epoch,
		});
	}
}

function send(context: EntryContext, target: Target, tracker: TargetTracker, engineOrder: EngineOrder): void {
	const {state, nowMs} = context;
	state.orderTracker.lastOrderNumber++;
	tracker.outstanding = {
		number: state.orderTracker.lastOrderNumber, order: engineOrder, sentAtMs: nowMs, isAnswerLost: false,
	};
	context.effects.push({
		kind: 'order', targetId: target.id, address: target.entry.address, orderNumber: state.orderTracker.lastOrderNumber, order: engineOrder,
	});
	logEvent(context, 'engine-order-sent', {targetId: target.id, orderNumber: state.orderTracker.lastOrderNumber, ...engineOrder});
}

export function readReport(context: EntryContext, target: Target, tracker: TargetTracker): void {
	const {nowMs} = context;
	const isReading = tracker.isReportPending && nowMs - tracker.reportRequestedAtMs < REPORT_TIMEOUT_MS;
	const isTooSoon = tracker.sequence === undefined && nowMs - tracker.acceptedAtMs < REPORT_INTERVAL_MS;
	if (isReading || isTooSoon || nowMs - tracker.reportRequestedAtMs < REPORT_INTERVAL_MS) {
		return;
	}

	tracker.isReportPending = true;
	tracker.reportRequestedAtMs = nowMs;
	context.effects.push({kind: 'read-report', targetId: target.id, address: target.entry.address});
}
