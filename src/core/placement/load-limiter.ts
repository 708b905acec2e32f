/**
Rate limiter for loads from the weight store. It keeps all zones together within the
store's rate and concurrency limits without a coordinator. Every zone has a fixed
share that it may always use. An idle zone, which has nothing to load, lends its share
to the others and reclaims it by publishing that it is no longer idle. Until that fact
arrives, within a few milliseconds, the total may be exceeded by one load.
*/
import {type Context} from '../context.js';
import {publishFact} from '../peer/facts.js';
import {zoneGroup} from './lease.js';

/** How long a published idle state stays valid. It is republished after half this time. */
const IDLE_FACT_VALID_MS = 20_000;

/** Loads start once per plan, so the bucket must hold the tokens that accrue between two plans. */
const PLAN_INTERVAL_S = 1;

type LoadLimits = {
	readonly loadsPerSecond: number;
	readonly maxConcurrent: number;
};

/** Takes a token to start one load now. Returns false if the rate or the concurrency limit is reached. */
export function takeLoadToken(context: Context): boolean {
	const {placement} = context.state;
	const {nowMs} = context;
	publishIdleState(context, false);
	const {loadsPerSecond, maxConcurrent} = zoneLimits(context);
	const elapsedMs = nowMs - placement.loadTokensAtMs;
	placement.loadTokens = Math.min(1 + (loadsPerSecond * PLAN_INTERVAL_S), placement.loadTokens + ((elapsedMs / 1000) * loadsPerSecond));
	placement.loadTokensAtMs = nowMs;
	if (placement.loadTokens < 1 || loadsInProgress(context) >= maxConcurrent) {
		return false;
	}

	placement.loadTokens--;
	return true;
}

export function loadsInProgress({state}: Context): number {
	let loads = 0;
	for (const {order} of state.placement.orders.values()) {
		loads += order.kind === 'load-model' ? 1 : 0;
	}

	return loads;
}

function zoneLimits(context: Context): LoadLimits {
	const {limits, targets} = context.state.configuration.configuration;
	const zones = new Set(Object.values(targets).filter(({memoryMb}) => memoryMb > 0).map(({zone}) => zone));
	let lendingZones = 0;
	for (const zone of zones) {
		lendingZones += isLending(context, zoneGroup(zone)) ? 1 : 0;
	}

	const sharingZones = Math.max(1, zones.size - lendingZones);
	return {
		loadsPerSecond: limits.weightLoadsPerSecond / sharingZones,
		maxConcurrent: Math.max(1, Math.floor(limits.weightLoadsAtOnce / sharingZones)),
	};
}

function isLending({state, nowMs}: Context, group: string): boolean {
	const published = state.placement.idleZones.get(group);
	return group !== zoneGroup(state.self.zone) && published?.isIdle === true && nowMs - published.atMs < IDLE_FACT_VALID_MS;
}

/** Publishes whether this zone is idle: on every change, and periodically while it is idle. */
export function publishIdleState(context: Context, isIdle: boolean): void {
	const {placement, self} = context.state;
	const {saidIdle} = placement;
	const isDue = isIdle && context.nowMs - saidIdle.atMs >= IDLE_FACT_VALID_MS / 2;
	if (saidIdle.isIdle !== isIdle || isDue) {
		placement.saidIdle = {isIdle, atMs: context.nowMs};
		publishFact(context, `idle-zone/${zoneGroup(self.zone)}`, {kind: 'idle-zone', group: zoneGroup(self.zone), isIdle});
	}
}
