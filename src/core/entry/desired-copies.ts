/**
Selects the models that should get one more copy, with the reason and an upper bound of
what the copy is worth.
*/
import {type EngineModel} from './configuration.js';
import {
	type PlanInput, type MoveReason, type PlannedDemand, type PlannedTarget,
} from './plan-input.js';
import {type LoadEstimator} from './load-estimator.js';

/** Worth of a copy that provides missing places for adapters in use, in requests a second served in time. */
export const ADAPTER_PLACES_WORTH = 0.3;
/** Requests a second that another copy must be expected to save once demand moves to its model. */
const MIN_SURGE_GAIN = 0.3;
/** A model's first copy is loaded a second time only if that takes at most this share of the time that the load under way needs. */
const FASTER_LOAD_SHARE = 0.5;
/** Worth of ending the absence of a model that is requested, for each second of it. */
const ABSENCE_WORTH_PER_SECOND = 1;
const MAX_ABSENCE_WORTH = 20;
/** Late requests a second from which another copy is considered. */
const MIN_LATE_PER_SECOND = 0.2;

/** A model that should get one more copy. */
export type DesiredCopy = {
	readonly model: EngineModel;
	readonly reason: MoveReason;
	/** Upper bound of the worth of a copy, in requests a second served in time. */
	readonly maxGain: number;
	/** Time within which the copy must serve: if the only one is being loaded already, another must be much faster. */
	readonly maxDurationMs: number;
};

/** A copy that could be evicted. */
export type Eviction = {
	readonly model: EngineModel;
	/** In requests served in time, by the second. */
	readonly loss: number;
	/** Where the copy is loaded first because it is the only one, undefined where it is unloaded at once. */
	readonly relocateTo: PlannedTarget | undefined;
};

/** What holds for all candidate moves of one plan, and is worked out once. */
export type PlanMemo = {
	idleTargets: number | undefined;
	readonly unreservedMb: Map<PlannedTarget, number>;
	readonly evictions: Readonly<Record<MoveReason, Map<PlannedTarget, readonly Eviction[]>>>;
};

export type PlanContext = {
	readonly input: PlanInput;
	readonly estimator: LoadEstimator;
	readonly memo: PlanMemo;
};

export function createPlanMemo(): PlanMemo {
	return {idleTargets: undefined, unreservedMb: new Map(), evictions: {'no-copy': new Map(), full: new Map(), urgent: new Map()}};
}

/** The copy that a model should get, undefined when it needs none. */
export function desiredCopyOf(planContext: PlanContext, model: EngineModel): DesiredCopy | undefined {
	const {input, estimator} = planContext;
	const {name} = model;
	const holders = estimator.holders(name);
	if (estimator.servingCopies(name) === 0) {
		const maxDurationMs = Math.min(...holders.map(({loadingForMs}) => loadingForMs)) * FASTER_LOAD_SHARE;
		return {
			model, reason: 'no-copy', maxGain: estimator.costWithoutCopy(name) + absenceWorth(input.demand.get(name)), maxDurationMs,
		};
	}

	if (!input.mechanisms.has('copies') || input.demand.get(name)?.isFalling) {
		return undefined;
	}

	const latePerSecond = estimator.lateRequestsPerSecond(name);
	if (latePerSecond >= MIN_LATE_PER_SECOND && holders.some(target => estimator.isOverloaded(target))) {
		return {
			model, reason: 'full', maxGain: latePerSecond, maxDurationMs: Number.POSITIVE_INFINITY,
		};
	}

	const surgeGain = estimator.surgeGain(name);
	return surgeGain >= MIN_SURGE_GAIN || lacksAdapterPlaces(planContext, name, holders.length)
		? {
			model, reason: 'urgent', maxGain: surgeGain + ADAPTER_PLACES_WORTH, maxDurationMs: Number.POSITIVE_INFINITY,
		}
		: undefined;
}

/** Requests that wait for the first copy of a model, and more the longer it is missing, so that even the rarest gets its turn. */
export function absenceWorth(demand: PlannedDemand | undefined): number {
	return demand ? demand.waiting + Math.min(MAX_ABSENCE_WORTH, ABSENCE_WORTH_PER_SECOND * demand.missingMs / 1000) : 0;
}

/** Whether that many copies of a model have too few places for its adapters in use. */
export function lacksAdapterPlaces({input: {engine, demand}}: PlanContext, model: string, copies: number): boolean {
	const adapters = demand.get(model)?.adapters.size ?? 0;
	return engine.adapterPlaces > 0 && adapters > copies * engine.adapterPlaces;
}
