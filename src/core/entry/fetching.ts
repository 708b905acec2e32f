/**
Requests that wait for their adapter to be brought to a target. The lease holder
orders it; all requests of this instance for one adapter at one target share one
question.
*/
import {holdsLease} from './lease.js';
import {requestAdapter} from './orders.js';
import {type EntryContext} from './state.js';
import {type Target} from './target.js';
import {type EntryRequest} from './types.js';

/** A question whose answer was lost is asked again. */
const ASK_AGAIN_MS = 600;

export function fetchAdapter(context: EntryContext, request: EntryRequest, target: Target): void {
	const {state, nowMs} = context;
	const {model, adapter} = request.arrival;
	const key = `${target.id} ${model}/${adapter}`;
	const known = state.fetching.get(key);
	request.phase = 'fetching';
	if (known) {
		known.requests.add(request.id);
		if (nowMs - known.sinceMs < ASK_AGAIN_MS) {
			return;
		}

		known.sinceMs = nowMs;
	} else {
		state.fetching.set(key, {sinceMs: nowMs, requests: new Set([request.id])});
	}

	if (model === undefined || adapter === undefined) {
		return;
	}

	if (holdsLease(context)) {
		requestAdapter(context, {
			targetId: target.id, model, adapter, callId: undefined,
		});
		return;
	}

	const holder = state.lease.lastKnown?.holder;
	if (holder) {
		context.effects.push({
			kind: 'ask-adapter', holder, targetId: target.id, model, adapter,
		});
	}
}
