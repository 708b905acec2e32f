/**
Candidate moves that bring a model to a target, each with its gain less its loss: a
load into free memory, or the first step of evicting copies to make room.
*/
import {type EngineModel} from './configuration.js';
import {unreservedMemoryMb, isCached, loadTimeMs} from './engine-memory.js';
import {type PlannedMove, type PlannedTarget} from './plan-input.js';
import {
	ADAPTER_CAPACITY_WORTH, copiesForAdapters, SECOND_COPY_MIN_PER_SECOND, hasAnyDemand, isUrgent, NO_DEMAND_SECOND_COPY_LOSS, AVAILABILITY_WORTH, SECOND_COPY_LOSS, copyWorth,
	type PlanContext, type DesiredCopy,
} from './desired-copies.js';

/** Demand that shifted to a model lasts about this long; a move that takes as long gains almost nothing. */
const DEMAND_LIFETIME_MS = 10_000;
/** Time until an evicted copy is unloaded: for an idle one the notice to peers, for a busy one until its longest streams have ended. */
const IDLE_UNLOAD_MS = 1000;
const BUSY_UNLOAD_MS = 3000;
/** Open requests per copy above which it counts as in use. */
const BUSY_OPEN_REQUESTS = 0.5;
/** Loss of one of several copies before there is any demand, when models differ only in their number of copies. */
const NO_DEMAND_LOSS = 0.01;
/** Loss of relocating the only copy of a model, which costs a load. */
const RELOCATION_LOSS = 0.3;
/** A loss is immediate and weighs more than an expected gain. */
const LOSS_WEIGHT = 1.2;
/** Minimum gain for evicting a copy in use: its engine accepts no other order until the copy's requests have ended. */
const MIN_GAIN_BUSY = 3;
/** Minimum gain for evicting any copy in favour of one more copy of an overloaded model. */
const MIN_GAIN_OVERLOAD = 2;
/** Costs of a target, as a share of the gain: a copy in each zone saves traffic between zones, and tight memory is filled first. */
const SAME_ZONE_COST = 0.2;
const UNUSED_MEMORY_COST = 0.1;

export type MoveCandidate = {
	readonly move: PlannedMove;
	/** Gain less losses, in requests served in time. */
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
	// The cost of a target decides between targets, not whether to load at all.
	const netGain = gain > 0 ? Math.max(Number.MIN_VALUE, gain * (1 - placeCost)) : 0;
	return {netGain, move: loadMove(target, desired, {model, worth: gain})};
}

/** A copy that could be evicted. */
type Eviction = {
	readonly model: EngineModel;
	/** In requests served in time. */
	readonly loss: number;
	/** Where the copy is loaded first because it is the only one, undefined where it is unloaded at once. */
	readonly relocateTo: PlannedTarget | undefined;
};

/** The first step of evicting the copies of a target with the least loss until the model fits. */
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
	// Requests for a model without a copy are refused. Avoiding that comes before the latency of what the engine already serves.
	const relief = desired.reason === 'no-copy'
		? estimator.unservedCost(desired.model.name, 'now')
		: estimator.costOfChange(target, {remove: names}, 'now') - estimator.costOfChange(target, {add: desired.model.name, remove: names}, 'now');
	const evictsUsedCopy = evicted.some(({model: {name}, relocateTo}) => !relocateTo && isInUse(planContext, name));
	const gain = (Math.max(0, relief) + copyWorth(planContext, desired)) * remainingDemandShare(evictionTimeMs(planContext, names) + loadTimeMs(target, desired.model));
	const minGain = Math.max(evictsUsedCopy ? MIN_GAIN_BUSY : 0, desired.reason === 'full' ? MIN_GAIN_OVERLOAD : 0);
	const netGain = gain - (LOSS_WEIGHT * loss) - minGain;
	return {netGain, move: firstMove(desired, target, {eviction: evicted[0]!, worth: netGain})};
}

/** Expected time until copies are unloaded, from the probability that nothing runs on them now. */
function evictionTimeMs({estimator}: PlanContext, models: readonly string[]): number {
	const runs = models.reduce((sum, model) => sum + (estimator.openRequests(model, 'now') / Math.max(1, estimator.servingCopies(model))), 0);
	return IDLE_UNLOAD_MS + ((BUSY_UNLOAD_MS - IDLE_UNLOAD_MS) * (1 - Math.exp(-runs)));
}

/** The cheapest evictions that free enough memory: a single copy if its loss is no larger than that of several. */
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

	// The last copy of a model is evicted only for a model without a copy.
	if (desired.reason !== 'no-copy') {
		return undefined;
	}

	const relocateTo = input.targets.find(other => other !== target && other.isIdle && other.leaving.length === 0
		&& (input.storeLoads >= 1 || isCached(other, name)) && unreservedMemoryMb(input.engine, other) >= model.sizeMb);
	return relocateTo
		? {model, loss: RELOCATION_LOSS, relocateTo}
		: {model, loss: AVAILABILITY_WORTH + estimator.costOfChange(target, {remove: [name]}, 'recent'), relocateTo: undefined};
}

/** Whether a model's copies are in use now. */
function isInUse({estimator}: PlanContext, model: string): boolean {
	return estimator.openRequests(model, 'now') / Math.max(1, estimator.servingCopies(model)) > BUSY_OPEN_REQUESTS;
}

/** Loss of one of several copies, in requests served in time. */
function evictionLoss({input, estimator}: PlanContext, target: PlannedTarget, model: EngineModel): number {
	const copies = estimator.servingCopies(model.name);
	const demand = input.demand.get(model.name);
	if (!demand) {
		// Without demand, the model with the most copies beyond the needs of its adapters loses one first.
		const wanted = Math.max(2, copiesForAdapters(input, model.adapters));
		return (copies === 2 && hasAnyDemand(input) ? NO_DEMAND_SECOND_COPY_LOSS : 0) + (NO_DEMAND_LOSS / (1 + Math.max(0, copies - wanted)));
	}

	const isSecond = copies === 2 && isUrgent(model, demand) && demand.perSecond >= SECOND_COPY_MIN_PER_SECOND;
	const holdsAdapters = copies <= copiesForAdapters(input, demand.adapters.size);
	return Math.max(0, estimator.costOfChange(target, {remove: [model.name]}, 'recent'))
		+ (isSecond ? SECOND_COPY_LOSS : 0)
		+ (holdsAdapters && copies > 1 && demand.adapters.size > 0 ? ADAPTER_CAPACITY_WORTH : 0);
}

/** The load that relocates the copy, if that is needed, else its unload. */
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

/** Share of the demand's lifetime that is left once a move is complete. */
function remainingDemandShare(durationMs: number): number {
	return Math.max(0.1, 1 - (durationMs / DEMAND_LIFETIME_MS));
}

function roundToTenth(worth: number): number {
	return Math.round(worth * 10) / 10;
}
