/**
Connections that went silent. A try is quiet when nothing came for longer than its
target has shown; then a probe on a new connection tells the connection at fault
from the target at fault.
*/
import {log, type Context} from '../context.js';
import {upperLimitMs} from './estimate.js';
import {estimatedLoad, type Target} from './target.js';
import {currentTry, handleFailed} from './tries.js';
import {type OpenRequest, type Try} from './types.js';

const FIRST_BYTE_LIMIT = {minMs: 2000, maxMs: 15_000};
const WHOLE_ANSWER_LIMIT = {minMs: 5000, maxMs: 60_000};
const GAP_LIMIT = {minMs: 3000, maxMs: 10_000};

/** A try was quiet for longer than its target has shown: asks on a new connection who is at fault. */
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
The probe answered for a target with quiet tries. Idempotent work is tried again
on a new connection. Work that runs at most once stays with its try.
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

		log(context, 'connection-silent', {requestId, targetId: target.id, reachable});
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

export function silenceLimitMs({state}: Context, request: OpenRequest, target: Target, attempt: Try): number {
	if (attempt.firstByteAtMs !== undefined) {
		return upperLimitMs(target.gap, GAP_LIMIT);
	}

	const limitMs = request.stream
		? upperLimitMs(target.firstByte, FIRST_BYTE_LIMIT)
		: upperLimitMs(state.requests.route(request.route).service, WHOLE_ANSWER_LIMIT);
	// A request that waits in the engine's own queue is quiet too, for as many rounds as there are before it.
	return limitMs * Math.max(1, estimatedLoad(target) / target.slots);
}
