/**
Which requests are late: those of engines that read prompts most of the time, and those
whose callers have no time for a load.
*/
import {type EngineModel} from './configuration.js';
import {type PlannedDemand} from './plan-input.js';

/** Share of its time that an engine spends on reading prompts at which all of its streams are late. */
const SATURATED_SHARE = 0.75;
/** Exponent of the growth up to there: half of that share makes one stream in eight late. */
const LATE_GROWTH = 3;
/** Cost of a request that is refused, relative to one that is late. */
export const REFUSED_COST = 2;
/** Time until a load begins: notice of the demand, eviction of another copy. */
export const LOAD_START_MS = 2000;

/** Share of an engine's streams that are late; beyond 1 a growing part of its requests is not served at all. */
export function lateShare(busyShare: number): number {
	return busyShare <= SATURATED_SHARE
		? (Math.max(0, busyShare) / SATURATED_SHARE) ** LATE_GROWTH
		: 1 + ((REFUSED_COST - 1) * (1 - (SATURATED_SHARE / busyShare)));
}

/** Whether the callers of a model are known to have time for a load of its weights from a disk. */
export function hasTimeForLoad(model: EngineModel | undefined, demand: PlannedDemand | undefined): boolean {
	return model !== undefined && demand !== undefined && demand.objectiveMs >= model.diskLoadMs + LOAD_START_MS;
}
