/**
Load shedding by the lateness of this process: once it has more to do than its processor
time allows, each request that it admits makes all others later, streams that have begun
included. It then refuses a share of the arrivals at once, less urgent ones first, and
adapts that share until its periodic work is in time again.
*/
import {type EntryEventOf} from './event.js';
import {randomFraction, type EntryContext} from './state.js';
import {type EntryRequest} from './types.js';

/** Half of the shortest time within which an event has to be passed on: it is read in one round of the event loop and written in another. */
export const LATE_TARGET_MS = 60;
/** Time constant of the mean lateness; a single long pause, such as a garbage collection, sheds nothing. */
const LATE_MEAN_MS = 500;
/** Rate at which the admitted share shrinks by the second, while the lateness is twice its target. */
const SHRINK_PER_SECOND = 0.7;
/** The largest such rate, as a multiple. */
const MAX_EXCESS = 2;
/** Growth of the admitted share by the second while the process is in time. */
const GROWTH_PER_SECOND = 0.25;
/** Part of the arrivals that is admitted in any case: their fate shows when there is room again. */
const MIN_ADMITTED_SHARE = 0.05;
/** Exponents of the admitted share for the most urgent rank, and for each rank after it. */
const URGENT_EXPONENT = 0.5;
const RANK_EXPONENT = 0.5;
/** Range of the time after which callers that were refused should return, by another connection and thus usually at another instance. */
const RETRY_AFTER_MIN_MS = 300;
const RETRY_AFTER_MAX_MS = 1000;
/** Callers honour a delay up to this share of the time that they have left. */
const MAX_RETRY_SHARE = 0.33;

export type Shedding = {
	meanLateMs: number;
	/** Share of the arrivals of a middle rank that is admitted. */
	admittedShare: number;
	updatedAtMs: number | undefined;
};

export function createShedding(): Shedding {
	return {meanLateMs: 0, admittedShare: 1, updatedAtMs: undefined};
}

/** Called every tick with how late it is. Without a known share of a processor nothing is shed. */
export function updateShedding({state: {shedding, self}, nowMs}: EntryContext, {lateMs = 0}: EntryEventOf<'tick'>): void {
	const elapsedMs = nowMs - (shedding.updatedAtMs ?? nowMs);
	shedding.updatedAtMs = nowMs;
	if (self.processorCores === undefined) {
		return;
	}

	shedding.meanLateMs += (Math.max(0, lateMs) - shedding.meanLateMs) * (1 - Math.exp(-elapsedMs / LATE_MEAN_MS));
	const excess = Math.min(MAX_EXCESS, (shedding.meanLateMs / LATE_TARGET_MS) - 1);
	const elapsedS = elapsedMs / 1000;
	const admittedShare = excess > 0 ? shedding.admittedShare * Math.exp(-SHRINK_PER_SECOND * excess * elapsedS) : shedding.admittedShare + (GROWTH_PER_SECOND * elapsedS);
	shedding.admittedShare = Math.min(1, Math.max(MIN_ADMITTED_SHARE, admittedShare));
}

/** Whether a request is refused since this process is behind. What another instance has passed on, and streams that have begun, are taken in any case. */
export function isShed(context: EntryContext, {arrival: {relayed, lastEventId}, route: {rank}}: EntryRequest): boolean {
	const {admittedShare} = context.state.shedding;
	return admittedShare < 1 && relayed === undefined && (lastEventId ?? 0) === 0
		&& randomFraction(context) >= admittedShare ** (URGENT_EXPONENT + (RANK_EXPONENT * rank));
}

export function shedRetryAfterMs(context: EntryContext, {deadlineAtMs}: EntryRequest): number {
	const spreadMs = RETRY_AFTER_MIN_MS + ((RETRY_AFTER_MAX_MS - RETRY_AFTER_MIN_MS) * randomFraction(context));
	return Math.min((deadlineAtMs - context.nowMs) * MAX_RETRY_SHARE, spreadMs);
}
