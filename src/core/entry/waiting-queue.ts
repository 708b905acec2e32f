/**
Requests that wait for room at the same targets: the most urgent rank first, within
a rank the earliest deadline. Removal is lazy: a request that no longer waits is
skipped when it comes up.
*/
import TinyQueue from 'tinyqueue';
import {type EntryRequest} from './types.js';

/** A pause longer than this says that nothing waited, not how fast requests leave. */
const MAX_GAP_MS = 1000;
const GAP_GAIN = 0.2;

export class WaitingQueue {
	private readonly _heap = new TinyQueue<EntryRequest>([], (a, b) => a.route.rank - b.route.rank || a.deadlineAtMs - b.deadlineAtMs);
	/** Time between two departures while requests waited, smoothed. */
	private _departureMs = 0;
	private _departedAtMs = Number.NEGATIVE_INFINITY;
	private _waiting = 0;
	/** Whether others waited when the last one left: only then does the next departure tell a rate. */
	private _isBacklog = false;

	get waiting(): number {
		return this._waiting;
	}

	push(request: EntryRequest): void {
		this._heap.push(request);
		this._waiting++;
	}

	/** The next request that still waits. */
	peek(): EntryRequest | undefined {
		for (;;) {
			const first = this._heap.peek();
			if (!first || first.phase === 'queued') {
				return first;
			}

			this._heap.pop();
		}
	}

	/** Takes the request that `peek` gave out of the queue. */
	shift(nowMs: number): void {
		this._heap.pop();
		this._waiting--;
		if (this._isBacklog) {
			const gapMs = Math.min(nowMs - this._departedAtMs, MAX_GAP_MS);
			this._departureMs += (gapMs - this._departureMs) * GAP_GAIN;
		}

		this._departedAtMs = nowMs;
		this._isBacklog = this._waiting > 0;
	}

	/** Counts a request out that was refused or whose caller left; the heap drops it later. */
	remove(): void {
		this._waiting--;
	}

	/** Time until a request that joins now would leave. */
	expectedWaitMs(): number {
		return this._waiting * this._departureMs;
	}
}
