/**
Detects silent connections. A try counts as silent if nothing arrived for longer than is
usual for its target; a probe on a new connection then distinguishes a connection
failure from a target failure.
*/
import {logEvent, type Context} from '../context.js';
import {upperLimitMs} from './estimate.js';
import {estimatedLoad, type Target} from './target.js';
import {currentTry, handleFailed, wouldBeRetried} from './tries.js';
import {type OpenRequest, type Try} from './types.js';

/** Bounds of the time without progress after which a try counts as silent: before the first event of a stream, before any other response is complete or begins to be forwarded, and between two chunks. */
const FIRST_BYTE_BOUNDS = {minMs: 2000, maxMs: 15_000};
const COMPLETE_RESPONSE_BOUNDS = {minMs: 5000, maxMs: 60_000};
const GAP_BOUNDS = {minMs: 3000, maxMs: 10_000};
/** A silent try that may not be retried is checked again after this time. */
const SILENCE_CHECK_MS = 1000;

/** Checks a try for silence when its timer fires; probes the target if it is silent, else sets the timer again. */
export function handleSilence(context: Context, requestId: string, tryNumber: number): void {
	const request = context.state.requests.open.get(requestId);
	const attempt = request && currentTry(request);
	if (!request || attempt?.number !== tryNumber) {
		return;
	}

	const target = context.state.targets.get(attempt.targetId);
	if (!target) {
		return;
	}

	const dueMs = attempt.progressAtMs + silenceLimitMs(context, request, target, attempt);
	if (dueMs > context.nowMs) {
		context.state.timers.set(dueMs, {kind: 'silence', requestId, tryNumber});
		return;
	}

	attempt.probing = true;
	if (!target.probing) {
		target.probing = true;
		context.effects.push({kind: 'probe', targetId: target.id});
	}
}

/**
Resolves the silent tries of a target once its probe has a result. Idempotent work is
retried on a new connection where a retry is allowed; other work stays with its try.
*/
export function resolveSilentTries(context: Context, target: Target, reachable: boolean): void {
	for (const [requestId, tryNumber] of target.inFlight) {
		const request = context.state.requests.open.get(requestId);
		const attempt = request && currentTry(request);
		if (!request || attempt?.number !== tryNumber || !attempt.probing) {
			continue;
		}

		attempt.probing = false;
		if (request.repeat === 'once') {
			continue;
		}

		if (reachable && !wouldBeRetried(context, request)) {
			// The target may be sound and go on, and no other one may be tried.
			context.state.timers.set(context.nowMs + SILENCE_CHECK_MS, {kind: 'silence', requestId, tryNumber});
			continue;
		}

		logEvent(context, 'connection-silent', {requestId, targetId: target.id, reachable});
		context.effects.push({kind: 'cancel-try', requestId, tryNumber});
		handleFailed(context, {
			kind: 'try-failed',
			nowMs: context.nowMs,
			requestId,
			tryNumber,
			failure: 'silent',
			delivered: request.delivered,
		});
	}
}

/** Time in milliseconds without progress after which a try counts as silent. */
export function silenceLimitMs({state}: Context, request: OpenRequest, target: Target, attempt: Try): number {
	if (attempt.firstByteAtMs !== undefined) {
		return upperLimitMs(target.gap, GAP_BOUNDS);
	}

	const limitMs = request.stream
		? upperLimitMs(target.firstByte, FIRST_BYTE_BOUNDS)
		: upperLimitMs(state.requests.route(request.route).service, COMPLETE_RESPONSE_BOUNDS);
	// A request in the engine's own queue produces nothing either, so the limit grows with the load per slot.
	return limitMs * Math.max(1, estimatedLoad(target) / target.slots);
}
