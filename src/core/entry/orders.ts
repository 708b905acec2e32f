/**
Giving orders to engines, as the lease holder. One order a target is out at a time,
each under the sequence that the engine must have reached. Adapters go first, because
requests wait for them; models move only when a settled report tells what the engine
holds.
*/
import {holdsLease} from './lease.js';
import {
	type AdapterTask, type Move, type TargetDesk,
} from './order-tracker.js';
import {freeMemoryMb} from './engine-room.js';
import {logEvent, type EntryContext} from './state.js';
import {isListed, type Target} from './target.js';
import {type EngineOrder} from './types.js';

/** Reports lag behind by this much; one read sooner after an order may not show it. */
export const REPORT_LAG_MS = 450;
const REPORT_INTERVAL_MS = 250;
const REPORT_TIMEOUT_MS = 1500;
const RESEND_MS = 300;
const TASK_LIFE_MS = 1000;
/** An unreachable engine is left alone for a while. */
export const REST_MS = 500;

export type AdapterQuestion = {
	readonly targetId: string;
	readonly model: string;
	readonly adapter: string;
	/** The peer's question, undefined for this instance's own. */
	readonly callId: number | undefined;
};

export function requestAdapter(context: EntryContext, {targetId, model, adapter, callId}: AdapterQuestion): void {
	const {state, nowMs} = context;
	const name = `${model}/${adapter}`;
	const target = state.targets.get(targetId);
	if (!target || !holdsLease(context)) {
		tell(context, {
			targetId, name, callId, isHeld: false, delayMs: 0,
		});
		return;
	}

	const desk = state.orderTracker.of(targetId, target.entry.incarnation);
	if (desk.adapters.has(name)) {
		desk.adapters.set(name, nowMs);
		tell(context, {
			targetId, name, callId, isHeld: true, delayMs: 0,
		});
		return;
	}

	const known = desk.tasks.find(task => task.name === name);
	if (known) {
		known.tickets.push(callId);
	} else {
		desk.tasks.push({
			model, adapter, name, tickets: [callId], sinceMs: nowMs, notBeforeMs: nowMs,
		});
	}

	pump(context, target, desk);
}

type Told = {
	readonly targetId: string;
	readonly name: string;
	readonly callId: number | undefined;
	readonly isHeld: boolean;
	readonly delayMs: number;
};

function tell(context: EntryContext, told: Told): void {
	const desk = context.state.orderTracker.targets.get(told.targetId);
	context.effects.push({kind: 'tell-adapter', ...told, sequence: desk?.sequence ?? 0});
}

export function tellTask(context: EntryContext, targetId: string, task: AdapterTask, {isHeld, delayMs}: {isHeld: boolean; delayMs: number}): void {
	for (const callId of task.tickets) {
		tell(context, {
			targetId, name: task.name, callId, isHeld, delayMs,
		});
	}
}

/** Goes on with what is to be ordered at every target. */
export function runOrders(context: EntryContext): void {
	const {state, nowMs} = context;
	const isHolder = holdsLease(context) !== undefined;
	for (const [id, desk] of state.orderTracker.targets) {
		const target = state.targets.get(id);
		if (isHolder && target?.entry.incarnation === desk.incarnation && isListed(target, nowMs)) {
			pump(context, target, desk);
			continue;
		}

		for (const task of desk.tasks.splice(0)) {
			tellTask(context, id, task, {isHeld: false, delayMs: 0});
		}

		state.orderTracker.forget(id);
	}

	if (!isHolder) {
		state.orderTracker.clear();
	}
}

/** Sends the next order of a target if nothing stands against it. */
export function pump(context: EntryContext, target: Target, desk: TargetDesk): void {
	const {nowMs} = context;
	if (!holdsLease(context) || nowMs < desk.restUntilMs) {
		return;
	}

	if (desk.outstanding) {
		if (desk.outstanding.isLost && nowMs - desk.outstanding.sentAtMs >= RESEND_MS) {
			send(context, target, desk, desk.outstanding.order);
		}

		return;
	}

	dropOldTasks(context, target, desk);
	if (desk.sequence === undefined) {
		const hasWork = desk.tasks.length > 0 || desk.move !== undefined || desk.moveDueMs !== undefined;
		if (hasWork) {
			readReport(context, target, desk);
		}

		return;
	}

	const task = desk.tasks.find(({notBeforeMs}) => nowMs >= notBeforeMs);
	if (task) {
		orderAdapter(context, target, desk, task);
	} else if (desk.moveDueMs !== undefined) {
		watchMove(context, target, desk);
	} else if (desk.move && nowMs >= desk.move.notBeforeMs) {
		orderMove(context, target, desk, desk.move);
	}
}

function dropOldTasks(context: EntryContext, target: Target, desk: TargetDesk): void {
	for (const task of desk.tasks.filter(({sinceMs}) => context.nowMs - sinceMs > TASK_LIFE_MS)) {
		desk.tasks.splice(desk.tasks.indexOf(task), 1);
		tellTask(context, target.id, task, {isHeld: false, delayMs: 0});
	}
}

function orderAdapter(context: EntryContext, target: Target, desk: TargetDesk, task: AdapterTask): void {
	const places = context.state.configuration?.services.get(target.entry.service)?.engine?.adapterPlaces ?? 0;
	if (desk.adapters.size < places) {
		order(context, target, desk, {kind: 'load', model: task.model, adapter: task.adapter});
		return;
	}

	const oldest = leastRecent(desk.adapters);
	const [model, adapter] = oldest?.split('/') ?? [];
	if (oldest !== undefined && model !== undefined && adapter !== undefined) {
		order(context, target, desk, {kind: 'unload', model, adapter});
	}
}

function leastRecent(adapters: ReadonlyMap<string, number>): string | undefined {
	let oldest: string | undefined;
	let oldestMs = Number.POSITIVE_INFINITY;
	for (const [name, usedAtMs] of adapters) {
		if (usedAtMs < oldestMs) {
			oldest = name;
			oldestMs = usedAtMs;
		}
	}

	return oldest;
}

/** Reads reports until the accepted move is done. */
function watchMove(context: EntryContext, target: Target, desk: TargetDesk): void {
	const {nowMs} = context;
	if (nowMs < (desk.moveDueMs ?? 0)) {
		return;
	}

	if (isSettled(desk) && !desk.report?.isBusy) {
		desk.moveDueMs = undefined;
		desk.move = undefined;
		return;
	}

	readReport(context, target, desk);
}

/** Whether the last report shows the engine after its last order. */
function isSettled({report, sequence, reportedAtMs, acceptedAtMs}: TargetDesk): boolean {
	return report !== undefined && report.sequence === sequence && reportedAtMs - acceptedAtMs >= REPORT_LAG_MS;
}

function orderMove(context: EntryContext, target: Target, desk: TargetDesk, move: Move): void {
	const isBusy = desk.report?.isBusy ?? true;
	if (!isSettled(desk) || isBusy) {
		readReport(context, target, desk);
		return;
	}

	const engine = context.state.configuration?.services.get(target.entry.service)?.engine;
	const model = engine?.models.get(move.model);
	const isNeedless = desk.report?.copies.some(copy => copy.model === move.model) === (move.kind === 'load');
	const isTooLarge = engine && model && move.kind === 'load' && model.sizeMb > freeMemoryMb(engine, desk.report?.copies ?? []);
	if (!engine || !model || isNeedless || isTooLarge) {
		desk.move = undefined;
		return;
	}

	order(context, target, desk, {kind: move.kind, model: move.model, adapter: undefined});
}

function order(context: EntryContext, target: Target, desk: TargetDesk, what: Pick<EngineOrder, 'kind' | 'model' | 'adapter'>): void {
	const lease = holdsLease(context);
	if (lease && desk.sequence !== undefined) {
		send(context, target, desk, {
			...what, expectedSequence: desk.sequence, holder: context.state.self.id, epoch: lease.epoch,
		});
	}
}

function send(context: EntryContext, target: Target, desk: TargetDesk, engineOrder: EngineOrder): void {
	const {state, nowMs} = context;
	state.orderTracker.orders++;
	desk.outstanding = {
		number: state.orderTracker.orders, order: engineOrder, sentAtMs: nowMs, isLost: false,
	};
	context.effects.push({
		kind: 'order', targetId: target.id, address: target.entry.address, orderNumber: state.orderTracker.orders, order: engineOrder,
	});
	logEvent(context, 'engine-order-sent', {targetId: target.id, orderNumber: state.orderTracker.orders, ...engineOrder});
}

export function readReport(context: EntryContext, target: Target, desk: TargetDesk): void {
	const {nowMs} = context;
	const isReading = desk.isReading && nowMs - desk.askedAtMs < REPORT_TIMEOUT_MS;
	const isTooSoon = desk.sequence === undefined && nowMs - desk.acceptedAtMs < REPORT_INTERVAL_MS;
	if (isReading || isTooSoon || nowMs - desk.askedAtMs < REPORT_INTERVAL_MS) {
		return;
	}

	desk.isReading = true;
	desk.askedAtMs = nowMs;
	context.effects.push({kind: 'read-report', targetId: target.id, address: target.entry.address});
}
