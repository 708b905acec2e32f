/**
The lease holder's record of the orders it sent and of what engines confirmed. Every
order is conditional on the sequence, the number of orders that its engine had
accepted when its content was last known for certain. An order that was lost, or sent
by an earlier holder, therefore cannot take effect after a newer one, and no memory
is allocated twice.
*/
import {type TargetId} from '../types.js';
import {type Target, type TargetReport} from './target.js';
import {type EngineOrder} from './types.js';

/** Load of an adapter that requests wait for. */
export type AdapterLoad = {
	readonly model: string;
	readonly adapter: string;
	/** `model/adapter`. */
	readonly name: string;
	/** Pending calls of peers to answer; `undefined` stands for this instance's own request. */
	readonly callIds: Array<number | undefined>;
	readonly sinceMs: number;
	notBeforeMs: number;
};

/** Load or unload of a model. */
export type Move = {
	readonly kind: 'load' | 'unload';
	readonly model: string;
	/** The model to load, or the one for which an unload frees memory. */
	readonly wanted: string;
	/** Expected duration of the load. */
	readonly takesMs: number;
	/** An unload waits until peers have stopped sending requests to the copy. */
	readonly notBeforeMs: number;
	/** Whether the load, or the one that follows the unload, takes its weights from the weight store. */
	readonly isFromStore: boolean;
	/** Whether the load has been sent, and thus counts in the weight store's rate. */
	isLoadSent: boolean;
};

/** Order whose answer has not come yet. */
export type OutstandingOrder = {
	readonly number: number;
	readonly order: EngineOrder;
	sentAtMs: number;
	/** Whether its answer was lost. It is resent unchanged until an answer comes. */
	isAnswerLost: boolean;
};

export type TargetTracker = {
	readonly service: string;
	readonly incarnation: number;
	/** Number of orders that the engine has accepted, undefined until a report or an answer shows it. */
	sequence: number | undefined;
	report: TargetReport | undefined;
	/** When the last report that came was requested. */
	reportedAtMs: number;
	isReportPending: boolean;
	reportRequestedAtMs: number;
	/** When the last order was accepted. */
	acceptedAtMs: number;
	outstanding: OutstandingOrder | undefined;
	readonly adapterLoads: AdapterLoad[];
	/** Adapters held or in transfer, with the time of their last use. */
	readonly adapters: Map<string, number>;
	/** Sequence at which it is known which models the engine holds, and that it executes no order for one. */
	settledSequence: number | undefined;
	/** The move that waits or is in progress. */
	move: Move | undefined;
	/** Sequence at which the engine accepted the move. */
	moveSequence: number | undefined;
	/** Expected end of the accepted move, undefined when none is in progress. */
	moveDueMs: number | undefined;
	/** No order is sent before this time, after the engine could not be reached. */
	backoffUntilMs: number;
};

/** Beacons to all zones after copies have changed or a move has started. */
export const ANNOUNCE_ROUNDS = 2;
/** The weight store allows three loads beyond its rate in a window; one is left for orders that take effect late. */
const STORE_BURST_LOADS = 2;
/** Refill rate as a share of the weight store's rate, so that loads stay below it. */
const STORE_RATE_SHARE = 0.95;
const MAX_REFILL_INTERVAL_MS = 2000;
/** Time that an idle copy takes to be unloaded: loads that follow are planned by what the store allows then. */
const PLAN_AHEAD_MS = 800;
/** Demand that left a model often returns within a few seconds, so recent demand decays with this half-life. */
const DEMAND_HALF_LIFE_MS = 3000;
/** Time constant of the mean that shows how often a rare model is requested. */
const DEMAND_MEAN_MS = 10_000;
/** Time that the current rates of instances cover. */
const DEMAND_SAMPLE_MS = 1000;
/** Requests in that time that make a rate half certain. */
const CERTAIN_REQUESTS = 4;

export type DemandRate = {
	readonly perSecond: number;
	/** Engines that reading the prompts keeps busy. */
	readonly busyShare: number;
};

type StoreLoads = {
	loads: number;
	/** Rate at which they are refilled. */
	readonly perSecond: number;
	refilledAtMs: number;
};

type RecentDemand = DemandRate & {
	readonly mean: DemandRate;
	readonly atMs: number;
	/** When the model was first requested. */
	readonly sinceMs: number;
};

export class OrderTracker {
	readonly targets = new Map<TargetId, TargetTracker>();
	lastOrderNumber = 0;
	/** Rounds of beacons to all zones that are due since a move was started; the second covers a lost datagram. */
	announceRounds = 0;
	plannedAtMs = Number.NEGATIVE_INFINITY;
	/** When each target that names a rate limit takes the next request that nobody has a permit for. */
	readonly permitsDueMs = new Map<TargetId, number>();
	/** Token buckets of loads that may start from the weight store, by service, since each service has a rate of its own. */
	private readonly _storeLoads = new Map<string, StoreLoads>();
	private readonly _missingSince = new Map<string, number>();
	/** When models that had been missing got a copy. */
	private readonly _backSince = new Map<string, number>();
	private readonly _recentDemand = new Map<string, RecentDemand>();

	/** The tracker of this incarnation of a target, a new one when the target has restarted. */
	forTarget({id, entry: {service, incarnation}}: Target): TargetTracker {
		let tracker = this.targets.get(id);
		if (tracker?.incarnation !== incarnation) {
			tracker = {
				service,
				incarnation,
				sequence: undefined,
				report: undefined,
				reportedAtMs: Number.NEGATIVE_INFINITY,
				isReportPending: false,
				reportRequestedAtMs: Number.NEGATIVE_INFINITY,
				acceptedAtMs: Number.NEGATIVE_INFINITY,
				outstanding: undefined,
				adapterLoads: [],
				adapters: new Map(),
				settledSequence: undefined,
				move: undefined,
				moveSequence: undefined,
				moveDueMs: undefined,
				backoffUntilMs: Number.NEGATIVE_INFINITY,
			};
			this.targets.set(id, tracker);
		}

		return tracker;
	}

	/**
	The demand for a model: its current rate, as far as it rests on enough requests, else its long-term mean; or what
	is left of a larger one of the last seconds.
	*/
	recentDemand(key: string, now: DemandRate, nowMs: number): DemandRate {
		const known = this._recentDemand.get(key);
		const elapsedMs = known ? nowMs - known.atMs : 0;
		const sinceMs = known?.sinceMs ?? nowMs;
		const meanWeight = known ? Math.max(1 - Math.exp(-elapsedMs / DEMAND_MEAN_MS), elapsedMs / Math.max(DEMAND_SAMPLE_MS, nowMs - sinceMs)) : 0;
		const certainty = now.perSecond / (now.perSecond + (CERTAIN_REQUESTS * 1000 / DEMAND_SAMPLE_MS));
		const kept = 0.5 ** (elapsedMs / DEMAND_HALF_LIFE_MS);
		const estimate = (rate: keyof DemandRate) => {
			const mean = (known?.mean[rate] ?? 0) + ((now[rate] - (known?.mean[rate] ?? 0)) * meanWeight);
			return {mean, recent: Math.max(mean + ((now[rate] - mean) * certainty), (known?.[rate] ?? 0) * kept)};
		};

		const perSecond = estimate('perSecond');
		const busyShare = estimate('busyShare');
		const recent = {perSecond: perSecond.recent, busyShare: busyShare.recent};
		this._recentDemand.set(key, {
			...recent, mean: {perSecond: perSecond.mean, busyShare: busyShare.mean}, atMs: nowMs, sinceMs,
		});
		return recent;
	}

	/** Time since demand for a model was first seen without a copy of it, here or by the instance that tells of the longest time; 0 while one is held. */
	missingForMs(key: string, isHeld: boolean, nowMs: number, toldMs = 0): number {
		if (isHeld) {
			if (this._missingSince.delete(key)) {
				this._backSince.set(key, nowMs);
			}

			return 0;
		}

		const sinceMs = Math.min(this._missingSince.get(key) ?? nowMs, nowMs - toldMs);
		this._missingSince.set(key, sinceMs);
		return nowMs - sinceMs;
	}

	/** Time since a model that had been missing got a copy; infinite if it was not missing. */
	backForMs(key: string, nowMs: number): number {
		return nowMs - (this._backSince.get(key) ?? Number.NEGATIVE_INFINITY);
	}

	forget(id: TargetId): void {
		this.targets.delete(id);
		this.permitsDueMs.delete(id);
	}

	/** Drops everything: another instance may have sent orders since. */
	clear(): void {
		this._missingSince.clear();
		this._backSince.clear();
		this._recentDemand.clear();
		this.targets.clear();
		this.permitsDueMs.clear();
		this._storeLoads.clear();
	}

	/** Loads of a service that may start from the weight store within the time that an unload before them takes at least, besides those that are planned and not sent yet. */
	unplannedStoreLoads(service: string): number {
		let planned = 0;
		for (const {service: owner, move} of this.targets.values()) {
			planned += owner === service && move?.isFromStore && !move.isLoadSent ? 1 : 0;
		}

		const {loads, perSecond} = this._storeLoads.get(service) ?? {loads: 0, perSecond: 0};
		return loads + (perSecond * PLAN_AHEAD_MS / 1000) - planned;
	}

	/** Takes a load of a service from its rate; returns whether there was one. */
	takeStoreLoad(service: string): boolean {
		const bucket = this._storeLoads.get(service);
		if (!bucket || bucket.loads < 1) {
			return false;
		}

		bucket.loads--;
		return true;
	}

	/** Refills the tokens for weight store loads at slightly less than the store's rate. */
	refillStoreLoads(service: string, nowMs: number, perSecond: number): void {
		const bucket = this._storeLoads.get(service) ?? {loads: 0, refilledAtMs: Number.NEGATIVE_INFINITY};
		const elapsedMs = Math.min(MAX_REFILL_INTERVAL_MS, nowMs - bucket.refilledAtMs);
		const refillPerSecond = perSecond * STORE_RATE_SHARE;
		this._storeLoads.set(service, {loads: Math.min(STORE_BURST_LOADS, bucket.loads + (elapsedMs * refillPerSecond / 1000)), perSecond: refillPerSecond, refilledAtMs: nowMs});
	}
}
