/**
How long work takes at a target at the moment, as targets state it with their load and as
peers pass it on. It changes many times a second, so it is used for a short time only.
*/
import {type AnnouncedSlowness} from './peer-messages.js';
import {type EntryContext, type EntryState} from './state.js';
import {type Target} from './target.js';

/** Hosts are slowed for about 600 ms at a time, so that an older figure says little. */
const VALID_MS = 300;
/** Maximum number of figures in one message. */
const MAX_ANNOUNCED = 12;

/** Time that work takes at the target now, as a multiple of the usual time; 1 if that is not known. */
export function slownessOf({slowness}: Target, nowMs: number): number {
	return slowness && nowMs - slowness.statedAtMs < VALID_MS ? slowness.factor : 1;
}

export function recordSlowness({targetSpeeds}: EntryState, target: Target, {factor, statedAtMs}: {readonly factor: number; readonly statedAtMs: number}): void {
	if (!target.slowness) {
		// The next check finds that the service's targets state it.
		targetSpeeds.sampledServices.add(target.entry.service);
	}

	if (statedAtMs > (target.slowness?.statedAtMs ?? Number.NEGATIVE_INFINITY)) {
		target.slowness = {factor, statedAtMs};
	}
}

/** The newest figures of the given targets that are still of use; undefined if there are none. */
export function announcedSlowness({nowMs}: EntryContext, targets: Iterable<Target>): AnnouncedSlowness[] | undefined {
	const announced: AnnouncedSlowness[] = [];
	for (const {id, slowness} of targets) {
		if (slowness && nowMs - slowness.statedAtMs < VALID_MS) {
			announced.push([id, Math.round(slowness.factor * 100), Math.round(nowMs - slowness.statedAtMs)]);
		}
	}

	return announced.length === 0 ? undefined : announced.sort((a, b) => a[2] - b[2]).slice(0, MAX_ANNOUNCED);
}

export function adoptSlowness({state, nowMs}: EntryContext, announced: readonly AnnouncedSlowness[]): void {
	for (const [targetId, percent, agoMs] of announced) {
		const target = state.targets.get(targetId);
		if (target) {
			recordSlowness(state, target, {factor: percent / 100, statedAtMs: nowMs - agoMs});
		}
	}
}
