/**
Ends requests before their response is complete, because the deadline passed or the
caller left. Work that runs at most once and has been sent to a target is not canceled,
so that its answer can be recorded.
*/
import {count, type Context} from '../context.js';
import {refuse} from './closing.js';
import {cancelTry, currentTry} from './tries.js';
import {type OpenRequest} from './types.js';

/** Ends a request at its deadline. A stream that has started in time continues. */
export function handleDeadline(context: Context, request: OpenRequest): void {
	const attempt = currentTry(request);
	if (request.delivered > 0 || request.phase === 'detached') {
		return;
	}

	if (attempt && request.repeat === 'once') {
		detach(context, request);
		return;
	}

	cancelTry(context, request);
	const code = request.phase === 'claiming' ? 'claim-unavailable' : (request.phase === 'joining' ? 'run-in-progress' : 'target-timeout');
	refuse(context, request, {
		code,
		ran: request.phase === 'joining' ? 'unknown' : request.ran,
		retryAfterMs: 1000,
	});
}

/** Sends the caller a final response while the try continues, so that its answer is recorded. */
function detach(context: Context, request: OpenRequest): void {
	context.effects.push({
		kind: 'refuse', requestId: request.id, code: 'target-timeout', ran: 'unknown',
	});
	count(context, 'request.refused', {code: 'target-timeout'});
	request.phase = 'detached';
}

export function handleCallerLeft(context: Context, requestId: string): void {
	const request = context.state.requests.open.get(requestId);
	if (!request || request.phase === 'detached') {
		return;
	}

	const attempt = currentTry(request);
	if (attempt && request.repeat === 'once') {
		request.callerLeft = true;
		request.phase = 'detached';
		return;
	}

	cancelTry(context, request);
	refuse(context, request, {code: 'target-timeout', ran: request.ran});
}
