/**
What engines answer to orders, and what their reports say.
*/
import {type EntryEventOf} from './event.js';
import {type Outstanding, type TargetDesk} from './order-tracker.js';
import {
	pump, REPORT_LAG_MS, REST_MS, tellTask,
} from './orders.js';
import {logEvent, type EntryContext} from './state.js';
import {adaptersOf, type Target, type TargetReport} from './target.js';
import {type EngineOrder} from './types.js';

const TASK_RETRY_MS = 80;
/** Reports go before the registry for two heartbeats. */
const REPORT_HOLDS_MS = 2500;
/** Longest transfer of an adapter from the weight store below its knee. */
const ADAPTER_TRANSFER_MS = 11;

export function handleOrderAnswer(context: EntryContext, event: EntryEventOf<'order-answered'>): void {
	const {state, nowMs} = context;
	const target = state.targets.get(event.targetId);
	const desk = state.orderTracker.targets.get(event.targetId);
	const {outstanding} = desk ?? {};
	if (!target || !desk || outstanding?.number !== event.orderNumber) {
		return;
	}

	logEvent(context, 'engine-order-answered', {targetId: target.id, orderNumber: event.orderNumber, outcome: event.outcome});
	if (event.outcome === 'lost') {
		outstanding.isLost = true;
		return;
	}

	desk.outstanding = undefined;
	orderHandlers[event.outcome](context, target, desk, outstanding);
	if (desk.sequence !== undefined) {
		pump(context, target, desk);
	}

	if (event.outcome === 'not-sent') {
		desk.restUntilMs = nowMs + REST_MS;
	}
}

type OrderHandler = (context: EntryContext, target: Target, desk: TargetDesk, outstanding: Outstanding) => void;

const orderHandlers: Readonly<Record<'accepted' | 'holds' | 'conflict' | 'declined' | 'not-sent', OrderHandler>> = {
	accepted(context, target, desk, outstanding) {
		const {order: {kind, model, adapter, expectedSequence}} = outstanding;
		desk.acceptedAtMs = context.nowMs;
		if (adapter !== undefined && kind === 'unload') {
			// It is in use and keeps its place until its requests have ended; the next report tells.
			desk.adapters.set(`${model}/${adapter}`, context.nowMs);
			desk.sequence = undefined;
			return;
		}

		desk.sequence = expectedSequence + 1;
		carriedOut(context, target, desk, outstanding.order);
	},
	holds(context, target, desk, outstanding) {
		const {order: {adapter, kind, expectedSequence}} = outstanding;
		if (adapter !== undefined && kind === 'unload') {
			// An idle adapter is unloaded at once, which counts; one that was gone already does not.
			desk.sequence = expectedSequence + 1;
		}

		carriedOut(context, target, desk, outstanding.order);
	},
	conflict(context, _, desk, outstanding) {
		// Also where an unload that held proves not to have counted: its adapter may have been on its way, and arrive.
		desk.sequence = undefined;
		postpone(context, desk, outstanding.order);
	},
	declined(context, target, desk, {order: {adapter, model}}) {
		const task = desk.tasks.find(({name}) => name === `${model}/${adapter}`);
		if (task) {
			desk.tasks.splice(desk.tasks.indexOf(task), 1);
			tellTask(context, target.id, task, {isHeld: false, delayMs: 0});
		}

		if (adapter === undefined) {
			desk.move = undefined;
		}
	},
	'not-sent'(context, _, desk, outstanding) {
		postpone(context, desk, outstanding.order);
	},
};

function postpone(context: EntryContext, desk: TargetDesk, {adapter, model}: EngineOrder): void {
	const task = desk.tasks.find(({name}) => name === `${model}/${adapter}`);
	if (task) {
		task.notBeforeMs = context.nowMs + TASK_RETRY_MS;
	}
}

function carriedOut(context: EntryContext, target: Target, desk: TargetDesk, {kind, model, adapter}: EngineOrder): void {
	const {nowMs} = context;
	if (adapter === undefined) {
		desk.moveDueMs = nowMs + (kind === 'load' ? desk.move?.takesMs ?? 0 : REPORT_LAG_MS);
		return;
	}

	const name = `${model}/${adapter}`;
	if (kind === 'unload') {
		desk.adapters.delete(name);
		target.adapters.delete(name);
		return;
	}

	desk.adapters.set(name, nowMs);
	target.adapters.set(name, desk.sequence ?? 0);
	const task = desk.tasks.find(candidate => candidate.name === name);
	if (task) {
		desk.tasks.splice(desk.tasks.indexOf(task), 1);
		tellTask(context, target.id, task, {isHeld: true, delayMs: ADAPTER_TRANSFER_MS});
	}
}

export function handleReport(context: EntryContext, {targetId, report}: EntryEventOf<'report-read'>): void {
	const {state, nowMs} = context;
	const target = state.targets.get(targetId);
	const desk = state.orderTracker.targets.get(targetId);
	if (!target || !desk) {
		return;
	}

	desk.isReading = false;
	if (!report) {
		desk.restUntilMs = nowMs + REST_MS;
		return;
	}

	if (report.incarnation !== desk.incarnation && report.incarnation !== 0) {
		state.orderTracker.forget(targetId);
		return;
	}

	desk.report = report;
	desk.reportedAtMs = desk.askedAtMs;
	if (!desk.outstanding && (desk.sequence === undefined || report.sequence > desk.sequence)) {
		desk.sequence = report.sequence;
	}

	if (report.sequence === desk.sequence) {
		adoptReport(target, desk, report, nowMs);
	}

	pump(context, target, desk);
}

function adoptReport(target: Target, desk: TargetDesk, report: TargetReport, nowMs: number): void {
	const held = new Set([...adaptersOf(report.copies), ...report.coming]);
	for (const name of desk.adapters.keys()) {
		if (!held.has(name)) {
			desk.adapters.delete(name);
			target.adapters.delete(name);
		}
	}

	for (const name of held) {
		if (!desk.adapters.has(name)) {
			desk.adapters.set(name, Number.NEGATIVE_INFINITY);
		}
	}

	target.entry = {
		...target.entry, sequence: report.sequence, copies: report.copies, inMemory: report.inMemory, onDisk: report.onDisk,
	};
	target.reportValidUntilMs = nowMs + REPORT_HOLDS_MS;
}
