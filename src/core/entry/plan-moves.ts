/**
Candidate moves that bring a model to a target, each with its gain less its loss: a
load into free memory, or the first step of evicting copies to make room.
*/
import {type EngineModel} from './configuration.js';
import {unreservedMemoryMb, isCached, loadTimeMs} from './engine-memory.js';
import {type PlannedDemand, type PlannedMove, type PlannedTarget} from './plan-input.js';
import {
	absenceWorth, ADAPTER_PLACES_WORTH, lacksAdapterPlaces, type PlanContext, type DesiredCopy, type Eviction,
} from './desired-copies.js';

/** Demand for a model lasts about this long; a move that takes as long gains nothing. */
const DEMAND_LIFETIME_MS = 15_000;
/** Time until an evicted copy is unloaded: for an idle one the notice to peers, for a busy one until its longest streams have ended. */
const IDLE_UNLOAD_MS = 800;
const BUSY_UNLOAD_MS = 3000;
/** Loss of relocating the only copy of a model, which costs a load. */
const RELOCATION_LOSS = 0.3;
/** The same by the second, where copies to evict are compared. */
const RELOCATION_LOSS_PER_SECOND = 0.03;
/** Minimum gains, in requests: what a load and an eviction must be worth beyond their estimated effects. */
const MIN_LOAD_GAIN = 0.1;
const MIN_EVICTION_GAIN = 0.2;
/** The same for a copy in use, whose engine accepts no other order until its requests have ended. */
const MIN_BUSY_EVICTION_GAIN = 6;
/** Cost of the time for which an engine accepts no other order, in requests by the second, while all engines accept one; it grows as fewer do. */
const ORDER_TIME_COST_PER_SECOND = 0.35;
/** Open requests per copy above which it counts as in use. */
const BUSY_OPEN_REQUESTS = 0.5;
/** Time in which instances learn of the first copy of a model and send it the requests that wait for it. */
const FIRST_TURN_MS = 3000;
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
	const unusedMb = unreservedMb(planContext, target) - model.sizeMb;
	if (unusedMb < 0 || loadTimeMs(target, model) > desired.maxDurationMs) {
		return undefined;
	}

	const gainPerSecond = -estimator.costOfChange(target, {add: model.name, remove: []}) + adapterWorth(planContext, desired);
	const durationMs = loadTimeMs(target, model);
	const gain = gainWithin(gainPerSecond, durationMs) + waitingRequests(planContext, desired) - (orderTimeCost(planContext) * durationMs / 1000);
	const isZoneServed = estimator.holders(model.name).some(({zone}) => zone === target.zone);
	const placeCost = (isZoneServed ? SAME_ZONE_COST : 0) + (UNUSED_MEMORY_COST * unusedMb / engine.memoryMb);
	// The cost of a target decides between targets, not whether to load at all.
	const netGain = gain > MIN_LOAD_GAIN ? Math.max(Number.MIN_VALUE, gain * (1 - placeCost)) : 0;
	return {netGain, move: loadMove(target, desired, {model, worth: gain})};
}

/** Requests served in time by a move, if what it gains each second starts after `durationMs`. */
function gainWithin(gainPerSecond: number, durationMs: number): number {
	return gainPerSecond * Math.max(0, DEMAND_LIFETIME_MS - durationMs) / 1000;
}

function waitingRequests({input}: PlanContext, {reason, model}: DesiredCopy): number {
	return reason === 'no-copy' ? absenceWorth(input.demand.get(model.name)) : 0;
}

function adapterWorth(planContext: PlanContext, {reason, model}: DesiredCopy): number {
	const {estimator} = planContext;
	return reason !== 'no-copy' && lacksAdapterPlaces(planContext, model.name, estimator.holders(model.name).length) ? ADAPTER_PLACES_WORTH : 0;
}

/** The first step of evicting the copies of a target with the least loss until the model fits. */
export function loadAfterEviction(planContext: PlanContext, desired: DesiredCopy, target: PlannedTarget): MoveCandidate | undefined {
	const {estimator} = planContext;
	const evictions = evictionsAt(planContext, desired, target);
	const requiredMb = desired.model.sizeMb - unreservedMb(planContext, target);
	const evicted = cheapestEvictions(evictions, requiredMb);
	if (!evicted || evicted.length === 0) {
		return undefined;
	}

	const unloaded = evicted.filter(({relocateTo}) => !relocateTo).map(({model}) => model.name);
	const relocationLoss = RELOCATION_LOSS * (evicted.length - unloaded.length);
	const adapterLoss = unloaded.filter(name => lacksAdapterPlaces(planContext, name, estimator.holders(name).length - 1)).length * ADAPTER_PLACES_WORTH;
	const durationMs = evictionTimeMs(planContext, unloaded) + loadTimeMs(target, desired.model);
	if (durationMs > desired.maxDurationMs) {
		return undefined;
	}

	const gainPerSecond = adapterWorth(planContext, desired) - adapterLoss - estimator.costOfChange(target, {add: desired.model.name, remove: unloaded});
	const removalCost = unloaded.length === 1 ? estimator.costOfRemoval(target, unloaded[0]!) : estimator.costOfChange(target, {remove: unloaded});
	const lossMeanwhile = (Math.max(0, removalCost) + orderTimeCost(planContext)) * durationMs / 1000;
	const netGain = gainWithin(gainPerSecond, durationMs) + waitingRequests(planContext, desired) - lossMeanwhile - relocationLoss
		- (unloaded.some(name => isInUse(planContext, name)) ? MIN_BUSY_EVICTION_GAIN : MIN_EVICTION_GAIN);
	return {netGain, move: firstMove(desired, target, {eviction: evicted[0]!, worth: netGain})};
}

function orderTimeCost({input: {targets}, memo}: PlanContext): number {
	memo.idleTargets ??= targets.filter(({isIdle}) => isIdle).length;
	return ORDER_TIME_COST_PER_SECOND * (targets.length + 1) / (memo.idleTargets + 1);
}

function unreservedMb({input: {engine}, memo}: PlanContext, target: PlannedTarget): number {
	let freeMb = memo.unreservedMb.get(target);
	if (freeMb === undefined) {
		freeMb = unreservedMemoryMb(engine, target);
		memo.unreservedMb.set(target, freeMb);
	}

	return freeMb;
}

/** The copies of a target that could be evicted. Of the desired copy, only its reason counts. */
function evictionsAt(planContext: PlanContext, desired: DesiredCopy, target: PlannedTarget): readonly Eviction[] {
	const known = planContext.memo.evictions[desired.reason];
	let evictions = known.get(target);
	if (!evictions) {
		evictions = target.copies
			.map(copy => evictionOf(planContext, desired, {target, name: copy.model}))
			.filter(eviction => eviction !== undefined)
			.sort((a, b) => a.loss - b.loss);
		known.set(target, evictions);
	}

	return evictions;
}

/** Expected time until copies are unloaded, from the probability that nothing runs on them now. */
function evictionTimeMs({input, estimator}: PlanContext, models: readonly string[]): number {
	const runs = models.reduce((sum, model) => sum + ((input.demand.get(model)?.open ?? 0) / Math.max(1, estimator.servingCopies(model))), 0);
	return IDLE_UNLOAD_MS + ((BUSY_UNLOAD_MS - IDLE_UNLOAD_MS) * (1 - Math.exp(-runs)));
}

/** The cheapest evictions, of those with the least loss first, that free enough memory: a single copy if its loss is no larger than that of several. */
function cheapestEvictions(evictions: readonly Eviction[], neededMb: number): Eviction[] | undefined {
	const several: Eviction[] = [];
	let freedMb = 0;
	for (const eviction of evictions) {
		if (freedMb >= neededMb) {
			break;
		}

		freedMb += eviction.model.sizeMb;
		several.push(eviction);
	}

	const single = evictions.find(({model}) => model.sizeMb >= neededMb);
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

	const loss = estimator.costOfRemoval(target, name);
	if (estimator.servingCopies(name) > 1) {
		return {model, loss, relocateTo: undefined};
	}

	// A copy that is being loaded does not serve yet, so the only one that serves stays.
	if (estimator.holders(name).length > 1 || isAwaited(input.demand.get(name))) {
		return undefined;
	}

	const relocateTo = desired.reason === 'no-copy'
		? input.targets.find(other => other !== target && other.isIdle && other.leaving.length === 0
			&& (input.storeLoads >= 1 || isCached(other, name)) && unreservedMemoryMb(input.engine, other) >= model.sizeMb)
		: undefined;
	return {model, loss: relocateTo ? RELOCATION_LOSS_PER_SECOND : loss, relocateTo};
}

/** Whether requests wait for a model that has just got a copy. */
function isAwaited(demand: PlannedDemand | undefined): boolean {
	return demand !== undefined && demand.waiting > 0 && demand.backForMs < FIRST_TURN_MS;
}

/** The load that relocates the copy, if that is needed, else its unload. */
function firstMove(desired: DesiredCopy, target: PlannedTarget, {eviction: {model, relocateTo}, worth}: {eviction: Eviction; worth: number}): PlannedMove {
	return relocateTo
		? loadMove(relocateTo, desired, {model, worth})
		: {
			kind: 'unload',
			targetId: target.id,
			model: model.name,
			takesMs: loadTimeMs(target, desired.model),
			isFromStore: !isCached(target, desired.model.name),
			wanted: desired.model.name,
			reason: desired.reason,
			worth: roundToTenth(worth),
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

/** Whether a model's copies are in use now. */
function isInUse({input, estimator}: PlanContext, model: string): boolean {
	return (input.demand.get(model)?.open ?? 0) / Math.max(1, estimator.servingCopies(model)) > BUSY_OPEN_REQUESTS;
}

function roundToTenth(worth: number): number {
	return Math.round(worth * 10) / 10;
}
