/**
Simple policies on the same fakes: how requests choose a target, and how models
are placed. Each sends at once and lets the engine queue; a request whose target
fails is sent to another one. All see load reports as old as ours.
*/
import TinyQueue from 'tinyqueue';
import {priorities} from '../src/core/request/fair-queue.js';
import {FakeTarget, type Job} from '../test/standins/fake-target.js';
import {type RunTotals} from './score.js';
import {
	LOAD_MS, MODEL_MB, modelName, RUNNER_MB, type Fault, type Trace, type TracedRequest,
} from './trace.js';

export type RoutingPolicy = 'round-robin' | 'least-loaded';
export type PlacementPolicy = 'static' | 'lru' | 'proportional';

const RESTART_MS = 10_000;
const REPORT_MS = 500;
const MAX_TRIES = 4;
const SILENCE_MS = 5000;
const REPLACE_MS = 30_000;
const RETRY_MISS_MS = 200;
const TAIL_MS = 60_000;

type Entry = {readonly atMs: number; readonly order: number; readonly run: () => void};

type Runner = {
	readonly target: FakeTarget;
	readonly zone: string;
	/** Load as each instance knows it: last reported, and its own sends since. */
	readonly known: number[];
	readonly lastUsed: Map<string, number>;
	readonly loading: Set<string>;
};

class BaselineRun {
	private _nowMs = 0;
	private _order = 0;
	private _turn = 0;
	private _moves = 0;
	private _loadsUnderWay = 0;
	private _nextLoadAtMs = 0;
	private _cutZone: string | undefined;
	private _died = {instance: -1, atMs: 0};
	private readonly _queue = new TinyQueue<Entry>([], (a, b) => a.atMs - b.atMs || a.order - b.order);
	private readonly _runners: Runner[];
	private readonly _finished = new Map<string, number>();
	private readonly _demand = new Map<string, number>();

	constructor(private readonly _trace: Trace, private readonly _routing: RoutingPolicy, private readonly _placement: PlacementPolicy) {
		const {shape} = _trace;
		this._runners = Array.from({length: shape.runners}, (_, index) => ({
			target: new FakeTarget({id: `runner-${index}`, slots: shape.slots, resident: residentAtStart(index, shape.runners, shape.models)}),
			zone: shape.zones[index % shape.zones.length] ?? '',
			known: Array.from({length: shape.instances}, () => 0),
			lastUsed: new Map(),
			loading: new Set(),
		}));
	}

	run(): RunTotals {
		const {requests, faults, durationMs} = this._trace;
		for (const request of requests) {
			this._at(request.atMs, () => {
				this._demand.set(request.model, (this._demand.get(request.model) ?? 0) + 1);
				this._send(request, 1, undefined);
			});
		}

		for (const fault of faults) {
			this._at(fault.atMs, () => {
				this._applyFault(fault);
			});
		}

		this._report();
		if (this._placement === 'proportional') {
			this._replace();
		}

		const untilMs = durationMs + TAIL_MS;
		for (let next = this._queue.pop(); next && next.atMs <= untilMs; next = this._queue.pop()) {
			this._nowMs = next.atMs;
			next.run();
		}

		return {
			policy: `${this._routing} + ${this._placement}`,
			finished: this._finished,
			moves: this._moves,
			targetsLost: this._runners.reduce((sum, {target}) => sum + target.crashes, 0),
		};
	}

	private _at(atMs: number, run: () => void): void {
		this._order++;
		this._queue.push({atMs, order: this._order, run});
	}

	private _after(delayMs: number, run: () => void): void {
		this._at(this._nowMs + delayMs, run);
	}

	private _report(): void {
		for (const runner of this._runners) {
			runner.known.fill(runner.target.running.size + runner.target.waiting.length);
		}

		this._after(REPORT_MS, () => {
			this._report();
		});
	}

	private _isReached(request: TracedRequest, runner: Runner): boolean {
		const {zones} = this._trace.shape;
		const from = zones[Math.floor(request.entry * zones.length)];
		return this._cutZone === undefined || (from === this._cutZone) === (runner.zone === this._cutZone);
	}

	private _send(request: TracedRequest, tries: number, failed: Runner | undefined): void {
		const holders = this._runners.filter(runner => runner.target.isUp
			&& runner !== failed
			&& runner.target.resident.has(`${request.model}@1`)
			&& this._isReached(request, runner));
		const instance = Math.floor(request.entry * this._trace.shape.instances);
		const runner = this._choose(holders, instance);
		if (!runner) {
			this._miss(request, tries);
			return;
		}

		runner.known[instance] = (runner.known[instance] ?? 0) + 1;
		runner.lastUsed.set(request.model, this._nowMs);
		this._start(request, tries, runner);
	}

	private _choose(holders: readonly Runner[], instance: number): Runner | undefined {
		if (this._routing === 'round-robin') {
			this._turn++;
			return holders[this._turn % Math.max(1, holders.length)];
		}

		return holders.toSorted((a, b) => (a.known[instance] ?? 0) - (b.known[instance] ?? 0)).at(0);
	}

	private _start(request: TracedRequest, tries: number, runner: Runner): void {
		const {target} = runner;
		const again = () => {
			if (tries < MAX_TRIES) {
				this._send(request, tries + 1, runner);
			}
		};

		const job: Job = {
			contentHash: request.content,
			serviceMs: request.serviceMs,
			priorityRank: priorities.indexOf(request.priority),
			onStart: () => {
				this._after(request.serviceMs, () => {
					if (!target.running.has(job)) {
						return;
					}

					if (request.isCulprit) {
						this._crash(runner);
						return;
					}

					target.running.delete(job);
					this._pump(target);
					if (request.isSilent && tries === 1) {
						this._after(SILENCE_MS, again);
					} else {
						this._finish(request);
					}
				});
			},
			onEnd: again,
		};
		target.waiting.push(job);
		this._pump(target);
	}

	/** An instance that died takes the answers with it that were to pass through it. */
	private _finish(request: TracedRequest): void {
		const instance = Math.floor(request.entry * this._trace.shape.instances);
		if (instance !== this._died.instance || request.atMs > this._died.atMs) {
			this._finished.set(request.id, this._nowMs);
		}
	}

	private _pump(target: FakeTarget): void {
		for (let job = target.startNext(); job; job = target.startNext()) {
			job.onStart();
		}
	}

	/** No runner with the model can be reached: LRU loads it, the others wait for a copy to come back. */
	private _miss(request: TracedRequest, tries: number): void {
		if (this._nowMs > request.atMs + request.deadlineMs) {
			return;
		}

		if (this._placement === 'lru' && !this._runners.some(({loading}) => loading.has(request.model))) {
			const instance = Math.floor(request.entry * this._trace.shape.instances);
			const usable = this._runners.filter(({target}) => target.isUp).toSorted((a, b) => (a.known[instance] ?? 0) - (b.known[instance] ?? 0));
			const [runner] = usable;
			if (runner) {
				this._load(runner, request.model);
			}
		}

		this._after(RETRY_MISS_MS, () => {
			this._send(request, tries, undefined);
		});
	}

	/** Loads a model within the weight store's limits, evicting the least recently used ones for room. */
	private _load(runner: Runner, model: string): void {
		const {shape} = this._trace;
		if (this._nowMs < this._nextLoadAtMs || this._loadsUnderWay >= shape.weightLoadsAtOnce || runner.loading.has(model)) {
			return;
		}

		const {target} = runner;
		while (target.memoryMb + (runner.loading.size * MODEL_MB) + MODEL_MB > RUNNER_MB) {
			const oldest = [...target.resident.keys()].toSorted((a, b) => (runner.lastUsed.get(a.slice(0, -2)) ?? 0) - (runner.lastUsed.get(b.slice(0, -2)) ?? 0)).at(0);
			if (!oldest) {
				return;
			}

			target.resident.delete(oldest);
			this._moves++;
		}

		this._nextLoadAtMs = this._nowMs + (1000 / shape.weightLoadsPerSecond);
		this._loadsUnderWay++;
		runner.loading.add(model);
		this._after(LOAD_MS, () => {
			this._loadsUnderWay--;
			if (runner.loading.delete(model) && target.isUp) {
				target.resident.set(`${model}@1`, MODEL_MB);
				this._moves++;
			}
		});
	}

	private _crash(runner: Runner): void {
		const held = [...runner.target.resident.keys()];
		runner.loading.clear();
		runner.target.crash();
		this._after(RESTART_MS, () => {
			runner.target.restart();
			if (this._placement !== 'lru') {
				this._restore(runner, held.map(name => name.slice(0, -2)));
			}
		});
	}

	/** Loads back what a runner held, as fast as the weight store allows. */
	private _restore(runner: Runner, models: readonly string[]): void {
		const missing = models.find(model => !runner.target.resident.has(`${model}@1`) && !runner.loading.has(model));
		const next = missing;
		if (next && runner.target.isUp) {
			this._load(runner, next);
			this._after(RETRY_MISS_MS, () => {
				this._restore(runner, models);
			});
		}
	}

	/** Gives every model copies in proportion to its demand of late, at least one. */
	private _replace(): void {
		const total = [...this._demand.values()].reduce((sum, count) => sum + count, 0);
		const places = (RUNNER_MB / MODEL_MB) * this._runners.length;
		const {models} = this._trace.shape;
		const adjusted = total > 0 ? models : 0;
		for (let index = 0; index < adjusted; index++) {
			const model = modelName(index);
			const wanted = Math.max(1, Math.min(this._runners.length, Math.round(((this._demand.get(model) ?? 0) / total) * places)));
			const holders = this._runners.filter(({target}) => target.resident.has(`${model}@1`));
			this._adjust(model, wanted, holders);
		}

		this._demand.clear();
		this._after(REPLACE_MS, () => {
			this._replace();
		});
	}

	private _adjust(model: string, wanted: number, holders: readonly Runner[]): void {
		for (const runner of holders.slice(wanted)) {
			runner.target.resident.delete(`${model}@1`);
			this._moves++;
		}

		const others = this._runners.filter(runner => runner.target.isUp && !holders.includes(runner) && runner.target.memoryMb + MODEL_MB <= RUNNER_MB);
		for (const runner of others.slice(0, Math.max(0, wanted - holders.length))) {
			this._load(runner, model);
		}
	}

	private _applyFault(fault: Fault): void {
		switch (fault.kind) {
			case 'crash': {
				const runner = this._runners[fault.runner];
				if (runner?.target.isUp) {
					this._crash(runner);
				}

				break;
			}

			case 'zone-cut': {
				this._cutZone = this._trace.shape.zones[fault.zone];

				break;
			}

			case 'instance-dies': {
				this._died = {instance: fault.instance, atMs: this._nowMs};

				break;
			}

			case 'zone-joined': {
				this._cutZone = undefined;

				break;
			}
		// No default
		}
		// Baselines keep nothing in the table.
	}
}

/** Two copies of every model as far as memory goes, on runners of different zones. */
function residentAtStart(index: number, runners: number, models: number): Record<string, number> {
	const resident: Record<string, number> = {};
	for (let model = 0; model < models; model++) {
		const isFirst = model % runners === index;
		const isSecond = (model + 1 + Math.floor(model / runners)) % runners === index;
		if ((isFirst || isSecond) && Object.keys(resident).length < RUNNER_MB / MODEL_MB) {
			resident[`${modelName(model)}@1`] = MODEL_MB;
		}
	}

	return resident;
}

export function runBaseline(trace: Trace, routing: RoutingPolicy, placement: PlacementPolicy): RunTotals {
	return new BaselineRun(trace, routing, placement).run();
}
