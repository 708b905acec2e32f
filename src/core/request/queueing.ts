/**
Measures how fast requests leave a route's queue and estimates the wait of new ones.
*/
import {type Priority} from '../configuration/types.js';
import {addSample} from './estimate.js';
import {type RouteState} from './state.js';

/** Requests ahead and departure samples below which no wait is estimated. */
const MIN_FOR_ESTIMATE = 4;

/**
Expected time in milliseconds until a new request of this priority would start, 0
without an estimate. Departure intervals are measured only while requests wait, so they
account for the load that other instances put on the same targets.
*/
export function expectedWaitMs(route: RouteState, priority: Priority): number {
	const ahead = route.queue.waitingAhead(priority);
	return ahead < MIN_FOR_ESTIMATE || route.departure.samples < MIN_FOR_ESTIMATE
		? 0
		: ahead * route.departure.meanMs;
}

/** Records that a request left the queue for a target. */
export function recordDeparture(route: RouteState, nowMs: number): void {
	if (route.lastDepartureMs !== undefined && route.queue.waiting > 0) {
		addSample(route.departure, nowMs - route.lastDepartureMs);
	}

	route.lastDepartureMs = route.queue.waiting > 0 ? nowMs : undefined;
}
