/**
The move that brings a wanted model to a target, with its gain less what is missed:
into memory that is free, or the first step of taking copies off.
*/
import {type EngineModel} from './configuration.js';
import {unreservedMemoryMb, isCached, loadTimeMs} from './engine-memory.js';
import {type PlannedMove, type PlannedTarget} from './plan-input.js';
import {
	ADAPTER_CAPACITY_WORTH, copiesForAdapters, SECOND_COPY_MIN_PER_SECOND, hasAnyDemand, isUrgent, NO_DEMAND_SECOND_COPY_LOSS, AVAILABILITY_WORTH, SECOND_COPY_LOSS, copyWorth, type PlanContext, type DesiredCopy,
} from './desired-copies.js';

/** Demand for a model that moved lasts about this long; a move that takes as long gains nothing. */
const DEMAND_LIFETIME_MS = 10_000;
/** Time until a copy that is to go has gone: the notice where nothing runs, else when its longest streams have ended. */
const IDLE_UNLOAD_MS = 1000;
const BUSY_UNLOAD_MS = 3000;
/** Requests at a copy from which it counts as used. */
const BUSY_OPEN_REQUESTS = 0.5;
/** Loss of one of many copies of a model before anything was asked for: they differ only in number. */
const NO_DEMAND_LOSS = 0.01;
/** Moving the only copy of a model elsewhere costs a load. */
const RELOCATION_LOSS = 0.3;
/** What is missed at once weighs more than what is hoped for. */
const LOSS_WEIGHT = 1.2;
/** Least gain for which a copy that is used makes way: its engine takes no other order until its runs have ended. */
const MIN_GAIN_BUSY = 3;
/** Least gain for which any copy makes way for a further one of a model that is past its pace. */
const MIN_GAIN_OVERLOAD = 2;
/** Costs of a place, in requests: bytes between zones are spared, tight places are filled first. */
const SAME_ZONE_COST = 0.2;
const UNUSED_MEMORY_COST = 0.1;

export type MoveCandidate = {
	readonly move: PlannedMove;
	/** Gain less losses. */
	readonly netGain: number;
};

export function loadIntoFreeMemory(planContext: PlanContext, desired: DesiredCopy, target: PlannedTarget): MoveCandidate | undefined {
	const {input: {engine}, estimator} = planContext;
	const {model} = desired;
	const unusedMb = unreservedMemoryMb(engine, target) - model.sizeMb;
	if (unusedMb < 0) {
		return undefined;
	}

	const durationMs = loadTimeMs(target, model);
	const relief = desired.reason === 'no-copy'
		? estimator.unservedCost(model.name, 'now')
		: -estimator.costOfChange(target, {add: model.name, remove: []}, 'now');
	const gain = (Math.max(0, relief) + copyWorth(planContext, desired)) * remainingDemandShare(durationMs);
	const isZoneServed = estimator.holders(model.name).some(({zone}) => zone === target.zone);
	const placeCost = (isZoneServed ? SAME_ZONE_COST : 0) + (UNUSED_MEMORY_COST * unusedMb / engine.memoryMb);
	// A place's cost decides between places, not whether to fill one.
	const netGain = gain > 0 ? Math.max(Number.MIN_VALUE, gain * (1 - placeCost)) : 0;
	return {netGain, move: loadMove(target, desired, {model, worth: gain})};
}

type Eviction = {
	readonly model: EngineModel;
	readonly loss: number;
	/** Where the copy has to be loaded first, because it is the only one. */
	readonly relocateTo: PlannedTarget | undefined;
};

/** Takes copies off a target, those that are missed least for the room they make, until the wanted model fits. */
export function loadAfterEviction(planContext: PlanContext, desired: DesiredCopy, target: PlannedTarget): MoveCandidate | undefined {
	const {input: {engine}, estimator} = planContext;
	const evictions = target.copies
		.map(copy => evictionOf(planContext, desired, {target, name: copy.model}))
		.filter(eviction => eviction !== undefined);
	const requiredMb = desired.model.sizeMb - unreservedMemoryMb(engine, target);
	const evicted = cheapestEvictions(evictions, requiredMb);
	if (!evicted || evicted.length === 0) {
		return undefined;
	}

	const names = evicted.map(({model}) => model.name);
	const loss = evicted.reduce((sum, eviction) => sum + eviction.loss, 0);
	// What nobody serves is refused, so that it goes before the pace of what the engine serves already.
	const relief = desired.reason === 'no-copy'
		? estimator.unservedCost(desired.model.name, 'now')
		: estimator.costOfChange(target, {remove: names}, 'now') - estimator.costOfChange(target, {add: desired.model.name, remove: names}, 'now');
	const evictsUsedCopy = evicted.some(({model: {name}, relocateTo}) => !relocateTo && isInUse(planContext, name));
	const gain = (Math.max(0, relief) + copyWorth(planContext, desired)) * remainingDemandShare(evictionTimeMs(planContext, names) + loadTimeMs(target, desired.model));
	const minGain = Math.max(evictsUsedCopy ? MIN_GAIN_BUSY : 0, desired.reason === 'full' ? MIN_GAIN_OVERLOAD : 0);
	const netGain = gain - (LOSS_WEIGHT * loss) - minGain;
	return {netGain, move: firstMove(desired, target, {eviction: evicted[0]!, worth: netGain})};
}

/** Expected time until copies are gone, from the chance that nothing runs there now. */
function evictionTimeMs({estimator}: PlanContext, models: readonly string[]): number {
	const runs = models.reduce((sum, model) => sum + (estimator.openRequests(model, 'now') / Math.max(1, estimator.servingCopies(model))), 0);
	return IDLE_UNLOAD_MS + ((BUSY_UNLOAD_MS - IDLE_UNLOAD_MS) * (1 - Math.exp(-runs)));
}

/** One copy that alone makes the room if that is missed no more than several smaller ones. */
function cheapestEvictions(evictions: readonly Eviction[], neededMb: number): Eviction[] | undefined {
	const several: Eviction[] = [];
	let freedMb = 0;
	for (const eviction of evictions.toSorted((a, b) => a.loss - b.loss)) {
		if (freedMb >= neededMb) {
			break;
		}

		freedMb += eviction.model.sizeMb;
		several.push(eviction);
	}

	const single = evictions.filter(({model}) => model.sizeMb >= neededMb).toSorted((a, b) => a.loss - b.loss)[0];
	if (single && single.loss <= several.reduce((sum, {loss}) => sum + loss, 0)) {
		return [single];
	}

	return freedMb >= neededMb ? several : undefined;
}

function evictionOf(planContext: PlanContext, desired: DesiredCopy, {target, name}: {target: PlannedTarget; name: string}): Eviction | undefined {
	const {input, estimator} = planContext;
	const model = input.engine.models.get(name);
	if (!model) {
		return undefined;
	}

	if (estimator.servingCopies(name) > 1) {
		return {model, loss: evictionLoss(planContext, target, model), relocateTo: undefined};
	}

	// The last copy of a model makes way only for one that has none.
	if (desired.reason !== 'no-copy') {
		return undefined;
	}

	const relocateTo = input.targets.find(other => other !== target && other.isIdle && other.leaving.length === 0
		&& (input.storeLoads >= 1 || isCached(other, name)) && unreservedMemoryMb(input.engine, other) >= model.sizeMb);
	return relocateTo
		? {model, loss: RELOCATION_LOSS, relocateTo}
		: {model, loss: AVAILABILITY_WORTH + estimator.costOfChange(target, {remove: [name]}, 'recent'), relocateTo: undefined};
}

/** Whether requests run at a model's copies now. */
function isInUse({estimator}: PlanContext, model: string): boolean {
	return estimator.openRequests(model, 'now') / Math.max(1, estimator.servingCopies(model)) > BUSY_OPEN_REQUESTS;
}

/** Requests in time that one of several copies brings. */
function evictionLoss({input, estimator}: PlanContext, target: PlannedTarget, model: EngineModel): number {
	const copies = estimator.servingCopies(model.name);
	const demand = input.demand.get(model.name);
	if (!demand) {
		// Before anything was asked for, what has most copies beyond its adapters' needs goes first.
		const wanted = Math.max(2, copiesForAdapters(input, model.adapters));
		return (copies === 2 && hasAnyDemand(input) ? NO_DEMAND_SECOND_COPY_LOSS : 0) + (NO_DEMAND_LOSS / (1 + Math.max(0, copies - wanted)));
	}

	const isSecond = copies === 2 && isUrgent(model, demand) && demand.perSecond >= SECOND_COPY_MIN_PER_SECOND;
	const holdsAdapters = copies <= copiesForAdapters(input, demand.adapters.size);
	return Math.max(0, estimator.costOfChange(target, {remove: [model.name]}, 'recent'))
		+ (isSecond ? SECOND_COPY_LOSS : 0)
		+ (holdsAdapters && copies > 1 && demand.adapters.size > 0 ? ADAPTER_CAPACITY_WORTH : 0);
}

function firstMove(desired: DesiredCopy, target: PlannedTarget, {eviction: {model, relocateTo}, worth}: {eviction: Eviction; worth: number}): PlannedMove {
	return relocateTo
		? loadMove(relocateTo, desired, {model, worth})
		: {
			kind: 'unload', targetId: target.id, model: model.name, takesMs: 0, isFromStore: false, wanted: desired.model.name, reason: desired.reason, worth: roundToTenth(worth),
		};
}

function loadMove(target: PlannedTarget, desired: DesiredCopy, {model, worth}: {model: EngineModel; worth: number}): PlannedMove {
	return {
		kind: 'load',
		targetId: target.id,
		model: model.name,
		takesMs: loadTimeMs(target, model),
		isFromStore: !isCached(target, model.name),
		wanted: desired.model.name,
		reason: desired.reason,
		worth: roundToTenth(worth),
	};
}

/** Part of the time for which demand lasts that is left once a move is done. */
function remainingDemandShare(durationMs: number): number {
	return Math.max(0.1, 1 - (durationMs / DEMAND_LIFETIME_MS));
}

function roundToTenth(worth: number): number {
	return Math.round(worth * 10) / 10;
}
