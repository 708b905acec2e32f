/**
The account of quotas that the lease holder keeps for all instances, or a deputy for those
of its zone that the holder does not answer. Instances tell it what they used before its
time, so that a new account knows the use of the window. It gives out the share of a limit
that belongs to the instances it has heard from: others may ask another account, or what
ran in their place may have used units that nobody knows of.
*/
import {holdsLease} from './lease.js';
import {type HeldLease} from './lease-state.js';
import {
	type AskedQuota, type GrantedQuota, type QuotaAsk, type QuotaGrant, type QuotaLevels,
} from './peer-messages.js';
import {countInstances} from './peers.js';
import {countedWindowMs, QuotaBucket, type QuotaLimit} from './quota-bucket.js';
import {type QuotaAccount, type QuotaMember} from './quota-state.js';
import {formatLevel, quotaIndex} from './quota-index.js';
import {logEvent, type EntryContext} from './state.js';
import {type EntryInstance} from './types.js';

/** Periods into which an instance divides the window when it tells what it has used. */
export const HISTORY_PERIODS = 4;
const SHARE_INTERVAL_MS = 250;
/** Workspaces whose levels an answer names. Those of others are not known beforehand, so that their requests wait for an answer. */
const MAX_LEVELS = 64;
/** Beacons reach the holder every 1.5 s from a large zone. An instance that is cut off from it goes on by itself. */
const MEMBER_SILENT_MS = 2500;
/** Members of a deputy's account ask at least twice in this time. */
const DEPUTY_MEMBER_SILENT_MS = 1500;
/** Part of its members' share that a deputy gives out: the holder may be giving it out to others until it notices that they are silent. */
const DEPUTY_SHARE = 0.75;
/** A member silent for this long has been replaced. */
const MEMBER_RETENTION_MS = 60_000;

/** Name of a lease holder's account. */
export function holderAccount(epoch: number): string {
	return `holder ${epoch}`;
}

/** Name of the account that an instance keeps for others of its zone while the lease holder does not answer them. */
export function deputyAccount({id, boot}: Pick<EntryInstance, 'id' | 'boot'>): string {
	return `deputy ${id} ${boot}`;
}

/** Undefined if the ask is for another account, or an older one than the sender's last. */
export function answerAsk(context: EntryContext, ask: QuotaAsk): QuotaGrant | undefined {
	const held = holdsLease(context);
	const isDeputy = ask.account === deputyAccount(context.state.self);
	if (!isDeputy && (!held || ask.account !== holderAccount(held.epoch))) {
		return undefined;
	}

	const account = accountOf(context, ask.account, isDeputy);
	const known = account.members.get(ask.from);
	const isNew = known?.boot !== ask.boot || known.session !== ask.session;
	if (isNew ? !ask.isFirst : ask.askNumber <= known.lastAsk) {
		return undefined;
	}

	const member = isNew ? addMember(context, account, ask) : known;
	member.lastAsk = ask.askNumber;
	member.heardAtMs = context.nowMs;
	const quotas: GrantedQuota[] = [];
	for (const asked of ask.quotas) {
		const limit = quotaIndex(context.state).get(asked.workspace)?.limit;
		if (limit) {
			quotas.push(answerQuota(context, account, {
				member, asked, limit, isNew,
			}));
		}
	}

	return {
		grantNumber: ask.askNumber, account: account.name, quotas, levels: describeLevels(context, account),
	};
}

/** What the holder's beacons say of quotas; undefined if there are none. */
export function announcedLevels(context: EntryContext, held: HeldLease): QuotaLevels | undefined {
	return quotaIndex(context.state).size === 0 ? undefined : describeLevels(context, accountOf(context, holderAccount(held.epoch), false));
}

/** Levels of all workspaces, so that an instance knows them before it has requests of theirs. */
function describeLevels(context: EntryContext, account: QuotaAccount): QuotaLevels {
	const {state, nowMs} = context;
	const share = memberShare(context, account);
	const limits = quotaIndex(state);
	const levels = state.quotas.index.names.slice(0, MAX_LEVELS).map(name => {
		const bucket = bucketOf(account, name, limits.get(name)!.limit, nowMs);
		return formatLevel({isOpen: bucket.updateOpen(nowMs, share), usedShare: bucket.usedShare(nowMs)});
	}).join('');
	return {configurationVersion: state.configuration?.version ?? 0, levels};
}

function accountOf(context: EntryContext, name: string, isDeputy: boolean): QuotaAccount {
	const {accounts} = context.state.quotas;
	let account = accounts.get(name);
	if (!account) {
		for (const other of accounts.values()) {
			if (other.isDeputy === isDeputy) {
				// A lease that was held before.
				accounts.delete(other.name);
			}
		}

		account = {
			name, isDeputy, members: new Map(), buckets: new Map(), share: {value: 0, atMs: Number.NEGATIVE_INFINITY},
		};
		accounts.set(name, account);
		logEvent(context, 'quota-account-opened', {account: name, instances: countInstances(context.state, context.nowMs)});
	}

	return account;
}

function addMember({nowMs}: EntryContext, account: QuotaAccount, {from, boot, session, upMs}: QuotaAsk): QuotaMember {
	const earlier = account.members.get(from);
	const member: QuotaMember = {
		// This account has what an earlier process in its place used.
		boot, session, sinceMs: Math.min(earlier?.sinceMs ?? Number.POSITIVE_INFINITY, nowMs - upMs), heardAtMs: nowMs, lastAsk: 0, used: new Map(),
	};
	account.members.set(from, member);
	account.share = {...account.share, atMs: Number.NEGATIVE_INFINITY};
	return member;
}

type Question = {
	readonly member: QuotaMember;
	readonly asked: AskedQuota;
	readonly limit: QuotaLimit;
	/** Whether the member's history is to be counted. */
	readonly isNew: boolean;
};

function answerQuota(context: EntryContext, account: QuotaAccount, {member, asked, limit, isNew}: Question): GrantedQuota {
	const {nowMs} = context;
	const bucket = bucketOf(account, asked.workspace, limit, nowMs);
	if (isNew) {
		const periodMs = limit.windowMs / HISTORY_PERIODS;
		for (const [period, units] of (asked.history ?? []).entries()) {
			bucket.charge(units, nowMs, period * periodMs);
		}
	} else {
		bucket.charge(asked.used - (member.used.get(asked.workspace) ?? 0), nowMs);
	}

	member.used.set(asked.workspace, asked.used);
	const share = memberShare(context, account);
	const inMs: number[] = [];
	let roomInMs: number | undefined;
	for (const units of asked.needs) {
		const taken = bucket.take(units, nowMs, share);
		if (!taken.isGranted) {
			roomInMs = Math.ceil(taken.inMs);
			break;
		}

		inMs.push(Math.ceil(taken.inMs));
	}

	return {workspace: asked.workspace, inMs, roomInMs};
}

function bucketOf({buckets}: QuotaAccount, workspace: string, limit: QuotaLimit, nowMs: number): QuotaBucket {
	let bucket = buckets.get(workspace);
	if (bucket) {
		bucket.setLimit(limit, nowMs);
	} else {
		bucket = new QuotaBucket(limit, nowMs);
		buckets.set(workspace, bucket);
	}

	return bucket;
}

/** Share of all instances whose use this account has. One that has just started counts little until what ran in its place has left the window. */
export function memberShare({state, nowMs}: EntryContext, account: QuotaAccount): number {
	if (nowMs - account.share.atMs < SHARE_INTERVAL_MS) {
		return account.share.value;
	}

	const windowMs = countedWindowMs(state.bounds);
	let sum = 0;
	for (const [id, member] of account.members) {
		// Beacons do not show that an instance still asks a deputy.
		const beaconAtMs = account.isDeputy ? undefined : state.peers.get(id)?.beaconReceivedAtMs;
		const heardAtMs = id === state.self.id && !account.isDeputy ? nowMs : Math.max(member.heardAtMs, beaconAtMs ?? Number.NEGATIVE_INFINITY);
		if (nowMs - heardAtMs >= MEMBER_RETENTION_MS) {
			account.members.delete(id);
		} else if (nowMs - heardAtMs < (account.isDeputy ? DEPUTY_MEMBER_SILENT_MS : MEMBER_SILENT_MS)) {
			sum += Math.min(1, (nowMs - member.sinceMs) / windowMs);
		}
	}

	const value = Math.min(1, sum / Math.max(1, countInstances(state, nowMs))) * (account.isDeputy ? DEPUTY_SHARE : 1);
	account.share = {value, atMs: nowMs};
	return value;
}
