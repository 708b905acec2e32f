/**
Model of an engine that batches requests: in each step every running request gets a
token or a piece of its prompt is read, so that reading prompts delays the streams of
all. Prompts share memory for tokens with cached parts, the least recently used of which
make way. Orders load and unload models and adapters.
*/
import {type EngineOrder, type EngineOrderOutcome} from '../core/entry/types.js';
import {type TargetLoad, type TargetReport} from '../core/entry/target.js';
import {type EngineModel as ModelSizes} from '../core/entry/configuration.js';
import {type Simulation} from './simulation.js';

export type EngineParameters = {
	readonly slots: number;
	/** Duration of a step that reads nothing, and what each running request adds. */
	readonly stepMs: number;
	readonly stepMsPerRun: number;
	readonly readTokensPerMs: number;
	/** Most tokens of prompts that one step reads. */
	readonly chunkTokens: number;
	/** Memory for tokens. */
	readonly kvTokens: number;
	readonly tokensPerEvent: number;
	readonly reportLagMs: number;
	readonly memoryMb: number;
	readonly adapterPlaces: number;
	readonly adapterLoadMs: number;
	/** Models of which copies of the weights stay on disk and in host memory. */
	readonly diskModels: number;
	readonly hostModels: number;
};

export type RunRequest = {
	readonly id: string;
	readonly model: string;
	readonly adapter: string | undefined;
	readonly rank: number;
	/** Parts of the prompt in order; those that other requests share come first. */
	readonly parts: ReadonlyArray<{readonly id: string; readonly tokens: number}>;
	readonly outputTokens: number;
	readonly onEvent: (events: number) => void;
	readonly onEnd: (outcome: 'complete' | 'broken') => void;
};

type Run = {
	readonly request: RunRequest;
	readonly number: number;
	unread: number;
	produced: number;
	isAdmitted: boolean;
};

type PendingOrder = {
	readonly kind: 'load' | 'unload';
	readonly model: string;
	/** Only for the unload of an adapter in use. */
	readonly adapter?: string;
};

export type EngineCounters = {
	readTokens: number;
	keptTokens: number;
	preemptions: number;
	storeLoads: number;
	loads: number;
	busyMs: number;
};

/** Answer to a request that is not run. */
export type Decline = 'missing' | 'full';

export class ModeledEngine {
	sequence = 0;
	incarnation = 1;
	readonly copies = new Map<string, Set<string>>();
	readonly counters: EngineCounters = {
		readTokens: 0, keptTokens: 0, preemptions: 0, storeLoads: 0, loads: 0, busyMs: 0,
	};

	/** Factor on the duration of steps; above 1 while the engine is slow. */
	slowness = 1;
	/** Speed of the machine: work takes the usual time divided by it. */
	speed = 1;
	private _pausedUntilMs = 0;
	private readonly _onDisk: string[] = [];
	private readonly _inMemory: string[] = [];
	private readonly _runs: Run[] = [];
	private readonly _cache = new Map<string, number>();
	private readonly _reports: Array<{readonly atMs: number; readonly report: TargetReport}> = [];
	private _order: PendingOrder | undefined;
	private _runsStarted = 0;
	private _isStepping = false;

	constructor(private readonly _simulation: Simulation, private readonly _parameters: EngineParameters, private readonly _models: ReadonlyMap<string, ModelSizes>) {}

	/** Whether its load has the slowness as its fourth figure. */
	statesSlowness = false;

	get load(): TargetLoad {
		const running = this._runs.filter(({isAdmitted}) => isAdmitted).length;
		return {
			running, waiting: this._runs.length - running, slots: this._parameters.slots, ...(this.statesSlowness && {slowness: this.slowness}),
		};
	}

	/** Places a copy without an order, as the platform does at the start. */
	place(model: string): void {
		this.copies.set(model, new Set());
		this._keepWeights(model);
	}

	/** Starts a request, or returns why it is not run. */
	run(request: RunRequest): Decline | undefined {
		const adapters = this.copies.get(request.model);
		if (!adapters || (this._order?.kind === 'unload' && this._order.model === request.model && (this._order.adapter === undefined || this._order.adapter === request.adapter))
			|| (request.adapter !== undefined && !adapters.has(request.adapter))) {
			return 'missing';
		}

		if (this._runs.length >= this._parameters.slots * 2) {
			return 'full';
		}

		this._runsStarted++;
		const kept = this._keptTokens(request);
		const tokens = request.parts.reduce((sum, part) => sum + part.tokens, 0);
		this.counters.keptTokens += kept;
		this._runs.push({
			request, number: this._runsStarted, unread: tokens - kept, produced: 0, isAdmitted: false,
		});
		this._step();
		return undefined;
	}

	cancel(id: string): void {
		const index = this._runs.findIndex(({request}) => request.id === id);
		if (index !== -1) {
			this._runs.splice(index, 1);
			this._finishUnload();
		}
	}

	/** Falls silent: what it produces until then comes afterwards. */
	pause(forMs: number): void {
		this._pausedUntilMs = this._simulation.nowMs + forMs;
	}

	order({kind, model, adapter, expectedSequence}: EngineOrder, storeLoadMs: () => number): EngineOrderOutcome {
		if (expectedSequence !== this.sequence || this._order) {
			return 'conflict';
		}

		return adapter === undefined ? this._orderModel(kind, model, storeLoadMs) : this._orderAdapter(kind, model, adapter);
	}

	/** State some time ago, as reports have it. */
	report(): TargetReport {
		const asOfMs = this._simulation.nowMs - this._parameters.reportLagMs;
		return this._reports.findLast(({atMs}) => atMs <= asOfMs)?.report ?? this._currentReport();
	}

	/** Records the state for later reports. */
	recordReport(): void {
		this._reports.push({atMs: this._simulation.nowMs, report: this._currentReport()});
		if (this._reports.length > 20) {
			this._reports.shift();
		}
	}

	/** Ends all runs and forgets everything but the weights on disk. */
	crash(): void {
		const runs = this._runs.splice(0);
		this.copies.clear();
		this._cache.clear();
		this._reports.length = 0;
		this._inMemory.length = 0;
		this._order = undefined;
		this.sequence = 0;
		this.incarnation++;
		for (const {request} of runs) {
			request.onEnd('broken');
		}
	}

	/** Memory taken by models and adapters, and by the one that is being loaded. */
	usedMb(): number {
		const loading = this._order?.kind === 'load' ? [this._order.model] : [];
		return [...this.copies.keys(), ...loading].reduce((sum, model) => sum + (this._models.get(model)?.sizeMb ?? 0), 0)
			+ [...this.copies].reduce((sum, [model, adapters]) => sum + (adapters.size * (this._models.get(model)?.adapterMb ?? 0)), 0);
	}

	private _orderModel(kind: 'load' | 'unload', model: string, storeLoadMs: () => number): EngineOrderOutcome {
		const sizes = this._models.get(model);
		if (!sizes) {
			return 'declined';
		}

		if (this.copies.has(model) === (kind === 'load')) {
			return 'holds';
		}

		this.sequence++;
		this._order = {kind, model};
		if (kind === 'unload') {
			this._finishUnload();
			return 'accepted';
		}

		this.counters.loads++;
		const {incarnation} = this;
		this._simulation.schedule(this._loadMs(sizes, storeLoadMs), () => {
			if (this.incarnation === incarnation) {
				this._order = undefined;
				this.place(model);
			}
		});
		return 'accepted';
	}

	private _loadMs(sizes: ModelSizes, storeLoadMs: () => number): number {
		if (this._inMemory.includes(sizes.name)) {
			return sizes.memoryLoadMs;
		}

		if (this._onDisk.includes(sizes.name)) {
			return sizes.diskLoadMs;
		}

		this.counters.storeLoads++;
		return storeLoadMs();
	}

	private _orderAdapter(kind: 'load' | 'unload', model: string, adapter: string): EngineOrderOutcome {
		const adapters = this.copies.get(model);
		if (!adapters) {
			return 'declined';
		}

		if (adapters.has(adapter) === (kind === 'load')) {
			return 'holds';
		}

		this.sequence++;
		if (kind === 'unload' && this._isUsed(model, adapter)) {
			this._order = {kind, model, adapter};
			return 'accepted';
		}

		if (kind === 'unload') {
			adapters.delete(adapter);
			return 'holds';
		}

		adapters.add(adapter);
		return 'accepted';
	}

	private _keepWeights(model: string): void {
		const {diskModels, hostModels} = this._parameters;
		for (const [kept, most] of [[this._onDisk, diskModels], [this._inMemory, hostModels]] as const) {
			const index = kept.indexOf(model);
			if (index !== -1) {
				kept.splice(index, 1);
			}

			kept.push(model);
			if (kept.length > most) {
				kept.shift();
			}
		}
	}

	private _finishUnload(): void {
		const order = this._order;
		if (order?.kind !== 'unload' || this._isUsed(order.model, order.adapter)) {
			return;
		}

		if (order.adapter === undefined) {
			this.copies.delete(order.model);
		} else {
			this.copies.get(order.model)?.delete(order.adapter);
		}

		this._order = undefined;
	}

	/** Whether a request runs or waits that needs the model, or the adapter if one is given. */
	private _isUsed(model: string, adapter: string | undefined): boolean {
		return this._runs.some(({request}) => request.model === model && (adapter === undefined || request.adapter === adapter));
	}

	private _currentReport(): TargetReport {
		const {running, waiting} = this.load;
		return {
			incarnation: this.incarnation,
			sequence: this.sequence,
			isBusy: this._order !== undefined,
			running,
			waiting,
			copies: [...this.copies].map(([model, adapters]) => ({model, version: 1, adapters: [...adapters]})),
			adaptersInTransfer: [],
			inMemory: [...this._inMemory],
			onDisk: [...this._onDisk],
		};
	}

	/** Tokens at the start of the prompt that the engine has kept. */
	private _keptTokens({model, adapter, parts}: RunRequest): number {
		let kept = 0;
		for (const part of parts) {
			const key = `${model}/${adapter} ${part.id}`;
			const tokens = this._cache.get(key);
			if (tokens === undefined) {
				break;
			}

			this._cache.delete(key);
			this._cache.set(key, tokens);
			kept += tokens;
		}

		return kept;
	}

	private _step(): void {
		if (this._isStepping) {
			return;
		}

		this._admit();
		const running = this._runs.filter(({isAdmitted}) => isAdmitted);
		if (running.length === 0) {
			return;
		}

		this._isStepping = true;
		const {stepMs, stepMsPerRun, readTokensPerMs, chunkTokens} = this._parameters;
		let chunk = chunkTokens;
		const pieces = new Map<Run, number>();
		for (const run of running) {
			const piece = Math.min(chunk, run.unread);
			if (piece > 0) {
				pieces.set(run, piece);
				chunk -= piece;
			}
		}

		const durationMs = (stepMs + (stepMsPerRun * running.length) + ((chunkTokens - chunk) / readTokensPerMs)) * this.slowness / this.speed;
		this.counters.readTokens += chunkTokens - chunk;
		this.counters.busyMs += (chunkTokens - chunk) / readTokensPerMs;
		this._simulation.schedule(durationMs, () => {
			this._endStep(running, pieces);
		});
	}

	private _endStep(running: readonly Run[], pieces: ReadonlyMap<Run, number>): void {
		const pausedMs = this._pausedUntilMs - this._simulation.nowMs;
		if (pausedMs > 0) {
			this._simulation.schedule(pausedMs, () => {
				this._endStep(running, pieces);
			});
			return;
		}

		this._isStepping = false;
		for (const run of running) {
			this._advance(run, pieces.get(run) ?? 0);
		}

		this._finishUnload();
		this._step();
	}

	private _advance(run: Run, piece: number): void {
		if (!this._runs.includes(run)) {
			return;
		}

		run.unread -= piece;
		if (run.unread > 0) {
			return;
		}

		if (piece > 0) {
			this._keepParts(run.request);
		}

		run.produced++;
		const {request} = run;
		if (run.produced % this._parameters.tokensPerEvent === 0 || run.produced >= request.outputTokens || run.produced === 1) {
			request.onEvent(Math.ceil(run.produced / this._parameters.tokensPerEvent));
		}

		if (run.produced >= request.outputTokens) {
			this._runs.splice(this._runs.indexOf(run), 1);
			request.onEnd('complete');
		}
	}

	private _keepParts({model, adapter, parts}: RunRequest): void {
		for (const part of parts) {
			this._cache.set(`${model}/${adapter} ${part.id}`, part.tokens);
		}

		let cached = [...this._cache.values()].reduce((sum, tokens) => sum + tokens, 0);
		const free = this._parameters.kvTokens - this._runningTokens();
		for (const [key, tokens] of this._cache) {
			if (cached <= free) {
				break;
			}

			this._cache.delete(key);
			cached -= tokens;
		}
	}

	private _runningTokens(): number {
		return this._runs.filter(({isAdmitted}) => isAdmitted)
			.reduce((sum, {request, produced}) => sum + produced + request.parts.reduce((tokens, part) => tokens + part.tokens, 0), 0);
	}

	/** Admits waiting requests, the most urgent first, and puts the newest of the least urgent back while memory is short. */
	private _admit(): void {
		const {slots, kvTokens} = this._parameters;
		const order = (a: Run, b: Run) => a.request.rank - b.request.rank || a.number - b.number;
		while (this._runningTokens() > kvTokens) {
			const last = this._runs.filter(({isAdmitted}) => isAdmitted).sort(order).at(-1)!;
			last.isAdmitted = false;
			last.unread = last.produced + last.request.parts.reduce((sum, part) => sum + part.tokens, 0);
			this.counters.preemptions++;
		}

		for (const run of this._runs.filter(({isAdmitted}) => !isAdmitted).sort(order)) {
			const tokens = run.request.parts.reduce((sum, part) => sum + part.tokens, 0);
			if (this._runs.filter(({isAdmitted}) => isAdmitted).length >= slots || this._runningTokens() + tokens > kvTokens) {
				break;
			}

			run.isAdmitted = true;
		}
	}
}
