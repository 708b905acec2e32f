/**
What a route's queue has shown of its speed, and the wait that follows from it.
*/
import {type Priority} from '../configuration/types.js';
import {addSample} from './estimate.js';
import {type RouteState} from './state.js';

const MIN_FOR_ESTIMATE = 4;

/**
Time until a new request of this priority would start. The departure interval is
measured while others wait, so it contains what other instances send to the same
targets.
*/
export function expectedWaitMs(route: RouteState, priority: Priority): number {
	const ahead = route.queue.waitingAhead(priority);
	return ahead < MIN_FOR_ESTIMATE || route.departure.samples < MIN_FOR_ESTIMATE
		? 0
		: ahead * route.departure.meanMs;
}

/** Takes note that a request left the queue for a target. */
export function recordDeparture(route: RouteState, nowMs: number): void {
	if (route.lastDepartureMs !== undefined && route.queue.waiting > 0) {
		addSample(route.departure, nowMs - route.lastDepartureMs);
	}

	route.lastDepartureMs = route.queue.waiting > 0 ? nowMs : undefined;
}
