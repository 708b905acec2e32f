/**
What the workspaces of a quota may use in a window, and the lease holder's account of it.
Two limits hold together: the sum over the sliding window, and a token bucket which
spreads the use once a workspace has used up its quota. The window and not the bucket is
what the quota promises, so a surge after a quiet time is not refused.
*/
import {type EntryBounds} from './types.js';
import {UsageWindow} from './usage-window.js';
import {type Quota} from './workspace.js';

/**
Share of the permitted relative excess that the limit makes use of; the rest covers what instances without answers use, and differing
counts of instances. With 0.5, 2 of 300 played scenarios with cuts exceeded the bound, by 2.6 % at most.
*/
const OVER_SHARE = 0.3;
/** What is admitted may be executed this much later than it was counted. */
const LAG_MS = 500;
/** Capacity of the pacing bucket, as a share of the limit. */
const PACE_SHARE = 0.3;
/** The same as a multiple of the slack: small quotas are not to be paced by single requests. */
const PACE_SLACKS = 2;
/** Longest delay of a grant; requests wait for an answer little longer. */
const MAX_DELAY_MS = 200;
/** Share of the limit that all instances together may use before they report it, while the window is not half full. */
const UNREPORTED_SHARE = 0.15;
const OPEN_SHARE = 0.5;
/** An instance that was told so reports within this time, or has stopped to make use of it. */
const OPEN_TOLD_MS = 2000;
const DEFAULT_BOUNDS: NonNullable<EntryBounds['quota']> = {windowMs: 8000, overShare: 0, slack: 0};

/** Length of the window over which use is counted. */
export function countedWindowMs({quota = DEFAULT_BOUNDS}: EntryBounds): number {
	return quota.windowMs + LAG_MS;
}

export type QuotaLimit = {
	/** Length of the window over which use is counted. */
	readonly windowMs: number;
	/** Units in a window, over all instances. */
	readonly perWindow: number;
	readonly paceCapacity: number;
	readonly pacePerMs: number;
};

export function limitOf({unit, perSecond, burst}: Quota, bounds: EntryBounds): QuotaLimit {
	const {windowMs, overShare, slack} = bounds.quota ?? DEFAULT_BOUNDS;
	// The slack is in tokens. It is there for single large requests.
	const usedSlack = unit === 'tokens' ? slack : 0;
	const perWindow = (((perSecond * windowMs / 1000) + burst) * (1 + (overShare * OVER_SHARE))) + usedSlack;
	const countedMs = countedWindowMs(bounds);
	return {
		windowMs: countedMs,
		perWindow,
		paceCapacity: Math.max(perWindow * PACE_SHARE, Math.min(perWindow, usedSlack * PACE_SLACKS), burst),
		pacePerMs: perWindow / countedMs,
	};
}

/** Units that each of a number of instances may use before it reports them. */
export function unreportedLimit({perWindow}: QuotaLimit, instances: number): number {
	return perWindow * UNREPORTED_SHARE / instances;
}

/** `inMs`: when the units may be used, or when there will be room for them. */
export type Taken = {
	readonly isGranted: boolean;
	readonly inMs: number;
};

export class QuotaBucket {
	private readonly _window: UsageWindow;
	private _paceLevel: number;
	private _pacedAtMs: number;
	private _openToldAtMs = Number.NEGATIVE_INFINITY;

	constructor(private _limit: QuotaLimit, nowMs: number) {
		this._window = new UsageWindow(_limit.windowMs);
		this._paceLevel = _limit.paceCapacity;
		this._pacedAtMs = nowMs;
	}

	/** Changes the limit. What was used under a higher one counts as if it had been used under this one. */
	setLimit(limit: QuotaLimit, nowMs: number): void {
		if (limit.perWindow === this._limit.perWindow) {
			return;
		}

		this._refill(nowMs);
		if (limit.perWindow < this._limit.perWindow) {
			this._window.scale(limit.perWindow / this._limit.perWindow);
			this._paceLevel = Math.min(this._paceLevel, limit.paceCapacity);
		}

		this._limit = limit;
	}

	/** Counts what instances have used already, or give back if negative. */
	charge(units: number, nowMs: number, ageMs = 0): void {
		this._refill(nowMs);
		this._window.add(units, nowMs, ageMs);
		this._paceLevel = Math.min(this._limit.paceCapacity, this._paceLevel - (ageMs === 0 ? units : 0));
	}

	/** Takes the units of one request if there is room. `share` is that of the instances on whose behalf the account is kept. */
	take(units: number, nowMs: number, share: number): Taken {
		const limit = this._limitNow(nowMs, share);
		const used = this._window.sum(nowMs);
		let delayMs = 0;
		// One that is larger than the limit could never be served otherwise. Only one part of a divided deployment has most instances.
		if (used + units > limit && !(used === 0 && share > 0.5)) {
			const roomInMs = this._window.timeUntilLess(used + units - limit, nowMs) ?? this._limit.windowMs;
			if (roomInMs > MAX_DELAY_MS) {
				return {isGranted: false, inMs: roomInMs};
			}

			delayMs = roomInMs;
		}

		this._refill(nowMs);
		const waitMs = Math.max(0, Math.min(units, this._limit.paceCapacity) - this._paceLevel) / this._limit.pacePerMs;
		if (waitMs > MAX_DELAY_MS) {
			return {isGranted: false, inMs: waitMs};
		}

		this._paceLevel -= units;
		this._window.add(units, nowMs);
		return {isGranted: true, inMs: Math.max(delayMs, waitMs)};
	}

	/** Whether instances may use some units before they report them. */
	updateOpen(nowMs: number, share: number): boolean {
		this._refill(nowMs);
		const isOpen = this._window.sum(nowMs) <= this._limit.perWindow * share * OPEN_SHARE && this._paceLevel >= this._limit.paceCapacity * OPEN_SHARE;
		if (isOpen) {
			this._openToldAtMs = nowMs;
		}

		return isOpen;
	}

	/** Share of the limit that is used. */
	usedShare(nowMs: number): number {
		return this._window.sum(nowMs) / this._limit.perWindow;
	}

	/** What instances may use without having reported it yet is kept free. */
	private _limitNow(nowMs: number, share: number): number {
		const isToldOpen = nowMs - this._openToldAtMs < OPEN_TOLD_MS;
		return this._limit.perWindow * share * (isToldOpen ? 1 - UNREPORTED_SHARE : 1);
	}

	private _refill(nowMs: number): void {
		this._paceLevel = Math.min(this._limit.paceCapacity, this._paceLevel + ((nowMs - this._pacedAtMs) * this._limit.pacePerMs));
		this._pacedAtMs = nowMs;
	}
}
