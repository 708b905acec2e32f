/**
Queue of one route's requests that wait for room at a target. Priorities are strict.
Within a priority, callers share rounds of a few requests in proportion to their weights
(weighted fair queueing), and within a round the earliest deadline comes first. A caller
with few requests thus never waits behind another caller's backlog.
*/
import TinyQueue from 'tinyqueue';
import {type Priority} from '../configuration/types.js';
import {type OpenRequest} from './types.js';

/** Requests of a caller with weight 1 that fall into one round, within which only the deadline decides. */
const REQUESTS_PER_ROUND = 4;

export const priorities: readonly Priority[] = ['urgent', 'normal', 'batch'];

type PriorityQueue = {
	readonly heap: TinyQueue<OpenRequest>;
	/** Virtual finish time of each caller's last request. */
	readonly tags: Map<string, number>;
	virtualTime: number;
	waiting: number;
};

function createQueue(): PriorityQueue {
	return {
		heap: new TinyQueue<OpenRequest>([], (a, b) => a.round - b.round || a.deadlineAtMs - b.deadlineAtMs || a.arrivedAtMs - b.arrivedAtMs),
		tags: new Map(),
		virtualTime: 0,
		waiting: 0,
	};
}

/** Number of queued requests, shared by several queues. */
export type WaitingCount = {
	total: number;
};

export class FairQueue {
	private readonly _queues: Readonly<Record<Priority, PriorityQueue>> = {
		urgent: createQueue(),
		normal: createQueue(),
		batch: createQueue(),
	};

	constructor(private readonly _count: WaitingCount) {}

	get waiting(): number {
		return this._queues.urgent.waiting + this._queues.normal.waiting + this._queues.batch.waiting;
	}

	/** Number of queued requests of this priority or a higher one. */
	waitingAhead(priority: Priority): number {
		let ahead = 0;
		for (const candidate of priorities) {
			ahead += this._queues[candidate].waiting;
			if (candidate === priority) {
				break;
			}
		}

		return ahead;
	}

	waitingOf(priority: Priority): number {
		return this._queues[priority].waiting;
	}

	push(request: OpenRequest, weight: number): void {
		const queue = this._queues[request.priority];
		const tag = Math.max(queue.virtualTime, queue.tags.get(request.caller) ?? 0) + (1 / weight);
		queue.tags.set(request.caller, tag);
		request.round = Math.floor(tag / REQUESTS_PER_ROUND);
		queue.waiting++;
		this._count.total++;
		queue.heap.push(request);
	}

	/** Reinserts a request that left the queue, keeping its round. */
	reinsert(request: OpenRequest): void {
		const queue = this._queues[request.priority];
		queue.waiting++;
		this._count.total++;
		queue.heap.push(request);
	}

	/** The next request, without removing it. Heap entries of requests that are no longer queued are discarded. */
	peek(priority: Priority): OpenRequest | undefined {
		const queue = this._queues[priority];
		for (;;) {
			const first = queue.heap.peek();
			if (!first || first.phase === 'queued') {
				return first;
			}

			queue.heap.pop();
		}
	}

	/** Removes and returns the request that `peek` returns. */
	shift(priority: Priority): OpenRequest | undefined {
		const first = this.peek(priority);
		if (!first) {
			return undefined;
		}

		const queue = this._queues[priority];
		queue.heap.pop();
		queue.waiting--;
		this._count.total--;
		queue.virtualTime = Math.max(queue.virtualTime, first.round * REQUESTS_PER_ROUND);
		if (queue.waiting === 0) {
			queue.tags.clear();
			queue.virtualTime = 0;
		}

		return first;
	}

	/**
	Removes a request that was not served. Its phase must have changed already: the heap
	entry stays until `peek` discards it.
	*/
	remove(request: OpenRequest): void {
		this._queues[request.priority].waiting--;
		this._count.total--;
	}

	toJSON(): Record<Priority, number> {
		return {
			urgent: this._queues.urgent.waiting,
			normal: this._queues.normal.waiting,
			batch: this._queues.batch.waiting,
		};
	}
}
