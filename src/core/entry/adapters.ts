/**
Results of adapter fetches: requests that wait for an adapter are sent on once it is
loaded on their target, and retried or refused when the fetch failed.
*/
import {refuse} from './closing.js';
import {enqueue} from './dispatch.js';
import {type EntryEventOf} from './event.js';
import {requestAdapter} from './orders.js';
import {logEvent, type EntryContext} from './state.js';

/** Failed fetches of one request beyond which the caller gets a Retry-After response. */
const MAX_FAILED_FETCHES = 2;
const RETRY_AFTER_MS = 500;
/** A fetch that got no response within this time counts as failed. */
const FETCH_TIMEOUT_MS = 1200;
/** Two beacon intervals, so that peers do not fetch the same adapter again. */
const ANNOUNCE_MS = 700;

export function handleAdapterRequested(context: EntryContext, event: EntryEventOf<'adapter-requested'>): void {
	requestAdapter(context, event);
}

export function handleAdapterResolved(context: EntryContext, event: EntryEventOf<'adapter-resolved'>): void {
	const {state} = context;
	const key = `${event.targetId} ${event.name}`;
	const waiting = state.adapterFetches.get(key);
	state.adapterFetches.delete(key);
	const target = state.targets.get(event.targetId);
	if (event.isHeld && target) {
		const sequence = Math.max(event.sequence, target.entry.sequence);
		target.adapters.set(event.name, sequence);
		state.adaptersToAnnounce.set(key, {adapter: {targetId: event.targetId, name: event.name, sequence}, untilMs: context.nowMs + ANNOUNCE_MS});
	}

	for (const requestId of waiting?.requests ?? []) {
		const request = state.open.get(requestId);
		if (request?.phase !== 'fetching') {
			continue;
		}

		if (!event.isHeld) {
			request.declined++;
		}

		if (request.declined > MAX_FAILED_FETCHES) {
			logEvent(context, 'adapter-missing', {requestId, targetId: event.targetId, adapter: event.name});
			const detail = 'the adapter could not be loaded';
			refuse(context, request, request.mayHaveRun ? {code: 'target-failed', detail} : {code: 'no-target', retryAfterMs: RETRY_AFTER_MS, detail});
		} else {
			enqueue(context, request);
		}
	}
}

/** Fails the fetches that got no response in time. */
export function expireFetches(context: EntryContext): void {
	const {state, nowMs} = context;
	for (const [key, {sinceMs}] of state.adapterFetches) {
		if (nowMs - sinceMs > FETCH_TIMEOUT_MS) {
			const [targetId, name] = key.split(' ') as [string, string];
			handleAdapterResolved(context, {
				kind: 'adapter-resolved', targetId, name, isHeld: false, sequence: 0, nowMs, wallMs: context.wallMs,
			});
		}
	}
}
