/**
Priority queue of requests that wait for capacity at the same targets. The most urgent
rank goes first. Within a rank, those that can still be served within their objective go
before those that are late already, so that a backlog does not make all of them late.
Streams that have begun go before both, since their callers cannot be refused any more.
Requests of workspaces form a flow for each workspace and rank. Flows of the same rank
are served by start-time fair queueing, with the requests' tokens as their costs and equal
weights, so that a workspace which sends much delays only itself. All other requests form
one flow. The set of waiting requests decides what waits and how many; removal from the
heaps is lazy, when a request that no longer waits reaches the head.
*/
import TinyQueue from 'tinyqueue';
import {type EntryRequest} from './types.js';

/** Intervals between departures are capped at this, since a longer one means that no request waited, and does not show how fast requests leave. */
const MAX_INTERVAL_MS = 1000;
const INTERVAL_SMOOTHING = 0.2;
/** Cost of a request that states no tokens. */
const PLAIN_COST = 1000;
/** No request costs less, so that many small ones do not take all turns. */
const MIN_COST = 200;
const COMMON_FLOW = '';

export type WaitingQueueOptions = {
	/** Whether requests that are late already go last within their rank; otherwise the earliest deadline goes first. */
	readonly putsPunctualFirst: boolean;
};

/** Requests that are served in the order of their rank and punctuality. */
class Flow {
	/** Virtual time from which its next request may be served. */
	startTag = 0;
	private readonly _punctual: TinyQueue<EntryRequest>;
	/** Requests whose objective has passed. */
	private readonly _late = new TinyQueue<EntryRequest>([], (a, b) => a.route.rank - b.route.rank || a.deadlineAtMs - b.deadlineAtMs);
	/** The waiting requests of each rank. */
	private readonly _waitingByRank = new Map<number, Set<EntryRequest>>();

	constructor(readonly name: string, private readonly _options: WaitingQueueOptions) {
		this._punctual = new TinyQueue<EntryRequest>([], (a, b) => a.route.rank - b.route.rank || Number(b.hasHead) - Number(a.hasHead) || this._dueAtMs(a) - this._dueAtMs(b));
	}

	get waiting(): number {
		return this.waitingUpTo(Number.POSITIVE_INFINITY);
	}

	waitingUpTo(rank: number): number {
		let waiting = 0;
		for (const [other, {size}] of this._waitingByRank) {
			waiting += other <= rank ? size : 0;
		}

		return waiting;
	}

	waitingAt(rank: number): number {
		return this._waitingByRank.get(rank)?.size ?? 0;
	}

	/** Number of waiting requests of a rank whose streams have begun. */
	begunAt(rank: number): number {
		return [...this._waitingByRank.get(rank) ?? []].filter(({hasHead}) => hasHead).length;
	}

	push(request: EntryRequest): void {
		this._punctual.push(request);
		this._waitingOf(request).add(request);
	}

	peek(nowMs: number): EntryRequest | undefined {
		for (let first = this._firstWaiting(this._punctual); first && !first.hasHead && this._dueAtMs(first) < nowMs; first = this._firstWaiting(this._punctual)) {
			this._punctual.pop();
			this._late.push(first);
		}

		return this._isLateFirst() ? this._late.peek() : this._punctual.peek();
	}

	/** Removes the request that `peek` returned. */
	shift(): EntryRequest {
		const request = (this._isLateFirst() ? this._late : this._punctual).pop()!;
		this.remove(request);
		return request;
	}

	remove(request: EntryRequest): void {
		this._waitingOf(request).delete(request);
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

export class WaitingQueue {
	/** Flows by name; that of requests without a workspace is always there. */
	private readonly _flows = new Map<string, Flow>();
	/** Start tag of the request that was served last. */
	private _virtualTime = 0;
	/** Smoothed interval between two departures while requests waited. */
	private _departureIntervalMs = 0;
	private _lastDepartureAtMs = Number.NEGATIVE_INFINITY;
	/** Whether requests were left after the last departure: only then does the interval to the next one show the rate. */
	private _hadBacklog = false;

	constructor(private readonly _options: WaitingQueueOptions = {putsPunctualFirst: true}) {
		this._flows.set(COMMON_FLOW, new Flow(COMMON_FLOW, _options));
	}

	get waiting(): number {
		return this._sum(flow => flow.waiting);
	}

	/** Number of requests of a rank and of more urgent ones, which are served before the others. */
	waitingUpTo(rank: number): number {
		return this._sum(flow => flow.waitingUpTo(rank));
	}

	/** Number of requests that are served up to one that waits here, with it. A stream that has begun goes before those of its rank that have not. */
	waitingUpToRequest(request: EntryRequest): number {
		const {route: {rank}, hasHead} = request;
		return hasHead ? this.waitingUpTo(rank - 1) + this._sum(flow => flow.begunAt(rank)) : this._waitingBefore(request, 0);
	}

	push(request: EntryRequest): void {
		const name = flowOf(request);
		let flow = this._flows.get(name);
		if (!flow) {
			flow = new Flow(name, this._options);
			this._flows.set(name, flow);
		}

		if (flow.waiting === 0) {
			flow.startTag = Math.max(flow.startTag, this._virtualTime);
		}

		flow.push(request);
	}

	/** The first request that still waits, without removing it. */
	peek(nowMs: number): EntryRequest | undefined {
		return this._firstFlow(nowMs)?.peek(nowMs);
	}

	/** Removes the request that `peek` returned. */
	shift(nowMs: number): void {
		const flow = this._firstFlow(nowMs)!;
		const request = flow.shift();
		if (!request.hasHead) {
			// Streams that have begun go out of turn.
			this._virtualTime = Math.max(this._virtualTime, flow.startTag);
		}

		flow.startTag += costOf(request);
		this._forgetEmpty(flow);
		if (this._hadBacklog) {
			const intervalMs = Math.min(nowMs - this._lastDepartureAtMs, MAX_INTERVAL_MS);
			this._departureIntervalMs += (intervalMs - this._departureIntervalMs) * INTERVAL_SMOOTHING;
		}

		this._lastDepartureAtMs = nowMs;
		this._hadBacklog = this.waiting > 0;
	}

	/** Removes a request if it waits here. */
	remove(request: EntryRequest): void {
		const flow = this._flows.get(flowOf(request));
		if (flow) {
			flow.remove(request);
			this._forgetEmpty(flow);
		}
	}

	/** Expected time that a request would wait if it was enqueued now. */
	expectedWaitMs(request: EntryRequest): number {
		return this._waitingBefore(request, 1) * this._departureIntervalMs;
	}

	/** Expected time that a request that waits here has yet to wait. */
	expectedWaitOfMs(request: EntryRequest): number {
		return this.waitingUpToRequest(request) * this._departureIntervalMs;
	}

	/** Requests served up to a request that has `added` to its flow: of its own rank, no other flow has more turns than its own. */
	private _waitingBefore(request: EntryRequest, added: number): number {
		const {rank} = request.route;
		const own = this._flows.get(flowOf(request));
		if (this._flows.size === 1 && own) {
			return this.waitingUpTo(rank);
		}

		const turns = (own?.waitingAt(rank) ?? 0) + added;
		return this.waitingUpTo(rank - 1) + this._sum(flow => flow === own ? flow.waitingAt(rank) : Math.min(flow.waitingAt(rank), turns));
	}

	/** The flow whose request goes next. Of one flow alone, it is that one. */
	private _firstFlow(nowMs: number): Flow | undefined {
		let best: Flow | undefined;
		let bestRequest: EntryRequest | undefined;
		for (const flow of this._flows.values()) {
			const request = flow.peek(nowMs);
			if (request && (!best || !bestRequest || goesBefore(flow, request, best, bestRequest))) {
				best = flow;
				bestRequest = request;
			}
		}

		return best;
	}

	/** Forgets the turns of all flows once nothing waits, and an empty flow that is owed none, so that their number stays that of the workspaces that wait. */
	private _forgetEmpty(flow: Flow): void {
		if (flow.name !== COMMON_FLOW && flow.waiting === 0 && flow.startTag <= this._virtualTime) {
			this._flows.delete(flow.name);
		}

		const common = this._flows.get(COMMON_FLOW)!;
		if ((this._flows.size > 1 || common.startTag > 0) && this.waiting === 0) {
			common.startTag = 0;
			this._virtualTime = 0;
			this._flows.clear();
			this._flows.set(COMMON_FLOW, common);
		}
	}

	private _sum(count: (flow: Flow) => number): number {
		let sum = 0;
		for (const flow of this._flows.values()) {
			sum += count(flow);
		}

		return sum;
	}
}

function goesBefore(flow: Flow, request: EntryRequest, other: Flow, otherRequest: EntryRequest): boolean {
	const order = request.route.rank - otherRequest.route.rank || Number(otherRequest.hasHead) - Number(request.hasHead) || flow.startTag - other.startTag;
	return order < 0 || (order === 0 && request.arrivedAtMs < otherRequest.arrivedAtMs);
}

/** Flows of workspaces are separate for each rank, since a turn at one rank does not count at another. */
function flowOf({workspace, route: {rank}}: EntryRequest): string {
	return workspace ? `${rank} ${workspace.name}` : COMMON_FLOW;
}

function costOf({arrival: {promptTokens, outputTokens}}: EntryRequest): number {
	return promptTokens === undefined && outputTokens === undefined ? PLAIN_COST : Math.max(MIN_COST, (promptTokens ?? 0) + (outputTokens ?? 0));
}
