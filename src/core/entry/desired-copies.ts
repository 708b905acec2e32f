/**
Which models should have one more copy, why, and what that is worth beyond the load
that it takes over.
*/
import {type EngineModel} from './configuration.js';
import {type PlanInput, type PlannedDemand, type MoveReason} from './plan-input.js';
import {type LoadEstimator} from './load-estimator.js';

/** Requests a second from which a model that urgent requests ask for gets a second copy. */
export const SECOND_COPY_MIN_PER_SECOND = 0.5;
/** Open requests a copy from which a further copy takes a load over that is worth a move. */
const OVERLOAD_OPEN_PER_COPY = 2;
/** Worth, in requests served in time, of having any copy of a model that nobody asks for now. */
export const AVAILABILITY_WORTH = 0.9;
/** What each second without a copy adds to it, so that the rarest model has its turn after some ten seconds. */
const ABSENCE_WORTH_PER_SECOND = 1;
/** The same of a second copy of what urgent requests ask for. Less than what the loss of one counts, so that they never trade places. */
const SECOND_COPY_WORTH = 0.5;
export const SECOND_COPY_LOSS = 0.6;
/** The same of a second copy of a model that nobody asked for yet: demand moves to one of these. */
const NO_DEMAND_SECOND_COPY_WORTH = 0.3;
export const NO_DEMAND_SECOND_COPY_LOSS = 0.4;
/** The same of a copy on which adapters in use find places that they lack. */
export const ADAPTER_CAPACITY_WORTH = 2;

export type DesiredCopy = {
	readonly model: EngineModel;
	readonly reason: MoveReason;
	/** What a copy could gain at best. */
	readonly maxGain: number;
};

export type PlanContext = {
	readonly input: PlanInput;
	readonly estimator: LoadEstimator;
};

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

/** Worth of one more copy beyond the load that it takes over. */
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

export function maxGainOf({input, estimator}: PlanContext, {name}: EngineModel): number {
	const copies = estimator.holders(name).length;
	return copies === 0 ? estimator.unservedCost(name, 'now') + availabilityWorth(input.demand.get(name)) : estimator.openRequests(name, 'now') / copies;
}

function availabilityWorth(demand: PlannedDemand | undefined): number {
	return AVAILABILITY_WORTH + ((demand?.missingMs ?? 0) * ABSENCE_WORTH_PER_SECOND / 1000);
}

/** Nobody asked for it yet: worth the memory that is free, but no copy that is held. */
export function isHeldWithoutDemand({input, estimator}: PlanContext, {name}: EngineModel): boolean {
	return !input.demand.has(name) && estimator.holders(name).length > 0;
}

/** Whether a load, even from disk, would come too late for callers. Of a model that nobody asked for yet that has to be assumed. */
export function isUrgent({diskLoadMs}: EngineModel, demand: PlannedDemand | undefined): boolean {
	return !demand || demand.objectiveMs <= diskLoadMs;
}

/** Before anything was asked for, no model tells itself from the others. */
export function hasAnyDemand({demand}: PlanInput): boolean {
	return demand.size > 0;
}

/** Copies on which a number of adapters finds places. */
export function copiesForAdapters({engine}: PlanInput, adapters: number): number {
	return engine.adapterPlaces === 0 ? 1 : Math.ceil(adapters / engine.adapterPlaces);
}
