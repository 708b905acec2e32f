/**
Keeps to the rates that targets name over all instances together. The lease holder
spreads permits over time at the named rate; an instance sends a request to a limited
target only with one. While no holder answers, each instance keeps to an equal share.
*/
import {dispatchTarget} from './dispatch.js';
import {type EntryEventOf} from './event.js';
import {holdsLease, isLeaseVacant} from './lease.js';
import {type PermitGrant, type PermitPurpose, type PermitRequest} from './peer-messages.js';
import {countInstances} from './peers.js';
import {adoptRateLimit} from './rate-limit.js';
import {randomFraction, type EntryContext} from './state.js';
import {isLimited, type PermitPool, type Target} from './target.js';

/** Several round trips between zones, and delays of a busy holder. */
const ANSWER_TIMEOUT_MS = 250;
/** A permit that is not used this long after its time expires. */
const PERMIT_VALID_MS = 500;
/** How far ahead permits are given out. */
const maxAheadMs: Readonly<Record<PermitPurpose, number>> = {needed: 1000, spare: 0};
/** Time for which permits that nobody asked for can be given out later, at once. */
const BURST_MS = 500;
const MIN_ASK_INTERVAL_MS = 100;
/** Permits that an instance asks for at once, so that a backlog at one does not take those of all. */
const MAX_WANTED = 8;
/** A target that names less could never show in a response that it takes requests again. */
const MIN_PER_SECOND = 0.2;

/** Whether a request may be sent to the target now, as far as its rate limit goes. */
export function maySend(target: Target, nowMs: number): boolean {
	return !isLimited(target) || hasUsablePermit(target.permits, nowMs);
}

/** Uses up the permit for a request that is sent now. */
export function takePermit(target: Target, nowMs: number): void {
	if (isLimited(target) && hasUsablePermit(target.permits, nowMs)) {
		target.permits.usableFromMs.shift();
	}
}

/** Whether asking for a permit is of use now: none is at hand or on its way. */
export function canAskForPermit({permits}: Target, nowMs: number): boolean {
	dropExpired(permits, nowMs);
	const isPending = permits.askedAtMs !== undefined && nowMs - permits.askedAtMs < ANSWER_TIMEOUT_MS;
	return permits.usableFromMs.length === 0 && !isPending && nowMs >= permits.askAgainAtMs;
}

/** Expected time until this instance may send the target one more request. */
export function permitWaitMs({permits}: Target, nowMs: number): number {
	return Math.max(0, (permits.usableFromMs[0] ?? permits.freeAtMs) - nowMs);
}

export type PermitDemand = {
	/** Number of requests that would use one. */
	readonly requests: number;
	readonly purpose: PermitPurpose;
};

/** Obtains permits. Returns whether one may be used at once. */
export function askForPermits(context: EntryContext, target: Target, {requests, purpose}: PermitDemand): boolean {
	const {state, nowMs} = context;
	const {permits, rateLimit} = target;
	if (!isLimited(target) || !canAskForPermit(target, nowMs)) {
		return false;
	}

	const wanted = Math.min(MAX_WANTED, requests);
	if (holdsLease(context)) {
		addGrant(context, target, grant(context, target, {wanted, purpose}));
		return hasUsablePermit(permits, nowMs);
	}

	const holder = state.lease.lastKnown?.holder;
	const isUnanswered = permits.askedAtMs !== undefined;
	permits.askedAtMs = undefined;
	if (holder === undefined || isLeaseVacant(context) || isUnanswered) {
		takeShare(context, target);
	}

	if (holder !== undefined && !isLeaseVacant(context)) {
		permits.askedAtMs = nowMs;
		context.effects.push({
			kind: 'ask-permits',
			address: holder.beaconAddress,
			request: {
				from: state.self.id,
				replyTo: state.self.beaconAddress,
				targetId: target.id,
				incarnation: target.entry.incarnation,
				wanted,
				purpose,
				perSecond: rateLimit!.perSecond!,
				statedAgoMs: nowMs - rateLimit!.statedAtMs,
			},
		});
	}

	return hasUsablePermit(permits, nowMs);
}

/** Only the lease holder answers; the sender keeps to its share otherwise. */
export function handlePermitRequest(context: EntryContext, {request}: EntryEventOf<'permits-requested'>): void {
	const {state, nowMs} = context;
	const target = state.targets.get(request.targetId);
	if (target?.entry.incarnation !== request.incarnation) {
		return;
	}

	adoptRateLimit(context, target, {perSecond: request.perSecond, statedAtMs: nowMs - request.statedAgoMs});
	if (holdsLease(context) && isLimited(target)) {
		context.effects.push({kind: 'grant-permits', address: request.replyTo, grant: grant(context, target, request)});
	}
}

export function handlePermitGrant(context: EntryContext, {grant: received}: EntryEventOf<'permits-granted'>): void {
	const target = context.state.targets.get(received.targetId);
	if (target) {
		addGrant(context, target, received);
		dispatchTarget(context, target);
	}
}

/** Gives out the next permits of a target, which are due at intervals of its rate. */
function grant({state, nowMs}: EntryContext, target: Target, {wanted, purpose}: Pick<PermitRequest, 'wanted' | 'purpose'>): PermitGrant {
	const {permitsDueMs} = state.orderTracker;
	const intervalMs = 1000 / ratePerSecond(target);
	let dueMs = Math.max(permitsDueMs.get(target.id) ?? nowMs, nowMs - BURST_MS);
	const inMs: number[] = [];
	while (inMs.length < wanted && dueMs - nowMs <= maxAheadMs[purpose]) {
		inMs.push(Math.max(0, Math.round(dueMs - nowMs)));
		dueMs += intervalMs;
	}

	permitsDueMs.set(target.id, dueMs);
	return {targetId: target.id, inMs, freeInMs: Math.max(0, Math.round(dueMs - nowMs))};
}

function addGrant({nowMs}: EntryContext, {permits}: Target, {inMs, freeInMs}: PermitGrant): void {
	permits.askedAtMs = undefined;
	permits.usableFromMs.push(...inMs.map(delayMs => nowMs + delayMs));
	permits.usableFromMs.sort((a, b) => a - b);
	permits.freeAtMs = nowMs + freeInMs;
	permits.askAgainAtMs = nowMs + Math.max(MIN_ASK_INTERVAL_MS, freeInMs - maxAheadMs.needed);
}

/** Adds a permit when this instance's equal share of the limit has one. */
function takeShare(context: EntryContext, target: Target): void {
	const {state, nowMs} = context;
	const {permits} = target;
	const intervalMs = 1000 * countInstances(state, nowMs) / ratePerSecond(target);
	// Instances that lose the holder at the same moment do not all begin at once.
	permits.shareDueMs ??= nowMs + (intervalMs * randomFraction(context));
	permits.freeAtMs = permits.shareDueMs;
	if (nowMs >= permits.shareDueMs) {
		permits.usableFromMs.push(nowMs);
		permits.shareDueMs = nowMs + intervalMs;
	}
}

function ratePerSecond({rateLimit}: Target): number {
	return Math.max(MIN_PER_SECOND, rateLimit?.perSecond ?? 0);
}

function hasUsablePermit(permits: PermitPool, nowMs: number): boolean {
	dropExpired(permits, nowMs);
	return (permits.usableFromMs[0] ?? Number.POSITIVE_INFINITY) <= nowMs;
}

function dropExpired({usableFromMs}: PermitPool, nowMs: number): void {
	while (usableFromMs.length > 0 && nowMs - usableFromMs[0]! > PERMIT_VALID_MS) {
		usableFromMs.shift();
	}
}
