/**
Which copies of which models the engines of one service should hold, as a pure
function of what they hold, what is asked for and what fits. Every model keeps a
copy. Further copies follow, in this order: demand that the present copies cannot
carry, a second place for what urgent requests ask for, and spare memory for models
that may rise next. Only what nobody asks for makes way.
*/
import {type TargetId, type ZoneName} from '../types.js';
import {type Engine, type EngineModel} from './configuration.js';
import {type ModelCopy} from './target.js';

export type PlannedTarget = {
	readonly id: TargetId;
	readonly zone: ZoneName;
	readonly slots: number;
	readonly copies: readonly ModelCopy[];
	/** Models that an accepted or waiting order brings here. */
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
	readonly rank: number;
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
	/** Why the move is worth making, for the log. */
	readonly reason: Reason;
};

export type Reason = 'no-copy' | 'full' | 'urgent' | 'spare';

export type PlanInput = {
	readonly engine: Engine;
	readonly targets: readonly PlannedTarget[];
	readonly demand: ReadonlyMap<string, PlannedDemand>;
	/** Moves that may begin now. */
	readonly storeLoads: number;
};

/**
Part of the slots of its copies that a model may fill before it gets another copy. An engine reads prompts
between the tokens of its streams; past this part the pauses of streams grow beyond what routes allow.
*/
const FULL_SHARE = 0.3;
/** Ranks up to this one are urgent: their callers wait. */
const URGENT_RANK = 1;
/** A model asked for less often than this, per second, makes way. */
const IDLE_PER_SECOND = 0.3;
const DEMAND_FOR_SECOND_COPY = 0.5;
const UNKNOWN_LOSS = 0.01;
/** Moving the only copy of a model elsewhere costs a load, more than any copy that can be spared. */
const RELOCATION_LOSS = 1000;
const SACRIFICE_LOSS = 1_000_000;
/** Demand, as a multiple of another model's, that takes the place of its only copy. */
const WORTH_FACTOR = 2;
/** Requests that wait before a model takes its turn. */
const WAITING_FOR_TURN = 3;
/** Open requests of a model from which a copy may be taken from another that is asked for. */
const OPEN_FOR_RELIEF = 8;
/** Requests per copy, as a multiple of the other model's, that make up for a load and an unload. */
const RELIEF_FACTOR = 2;

type Want = {
	readonly model: EngineModel;
	readonly reason: Reason;
	readonly weight: number;
};

const reasonOrder: readonly Reason[] = ['no-copy', 'full', 'urgent', 'spare'];

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
	for (const want of wants(input)) {
		const move = place(input, want);
		if (move) {
			return move;
		}
	}

	return undefined;
}

function wants(input: PlanInput): Want[] {
	const list: Want[] = [];
	for (const model of input.engine.models.values()) {
		const reason = wantOf(input, model);
		if (reason) {
			list.push({model, reason, weight: weightOf(input, model.name)});
		}
	}

	return list.sort((a, b) => reasonOrder.indexOf(a.reason) - reasonOrder.indexOf(b.reason) || b.weight - a.weight);
}

function wantOf(input: PlanInput, model: EngineModel): Reason | undefined {
	const demand = input.demand.get(model.name);
	const copies = copiesOf(input, model.name);
	if (copies.length === 0) {
		return 'no-copy';
	}

	const slots = copies.reduce((sum, target) => sum + target.slots, 0);
	if (demand && demand.open > slots * FULL_SHARE) {
		return 'full';
	}

	if (demand && copies.length < copiesForAdapters(input, demand.adapters.size)) {
		return 'urgent';
	}

	if (copies.length > 1) {
		return undefined;
	}

	return demand && demand.rank <= URGENT_RANK && demand.perSecond >= DEMAND_FOR_SECOND_COPY ? 'urgent' : 'spare';
}

/** Copies on which a number of adapters finds places. */
function copiesForAdapters({engine}: PlanInput, adapters: number): number {
	return engine.adapterPlaces === 0 ? 1 : Math.ceil(adapters / engine.adapterPlaces);
}

/** Models that were never asked for go before those known to be asked for at leisure. */
function weightOf({demand}: PlanInput, model: string): number {
	const known = demand.get(model);
	if (!known) {
		return 0.1;
	}

	return known.rank <= URGENT_RANK ? 1 + known.open + known.perSecond : 0;
}

function copiesOf({targets}: PlanInput, model: string): PlannedTarget[] {
	return targets.filter(target => !target.leaving.includes(model)
		&& (target.loading.includes(model) || target.copies.some(copy => copy.model === model)));
}

function place(input: PlanInput, want: Want): PlannedMove | undefined {
	const {engine, storeLoads} = input;
	const {name, sizeMb} = want.model;
	const holders = copiesOf(input, name);
	const zones = new Set(holders.map(({zone}) => zone));
	const candidates = input.targets.filter(target => !holders.includes(target) && !target.leaving.includes(name));
	const fitting = candidates
		.filter(target => target.isIdle && freeOf(engine, target) >= sizeMb)
		.filter(target => isStaged(target, name) || storeLoads >= 1)
		.sort((a, b) => costOf(engine, a, want, zones) - costOf(engine, b, want, zones));
	const best = fitting[0];
	if (best) {
		return {
			kind: 'load', targetId: best.id, model: name, takesMs: takesMs(best, want.model), isFromStore: !isStaged(best, name), reason: want.reason,
		};
	}

	return want.reason === 'spare' ? undefined : makeRoom(input, want, candidates);
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

/** Lower is better: quickly there, in a zone without a copy, little loaded, with little memory left over. */
function costOf(engine: Engine, target: PlannedTarget, want: Want, zones: ReadonlySet<ZoneName>): number {
	return (takesMs(target, want.model) / 1000)
		+ (zones.has(target.zone) ? 1.5 : 0)
		+ (target.load * 2)
		+ ((freeOf(engine, target) - want.model.sizeMb) / engine.memoryMb);
}

type Clearance = {
	readonly loss: number;
	readonly step: PlannedMove;
};

/** The first step of the clearance that is missed least, of all targets that can be cleared for the wanted model. */
function makeRoom(input: PlanInput, want: Want, candidates: readonly PlannedTarget[]): PlannedMove | undefined {
	let best: Clearance | undefined;
	for (const target of candidates) {
		const mayLoad = want.reason === 'no-copy' || input.storeLoads >= 1 || isStaged(target, want.model.name);
		const clearance = target.isIdle && target.leaving.length === 0 && mayLoad ? clear(input, want, target) : undefined;
		if (clearance && clearance.loss < (best?.loss ?? Number.POSITIVE_INFINITY)) {
			best = clearance;
		}
	}

	return best?.step;
}

type Removal = {
	readonly model: EngineModel;
	readonly loss: number;
	/** Where the copy has to be loaded first, because it is the only one. */
	readonly refuge: PlannedTarget | undefined;
};

/** Takes copies off a target, those that are missed least first, until the wanted model fits. */
function clear(input: PlanInput, want: Want, target: PlannedTarget): Clearance | undefined {
	const removals = target.copies
		.map(copy => removalOf(input, want, {target, name: copy.model}))
		.filter(removal => removal !== undefined)
		.toSorted((a, b) => a.loss - b.loss);
	let free = freeOf(input.engine, target);
	let loss = 0;
	const taken: Removal[] = [];
	for (const removal of removals) {
		if (free >= want.model.sizeMb) {
			break;
		}

		free += removal.model.sizeMb;
		loss += removal.loss;
		taken.push(removal);
	}

	// A copy that alone makes the room spares the others.
	const single = removals.find(({model}) => freeOf(input.engine, target) + model.sizeMb >= want.model.sizeMb);
	const first = single && single.loss <= loss ? single : taken[0];
	if (!first || free < want.model.sizeMb) {
		return undefined;
	}

	return {loss: first === single ? single.loss : loss, step: stepOf(want, target, first)};
}

function removalOf(input: PlanInput, want: Want, {target, name}: {target: PlannedTarget; name: string}): Removal | undefined {
	const model = input.engine.models.get(name);
	if (!model) {
		return undefined;
	}

	const loss = lossOf(input, name, want);
	if (Number.isFinite(loss)) {
		return {model, loss, refuge: undefined};
	}

	if (want.reason !== 'no-copy' || copiesOf(input, name).length > 1) {
		return undefined;
	}

	const refuge = input.targets.find(other => other !== target && other.isIdle && other.leaving.length === 0 && freeOf(input.engine, other) >= model.sizeMb);
	if (refuge) {
		return input.storeLoads >= 1 || isStaged(refuge, name) ? {model, loss: RELOCATION_LOSS, refuge} : undefined;
	}

	return isWorthMore(input, want.model.name, name) ? {model, loss: SACRIFICE_LOSS + weightOf(input, name), refuge: undefined} : undefined;
}

/**
Whether a model without a copy may take the place of another's only one. Where engines were lost, not all models fit
at once; then those that callers wait for go first, and the others take turns while nobody uses them.
*/
function isWorthMore(input: PlanInput, wanted: string, held: string): boolean {
	const waiting = input.demand.get(wanted)?.open ?? 0;
	const used = input.demand.get(held)?.open ?? 0;
	const isFarMore = weightOf(input, wanted) > WORTH_FACTOR * (1 + weightOf(input, held));
	return waiting > 0 && (isFarMore || (waiting >= WAITING_FOR_TURN && used === 0));
}

function stepOf(want: Want, target: PlannedTarget, {model, refuge}: Removal): PlannedMove {
	return refuge
		? {
			kind: 'load', targetId: refuge.id, model: model.name, takesMs: takesMs(refuge, model), isFromStore: !isStaged(refuge, model.name), reason: want.reason,
		}
		: {
			kind: 'unload', targetId: target.id, model: model.name, takesMs: 0, isFromStore: false, reason: want.reason,
		};
}

/** Demand that loses a copy, infinite where the copy must stay. */
function lossOf(input: PlanInput, model: string, want: Want): number {
	const copies = copiesOf(input, model);
	if (copies.length < 2) {
		return Number.POSITIVE_INFINITY;
	}

	const demand = input.demand.get(model);
	if (!demand) {
		// Before anything was asked for, what has most copies beyond its adapters' needs goes first.
		const wanted = Math.max(2, copiesForAdapters(input, input.engine.models.get(model)?.adapters ?? 0));
		return UNKNOWN_LOSS / (1 + Math.max(0, copies.length - wanted));
	}

	const isPressing = want.reason === 'no-copy' || want.reason === 'full';
	if (!isPressing && copies.length <= copiesForAdapters(input, demand.adapters.size)) {
		return Number.POSITIVE_INFINITY;
	}

	const isIdle = demand.perSecond < IDLE_PER_SECOND;
	const isAllowed = want.reason === 'no-copy' || isIdle || isRelief(input, want, {open: demand.open, copiesLeft: copies.length - 1});
	return isAllowed ? demand.perSecond + demand.open : Number.POSITIVE_INFINITY;
}

/** Whether a copy does much more for the wanted model than it does now. */
function isRelief(input: PlanInput, want: Want, {open, copiesLeft}: {open: number; copiesLeft: number}): boolean {
	const wanted = input.demand.get(want.model.name)?.open ?? 0;
	const copies = copiesOf(input, want.model.name).length;
	return wanted >= OPEN_FOR_RELIEF && wanted / copies > RELIEF_FACTOR * open / copiesLeft;
}
