/**
Selects the models that should get one more copy, with the reason and the worth of the
copy beyond the load that it takes over.
*/
import {type EngineModel} from './configuration.js';
import {type PlanInput, type PlannedDemand, type MoveReason} from './plan-input.js';
import {type LoadEstimator} from './load-estimator.js';

/** Requests per second from which a model with urgent requests gets a second copy. */
export const SECOND_COPY_MIN_PER_SECOND = 0.5;
/** Open requests per copy from which the load that another copy takes over is worth a move. */
const OVERLOAD_OPEN_PER_COPY = 2;
/** Worth, in requests served in time, of having any copy of a model without current demand. */
export const AVAILABILITY_WORTH = 0.9;
/** Added to it for each second without a copy, so that even the rarest model is loaded after about ten seconds. */
const ABSENCE_WORTH_PER_SECOND = 1;
/** Worth of a second copy of a model with urgent requests. Lower than the loss of such a copy, so that two models never swap places. */
const SECOND_COPY_WORTH = 0.5;
export const SECOND_COPY_LOSS = 0.6;
/** Worth of a second copy of a model without demand so far: demand may shift to it. */
const NO_DEMAND_SECOND_COPY_WORTH = 0.3;
export const NO_DEMAND_SECOND_COPY_LOSS = 0.4;
/** Worth of a copy that provides missing places for adapters in use. */
export const ADAPTER_CAPACITY_WORTH = 2;

/** A model that should get one more copy. */
export type DesiredCopy = {
	readonly model: EngineModel;
	readonly reason: MoveReason;
	/** Upper bound of the gain of a copy. */
	readonly maxGain: number;
};

export type PlanContext = {
	readonly input: PlanInput;
	readonly estimator: LoadEstimator;
};

/** Why a model should get one more copy, undefined when it should not. */
export function copyReason({input, estimator}: PlanContext, model: EngineModel): MoveReason | undefined {
	const {name} = model;
	const demand = input.demand.get(name);
	const holders = estimator.holders(name);
	if (holders.length === 0) {
		return 'no-copy';
	}

	if (estimator.openRequests(name, 'now') / holders.length >= OVERLOAD_OPEN_PER_COPY && holders.some(target => estimator.isOverloaded(target))) {
		return 'full';
	}

	if (demand && holders.length < copiesForAdapters(input, demand.adapters.size)) {
		return 'urgent';
	}

	if (holders.length > 1) {
		return undefined;
	}

	const isWanted = !demand || demand.perSecond >= SECOND_COPY_MIN_PER_SECOND;
	return isWanted && hasAnyDemand(input) && isUrgent(model, demand) ? 'urgent' : undefined;
}

/** Worth of one more copy beyond the load that it takes over, in requests served in time. */
export function copyWorth({input, estimator}: PlanContext, {model, reason}: DesiredCopy): number {
	const demand = input.demand.get(model.name);
	if (reason === 'no-copy') {
		return availabilityWorth(demand);
	}

	if (demand && estimator.holders(model.name).length < copiesForAdapters(input, demand.adapters.size)) {
		return ADAPTER_CAPACITY_WORTH;
	}

	return demand ? SECOND_COPY_WORTH : NO_DEMAND_SECOND_COPY_WORTH;
}

/** Upper bound of the gain of one more copy of a model. */
export function maxGainOf({input, estimator}: PlanContext, {name}: EngineModel): number {
	const copies = estimator.holders(name).length;
	return copies === 0 ? estimator.unservedCost(name, 'now') + availabilityWorth(input.demand.get(name)) : estimator.openRequests(name, 'now') / copies;
}

function availabilityWorth(demand: PlannedDemand | undefined): number {
	return AVAILABILITY_WORTH + ((demand?.missingMs ?? 0) * ABSENCE_WORTH_PER_SECOND / 1000);
}

/** Whether a model is held and has had no demand so far: another copy may use free memory but evicts nothing. */
export function isHeldWithoutDemand({input, estimator}: PlanContext, {name}: EngineModel): boolean {
	return !input.demand.has(name) && estimator.holders(name).length > 0;
}

/** Whether even a load from disk would be too late for callers. This is assumed of a model without demand so far. */
export function isUrgent({diskLoadMs}: EngineModel, demand: PlannedDemand | undefined): boolean {
	return !demand || demand.objectiveMs <= diskLoadMs;
}

/** Whether any model has had demand. Until then all models look alike. */
export function hasAnyDemand({demand}: PlanInput): boolean {
	return demand.size > 0;
}

/** Number of copies needed to provide places for a number of adapters. */
export function copiesForAdapters({engine}: PlanInput, adapters: number): number {
	return engine.adapterPlaces === 0 ? 1 : Math.ceil(adapters / engine.adapterPlaces);
}
