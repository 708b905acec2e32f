/**
Priority queue of requests that wait for capacity at the same targets. The most urgent
rank goes first. Within a rank, those that can still be served within their objective go
before those that are late already, so that a backlog does not make all of them late.
Streams that have begun go before both, since their callers cannot be refused any more.
The set of waiting requests decides what waits and how many; removal from the heaps is
lazy, when a request that no longer waits reaches the head.
*/
import TinyQueue from 'tinyqueue';
import {type EntryRequest} from './types.js';

/** Intervals between departures are capped at this, since a longer one means that no request waited, and does not show how fast requests leave. */
const MAX_INTERVAL_MS = 1000;
const INTERVAL_SMOOTHING = 0.2;

export type WaitingQueueOptions = {
	/** Whether requests that are late already go last within their rank; otherwise the earliest deadline goes first. */
	readonly putsPunctualFirst: boolean;
};

export class WaitingQueue {
	private readonly _punctual: TinyQueue<EntryRequest>;
	/** Requests whose objective has passed. */
	private readonly _late = new TinyQueue<EntryRequest>([], (a, b) => a.route.rank - b.route.rank || a.deadlineAtMs - b.deadlineAtMs);
	/** Smoothed interval between two departures while requests waited. */
	private _departureIntervalMs = 0;
	private _lastDepartureAtMs = Number.NEGATIVE_INFINITY;
	/** The waiting requests of each rank. */
	private readonly _waitingByRank = new Map<number, Set<EntryRequest>>();
	/** Whether requests were left after the last departure: only then does the interval to the next one show the rate. */
	private _hadBacklog = false;

	constructor(private readonly _options: WaitingQueueOptions = {putsPunctualFirst: true}) {
		this._punctual = new TinyQueue<EntryRequest>([], (a, b) => a.route.rank - b.route.rank || Number(b.hasHead) - Number(a.hasHead) || this._dueAtMs(a) - this._dueAtMs(b));
	}

	get waiting(): number {
		return this.waitingUpTo(Number.POSITIVE_INFINITY);
	}

	/** Number of requests of a rank and of more urgent ones, which are served before the others. */
	waitingUpTo(rank: number): number {
		let waiting = 0;
		for (const [other, {size}] of this._waitingByRank) {
			waiting += other <= rank ? size : 0;
		}

		return waiting;
	}

	/** Number of requests that are served up to one that waits here, with it. A stream that has begun goes before those of its rank that have not. */
	waitingUpToRequest({route: {rank}, hasHead}: EntryRequest): number {
		if (!hasHead) {
			return this.waitingUpTo(rank);
		}

		const begun = [...this._waitingByRank.get(rank) ?? []].filter(other => other.hasHead).length;
		return this.waitingUpTo(rank - 1) + begun;
	}

	push(request: EntryRequest): void {
		this._punctual.push(request);
		this._waitingOf(request).add(request);
	}

	/** The first request that still waits, without removing it. */
	peek(nowMs: number): EntryRequest | undefined {
		for (let first = this._firstWaiting(this._punctual); first && !first.hasHead && this._dueAtMs(first) < nowMs; first = this._firstWaiting(this._punctual)) {
			this._punctual.pop();
			this._late.push(first);
		}

		return this._isLateFirst() ? this._late.peek() : this._punctual.peek();
	}

	/** Removes the request that `peek` returned. */
	shift(nowMs: number): void {
		this.remove((this._isLateFirst() ? this._late : this._punctual).pop()!);
		if (this._hadBacklog) {
			const intervalMs = Math.min(nowMs - this._lastDepartureAtMs, MAX_INTERVAL_MS);
			this._departureIntervalMs += (intervalMs - this._departureIntervalMs) * INTERVAL_SMOOTHING;
		}

		this._lastDepartureAtMs = nowMs;
		this._hadBacklog = this.waiting > 0;
	}

	/** Removes a request if it waits here. */
	remove(request: EntryRequest): void {
		this._waitingOf(request).delete(request);
	}

	/** Expected time that a request of a rank would wait if it was enqueued now. */
	expectedWaitMs(rank: number): number {
		return this.waitingUpTo(rank) * this._departureIntervalMs;
	}

	/** Expected time that a request that waits here has yet to wait. */
	expectedWaitOfMs(request: EntryRequest): number {
		return this.waitingUpToRequest(request) * this._departureIntervalMs;
	}

	/** Time from which a request counts as late. */
	private _dueAtMs({arrivedAtMs, route, deadlineAtMs}: EntryRequest): number {
		return this._options.putsPunctualFirst ? arrivedAtMs + route.objectiveMs : deadlineAtMs;
	}

	private _isLateFirst(): boolean {
		const punctual = this._firstWaiting(this._punctual);
		const late = this._firstWaiting(this._late);
		return late !== undefined && (punctual === undefined || late.route.rank < punctual.route.rank);
	}

	private _waitingOf({route: {rank}}: EntryRequest): Set<EntryRequest> {
		let waiting = this._waitingByRank.get(rank);
		if (!waiting) {
			waiting = new Set();
			this._waitingByRank.set(rank, waiting);
		}

		return waiting;
	}

	/** The head of a heap, after dropping requests that no longer wait. */
	private _firstWaiting(heap: TinyQueue<EntryRequest>): EntryRequest | undefined {
		for (;;) {
			const first = heap.peek();
			if (!first || this._waitingOf(first).has(first)) {
				return first;
			}

			heap.pop();
		}
	}
}
