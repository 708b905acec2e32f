/**
The lease whose holder alone sends orders to engines. One row in the platform's store
names the holder, which renews it by conditional writes. A holder stops well before
another instance may start: its validity counts from when the last confirmed write
was sent, a successor's wait from when it first read the row that is still unchanged, or
from when the holder told that its epoch has ended. Such an epoch is never held again:
an instance that takes the lease up again does so in a new one.
*/
import {type EntryEventOf} from './event.js';
import {logEvent, type EntryContext, type EntryState} from './state.js';
import {type HeldLease, type Lease, type ObservedRow} from './lease-state.js';
import {liveInstances, PEER_SILENT_MS} from './peers.js';
import {isCutOff} from './reachability.js';
import {type EntryInstance, type LeaseRecord} from './types.js';

/** Short enough that after a missed renewal another one fits into the validity. */
const RENEW_INTERVAL_MS = 600;
/** Two renewal intervals and the longest usual response time of the store. */
const LEASE_VALID_MS = 1500;
/** Covers the transit of an order that is sent at the end of the validity. */
const HANDOVER_MARGIN_MS = 400;
const READ_INTERVAL_MS = 500;
const RETRY_INTERVAL_MS = 200;
/** The store's client gives up by then, so that the next request may be sent. */
const REQUEST_TIMEOUT_MS = 2500;
/** A holder not heard from for this long has missed several rounds of beacons. */
const HOLDER_SILENT_MS = 1400;
/** Instances of other zones hear of the holder every two seconds; after this time it has lost the lease. */
const VACANT_SILENT_MS = 3500;
/** A shorter partition is over before a successor could give orders. */
const CUT_OFF_MS = 2000;
/** Delay for each rank among the candidates, so that usually only one reads the row. */
const CANDIDATE_STAGGER_MS = 700;
/** Delay for each rank at startup, which spreads the first reads of instances that start together. */
const START_STAGGER_MS = 250;

/** The held lease while it is valid on both clocks, else undefined. */
export function holdsLease({state, nowMs, wallMs}: EntryContext): HeldLease | undefined {
	const {held} = state.lease;
	return held && nowMs < held.validUntilMs && wallMs < held.validUntilWallMs ? held : undefined;
}

/** Whether it is known that no instance holds the lease: its holder has stepped down, or has not been heard of for long. */
export function isLeaseVacant(context: EntryContext): boolean {
	const {lastKnown, steppedDownSinceMs} = context.state.lease;
	return holdsLease(context) === undefined && lastKnown !== undefined
		&& (steppedDownSinceMs !== undefined || context.nowMs - lastKnown.claimedAtMs >= VACANT_SILENT_MS);
}

/** Time until another instance may take the lease over, from what is known of its holder. */
export function leaseReturnMs({state, nowMs}: EntryContext): number {
	const {lastKnown, steppedDownSinceMs} = state.lease;
	const handoverMs = state.bounds.leaseMs + HANDOVER_MARGIN_MS;
	const freeAtMs = steppedDownSinceMs === undefined ? (lastKnown?.claimedAtMs ?? nowMs) + LEASE_VALID_MS + handoverMs : steppedDownSinceMs + handoverMs;
	return Math.max(READ_INTERVAL_MS, freeAtMs - nowMs + READ_INTERVAL_MS);
}

export function runLease(context: EntryContext): void {
	const {state, nowMs} = context;
	const {lease} = state;
	if (lease.isRequestPending && nowMs - lease.requestedAtMs > REQUEST_TIMEOUT_MS) {
		lease.isRequestPending = false;
	}

	if (lease.held && !holdsLease(context)) {
		logEvent(context, 'lease-lost', {epoch: lease.held.epoch, reason: 'renewal was not confirmed in time', lastRenewalAgeMs: Math.round(nowMs - lease.held.renewedAtMs)});
		endHeld(lease, lease.held);
	}

	if (lease.isRequestPending || state.lifecycle === 'stopped') {
		return;
	}

	if (state.lifecycle === 'draining') {
		releaseLease(context, 'instance is stopping');
	} else if (lease.held && isCutOffAlone(state, nowMs)) {
		releaseLease(context, 'instance reaches no target, and others do');
	} else if (lease.held) {
		if (nowMs - lease.requestedAtMs >= RENEW_INTERVAL_MS) {
			writeLease(context, lease.held.revision, ownRecord(context, lease.held.epoch));
		}
	} else if (isCandidate(context)) {
		tryAcquire(context);
	}
}

/** Whether it is this instance's turn to try to acquire a lease whose holder is silent or has stepped down. */
function isCandidate({state, nowMs}: EntryContext): boolean {
	const {lastKnown, steppedDownSinceMs} = state.lease;
	const firstMs = steppedDownSinceMs ?? (lastKnown ? lastKnown.claimedAtMs + HOLDER_SILENT_MS : state.startedAtMs);
	if (nowMs < firstMs || isCutOffAlone(state, nowMs)) {
		return false;
	}

	const live = liveInstances(state, nowMs).toSorted(compareCandidates);
	const rank = Math.max(0, live.findIndex(({id}) => id === state.self.id));
	return nowMs >= firstMs + (rank * (lastKnown ? CANDIDATE_STAGGER_MS : START_STAGGER_MS));
}

/** Larger instances go first: the holder's work grows with the deployment, and on a small one orders for adapters wait while it is done. */
function compareCandidates(a: EntryInstance, b: EntryInstance): number {
	return (b.processorCores ?? 0) - (a.processorCores ?? 0) || (a.id < b.id ? -1 : 1);
}

function tryAcquire(context: EntryContext): void {
	const {state, nowMs} = context;
	const {lease} = state;
	if (nowMs - lease.requestedAtMs < READ_INTERVAL_MS) {
		return;
	}

	const {observed} = lease;
	if (observed && isAvailable(context, observed)) {
		writeLease(context, observed.revision, ownRecord(context, nextEpoch(lease, observed)));
		return;
	}

	lease.isRequestPending = true;
	lease.requestedAtMs = nowMs;
	context.effects.push({kind: 'read-lease'});
}

/**
Above every epoch that was used. A restored store may have forgotten the last ones, and there may be no instance left that knows them.
Revisions of a later era are above all of an earlier one, and those of one era rise with each write of the row, so epochs start from the row's revision then.
*/
function nextEpoch({lastKnown, endedEpoch}: Lease, {record, revision, eraRevision}: ObservedRow): number {
	const restoredEpoch = eraRevision > 0 ? Math.max(eraRevision, revision) : 0;
	return Math.max(record?.epoch ?? 0, lastKnown?.epoch ?? 0, endedEpoch, restoredEpoch) + 1;
}

function endHeld(lease: Lease, {epoch}: HeldLease): void {
	lease.held = undefined;
	lease.endedEpoch = epoch;
}

/** Whether the holder of the observed row, and any later one that a restored store has forgotten, can no longer send orders and none of their orders can still arrive. */
function isAvailable({state, nowMs}: EntryContext, observed: ObservedRow): boolean {
	const {lastKnown, steppedDownSinceMs} = state.lease;
	const rowEpoch = observed.record?.epoch ?? 0;
	const hasLaterClaim = lastKnown !== undefined && lastKnown.holder.id !== state.self.id && lastKnown.epoch > rowEpoch;
	if (hasLaterClaim || rowEpoch < observed.eraRevision) {
		// The row is older than a later holder's claim, which may still be valid, or than the last restore, before which there may have been one.
		return nowMs - Math.max(observed.sinceMs, hasLaterClaim ? lastKnown.claimedAtMs : 0) >= state.bounds.leaseMs + HANDOVER_MARGIN_MS + LEASE_VALID_MS;
	}

	if (!observed.record || observed.record.holder === state.self.id) {
		return true;
	}

	if (steppedDownSinceMs !== undefined && lastKnown?.epoch === observed.record.epoch) {
		// The holder can return only in a later epoch, by writing the row, which makes this instance's conditional write fail.
		return nowMs - steppedDownSinceMs >= state.bounds.leaseMs + HANDOVER_MARGIN_MS;
	}

	const waitMs = state.bounds.leaseMs + HANDOVER_MARGIN_MS + (observed.record.isReleased ? 0 : LEASE_VALID_MS);
	return nowMs - observed.sinceMs >= waitMs;
}

function ownRecord({state}: EntryContext, epoch: number): LeaseRecord {
	return {
		holder: state.self.id, boot: state.self.boot, epoch, isReleased: false,
	};
}

function writeLease(context: EntryContext, expectedRevision: number, record: LeaseRecord): void {
	const {state, nowMs} = context;
	state.lease.isRequestPending = true;
	state.lease.requestedAtMs = nowMs;
	state.lease.requestedEpoch = record.epoch;
	context.effects.push({kind: 'write-lease', expectedRevision, record});
}

/** Whether this instance has reached no target for a while, so that its orders would not arrive, and another one does. */
function isCutOffAlone(state: EntryState, nowMs: number): boolean {
	if (state.unreachedServices.size === 0 || !isCutOff(state, nowMs - CUT_OFF_MS)) {
		return false;
	}

	return [...state.peers.values()].some(({instance, isCutOff: isPeerCutOff, isLeaving, beaconReceivedAtMs}) => !isPeerCutOff && !isLeaving
		&& instance.callerAddress !== undefined && nowMs - beaconReceivedAtMs < PEER_SILENT_MS);
}

function releaseLease(context: EntryContext, reason: string): void {
	const {lease} = context.state;
	const {held} = lease;
	if (!held) {
		return;
	}

	endHeld(lease, held);
	lease.isReleasing = true;
	logEvent(context, 'lease-lost', {epoch: held.epoch, reason});
	writeLease(context, held.revision, {...ownRecord(context, held.epoch), isReleased: true});
}

export function handleLeaseResult(context: EntryContext, {result, sentAtMs, sentAtWallMs}: EntryEventOf<'lease-request-completed'>): void {
	const {state, nowMs} = context;
	const {lease} = state;
	lease.isRequestPending = false;
	const wasReleasing = lease.isReleasing;
	lease.isReleasing = false;
	if (wasReleasing) {
		// The row shows at the next read whether it was written. A successor waits from its own first sight of it.
		lease.observed = undefined;
		return;
	}

	if (result.kind === 'unknown' || state.lifecycle !== 'serving') {
		// There is time for another renewal only if it is sent soon.
		lease.requestedAtMs = nowMs - RENEW_INTERVAL_MS + RETRY_INTERVAL_MS;
		return;
	}

	if (result.kind === 'written') {
		handleWritten(context, {
			revision: result.revision, eraRevision: result.eraRevision ?? 0, sentAtMs, sentAtWallMs,
		});
		return;
	}

	const {revision, record, eraRevision = 0} = result;
	const isOwn = record?.boot === state.self.boot;
	if (lease.held && isOwn) {
		// An earlier write was applied although its response was lost.
		lease.held = {...lease.held, revision};
		lease.requestedAtMs = nowMs - RENEW_INTERVAL_MS;
	} else if (lease.held) {
		logEvent(context, 'lease-lost', {epoch: lease.held.epoch, reason: 'another instance holds it', holder: record?.holder});
		endHeld(lease, lease.held);
	}

	noteUnansweredSuccession(state, {
		revision, record, eraRevision, sinceMs: nowMs,
	});
	if (lease.observed?.revision !== revision || lease.observed.eraRevision !== eraRevision) {
		lease.observed = {
			revision, record, eraRevision, sinceMs: nowMs,
		};
	}
}

/** Whether no other instance is known to have held the lease since this one last did. */
export function isUncontested({lease: {endedEpoch, lastKnown}}: EntryState): boolean {
	return endedEpoch > 0 && (lastKnown?.epoch ?? 0) <= endedEpoch;
}

/** Whether the row, before this instance took the lease, was its own of the last epoch that it held: then no other instance has sent orders since. */
function isOwnSuccessor({self, lease: {endedEpoch}}: EntryState, previous: ObservedRow | undefined): boolean {
	const record = previous?.record;
	return record?.boot === self.boot && record.epoch === endedEpoch && record.epoch >= previous!.eraRevision;
}

/** The write by which this instance followed itself was applied although its response was lost. That epoch was never held and will not be; the next one follows it. */
function noteUnansweredSuccession(state: EntryState, {record, eraRevision}: ObservedRow): void {
	const {self, lease} = state;
	const isApplied = !lease.held && record?.boot === self.boot && record.epoch === lease.requestedEpoch;
	if (isApplied && eraRevision === lease.observed?.eraRevision && isOwnSuccessor(state, lease.observed)) {
		lease.endedEpoch = Math.max(lease.endedEpoch, record.epoch);
	}
}

type ConfirmedWrite = {
	readonly revision: number;
	readonly eraRevision: number;
	readonly sentAtMs: number;
	readonly sentAtWallMs: number;
};

/** The store has confirmed a write by which this instance takes or renews the lease. */
function handleWritten(context: EntryContext, {revision, eraRevision, sentAtMs, sentAtWallMs}: ConfirmedWrite): void {
	const {state: {lease}, nowMs} = context;
	const epoch = lease.held?.epoch ?? lease.requestedEpoch;
	const previous = lease.observed;
	lease.observed = {
		revision, record: ownRecord(context, epoch), eraRevision, sinceMs: nowMs,
	};
	if (!lease.held && (epoch <= lease.endedEpoch || eraRevision > (previous?.eraRevision ?? 0))) {
		// Peers may count on the end of this epoch, which they were told, or the store was restored since the epoch was chosen. The lease is taken in a later one.
		logEvent(context, 'lease-renewed-late', {epoch, revision, tookMs: Math.round(nowMs - sentAtMs)});
		lease.requestedAtMs = nowMs - READ_INTERVAL_MS;
		return;
	}

	if (!lease.held) {
		if (!isOwnSuccessor(context.state, previous)) {
			context.state.orderTracker.clear();
		}

		logEvent(context, 'lease-taken', {
			epoch,
			revision,
			previousHolder: previous?.record?.holder,
			previousEpoch: previous?.record?.epoch,
			unchangedMs: previous && Math.round(nowMs - previous.sinceMs),
			steppedDownMs: lease.steppedDownSinceMs && Math.round(nowMs - lease.steppedDownSinceMs),
		});
	}

	lease.held = {
		epoch,
		revision,
		validUntilMs: sentAtMs + LEASE_VALID_MS,
		validUntilWallMs: sentAtWallMs + LEASE_VALID_MS,
		renewedAtMs: nowMs,
	};
}
