/**
Timers of the reducer. They are part of the state and fire whenever an event is reduced;
the daemon dispatches a `tick` so that they fire in time. Timers are never canceled: an
obsolete one stays in the heap, and its handler ignores it, for instance because its
sequence number is stale.
*/
import TinyQueue from 'tinyqueue';
import {type RequestId, type TargetId} from './types.js';

export type Timer =
	| {readonly kind: 'request'; readonly requestId: RequestId; readonly sequence: number}
	| {readonly kind: 'deadline'; readonly requestId: RequestId}
	| {readonly kind: 'silence'; readonly requestId: RequestId; readonly tryNumber: number}
	| {readonly kind: 'claim-retry'; readonly requestId: RequestId; readonly sequence: number}
	| {readonly kind: 'settle-retry'; readonly claimKey: string; readonly token: string}
	| {readonly kind: 'patch-retry'; readonly operationId: string}
	| {readonly kind: 'isolation'; readonly targetId: TargetId}
	| {readonly kind: 'periodic'; readonly duty: PeriodicTask};

export type PeriodicTask = 'exchange' | 'configuration' | 'lease' | 'placement' | 'demand' | 'housekeeping' | 'drain';

type TimerEntry = {
	readonly dueMs: number;
	readonly order: number;
	readonly timer: Timer;
};

export class Timers {
	private readonly _heap = new TinyQueue<TimerEntry>([], (a, b) => a.dueMs - b.dueMs || a.order - b.order);
	private _order = 0;

	get size(): number {
		return this._heap.length;
	}

	/** Due time of the earliest timer, `undefined` if none is set. */
	get nextDueMs(): number | undefined {
		return this._heap.peek()?.dueMs;
	}

	set(dueMs: number, timer: Timer): void {
		this._order++;
		this._heap.push({dueMs, order: this._order, timer});
	}

	/** Removes and returns the earliest timer if it is due. */
	takeDue(nowMs: number): Timer | undefined {
		const first = this._heap.peek();
		if (!first || first.dueMs > nowMs) {
			return undefined;
		}

		return this._heap.pop()?.timer;
	}

	toJSON(): number {
		return this._heap.length;
	}
}
