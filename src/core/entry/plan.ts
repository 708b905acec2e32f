/**
Which copies of which models the engines of one service should hold, as a pure
function of what they hold, what is asked for and what fits. Free memory goes to what gains
most. Copies make way only if that pays: what a move gains, for as long as demand
usually lasts after it is done, against what is missed from then on. Models that do
not all fit thus take turns where the ones asked for most leave room.
*/
import {type TargetId, type ZoneName} from '../types.js';
import {type Engine, type EngineModel} from './configuration.js';
import {Pressure} from './pressure.js';
import {type ModelCopy} from './target.js';

export type PlannedTarget = {
	readonly id: TargetId;
	readonly zone: ZoneName;
	readonly slots: number;
	readonly copies: readonly ModelCopy[];
	/** Models that an accepted or waiting order brings here, or that room is being made for. */
	readonly loading: readonly string[];
	/** Copies that are about to be unloaded. */
	readonly leaving: readonly string[];
	/** Whether an order for a model can be given now. */
	readonly isIdle: boolean;
	/** Share of the slots in use. */
	readonly load: number;
	readonly inMemory: readonly string[];
	readonly onDisk: readonly string[];
};

export type PlannedDemand = {
	readonly perSecond: number;
	/** Requests that run or wait, over all instances. */
	readonly open: number;
	/** The most of these lately, fading. */
	readonly recentOpen: number;
	/** Time since it was first asked for without a copy anywhere; 0 while there is one. */
	readonly missingMs: number;
	/** Shortest objective of the routes that ask for it. */
	readonly objectiveMs: number;
	/** Adapters in use. */
	readonly adapters: ReadonlySet<string>;
};

export type PlannedMove = {
	readonly kind: 'load' | 'unload';
	readonly targetId: TargetId;
	readonly model: string;
	readonly takesMs: number;
	/** Whether the load draws on the weight store. */
	readonly isFromStore: boolean;
	/** The model for which the move is made: the one to load, or the one that needs the room. */
	readonly wanted: string;
	/** Why the move is worth making, and requests served in time that it is expected to bring, for the log. */
	readonly reason: Reason;
	readonly worth: number;
};

export type Reason = 'no-copy' | 'full' | 'urgent';

export type PlanInput = {
	readonly engine: Engine;
	readonly targets: readonly PlannedTarget[];
	readonly demand: ReadonlyMap<string, PlannedDemand>;
	/** Moves that may begin now. */
	readonly storeLoads: number;
};

const DEMAND_FOR_SECOND_COPY = 0.5;
/** Open requests a copy from which a further copy takes a load over that is worth a move. */
const FULL_PART = 2;
/** Demand for a model that moved lasts about this long; a move that takes as long gains nothing. */
const DEMAND_LASTS_MS = 10_000;
/** Time until a copy that is to go has gone: the notice where nothing runs, else when its longest streams have ended. */
const CLEARING_IDLE_MS = 1000;
const CLEARING_USED_MS = 3000;
/** Requests at a copy from which it counts as used. */
const USED_OPEN = 0.5;
/** Worth, in requests served in time, of having any copy of a model that nobody asks for now. */
const REACHABLE_WORTH = 0.9;
/** What each second without a copy adds to it, so that the rarest model has its turn after some ten seconds. */
const MISSING_WORTH_PER_S = 1;
/** The same of a second copy of what urgent requests ask for. Less than what the loss of one counts, so that they never trade places. */
const SECOND_COPY_WORTH = 0.5;
const SECOND_COPY_LOSS = 0.6;
/** The same of a second copy of a model that nobody asked for yet: demand moves to one of these. */
const PROSPECT_WORTH = 0.3;
const PROSPECT_LOSS = 0.4;
/** The same of a copy on which adapters in use find places that they lack. */
const ADAPTERS_WORTH = 2;
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

/** Models, those that could gain most, and targets, those with the model at hand and the least loaded, that one plan looks at: its cost then grows little with the deployment. */
const WANTS_CONSIDERED = 16;
const TARGETS_CONSIDERED = 24;

type Want = {
	readonly model: EngineModel;
	readonly reason: Reason;
	/** What a copy could gain at best. */
	readonly most: number;
};

type Candidate = {
	readonly move: PlannedMove;
	/** Gain less losses. */
	readonly net: number;
};

type Planning = {
	readonly input: PlanInput;
	readonly pressure: Pressure;
};

/** Memory that models and the room kept for adapters leave free. */
export function freeMemoryMb(engine: Engine, copies: readonly ModelCopy[]): number {
	let adapterMb = 0;
	for (const {adapterMb: size} of engine.models.values()) {
		adapterMb = Math.max(adapterMb, size);
	}

	let free = engine.memoryMb - (engine.adapterPlaces * adapterMb);
	for (const {model} of copies) {
		free -= engine.models.get(model)?.sizeMb ?? 0;
	}

	return free;
}

/** The next move worth making, undefined when there is none. */
export function planMove(input: PlanInput): PlannedMove | undefined {
	const planning: Planning = {input, pressure: new Pressure(input.targets, input.demand)};
	const wants = [...input.engine.models.values()]
		.map(model => ({model, reason: wantOf(planning, model), most: mostGain(planning, model)}))
		.filter((want): want is Want => want.reason !== undefined)
		.sort((a, b) => b.most - a.most)
		.slice(0, WANTS_CONSIDERED);
	return bestOf(planning, wants, intoFreeMemory)
		?? bestOf(planning, wants.filter(({model}) => !isProspect(planning, model)), afterClearing);
}

type Place = (planning: Planning, want: Want, target: PlannedTarget) => Candidate | undefined;

function bestOf(planning: Planning, wants: readonly Want[], place: Place): PlannedMove | undefined {
	let best: Candidate | undefined;
	for (const want of wants) {
		for (const target of targetsFor(planning, want)) {
			const candidate = place(planning, want, target);
			if (candidate && candidate.net > (best?.net ?? 0)) {
				best = candidate;
			}
		}
	}

	return best?.move;
}

function targetsFor({input: {targets, storeLoads}, pressure}: Planning, {model: {name}}: Want): PlannedTarget[] {
	const able = targets.filter(target => target.isIdle && target.leaving.length === 0 && !pressure.holders(name).includes(target)
		&& (storeLoads >= 1 || isStaged(target, name)));
	return able.length <= TARGETS_CONSIDERED
		? able
		: able
			.sort((a, b) => Number(isStaged(b, name)) - Number(isStaged(a, name)) || pressure.load(a.id, 'now') - pressure.load(b.id, 'now'))
			.slice(0, TARGETS_CONSIDERED);
}

function reachableWorth(demand: PlannedDemand | undefined): number {
	return REACHABLE_WORTH + ((demand?.missingMs ?? 0) * MISSING_WORTH_PER_S / 1000);
}

function mostGain({input, pressure}: Planning, {name}: EngineModel): number {
	const copies = pressure.holders(name).length;
	return copies === 0 ? pressure.absence(name, 'now') + reachableWorth(input.demand.get(name)) : pressure.open(name, 'now') / copies;
}

function wantOf({input, pressure}: Planning, model: EngineModel): Reason | undefined {
	const {name} = model;
	const demand = input.demand.get(name);
	const holders = pressure.holders(name);
	if (holders.length === 0) {
		return 'no-copy';
	}

	if (pressure.open(name, 'now') / holders.length >= FULL_PART && holders.some(target => pressure.isPastComfort(target))) {
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

/** Nobody asked for it yet: worth the memory that is free, but no copy that is held. */
function isProspect({input, pressure}: Planning, {name}: EngineModel): boolean {
	return !input.demand.has(name) && pressure.holders(name).length > 0;
}

/** Whether a load, even from disk, would come too late for callers. Of a model that nobody asked for yet that has to be assumed. */
function isUrgent({diskLoadMs}: EngineModel, demand: PlannedDemand | undefined): boolean {
	return !demand || demand.objectiveMs <= diskLoadMs;
}

/** Before anything was asked for, no model tells itself from the others. */
function isAnyoneServed({demand}: PlanInput): boolean {
	return demand.size > 0;
}

/** Copies on which a number of adapters finds places. */
function copiesForAdapters({engine}: PlanInput, adapters: number): number {
	return engine.adapterPlaces === 0 ? 1 : Math.ceil(adapters / engine.adapterPlaces);
}

/** Worth of one more copy beyond the load that it takes over. */
function worthOf({input, pressure}: Planning, {model, reason}: Want): number {
	const demand = input.demand.get(model.name);
	if (reason === 'no-copy') {
		return reachableWorth(demand);
	}

	if (demand && pressure.holders(model.name).length < copiesForAdapters(input, demand.adapters.size)) {
		return ADAPTERS_WORTH;
	}

	return demand ? SECOND_COPY_WORTH : PROSPECT_WORTH;
}

function intoFreeMemory(planning: Planning, want: Want, target: PlannedTarget): Candidate | undefined {
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

/** Part of the time for which demand lasts that is left once a move is done. */
function lasting(takes: number): number {
	return Math.max(0.1, 1 - (takes / DEMAND_LASTS_MS));
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

function round(worth: number): number {
	return Math.round(worth * 10) / 10;
}

function freeOf(engine: Engine, target: PlannedTarget): number {
	const coming = target.loading
		.filter(model => !target.copies.some(copy => copy.model === model))
		.map(model => ({model, version: 0, adapters: []}));
	return freeMemoryMb(engine, [...target.copies, ...coming]);
}

function isStaged({inMemory, onDisk}: PlannedTarget, model: string): boolean {
	return inMemory.includes(model) || onDisk.includes(model);
}

function takesMs({inMemory, onDisk}: PlannedTarget, model: EngineModel): number {
	if (inMemory.includes(model.name)) {
		return model.memoryLoadMs;
	}

	return onDisk.includes(model.name) ? model.diskLoadMs : model.loadMs;
}

type Removal = {
	readonly model: EngineModel;
	readonly loss: number;
	/** Where the copy has to be loaded first, because it is the only one. */
	readonly refuge: PlannedTarget | undefined;
};

/** Takes copies off a target, those that are missed least for the room they make, until the wanted model fits. */
function afterClearing(planning: Planning, want: Want, target: PlannedTarget): Candidate | undefined {
	const {input: {engine}, pressure} = planning;
	const removals = target.copies
		.map(copy => removalOf(planning, want, {target, name: copy.model}))
		.filter(removal => removal !== undefined);
	const lacking = want.model.sizeMb - freeOf(engine, target);
	const taken = cheapestRoom(removals, lacking);
	if (!taken) {
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
		return (copies === 2 && isAnyoneServed(input) ? PROSPECT_LOSS : 0) + (UNKNOWN_LOSS / (1 + Math.max(0, copies - wanted)));
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
