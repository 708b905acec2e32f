/**
Waiting requests: one that is not expected to be served before its caller gives up is
refused at once, with the time at which it can be served; the others are checked again
while they wait.
*/
import {refuse} from './closing.js';
import {expectedWait, type ExpectedWait} from './expected-wait.js';
import {passOnOrRefuse} from './key-checks.js';
import {queueOf} from './queues.js';
import {canServe} from './selection.js';
import {
	logEvent, openRequest, randomFraction, type EntryContext, type Timer,
} from './state.js';
import {estimatedLoad, unreadTokens} from './target.js';
import {canGoOn, targetsOf} from './targets.js';
import {type EntryRequest} from './types.js';

/** Time after which a request without a known wait is checked again: the lease holder's plan reaches this instance by then. */
const PLAN_NOTICE_MS = 300;
const CHECK_INTERVAL_MS = 250;
/** Share of a request's patience that it may still be expected to wait; the rest is for the response and for errors of the estimate. */
const MAX_WAIT_SHARE = 0.9;
/** A waiting request is refused this share of its patience before the patience ends, so that the caller still gets the response. */
const REFUSAL_MARGIN_SHARE = 0.15;
const MIN_RETRY_AFTER_MS = 200;
/** Retry delays are spread over this share of theirs, so that callers do not all return at once. */
const RETRY_SPREAD_SHARE = 0.3;
/** Callers honour a delay up to this share of the time that they have left. */
const MAX_RETRY_SHARE = 0.33;

/** Refuses a queued request that is known not to be served in time; otherwise sets a timer to check it again. */
export function refuseOrWait(context: EntryContext, request: EntryRequest): void {
	const {state, nowMs} = context;
	if (!canGoOn(context, request)) {
		refuse(context, request, {code: request.mayHaveRun ? 'target-failed' : 'stream-not-resumable', reason: 'release-gone', detail: 'no target of the release that began the stream is left'});
		return;
	}

	const wait = expectedWait(context, request);
	const leftMs = request.patienceEndsAtMs - nowMs;
	const marginMs = Math.min(request.route.patienceMs, request.deadlineAtMs - request.arrivedAtMs) * REFUSAL_MARGIN_SHARE;
	const isNew = nowMs - request.arrivedAtMs < PLAN_NOTICE_MS;
	if (leftMs <= marginMs || (state.mechanisms.has('early-refusal') && wait.waitMs > leftMs * MAX_WAIT_SHARE && (wait.isKnown || !isNew))) {
		refuseWaiting(context, request, wait);
		return;
	}

	state.timers.push({
		atMs: nowMs + Math.min(wait.isKnown ? CHECK_INTERVAL_MS : PLAN_NOTICE_MS, Math.max(1, leftMs - marginMs)), request, kind: 'patience', tryNumber: request.tries.length,
	});
}

export function handlePatience(context: EntryContext, timer: Timer): void {
	const request = openRequest(context, timer);
	if (!request || request.phase === 'running' || request.tries.length !== timer.tryNumber) {
		return;
	}

	if (request.phase === 'queued' && passOnOrRefuse(context, request)) {
		queueOf(context.state, request.queueKey).remove(request);
		return;
	}

	refuseOrWait(context, request);
}

function refuseWaiting(context: EntryContext, request: EntryRequest, {waitMs, returnMs, reason}: ExpectedWait): void {
	const {state, nowMs} = context;
	if (request.mayHaveRun) {
		refuse(context, request, {code: 'target-failed', reason: 'targets-full', detail: 'no other target could take it'});
		return;
	}

	const spreadMs = returnMs * RETRY_SPREAD_SHARE * randomFraction(context);
	const retryAfterMs = Math.min((request.deadlineAtMs - nowMs) * MAX_RETRY_SHARE, Math.max(MIN_RETRY_AFTER_MS, returnMs + spreadMs));
	const targets = targetsOf(state, request.service);
	logEvent(context, 'wait-refused', {
		requestId: request.id,
		model: request.arrival.model,
		reason,
		expectedWaitMs: Math.round(waitMs),
		waitedMs: Math.round(nowMs - request.arrivedAtMs),
		retryAfterMs: Math.round(retryAfterMs),
		queued: queueOf(state, request.queueKey).waiting,
		targets: targets.filter(target => canServe(target, request, nowMs)).map(target => `${target.id}:${estimatedLoad(target, nowMs)}:${unreadTokens(target, nowMs)}`),
		registryAgeMs: Math.round(nowMs - state.registry.freshAtMs),
	});
	refuse(context, request, {code: 'no-target', retryAfterMs, detail: reason});
}
