/**
A decision core populated to a given size, and the events of normal operation.
*/
import {type Configuration} from '../src/core/configuration/types.js';
import {type Effect, type EffectOf} from '../src/core/effect.js';
import {type Event} from '../src/core/event.js';
import {reduce} from '../src/core/reducer.js';
import {createState, type State} from '../src/core/state.js';
import {testConfiguration} from '../test/standins/configurations.js';

export type CoreSize = {
	readonly name: string;
	readonly models: number;
	readonly adaptersPerModel: number;
	readonly targets: number;
	readonly instances: number;
	readonly zones: number;
	readonly openRequests: number;
};

export const todaySize: CoreSize = {
	name: 'today',
	models: 14,
	adaptersPerModel: 3,
	targets: 9,
	instances: 15,
	zones: 3,
	openRequests: 50,
};

export const twoYearSize: CoreSize = {
	name: 'two years',
	models: 1700,
	adaptersPerModel: 3,
	targets: 600,
	instances: 390,
	zones: 10,
	openRequests: 10_000,
};

const SLOTS = 64;
const MODEL_MB = 10;
const CYCLE_MS = 0.4;

export class PopulatedCore {
	readonly state: State = createState();
	nowMs = 0;
	/** Number of events dispatched so far. */
	eventCount = 0;
	private readonly _runningTries: Array<EffectOf<'send-try'>> = [];
	private _requestCount = 0;

	constructor(readonly size: CoreSize) {
		this.dispatch({
			kind: 'started',
			nowMs: 0,
			self: {
				id: 'self',
				boot: 'b',
				zone: 'z0',
				address: 'self',
				state: 'live',
			},
			seed: 1,
			wallMs: 0,
		});
		this.dispatch({kind: 'instances-listed', nowMs: 0, instances: this._instances()});
		this.dispatch({kind: 'configuration-fetched', nowMs: 0, numbered: {version: 1, configuration: this._configuration()}});
		for (let index = 0; index < size.targets; index++) {
			this.dispatchReport(index);
		}

		while (this.state.requests.open.size < size.openRequests) {
			this.dispatchArrival();
		}
	}

	dispatch(event: Event): Effect[] {
		this.eventCount++;
		return reduce(this.state, event);
	}

	/** Dispatches the arrival of a request, then progress and completion of the oldest running try. */
	cycle(): void {
		this.nowMs += CYCLE_MS;
		this.dispatchArrival();
		const oldest = this._runningTries.shift();
		if (!oldest) {
			return;
		}

		const {requestId, tryNumber} = oldest;
		this.dispatch({
			kind: 'try-progressed',
			nowMs: this.nowMs,
			requestId,
			tryNumber,
			delivered: 5,
		});
		this._recordSentTries(this.dispatch({
			kind: 'try-completed',
			nowMs: this.nowMs,
			requestId,
			tryNumber,
			status: 200,
		}));
	}

	dispatchArrival(): void {
		this._requestCount++;
		const model = this._requestCount % this.size.models;
		this._recordSentTries(this.dispatch({
			kind: 'request-arrived',
			nowMs: this.nowMs,
			arrival: {
				id: `r${this._requestCount}`,
				destination: {kind: 'model', name: `m${model}`, stream: true},
				contentHash: `c${this._requestCount}`,
				prefixHash: `p${this._requestCount % 1000}`,
			},
		}));
	}

	dispatchReport(index: number): void {
		this.dispatch({
			kind: 'target-reported',
			nowMs: this.nowMs,
			targetId: `t${index}`,
			report: {
				boot: 'b',
				running: 2,
				waiting: 0,
				models: this._modelsOn(index),
				adapters: [],
			},
		});
	}

	private _recordSentTries(effects: readonly Effect[]): void {
		for (const effect of effects) {
			if (effect.kind === 'send-try') {
				this._runningTries.push(effect);
			}
		}
	}

	/** Models on a target. Every model has two copies, spread evenly over the targets. */
	private _modelsOn(index: number): string[] {
		const {models, targets} = this.size;
		const resident: string[] = [];
		for (let model = index % targets; model < models * 2; model += targets) {
			resident.push(`m${model % models}@1`);
		}

		return resident;
	}

	private _instances() {
		return Array.from({length: this.size.instances - 1}, (_, index) => ({
			id: `i${index}`,
			boot: 'b',
			zone: `z${index % this.size.zones}`,
			address: `http://10.0.${Math.floor(index / 256)}.${index % 256}:8070`,
			state: 'live' as const,
		}));
	}

	private _configuration(): Configuration {
		const {models, adaptersPerModel, targets, zones} = this.size;
		const configuration = testConfiguration({
			targets: Array.from({length: targets}, (_, index) => ({
				id: `t${index}`,
				zone: `z${index % zones}`,
				gateway: 'engine-fenced' as const,
				memoryMb: MODEL_MB * models,
				slots: SLOTS,
			})),
			models: Object.fromEntries(Array.from({length: models}, (_, index) => [`m${index}`, MODEL_MB])),
		});
		const withAdapters = Object.entries(configuration.models).map(([name, model]) => [name, {
			...model,
			adapters: Object.fromEntries(Array.from({length: adaptersPerModel}, (_, index) => [`${name}-a${index}`, {version: 1, memoryMb: 0}])),
		}]);
		return {...configuration, models: Object.fromEntries(withAdapters) as Configuration['models']};
	}
}
