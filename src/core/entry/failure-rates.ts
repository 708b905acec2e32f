/**
The share of tries that fail through a target's fault, judged by its responses alone. An
instance uses a target about once in ten seconds, so instances exchange what they find:
beacons carry the rates of targets of which the sender has had an outcome of its own since
it last told, so that no rate is passed on and on. A rate fades while nothing is heard, so
that a target that has recovered is tried again.
*/
import {type AnnouncedFailureRate} from './peer-messages.js';
import {type EntryContext, type EntryState} from './state.js';
import {type Target} from './target.js';

/** Weight of one outcome, so that a rate reflects about the last ten requests. */
const SMOOTHING = 0.15;
/** Time in which a rate halves without any outcome. At a grey target with many instances, outcomes come more often than that. */
const HALVED_AFTER_MS = 10_000;
/** Rates below this are not announced: every target fails now and then. */
const MIN_ANNOUNCED = 0.1;
const MAX_ANNOUNCED = 8;
/** Share by which a peer's rate replaces the one known here. */
const PEER_WEIGHT = 0.5;

export function failureRateOf({failureRate, failureRateAtMs}: Target, nowMs: number): number {
	return failureRate === 0 ? 0 : failureRate * (0.5 ** (Math.max(0, nowMs - failureRateAtMs) / HALVED_AFTER_MS));
}

export function recordOutcome({state, nowMs}: EntryContext, target: Target, hasFailed: boolean): void {
	const rate = failureRateOf(target, nowMs);
	target.failureRate = rate + (((hasFailed ? 1 : 0) - rate) * SMOOTHING);
	if (state.mechanisms.has('shared-failures')) {
		target.failureRateAtMs = nowMs;
		target.hasUnannouncedFailures = true;
	}
}

/** Rates with an outcome since they were last announced, the highest first; undefined if there are none. */
export function announcedFailureRates({state, nowMs}: EntryContext): AnnouncedFailureRate[] | undefined {
	const news = [...state.targets.values()]
		.filter(target => target.hasUnannouncedFailures && failureRateOf(target, nowMs) >= MIN_ANNOUNCED)
		.sort((a, b) => b.failureRate - a.failureRate)
		.slice(0, MAX_ANNOUNCED);
	return news.length === 0
		? undefined
		: news.map(target => {
			target.hasUnannouncedFailures = false;
			return [target.id, target.entry.incarnation, Math.round(failureRateOf(target, nowMs) * 100)];
		});
}

export function adoptFailureRates({targets, mechanisms}: EntryState, announced: readonly AnnouncedFailureRate[], nowMs: number): void {
	if (!mechanisms.has('shared-failures')) {
		return;
	}

	for (const [targetId, incarnation, percent] of announced) {
		const target = targets.get(targetId);
		if (target?.entry.incarnation === incarnation) {
			const rate = failureRateOf(target, nowMs);
			target.failureRate = rate + (((percent / 100) - rate) * PEER_WEIGHT);
			target.failureRateAtMs = nowMs;
		}
	}
}
