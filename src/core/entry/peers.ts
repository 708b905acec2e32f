/**
Which other instances are alive, as far as heard.
*/
import {type EntryState} from './state.js';
import {type EntryInstance} from './types.js';

/** Several exchanges in a row were missed. */
const PEER_SILENT_MS = 3000;
/** An instance that was heard of this lately still counts in shares of a common bound. */
const RECENT_PEER_MS = 30_000;

/** Other instances heard of lately that are not leaving, and this one. */
export function liveInstances({self, peers}: EntryState, nowMs: number): EntryInstance[] {
	const live = [self];
	for (const {instance, heardAtMs, isLeaving} of peers.values()) {
		if (nowMs - heardAtMs < PEER_SILENT_MS && !isLeaving) {
			live.push(instance);
		}
	}

	return live;
}

/** Instances that may share a common bound with this one. A cut must not let each side use all of it. */
export function countRecentInstances({peers}: EntryState, nowMs: number): number {
	let count = 1;
	for (const {heardAtMs} of peers.values()) {
		if (nowMs - heardAtMs < RECENT_PEER_MS) {
			count++;
		}
	}

	return count;
}
