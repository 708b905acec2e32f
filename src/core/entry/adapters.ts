/**
Results of adapter fetches: requests that wait for an adapter are sent on once it is
loaded on their target, and retried or refused when the fetch failed.
*/
import {refuse} from './closing.js';
import {enqueue} from './dispatch.js';
import {type EntryEventOf} from './event.js';
import {requestAdapter} from './orders.js';
import {chooseTarget} from './selection.js';
import {logEvent, type EntryContext} from './state.js';
import {holdsModel, type Target} from './target.js';
import {targetsOf} from './targets.js';
import {type EntryRequest} from './types.js';

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

		const busyMs = event.isHeld || !target ? 0 : busyWithModelMs(context, target);
		if (request.declined > MAX_FAILED_FETCHES || isBusyForTooLong(context, request, {targetId: event.targetId, busyMs})) {
			logEvent(context, 'adapter-missing', {requestId, targetId: event.targetId, adapter: event.name});
			const detail = 'the adapter could not be loaded';
			const retryAfterMs = Math.max(RETRY_AFTER_MS, busyMs);
			refuse(context, request, request.mayHaveRun ? {code: 'target-failed', reason: 'adapter-missing', detail} : {code: 'no-target', retryAfterMs, detail});
		} else {
			enqueue(context, request);
		}
	}
}

/** Time for which a target takes no order for an adapter since it loads a model, as far as this instance knows; 0 while it still unloads the copy that makes way. */
function busyWithModelMs({state, nowMs}: EntryContext, target: Target): number {
	const isUnloading = [...target.leavingCopies].some(([model, untilMs]) => nowMs < untilMs && holdsModel(target, model));
	const freeAtMs = state.orderTracker.targets.get(target.id)?.moveDueMs ?? state.comingCopies.get(target.id)?.atMs ?? nowMs;
	return isUnloading ? 0 : Math.max(0, freeAtMs - nowMs);
}

/** Whether a request's caller gives up before the target that failed to load its adapter takes an order, and no other target would load it. */
function isBusyForTooLong(context: EntryContext, request: EntryRequest, {targetId, busyMs}: {targetId: string; busyMs: number}): boolean {
	if (busyMs <= request.patienceEndsAtMs - context.nowMs) {
		return false;
	}

	const choice = chooseTarget(context, request, targetsOf(context.state, request.service));
	return choice.kind === 'fetch' && choice.target.id === targetId;
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
