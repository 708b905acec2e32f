/**
Rate limits of targets. A target in need names in its responses how many requests a
second it takes from all instances together, for as long as it needs that.
*/
import {holdsLease} from './lease.js';
import {ANNOUNCE_ROUNDS} from './order-tracker.js';
import {type AnnouncedLimit} from './peer-messages.js';
import {logEvent, type EntryContext} from './state.js';
import {type RateLimit, type StatedRateLimit, type Target} from './target.js';
import {type EntryTry} from './types.js';

/** A limit in force is stated again with every response; one that nobody has heard of for this long is not news. */
const ANNOUNCED_MS = 5000;

/** Records what a response to a try states. */
export function recordStatedLimit(context: EntryContext, target: Target, attempt: EntryTry, {perSecond}: StatedRateLimit): void {
	// Responses overtake each other, so only one to a request sent after the limit was last named can show that it is lifted.
	adoptRateLimit(context, target, {perSecond, statedAtMs: perSecond === undefined ? attempt.startedAtMs : context.nowMs});
}

/** Replaces what is known of a target's limit if this is newer. */
export function adoptRateLimit(context: EntryContext, target: Target, limit: RateLimit): void {
	const known = target.rateLimit;
	const isNews = known ? limit.statedAtMs > known.statedAtMs : limit.perSecond !== undefined;
	if (!isNews) {
		return;
	}

	target.rateLimit = limit;
	if (limit.perSecond === known?.perSecond) {
		return;
	}

	announce(context);

	if (limit.perSecond === undefined) {
		logEvent(context, 'target-limit-lifted', {targetId: target.id, perSecond: known?.perSecond});
	} else {
		logEvent(context, 'target-limited', {targetId: target.id, perSecond: limit.perSecond, perSecondBefore: known?.perSecond});
	}
}

/** Limits stated recently, as beacons carry them. */
export function announcedLimits({state, nowMs}: EntryContext): AnnouncedLimit[] {
	return [...state.targets.values()].flatMap(({id, entry: {incarnation}, rateLimit}) => rateLimit && nowMs - rateLimit.statedAtMs < ANNOUNCED_MS
		? [{
			targetId: id, incarnation, perSecond: rateLimit.perSecond, statedAgoMs: Math.round(nowMs - rateLimit.statedAtMs),
		}]
		: []);
}

export function adoptAnnouncedLimits(context: EntryContext, limits: readonly AnnouncedLimit[]): void {
	for (const {targetId, incarnation, perSecond, statedAgoMs} of limits) {
		const target = context.state.targets.get(targetId);
		if (target?.entry.incarnation === incarnation) {
			adoptRateLimit(context, target, {perSecond, statedAtMs: context.nowMs - statedAgoMs});
		}
	}
}

/** Sends beacons at the next tick; those of the lease holder go to all zones. */
function announce(context: EntryContext): void {
	const {state} = context;
	state.beaconsSentAtMs = Number.NEGATIVE_INFINITY;
	if (holdsLease(context)) {
		state.orderTracker.announceRounds = ANNOUNCE_ROUNDS;
	}
}
