/**
Checks that instances together keep to the rates that targets name. Only requests from
instances that were told count, from a moment after they were.
*/
import {type Simulation} from './simulation.js';

/** Time from when a target names a limit until it must be kept. */
const NOTICE_MS = 3000;
/** An instance counts from this time after a response told it. */
const TOLD_MS = 500;
const WINDOW_MS = 4000;
/** What a window may hold: a multiple of what the limit allows, and some requests more. */
const EXCESS_FACTOR = 1.5;
const EXCESS_REQUESTS = 5;

type NamedLimit = {
	readonly perSecond: number;
	readonly sinceMs: number;
	/** When each instance was first told. */
	readonly toldAtMs: Map<string, number>;
	readonly arrivals: Array<{readonly instanceId: string; readonly atMs: number}>;
	isExceeded: boolean;
};

export type RateLimitMonitorOptions = {
	readonly simulation: Simulation;
	readonly onViolation: (text: string) => void;
};

export class RateLimitMonitor {
	private readonly _limits = new Map<string, NamedLimit>();

	constructor(private readonly _options: RateLimitMonitorOptions) {}

	/** Requests a second that a target names now, undefined if it names none. */
	limitOf(targetId: string): number | undefined {
		return this._limits.get(targetId)?.perSecond;
	}

	name(targetId: string, perSecond: number): void {
		this._limits.set(targetId, {
			perSecond, sinceMs: this._nowMs, toldAtMs: new Map(), arrivals: [], isExceeded: false,
		});
	}

	lift(targetId: string): void {
		this._limits.delete(targetId);
	}

	recordTold(instanceId: string, targetId: string): void {
		const limit = this._limits.get(targetId);
		if (limit && !limit.toldAtMs.has(instanceId)) {
			limit.toldAtMs.set(instanceId, this._nowMs);
		}
	}

	/** An instance that restarts has to be told again. */
	forgetInstance(instanceId: string): void {
		for (const limit of this._limits.values()) {
			limit.toldAtMs.delete(instanceId);
		}
	}

	recordArrival(instanceId: string, targetId: string): void {
		const limit = this._limits.get(targetId);
		const nowMs = this._nowMs;
		if (!limit || nowMs - (limit.toldAtMs.get(instanceId) ?? nowMs) < TOLD_MS) {
			return;
		}

		limit.arrivals.push({instanceId, atMs: nowMs});
		while (limit.arrivals[0]!.atMs < nowMs - WINDOW_MS) {
			limit.arrivals.shift();
		}

		const allowed = (limit.perSecond * EXCESS_FACTOR * WINDOW_MS / 1000) + EXCESS_REQUESTS;
		const counted = limit.arrivals.filter(arrival => limit.toldAtMs.has(arrival.instanceId)).length;
		if (nowMs - limit.sinceMs >= NOTICE_MS && counted > allowed && !limit.isExceeded) {
			limit.isExceeded = true;
			this._options.onViolation(`${Math.round(nowMs)} ms: ${targetId}, which names a limit of ${limit.perSecond} a second, got ${counted} requests in 4 s; ${Math.floor(allowed)} are allowed`);
		}
	}

	private get _nowMs(): number {
		return this._options.simulation.nowMs;
	}
}
