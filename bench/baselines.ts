/**
Simulates baseline policies for routing and placement on the same fake targets. Requests
are sent immediately and queue at the engine; if a target fails, they are retried on
another one. Load reports are as old as those that pollenarch gets.
*/
import TinyQueue from 'tinyqueue';
import {priorities} from '../src/core/request/fair-queue.js';
import {FakeTarget, type Job} from '../test/standins/fake-target.js';
import {type RunTotals} from './score.js';
import {
	MODEL_LOAD_MS, MODEL_MB, modelName, ENGINE_MEMORY_MB, type Fault, type Trace, type TracedRequest,
} from './trace.js';

export type RoutingPolicy = 'round-robin' | 'least-loaded';
export type PlacementPolicy = 'static' | 'lru' | 'proportional';

const RESTART_DELAY_MS = 10_000;
const REPORT_INTERVAL_MS = 500;
const MAX_TRIES = 4;
const SILENCE_TIMEOUT_MS = 5000;
const REBALANCE_INTERVAL_MS = 30_000;
const RETRY_INTERVAL_MS = 200;
const COOLDOWN_MS = 60_000;

type ScheduledCallback = {readonly atMs: number; readonly sequence: number; readonly callback: () => void};

type BaselineEngine = {
	readonly target: FakeTarget;
	readonly zone: string;
	/** Load as known to each instance: the last report plus the tries that it has sent since. */
	readonly knownLoad: number[];
	readonly lastUsed: Map<string, number>;
	readonly loading: Set<string>;
};

class BaselineRun {
	private _nowMs = 0;
	private _sequence = 0;
	private _roundRobinIndex = 0;
	private _moves = 0;
	private _activeLoads = 0;
	private _nextLoadAllowedAtMs = 0;
	private _partitionedZone: string | undefined;
	private _failedInstance = {instance: -1, atMs: 0};
	private readonly _schedule = new TinyQueue<ScheduledCallback>([], (a, b) => a.atMs - b.atMs || a.sequence - b.sequence);
	private readonly _engines: BaselineEngine[];
	private readonly _finished = new Map<string, number>();
	private readonly _demand = new Map<string, number>();

	constructor(private readonly _trace: Trace, private readonly _routing: RoutingPolicy, private readonly _placement: PlacementPolicy) {
		const {shape} = _trace;
		this._engines = Array.from({length: shape.engines}, (_, index) => ({
			target: new FakeTarget({id: `runner-${index}`, slots: shape.slots, resident: initialModels(index, shape.engines, shape.models)}),
			zone: shape.zones[index % shape.zones.length] ?? '',
			knownLoad: Array.from({length: shape.instances}, () => 0),
			lastUsed: new Map(),
			loading: new Set(),
		}));
	}

	run(): RunTotals {
		const {requests, faults, durationMs} = this._trace;
		for (const request of requests) {
			this._scheduleAt(request.atMs, () => {
				this._demand.set(request.model, (this._demand.get(request.model) ?? 0) + 1);
				this._send(request, 1, undefined);
			});
		}

		for (const fault of faults) {
			this._scheduleAt(fault.atMs, () => {
				this._applyFault(fault);
			});
		}

		this._refreshReports();
		if (this._placement === 'proportional') {
			this._rebalance();
		}

		const untilMs = durationMs + COOLDOWN_MS;
		for (let next = this._schedule.pop(); next && next.atMs <= untilMs; next = this._schedule.pop()) {
			this._nowMs = next.atMs;
			next.callback();
		}

		return {
			policy: `${this._routing} + ${this._placement}`,
			finished: this._finished,
			moves: this._moves,
			targetsLost: this._engines.reduce((sum, {target}) => sum + target.crashes, 0),
		};
	}

	private _scheduleAt(atMs: number, callback: () => void): void {
		this._sequence++;
		this._schedule.push({atMs, sequence: this._sequence, callback});
	}

	private _scheduleAfter(delayMs: number, callback: () => void): void {
		this._scheduleAt(this._nowMs + delayMs, callback);
	}

	private _refreshReports(): void {
		for (const engine of this._engines) {
			engine.knownLoad.fill(engine.target.running.size + engine.target.waiting.length);
		}

		this._scheduleAfter(REPORT_INTERVAL_MS, () => {
			this._refreshReports();
		});
	}

	private _isReachable(request: TracedRequest, engine: BaselineEngine): boolean {
		const {zones} = this._trace.shape;
		const from = zones[Math.floor(request.entryFraction * zones.length)];
		return this._partitionedZone === undefined || (from === this._partitionedZone) === (engine.zone === this._partitionedZone);
	}

	private _send(request: TracedRequest, tryNumber: number, failedEngine: BaselineEngine | undefined): void {
		const holders = this._engines.filter(engine => engine.target.isUp
			&& engine !== failedEngine
			&& engine.target.resident.has(`${request.model}@1`)
			&& this._isReachable(request, engine));
		const instance = Math.floor(request.entryFraction * this._trace.shape.instances);
		const engine = this._chooseEngine(holders, instance);
		if (!engine) {
			this._handleMissingCopy(request, tryNumber);
			return;
		}

		engine.knownLoad[instance] = (engine.knownLoad[instance] ?? 0) + 1;
		engine.lastUsed.set(request.model, this._nowMs);
		this._startTry(request, tryNumber, engine);
	}

	private _chooseEngine(holders: readonly BaselineEngine[], instance: number): BaselineEngine | undefined {
		if (this._routing === 'round-robin') {
			this._roundRobinIndex++;
			return holders[this._roundRobinIndex % Math.max(1, holders.length)];
		}

		return holders.toSorted((a, b) => (a.knownLoad[instance] ?? 0) - (b.knownLoad[instance] ?? 0)).at(0);
	}

	private _startTry(request: TracedRequest, tryNumber: number, engine: BaselineEngine): void {
		const {target} = engine;
		const retry = () => {
			if (tryNumber < MAX_TRIES) {
				this._send(request, tryNumber + 1, engine);
			}
		};

		const job: Job = {
			contentHash: request.content,
			serviceMs: request.serviceMs,
			priorityRank: priorities.indexOf(request.priority),
			onStart: () => {
				this._scheduleAfter(request.serviceMs, () => {
					if (!target.running.has(job)) {
						return;
					}

					if (request.crashesTargets) {
						this._crash(engine);
						return;
					}

					target.running.delete(job);
					this._startWaitingJobs(target);
					if (request.isSilent && tryNumber === 1) {
						this._scheduleAfter(SILENCE_TIMEOUT_MS, retry);
					} else {
						this._finish(request);
					}
				});
			},
			onEnd: retry,
		};
		target.waiting.push(job);
		this._startWaitingJobs(target);
	}

	/** Records an answer, unless it is lost because the instance that accepted the request has failed since. */
	private _finish(request: TracedRequest): void {
		const instance = Math.floor(request.entryFraction * this._trace.shape.instances);
		if (instance !== this._failedInstance.instance || request.atMs > this._failedInstance.atMs) {
			this._finished.set(request.id, this._nowMs);
		}
	}

	private _startWaitingJobs(target: FakeTarget): void {
		for (let job = target.startNext(); job; job = target.startNext()) {
			job.onStart();
		}
	}

	/** Called when no reachable engine has the model. LRU loads it; the other policies wait until a copy is available again. */
	private _handleMissingCopy(request: TracedRequest, tryNumber: number): void {
		if (this._nowMs > request.atMs + request.deadlineMs) {
			return;
		}

		if (this._placement === 'lru' && !this._engines.some(({loading}) => loading.has(request.model))) {
			const instance = Math.floor(request.entryFraction * this._trace.shape.instances);
			const candidates = this._engines.filter(({target}) => target.isUp).toSorted((a, b) => (a.knownLoad[instance] ?? 0) - (b.knownLoad[instance] ?? 0));
			const [engine] = candidates;
			if (engine) {
				this._load(engine, request.model);
			}
		}

		this._scheduleAfter(RETRY_INTERVAL_MS, () => {
			this._send(request, tryNumber, undefined);
		});
	}

	/** Loads a model if the limits of the weight store allow it. Evicts the least recently used models to make room. */
	private _load(engine: BaselineEngine, model: string): void {
		const {shape} = this._trace;
		if (this._nowMs < this._nextLoadAllowedAtMs || this._activeLoads >= shape.weightLoadsAtOnce || engine.loading.has(model)) {
			return;
		}

		const {target} = engine;
		while (target.memoryMb + (engine.loading.size * MODEL_MB) + MODEL_MB > ENGINE_MEMORY_MB) {
			const leastRecentlyUsed = [...target.resident.keys()].toSorted((a, b) => (engine.lastUsed.get(a.slice(0, -2)) ?? 0) - (engine.lastUsed.get(b.slice(0, -2)) ?? 0)).at(0);
			if (!leastRecentlyUsed) {
				return;
			}

			target.resident.delete(leastRecentlyUsed);
			this._moves++;
		}

		this._nextLoadAllowedAtMs = this._nowMs + (1000 / shape.weightLoadsPerSecond);
		this._activeLoads++;
		engine.loading.add(model);
		this._scheduleAfter(MODEL_LOAD_MS, () => {
			this._activeLoads--;
			if (engine.loading.delete(model) && target.isUp) {
				target.resident.set(`${model}@1`, MODEL_MB);
				this._moves++;
			}
		});
	}

	private _crash(engine: BaselineEngine): void {
		const models = [...engine.target.resident.keys()];
		engine.loading.clear();
		engine.target.crash();
		this._scheduleAfter(RESTART_DELAY_MS, () => {
			engine.target.restart();
			if (this._placement !== 'lru') {
				this._reloadModels(engine, models.map(name => name.slice(0, -2)));
			}
		});
	}

	/** Reloads the models that an engine had before its crash, as fast as the limits of the weight store allow. */
	private _reloadModels(engine: BaselineEngine, models: readonly string[]): void {
		const missing = models.find(model => !engine.target.resident.has(`${model}@1`) && !engine.loading.has(model));
		const next = missing;
		if (next && engine.target.isUp) {
			this._load(engine, next);
			this._scheduleAfter(RETRY_INTERVAL_MS, () => {
				this._reloadModels(engine, models);
			});
		}
	}

	/** Gives every model copies in proportion to its recent demand, but at least one. */
	private _rebalance(): void {
		const total = [...this._demand.values()].reduce((sum, count) => sum + count, 0);
		const copyCapacity = (ENGINE_MEMORY_MB / MODEL_MB) * this._engines.length;
		const {models} = this._trace.shape;
		const modelCount = total > 0 ? models : 0;
		for (let index = 0; index < modelCount; index++) {
			const model = modelName(index);
			const desiredCopies = Math.max(1, Math.min(this._engines.length, Math.round(((this._demand.get(model) ?? 0) / total) * copyCapacity)));
			const holders = this._engines.filter(({target}) => target.resident.has(`${model}@1`));
			this._adjustCopies(model, desiredCopies, holders);
		}

		this._demand.clear();
		this._scheduleAfter(REBALANCE_INTERVAL_MS, () => {
			this._rebalance();
		});
	}

	private _adjustCopies(model: string, desiredCopies: number, holders: readonly BaselineEngine[]): void {
		for (const engine of holders.slice(desiredCopies)) {
			engine.target.resident.delete(`${model}@1`);
			this._moves++;
		}

		const candidates = this._engines.filter(engine => engine.target.isUp && !holders.includes(engine) && engine.target.memoryMb + MODEL_MB <= ENGINE_MEMORY_MB);
		for (const engine of candidates.slice(0, Math.max(0, desiredCopies - holders.length))) {
			this._load(engine, model);
		}
	}

	private _applyFault(fault: Fault): void {
		switch (fault.kind) {
			case 'engine-crash': {
				const engine = this._engines[fault.engine];
				if (engine?.target.isUp) {
					this._crash(engine);
				}

				break;
			}

			case 'partition-start': {
				this._partitionedZone = this._trace.shape.zones[fault.zone];

				break;
			}

			case 'instance-crash': {
				this._failedInstance = {instance: fault.instance, atMs: this._nowMs};

				break;
			}

			case 'partition-end': {
				this._partitionedZone = undefined;

				break;
			}
		// No default
		}
		// Table outages have no effect, because the baselines store nothing in the table.
	}
}

/** Models of an engine at the start: two copies of every model on engines in different zones, as far as memory allows. */
function initialModels(index: number, engines: number, models: number): Record<string, number> {
	const resident: Record<string, number> = {};
	for (let model = 0; model < models; model++) {
		const isFirst = model % engines === index;
		const isSecond = (model + 1 + Math.floor(model / engines)) % engines === index;
		if ((isFirst || isSecond) && Object.keys(resident).length < ENGINE_MEMORY_MB / MODEL_MB) {
			resident[`${modelName(model)}@1`] = MODEL_MB;
		}
	}

	return resident;
}

export function runBaseline(trace: Trace, routing: RoutingPolicy, placement: PlacementPolicy): RunTotals {
	return new BaselineRun(trace, routing, placement).run();
}
