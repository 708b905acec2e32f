/**
Timers of the reducer. They are state like everything else and fire on `tick`
events. A timer that is no longer wanted is left in the heap; its handler sees
from the sequence number that it is stale.
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
	| {readonly kind: 'periodic'; readonly duty: PeriodicDuty};

export type PeriodicDuty = 'exchange' | 'configuration' | 'lease' | 'placement' | 'demand' | 'housekeeping' | 'drain';

type Entry = {
	readonly dueMs: number;
	readonly order: number;
	readonly timer: Timer;
};

export class Timers {
	private readonly _heap = new TinyQueue<Entry>([], (a, b) => a.dueMs - b.dueMs || a.order - b.order);
	private _order = 0;

	get size(): number {
		return this._heap.length;
	}

	/** Due time of the earliest timer, undefined when none is set. */
	get nextDueMs(): number | undefined {
		return this._heap.peek()?.dueMs;
	}

	set(dueMs: number, timer: Timer): void {
		this._order++;
		this._heap.push({dueMs, order: this._order, timer});
	}

	/** Removes and returns the earliest timer that is due. */
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
