/**
Dispatch of waiting requests: the first of a queue is sent to a target with capacity,
has its adapter fetched, or keeps waiting. A queue is checked when its first request
may have become dispatchable, without polling all requests.
*/
import {fetchAdapter} from './adapter-fetching.js';
import {queueKeyOf, queueOf} from './queues.js';
import {type EntryContext, type EntryState} from './state.js';
import {chooseTarget} from './selection.js';
import {type Target} from './target.js';
import {sendTry} from './send.js';
import {type EntryRequest} from './types.js';

/** Share of its time after which a request that no target can serve is refused, while its caller can still try elsewhere. */
const PATIENCE_CHECK_SHARE = 0.25;

export function enqueue(context: EntryContext, request: EntryRequest): void {
	request.phase = 'queued';
	queueOf(context.state, request.queueKey).push(request);
	dispatchQueue(context, request.queueKey);
	const {state, nowMs} = context;
	if (state.open.get(request.id)?.phase === 'queued') {
		state.timers.push({
			atMs: nowMs + Math.max(request.route.objectiveMs, (request.patienceEndsAtMs - nowMs) * PATIENCE_CHECK_SHARE),
			requestId: request.id,
			kind: 'patience',
			tryNumber: request.tries.length,
		});
	}
}

export function dispatchAll(context: EntryContext): void {
	for (const [key, queue] of context.state.queues) {
		if (queue.waiting > 0) {
			dispatchQueue(context, key);
		}
	}
}

/** Checks the queues whose requests a target with new capacity may serve. */
export function dispatchTarget(context: EntryContext, target: Target): void {
	const {service, copies} = target.entry;
	dispatchQueue(context, service);
	for (const {model} of copies) {
		dispatchQueue(context, queueKeyOf(service, model));
	}
}

function dispatchQueue(context: EntryContext, key: string): void {
	const queue = context.state.queues.get(key);
	if (!queue || queue.waiting === 0) {
		return;
	}

	for (let request = queue.peek(); request; request = queue.peek()) {
		const choice = chooseTarget(context, request, targetsOf(context.state, request));
		if (choice.kind === 'none' || choice.kind === 'full') {
			return;
		}

		queue.shift(context.nowMs);
		if (choice.kind === 'send') {
			sendTry(context, request, choice.target);
		} else {
			fetchAdapter(context, request, choice.target);
		}
	}
}

export function targetsOf(state: EntryState, request: EntryRequest): Target[] {
	return [...state.targets.values()].filter(({entry}) => entry.service === request.service);
}
