/**
Sends orders whose entries are journaled, and turns the engines' answers into
changes of the ledger.
*/
import {log, type Context} from '../context.js';
import {modelRoute} from '../configuration/index.js';
import {type EventOf} from '../event.js';
import {publishFact} from '../peer/facts.js';
import {upperLimitMs} from '../request/estimate.js';
import {addResidentCopy} from '../request/reports.js';
import {checksFencing, writeRow} from './ledger-store.js';
import {
	copyName, findEntry, inheritedEpochs, isSettled, withAnswered, withLoad, withoutEntry, withoutEpochs, type ModelCopy,
} from './ledger.js';
import {
	closeEpoch, epochClosedAtMs, heldEpoch, holdsLease, keepsLease, zoneGroup,
} from './lease.js';
import {type Copy, type Ledger, type OpenOrder} from './state.js';
import {takeLoadToken} from './load-limiter.js';
import {type LedgerRow, type OrderKind, type OrderOutcome} from './types.js';

const FENCES_PER_EPOCH = 2 ** 20;
const NOT_SENT_RETRY_MS = 1000;
const LOST_RETRY_MS = 5000;
const BUSY_RETRY_MS = 1000;
const REFUSED_RETRY_MS = 30_000;

/** Entries that one write adds; more would take room that the next plan may want otherwise. */
const LOADS_PER_WRITE = 6;

/**
Bounds of the time between telling peers to leave a copy and unloading it: long
enough for what is on its way and for what the model's requests have shown to take.
*/
const LEAVE_BOUNDS = {minMs: 3000, maxMs: 60_000};

export type WantedLoad = {
	readonly copy: ModelCopy;
	/** For people who look at the moves. */
	readonly reason: string;
};

/** Journals loads of one target in one write; the orders are sent when the table has confirmed the entries. */
export function startLoads(context: Context, ledger: Ledger, wanted: readonly WantedLoad[]): void {
	const target = context.state.targets.get(ledger.targetId);
	if (!target || !ledger.owned || ledger.writing) {
		return;
	}

	let {row} = ledger;
	for (const {copy, reason} of wanted.slice(0, LOADS_PER_WRITE)) {
		const next = withLoad(row, copy, target.memoryMb);
		if (!next) {
			continue;
		}

		row = needsMark(context, ledger, copy) ? next : row;
		const name = copyName(copy);
		ledger.copies.set(name, {
			status: 'ordering',
			orderId: undefined,
			unanswered: ledger.copies.get(name)?.unanswered ?? false,
			retryAtMs: 0,
			statusSinceMs: context.nowMs,
			reason,
		});
	}

	if (row === ledger.row) {
		sendPending(context, ledger);
	} else {
		writeRow(context, ledger, row);
	}
}

/** Whether the journal must be written before a load order: not where the entry says so already or a fence makes up for it. */
function needsMark(context: Context, ledger: Ledger, copy: ModelCopy): boolean {
	const entry = findEntry(ledger.row, copy);
	return entry === undefined
		|| (entry.unansweredEpoch !== ledger.row.epoch && !checksFencing(context, ledger.targetId));
}

/** Takes a copy out of routing; it is unloaded once requests had time to end elsewhere. */
export function startUnload(context: Context, ledger: Ledger, name: string, reason: string): void {
	const copy = ledger.copies.get(name);
	if (copy?.status !== 'confirmed') {
		return;
	}

	setStatus(context, copy, 'leaving');
	copy.reason = reason;
	copy.retryAtMs = context.nowMs + leaveDelayMs(context, name);
	setLeaving(context, ledger, name, true);
}

function leaveDelayMs({state}: Context, name: string): number {
	const service = state.requests.routes.get(modelRoute(parseName(name).model))?.service;
	return service === undefined || service.samples === 0 ? LEAVE_BOUNDS.minMs : upperLimitMs(service, LEAVE_BOUNDS);
}

/** Whether requests of this instance still run on a copy. */
function isInUse({state}: Context, ledger: Ledger, name: string): boolean {
	const {model} = parseName(name);
	for (const requestId of state.targets.get(ledger.targetId)?.inFlight.keys() ?? []) {
		if (state.requests.open.get(requestId)?.model === model) {
			return true;
		}
	}

	return false;
}

function setLeaving(context: Context, ledger: Ledger, name: string, leaving: boolean): void {
	const {model} = parseName(name);
	const target = context.state.targets.get(ledger.targetId);
	if (leaving) {
		target?.leavingCopies.add(model);
	} else {
		target?.leavingCopies.delete(model);
	}

	publishFact(context, `leaving-copy/${ledger.targetId}/${model}`, {
		kind: 'leaving-copy', targetId: ledger.targetId, model, leaving,
	});
}

export function parseName(name: string): {model: string; version: number} {
	const at = name.lastIndexOf('@');
	return {model: name.slice(0, at), version: Number(name.slice(at + 1))};
}

function setStatus(context: Context, copy: Copy, status: Copy['status']): void {
	copy.status = status;
	copy.statusSinceMs = context.nowMs;
	copy.orderId = undefined;
}

/**
Sends every order of a ledger that is due and may be sent. While the table cannot
be reached and the lease has run out, engines that check fences may still be given
back what they lost: a newer owner's orders shut these out.
*/
export function sendPending(context: Context, ledger: Ledger): void {
	const isFenced = checksFencing(context, ledger.targetId);
	const isValid = holdsLease(context);
	if (!ledger.owned || !(isValid || (isFenced && keepsLease(context)))) {
		return;
	}

	for (const [name, copy] of ledger.copies) {
		if (copy.orderId !== undefined || copy.retryAtMs > context.nowMs) {
			continue;
		}

		const entry = findEntry(ledger.row, parseName(name));
		if (!entry) {
			continue;
		}

		const isLoadable = copy.status === 'ordering' && (isFenced || entry.unansweredEpoch === ledger.row.epoch);
		if (isLoadable && takeLoadToken(context)) {
			sendOrder(context, ledger, copy, 'load-model', entry);
		} else if (isValid && (copy.status === 'leaving' || copy.status === 'unloading') && !isInUse(context, ledger, name)) {
			copy.status = 'unloading';
			sendOrder(context, ledger, copy, 'unload-model', entry);
		}
	}
}

function sendOrder(context: Context, ledger: Ledger, copy: Copy, kind: OrderKind, {model, version, memoryMb}: ModelCopy): void {
	const {state, nowMs} = context;
	const {placement} = state;
	placement.orderCounter++;
	const fence = (ledger.row.epoch * FENCES_PER_EPOCH) + placement.orderCounter;
	const id = `${state.self.id}/${state.self.boot}/${placement.orderCounter}`;
	copy.orderId = id;
	const order = {
		id, kind, model, version, memoryMb, fence,
	};
	placement.orders.set(id, {
		targetId: ledger.targetId,
		order,
		epoch: ledger.row.epoch,
		sentAtMs: nowMs,
		closedEpochs: closedEpochs(context, ledger),
	});
	// Orders to engines that check fences are safe past the lease.
	const leaseEndMs = placement.leases.get(zoneGroup(state.self.zone))?.validUntilMs ?? 0;
	const validUntilMs = checksFencing(context, ledger.targetId) ? Number.MAX_SAFE_INTEGER : leaseEndMs;
	context.effects.push({
		kind: 'order', targetId: ledger.targetId, order, validUntilMs,
	});
	log(context, 'order-sent', {
		orderId: id, kind, model, version, targetId: ledger.targetId, reason: copy.reason,
	});
}

function closedEpochs(context: Context, ledger: Ledger): Set<number> {
	const group = zoneGroup(context.state.self.zone);
	const closed = [...inheritedEpochs(ledger.row)].filter(epoch => epochClosedAtMs(context, group, epoch) !== undefined);
	return new Set(closed);
}

export function handleOrderAnswered(context: Context, event: EventOf<'order-answered'>): void {
	const {placement, self} = context.state;
	const open = placement.orders.get(event.orderId);
	placement.orders.delete(event.orderId);
	closeEpoch(context, zoneGroup(self.zone));
	const ledger = open && placement.ledgers.get(open.targetId);
	if (!open || !ledger || heldEpoch(context) !== open.epoch) {
		return;
	}

	const name = copyName(open.order);
	const copy = ledger.copies.get(name);
	if (copy?.orderId !== event.orderId) {
		return;
	}

	copy.orderId = undefined;
	const answer: Answered = {
		ledger, copy, name, open,
	};
	answerHandlers[open.order.kind][event.outcome](context, answer);
	sendPending(context, ledger);
}

type Answered = {
	readonly ledger: Ledger;
	readonly copy: Copy;
	readonly name: string;
	readonly open: OpenOrder;
};

type AnswerHandler = (context: Context, answered: Answered) => void;

const answerHandlers: Readonly<Record<OrderKind, Readonly<Record<OrderOutcome, AnswerHandler>>>> = {
	'load-model': {
		done(context, answered) {
			const {ledger, copy, open} = answered;
			confirmMove(context, answered);
			setStatus(context, copy, 'confirmed');
			addResidentCopy(context, ledger.targetId, answered.name);
			rewrite(context, ledger, settledRow(context, answered, open.order));
		},
		refused(context, answered) {
			const {ledger, copy, name, open} = answered;
			ledger.refusedUntilMs.set(name, context.nowMs + REFUSED_RETRY_MS);
			setStatus(context, copy, 'unloaded');
			rewrite(context, ledger, withoutEntry(settledRow(context, answered, open.order), open.order));
		},
		'not-sent'(context, {copy}) {
			copy.retryAtMs = context.nowMs + NOT_SENT_RETRY_MS;
		},
		lost(context, answered) {
			noteLost(context, answered);
		},
	},
	'unload-model': {
		done(context, answered) {
			const {ledger, copy, open, name} = answered;
			confirmMove(context, answered);
			setStatus(context, copy, 'unloaded');
			setLeaving(context, ledger, name, false);
			const row = withoutEntry(settledRow(context, answered, open.order), open.order);
			if (findEntry(row, open.order)) {
				log(context, 'entry-pinned', {targetId: ledger.targetId, model: open.order.model, memoryMb: open.order.memoryMb});
			}

			rewrite(context, ledger, row);
		},
		refused(context, {copy}) {
			// The engine still runs requests on the copy.
			copy.retryAtMs = context.nowMs + BUSY_RETRY_MS;
		},
		'not-sent'(context, {copy}) {
			copy.retryAtMs = context.nowMs + NOT_SENT_RETRY_MS;
		},
		lost(context, answered) {
			noteLost(context, answered);
		},
	},
};

function noteLost(context: Context, {ledger, copy, open}: Answered): void {
	copy.unanswered ||= open.order.kind === 'load-model';
	copy.retryAtMs = context.nowMs + LOST_RETRY_MS;
	log(context, 'order-unresolved', {orderId: open.order.id, targetId: ledger.targetId, model: open.order.model});
}

/** The row after the engine answered an order: what can no longer take effect is marked as answered. */
function settledRow(context: Context, {ledger, copy, open}: Answered, order: ModelCopy): LedgerRow {
	if (checksFencing(context, ledger.targetId)) {
		copy.unanswered = false;
		// An engine forgets its fence when it restarts, so only epochs that were over before the order count.
		return withAnswered(withoutEpochs(ledger.row, epoch => open.closedEpochs.has(epoch)), order);
	}

	return copy.unanswered ? ledger.row : withAnswered(ledger.row, order);
}

/** Journals a row that only frees room or doubt. If that fails, the next plan does it. */
function rewrite(context: Context, ledger: Ledger, row: LedgerRow): void {
	if (!ledger.writing) {
		writeRow(context, ledger, row);
	}
}

function confirmMove(context: Context, {ledger, copy, open}: Answered): void {
	const {order} = open;
	log(context, 'order-confirmed', {
		orderId: order.id, kind: order.kind, model: order.model, targetId: ledger.targetId,
	});
	context.effects.push({kind: 'count', metric: 'placement.move', tags: {kind: order.kind}});
	context.state.placement.noteMove({
		atMs: Math.round(context.nowMs + context.state.wallOffsetMs),
		kind: order.kind,
		model: order.model,
		version: order.version,
		targetId: ledger.targetId,
		reason: copy.reason,
	});
}

/** Whether a copy's room could be given to another model after an unload. */
export function isRemovable(ledger: Ledger, name: string): boolean {
	const entry = findEntry(ledger.row, parseName(name));
	return entry !== undefined && isSettled(entry);
}
