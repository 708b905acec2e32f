/**
Quotas of workspaces over all instances together. A request is charged once, when it is
admitted. The lease holder keeps the account (`quota-account.ts`); an instance asks it for
the units of each request, or, while the holder says that there is plenty, uses some at
once and reports them. While the holder does not answer, an instance keeps to what it used
before and soon asks a deputy in its zone; without either, it keeps to half of an equal share.
*/
import {refuse} from './closing.js';
import {enqueue} from './dispatch.js';
import {type EntryEventOf} from './event.js';
import {holdsLease, isLeaseVacant, leaseReturnMs} from './lease.js';
import {
	type AskedQuota, type GrantedQuota, type QuotaAsk, type QuotaLevels,
} from './peer-messages.js';
import {countInstances, liveInstances} from './peers.js';
import {
	answerAsk, deputyAccount, HISTORY_PERIODS, holderAccount,
} from './quota-account.js';
import {unreportedLimit, type QuotaLimit} from './quota-bucket.js';
import {parseLevel, quotaIndex, unitsOf} from './quota-index.js';
import {
	type AllowanceKind, type AskedAccount, type WaitingCharge, type WorkspaceUse,
} from './quota-state.js';
import {
	logEvent, randomFraction, type EntryContext, type Timer,
} from './state.js';
import {resumeStream} from './stream-origins.js';
import {type EntryInstance, type EntryRequest} from './types.js';
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
const MAX_RETRY_SPREAD_MS = 500;
/** Time for which an instance goes on as before without answers. */
const CONTINUE_MS = 8000;
/** The holder may give out again what this instance used this long before it is noticed to be silent. */
const NOTICE_MS = 2500;
/** Share of its equal share of the unused limit that an instance without answers may use besides: the holder may be giving it out to others. */
const UNUSED_SHARE = 0.5;
/** How much older than the holder's last sign of life its word of what is left may be. */
const USED_SHARE_VALID_MS = 2000;
const HALF_SHARE = 0.5;
/** Time without answers of the holder after which a deputy is asked, and of a deputy after which another is. */
const DEPUTY_AFTER_MS = 600;
const DEPUTY_LOST_MS = 400;
/** A lease whose holder has answered within this time is not vacant, though nothing else was heard of it. */
const ANSWERED_MS = 1000;
/** Time after its start from which an instance that knows no other takes itself for the only one. */
const ALONE_AFTER_MS = 3000;
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
	const {quotas} = state;
	const {workspace, arrival} = request;
	const found = workspace && quotaIndex(state).get(workspace.name);
	// The instance that passed a request on has charged it.
	if (!workspace || !found || arrival.relayed) {
		proceed(context, request);
		return;
	}

	const units = unitsOf(arrival, found.quota);
	const use = useOf(context, workspace.name, found.limit);
	quotas.neededAtMs = nowMs;
	chooseAccount(context);
	const asked = askedAccount(context);
	if (isRefusedStill(use, units, nowMs)) {
		refuseByQuota(context, request, {
			units, use, roomInMs: use.refusal!.roomAtMs - nowMs, reason: 'refused a moment ago',
		});
	} else if (asked?.address !== undefined && isOpen(context, asked, use, units)) {
		charge(context, request, use, units);
		planReport(context, use);
		proceed(context, request);
		report(context);
	} else if (asked && asked.unansweredSinceMs === undefined) {
		request.phase = 'charging';
		quotas.waiting.set(request.id, {
			request, workspace: workspace.name, units, askNumber: 0, askAgainAtMs: 0, usableAtMs: undefined,
		});
		state.timers.push({
			atMs: nowMs + ANSWER_TIMEOUT_MS, request, kind: 'quota', tryNumber: 0,
		});
		askIfDue(context);
	} else {
		decideAlone(context, request, use, units);
		askIfDue(context);
	}
}

/** Gives back the units of a request that no target has executed. */
export function refundCharge(context: EntryContext, {charge: charged, mayHaveRun, tries}: EntryRequest): void {
	const {state, nowMs} = context;
	const hasRun = mayHaveRun || tries.some(({outcome}) => outcome !== 'not-sent' && outcome !== 'not-run');
	const use = charged && state.quotas.uses.get(charged.workspace);
	if (use && !hasRun && nowMs - charged.atMs <= MAX_REFUND_AGE_MS) {
		use.window.add(-charged.units, nowMs, nowMs - charged.atMs);
		use.total -= charged.units;
		planReport(context, use);
	}
}

/** Answers the ask of another instance if this one keeps the account. */
export function handleQuotaAsk(context: EntryContext, {ask}: EntryEventOf<'quota-asked'>): void {
	const grant = answerAsk(context, ask);
	if (grant) {
		context.effects.push({kind: 'grant-quota', address: ask.replyTo, grant});
	}
}

export function handleQuotaGrant(context: EntryContext, {grant}: EntryEventOf<'quota-granted'>): void {
	const {state, nowMs} = context;
	const {quotas} = state;
	const ask = quotas.sentAsks.get(grant.grantNumber);
	const account = [quotas.holder, quotas.deputy].find(asked => asked?.name === grant.account);
	if (!ask || !account || ask.account !== grant.account) {
		return;
	}

	quotas.sentAsks.delete(grant.grantNumber);
	noteAnswered(context, account);
	noteLevels(context, {atMs: ask.sentAtMs, account: account.name, told: grant.levels});
	for (const granted of grant.quotas) {
		const use = quotas.uses.get(granted.workspace);
		if (use) {
			if (account === askedAccount(context)) {
				use.confirmed = ask.used.get(granted.workspace) ?? use.confirmed;
			}

			applyGrant(context, use, granted, {account: account.name, charges: ask.charges.get(granted.workspace) ?? []});
		}
	}

	askIfDue(context);
}

/** A granted delay is over, or no answer has come in time. */
export function handleQuotaTimeout(context: EntryContext, {request}: Timer): void {
	const {state, nowMs} = context;
	const {quotas} = state;
	const waiting = quotas.waiting.get(request.id);
	if (waiting?.request !== request || (waiting.usableAtMs ?? 0) > nowMs) {
		return;
	}

	quotas.waiting.delete(request.id);
	const use = quotas.uses.get(waiting.workspace);
	if (request.phase !== 'charging' || state.open.get(request.id) !== request) {
		return;
	}

	if (!use || !quotaIndex(state).has(use.workspace)) {
		proceed(context, waiting.request);
	} else if (waiting.usableAtMs === undefined) {
		const asked = askedAccount(context);
		if (asked && asked.answeredAtMs < waiting.request.arrivedAtMs) {
			asked.unansweredSinceMs ??= waiting.request.arrivedAtMs;
		}

		decideAlone(context, waiting.request, use, waiting.units);
	} else {
		charge(context, waiting.request, use, waiting.units);
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

	const sinceMs = quotas.holder?.unansweredSinceMs;
	if (sinceMs !== undefined && !quotas.isUnansweredLogged && nowMs - sinceMs >= UNANSWERED_LOG_MS) {
		quotas.isUnansweredLogged = true;
		logEvent(context, 'quota-unanswered', {
			holder: state.lease.lastKnown?.holder.id, account: quotas.holder?.name, deputy: quotas.deputy?.name, sinceMs: Math.round(nowMs - sinceMs), isVacant: isLeaseVacant(context), instances: countInstances(state, nowMs),
		});
	}

	chooseAccount(context);
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

function charge({nowMs}: EntryContext, request: EntryRequest, use: WorkspaceUse, units: number): void {
	request.charge = {workspace: use.workspace, units, atMs: nowMs};
	use.window.add(units, nowMs);
	use.lastChargeAtMs = nowMs;
	use.total += units;
}

/** Units that the account does not know of, since they were used without a grant or, if negative, are given back. */
function unreported(use: WorkspaceUse, account: string): number {
	return use.confirmed === undefined ? 0 : ungranted(use, account) - use.confirmed;
}

function ungranted({total, granted}: WorkspaceUse, account: string): number {
	return total - (granted.get(account) ?? 0);
}

/** Has the account told soon of what was used without a grant or given back. */
function planReport(context: EntryContext, use: WorkspaceUse): void {
	const {state, nowMs} = context;
	const asked = askedAccount(context);
	if (asked) {
		const isMuch = unreported(use, asked.name) > unreportedLimit(use.limit, countInstances(state, nowMs)) / 2;
		state.quotas.reportAtMs = Math.min(state.quotas.reportAtMs, asked.askedAtMs + (isMuch ? MIN_ASK_INTERVAL_MS : REPORT_INTERVAL_MS));
	}
}

type QuotaRefusal = {
	readonly units: number;
	readonly use: WorkspaceUse;
	readonly roomInMs: number;
	readonly reason: string;
};

function refuseByQuota(context: EntryContext, request: EntryRequest, {units, use, roomInMs, reason}: QuotaRefusal): void {
	const {state, nowMs} = context;
	const spreadMs = Math.min(MAX_RETRY_SPREAD_MS, roomInMs * RETRY_SPREAD_SHARE) * randomFraction(context);
	const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, roomInMs + spreadMs);
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
		account: askedAccount(context)?.name,
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
			workspace, limit, window: new UsageWindow(limit.windowMs), lastChargeAtMs: nowMs, total: 0, granted: new Map(), confirmed: 0, refusal: undefined, allowance: undefined,
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
function isOpen({state, nowMs}: EntryContext, asked: AskedAccount, use: WorkspaceUse, units: number): boolean {
	const {told} = state.quotas;
	return asked.hasAnswered && told?.account === asked.name && nowMs - told.atMs <= OPEN_VALID_MS && told.levels.get(use.workspace)?.isOpen === true
		&& use.confirmed !== undefined && unreported(use, asked.name) + units <= unreportedLimit(use.limit, countInstances(state, nowMs));
}

/** The account that is asked now. */
function askedAccount({state: {quotas}}: EntryContext): AskedAccount | undefined {
	return quotas.deputy ?? quotas.holder;
}

/** Turns to the account of a new holder, or to a deputy's while the holder does not answer. */
function chooseAccount(context: EntryContext): void {
	const {state, nowMs} = context;
	const {quotas, lease} = state;
	const held = holdsLease(context);
	const epoch = Math.max(held?.epoch ?? 0, lease.lastKnown?.epoch ?? 0);
	if (epoch > quotas.epoch) {
		const isOwn = held?.epoch === epoch;
		quotas.epoch = epoch;
		quotas.holder = createAsked(context, holderAccount(epoch), isOwn ? undefined : lease.lastKnown?.holder.beaconAddress);
		if (!quotas.deputy) {
			beginAsking(context);
		}
	}

	const {deputy} = quotas;
	const isDeputyLost = !deputy || isUnansweredFor(deputy, DEPUTY_LOST_MS, nowMs);
	if (isDeputyLost && isHolderLost(context) && nowMs - quotas.neededAtMs < IDLE_ASK_INTERVAL_MS && knowsOthers(context)) {
		const candidates = deputies(context);
		const chosen = candidates[quotas.deputyTries % candidates.length]!;
		quotas.deputyTries++;
		quotas.deputy = createAsked(context, deputyAccount(chosen), chosen.id === state.self.id ? undefined : chosen.beaconAddress);
		beginAsking(context);
	}
}

/** Whether no holder is expected to answer. */
function isHolderLost(context: EntryContext): boolean {
	const {state: {quotas}, nowMs} = context;
	const {holder} = quotas;
	if (!holder || isUnansweredFor(holder, DEPUTY_AFTER_MS, nowMs)) {
		return true;
	}

	return holder.address === undefined ? !holdsLease(context) : isLeaseVacant(context) && nowMs - quotas.answeredAtMs >= ANSWERED_MS;
}

function isUnansweredFor({unansweredSinceMs}: AskedAccount, durationMs: number, nowMs: number): boolean {
	return unansweredSinceMs !== undefined && nowMs - unansweredSinceMs >= durationMs;
}

function createAsked({state: {quotas}}: EntryContext, name: string, address: string | undefined): AskedAccount {
	return {
		name, address, session: quotas.lastAskNumber, hasAnswered: false, answeredAtMs: Number.NEGATIVE_INFINITY, askedAtMs: Number.NEGATIVE_INFINITY, unansweredSinceMs: undefined,
	};
}

/** An instance that has just started and knows no other would take itself for all of them. */
function knowsOthers({state, nowMs}: EntryContext): boolean {
	return state.peers.size > 0 || nowMs - state.startedAtMs >= ALONE_AFTER_MS;
}

/** The instances of this zone that may keep an account, in an order that all of them agree on. */
function deputies({state, nowMs}: EntryContext): EntryInstance[] {
	return liveInstances(state, nowMs)
		.filter(({zone, id}) => zone === state.self.zone && (id !== state.lease.lastKnown?.holder.id || id === state.self.id))
		.toSorted((a, b) => a.id < b.id ? -1 : 1);
}

/** Starts asking another account: it knows nothing yet of what this instance has used. */
function beginAsking(context: EntryContext): void {
	const {quotas} = context.state;
	for (const use of quotas.uses.values()) {
		use.confirmed = undefined;
		use.refusal = undefined;
		for (const account of use.granted.keys()) {
			if (account !== quotas.holder?.name && account !== quotas.deputy?.name) {
				use.granted.delete(account);
			}
		}
	}

	for (const waiting of quotas.waiting.values()) {
		waiting.askNumber = 0;
		waiting.askAgainAtMs = 0;
	}
}

function noteAnswered(context: EntryContext, account: AskedAccount): void {
	const {state, nowMs} = context;
	const {quotas} = state;
	if (account === quotas.holder) {
		if (quotas.isUnansweredLogged) {
			logEvent(context, 'quota-answered', {account: account.name, afterMs: Math.round(nowMs - (account.unansweredSinceMs ?? nowMs))});
			quotas.isUnansweredLogged = false;
		}

		quotas.answeredAtMs = nowMs;
		if (quotas.deputy) {
			quotas.deputy = undefined;
			quotas.deputyTries = 0;
			beginAsking(context);
		}
	}

	if (!account.hasAnswered || account.unansweredSinceMs !== undefined) {
		for (const use of quotas.uses.values()) {
			use.allowance = undefined;
		}
	}

	account.hasAnswered = true;
	account.answeredAtMs = nowMs;
	account.unansweredSinceMs = undefined;
}

/** Sends a report some time after units were used without a grant, and again while it is not confirmed. */
function report(context: EntryContext): void {
	const {state, nowMs} = context;
	const asked = askedAccount(context);
	if (!asked || nowMs < state.quotas.reportAtMs) {
		return;
	}

	state.quotas.reportAtMs = Number.POSITIVE_INFINITY;
	if ([...state.quotas.uses.values()].some(use => unreported(use, asked.name) !== 0)) {
		ask(context, asked);
	}
}

/** Sends an ask if requests wait that none has named lately, or if an account has not answered yet. */
function askIfDue(context: EntryContext): void {
	const {state, nowMs} = context;
	const {quotas} = state;
	const {holder, deputy} = quotas;
	if (holder && (!holder.hasAnswered || holder.unansweredSinceMs !== undefined || deputy)) {
		// Also tells a holder that is back what was used meanwhile.
		introduce(context, holder);
	}

	const asked = askedAccount(context);
	if (!asked) {
		return;
	}

	if (asked === deputy) {
		introduce(context, deputy);
	}

	const isWaiting = quotas.waiting.size > 0 && (asked.address === undefined || nowMs - asked.askedAtMs >= MIN_ASK_INTERVAL_MS);
	if (asked.hasAnswered && asked.unansweredSinceMs === undefined && isWaiting && [...quotas.waiting.values()].some(waiting => isUnasked(context, waiting))) {
		ask(context, asked);
	}
}

/** Asks an account from time to time, so that it knows that this instance is there. */
function introduce(context: EntryContext, account: AskedAccount): void {
	const {state, nowMs} = context;
	const isNeeded = nowMs - state.quotas.neededAtMs < IDLE_ASK_INTERVAL_MS;
	const isNew = !account.hasAnswered || account.unansweredSinceMs !== undefined;
	if (nowMs - account.askedAtMs >= (isNeeded && isNew ? UNANSWERED_ASK_INTERVAL_MS : (isNeeded ? REPORT_INTERVAL_MS : IDLE_ASK_INTERVAL_MS))) {
		ask(context, account);
	}
}

/** Whether no ask names the request, or the one that does seems to be lost. */
function isUnasked({state, nowMs}: EntryContext, {usableAtMs, askNumber, askAgainAtMs}: WaitingCharge): boolean {
	const sentAtMs = state.quotas.sentAsks.get(askNumber)?.sentAtMs;
	return usableAtMs === undefined && nowMs >= askAgainAtMs && (sentAtMs === undefined || nowMs - sentAtMs >= REPEAT_MS);
}

function ask(context: EntryContext, account: AskedAccount): void {
	const {state, nowMs} = context;
	const {quotas} = state;
	quotas.lastAskNumber++;
	account.askedAtMs = nowMs;
	const askNumber = quotas.lastAskNumber;
	const isForgotten = account.unansweredSinceMs !== undefined && nowMs - account.unansweredSinceMs > FORGOTTEN_MS;
	const isFirst = !account.hasAnswered || isForgotten;
	const isAsked = account === askedAccount(context);
	const charges = isAsked ? chargesToAsk(context, askNumber) : new Map<string, WaitingCharge[]>();
	const used = new Map<string, number>();
	const asked: AskedQuota[] = [];
	for (const use of quotas.uses.values()) {
		const needs = charges.get(use.workspace) ?? [];
		const isConfirmed = isAsked && !isFirst && use.confirmed !== undefined && unreported(use, account.name) === 0;
		if (isConfirmed && needs.length === 0 && isIdle(use, nowMs)) {
			continue;
		}

		used.set(use.workspace, ungranted(use, account.name));
		asked.push({
			workspace: use.workspace,
			needs: needs.map(({units}) => units),
			used: ungranted(use, account.name),
			...(isFirst && {history: use.window.history(nowMs, use.limit.windowMs / HISTORY_PERIODS, HISTORY_PERIODS)}),
		});
	}

	if (isAsked) {
		quotas.reportAtMs = [...quotas.uses.values()].some(use => unreported(use, account.name) !== 0) ? nowMs + REPORT_INTERVAL_MS : Number.POSITIVE_INFINITY;
	}

	quotas.sentAsks.set(askNumber, {
		account: account.name, sentAtMs: nowMs, charges, used,
	});
	for (const [number, {sentAtMs}] of quotas.sentAsks) {
		if (nowMs - sentAtMs > ANSWER_VALID_MS) {
			quotas.sentAsks.delete(number);
		}
	}

	const message: QuotaAsk = {
		askNumber, from: state.self.id, boot: state.self.boot, replyTo: state.self.beaconAddress, account: account.name, session: account.session, upMs: Math.round(nowMs - state.startedAtMs), isFirst, quotas: asked,
	};
	if (account.address !== undefined) {
		context.effects.push({kind: 'ask-quota', address: account.address, ask: message});
		return;
	}

	const grant = answerAsk(context, message);
	if (grant) {
		handleQuotaGrant(context, {
			kind: 'quota-granted', grant, nowMs, wallMs: context.wallMs,
		});
	}
}

function isIdle({lastChargeAtMs, limit}: WorkspaceUse, nowMs: number): boolean {
	return nowMs - lastChargeAtMs >= limit.windowMs + IDLE_USE_MS;
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
export function noteLevels({state}: EntryContext, {atMs, account, told}: {readonly atMs: number; readonly account: string; readonly told: QuotaLevels}): void {
	const {quotas, configuration} = state;
	// Afterwards the index is that of the configuration in force.
	const isSame = quotaIndex(state).size > 0 && told.configurationVersion === configuration?.version;
	if (isSame && atMs > (quotas.told?.atMs ?? Number.NEGATIVE_INFINITY)) {
		quotas.told = {
			atMs, account, levels: new Map(quotas.index.names.flatMap((name, index) => {
				const level = parseLevel(told.levels[index]);
				return level ? [[name, level] as const] : [];
			})),
		};
	}
}

type Granted = {
	readonly account: string;
	/** The requests of the ask, in its order. */
	readonly charges: readonly WaitingCharge[];
};

function applyGrant(context: EntryContext, use: WorkspaceUse, {inMs, roomInMs}: GrantedQuota, {account, charges}: Granted): void {
	const {state, nowMs} = context;
	const {quotas} = state;
	for (const [index, waiting] of charges.entries()) {
		const {request, units} = waiting;
		const isWaiting = quotas.waiting.get(request.id) === waiting && waiting.usableAtMs === undefined && state.open.has(request.id);
		const delayMs = inMs[index];
		if (delayMs !== undefined) {
			use.granted.set(account, (use.granted.get(account) ?? 0) + units);
		}

		if (delayMs !== undefined && !isWaiting) {
			// Units that come too late, or twice, are given back.
			planReport(context, use);
		} else if (delayMs !== undefined && delayMs > 0) {
			waiting.usableAtMs = nowMs + delayMs;
			state.timers.push({
				atMs: nowMs + delayMs, request, kind: 'quota', tryNumber: 0,
			});
		} else if (delayMs !== undefined) {
			quotas.waiting.delete(request.id);
			charge(context, request, use, units);
			proceed(context, request);
		} else if (isWaiting && account !== quotas.holder?.name) {
			// A deputy with few members has no room for what the holder or this instance itself may still admit.
			waiting.askAgainAtMs = nowMs + REPEAT_MS;
		} else if (isWaiting) {
			quotas.waiting.delete(request.id);
			const roomMs = roomInMs ?? 0;
			if (roomMs >= MIN_REFUSAL_MS) {
				use.refusal = {units, untilMs: nowMs + Math.min(roomMs, REFUSAL_VALID_MS), roomAtMs: nowMs + roomMs};
			}

			refuseByQuota(context, request, {
				units, use, roomInMs: roomMs, reason: 'the quota has no room for it now',
			});
		}
	}
}

/** Admits or refuses a request while no holder answers. */
function decideAlone(context: EntryContext, request: EntryRequest, use: WorkspaceUse, units: number): void {
	const {state, nowMs} = context;
	const {quotas} = state;
	const allowance = allowanceOf(context, use);
	const room = allowance.units - use.window.sum(nowMs);
	if (units <= room || isDrawn(context, allowance, room, units)) {
		charge(context, request, use, units);
		planReport(context, use);
		proceed(context, request);
		return;
	}

	const roomInMs = isLeaseVacant(context) ? leaseReturnMs(context) : (use.window.timeUntilLess(units - room, nowMs) ?? use.limit.windowMs);
	refuseByQuota(context, request, {
		units, use, roomInMs, reason: quotas.deputy?.hasAnswered ? 'the holder of the account does not answer, and its deputy has no room' : 'the holder of the account does not answer',
	});
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
	const isTold = told !== undefined && told.account === quotas.holder?.name && (state.lease.lastKnown?.claimedAtMs ?? nowMs) - told.atMs < USED_SHARE_VALID_MS;
	const usedShare = isTold ? told.levels.get(use.workspace)?.usedShare ?? 1 : 1;
	use.allowance = {
		kind,
		units: kind === 'own'
			? use.window.history(nowMs, use.limit.windowMs - NOTICE_MS, 2)[0]! + (equalShare * (1 - usedShare) * UNUSED_SHARE)
			// What ran here before this instance started may have used as much.
			: equalShare * HALF_SHARE * Math.min(1, (nowMs - state.startedAtMs) / use.limit.windowMs),
	};
	return use.allowance;
}
