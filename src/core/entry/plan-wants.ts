/**
Which models should have one more copy, why, and what that is worth beyond the load
that it takes over.
*/
import {type EngineModel} from './configuration.js';
import {type PlanInput, type PlannedDemand, type Reason} from './plan-input.js';
import {type Pressure} from './pressure.js';

/** Requests a second from which a model that urgent requests ask for gets a second copy. */
export const DEMAND_FOR_SECOND_COPY = 0.5;
/** Open requests a copy from which a further copy takes a load over that is worth a move. */
const FULL_PART = 2;
/** Worth, in requests served in time, of having any copy of a model that nobody asks for now. */
export const REACHABLE_WORTH = 0.9;
/** What each second without a copy adds to it, so that the rarest model has its turn after some ten seconds. */
const MISSING_WORTH_PER_S = 1;
/** The same of a second copy of what urgent requests ask for. Less than what the loss of one counts, so that they never trade places. */
const SECOND_COPY_WORTH = 0.5;
export const SECOND_COPY_LOSS = 0.6;
/** The same of a second copy of a model that nobody asked for yet: demand moves to one of these. */
const UNASKED_WORTH = 0.3;
export const UNASKED_LOSS = 0.4;
/** The same of a copy on which adapters in use find places that they lack. */
export const ADAPTERS_WORTH = 2;

export type Want = {
	readonly model: EngineModel;
	readonly reason: Reason;
	/** What a copy could gain at best. */
	readonly most: number;
};

export type Planning = {
	readonly input: PlanInput;
	readonly pressure: Pressure;
};

export function wantOf({input, pressure}: Planning, model: EngineModel): Reason | undefined {
	const {name} = model;
	const demand = input.demand.get(name);
	const holders = pressure.holders(name);
	if (holders.length === 0) {
		return 'no-copy';
	}

	if (pressure.open(name, 'now') / holders.length >= FULL_PART && holders.some(target => pressure.isOverloaded(target))) {
		return 'full';
	}

	if (demand && holders.length < copiesForAdapters(input, demand.adapters.size)) {
		return 'urgent';
	}

	if (holders.length > 1) {
		return undefined;
	}

	const isWanted = !demand || demand.perSecond >= DEMAND_FOR_SECOND_COPY;
	return isWanted && isAnyoneServed(input) && isUrgent(model, demand) ? 'urgent' : undefined;
}

/** Worth of one more copy beyond the load that it takes over. */
export function worthOf({input, pressure}: Planning, {model, reason}: Want): number {
	const demand = input.demand.get(model.name);
	if (reason === 'no-copy') {
		return reachableWorth(demand);
	}

	if (demand && pressure.holders(model.name).length < copiesForAdapters(input, demand.adapters.size)) {
		return ADAPTERS_WORTH;
	}

	return demand ? SECOND_COPY_WORTH : UNASKED_WORTH;
}

export function mostGain({input, pressure}: Planning, {name}: EngineModel): number {
	const copies = pressure.holders(name).length;
	return copies === 0 ? pressure.absence(name, 'now') + reachableWorth(input.demand.get(name)) : pressure.open(name, 'now') / copies;
}

function reachableWorth(demand: PlannedDemand | undefined): number {
	return REACHABLE_WORTH + ((demand?.missingMs ?? 0) * MISSING_WORTH_PER_S / 1000);
}

/** Nobody asked for it yet: worth the memory that is free, but no copy that is held. */
export function isUnasked({input, pressure}: Planning, {name}: EngineModel): boolean {
	return !input.demand.has(name) && pressure.holders(name).length > 0;
}

/** Whether a load, even from disk, would come too late for callers. Of a model that nobody asked for yet that has to be assumed. */
export function isUrgent({diskLoadMs}: EngineModel, demand: PlannedDemand | undefined): boolean {
	return !demand || demand.objectiveMs <= diskLoadMs;
}

/** Before anything was asked for, no model tells itself from the others. */
export function isAnyoneServed({demand}: PlanInput): boolean {
	return demand.size > 0;
}

/** Copies on which a number of adapters finds places. */
export function copiesForAdapters({engine}: PlanInput, adapters: number): number {
	return engine.adapterPlaces === 0 ? 1 : Math.ceil(adapters / engine.adapterPlaces);
}
