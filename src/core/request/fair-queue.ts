/**
Requests of one route that wait for room. Priority comes first. Within a priority
callers take turns in proportion to their weights, counted in rounds of a few
requests; within a round the earliest deadline goes first. A caller that sends
little is thus never behind the backlog of one that sends much.
*/
import TinyQueue from 'tinyqueue';
import {type Priority} from '../configuration/types.js';
import {type OpenRequest} from './types.js';

/** Requests of a caller with weight 1 that share a round and are ordered by deadline alone. */
const REQUESTS_PER_ROUND = 4;

export const priorities: readonly Priority[] = ['urgent', 'normal', 'batch'];

type PriorityQueue = {
	readonly heap: TinyQueue<OpenRequest>;
	/** Virtual finish tag of each caller's last request. */
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

/** Requests that wait in any of several queues. */
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

	/** Requests that would be served before a new one of this priority. */
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

	/** Puts a request back with the rank that it had. */
	reinsert(request: OpenRequest): void {
		const queue = this._queues[request.priority];
		queue.waiting++;
		this._count.total++;
		queue.heap.push(request);
	}

	/** The request to serve next, not removed. Requests that left the queue otherwise are dropped. */
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

	/** Removes what `peek` returned. */
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

	/** Takes note that a request left the queue without being served. Its phase must have changed. */
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
