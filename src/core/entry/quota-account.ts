/**
The account of quotas that the lease holder keeps for all instances. Instances tell it
what they used before its time, so that a new holder knows the use of the window. It
gives out the share of a limit that belongs to the instances it has heard from: others
may go on without it, or what ran in their place may have used units that nobody knows of.
*/
import {type HeldLease} from './lease-state.js';
import {
	type AskedQuota, type GrantedQuota, type QuotaAsk, type QuotaGrant, type QuotaLevels,
} from './peer-messages.js';
import {countInstances} from './peers.js';
import {countedWindowMs, QuotaBucket, type QuotaLimit} from './quota-bucket.js';
import {type QuotaAccount, type QuotaMember} from './quota-state.js';
import {formatLevel, quotaIndex} from './quota-index.js';
import {logEvent, type EntryContext} from './state.js';

/** Periods into which an instance divides the window when it tells what it has used. */
export const HISTORY_PERIODS = 4;
const SHARE_INTERVAL_MS = 250;
/** Workspaces whose levels an answer names. Those of others are not known beforehand, so that their requests wait for an answer. */
const MAX_LEVELS = 64;
/** Beacons reach the holder every 1.5 s from a large zone. An instance that is cut off from it goes on by itself. */
const MEMBER_SILENT_MS = 2500;
/** A member silent for this long has been replaced. */
const MEMBER_RETENTION_MS = 60_000;

/** Undefined if the ask is for another holder, or an older one than the sender's last. */
export function answerAsk(context: EntryContext, held: HeldLease, ask: QuotaAsk): QuotaGrant | undefined {
	if (ask.epoch !== held.epoch) {
		return undefined;
	}

	const account = accountOf(context, held);
	const known = account.members.get(ask.from);
	const isNew = known?.boot !== ask.boot;
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
		grantNumber: ask.askNumber, epoch: held.epoch, quotas, levels: describeLevels(context, account),
	};
}

/** What the holder's beacons say of quotas; undefined if there are none. */
export function announcedLevels(context: EntryContext, held: HeldLease): QuotaLevels | undefined {
	return quotaIndex(context.state).size === 0 ? undefined : describeLevels(context, accountOf(context, held));
}

/** Levels of all workspaces, so that an instance knows them before it has requests of theirs. */
function describeLevels(context: EntryContext, account: QuotaAccount): QuotaLevels {
	const {state, nowMs} = context;
	const share = memberShare(context, account);
	const limits = quotaIndex(state);
	const levels = state.quotas.index.names.slice(0, MAX_LEVELS).map(name => {
		const bucket = bucketOf(account, name, limits.get(name)!.limit, nowMs);
		return formatLevel({isOpen: bucket.tellOpen(nowMs, share), usedShare: bucket.usedShare(nowMs)});
	}).join('');
	return {configurationVersion: state.configuration?.version ?? 0, levels};
}

function accountOf(context: EntryContext, {epoch}: HeldLease): QuotaAccount {
	const {quotas} = context.state;
	if (quotas.account?.epoch !== epoch) {
		quotas.account = {
			epoch, members: new Map(), buckets: new Map(), share: {value: 0, atMs: Number.NEGATIVE_INFINITY},
		};
		logEvent(context, 'quota-account-opened', {epoch, instances: countInstances(context.state, context.nowMs)});
	}

	return quotas.account;
}

function addMember({nowMs}: EntryContext, account: QuotaAccount, {from, boot, upMs}: QuotaAsk): QuotaMember {
	const earlier = account.members.get(from);
	const member: QuotaMember = {
		// This account has what an earlier process in its place used.
		boot, sinceMs: Math.min(earlier?.sinceMs ?? Number.POSITIVE_INFINITY, nowMs - upMs), heardAtMs: nowMs, lastAsk: 0, used: new Map(),
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
		const heardAtMs = id === state.self.id ? nowMs : Math.max(member.heardAtMs, state.peers.get(id)?.beaconReceivedAtMs ?? Number.NEGATIVE_INFINITY);
		if (nowMs - heardAtMs >= MEMBER_RETENTION_MS) {
			account.members.delete(id);
		} else if (nowMs - heardAtMs < MEMBER_SILENT_MS) {
			sum += Math.min(1, (nowMs - member.sinceMs) / windowMs);
		}
	}

	const value = Math.min(1, sum / Math.max(1, countInstances(state, nowMs)));
	account.share = {value, atMs: nowMs};
	return value;
}
