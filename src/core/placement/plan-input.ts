/**
Gathers the input of a plan: the zone's targets with their ledgers, and the models
with their copies in all zones.
*/
import fnv1a from '@sindresorhus/fnv1a';
import {type Context} from '../context.js';
import {type ModelName, type ZoneName} from '../types.js';
import {totalDemand} from './demand.js';
import {committedMb, copyName, pickCopy} from './ledger.js';
import {isRemovable} from './orders.js';
import {type PlanInput, type PlanModel, type PlanTarget} from './plan.js';

export function gatherPlanInput(context: Context): PlanInput {
	return {
		models: planModels(context),
		targets: planTargets(context),
		zones: engineZones(context).length,
		ownershipAgeMs: ownershipAgeMs(context),
	};
}

function ownershipAgeMs(context: Context): number {
	let oldestMs = context.nowMs;
	for (const ledger of context.state.placement.ledgers.values()) {
		oldestMs = Math.min(oldestMs, ledger.openedAtMs);
	}

	return context.nowMs - oldestMs;
}

function engineZones({state}: Context): ZoneName[] {
	const zones = new Set<ZoneName>();
	for (const target of state.targets.values()) {
		if (target.memoryMb > 0) {
			zones.add(target.zone);
		}
	}

	return [...zones];
}

function planTargets(context: Context): PlanTarget[] {
	const planned: PlanTarget[] = [];
	for (const ledger of context.state.placement.ledgers.values()) {
		const target = context.state.targets.get(ledger.targetId);
		const isReady = target && target.health !== 'down' && !target.leaving && target.boot !== '' && target.boot === ledger.row.boot;
		if (!isReady) {
			continue;
		}

		planned.push({
			id: target.id,
			service: target.service,
			memoryMb: target.memoryMb,
			committedMb: committedMb(ledger.writing ?? ledger.row),
			slots: target.slots,
			utilisation: target.utilisation,
			entries: (ledger.writing ?? ledger.row).entries.map(entry => ({
				...pickCopy(entry),
				resident: ledger.copies.get(copyName(entry))?.status === 'confirmed' && target.resident.has(copyName(entry)),
				removable: isRemovable(ledger, copyName(entry)) || target.gateway === 'engine-fenced',
			})),
			refused: new Set([...ledger.refusedUntilMs].filter(([, untilMs]) => untilMs > context.nowMs).map(([name]) => name)),
		});
	}

	return planned;
}

function planModels(context: Context): PlanModel[] {
	const {state, nowMs} = context;
	const zones = engineZones(context);
	const demand = totalDemand(context);
	return Object.entries(state.configuration.configuration.models).map(([name, model]) => {
		const holders = (state.residentTargets.get(name) ?? [])
			.map(id => state.targets.get(id))
			.filter(target => target?.resident.has(`${name}@${model.version}`))
			.filter(target => target !== undefined);
		const utilisation = holders.length === 0 ? 0 : holders.reduce((sum, target) => sum + target.utilisation, 0) / holders.length;
		const {rate, waiting} = demand.get(name) ?? {rate: 0, waiting: 0};
		const consecutivePressuredPlans = waiting > 0 ? (state.placement.pressure.get(name) ?? 0) + 1 : 0;
		state.placement.pressure.set(name, consecutivePressuredPlans);
		return {
			name,
			model,
			copies: holders.length,
			otherVersionCopies: (state.residentTargets.get(name)?.length ?? 0) - holders.length,
			zones: new Set(holders.map(({zone}) => zone)).size,
			residentInZone: holders.some(({zone}) => zone === state.self.zone),
			zoneRank: zoneRank(name, state.self.zone, zones),
			absentMs: nowMs - (state.placement.absentSinceMs.get(name) ?? nowMs),
			rate,
			waiting,
			utilisation,
			consecutivePressuredPlans,
		};
	});
}

/** A zone's rank in a model's ordering of zones, the same on every instance, different for every model. */
export function zoneRank(model: ModelName, zone: ZoneName, zones: readonly ZoneName[]): number {
	const rankHash = (candidate: ZoneName) => fnv1a(`${model}/${candidate}`, {size: 32});
	const ownHash = rankHash(zone);
	return zones.filter(candidate => rankHash(candidate) < ownHash).length;
}

/** Tracks since when models have had no resident copy of their configured version. */
export function updateAbsences({state, nowMs}: Context): void {
	const {absentSinceMs} = state.placement;
	for (const [name, {version}] of Object.entries(state.configuration.configuration.models)) {
		const isResident = (state.residentTargets.get(name) ?? [])
			.some(id => state.targets.get(id)?.resident.has(`${name}@${version}`));
		if (isResident) {
			absentSinceMs.delete(name);
		} else if (!absentSinceMs.has(name)) {
			absentSinceMs.set(name, nowMs);
		}
	}
}
