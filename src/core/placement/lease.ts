/**
Leases: one instance of a zone places models on that zone's targets. A lease only
avoids duplicate work. Memory safety comes from the ledger writes, each of which is
conditional on the row's revision, which a new owner's claim changes. The holder
renews the lease row in the table. The other instances poll it, those ranked first
most often, and take the lease over once the row has not changed for the lease
duration on their own monotonic clock.
*/
import fnv1a from '@sindresorhus/fnv1a';
import {
	jitter, logEvent, uniqueToken, type Context,
} from '../context.js';
import {type EventOf} from '../event.js';
import {publishFact} from '../peer/facts.js';
import {startTableOperation, type TableStepOf} from '../table-steps.js';
import {type Row} from '../table.js';
import {type InstanceId, type ZoneName} from '../types.js';
import {closeLedgers, openLedgers} from './ledger-store.js';
import {type Lease} from './state.js';
import {type LeaseRow} from './types.js';

export const LEASE_DURATION_MS = 10_000;
const RENEW_INTERVAL_MS = 2500;
const STANDBY_POLL_INTERVAL_MS = 3000;

/** Interval while the zone has no engine targets; the table is not accessed then. */
const NO_TARGETS_INTERVAL_MS = 500;

export function zoneGroup(zone: ZoneName): string {
	return `zone/${zone}`;
}

function leaseKey(group: string): string {
	return `lease/${group}`;
}

function zoneLease({state, nowMs}: Context): Lease {
	const group = zoneGroup(state.self.zone);
	let lease = state.placement.leases.get(group);
	if (!lease) {
		lease = {
			group,
			row: undefined,
			revision: -1,
			seenAtMs: nowMs,
			held: false,
			ownEpoch: 0,
			validUntilMs: 0,
			busy: false,
			handingOver: false,
		};
		state.placement.leases.set(group, lease);
	}

	return lease;
}

/** Whether this instance holds an unexpired lease on its zone's targets. */
export function holdsLease(context: Context): boolean {
	const lease = zoneLease(context);
	return lease.held && context.nowMs < lease.validUntilMs;
}

/** Whether this instance took the lease and knows of no later holder, even if the lease has expired since. */
export function isLastKnownHolder(context: Context): boolean {
	return zoneLease(context).held;
}

export function heldEpoch(context: Context): number {
	const lease = zoneLease(context);
	return lease.held ? lease.row?.epoch ?? 0 : 0;
}

export function runLease(context: Context): void {
	const {state, nowMs} = context;
	const lease = zoneLease(context);
	if (!hasTargets(context)) {
		state.timers.set(nowMs + NO_TARGETS_INTERVAL_MS, {kind: 'periodic', duty: 'lease'});
		return;
	}

	const intervalMs = lease.held ? RENEW_INTERVAL_MS : STANDBY_POLL_INTERVAL_MS * (1 + instanceRank(context, lease.group));
	state.timers.set(nowMs + jitter(context, intervalMs), {kind: 'periodic', duty: 'lease'});
	if (lease.busy || state.lifecycle !== 'serving') {
		return;
	}

	if (lease.held && lease.row) {
		writeLease(context, lease, lease.row.epoch);
	} else {
		lease.busy = true;
		startTableOperation(context, {kind: 'read', keys: [leaseKey(lease.group)]}, {kind: 'lease-read', group: lease.group});
	}
}

function hasTargets({state}: Context): boolean {
	for (const target of state.targets.values()) {
		if (target.zone === state.self.zone && target.memoryMb > 0) {
			return true;
		}
	}

	return false;
}

/** This instance's rank among the live instances of its zone. */
function instanceRank({state}: Context, group: string): number {
	const rankHash = (id: InstanceId) => fnv1a(`${group}/${id}`, {size: 32});
	const ownHash = rankHash(state.self.id);
	return state.membership.live().filter(({id, zone}) => zone === state.self.zone && rankHash(id) < ownHash).length;
}

function writeLease(context: Context, lease: Lease, epoch: number): void {
	const {state, nowMs} = context;
	const token = uniqueToken(context);
	const value: LeaseRow = {
		holder: state.self.id,
		holderBoot: state.self.boot,
		epoch,
		token,
	};
	lease.busy = true;
	startTableOperation(context, {
		kind: 'write',
		conditions: [{key: leaseKey(lease.group), revision: Math.max(0, lease.revision)}],
		puts: [{key: leaseKey(lease.group), value}],
	}, {
		kind: 'lease-write', group: lease.group, epoch, token, startedAtMs: nowMs,
	});
}

export function handleLeaseRead(context: Context, step: TableStepOf<'lease-read'>, event: EventOf<'table-answered'>): void {
	const lease = context.state.placement.leases.get(step.group);
	if (!lease) {
		return;
	}

	lease.busy = false;
	if (event.answer.kind === 'rows' && event.answer.rows[0]) {
		observeRow(context, lease, event.answer.rows[0]);
	}
}

/** Applies the current row, and takes the lease over if it is free or has expired. */
function observeRow(context: Context, lease: Lease, row: Row): void {
	const {state, nowMs} = context;
	const value = row.value as LeaseRow | undefined;
	if (row.revision !== lease.revision) {
		lease.revision = row.revision;
		lease.row = value;
		lease.seenAtMs = nowMs;
		if (value) {
			state.placement.epochHolders.set(epochKey(lease.group, value.epoch), value);
		}
	}

	if (value?.holder === state.self.id && value.holderBoot === state.self.boot) {
		// An earlier write took effect although its answer was lost.
		confirmLease(context, lease, nowMs);
		return;
	}

	if (lease.held) {
		loseLease(context, lease);
	}

	const isFree = !value || value.holder === '';
	const isExpired = nowMs - lease.seenAtMs >= LEASE_DURATION_MS;
	if ((isFree || isExpired) && state.lifecycle === 'serving' && !lease.handingOver) {
		writeLease(context, lease, (value?.epoch ?? 0) + 1);
	}
}

export function handleLeaseWrite(context: Context, step: TableStepOf<'lease-write'>, event: EventOf<'table-answered'>): void {
	const lease = context.state.placement.leases.get(step.group);
	if (!lease) {
		return;
	}

	lease.busy = false;
	const {answer} = event;
	if (answer.kind === 'written') {
		lease.revision = answer.revisions[leaseKey(step.group)] ?? 0;
		if (lease.handingOver) {
			return;
		}

		lease.row = {
			holder: context.state.self.id,
			holderBoot: context.state.self.boot,
			epoch: step.epoch,
			token: step.token,
		};
		// Counted from the start of the write, so that a pause since then shortens the lease.
		confirmLease(context, lease, step.startedAtMs);
	} else if (answer.kind === 'conflict' && answer.rows[0]) {
		observeRow(context, lease, answer.rows[0]);
	} else if (answer.kind === 'lost') {
		lease.busy = true;
		startTableOperation(context, {kind: 'read', keys: [leaseKey(step.group)]}, {kind: 'lease-read', group: step.group});
	}
}

function confirmLease(context: Context, lease: Lease, fromMs: number): void {
	lease.validUntilMs = fromMs + LEASE_DURATION_MS;
	lease.seenAtMs = context.nowMs;
	if (lease.held) {
		return;
	}

	lease.held = true;
	const epoch = lease.row?.epoch ?? 0;
	lease.ownEpoch = epoch;
	logEvent(context, 'lease-taken', {group: lease.group, epoch});
	publishFact(context, `lease/${lease.group}`, {
		kind: 'lease',
		group: lease.group,
		holder: context.state.self.id,
		epoch,
	});
	openLedgers(context, lease.group, epoch);
}

function loseLease(context: Context, lease: Lease): void {
	const epoch = lease.ownEpoch;
	lease.held = false;
	logEvent(context, 'lease-lost', {group: lease.group, epoch});
	closeLedgers(context);
	publishClosedEpoch(context, lease.group);
}

/** Tells peers that this instance sends no more orders of its last epoch, once no order is in flight. */
export function publishClosedEpoch(context: Context, group: string): void {
	const {state} = context;
	const lease = state.placement.leases.get(group);
	const epoch = lease?.ownEpoch ?? 0;
	if (!lease || lease.held || epoch === 0 || state.placement.orders.size > 0) {
		return;
	}

	publishFact(context, `closed-epoch/${epochKey(group, epoch)}`, {kind: 'closed-epoch', group, epoch});
}

export function recordClosedEpoch({state, nowMs}: Context, group: string, epoch: number): void {
	const key = epochKey(group, epoch);
	if (!state.placement.closedEpochs.has(key)) {
		state.placement.closedEpochs.set(key, nowMs);
	}
}

export function epochKey(group: string, epoch: number): string {
	return `${group}#${epoch}`;
}

/** When it became known that the holder of an epoch sends no more orders, undefined while it may still do so. */
export function epochClosedAtMs(context: Context, group: string, epoch: number): number | undefined {
	const {placement, membership} = context.state;
	const key = epochKey(group, epoch);
	const holder = placement.epochHolders.get(key);
	if (holder && membership.isGone(holder.holder, holder.holderBoot)) {
		recordClosedEpoch(context, group, epoch);
	}

	return placement.closedEpochs.get(key);
}

/** Applies a peer's fact that it holds the lease, and gives up this instance's lease if the peer's epoch is newer. */
export function applyPeerLease(context: Context, group: string, holder: InstanceId, epoch: number): void {
	const lease = context.state.placement.leases.get(group);
	if (lease?.held && holder !== context.state.self.id && epoch > lease.ownEpoch) {
		loseLease(context, lease);
		lease.revision = -1;
		lease.row = undefined;
	}
}

/** Releases the lease so that another instance can take it at once. */
export function releaseLease(context: Context): void {
	const lease = zoneLease(context);
	lease.handingOver = true;
	if (!lease.held || !lease.row) {
		return;
	}

	lease.held = false;
	closeLedgers(context);
	const value: LeaseRow = {...lease.row, holder: '', token: uniqueToken(context)};
	startTableOperation(context, {
		kind: 'write',
		conditions: [{key: leaseKey(lease.group), revision: lease.revision}],
		puts: [{key: leaseKey(lease.group), value}],
	}, {
		kind: 'lease-write', group: lease.group, epoch: lease.row.epoch, token: value.token, startedAtMs: context.nowMs,
	});
}
