/**
Discrete-event simulation on a virtual clock: actions run in the order of their times,
and those of the same time in the order in which they were scheduled.
*/
import TinyQueue from 'tinyqueue';

type ScheduledAction = {
	readonly atMs: number;
	readonly number: number;
	readonly run: () => void;
};

export class Simulation {
	nowMs = 0;
	private readonly _actions = new TinyQueue<ScheduledAction>([], (a, b) => a.atMs - b.atMs || a.number - b.number);
	private _scheduled = 0;

	schedule(delayMs: number, run: () => void): void {
		this._scheduled++;
		this._actions.push({atMs: this.nowMs + Math.max(0, delayMs), number: this._scheduled, run});
	}

	/** Runs all actions up to a time. */
	runUntil(endMs: number): void {
		for (let next = this._actions.peek(); next && next.atMs <= endMs; next = this._actions.peek()) {
			this._actions.pop();
			this.nowMs = next.atMs;
			next.run();
		}

		this.nowMs = endMs;
	}
}
