/**
Priority queue of requests that wait for capacity at the same targets: the most urgent
rank first, within a rank the earliest deadline. Removal is lazy: a request that no
longer waits is dropped when it reaches the head.
*/
import TinyQueue from 'tinyqueue';
import {type EntryRequest} from './types.js';

/** Intervals between departures are capped at this, since a longer one means that no request waited, and does not show how fast requests leave. */
const MAX_INTERVAL_MS = 1000;
const INTERVAL_SMOOTHING = 0.2;

export class WaitingQueue {
	private readonly _heap = new TinyQueue<EntryRequest>([], (a, b) => a.route.rank - b.route.rank || a.deadlineAtMs - b.deadlineAtMs);
	/** Smoothed interval between two departures while requests waited. */
	private _departureIntervalMs = 0;
	private _lastDepartureAtMs = Number.NEGATIVE_INFINITY;
	private _waiting = 0;
	/** Whether requests were left after the last departure: only then does the interval to the next one show the rate. */
	private _hadBacklog = false;

	get waiting(): number {
		return this._waiting;
	}

	push(request: EntryRequest): void {
		this._heap.push(request);
		this._waiting++;
	}

	/** The first request that still waits, without removing it. */
	peek(): EntryRequest | undefined {
		for (;;) {
			const first = this._heap.peek();
			if (!first || first.phase === 'queued') {
				return first;
			}

			this._heap.pop();
		}
	}

	/** Removes the request that `peek` returned. */
	shift(nowMs: number): void {
		this._heap.pop();
		this._waiting--;
		if (this._hadBacklog) {
			const intervalMs = Math.min(nowMs - this._lastDepartureAtMs, MAX_INTERVAL_MS);
			this._departureIntervalMs += (intervalMs - this._departureIntervalMs) * INTERVAL_SMOOTHING;
		}

		this._lastDepartureAtMs = nowMs;
		this._hadBacklog = this._waiting > 0;
	}

	/** Subtracts a request that was closed while it waited from the count; the heap drops it later. */
	remove(): void {
		this._waiting--;
	}

	/** Expected time that a request enqueued now would wait. */
	expectedWaitMs(): number {
		return this._waiting * this._departureIntervalMs;
	}
}
