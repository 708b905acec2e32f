/**
Dispatches queued requests to targets: for a single route after an arrival, and for all
routes of a target after it gained room.
*/
import {type Context} from '../context.js';
import {modelRoute, serviceRoute} from '../configuration/index.js';
import {type RouteId} from '../types.js';
import {priorities} from './fair-queue.js';
import {recordDeparture} from './queueing.js';
import {canAccept, selectTarget} from './selection.js';
import {type RouteState} from './state.js';
import {holdIfSuspect} from './crash-suspects.js';
import {isUsable, type Target} from './target.js';
import {sendTry} from './tries.js';
import {type OpenRequest} from './types.js';

/** Sends requests of one route, in priority order, while targets have room. */
export function dispatchRoute(context: Context, id: RouteId): void {
	const route = context.state.requests.route(id);
	for (const priority of priorities) {
		for (;;) {
			const request = route.queue.peek(priority);
			const target = request && selectTarget(context, request);
			if (!target) {
				break;
			}

			dequeueAndSend(context, route, request, target);
		}
	}
}

/** Fills one target from the queues of all routes that it serves: by priority, then by deadline. */
export function dispatchTarget(context: Context, target: Target): void {
	while (context.state.requests.waiting.total > 0 && isUsable(target)) {
		const next = nextRequestFor(context, target);
		if (!next) {
			return;
		}

		dequeueAndSend(context, next.route, next.request, target);
	}
}

type QueuedCandidate = {
	readonly route: RouteState;
	readonly request: OpenRequest;
};

function nextRequestFor(context: Context, target: Target): QueuedCandidate | undefined {
	const {state} = context;
	for (const priority of priorities) {
		let best: QueuedCandidate | undefined;
		for (const id of routesOf(target)) {
			const route = state.requests.routes.get(id);
			const request = route && route.queue.waitingOf(priority) > 0 ? route.queue.peek(priority) : undefined;
			if (route && request && canAccept(context, target, request) && (!best || request.deadlineAtMs < best.request.deadlineAtMs)) {
				best = {route, request};
			}
		}

		if (best) {
			return best;
		}
	}

	return undefined;
}

function routesOf(target: Target): readonly RouteId[] {
	return target.gateway === 'plain'
		? [serviceRoute(target.service)]
		: [...target.resident].map(copy => modelRoute(copy.slice(0, copy.lastIndexOf('@'))));
}

function dequeueAndSend(context: Context, route: RouteState, request: OpenRequest, target: Target): void {
	route.queue.shift(request.priority);
	recordDeparture(route, context.nowMs);
	// The content may have become a crash suspect while the request was queued.
	if (holdIfSuspect(context, request)) {
		return;
	}

	sendTry(context, request, target, {kind: 'whole'});
}
