/**
Decides what one zone should load and unload next. Reachability comes first, then
copies in a second zone while there is room, then copies for demand. A copy for
demand is added only under pressure that lasts, on a target that has slots to
spare, and displaces only copies that are not needed to keep a model reachable.
Whatever is in place and not in the way stays: every move costs a load from the
weight store and a while without the copy.
*/
import {type Model} from '../configuration/types.js';
import {type ModelName, type TargetId} from '../types.js';
import {type ModelCopy} from './ledger.js';

/** Time per place in the ranking of zones before a zone loads what no zone has. */
const REACH_STAGGER_MS = 5000;

/** Time before a second copy is added, so that the first copies of all models come first. */
const SPREAD_DELAY_MS = 15_000;

/** Plans in a row with pressure before a copy is added for demand, into free room and into that of a spare copy. */
const PRESSURE_PLANS = 5;
const EVICTION_PLANS = 180;

/** Share of slots in use above which a model's targets count as full, and below which another one helps. */
const FULL_UTILISATION = 0.85;
const SPARE_UTILISATION = 0.6;

export type PlanEntry = ModelCopy & {
	/** Whether the copy answers requests. */
	readonly resident: boolean;
	/** Whether its room can be given to another copy once it is unloaded. */
	readonly removable: boolean;
};

export type PlanTarget = {
	readonly id: TargetId;
	readonly service: string;
	readonly memoryMb: number;
	readonly committedMb: number;
	readonly slots: number;
	readonly utilisation: number;
	readonly entries: readonly PlanEntry[];
	/** Copies that this target refused lately. */
	readonly refused: ReadonlySet<string>;
};

export type PlanModel = {
	readonly name: ModelName;
	readonly model: Model;
	/** Resident copies of the configured version, in all zones. */
	readonly copies: number;
	/** Resident copies of other versions, which serve until the configured one is resident. */
	readonly otherVersionCopies: number;
	/** Zones in which it is resident. */
	readonly zones: number;
	readonly residentInZone: boolean;
	/** This zone's place in the model's ranking of zones. */
	readonly zoneRank: number;
	readonly absentMs: number;
	/** Arrivals per second, at all instances. */
	readonly rate: number;
	readonly waiting: number;
	/** Mean share of slots in use over the targets that hold it. */
	readonly utilisation: number;
	readonly consecutivePressuredPlans: number;
};

export type PlanInput = {
	readonly models: readonly PlanModel[];
	readonly targets: readonly PlanTarget[];
	readonly zones: number;
	/** Time since this owner took the lease. */
	readonly ownershipAgeMs: number;
};

export type PlanAction =
	| {readonly kind: 'load'; readonly targetId: TargetId; readonly copy: ModelCopy; readonly reason: string}
	| {readonly kind: 'unload'; readonly targetId: TargetId; readonly copy: ModelCopy; readonly reason: string};

type Plan = {
	readonly input: PlanInput;
	readonly byName: ReadonlyMap<ModelName, PlanModel>;
	readonly free: Map<TargetId, number>;
	/** Copies whose unload this plan decided, as `target/model`. */
	readonly leaving: Set<string>;
	readonly actions: PlanAction[];
};

export function planMoves(input: PlanInput): PlanAction[] {
	const plan: Plan = {
		input,
		byName: new Map(input.models.map(entry => [entry.name, entry])),
		free: new Map(input.targets.map(target => [target.id, target.memoryMb - target.committedMb])),
		leaving: new Set(),
		actions: [],
	};
	removeUnwanted(plan);
	// Only models that lack something are sorted and looked at further.
	const absent = input.models.filter(isAbsent);
	for (const entry of absent.toSorted((a, b) => b.model.memoryMb - a.model.memoryMb || b.rate - a.rate)) {
		keepReachable(plan, entry);
	}

	if (absent.length === 0 && input.ownershipAgeMs >= SPREAD_DELAY_MS) {
		const narrow = input.models.filter(entry => isNarrow(plan, entry));
		for (const entry of narrow.toSorted((a, b) => b.rate - a.rate)) {
			spread(plan, entry);
		}
	}

	const pressed = input.models.filter(isPressed);
	for (const entry of pressed.toSorted((a, b) => b.waiting - a.waiting)) {
		relieve(plan, entry);
	}

	return plan.actions;
}

/** Whether a model or version is still to be loaded in this plan's zone or another. */
function isAbsent(entry: PlanModel): boolean {
	return entry.copies === 0;
}

/** Unloads models that are no longer configured, and old versions once the new one answers. */
function removeUnwanted(plan: Plan): void {
	for (const target of plan.input.targets) {
		for (const copy of target.entries) {
			const wanted = plan.byName.get(copy.model);
			const isReplaced = wanted !== undefined && copy.version !== wanted.model.version && !isAbsent(wanted);
			if (wanted?.model.service !== target.service || isReplaced) {
				unload(plan, target, copy, wanted ? 'replaced by a newer version' : 'not configured');
			}
		}
	}
}

function keepReachable(plan: Plan, entry: PlanModel): void {
	if (!isAbsent(entry) || isHeldHere(plan, entry) || entry.absentMs < entry.zoneRank * REACH_STAGGER_MS) {
		return;
	}

	const copy = copyOf(entry);
	const target = roomiest(plan, entry);
	if (target) {
		load(plan, target, copy, 'no copy is resident');
		return;
	}

	makeRoom(plan, entry, copy);
}

function isHeldHere(plan: Plan, entry: PlanModel): boolean {
	return plan.input.targets.some(target => target.entries.some(copy => copy.model === entry.name && copy.version === entry.model.version));
}

function copyOf({name, model}: PlanModel): ModelCopy {
	return {model: name, version: model.version, memoryMb: model.memoryMb};
}

function candidates(plan: Plan, entry: PlanModel): PlanTarget[] {
	const name = `${entry.name}@${entry.model.version}`;
	return plan.input.targets.filter(target => target.service === entry.model.service
		&& !target.refused.has(name)
		&& !target.entries.some(copy => copy.model === entry.name && copy.version === entry.model.version));
}

/** The target with the most free room among those where the model fits. */
function roomiest(plan: Plan, entry: PlanModel): PlanTarget | undefined {
	return candidates(plan, entry)
		.filter(target => freeOf(plan, target) >= entry.model.memoryMb)
		.toSorted((a, b) => freeOf(plan, b) - freeOf(plan, a))
		.at(0);
}

function freeOf(plan: Plan, target: PlanTarget): number {
	return plan.free.get(target.id) ?? 0;
}

/** Unloads copies on the target where that costs least, or moves one model over to free its room. */
function makeRoom(plan: Plan, entry: PlanModel, copy: ModelCopy): void {
	const options = candidates(plan, entry)
		.map(target => ({target, victims: victimsFor(plan, target, entry)}))
		.filter(({victims}) => victims.length > 0)
		.toSorted((a, b) => totalCost(a.victims) - totalCost(b.victims));
	const best = options[0];
	if (best) {
		for (const {entry: victim} of best.victims) {
			unload(plan, best.target, victim, `makes room for ${copy.model}`);
		}

		return;
	}

	shift(plan, entry);
}

/** What unloading a copy costs: a spare one a move, the last old version of a model also a while without it. */
const SPARE_COST = 1;
const LAST_COPY_COST = 100;

type Victim = {
	readonly entry: PlanEntry;
	readonly cost: number;
};

function totalCost(victims: readonly Victim[]): number {
	return victims.reduce((sum, {cost}) => sum + cost, 0);
}

/** The cheapest copies whose room together with the free room suffices for a model. Empty if none do. */
function victimsFor(plan: Plan, target: PlanTarget, entry: PlanModel): Victim[] {
	const options = target.entries
		.map(copy => ({entry: copy, cost: victimCost(plan, target, copy, entry)}))
		.filter(({cost}) => Number.isFinite(cost))
		.toSorted((a, b) => a.cost - b.cost || rateOf(plan, a.entry) - rateOf(plan, b.entry));
	const taken: Victim[] = [];
	let room = freeOf(plan, target);
	for (const option of options) {
		if (room >= entry.model.memoryMb) {
			break;
		}

		taken.push(option);
		room += option.entry.memoryMb;
	}

	return room >= entry.model.memoryMb ? taken : [];
}

function victimCost(plan: Plan, target: PlanTarget, copy: PlanEntry, entry: PlanModel): number {
	if (copy.model === entry.name && copy.version !== entry.model.version) {
		if (!copy.removable || plan.leaving.has(leavingName(target, copy))) {
			return Number.POSITIVE_INFINITY;
		}

		return entry.otherVersionCopies > 1 || !copy.resident ? SPARE_COST : LAST_COPY_COST;
	}

	return isSpare(plan, target, copy) ? SPARE_COST : Number.POSITIVE_INFINITY;
}

/** Whether a copy can go and its model stays reachable, also when two zones decide at once. */
function isSpare(plan: Plan, target: PlanTarget, copy: PlanEntry): boolean {
	const entry = plan.byName.get(copy.model);
	if (!entry || !copy.resident || !copy.removable || plan.leaving.has(leavingName(target, copy))) {
		return false;
	}

	const copiesHere = plan.input.targets
		.filter(other => !plan.leaving.has(leavingName(other, copy)))
		.filter(other => other.entries.some(found => found.model === copy.model && found.version === copy.version && found.resident))
		.length;
	// The first zone in a model's ranking keeps its last copy; the others may give theirs up to it.
	return copiesHere > 1 || (entry.zoneRank > 0 && entry.zones > 1);
}

function leavingName(target: PlanTarget, copy: {readonly model: ModelName}): string {
	return `${target.id}/${copy.model}`;
}

function rateOf(plan: Plan, copy: ModelCopy): number {
	const entry = plan.byName.get(copy.model);
	return entry ? entry.rate / Math.max(1, entry.copies) : 0;
}

/** Loads a model of one target on another, so that a later plan can unload it and gain its room. */
function shift(plan: Plan, entry: PlanModel): void {
	for (const target of candidates(plan, entry)) {
		const missing = entry.model.memoryMb - freeOf(plan, target);
		const movable = target.entries
			.filter(copy => copy.resident && copy.removable && copy.memoryMb >= missing)
			.toSorted((a, b) => a.memoryMb - b.memoryMb);
		for (const copy of movable) {
			const moved = plan.byName.get(copy.model);
			const destination = moved && roomiest(plan, moved);
			if (moved && destination && destination.id !== target.id) {
				load(plan, destination, copyOf(moved), `moves over to make room for ${entry.name}`);
				return;
			}
		}
	}
}

/** Whether a model stands in too few zones and this one is to add a copy. */
function isNarrow({input}: Plan, entry: PlanModel): boolean {
	const wantedZones = Math.min(2, input.zones);
	const isOwnTurn = entry.zoneRank <= entry.zones || input.ownershipAgeMs > SPREAD_DELAY_MS * (1 + entry.zoneRank);
	return entry.zones < wantedZones && !entry.residentInZone && isOwnTurn;
}

/** Adds a copy in a second zone while there is free room. */
function spread(plan: Plan, entry: PlanModel): void {
	if (isHeldHere(plan, entry)) {
		return;
	}

	const target = roomiest(plan, entry);
	if (target) {
		load(plan, target, copyOf(entry), 'second zone');
	}
}

/** Whether a model's own targets have been full for a while and requests wait. */
function isPressed(entry: PlanModel): boolean {
	return entry.consecutivePressuredPlans >= PRESSURE_PLANS && entry.utilisation >= FULL_UTILISATION && !isAbsent(entry);
}

/** Adds a copy where slots are free, for a model whose own targets are full. */
function relieve(plan: Plan, entry: PlanModel): void {
	const cool = candidates(plan, entry)
		.filter(target => target.utilisation <= SPARE_UTILISATION && pays(entry, target))
		.toSorted((a, b) => a.utilisation - b.utilisation);
	for (const target of cool) {
		if (freeOf(plan, target) >= entry.model.memoryMb) {
			load(plan, target, copyOf(entry), 'demand');
			return;
		}

		const victims = entry.consecutivePressuredPlans >= EVICTION_PLANS ? victimsFor(plan, target, entry) : [];
		const isWorth = victims.every(victim => rateOf(plan, victim.entry) * 2 < rateOf(plan, copyOf(entry)));
		if (victims.length > 0 && isWorth) {
			for (const victim of victims) {
				unload(plan, target, victim.entry, `makes room for demand of ${entry.name}`);
			}

			return;
		}
	}
}

/** A move pays for itself if what waits now would fill a good part of the slots that it opens. */
function pays(entry: PlanModel, target: PlanTarget): boolean {
	const openSlots = target.slots * (1 - target.utilisation);
	return entry.waiting >= openSlots / 2;
}

function load(plan: Plan, target: PlanTarget, copy: ModelCopy, reason: string): void {
	plan.free.set(target.id, freeOf(plan, target) - copy.memoryMb);
	plan.actions.push({
		kind: 'load', targetId: target.id, copy, reason,
	});
}

/** The room counts as free only in a later plan, once the engine has confirmed. */
function unload(plan: Plan, target: PlanTarget, copy: ModelCopy, reason: string): void {
	plan.leaving.add(leavingName(target, copy));
	plan.actions.push({
		kind: 'unload', targetId: target.id, copy, reason,
	});
}
