/**
Liveness of other instances, from the beacons that they send.
*/
import {type EntryState} from './state.js';
import {type EntryInstance} from './types.js';

/** Several beacons in a row were missed. */
export const PEER_SILENT_MS = 3000;
/** A peer whose demand is older than this is gone, and its requests with it. */
export const PEER_DEMAND_VALID_MS = 2500;
/** An instance heard from within this time still counts when a common limit is divided. */
const RECENT_PEER_MS = 30_000;

/** This instance and the others that were heard from recently and are not leaving. */
export function liveInstances({self, peers}: EntryState, nowMs: number): EntryInstance[] {
	const live = [self];
	for (const {instance, beaconReceivedAtMs, isLeaving} of peers.values()) {
		if (nowMs - beaconReceivedAtMs < PEER_SILENT_MS && !isLeaving) {
			live.push(instance);
		}
	}

	return live;
}

/**
Number of instances, this one included, among which a common limit is divided. Instances of other zones are heard from
rarely, so the count of the lease holder, to which all send beacons, holds where it is larger. A network partition must
not let each side use all of a limit.
*/
export function countInstances({peers, heardInstances, lease, startedAtMs}: EntryState, nowMs: number): number {
	const told = lease.instanceCount && nowMs - lease.instanceCount.toldAtMs < RECENT_PEER_MS ? lease.instanceCount.count : 0;
	// After a start, not all of them can have been heard from yet.
	const own = nowMs - startedAtMs < RECENT_PEER_MS ? peers.size + 1 : heardInstances;
	return Math.max(own, told);
}

/** Counts the instances that were heard from recently, this one included. */
export function countHeard(state: EntryState, nowMs: number): void {
	state.heardInstances = 1;
	for (const {beaconReceivedAtMs} of state.peers.values()) {
		if (nowMs - beaconReceivedAtMs < RECENT_PEER_MS) {
			state.heardInstances++;
		}
	}
}

/** Records a holder's count. A smaller one, such as that of a new holder which has not heard from all yet, replaces a larger one only when that is old. */
export function recordInstanceCount({lease}: EntryState, count: number, nowMs: number): void {
	const known = lease.instanceCount;
	if (!known || count >= known.count || nowMs - known.toldAtMs >= RECENT_PEER_MS) {
		lease.instanceCount = {count, toldAtMs: nowMs};
	}
}
