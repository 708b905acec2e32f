/**
What becomes of requests once it is known whether their adapter was brought to the
target they waited for.
*/
import {refuse} from './closing.js';
import {enqueue} from './dispatch.js';
import {type EntryEventOf} from './event.js';
import {requestAdapter} from './orders.js';
import {logEvent, type EntryContext} from './state.js';

/** Failed fetches after which the caller is told to come back. */
const FETCHES_MAX = 2;
const RETRY_AFTER_MS = 500;
/** A question that was never answered counts as a failed fetch. */
const UNANSWERED_MS = 1200;
/** Two beacons, so that neighbours do not ask again. */
const TELL_MS = 700;

export function handleAdapterAsked(context: EntryContext, event: EntryEventOf<'adapter-asked'>): void {
	requestAdapter(context, event);
}

export function handleAdapterTold(context: EntryContext, event: EntryEventOf<'adapter-told'>): void {
	const {state} = context;
	const key = `${event.targetId} ${event.name}`;
	const waiting = state.fetching.get(key);
	state.fetching.delete(key);
	const target = state.targets.get(event.targetId);
	if (event.isHeld && target) {
		const sequence = Math.max(event.sequence, target.entry.sequence);
		target.adapters.set(event.name, sequence);
		state.adaptersToAnnounce.set(key, {adapter: {targetId: event.targetId, name: event.name, sequence}, untilMs: context.nowMs + TELL_MS});
	}

	for (const requestId of waiting?.requests ?? []) {
		const request = state.open.get(requestId);
		if (request?.phase !== 'fetching') {
			continue;
		}

		if (!event.isHeld) {
			request.declined++;
		}

		if (request.declined > FETCHES_MAX) {
			logEvent(context, 'adapter-missing', {requestId, targetId: event.targetId, adapter: event.name});
			const detail = 'the adapter could not be loaded';
			refuse(context, request, request.mayHaveRun ? {code: 'target-failed', detail} : {code: 'no-target', retryAfterMs: RETRY_AFTER_MS, detail});
		} else {
			enqueue(context, request);
		}
	}
}

/** Gives requests up whose question was never answered. */
export function expireFetches(context: EntryContext): void {
	const {state, nowMs} = context;
	for (const [key, {sinceMs}] of state.fetching) {
		if (nowMs - sinceMs > UNANSWERED_MS) {
			const [targetId, name] = key.split(' ') as [string, string];
			handleAdapterTold(context, {
				kind: 'adapter-told', targetId, name, isHeld: false, sequence: 0, nowMs, wallMs: context.wallMs,
			});
		}
	}
}
