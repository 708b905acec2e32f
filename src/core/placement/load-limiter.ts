/**
Keeps the zones together within the weight store's rate and its loads in progress,
without a coordinator. Every zone has a fixed share that it may always use. A zone
that has nothing to load lends its share to those that have, and takes it back by
saying so; for as long as that word travels, a few milliseconds, the sum may be
exceeded by one load.
*/
import {type Context} from '../context.js';
import {publishFact} from '../peer/facts.js';
import {zoneGroup} from './lease.js';

/** How long a zone's word that it is idle counts. It is repeated twice as often. */
const IDLE_LIFETIME_MS = 20_000;

/** Loads are started once per plan, so what accrues between two plans must not be lost. */
const PLAN_SECONDS = 1;

type Share = {
	readonly perSecond: number;
	readonly atOnce: number;
};

/** Takes leave to start one load now. */
export function takeLoadToken(context: Context): boolean {
	const {placement} = context.state;
	const {nowMs} = context;
	sayIdle(context, false);
	const {perSecond, atOnce} = shareOf(context);
	const elapsedMs = nowMs - placement.loadTokensAtMs;
	placement.loadTokens = Math.min(1 + (perSecond * PLAN_SECONDS), placement.loadTokens + ((elapsedMs / 1000) * perSecond));
	placement.loadTokensAtMs = nowMs;
	if (placement.loadTokens < 1 || loadsUnderWay(context) >= atOnce) {
		return false;
	}

	placement.loadTokens--;
	return true;
}

export function loadsUnderWay({state}: Context): number {
	let loads = 0;
	for (const {order} of state.placement.orders.values()) {
		loads += order.kind === 'load-model' ? 1 : 0;
	}

	return loads;
}

function shareOf(context: Context): Share {
	const {limits, targets} = context.state.configuration.configuration;
	const zones = new Set(Object.values(targets).filter(({memoryMb}) => memoryMb > 0).map(({zone}) => zone));
	let lending = 0;
	for (const zone of zones) {
		lending += isLending(context, zoneGroup(zone)) ? 1 : 0;
	}

	const sharing = Math.max(1, zones.size - lending);
	return {
		perSecond: limits.weightLoadsPerSecond / sharing,
		atOnce: Math.max(1, Math.floor(limits.weightLoadsAtOnce / sharing)),
	};
}

function isLending({state, nowMs}: Context, group: string): boolean {
	const said = state.placement.idleZones.get(group);
	return group !== zoneGroup(state.self.zone) && said?.isIdle === true && nowMs - said.atMs < IDLE_LIFETIME_MS;
}

/** Says whether this zone has anything to load, when that changes and now and then. */
export function sayIdle(context: Context, isIdle: boolean): void {
	const {placement, self} = context.state;
	const {saidIdle} = placement;
	const isDue = isIdle && context.nowMs - saidIdle.atMs >= IDLE_LIFETIME_MS / 2;
	if (saidIdle.isIdle !== isIdle || isDue) {
		placement.saidIdle = {isIdle, atMs: context.nowMs};
		publishFact(context, `idle-zone/${zoneGroup(self.zone)}`, {kind: 'idle-zone', group: zoneGroup(self.zone), isIdle});
	}
}
