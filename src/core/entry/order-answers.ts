/**
Handles the answers of engines to orders, and their reports.
*/
import {type EntryEventOf} from './event.js';
import {ANNOUNCE_ROUNDS, type OutstandingOrder, type TargetTracker} from './order-tracker.js';
import {
	sendNextOrder, settleModels, BACKOFF_MS, replyToAll,
} from './orders.js';
import {logEvent, type EntryContext} from './state.js';
import {
	adaptersOf, holdsModel, type Target, type TargetReport,
} from './target.js';
import {type EngineOrder} from './types.js';

/** Delay before an adapter load is tried again after a conflict, or after its order could not be sent. */
const ADAPTER_RETRY_MS = 80;
/** An idle copy is unloaded at once, and a report may show it this soon. */
const FIRST_UNLOAD_CHECK_MS = 150;
/** Reports override the registry for two heartbeats. */
const REPORT_VALID_MS = 2500;
/** Longest transfer of an adapter while the weight store is below its saturation point. */
const ADAPTER_TRANSFER_MS = 11;

export function handleOrderAnswer(context: EntryContext, event: EntryEventOf<'order-answered'>): void {
	const {state, nowMs} = context;
	const target = state.targets.get(event.targetId);
	const tracker = state.orderTracker.targets.get(event.targetId);
	const {outstanding} = tracker ?? {};
	if (!target || !tracker || outstanding?.number !== event.orderNumber) {
		return;
	}

	logEvent(context, 'engine-order-answered', {targetId: target.id, orderNumber: event.orderNumber, outcome: event.outcome});
	if (event.outcome === 'lost') {
		outstanding.isAnswerLost = true;
		return;
	}

	tracker.outstanding = undefined;
	outcomeHandlers[event.outcome](context, target, tracker, outstanding);
	if (tracker.sequence !== undefined) {
		sendNextOrder(context, target, tracker);
	}

	if (event.outcome === 'not-sent') {
		tracker.backoffUntilMs = nowMs + BACKOFF_MS;
	}
}

type OutcomeHandler = (context: EntryContext, target: Target, tracker: TargetTracker, outstanding: OutstandingOrder) => void;

const outcomeHandlers: Readonly<Record<'accepted' | 'holds' | 'conflict' | 'declined' | 'not-sent', OutcomeHandler>> = {
	accepted(context, target, tracker, outstanding) {
		const {order: {kind, model, adapter, expectedSequence}} = outstanding;
		tracker.acceptedAtMs = context.nowMs;
		if (adapter !== undefined && kind === 'unload') {
			// The adapter is in use and keeps its place until its requests have ended; the next report shows when.
			tracker.adapters.set(`${model}/${adapter}`, context.nowMs);
			tracker.sequence = undefined;
			return;
		}

		tracker.sequence = expectedSequence + 1;
		keepSettled(tracker, outstanding.order);
		applyOrder(context, target, tracker, outstanding.order);
	},
	holds(context, target, tracker, outstanding) {
		const {order: {adapter, kind, expectedSequence}} = outstanding;
		if (adapter !== undefined && kind === 'unload') {
			// Unloading an idle adapter happens at once and increments the sequence; it does not if the adapter was already gone.
			tracker.sequence = expectedSequence + 1;
			keepSettled(tracker, outstanding.order);
		}

		applyOrder(context, target, tracker, outstanding.order);
	},
	conflict(context, _, tracker, outstanding) {
		// Also reached when an unload answered with `holds` did not increment the sequence: the adapter may have been in transfer and still arrive.
		tracker.sequence = undefined;
		deferAdapterLoad(context, tracker, outstanding.order);
	},
	declined(context, target, tracker, {order: {adapter, model}}) {
		// It has lost the model, or another target has taken its address; a report shows which before the next order.
		tracker.sequence = undefined;
		const adapterLoad = tracker.adapterLoads.find(({name}) => name === `${model}/${adapter}`);
		if (adapterLoad) {
			tracker.adapterLoads.splice(tracker.adapterLoads.indexOf(adapterLoad), 1);
			replyToAll(context, target.id, adapterLoad, {isHeld: false, delayMs: 0});
		}

		if (adapter === undefined) {
			tracker.move = undefined;
		}
	},
	'not-sent'(context, _, tracker, outstanding) {
		deferAdapterLoad(context, tracker, outstanding.order);
	},
};

/**
An adapter order leaves the models as they were, and it was accepted only since no other order came between. What was
known of them at the sequence before it therefore holds on: otherwise the orders of adapters in steady use would keep
model orders waiting for a report without any in between.
*/
function keepSettled(tracker: TargetTracker, {adapter, expectedSequence}: EngineOrder): void {
	if (adapter !== undefined && tracker.settledSequence === expectedSequence) {
		tracker.settledSequence = tracker.sequence;
	}
}

function deferAdapterLoad(context: EntryContext, tracker: TargetTracker, {adapter, model}: EngineOrder): void {
	const adapterLoad = tracker.adapterLoads.find(({name}) => name === `${model}/${adapter}`);
	if (adapterLoad) {
		adapterLoad.notBeforeMs = context.nowMs + ADAPTER_RETRY_MS;
	}
}

function applyOrder(context: EntryContext, target: Target, tracker: TargetTracker, {kind, model, adapter}: EngineOrder): void {
	const {nowMs} = context;
	if (adapter === undefined) {
		tracker.moveSequence = tracker.sequence;
		tracker.moveDueMs = nowMs + (kind === 'load' ? tracker.move?.takesMs ?? 0 : FIRST_UNLOAD_CHECK_MS);
		return;
	}

	const name = `${model}/${adapter}`;
	if (kind === 'unload') {
		tracker.adapters.delete(name);
		target.adapters.delete(name);
		return;
	}

	tracker.adapters.set(name, nowMs);
	target.adapters.set(name, tracker.sequence ?? 0);
	const adapterLoad = tracker.adapterLoads.find(candidate => candidate.name === name);
	if (adapterLoad) {
		tracker.adapterLoads.splice(tracker.adapterLoads.indexOf(adapterLoad), 1);
		replyToAll(context, target.id, adapterLoad, {isHeld: true, delayMs: ADAPTER_TRANSFER_MS});
	}
}

export function handleReport(context: EntryContext, {targetId, report}: EntryEventOf<'report-read'>): void {
	const {state, nowMs} = context;
	const target = state.targets.get(targetId);
	const tracker = state.orderTracker.targets.get(targetId);
	if (!target || !tracker) {
		return;
	}

	tracker.isReportPending = false;
	if (!report) {
		tracker.backoffUntilMs = nowMs + BACKOFF_MS;
		return;
	}

	if (report.incarnation !== tracker.incarnation && report.incarnation !== 0) {
		state.orderTracker.forget(targetId);
		return;
	}

	tracker.report = report;
	tracker.reportedAtMs = tracker.reportRequestedAtMs;
	if (!tracker.outstanding && (tracker.sequence === undefined || report.sequence > tracker.sequence)) {
		tracker.sequence = report.sequence;
	}

	settleModels(tracker);
	if (report.sequence === tracker.sequence) {
		applyReport(context, target, tracker, report);
	}

	sendNextOrder(context, target, tracker);
}

function applyReport({state: {orderTracker}, nowMs}: EntryContext, target: Target, tracker: TargetTracker, report: TargetReport): void {
	const held = new Set([...adaptersOf(report.copies), ...report.adaptersInTransfer]);
	for (const name of tracker.adapters.keys()) {
		if (!held.has(name)) {
			tracker.adapters.delete(name);
			target.adapters.delete(name);
		}
	}

	for (const name of held) {
		if (!tracker.adapters.has(name)) {
			tracker.adapters.set(name, Number.NEGATIVE_INFINITY);
		}
	}

	if (target.entry.copies.length !== report.copies.length || report.copies.some(({model}) => !holdsModel(target, model))) {
		orderTracker.announceRounds = ANNOUNCE_ROUNDS;
	}

	target.entry = {
		...target.entry, sequence: report.sequence, copies: report.copies, inMemory: report.inMemory, onDisk: report.onDisk,
	};
	target.reportValidUntilMs = nowMs + REPORT_VALID_MS;
}
