/**
The lease holder's record of what it ordered and of what engines confirmed. Every
order is conditional on the number of orders that its engine had accepted when the
content was last known for certain. An order that was lost, or given by an earlier
holder, therefore cannot take effect after a newer one, and no room is counted twice.
*/
import {type TargetId} from '../types.js';
import {type TargetReport} from './target.js';
import {type EngineOrder} from './types.js';

export type AdapterTask = {
	readonly model: string;
	readonly adapter: string;
	/** `model/adapter`. */
	readonly name: string;
	/** Peers' questions to answer; `undefined` stands for this instance's own. */
	readonly tickets: Array<number | undefined>;
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

export type Outstanding = {
	readonly number: number;
	readonly order: EngineOrder;
	sentAtMs: number;
	/** Whether its answer was lost. It is sent again unchanged until an answer comes. */
	isLost: boolean;
};

export type TargetDesk = {
	readonly incarnation: number;
	/** Orders that the engine has accepted, undefined until a report or an answer says so. */
	sequence: number | undefined;
	report: TargetReport | undefined;
	reportedAtMs: number;
	isReading: boolean;
	askedAtMs: number;
	/** When the last order was accepted. */
	acceptedAtMs: number;
	outstanding: Outstanding | undefined;
	readonly tasks: AdapterTask[];
	/** Adapters held or under way, with the time of their last use here. */
	readonly adapters: Map<string, number>;
	/** The move that waits or is being carried out. */
	move: Move | undefined;
	/** Until when the move that was accepted is expected to take; undefined when none is under way. */
	moveDueMs: number | undefined;
	/** Nothing is ordered before this time, after the engine could not be reached. */
	restUntilMs: number;
};

/** The ceiling allows three loads beyond the rate in its window; late orders take one of them. */
const STORE_BURST = 2;
const STORE_USED_PART = 0.95;
const REFILL_MOST_MS = 2000;
/** Demand that left a model often comes back within some seconds; its copies are missed that long. */
const FADE_HALF_MS = 4000;

export class OrderTracker {
	readonly targets = new Map<TargetId, TargetDesk>();
	orders = 0;
	plannedAtMs = Number.NEGATIVE_INFINITY;
	/** Loads that the weight store may begin now, refilled at its rate. */
	storeLoads = 0;
	refilledAtMs = Number.NEGATIVE_INFINITY;
	private readonly _missingSince = new Map<string, number>();
	private readonly _recent = new Map<string, {readonly open: number; readonly atMs: number}>();

	of(id: TargetId, incarnation: number): TargetDesk {
		let desk = this.targets.get(id);
		if (desk?.incarnation !== incarnation) {
			desk = {
				incarnation,
				sequence: undefined,
				report: undefined,
				reportedAtMs: Number.NEGATIVE_INFINITY,
				isReading: false,
				askedAtMs: Number.NEGATIVE_INFINITY,
				acceptedAtMs: Number.NEGATIVE_INFINITY,
				outstanding: undefined,
				tasks: [],
				adapters: new Map(),
				move: undefined,
				moveDueMs: undefined,
				restUntilMs: Number.NEGATIVE_INFINITY,
			};
			this.targets.set(id, desk);
		}

		return desk;
	}

	/** Open requests of a model, or what is left of more that were open lately. */
	fade(key: string, open: number, nowMs: number): number {
		const known = this._recent.get(key);
		const faded = known ? known.open * (0.5 ** ((nowMs - known.atMs) / FADE_HALF_MS)) : 0;
		const recent = Math.max(open, faded);
		this._recent.set(key, {open: recent, atMs: nowMs});
		return recent;
	}

	/** Time since a model was first asked for while no copy of it was held. */
	missing(key: string, isHeld: boolean, nowMs: number): number {
		if (isHeld) {
			this._missingSince.delete(key);
			return 0;
		}

		const sinceMs = this._missingSince.get(key) ?? nowMs;
		this._missingSince.set(key, sinceMs);
		return nowMs - sinceMs;
	}

	forget(id: TargetId): void {
		this.targets.delete(id);
	}

	/** Forgets everything: another instance may have given orders since. */
	clear(): void {
		this._recent.clear();
		this._missingSince.clear();
		this.targets.clear();
		this.storeLoads = 0;
		this.refilledAtMs = Number.NEGATIVE_INFINITY;
	}

	/** Refills the weight store's tokens at a little under its rate. */
	refill(nowMs: number, perSecond: number): void {
		const elapsedMs = Math.min(REFILL_MOST_MS, nowMs - this.refilledAtMs);
		if (Number.isFinite(elapsedMs)) {
			this.storeLoads = Math.min(STORE_BURST, this.storeLoads + (elapsedMs * perSecond * STORE_USED_PART / 1000));
		}

		this.refilledAtMs = nowMs;
	}
}
