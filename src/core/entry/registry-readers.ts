/**
Which instances of an availability zone ask the store on behalf of the others: the first
one by id whose reads succeed, and the next ones in turn if it misses a read.
*/
import {type EntryContext, type EntryState} from './state.js';

/** Delay for each rank, after which a peer reads instead of a reader that missed one read. */
const READER_STAGGER_MS = 150;
/** Cap on the ranks, so that the time limit also holds for instances of lower rank. */
const MAX_STAGGER_STEPS = 3;
/** An instance whose read takes longer than this no longer counts as a reader, and the next one takes over. */
const SLOW_READ_MS = 300;
/** A peer of the zone that is silent for this long does not count as a reader. */
const READER_SILENT_MS = 1200;
/** Least interval of reads that are not due yet. */
const EARLY_READ_INTERVAL_MS = 50;

/** Whether it is this instance's turn to ask the store on behalf of its zone, for what the first reader asks at `dueMs`. */
export function isDueAsReader(context: EntryContext, dueMs: number): boolean {
	const {nowMs} = context;
	if (nowMs < dueMs) {
		return false;
	}

	return nowMs >= dueMs + (readerRank(context) * READER_STAGGER_MS);
}

/** Whether this instance reads the store on behalf of its zone. */
export function isFirstReader(context: EntryContext): boolean {
	return canReadStore(context.state, context.nowMs) && readerRank(context) === 0;
}

/** Number of instances of this zone, up to the cap, whose last read of the store succeeded and that come before this one; the cap if its own reads fail. */
function readerRank({state, nowMs}: EntryContext): number {
	const {self, peers} = state;
	if (!canReadStore(state, nowMs)) {
		return MAX_STAGGER_STEPS;
	}

	let rank = 0;
	for (const {instance, beaconReceivedAtMs, isLeaving, canReadStore: isReader} of peers.values()) {
		if (instance.zone === self.zone && instance.id < self.id && isReader && !isLeaving && nowMs - beaconReceivedAtMs < READER_SILENT_MS) {
			rank++;
			if (rank === MAX_STAGGER_STEPS) {
				break;
			}
		}
	}

	return rank;
}

/** Whether this instance's reads of the registry succeed. */
export function canReadStore({registry}: EntryState, nowMs: number): boolean {
	const isStuck = nowMs - (registry.unansweredSinceMs ?? nowMs) > SLOW_READ_MS;
	return registry.failedAtMs <= registry.restoredAtMs && !isStuck;
}

/** Reads the registry unless a read that was sent since then is on its way or complete. */
export function readRegistrySince(context: EntryContext, sinceMs: number): void {
	const {state: {registry}, nowMs} = context;
	if (registry.readSentAtMs < sinceMs && registry.confirmedAtMs < sinceMs && nowMs - registry.readSentAtMs >= EARLY_READ_INTERVAL_MS) {
		sendRegistryRead(context);
	}
}

export function sendRegistryRead({state: {registry}, nowMs, effects}: EntryContext): void {
	registry.unansweredSinceMs ??= nowMs;
	registry.readSentAtMs = nowMs;
	effects.push({kind: 'read-registry', isWhole: registry.isWholeReadNeeded});
}
