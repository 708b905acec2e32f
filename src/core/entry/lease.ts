/**
The lease over giving orders. One row in the platform's store names the holder, who
renews it by conditional writes. A holder stops well before another instance may
start: its own validity is counted from the sending of the last confirmed write, a
successor's wait from the first sight of the unchanged row.
*/
import {type EntryEventOf} from './event.js';
import {logEvent, type EntryContext} from './state.js';
import {type HeldLease} from './lease-state.js';
import {liveInstances} from './peers.js';
import {type LeaseRecord} from './types.js';

/** A missed renewal still leaves one more before the validity ends. */
const RENEW_INTERVAL_MS = 600;
/** Two renewals and the longest usual answer of the store. */
const LEASE_VALID_MS = 1500;
/** Covers an order that leaves at the end of the validity and travels to its target. */
const HANDOVER_MARGIN_MS = 400;
const READ_INTERVAL_MS = 500;
const RETRY_INTERVAL_MS = 200;
/** An answer that takes longer is given up by the store's client, so another may be asked. */
const REQUEST_TIMEOUT_MS = 2500;
/** News older than this has missed several exchanges. */
const HOLDER_SILENT_MS = 1400;
/** Candidates start one after the other, so that usually one reads the row. */
const CANDIDATE_STAGGER_MS = 700;
/** Spreads the first reads of instances that start together. */
const START_STAGGER_MS = 250;

export function holdsLease({state, nowMs, wallMs}: EntryContext): HeldLease | undefined {
	const {held} = state.lease;
	return held && nowMs < held.validUntilMs && wallMs < held.validUntilWallMs ? held : undefined;
}

export function runLease(context: EntryContext): void {
	const {state, nowMs} = context;
	const {lease} = state;
	if (lease.isRequestPending && nowMs - lease.requestedAtMs > REQUEST_TIMEOUT_MS) {
		lease.isRequestPending = false;
	}

	if (lease.held && !holdsLease(context)) {
		logEvent(context, 'lease-lost', {epoch: lease.held.epoch, reason: 'renewal was not confirmed in time', lastRenewalAgeMs: Math.round(nowMs - lease.held.renewedAtMs)});
		lease.held = undefined;
	}

	if (lease.isRequestPending || state.lifecycle === 'stopped') {
		return;
	}

	if (state.lifecycle === 'draining') {
		releaseLease(context);
	} else if (lease.held) {
		if (nowMs - lease.requestedAtMs >= RENEW_INTERVAL_MS) {
			writeLease(context, lease.held.revision, ownRecord(context, lease.held.epoch));
		}
	} else if (isCandidate(context)) {
		tryAcquire(context);
	}
}

/** Whether it is this instance's turn to look after a lease whose holder is not heard of. */
function isCandidate({state, nowMs}: EntryContext): boolean {
	const live = liveInstances(state, nowMs).map(({id}) => id).toSorted();
	const rank = Math.max(0, live.indexOf(state.self.id));
	const {lastKnown, steppedDownSinceMs} = state.lease;
	if (steppedDownSinceMs !== undefined) {
		return nowMs >= steppedDownSinceMs + (rank * CANDIDATE_STAGGER_MS);
	}

	const sinceMs = lastKnown ? lastKnown.heardAtMs + HOLDER_SILENT_MS + (rank * CANDIDATE_STAGGER_MS) : state.startedAtMs + (rank * START_STAGGER_MS);
	return nowMs >= sinceMs;
}

function tryAcquire(context: EntryContext): void {
	const {state, nowMs} = context;
	const {lease} = state;
	if (nowMs - lease.requestedAtMs < READ_INTERVAL_MS) {
		return;
	}

	const {observed} = lease;
	if (observed && isAvailable(context)) {
		writeLease(context, observed.revision, ownRecord(context, (observed.record?.epoch ?? 0) + 1));
		return;
	}

	lease.isRequestPending = true;
	lease.requestedAtMs = nowMs;
	context.effects.push({kind: 'read-lease'});
}

/** Whether the holder of the observed row cannot give an order any more, nor one arrive that it gave. */
function isAvailable({state, nowMs}: EntryContext): boolean {
	const {observed, lastKnown, steppedDownSinceMs} = state.lease;
	if (!observed?.record || observed.record.holder === state.self.id) {
		return observed !== undefined;
	}

	if (steppedDownSinceMs !== undefined && lastKnown?.epoch === observed.record.epoch) {
		// It can hold again only by writing the row, which makes the conditional write that follows fail.
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
	context.effects.push({kind: 'write-lease', expectedRevision, record});
}

function releaseLease(context: EntryContext): void {
	const {lease} = context.state;
	const {held} = lease;
	if (!held) {
		return;
	}

	lease.held = undefined;
	logEvent(context, 'lease-lost', {epoch: held.epoch, reason: 'instance is stopping'});
	writeLease(context, held.revision, {...ownRecord(context, held.epoch), isReleased: true});
}

export function handleLeaseAnswer(context: EntryContext, {answer, sentAtMs, sentAtWallMs}: EntryEventOf<'lease-answered'>): void {
	const {state, nowMs} = context;
	const {lease} = state;
	lease.isRequestPending = false;
	if (answer.kind === 'unknown' || state.lifecycle !== 'serving') {
		// A renewal that failed leaves time for another one only if that comes soon.
		lease.requestedAtMs = nowMs - RENEW_INTERVAL_MS + RETRY_INTERVAL_MS;
		return;
	}

	if (answer.kind === 'written') {
		const epoch = lease.held?.epoch ?? ((lease.observed?.record?.epoch ?? 0) + 1);
		if (!lease.held) {
			logEvent(context, 'lease-taken', {epoch, revision: answer.revision});
		}

		lease.held = {
			epoch,
			revision: answer.revision,
			validUntilMs: sentAtMs + LEASE_VALID_MS,
			validUntilWallMs: sentAtWallMs + LEASE_VALID_MS,
			renewedAtMs: nowMs,
		};
		lease.observed = {revision: answer.revision, record: ownRecord(context, epoch), sinceMs: nowMs};
		return;
	}

	const {revision, record} = answer;
	const isOwn = record?.boot === state.self.boot;
	if (lease.held && isOwn) {
		// The write before this one was carried out although its answer was lost.
		lease.held = {...lease.held, revision};
		lease.requestedAtMs = nowMs - RENEW_INTERVAL_MS;
	} else if (lease.held) {
		logEvent(context, 'lease-lost', {epoch: lease.held.epoch, reason: 'another instance holds it', holder: record?.holder});
		lease.held = undefined;
	}

	if (lease.observed?.revision !== revision) {
		lease.observed = {revision, record, sinceMs: nowMs};
	}
}
