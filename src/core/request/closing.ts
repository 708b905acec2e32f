/**
Closes requests: sends the caller the final response and removes the request from the
open ones.
*/
import {count, logEvent, type Context} from '../context.js';
import {type ExecutionStatus, type ResultName} from '../result-codes.js';
import {releaseClaim, settleUnknown} from './settlements.js';
import {type ClosedRequest, type OpenRequest, type RecordedAnswer} from './types.js';

export type RefusalOptions = {
	readonly code: ResultName;
	readonly retryAfterMs?: number;
	readonly detail?: string;
	readonly ran?: ExecutionStatus;
};

/**
Sends the caller an error response and closes the request. If nothing can have run, the
claim is released so that a repetition may run; otherwise it is settled as unknown. A
request that only joined a claim leaves it alone.
*/
export function refuse(context: Context, request: OpenRequest, options: RefusalOptions): void {
	const ran = options.ran ?? request.ran;
	context.effects.push({
		kind: 'refuse',
		requestId: request.id,
		code: options.code,
		ran,
		retryAfterMs: options.retryAfterMs,
		detail: options.detail,
	});
	logEvent(context, 'request-refused', {requestId: request.id, code: options.code, ran});
	count(context, 'request.refused', {code: options.code});
	const wasJoining = request.phase === 'joining';
	close(context, request, options.code, ran);
	if (request.claim && !wasJoining) {
		if (ran === 'no') {
			releaseClaim(context, request);
		} else {
			settleUnknown(context, request);
		}
	}
}

/** Sends the caller the recorded answer of an earlier run. */
export function replay(context: Context, request: OpenRequest, answer: RecordedAnswer): void {
	context.effects.push({kind: 'replay', requestId: request.id, answer});
	close(context, request, 'replayed', 'yes');
}

/** Removes a request whose caller has its final response or has left, and keeps a summary in `closed`. */
export function close(context: Context, request: OpenRequest, outcome: ClosedRequest['outcome'], ran: ExecutionStatus): void {
	const {requests} = context.state;
	const wasQueued = request.phase === 'queued';
	request.phase = 'detached';
	if (wasQueued) {
		requests.route(request.route).queue.remove(request);
	}

	requests.open.delete(request.id);
	const key = request.claim?.key;
	if (key !== undefined) {
		requests.localClaims.get(key)?.joiners.delete(request.id);
	}

	count(context, 'request.closed', {outcome, priority: request.priority});
	requests.closed.set(request.id, {
		id: request.id,
		route: request.route,
		caller: request.caller,
		priority: request.priority,
		arrivedAtMs: request.arrivedAtMs,
		closedAtMs: context.nowMs,
		outcome,
		ran,
		tries: request.tries,
	});
}
