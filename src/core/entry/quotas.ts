/**
Quotas of workspaces over all instances together. A request is charged once, when it is
admitted. The lease holder keeps the account (`quota-account.ts`); an instance asks it for
the units of each request, or, while the holder says that there is plenty, uses some at
once and reports them. While the holder does not answer, an instance keeps to what it used
before, then to half of an equal share.
*/
import {refuse} from './closing.js';
import {enqueue} from './dispatch.js';
import {type EntryEventOf} from './event.js';
import {holdsLease, isLeaseVacant, leaseReturnMs} from './lease.js';
import {
	type AskedQuota, type GrantedQuota, type QuotaAsk, type QuotaLevels,
} from './peer-messages.js';
import {countInstances} from './peers.js';
import {answerAsk, HISTORY_PERIODS} from './quota-account.js';
import {unreportedLimit, type QuotaLimit} from './quota-bucket.js';
import {parseLevel, quotaIndex, unitsOf} from './quota-index.js';
import {
	type AllowanceKind, type WaitingCharge, type WorkspaceUse,
} from './quota-state.js';
import {
	logEvent, randomFraction, type EntryContext, type EntryState, type Timer,
} from './state.js';
import {resumeStream} from './stream-origins.js';
import {type EntryRequest} from './types.js';
import {UsageWindow} from './usage-window.js';

/** Several round trips between zones, and delays of a busy holder. A request waits no longer for an answer. */
const ANSWER_TIMEOUT_MS = 250;
/** Lost asks are repeated in time for the answer to be of use. */
const REPEAT_MS = 120;
const MIN_ASK_INTERVAL_MS = 50;
/** Interval of asks while none is answered. */
const UNANSWERED_ASK_INTERVAL_MS = 250;
/** The same while no request needs an answer: the holder may be of an earlier release, which answers none. */
const IDLE_ASK_INTERVAL_MS = 1000;
/** Interval of reports of what was used without a grant. */
const REPORT_INTERVAL_MS = 400;
/** Age up to which the holder's word that there is plenty counts. */
const OPEN_VALID_MS = 1000;
/** Answers that come later than this are of no use, since the units may be counted in another window. */
const ANSWER_VALID_MS = 500;
/** Requests of one workspace in an ask, so that it fits one datagram. */
const MAX_NEEDS = 24;
/** A refusal counts this long for other requests without a new ask. */
const REFUSAL_VALID_MS = 500;
/** Shorter waits are not worth remembering. */
const MIN_REFUSAL_MS = 200;
const MIN_RETRY_AFTER_MS = 100;
/** Retry delays are spread over this share of theirs, so that callers do not all return at once. */
const RETRY_SPREAD_SHARE = 0.3;
/** Time for which an instance goes on as before without answers. */
const CONTINUE_MS = 8000;
/** The holder may give out again what this instance used this long before it is noticed to be silent. */
const NOTICE_MS = 2500;
/** Share of its equal share of the unused limit that an instance without answers may use besides: the holder may be giving it out to others. */
const UNUSED_SHARE = 0.5;
/** How much older than the holder's last sign of life its word of what is left may be. */
const USED_SHARE_VALID_MS = 2000;
const HALF_SHARE = 0.5;
/** Time without answers after which an instance tells its whole use again. */
const FORGOTTEN_MS = 2000;
const UNANSWERED_LOG_MS = 1000;
/** A charge this old is not given back: it belongs to another part of the window. */
const MAX_REFUND_AGE_MS = 2000;
/** A workspace that was not used for the window and this long is left out of asks. */
const IDLE_USE_MS = 2000;

/** Charges an arrived request to its workspace's quota and goes on with it, makes it wait for units, or refuses it. */
export function admitByQuota(context: EntryContext, request: EntryRequest): void {
	const {state, nowMs} = context;
	const {workspace, arrival} = request;
	const found = workspace && quotaIndex(state).get(workspace.name);
	// The instance that passed a request on has charged it.
	if (!workspace || !found || arrival.relayed) {
		proceed(context, request);
		return;
	}

	const units = unitsOf(arrival, found.quota);
	const use = useOf(context, workspace.name, found.limit);
	state.quotas.neededAtMs = nowMs;
	if (isRefusedStill(use, units, nowMs)) {
		refuseByQuota(context, request, {units, use, roomInMs: use.refusal!.roomAtMs - nowMs, reason: 'refused a moment ago'});
	} else if (!holdsLease(context) && isOpen(context, use, units)) {
		charge(context, request, use, units, true);
		proceed(context, request);
		report(context);
	} else if (canAsk(context)) {
		request.phase = 'charging';
		state.quotas.waiting.set(request.id, {
			request, workspace: workspace.name, units, askNumber: 0, usableAtMs: undefined, grantEpoch: 0,
		});
		state.timers.push({
			atMs: nowMs + ANSWER_TIMEOUT_MS, requestId: request.id, kind: 'quota', tryNumber: 0,
		});
		askIfDue(context);
	} else {
		decideAlone(context, request, use, units);
		askIfDue(context);
	}
}

/** Gives back the units of a request that no target has executed. */
export function refundCharge({state, nowMs}: EntryContext, {charge: charged, mayHaveRun, tries}: EntryRequest): void {
	const hasRun = mayHaveRun || tries.some(({outcome}) => outcome !== 'not-sent' && outcome !== 'not-run');
	const use = charged && state.quotas.uses.get(charged.workspace);
	if (!use || hasRun || nowMs - charged.atMs > MAX_REFUND_AGE_MS) {
		return;
	}

	use.window.add(-charged.units, nowMs, nowMs - charged.atMs);
	addUngranted(state, use, -charged.units, nowMs);
}

/** Answers another instance's ask if this one holds the lease. */
export function handleQuotaAsk(context: EntryContext, {ask}: EntryEventOf<'quota-asked'>): void {
	const held = holdsLease(context);
	const grant = held && answerAsk(context, held, ask);
	if (grant) {
		context.effects.push({kind: 'grant-quota', address: ask.replyTo, grant});
	}
}

export function handleQuotaGrant(context: EntryContext, {grant}: EntryEventOf<'quota-granted'>): void {
	const {state, nowMs} = context;
	const {quotas} = state;
	const ask = quotas.sentAsks.get(grant.grantNumber);
	if (!ask || grant.epoch !== quotas.epoch) {
		return;
	}

	quotas.sentAsks.delete(grant.grantNumber);
	quotas.hasAnswered = true;
	quotas.answeredAtMs = nowMs;
	noteAnswered(context);
	noteLevels(context, {atMs: ask.sentAtMs, epoch: grant.epoch, told: grant.levels});
	for (const granted of grant.quotas) {
		const use = quotas.uses.get(granted.workspace);
		if (use) {
			use.confirmed = ask.used.get(granted.workspace) ?? use.confirmed;
			applyGrant(context, use, granted, ask.charges.get(granted.workspace) ?? []);
		}
	}

	askIfDue(context);
}

/** A granted delay is over, or no answer has come in time. */
export function handleQuotaTimeout(context: EntryContext, {requestId}: Timer): void {
	const {state, nowMs} = context;
	const {quotas} = state;
	const waiting = quotas.waiting.get(requestId);
	if (!waiting || (waiting.usableAtMs ?? 0) > nowMs) {
		return;
	}

	quotas.waiting.delete(requestId);
	const use = quotas.uses.get(waiting.workspace);
	if (waiting.request.phase !== 'charging' || !state.open.has(requestId)) {
		return;
	}

	if (!use || !quotaIndex(state).has(use.workspace)) {
		proceed(context, waiting.request);
	} else if (waiting.usableAtMs === undefined) {
		quotas.unansweredSinceMs ??= waiting.request.arrivedAtMs;
		decideAlone(context, waiting.request, use, waiting.units);
	} else {
		// A holder that has taken over since does not know of the grant.
		charge(context, waiting.request, use, waiting.units, waiting.grantEpoch !== quotas.epoch);
		proceed(context, waiting.request);
	}
}

/** Reports what was used without a grant, asks again where no answer has come, and makes itself known to a new holder. */
export function runQuotas(context: EntryContext): void {
	const {state, nowMs} = context;
	const {quotas} = state;
	if (quotaIndex(state).size === 0) {
		return;
	}

	if (quotas.unansweredSinceMs !== undefined && !quotas.isUnansweredLogged && nowMs - quotas.unansweredSinceMs >= UNANSWERED_LOG_MS) {
		quotas.isUnansweredLogged = true;
		logEvent(context, 'quota-unanswered', {
			holder: state.lease.lastKnown?.holder.id, epoch: quotas.epoch, sinceMs: Math.round(nowMs - quotas.unansweredSinceMs), isVacant: isLeaseVacant(context), instances: countInstances(state, nowMs),
		});
	}

	followHolder(context);
	report(context);
	askIfDue(context);
}

function proceed(context: EntryContext, request: EntryRequest): void {
	if (request.route.isStream && (request.arrival.lastEventId ?? 0) > 0) {
		resumeStream(context, request);
	} else {
		enqueue(context, request);
	}
}

function charge({state, nowMs}: EntryContext, request: EntryRequest, use: WorkspaceUse, units: number, isUngranted: boolean): void {
	request.charge = {workspace: use.workspace, units, atMs: nowMs};
	use.window.add(units, nowMs);
	use.lastChargeAtMs = nowMs;
	if (isUngranted) {
		addUngranted(state, use, units, nowMs);
	}
}

/** Counts units that the holder has to be told of, since they were used without a grant or, if negative, are given back. */
function addUngranted(state: EntryState, use: WorkspaceUse, units: number, nowMs: number): void {
	const {quotas} = state;
	use.used += units;
	const isMuch = use.used - use.confirmed > unreportedLimit(use.limit, countInstances(state, nowMs)) / 2;
	quotas.reportAtMs = Math.min(quotas.reportAtMs, quotas.askedAtMs + (isMuch ? MIN_ASK_INTERVAL_MS : REPORT_INTERVAL_MS));
}

type QuotaRefusal = {
	readonly units: number;
	readonly use: WorkspaceUse;
	readonly roomInMs: number;
	readonly reason: string;
};

function refuseByQuota(context: EntryContext, request: EntryRequest, {units, use, roomInMs, reason}: QuotaRefusal): void {
	const {state, nowMs} = context;
	const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, roomInMs * (1 + (RETRY_SPREAD_SHARE * randomFraction(context))));
	logEvent(context, 'quota-refused', {
		requestId: request.id,
		workspace: use.workspace,
		units,
		reason,
		limitPerWindow: Math.round(use.limit.perWindow),
		usedHere: Math.round(use.window.sum(nowMs)),
		usedShare: state.quotas.told?.levels.get(use.workspace)?.usedShare,
		toldAgoMs: state.quotas.told && Math.round(nowMs - state.quotas.told.atMs),
		holder: state.lease.lastKnown?.holder.id,
		epoch: state.quotas.epoch,
		configurationVersion: state.configuration?.version,
		waitedMs: Math.round(nowMs - request.arrivedAtMs),
		retryAfterMs: Math.round(retryAfterMs),
	});
	refuse(context, request, {code: 'quota-exceeded', retryAfterMs, detail: `${reason}; the request counts as ${units}`});
}

function useOf({state, nowMs}: EntryContext, workspace: string, limit: QuotaLimit): WorkspaceUse {
	const {uses} = state.quotas;
	let use = uses.get(workspace);
	if (!use) {
		use = {
			workspace, limit, window: new UsageWindow(limit.windowMs), lastChargeAtMs: nowMs, used: 0, confirmed: 0, refusal: undefined, allowance: undefined,
		};
		uses.set(workspace, use);
	} else if (use.limit !== limit) {
		if (limit.perWindow < use.limit.perWindow) {
			const factor = limit.perWindow / use.limit.perWindow;
			use.window.scale(factor);
			use.allowance &&= {...use.allowance, units: use.allowance.units * factor};
		} else {
			use.refusal = undefined;
		}

		use.limit = limit;
	}

	return use;
}

function isRefusedStill({refusal}: WorkspaceUse, units: number, nowMs: number): boolean {
	return refusal !== undefined && nowMs < refusal.untilMs && units >= refusal.units;
}

/** Whether the units may be used before they are reported. */
function isOpen({state, nowMs}: EntryContext, {workspace, limit, used, confirmed}: WorkspaceUse, units: number): boolean {
	const {told, epoch, hasAnswered} = state.quotas;
	return told?.epoch === epoch && hasAnswered && nowMs - told.atMs <= OPEN_VALID_MS && told.levels.get(workspace)?.isOpen === true
		&& used - confirmed + units <= unreportedLimit(limit, countInstances(state, nowMs));
}

/** Whether a holder is known and is expected to answer. */
function canAsk(context: EntryContext): boolean {
	followHolder(context);
	const {quotas} = context.state;
	return holdsLease(context) !== undefined || (quotas.epoch > 0 && !isLeaseVacant(context) && quotas.unansweredSinceMs === undefined);
}

/** Turns to the present holder. To a new one, all that was used in the last window is told. */
function followHolder(context: EntryContext): void {
	const {state} = context;
	const {quotas} = state;
	const epoch = holdsLease(context)?.epoch ?? state.lease.lastKnown?.epoch ?? 0;
	if (epoch <= quotas.epoch) {
		return;
	}

	quotas.epoch = epoch;
	quotas.hasAnswered = false;
	quotas.askedAtMs = Number.NEGATIVE_INFINITY;
	quotas.sentAsks.clear();
	for (const use of quotas.uses.values()) {
		// The holder before had its total of what was used.
		if (isIdle(use, context.nowMs)) {
			quotas.uses.delete(use.workspace);
		}

		use.used = 0;
		use.confirmed = 0;
		use.refusal = undefined;
	}

	for (const waiting of quotas.waiting.values()) {
		waiting.askNumber = 0;
	}
}

function noteAnswered(context: EntryContext): void {
	const {quotas} = context.state;
	if (quotas.isUnansweredLogged) {
		logEvent(context, 'quota-answered', {epoch: quotas.epoch, afterMs: Math.round(context.nowMs - (quotas.unansweredSinceMs ?? context.nowMs))});
	}

	if (quotas.unansweredSinceMs !== undefined) {
		for (const use of quotas.uses.values()) {
			use.allowance = undefined;
		}
	}

	quotas.isUnansweredLogged = false;
	quotas.unansweredSinceMs = undefined;
}

/** Sends a report some time after units were used without a grant, and again while it is not confirmed. */
function report(context: EntryContext): void {
	const {state, nowMs} = context;
	const {quotas} = state;
	if (nowMs < quotas.reportAtMs) {
		return;
	}

	quotas.reportAtMs = Number.POSITIVE_INFINITY;
	if ([...quotas.uses.values()].some(use => isUnconfirmed(use))) {
		ask(context);
	}
}

/** Sends an ask if requests wait that none has named lately, or if the holder does not know this instance yet. */
function askIfDue(context: EntryContext): void {
	const {state, nowMs} = context;
	const {quotas} = state;
	if (quotas.epoch === 0) {
		return;
	}

	const sinceMs = nowMs - quotas.askedAtMs;
	const isIntroduction = !quotas.hasAnswered || quotas.unansweredSinceMs !== undefined;
	if (isIntroduction) {
		if (sinceMs >= (nowMs - quotas.neededAtMs < IDLE_ASK_INTERVAL_MS ? UNANSWERED_ASK_INTERVAL_MS : IDLE_ASK_INTERVAL_MS)) {
			ask(context);
		}

		return;
	}

	const isHolder = holdsLease(context) !== undefined;
	if (quotas.waiting.size > 0 && (isHolder || sinceMs >= MIN_ASK_INTERVAL_MS) && [...quotas.waiting.values()].some(waiting => isUnasked(context, waiting))) {
		ask(context);
	}
}

/** Whether no ask names the request, or the one that does seems to be lost. */
function isUnasked({state, nowMs}: EntryContext, {usableAtMs, askNumber}: WaitingCharge): boolean {
	const sentAtMs = state.quotas.sentAsks.get(askNumber)?.sentAtMs;
	return usableAtMs === undefined && (sentAtMs === undefined || nowMs - sentAtMs >= REPEAT_MS);
}

function ask(context: EntryContext): void {
	const {state, nowMs} = context;
	const {quotas} = state;
	const held = holdsLease(context);
	const address = state.lease.lastKnown?.holder.beaconAddress;
	if (!held && (address === undefined || quotas.epoch !== state.lease.lastKnown?.epoch)) {
		return;
	}

	quotas.lastAskNumber++;
	quotas.askedAtMs = nowMs;
	const askNumber = quotas.lastAskNumber;
	const isForgotten = quotas.unansweredSinceMs !== undefined && nowMs - quotas.unansweredSinceMs > FORGOTTEN_MS;
	const isFirst = !quotas.hasAnswered || isForgotten;
	const charges = chargesToAsk(context, askNumber);
	const used = new Map<string, number>();
	const asked: AskedQuota[] = [];
	for (const use of quotas.uses.values()) {
		const needs = charges.get(use.workspace) ?? [];
		if (needs.length === 0 && isIdle(use, nowMs) && !isUnconfirmed(use)) {
			continue;
		}

		used.set(use.workspace, use.used);
		asked.push({
			workspace: use.workspace,
			needs: needs.map(({units}) => units),
			used: use.used,
			...(isFirst && {history: use.window.history(nowMs, use.limit.windowMs / HISTORY_PERIODS, HISTORY_PERIODS)}),
		});
	}

	quotas.reportAtMs = asked.some(({workspace}) => isUnconfirmed(quotas.uses.get(workspace))) ? nowMs + REPORT_INTERVAL_MS : Number.POSITIVE_INFINITY;
	quotas.sentAsks.set(askNumber, {sentAtMs: nowMs, charges, used});
	for (const [number, {sentAtMs}] of quotas.sentAsks) {
		if (nowMs - sentAtMs > ANSWER_VALID_MS) {
			quotas.sentAsks.delete(number);
		}
	}

	const message: QuotaAsk = {
		askNumber, from: state.self.id, boot: state.self.boot, replyTo: state.self.beaconAddress, epoch: quotas.epoch, upMs: Math.round(nowMs - state.startedAtMs), isFirst, quotas: asked,
	};
	if (held) {
		const grant = answerAsk(context, held, message);
		if (grant) {
			handleQuotaGrant(context, {
				kind: 'quota-granted', grant, nowMs, wallMs: context.wallMs,
			});
		}
	} else {
		context.effects.push({kind: 'ask-quota', address: address!, ask: message});
	}
}

function isIdle({lastChargeAtMs, limit}: WorkspaceUse, nowMs: number): boolean {
	return nowMs - lastChargeAtMs >= limit.windowMs + IDLE_USE_MS;
}

function isUnconfirmed(use: WorkspaceUse | undefined): boolean {
	return use !== undefined && use.used !== use.confirmed;
}

/** The waiting requests that an ask names, by workspace. */
function chargesToAsk(context: EntryContext, askNumber: number): Map<string, WaitingCharge[]> {
	const {state} = context;
	const charges = new Map<string, WaitingCharge[]>();
	for (const [requestId, waiting] of state.quotas.waiting) {
		if (!state.open.has(requestId)) {
			state.quotas.waiting.delete(requestId);
			continue;
		}

		const list = charges.get(waiting.workspace) ?? [];
		if (list.length < MAX_NEEDS && isUnasked(context, waiting)) {
			waiting.askNumber = askNumber;
			list.push(waiting);
			charges.set(waiting.workspace, list);
		}
	}

	return charges;
}

/** The holder has said, at this time or later, how much of each quota is used. */
export function noteLevels({state}: EntryContext, {atMs, epoch, told}: {readonly atMs: number; readonly epoch: number; readonly told: QuotaLevels}): void {
	const {quotas, configuration} = state;
	// Afterwards the index is that of the configuration in force.
	const isSame = quotaIndex(state).size > 0 && told.configurationVersion === configuration?.version;
	if (isSame && atMs > (quotas.told?.atMs ?? Number.NEGATIVE_INFINITY)) {
		quotas.told = {atMs, epoch, levels: new Map(quotas.index.names.flatMap((name, index) => {
			const level = parseLevel(told.levels[index]);
			return level ? [[name, level] as const] : [];
		}))};
	}
}

function applyGrant(context: EntryContext, use: WorkspaceUse, {inMs, roomInMs}: GrantedQuota, charges: readonly WaitingCharge[]): void {
	const {state, nowMs} = context;
	const {quotas} = state;
	for (const [index, waiting] of charges.entries()) {
		const {request, units} = waiting;
		const isWaiting = quotas.waiting.get(request.id) === waiting && waiting.usableAtMs === undefined && state.open.has(request.id);
		const delayMs = inMs[index];
		if (delayMs !== undefined && !isWaiting) {
			// Units that come too late, or twice.
			addUngranted(state, use, -units, nowMs);
		} else if (delayMs !== undefined && delayMs > 0) {
			waiting.usableAtMs = nowMs + delayMs;
			waiting.grantEpoch = quotas.epoch;
			state.timers.push({
				atMs: nowMs + delayMs, requestId: request.id, kind: 'quota', tryNumber: 0,
			});
		} else if (delayMs !== undefined) {
			quotas.waiting.delete(request.id);
			charge(context, request, use, units, false);
			proceed(context, request);
		} else if (isWaiting) {
			quotas.waiting.delete(request.id);
			const roomMs = roomInMs ?? 0;
			if (roomMs >= MIN_REFUSAL_MS) {
				use.refusal = {units, untilMs: nowMs + Math.min(roomMs, REFUSAL_VALID_MS), roomAtMs: nowMs + roomMs};
			}

			refuseByQuota(context, request, {units, use, roomInMs: roomMs, reason: 'the quota has no room for it now'});
		}
	}
}

/** Admits or refuses a request while no holder answers. */
function decideAlone(context: EntryContext, request: EntryRequest, use: WorkspaceUse, units: number): void {
	const {state, nowMs} = context;
	state.quotas.unansweredSinceMs ??= nowMs;
	const allowance = allowanceOf(context, use);
	const room = allowance.units - use.window.sum(nowMs);
	if (units <= room || isDrawn(context, allowance, room, units)) {
		charge(context, request, use, units, true);
		proceed(context, request);
		return;
	}

	const roomInMs = isLeaseVacant(context) ? leaseReturnMs(context) : (use.window.timeUntilLess(units - room, nowMs) ?? use.limit.windowMs);
	refuseByQuota(context, request, {units, use, roomInMs, reason: 'the instance that keeps the account does not answer'});
}

/** A request that is larger than what is left is admitted in proportion to that, so that small shares of many instances are of use. What was left is gone either way. */
function isDrawn(context: EntryContext, allowance: NonNullable<WorkspaceUse['allowance']>, room: number, units: number): boolean {
	if (room <= 0) {
		return false;
	}

	const isAdmitted = randomFraction(context) < room / units;
	if (!isAdmitted) {
		allowance.units -= room;
	}

	return isAdmitted;
}

function allowanceOf(context: EntryContext, use: WorkspaceUse): NonNullable<WorkspaceUse['allowance']> {
	const {state, nowMs} = context;
	const {quotas} = state;
	const {told} = quotas;
	const kind: AllowanceKind = nowMs - Math.max(quotas.answeredAtMs, told?.atMs ?? Number.NEGATIVE_INFINITY) < CONTINUE_MS ? 'own' : 'share';
	if (use.allowance?.kind === kind) {
		return use.allowance;
	}

	const equalShare = use.limit.perWindow / countInstances(state, nowMs);
	const usedShare = told && (state.lease.lastKnown?.claimedAtMs ?? nowMs) - told.atMs < USED_SHARE_VALID_MS ? told.levels.get(use.workspace)?.usedShare ?? 1 : 1;
	use.allowance = {
		kind,
		units: kind === 'own'
			? use.window.history(nowMs, use.limit.windowMs - NOTICE_MS, 2)[0]! + (equalShare * (1 - usedShare) * UNUSED_SHARE)
			// What ran here before this instance started may have used as much.
			: equalShare * HALF_SHARE * Math.min(1, (nowMs - state.startedAtMs) / use.limit.windowMs),
	};
	return use.allowance;
}
