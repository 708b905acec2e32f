/**
State of the request slice.
*/
import {type RequestId, type RouteId} from '../types.js';
import {type Settlement} from '../event.js';
import {emptyEstimate, type Estimate} from './estimate.js';
import {FairQueue, type WaitingCount} from './fair-queue.js';
import {RecentMap} from './recent-map.js';
import {type ClosedRequest, type OpenRequest} from './types.js';
import {type Suspect} from './crash-suspects.js';

const CLOSED_CAPACITY = 2000;
const INNOCENT_CAPACITY = 20_000;
const CONDEMNED_CAPACITY = 10_000;

export type RouteState = {
	readonly id: RouteId;
	readonly queue: FairQueue;
	/** Time from the start of a try to its whole answer. */
	readonly service: Estimate;
	/** Time between two departures while requests waited. */
	readonly departure: Estimate;
	lastDepartureMs: number | undefined;
	/** Arrivals since the demand was last rated. */
	arrivals: number;
	/** Smoothed arrivals per second at this instance. */
	arrivalRate: number;
};

/** A claim that a request of this instance holds or is settling. */
export type LocalClaim = {
	readonly holder: RequestId;
	readonly token: string;
	readonly joiners: Set<RequestId>;
};

/** A settlement that the table has not confirmed yet. */
export type OpenSettlement = {
	readonly settlement: Settlement;
	revision: number;
	retries: number;
	/** Peers that keep a copy. */
	readonly heldBy: Set<string>;
};

export class RequestState {
	readonly open = new Map<RequestId, OpenRequest>();
	readonly routes = new Map<RouteId, RouteState>();
	readonly localClaims = new Map<string, LocalClaim>();
	/** Keyed by claim token. */
	readonly settlements = new Map<string, OpenSettlement>();
	readonly suspects = new Map<string, Suspect>();
	/** Content hashes refused for having crashed targets, with the time until which they are. */
	readonly condemned = new RecentMap<number>(CONDEMNED_CAPACITY);
	/** Content hashes that ran to completion, which clears them of any crash. */
	readonly innocent = new RecentMap<number>(INNOCENT_CAPACITY);
	readonly closed = new RecentMap<ClosedRequest>(CLOSED_CAPACITY);
	/** Requests at targets that are still fetching the adapter. */
	readonly adapterTransfers = new Set<RequestId>();
	/** Requests queued on all routes. */
	readonly waiting: WaitingCount = {total: 0};
	/** Retries that may still be sent before new arrivals pay for more. */
	retryBudget = 20;

	route(id: RouteId): RouteState {
		let route = this.routes.get(id);
		if (!route) {
			route = {
				id,
				queue: new FairQueue(this.waiting),
				service: emptyEstimate(),
				departure: emptyEstimate(),
				lastDepartureMs: undefined,
				arrivals: 0,
				arrivalRate: 0,
			};
			this.routes.set(id, route);
		}

		return route;
	}
}
