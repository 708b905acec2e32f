/**
Decides what one zone should load and unload next. Reachability comes first, then
copies in a second zone while memory is free, then copies for demand. A copy for
demand is added only under sustained pressure, on a target with spare slots, and
evicts only copies that are not needed to keep a model reachable. A copy stays in
place unless its memory is needed: every move costs a load from the weight store and
a period without the copy.
*/
import {type Model} from '../configuration/types.js';
import {type ModelName, type TargetId} from '../types.js';
import {type ModelCopy} from './ledger.js';

/** Delay per zone rank before a zone loads a model that no zone has. */
const ZONE_STAGGER_MS = 5000;

/** Delay before second copies are added, so that the first copies of all models come first. */
const SECOND_ZONE_DELAY_MS = 15_000;

/** Consecutive plans under pressure before a copy is added for demand: first only into free memory, later also by evicting copies. */
const PRESSURED_PLANS_TO_LOAD = 5;
const PRESSURED_PLANS_TO_EVICT = 180;

/** Share of slots in use at which a model's targets count as full, and up to which another target can take a copy for demand. */
const FULL_UTILISATION = 0.85;
const LOW_UTILISATION = 0.6;

export type PlanEntry = ModelCopy & {
	/** Whether the copy serves requests. */
	readonly resident: boolean;
	/** Whether its memory can be given to another copy once it is unloaded. */
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
	/** Copies that this target refused recently. */
	readonly refused: ReadonlySet<string>;
};

export type PlanModel = {
	readonly name: ModelName;
	readonly model: Model;
	/** Resident copies of the configured version, in all zones. */
	readonly copies: number;
	/** Resident copies of other versions, which serve until the configured one is resident. */
	readonly otherVersionCopies: number;
	/** Number of zones in which it is resident. */
	readonly zones: number;
	readonly residentInZone: boolean;
	/** Rank of the planning zone in the model's ordering of zones. */
	readonly zoneRank: number;
	readonly absentMs: number;
	/** Arrivals per second over all instances. */
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
	/** Time since the planning instance took the lease. */
	readonly ownershipAgeMs: number;
};

export type PlanAction =
	| {readonly kind: 'load'; readonly targetId: TargetId; readonly copy: ModelCopy; readonly reason: string}
	| {readonly kind: 'unload'; readonly targetId: TargetId; readonly copy: ModelCopy; readonly reason: string};

type Plan = {
	readonly input: PlanInput;
	readonly byName: ReadonlyMap<ModelName, PlanModel>;
	readonly freeMb: Map<TargetId, number>;
	/** Copies that this plan unloads, as `target/model`. */
	readonly unloading: Set<string>;
	readonly actions: PlanAction[];
};

export function planMoves(input: PlanInput): PlanAction[] {
	const plan: Plan = {
		input,
		byName: new Map(input.models.map(planModel => [planModel.name, planModel])),
		freeMb: new Map(input.targets.map(target => [target.id, target.memoryMb - target.committedMb])),
		unloading: new Set(),
		actions: [],
	};
	unloadObsolete(plan);
	// Only models that lack something are sorted and examined further.
	const absent = input.models.filter(isAbsent);
	for (const planModel of absent.toSorted((a, b) => b.model.memoryMb - a.model.memoryMb || b.rate - a.rate)) {
		restoreModel(plan, planModel);
	}

	if (absent.length === 0 && input.ownershipAgeMs >= SECOND_ZONE_DELAY_MS) {
		const singleZone = input.models.filter(planModel => needsSecondZone(plan, planModel));
		for (const planModel of singleZone.toSorted((a, b) => b.rate - a.rate)) {
			loadInSecondZone(plan, planModel);
		}
	}

	const overloaded = input.models.filter(isOverloaded);
	for (const planModel of overloaded.toSorted((a, b) => b.waiting - a.waiting)) {
		addCopyForDemand(plan, planModel);
	}

	return plan.actions;
}

/** Whether no zone has a resident copy of the configured version. */
function isAbsent(planModel: PlanModel): boolean {
	return planModel.copies === 0;
}

/** Unloads models that are no longer configured, and old versions once the new one is resident. */
function unloadObsolete(plan: Plan): void {
	for (const target of plan.input.targets) {
		for (const copy of target.entries) {
			const configured = plan.byName.get(copy.model);
			const isReplaced = configured !== undefined && copy.version !== configured.model.version && !isAbsent(configured);
			if (configured?.model.service !== target.service || isReplaced) {
				planUnload(plan, target, copy, configured ? 'replaced by a newer version' : 'not configured');
			}
		}
	}
}

function restoreModel(plan: Plan, planModel: PlanModel): void {
	if (!isAbsent(planModel) || hasEntryInZone(plan, planModel) || planModel.absentMs < planModel.zoneRank * ZONE_STAGGER_MS) {
		return;
	}

	const copy = configuredCopy(planModel);
	const target = findFreestTarget(plan, planModel);
	if (target) {
		planLoad(plan, target, copy, 'no copy is resident');
		return;
	}

	makeRoom(plan, planModel, copy);
}

function hasEntryInZone(plan: Plan, planModel: PlanModel): boolean {
	return plan.input.targets.some(target => target.entries.some(copy => copy.model === planModel.name && copy.version === planModel.model.version));
}

function configuredCopy({name, model}: PlanModel): ModelCopy {
	return {model: name, version: model.version, memoryMb: model.memoryMb};
}

function eligibleTargets(plan: Plan, planModel: PlanModel): PlanTarget[] {
	const name = `${planModel.name}@${planModel.model.version}`;
	return plan.input.targets.filter(target => target.service === planModel.model.service
		&& !target.refused.has(name)
		&& !target.entries.some(copy => copy.model === planModel.name && copy.version === planModel.model.version));
}

/** The target with the most free memory among those where the model fits. */
function findFreestTarget(plan: Plan, planModel: PlanModel): PlanTarget | undefined {
	return eligibleTargets(plan, planModel)
		.filter(target => freeMbOf(plan, target) >= planModel.model.memoryMb)
		.toSorted((a, b) => freeMbOf(plan, b) - freeMbOf(plan, a))
		.at(0);
}

function freeMbOf(plan: Plan, target: PlanTarget): number {
	return plan.freeMb.get(target.id) ?? 0;
}

/** Evicts copies from the target where that costs least, or else relocates one copy to free its memory. */
function makeRoom(plan: Plan, planModel: PlanModel, copy: ModelCopy): void {
	const options = eligibleTargets(plan, planModel)
		.map(target => ({target, victims: selectVictims(plan, target, planModel)}))
		.filter(({victims}) => victims.length > 0)
		.toSorted((a, b) => totalCost(a.victims) - totalCost(b.victims));
	const best = options[0];
	if (best) {
		for (const {entry: victim} of best.victims) {
			planUnload(plan, best.target, victim, `makes room for ${copy.model}`);
		}

		return;
	}

	relocateCopy(plan, planModel);
}

/** Costs of evicting a copy. A spare copy costs only a move; without the last copy of an older version, the model also has no copy until its new version is loaded. */
const SPARE_COPY_COST = 1;
const LAST_COPY_COST = 100;

type Victim = {
	readonly entry: PlanEntry;
	readonly cost: number;
};

function totalCost(victims: readonly Victim[]): number {
	return victims.reduce((sum, {cost}) => sum + cost, 0);
}

/** The cheapest copies whose memory together with the free memory suffices for a model. Empty if none do. */
function selectVictims(plan: Plan, target: PlanTarget, planModel: PlanModel): Victim[] {
	const options = target.entries
		.map(copy => ({entry: copy, cost: evictionCost(plan, target, copy, planModel)}))
		.filter(({cost}) => Number.isFinite(cost))
		.toSorted((a, b) => a.cost - b.cost || ratePerCopy(plan, a.entry) - ratePerCopy(plan, b.entry));
	const taken: Victim[] = [];
	let roomMb = freeMbOf(plan, target);
	for (const option of options) {
		if (roomMb >= planModel.model.memoryMb) {
			break;
		}

		taken.push(option);
		roomMb += option.entry.memoryMb;
	}

	return roomMb >= planModel.model.memoryMb ? taken : [];
}

function evictionCost(plan: Plan, target: PlanTarget, copy: PlanEntry, planModel: PlanModel): number {
	if (copy.model === planModel.name && copy.version !== planModel.model.version) {
		if (!copy.removable || plan.unloading.has(unloadKey(target, copy))) {
			return Number.POSITIVE_INFINITY;
		}

		return planModel.otherVersionCopies > 1 || !copy.resident ? SPARE_COPY_COST : LAST_COPY_COST;
	}

	return isSpare(plan, target, copy) ? SPARE_COPY_COST : Number.POSITIVE_INFINITY;
}

/** Whether a copy can be unloaded and its model stays reachable, also when two zones decide concurrently. */
function isSpare(plan: Plan, target: PlanTarget, copy: PlanEntry): boolean {
	const planModel = plan.byName.get(copy.model);
	if (!planModel || !copy.resident || !copy.removable || plan.unloading.has(unloadKey(target, copy))) {
		return false;
	}

	const copiesHere = plan.input.targets
		.filter(other => !plan.unloading.has(unloadKey(other, copy)))
		.filter(other => other.entries.some(found => found.model === copy.model && found.version === copy.version && found.resident))
		.length;
	// The zone that ranks first for a model keeps its last copy; the other zones may unload theirs.
	return copiesHere > 1 || (planModel.zoneRank > 0 && planModel.zones > 1);
}

function unloadKey(target: PlanTarget, copy: {readonly model: ModelName}): string {
	return `${target.id}/${copy.model}`;
}

function ratePerCopy(plan: Plan, copy: ModelCopy): number {
	const planModel = plan.byName.get(copy.model);
	return planModel ? planModel.rate / Math.max(1, planModel.copies) : 0;
}

/** Loads a model of one target on another too, so that a later plan can unload the first copy and reuse its memory. */
function relocateCopy(plan: Plan, planModel: PlanModel): void {
	for (const target of eligibleTargets(plan, planModel)) {
		const missingMb = planModel.model.memoryMb - freeMbOf(plan, target);
		const movable = target.entries
			.filter(copy => copy.resident && copy.removable && copy.memoryMb >= missingMb)
			.toSorted((a, b) => a.memoryMb - b.memoryMb);
		for (const copy of movable) {
			const moved = plan.byName.get(copy.model);
			const destination = moved && findFreestTarget(plan, moved);
			if (moved && destination && destination.id !== target.id) {
				planLoad(plan, destination, configuredCopy(moved), `moves over to make room for ${planModel.name}`);
				return;
			}
		}
	}
}

/** Whether a model is resident in too few zones and it is this zone's turn to add a copy. */
function needsSecondZone({input}: Plan, planModel: PlanModel): boolean {
	const wantedZones = Math.min(2, input.zones);
	const isOwnTurn = planModel.zoneRank <= planModel.zones || input.ownershipAgeMs > SECOND_ZONE_DELAY_MS * (1 + planModel.zoneRank);
	return planModel.zones < wantedZones && !planModel.residentInZone && isOwnTurn;
}

/** Adds a copy in a second zone while memory is free. */
function loadInSecondZone(plan: Plan, planModel: PlanModel): void {
	if (hasEntryInZone(plan, planModel)) {
		return;
	}

	const target = findFreestTarget(plan, planModel);
	if (target) {
		planLoad(plan, target, configuredCopy(planModel), 'second zone');
	}
}

/** Whether requests for a model have waited for several plans and its own targets are full. */
function isOverloaded(planModel: PlanModel): boolean {
	return planModel.consecutivePressuredPlans >= PRESSURED_PLANS_TO_LOAD && planModel.utilisation >= FULL_UTILISATION && !isAbsent(planModel);
}

/** Adds a copy on a target with spare slots, for a model whose own targets are full. */
function addCopyForDemand(plan: Plan, planModel: PlanModel): void {
	const underused = eligibleTargets(plan, planModel)
		.filter(target => target.utilisation <= LOW_UTILISATION && isLoadWorthwhile(planModel, target))
		.toSorted((a, b) => a.utilisation - b.utilisation);
	for (const target of underused) {
		if (freeMbOf(plan, target) >= planModel.model.memoryMb) {
			planLoad(plan, target, configuredCopy(planModel), 'demand');
			return;
		}

		const victims = planModel.consecutivePressuredPlans >= PRESSURED_PLANS_TO_EVICT ? selectVictims(plan, target, planModel) : [];
		const isEvictionWorthwhile = victims.every(victim => ratePerCopy(plan, victim.entry) * 2 < ratePerCopy(plan, configuredCopy(planModel)));
		if (victims.length > 0 && isEvictionWorthwhile) {
			for (const victim of victims) {
				planUnload(plan, target, victim.entry, `makes room for demand of ${planModel.name}`);
			}

			return;
		}
	}
}

/** A load is worthwhile if the requests waiting now would fill at least half of the free slots that it adds. */
function isLoadWorthwhile(planModel: PlanModel, target: PlanTarget): boolean {
	const openSlots = target.slots * (1 - target.utilisation);
	return planModel.waiting >= openSlots / 2;
}

function planLoad(plan: Plan, target: PlanTarget, copy: ModelCopy, reason: string): void {
	plan.freeMb.set(target.id, freeMbOf(plan, target) - copy.memoryMb);
	plan.actions.push({
		kind: 'load', targetId: target.id, copy, reason,
	});
}

/** The memory counts as free only in a later plan, once the engine has confirmed the unload. */
function planUnload(plan: Plan, target: PlanTarget, copy: ModelCopy, reason: string): void {
	plan.unloading.add(unloadKey(target, copy));
	plan.actions.push({
		kind: 'unload', targetId: target.id, copy, reason,
	});
}
