/**
Sends orders whose ledger entries are written, and applies the engines' answers to
the ledger.
*/
import {logEvent, type Context} from '../context.js';
import {modelRoute} from '../configuration/index.js';
import {type EventOf} from '../event.js';
import {publishFact} from '../peer/facts.js';
import {upperLimitMs} from '../request/estimate.js';
import {addResidentCopy} from '../request/reports.js';
import {checksFencing, writeRow} from './ledger-store.js';
import {
	copyName, findEntry, inheritedEpochs, isSettled, withOrdersAnswered, withLoadEntry, withoutEntry, withoutClosedEpochs, type ModelCopy,
} from './ledger.js';
import {
	publishClosedEpoch, epochClosedAtMs, heldEpoch, holdsLease, isLastKnownHolder, zoneGroup,
} from './lease.js';
import {type Copy, type Ledger, type OpenOrder} from './state.js';
import {takeLoadToken} from './load-limiter.js';
import {type LedgerRow, type OrderKind, type OrderOutcome} from './types.js';

const FENCING_TOKENS_PER_EPOCH = 2 ** 20;
const NOT_SENT_RETRY_MS = 1000;
const LOST_RETRY_MS = 5000;
const BUSY_RETRY_MS = 1000;
const REFUSED_RETRY_MS = 30_000;

/** Maximum number of entries that one write adds; more would reserve memory that the next plan may need for other models. */
const MAX_LOADS_PER_WRITE = 6;

/**
Bounds of the delay between telling peers to stop using a copy and unloading it: long
enough for requests that are on their way and for the observed service time of the
model's requests.
*/
const DRAIN_DELAY_BOUNDS = {minMs: 3000, maxMs: 60_000};

export type WantedLoad = {
	readonly copy: ModelCopy;
	/** For operators who inspect the moves. */
	readonly reason: string;
};

/** Records loads on one target in one write; the orders are sent once the table has confirmed the entries. */
export function startLoads(context: Context, ledger: Ledger, wanted: readonly WantedLoad[]): void {
	const target = context.state.targets.get(ledger.targetId);
	if (!target || !ledger.owned || ledger.writing) {
		return;
	}

	let {row} = ledger;
	for (const {copy, reason} of wanted.slice(0, MAX_LOADS_PER_WRITE)) {
		const next = withLoadEntry(row, copy, target.memoryMb);
		if (!next) {
			continue;
		}

		row = needsRowWrite(context, ledger, copy) ? next : row;
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
		sendDueOrders(context, ledger);
	} else {
		writeRow(context, ledger, row);
	}
}

/** Whether the row must be written before a load order is sent. An existing entry suffices if it is already marked with this epoch or if the engine checks fencing tokens. */
function needsRowWrite(context: Context, ledger: Ledger, copy: ModelCopy): boolean {
	const entry = findEntry(ledger.row, copy);
	return entry === undefined
		|| (entry.unansweredEpoch !== ledger.row.epoch && !checksFencing(context, ledger.targetId));
}

/** Takes a copy out of routing; it is unloaded once requests of other instances have had time to end. */
export function startUnload(context: Context, ledger: Ledger, name: string, reason: string): void {
	const copy = ledger.copies.get(name);
	if (copy?.status !== 'confirmed') {
		return;
	}

	setStatus(context, copy, 'leaving');
	copy.reason = reason;
	copy.retryAtMs = context.nowMs + drainDelayMs(context, name);
	setLeaving(context, ledger, name, true);
}

function drainDelayMs({state}: Context, name: string): number {
	const service = state.requests.routes.get(modelRoute(parseCopyName(name).model))?.service;
	return service === undefined || service.samples === 0 ? DRAIN_DELAY_BOUNDS.minMs : upperLimitMs(service, DRAIN_DELAY_BOUNDS);
}

/** Whether requests of this instance are still running on a copy. */
function hasRunningRequests({state}: Context, ledger: Ledger, name: string): boolean {
	const {model} = parseCopyName(name);
	for (const requestId of state.targets.get(ledger.targetId)?.inFlight.keys() ?? []) {
		if (state.requests.open.get(requestId)?.model === model) {
			return true;
		}
	}

	return false;
}

function setLeaving(context: Context, ledger: Ledger, name: string, leaving: boolean): void {
	const {model} = parseCopyName(name);
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

export function parseCopyName(name: string): {model: string; version: number} {
	const at = name.lastIndexOf('@');
	return {model: name.slice(0, at), version: Number(name.slice(at + 1))};
}

function setStatus(context: Context, copy: Copy, status: Copy['status']): void {
	copy.status = status;
	copy.statusSinceMs = context.nowMs;
	copy.orderId = undefined;
}

/**
Sends every order of a ledger that is due and may be sent. While the table cannot be
reached and the lease has expired, copies that were lost may still be loaded again on
engines that check fencing tokens: a newer owner's orders carry higher tokens, so that
the engine rejects these.
*/
export function sendDueOrders(context: Context, ledger: Ledger): void {
	const isFenced = checksFencing(context, ledger.targetId);
	const isLeaseValid = holdsLease(context);
	if (!ledger.owned || !(isLeaseValid || (isFenced && isLastKnownHolder(context)))) {
		return;
	}

	for (const [name, copy] of ledger.copies) {
		if (copy.orderId !== undefined || copy.retryAtMs > context.nowMs) {
			continue;
		}

		const entry = findEntry(ledger.row, parseCopyName(name));
		if (!entry) {
			continue;
		}

		const isLoadable = copy.status === 'ordering' && (isFenced || entry.unansweredEpoch === ledger.row.epoch);
		if (isLoadable && takeLoadToken(context)) {
			sendOrder(context, ledger, copy, 'load-model', entry);
		} else if (isLeaseValid && (copy.status === 'leaving' || copy.status === 'unloading') && !hasRunningRequests(context, ledger, name)) {
			copy.status = 'unloading';
			sendOrder(context, ledger, copy, 'unload-model', entry);
		}
	}
}

function sendOrder(context: Context, ledger: Ledger, copy: Copy, kind: OrderKind, {model, version, memoryMb}: ModelCopy): void {
	const {state, nowMs} = context;
	const {placement} = state;
	placement.orderCounter++;
	const fence = (ledger.row.epoch * FENCING_TOKENS_PER_EPOCH) + placement.orderCounter;
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
	// Orders to engines that check fencing tokens are safe after the lease has expired.
	const leaseEndMs = placement.leases.get(zoneGroup(state.self.zone))?.validUntilMs ?? 0;
	const validUntilMs = checksFencing(context, ledger.targetId) ? Number.MAX_SAFE_INTEGER : leaseEndMs;
	context.effects.push({
		kind: 'order', targetId: ledger.targetId, order, validUntilMs,
	});
	logEvent(context, 'order-sent', {
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
	publishClosedEpoch(context, zoneGroup(self.zone));
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
	const answer: AnsweredOrder = {
		ledger, copy, name, open,
	};
	answerHandlers[open.order.kind][event.outcome](context, answer);
	sendDueOrders(context, ledger);
}

type AnsweredOrder = {
	readonly ledger: Ledger;
	readonly copy: Copy;
	readonly name: string;
	readonly open: OpenOrder;
};

type AnswerHandler = (context: Context, answered: AnsweredOrder) => void;

const answerHandlers: Readonly<Record<OrderKind, Readonly<Record<OrderOutcome, AnswerHandler>>>> = {
	'load-model': {
		done(context, answered) {
			const {ledger, copy, open} = answered;
			confirmMove(context, answered);
			setStatus(context, copy, 'confirmed');
			addResidentCopy(context, ledger.targetId, answered.name);
			writeRowIfIdle(context, ledger, rowAfterAnswer(context, answered, open.order));
		},
		refused(context, answered) {
			const {ledger, copy, name, open} = answered;
			ledger.refusedUntilMs.set(name, context.nowMs + REFUSED_RETRY_MS);
			setStatus(context, copy, 'unloaded');
			writeRowIfIdle(context, ledger, withoutEntry(rowAfterAnswer(context, answered, open.order), open.order));
		},
		'not-sent'(context, {copy}) {
			copy.retryAtMs = context.nowMs + NOT_SENT_RETRY_MS;
		},
		lost(context, answered) {
			handleLostAnswer(context, answered);
		},
	},
	'unload-model': {
		done(context, answered) {
			const {ledger, copy, open, name} = answered;
			confirmMove(context, answered);
			setStatus(context, copy, 'unloaded');
			setLeaving(context, ledger, name, false);
			const row = withoutEntry(rowAfterAnswer(context, answered, open.order), open.order);
			if (findEntry(row, open.order)) {
				logEvent(context, 'entry-pinned', {targetId: ledger.targetId, model: open.order.model, memoryMb: open.order.memoryMb});
			}

			writeRowIfIdle(context, ledger, row);
		},
		refused(context, {copy}) {
			// The engine is still running requests on the copy.
			copy.retryAtMs = context.nowMs + BUSY_RETRY_MS;
		},
		'not-sent'(context, {copy}) {
			copy.retryAtMs = context.nowMs + NOT_SENT_RETRY_MS;
		},
		lost(context, answered) {
			handleLostAnswer(context, answered);
		},
	},
};

function handleLostAnswer(context: Context, {ledger, copy, open}: AnsweredOrder): void {
	copy.unanswered ||= open.order.kind === 'load-model';
	copy.retryAtMs = context.nowMs + LOST_RETRY_MS;
	logEvent(context, 'order-unresolved', {orderId: open.order.id, targetId: ledger.targetId, model: open.order.model});
}

/** The row after the engine answered an order: orders that can no longer take effect are marked as answered. */
function rowAfterAnswer(context: Context, {ledger, copy, open}: AnsweredOrder, order: ModelCopy): LedgerRow {
	if (checksFencing(context, ledger.targetId)) {
		copy.unanswered = false;
		// An engine forgets its highest fencing token when it restarts, so only epochs that were closed before the order was sent are ruled out.
		return withOrdersAnswered(withoutClosedEpochs(ledger.row, epoch => open.closedEpochs.has(epoch)), order);
	}

	return copy.unanswered ? ledger.row : withOrdersAnswered(ledger.row, order);
}

/** Writes a row that only frees memory or clears doubt, unless a write is in progress. If it is not written, the next placement run does it. */
function writeRowIfIdle(context: Context, ledger: Ledger, row: LedgerRow): void {
	if (!ledger.writing) {
		writeRow(context, ledger, row);
	}
}

function confirmMove(context: Context, {ledger, copy, open}: AnsweredOrder): void {
	const {order} = open;
	logEvent(context, 'order-confirmed', {
		orderId: order.id, kind: order.kind, model: order.model, targetId: ledger.targetId,
	});
	context.effects.push({kind: 'count', metric: 'placement.move', tags: {kind: order.kind}});
	context.state.placement.recordMove({
		atMs: Math.round(context.nowMs + context.state.wallOffsetMs),
		kind: order.kind,
		model: order.model,
		version: order.version,
		targetId: ledger.targetId,
		reason: copy.reason,
	});
}

/** Whether a copy's memory could be given to another model after an unload. */
export function isRemovable(ledger: Ledger, name: string): boolean {
	const entry = findEntry(ledger.row, parseCopyName(name));
	return entry !== undefined && isSettled(entry);
}
