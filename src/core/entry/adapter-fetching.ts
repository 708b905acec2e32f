/**
Fetching of adapters: requests wait until their adapter is loaded on a target. The
lease holder orders the load; all requests of this instance for the same adapter on
the same target share one fetch.
*/
import {holdsLease} from './lease.js';
import {requestAdapter} from './orders.js';
import {type EntryContext} from './state.js';
import {type Target} from './target.js';
import {type EntryRequest} from './types.js';

/** After this time without a response, which may have been lost, the next request sends the fetch again. */
const RESEND_AFTER_MS = 600;

export function fetchAdapter(context: EntryContext, request: EntryRequest, target: Target): void {
	const {state, nowMs} = context;
	const {model, adapter} = request.arrival;
	const key = `${target.id} ${model}/${adapter}`;
	const known = state.adapterFetches.get(key);
	request.phase = 'fetching';
	if (known) {
		known.requests.add(request.id);
		if (nowMs - known.sinceMs < RESEND_AFTER_MS) {
			return;
		}

		known.sinceMs = nowMs;
	} else {
		state.adapterFetches.set(key, {sinceMs: nowMs, requests: new Set([request.id])});
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
