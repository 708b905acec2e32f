/**
Work that is done right after the event loop has read what had arrived: data, and the ends
of connections. Node.js hands over what is ready in rounds, and the end of a connection at
least one round after its data; in a process that is behind, a round can take seconds. Work
is done in the order in which it came, for a limited time after each round, so that what
arrives meanwhile is read before the rest.
*/
import {performance} from 'node:perf_hooks';

/** Time for work after a round; the rest waits for the next one. */
const WORK_MS = 50;
/** What arrives during a longer round may concern the work that waits, so that another one is waited for. */
const LONG_ROUND_MS = 250;
/** Limit for these, so that work is done however long rounds take. */
const EXTRA_ROUNDS = 3;

export type EventLoopOptions = {
	/** Called with the length of each round that work waited for. */
	readonly onRound?: (ms: number) => void;
};

export class EventLoop {
	/** Work that has waited for all its rounds. */
	private _ready: Array<() => void> = [];
	/** Work that has waited for a complete round. */
	private _due: Array<() => void> = [];
	/** Work that was added during a round. */
	private _added: Array<() => void> = [];
	private _isScheduled = false;
	private _isWorking = false;
	private _extraRounds = 0;
	private _roundFromMs = 0;

	constructor(private readonly _options: EventLoopOptions = {}) {}

	/** Runs work once the event loop has read everything that has arrived by now. */
	async afterRead<Result>(work: () => Promise<Result>): Promise<Result> {
		return new Promise(resolve => {
			(this._isWorking ? this._due : this._added).push(() => {
				resolve(work());
			});
			this._schedule();
		});
	}

	private _schedule(): void {
		if (!this._isScheduled) {
			this._isScheduled = true;
			setImmediate(() => {
				this._endRound();
			});
		}
	}

	private _endRound(): void {
		this._isScheduled = false;
		const nowMs = performance.now();
		const roundMs = nowMs - this._roundFromMs;
		if (this._due.length > 0 || this._ready.length > 0) {
			this._options.onRound?.(roundMs);
		}

		if (this._due.length > 0) {
			if (roundMs <= LONG_ROUND_MS || this._extraRounds === EXTRA_ROUNDS) {
				this._extraRounds = 0;
				this._ready.push(...this._due);
				this._due = [];
			} else {
				this._extraRounds++;
			}
		}

		this._work(nowMs + WORK_MS);
		this._due.push(...this._added);
		this._added = [];
		if (this._due.length > 0 || this._ready.length > 0) {
			this._roundFromMs = performance.now();
			this._schedule();
		}
	}

	private _work(untilMs: number): void {
		const works = this._ready;
		let done = 0;
		this._isWorking = true;
		while (done < works.length && performance.now() < untilMs) {
			works[done]!();
			done++;
		}

		this._isWorking = false;
		this._ready = works.slice(done);
	}
}
