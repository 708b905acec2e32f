/**
The lease holder's record of what it ordered and of what engines confirmed. Every
order is conditional on the number of orders that its engine had accepted when the
content was last known for certain. An order that was lost, or given by an earlier
holder, therefore cannot take effect after a newer one, and no room is counted twice.
*/
import {type TargetId} from '../types.js';
import {type TargetReport} from './target.js';
import {type EngineOrder} from './types.js';

export type AdapterLoad = {
	readonly model: string;
	readonly adapter: string;
	/** `model/adapter`. */
	readonly name: string;
	/** Peers' questions to answer; `undefined` stands for this instance's own. */
	readonly callIds: Array<number | undefined>;
	readonly sinceMs: number;
	notBeforeMs: number;
};

export type Move = {
	readonly kind: 'load' | 'unload';
	readonly model: string;
	/** The model to load, or the one that an unload makes room for. */
	readonly wanted: string;
	/** Time that the load is expected to take. */
	readonly takesMs: number;
	/** An unload waits until peers have stopped sending to the copy. */
	readonly notBeforeMs: number;
};

export type OutstandingOrder = {
	readonly number: number;
	readonly order: EngineOrder;
	sentAtMs: number;
	/** Whether its answer was lost. It is sent again unchanged until an answer comes. */
	isAnswerLost: boolean;
};

export type TargetTracker = {
	readonly incarnation: number;
	/** Orders that the engine has accepted, undefined until a report or an answer says so. */
	sequence: number | undefined;
	report: TargetReport | undefined;
	reportedAtMs: number;
	isReportPending: boolean;
	reportRequestedAtMs: number;
	/** When the last order was accepted. */
	acceptedAtMs: number;
	outstanding: OutstandingOrder | undefined;
	readonly adapterLoads: AdapterLoad[];
	/** Adapters held or under way, with the time of their last use here. */
	readonly adapters: Map<string, number>;
	/** The move that waits or is being carried out. */
	move: Move | undefined;
	/** Until when the move that was accepted is expected to take; undefined when none is under way. */
	moveDueMs: number | undefined;
	/** Nothing is ordered before this time, after the engine could not be reached. */
	backoffUntilMs: number;
};

/** The ceiling allows three loads beyond the rate in its window; late orders take one of them. */
const STORE_BURST_LOADS = 2;
const STORE_RATE_SHARE = 0.95;
const MAX_REFILL_INTERVAL_MS = 2000;
/** Demand that left a model often comes back within some seconds; its copies are missed that long. */
const DEMAND_HALF_LIFE_MS = 4000;

export class OrderTracker {
	readonly targets = new Map<TargetId, TargetTracker>();
	lastOrderNumber = 0;
	plannedAtMs = Number.NEGATIVE_INFINITY;
	/** Loads that the weight store may begin now, refilled at its rate. */
	storeLoads = 0;
	refilledAtMs = Number.NEGATIVE_INFINITY;
	private readonly _absentSince = new Map<string, number>();
	private readonly _recentOpen = new Map<string, {readonly open: number; readonly atMs: number}>();

	forTarget(id: TargetId, incarnation: number): TargetTracker {
		let tracker = this.targets.get(id);
		if (tracker?.incarnation !== incarnation) {
			tracker = {
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
				move: undefined,
				moveDueMs: undefined,
				backoffUntilMs: Number.NEGATIVE_INFINITY,
			};
			this.targets.set(id, tracker);
		}

		return tracker;
	}

	/** Open requests of a model, or what is left of more that were open lately. */
	decayedOpen(key: string, open: number, nowMs: number): number {
		const known = this._recentOpen.get(key);
		const decayed = known ? known.open * (0.5 ** ((nowMs - known.atMs) / DEMAND_HALF_LIFE_MS)) : 0;
		const recent = Math.max(open, decayed);
		this._recentOpen.set(key, {open: recent, atMs: nowMs});
		return recent;
	}

	/** Time since a model was first asked for while no copy of it was held. */
	absentForMs(key: string, isHeld: boolean, nowMs: number): number {
		if (isHeld) {
			this._absentSince.delete(key);
			return 0;
		}

		const sinceMs = this._absentSince.get(key) ?? nowMs;
		this._absentSince.set(key, sinceMs);
		return nowMs - sinceMs;
	}

	forget(id: TargetId): void {
		this.targets.delete(id);
	}

	/** Forgets everything: another instance may have given orders since. */
	clear(): void {
		this._recentOpen.clear();
		this._absentSince.clear();
		this.targets.clear();
		this.storeLoads = 0;
		this.refilledAtMs = Number.NEGATIVE_INFINITY;
	}

	/** Refills the weight store's tokens at a little under its rate. */
	refillStoreLoads(nowMs: number, perSecond: number): void {
		const elapsedMs = Math.min(MAX_REFILL_INTERVAL_MS, nowMs - this.refilledAtMs);
		if (Number.isFinite(elapsedMs)) {
			this.storeLoads = Math.min(STORE_BURST_LOADS, this.storeLoads + (elapsedMs * perSecond * STORE_RATE_SHARE / 1000));
		}

		this.refilledAtMs = nowMs;
	}
}
