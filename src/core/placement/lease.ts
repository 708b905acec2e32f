/**
Leases: one instance of a zone places models on that zone's targets. A lease only
saves work. What keeps memory safe is that every journal write is conditional on
the row's revision, which a new owner moves. Holders renew a row in the table;
others watch it, those that stand first in a ranking most often, and take it over
once it has not changed for the lease's length on their own monotonic clock.
*/
import fnv1a from '@sindresorhus/fnv1a';
import {
	jitter, log, uniqueToken, type Context,
} from '../context.js';
import {type EventOf} from '../event.js';
import {publishFact} from '../peer/facts.js';
import {startTableOperation, type TableStepOf} from '../table-steps.js';
import {type Row} from '../table.js';
import {type InstanceId, type ZoneName} from '../types.js';
import {abandonLedgers, openLedgers} from './ledger-store.js';
import {type Lease} from './state.js';
import {type LeaseRow} from './types.js';

export const LEASE_MS = 10_000;
const RENEW_INTERVAL_MS = 2500;
const WATCH_INTERVAL_MS = 3000;

/** While no target of the zone is configured, no table is asked. */
const IDLE_INTERVAL_MS = 500;

export function zoneGroup(zone: ZoneName): string {
	return `zone/${zone}`;
}

function leaseKey(group: string): string {
	return `lease/${group}`;
}

function ownLease({state, nowMs}: Context): Lease {
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

/** Whether this instance may act for its zone's targets now. */
export function holdsLease(context: Context): boolean {
	const lease = ownLease(context);
	return lease.held && context.nowMs < lease.validUntilMs;
}

/** Whether this instance knows of no other holder, though its lease may have run out meanwhile. */
export function keepsLease(context: Context): boolean {
	return ownLease(context).held;
}

export function heldEpoch(context: Context): number {
	const lease = ownLease(context);
	return lease.held ? lease.row?.epoch ?? 0 : 0;
}

export function runLease(context: Context): void {
	const {state, nowMs} = context;
	const lease = ownLease(context);
	if (!hasTargets(context)) {
		state.timers.set(nowMs + IDLE_INTERVAL_MS, {kind: 'periodic', duty: 'lease'});
		return;
	}

	const intervalMs = lease.held ? RENEW_INTERVAL_MS : WATCH_INTERVAL_MS * (1 + rank(context, lease.group));
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

/** This instance's place among the live ones of its zone. */
function rank({state}: Context, group: string): number {
	const weigh = (id: InstanceId) => fnv1a(`${group}/${id}`, {size: 32});
	const own = weigh(state.self.id);
	return state.membership.live().filter(({id, zone}) => zone === state.self.zone && weigh(id) < own).length;
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
		observe(context, lease, event.answer.rows[0]);
	}
}

/** Takes in the row as it stands, and takes the lease over if it is free or has not moved. */
function observe(context: Context, lease: Lease, row: Row): void {
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
		// A write whose answer was lost did take effect.
		hold(context, lease, nowMs);
		return;
	}

	if (lease.held) {
		lose(context, lease);
	}

	const isFree = !value || value.holder === '';
	const isStale = nowMs - lease.seenAtMs >= LEASE_MS;
	if ((isFree || isStale) && state.lifecycle === 'serving' && !lease.handingOver) {
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
		// Counted from before the write: a pause in between shortens the lease.
		hold(context, lease, step.startedAtMs);
	} else if (answer.kind === 'conflict' && answer.rows[0]) {
		observe(context, lease, answer.rows[0]);
	} else if (answer.kind === 'lost') {
		lease.busy = true;
		startTableOperation(context, {kind: 'read', keys: [leaseKey(step.group)]}, {kind: 'lease-read', group: step.group});
	}
}

function hold(context: Context, lease: Lease, fromMs: number): void {
	lease.validUntilMs = fromMs + LEASE_MS;
	lease.seenAtMs = context.nowMs;
	if (lease.held) {
		return;
	}

	lease.held = true;
	const epoch = lease.row?.epoch ?? 0;
	lease.ownEpoch = epoch;
	log(context, 'lease-taken', {group: lease.group, epoch});
	publishFact(context, `lease/${lease.group}`, {
		kind: 'lease',
		group: lease.group,
		holder: context.state.self.id,
		epoch,
	});
	openLedgers(context, lease.group, epoch);
}

function lose(context: Context, lease: Lease): void {
	const epoch = lease.ownEpoch;
	lease.held = false;
	log(context, 'lease-lost', {group: lease.group, epoch});
	abandonLedgers(context);
	closeEpoch(context, lease.group);
}

/** Tells others that this instance sends no more orders of earlier epochs, once none is under way. */
export function closeEpoch(context: Context, group: string): void {
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

/** When it became known that the owner of an epoch sends no more orders, undefined while it may. */
export function epochClosedAtMs(context: Context, group: string, epoch: number): number | undefined {
	const {placement, membership} = context.state;
	const key = epochKey(group, epoch);
	const holder = placement.epochHolders.get(key);
	if (holder && membership.isGone(holder.holder, holder.holderBoot)) {
		recordClosedEpoch(context, group, epoch);
	}

	return placement.closedEpochs.get(key);
}

/** A peer says that it holds the lease with a newer epoch. */
export function applyPeerLease(context: Context, group: string, holder: InstanceId, epoch: number): void {
	const lease = context.state.placement.leases.get(group);
	if (lease?.held && holder !== context.state.self.id && epoch > lease.ownEpoch) {
		lose(context, lease);
		lease.revision = -1;
		lease.row = undefined;
	}
}

/** Hands the lease back so that another instance can take it at once. */
export function releaseLease(context: Context): void {
	const lease = ownLease(context);
	lease.handingOver = true;
	if (!lease.held || !lease.row) {
		return;
	}

	lease.held = false;
	abandonLedgers(context);
	const value: LeaseRow = {...lease.row, holder: '', token: uniqueToken(context)};
	startTableOperation(context, {
		kind: 'write',
		conditions: [{key: leaseKey(lease.group), revision: lease.revision}],
		puts: [{key: leaseKey(lease.group), value}],
	}, {
		kind: 'lease-write', group: lease.group, epoch: lease.row.epoch, token: value.token, startedAtMs: context.nowMs,
	});
}
