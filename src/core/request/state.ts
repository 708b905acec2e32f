/**
State of request handling: open and closed requests, routes, claims and crash suspects.
*/
import {type RequestId, type RouteId} from '../types.js';
import {type Settlement} from '../event.js';
import {CrashEvidence} from './crash-evidence.js';
import {emptyEstimate, type Estimate} from './estimate.js';
import {FairQueue, type WaitingCount} from './fair-queue.js';
import {RecentMap} from './recent-map.js';
import {type ClosedRequest, type OpenRequest} from './types.js';
import {type Suspect} from './crash-suspects.js';

const MAX_CLOSED_REQUESTS = 2000;
const MAX_COMPLETED_HASHES = 20_000;
const MAX_QUARANTINED_HASHES = 10_000;

export type RouteState = {
	readonly id: RouteId;
	readonly queue: FairQueue;
	/** Time from the start of a try to its complete response. */
	readonly service: Estimate;
	/** Interval between departures from the queue while requests waited. */
	readonly departure: Estimate;
	lastDepartureMs: number | undefined;
	/** Arrivals since `arrivalRate` was last updated. */
	arrivals: number;
	/** Smoothed arrivals per second at this instance. */
	arrivalRate: number;
};

/** A claim that an open request of this instance holds. */
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
	/** Peers that keep a replica. */
	readonly heldBy: Set<string>;
};

export class RequestState {
	readonly open = new Map<RequestId, OpenRequest>();
	readonly routes = new Map<RouteId, RouteState>();
	readonly localClaims = new Map<string, LocalClaim>();
	/** Keyed by claim token. */
	readonly settlements = new Map<string, OpenSettlement>();
	readonly suspects = new Map<string, Suspect>();
	/** Quarantined content hashes, with the time at which the quarantine ends. */
	/** Crashes of targets, by the prompt prefixes of what ran there. */
	readonly crashEvidence = new CrashEvidence();
	readonly condemned = new RecentMap<number>(MAX_QUARANTINED_HASHES);
	/** Hashes of content that ran to completion, with the time of completion. Such content is not suspected after a crash. */
	readonly innocent = new RecentMap<number>(MAX_COMPLETED_HASHES);
	readonly closed = new RecentMap<ClosedRequest>(MAX_CLOSED_REQUESTS);
	/** Requests whose target is still fetching the adapter. */
	readonly adapterTransfers = new Set<RequestId>();
	/** Number of requests queued on all routes. */
	readonly waiting: WaitingCount = {total: 0};
	/** Retries that may still be sent; arrivals replenish it. */
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
