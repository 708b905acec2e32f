/**
Rate limits of targets. A target in need names in its responses how many requests a
second it takes from all instances together, for as long as it needs that.
*/
import {logEvent, type EntryContext} from './state.js';
import {type RateLimit, type StatedRateLimit, type Target} from './target.js';
import {type EntryTry} from './types.js';

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

	if (limit.perSecond === undefined) {
		logEvent(context, 'target-limit-lifted', {targetId: target.id, perSecond: known?.perSecond});
	} else {
		logEvent(context, 'target-limited', {targetId: target.id, perSecond: limit.perSecond, perSecondBefore: known?.perSecond});
	}
}
