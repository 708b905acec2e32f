/**
The move that brings a wanted model to a target, with its gain less what is missed:
into memory that is free, or the first step of taking copies off.
*/
import {type EngineModel} from './configuration.js';
import {freeOf, isStaged, takesMs} from './engine-room.js';
import {type PlannedMove, type PlannedTarget} from './plan-input.js';
import {
	ADAPTERS_WORTH, copiesForAdapters, DEMAND_FOR_SECOND_COPY, isAnyoneServed, isUrgent, UNASKED_LOSS, REACHABLE_WORTH, SECOND_COPY_LOSS, worthOf, type Planning, type Want,
} from './plan-wants.js';

/** Demand for a model that moved lasts about this long; a move that takes as long gains nothing. */
const DEMAND_LASTS_MS = 10_000;
/** Time until a copy that is to go has gone: the notice where nothing runs, else when its longest streams have ended. */
const CLEARING_IDLE_MS = 1000;
const CLEARING_USED_MS = 3000;
/** Requests at a copy from which it counts as used. */
const USED_OPEN = 0.5;
/** Loss of one of many copies of a model before anything was asked for: they differ only in number. */
const UNKNOWN_LOSS = 0.01;
/** Moving the only copy of a model elsewhere costs a load. */
const RELOCATION_LOSS = 0.3;
/** What is missed at once weighs more than what is hoped for. */
const LOSS_WEIGHT = 1.2;
/** Least gain for which a copy that is used makes way: its engine takes no other order until its runs have ended. */
const LEAST_GAIN_USED = 3;
/** Least gain for which any copy makes way for a further one of a model that is past its pace. */
const LEAST_GAIN_FULL = 2;
/** Costs of a place, in requests: bytes between zones are spared, tight places are filled first. */
const SAME_ZONE_COST = 0.2;
const ROOM_LEFT_COST = 0.1;

export type Candidate = {
	readonly move: PlannedMove;
	/** Gain less losses. */
	readonly net: number;
};

export function intoFreeMemory(planning: Planning, want: Want, target: PlannedTarget): Candidate | undefined {
	const {input: {engine}, pressure} = planning;
	const {model} = want;
	const left = freeOf(engine, target) - model.sizeMb;
	if (left < 0) {
		return undefined;
	}

	const takes = takesMs(target, model);
	const helps = want.reason === 'no-copy'
		? pressure.absence(model.name, 'now')
		: -pressure.costOf(target, {add: model.name, remove: []}, 'now');
	const gain = (Math.max(0, helps) + worthOf(planning, want)) * lasting(takes);
	const isZoneServed = pressure.holders(model.name).some(({zone}) => zone === target.zone);
	const placeCost = (isZoneServed ? SAME_ZONE_COST : 0) + (ROOM_LEFT_COST * left / engine.memoryMb);
	// A place's cost decides between places, not whether to fill one.
	const net = gain > 0 ? Math.max(Number.MIN_VALUE, gain * (1 - placeCost)) : 0;
	return {net, move: loadMove(target, want, {model, worth: gain})};
}

type Removal = {
	readonly model: EngineModel;
	readonly loss: number;
	/** Where the copy has to be loaded first, because it is the only one. */
	readonly refuge: PlannedTarget | undefined;
};

/** Takes copies off a target, those that are missed least for the room they make, until the wanted model fits. */
export function afterClearing(planning: Planning, want: Want, target: PlannedTarget): Candidate | undefined {
	const {input: {engine}, pressure} = planning;
	const removals = target.copies
		.map(copy => removalOf(planning, want, {target, name: copy.model}))
		.filter(removal => removal !== undefined);
	const lacking = want.model.sizeMb - freeOf(engine, target);
	const taken = cheapestRoom(removals, lacking);
	if (!taken || taken.length === 0) {
		return undefined;
	}

	const names = taken.map(({model}) => model.name);
	const loss = taken.reduce((sum, removal) => sum + removal.loss, 0);
	// What nobody serves is refused, so that it goes before the pace of what the engine serves already.
	const helps = want.reason === 'no-copy'
		? pressure.absence(want.model.name, 'now')
		: pressure.costOf(target, {remove: names}, 'now') - pressure.costOf(target, {add: want.model.name, remove: names}, 'now');
	const isClearingUsed = taken.some(({model: {name}, refuge}) => !refuge && isUsed(planning, name));
	const gain = (Math.max(0, helps) + worthOf(planning, want)) * lasting(clearingMs(planning, names) + takesMs(target, want.model));
	const leastGain = Math.max(isClearingUsed ? LEAST_GAIN_USED : 0, want.reason === 'full' ? LEAST_GAIN_FULL : 0);
	const net = gain - (LOSS_WEIGHT * loss) - leastGain;
	return {net, move: stepOf(want, target, {removal: taken[0]!, worth: net})};
}

/** Expected time until copies are gone, from the chance that nothing runs there now. */
function clearingMs({pressure}: Planning, models: readonly string[]): number {
	const runs = models.reduce((sum, model) => sum + (pressure.open(model, 'now') / Math.max(1, pressure.present(model))), 0);
	return CLEARING_IDLE_MS + ((CLEARING_USED_MS - CLEARING_IDLE_MS) * (1 - Math.exp(-runs)));
}

/** One copy that alone makes the room if that is missed no more than several smaller ones. */
function cheapestRoom(removals: readonly Removal[], lackingMb: number): Removal[] | undefined {
	const several: Removal[] = [];
	let roomMb = 0;
	for (const removal of removals.toSorted((a, b) => a.loss - b.loss)) {
		if (roomMb >= lackingMb) {
			break;
		}

		roomMb += removal.model.sizeMb;
		several.push(removal);
	}

	const single = removals.filter(({model}) => model.sizeMb >= lackingMb).toSorted((a, b) => a.loss - b.loss)[0];
	if (single && single.loss <= several.reduce((sum, {loss}) => sum + loss, 0)) {
		return [single];
	}

	return roomMb >= lackingMb ? several : undefined;
}

function removalOf(planning: Planning, want: Want, {target, name}: {target: PlannedTarget; name: string}): Removal | undefined {
	const {input, pressure} = planning;
	const model = input.engine.models.get(name);
	if (!model) {
		return undefined;
	}

	if (pressure.present(name) > 1) {
		return {model, loss: lossOf(planning, target, model), refuge: undefined};
	}

	// The last copy of a model makes way only for one that has none.
	if (want.reason !== 'no-copy') {
		return undefined;
	}

	const refuge = input.targets.find(other => other !== target && other.isIdle && other.leaving.length === 0
		&& (input.storeLoads >= 1 || isStaged(other, name)) && freeOf(input.engine, other) >= model.sizeMb);
	return refuge
		? {model, loss: RELOCATION_LOSS, refuge}
		: {model, loss: REACHABLE_WORTH + pressure.costOf(target, {remove: [name]}, 'recent'), refuge: undefined};
}

/** Whether requests run at a model's copies now. */
function isUsed({pressure}: Planning, model: string): boolean {
	return pressure.open(model, 'now') / Math.max(1, pressure.present(model)) > USED_OPEN;
}

/** Requests in time that one of several copies brings. */
function lossOf({input, pressure}: Planning, target: PlannedTarget, model: EngineModel): number {
	const copies = pressure.present(model.name);
	const demand = input.demand.get(model.name);
	if (!demand) {
		// Before anything was asked for, what has most copies beyond its adapters' needs goes first.
		const wanted = Math.max(2, copiesForAdapters(input, model.adapters));
		return (copies === 2 && isAnyoneServed(input) ? UNASKED_LOSS : 0) + (UNKNOWN_LOSS / (1 + Math.max(0, copies - wanted)));
	}

	const isSecond = copies === 2 && isUrgent(model, demand) && demand.perSecond >= DEMAND_FOR_SECOND_COPY;
	const holdsAdapters = copies <= copiesForAdapters(input, demand.adapters.size);
	return Math.max(0, pressure.costOf(target, {remove: [model.name]}, 'recent'))
		+ (isSecond ? SECOND_COPY_LOSS : 0)
		+ (holdsAdapters && copies > 1 && demand.adapters.size > 0 ? ADAPTERS_WORTH : 0);
}

function stepOf(want: Want, target: PlannedTarget, {removal: {model, refuge}, worth}: {removal: Removal; worth: number}): PlannedMove {
	return refuge
		? loadMove(refuge, want, {model, worth})
		: {
			kind: 'unload', targetId: target.id, model: model.name, takesMs: 0, isFromStore: false, wanted: want.model.name, reason: want.reason, worth: round(worth),
		};
}

function loadMove(target: PlannedTarget, want: Want, {model, worth}: {model: EngineModel; worth: number}): PlannedMove {
	return {
		kind: 'load',
		targetId: target.id,
		model: model.name,
		takesMs: takesMs(target, model),
		isFromStore: !isStaged(target, model.name),
		wanted: want.model.name,
		reason: want.reason,
		worth: round(worth),
	};
}

/** Part of the time for which demand lasts that is left once a move is done. */
function lasting(takes: number): number {
	return Math.max(0.1, 1 - (takes / DEMAND_LASTS_MS));
}

function round(worth: number): number {
	return Math.round(worth * 10) / 10;
}
