/**
Finds the pace of a target that has just started, or has come back from being unreachable
or from failures: a limit on the requests at it from all instances together. It starts at
a share of what the others of its service carry, grows with good responses, shrinks with
failures and slow ones, and ends when it reaches the target's slots. Instances share it
without a message for each request: each keeps its part of the whole limit, and tells its
zone when the limit has changed by a fifth. Of two limits the one after more failures
holds, and otherwise the larger, so that they converge in whatever order they arrive.
*/
import fnv1a from '@sindresorhus/fnv1a';
import {type AnnouncedPace, type LoadAnnouncement} from './peer-messages.js';
import {countInstances, liveInstances} from './peers.js';
import {logEvent, type EntryContext, type EntryState} from './state.js';
import {estimatedLoad, isUsable, type Target} from './target.js';
import {targetsOf} from './targets.js';

export type PaceMode = 'off' | 'adaptive';

/** What begins a limit. */
export type PaceReason = 'appeared' | 'restarted' | 'reached' | 'closed' | 'failing';

export type PaceLimit = {
	/** Requests at the target from all instances together. */
	limit: number;
	/** Grows with each failure, so that limits from before one are told apart. */
	epoch: number;
	/** Whether it has shrunk since it began. */
	hasFailed: boolean;
	readonly beganAtMs: number;
	shrunkAtMs: number;
	announcedLimit: number;
};

/** Share of the mean load of the other targets at which a limit starts. */
const START_SHARE = 0.5;
/** Share of a target's slots at which it starts at least: where little is sent to the others, their load says nothing of what a target bears. */
const START_FLOOR_SHARE = 0.25;
/** An instance that has run for so long has read the registry several times. */
const SETTLED_MS = 10_000;
/** Factors on the limit for a good response before any failure and after one, a slow one, a failure, and a failure after an earlier one. Responses come to a zone about once a second at first: with 1.25 from the start, starting engines carried 69 % of their fair share after 2 s. */
const FIRST_GOOD_FACTOR = 1.5;
const GOOD_FACTOR = 1.25;
const SLOW_FACTOR = 0.7;
const FAILURE_FACTOR = 0.5;
const SECOND_FAILURE_FACTOR = 0.25;
/** A response that took this many times what the service's others take is slow. */
const SLOW_RATIO = 2.5;
/** Factor on the limit while the target's entry says that it warms up. */
const WARM_UP_FACTOR = 0.5;
/** Failures of requests that were sent together count once. */
const SHRINK_INTERVAL_MS = 300;
/** A limit that begins so soon after the last one begins lower. */
const SECOND_WITHIN_MS = 30_000;
/** Instances take turns at the part of the limit that is less than one request for each. About as long as a request runs. */
const TURN_MS = 500;
const MIN_LIMIT = 1;
/** Follows what differs between turns, since the last characters hardly change the lower bits of this hash. Without it, few instances got most turns. */
const TURN_SUFFIX = 'turn of an instance';
/** Change of a limit that peers are told of. */
const NEWS_SHARE = 0.2;
const MAX_RECEIVERS = 40;
/** Limits that one beacon carries. */
const MAX_IN_BEACON = 8;
const HASH_RANGE = 2 ** 32;

export function beginPace(context: EntryContext, target: Target, reason: PaceReason): void {
	const {state, nowMs} = context;
	// An instance that has just started lists targets that have run for long.
	const isOwnStart = reason === 'appeared' && nowMs - state.startedAtMs < SETTLED_MS;
	if (state.paceMode === 'off' || isOwnStart || target.pace !== undefined) {
		return;
	}

	const others = targetsOf(state, target.entry.service).filter(other => other.id !== target.id && !other.pace && isUsable(other, nowMs));
	if (others.length === 0) {
		return;
	}

	const ended = state.pacesEnded.get(target.id);
	const isSecond = ended !== undefined && nowMs - ended.atMs < SECOND_WITHIN_MS;
	const meanLoad = others.reduce((sum, other) => sum + estimatedLoad(other, nowMs), 0) / others.length;
	const limit = Math.max(MIN_LIMIT, Math.max(meanLoad * START_SHARE, target.entry.slots * START_FLOOR_SHARE) * (isSecond ? SECOND_FAILURE_FACTOR : 1));
	if (limit >= target.entry.slots) {
		return;
	}

	target.pace = {
		limit, epoch: (ended?.epoch ?? 0) + 1, hasFailed: false, beganAtMs: nowMs, shrunkAtMs: nowMs, announcedLimit: limit,
	};
	logEvent(context, 'pace-begun', {
		targetId: target.id, reason, limit: round(limit), meanLoad: round(meanLoad), others: others.length, isSecond, slots: target.entry.slots, slowLeftMs: target.entry.slowLeftMs,
	});
}

/** Whether this instance may send the target another request; out of its turn one is allowed where no other target serves it. */
export function paceAllows({state, nowMs}: Pick<EntryContext, 'state' | 'nowMs'>, target: Target, isOnlyChoice = false): boolean {
	if (!target.pace) {
		return true;
	}

	const own = Math.max(isOnlyChoice ? 1 : 0, ownShare(state, target, nowMs));
	return estimatedLoad(target, nowMs) < effectiveLimit(target) && target.inFlight.size < own;
}

function effectiveLimit({pace, entry}: Target): number {
	return Math.max(MIN_LIMIT, (pace?.limit ?? entry.slots) * (entry.slowLeftMs > 0 ? WARM_UP_FACTOR : 1));
}

/** Requests that this instance may have at the target: its part of the limit, whose fraction goes round by hashes, so that all parts add up to about the limit. */
export function ownShare(state: EntryState, target: Target, nowMs: number): number {
	const share = effectiveLimit(target) / Math.max(1, countInstances(state, nowMs));
	const whole = Math.floor(share);
	const turn = Number(fnv1a(`${target.id} ${state.self.id} ${Math.floor(nowMs / TURN_MS)} ${TURN_SUFFIX}`, {size: 32})) / HASH_RANGE;
	return whole + (turn < share - whole ? 1 : 0);
}

/** A response that was whole; `ratio` compares its time with that of the service's others, undefined if that is not known. */
export function recordPaceAnswer(context: EntryContext, target: Target, ratio: number | undefined): void {
	const {pace} = target;
	if (!pace) {
		return;
	}

	if (ratio !== undefined && ratio > SLOW_RATIO) {
		shrink(context, target, {factor: SLOW_FACTOR, cause: 'slow', ratio});
		return;
	}

	pace.limit *= pace.hasFailed ? GOOD_FACTOR : FIRST_GOOD_FACTOR;
	settle(context, target);
}

/** A try that failed by the target's fault, or was shed. */
export function recordPaceFailure(context: EntryContext, target: Target, cause: string): void {
	const {pace} = target;
	if (pace) {
		shrink(context, target, {factor: pace.epoch > 1 ? SECOND_FAILURE_FACTOR : FAILURE_FACTOR, cause});
	}
}

function shrink(context: EntryContext, target: Target, {factor, cause, ratio}: {readonly factor: number; readonly cause: string; readonly ratio?: number}): void {
	const {nowMs} = context;
	const pace = target.pace!;
	if (nowMs - pace.shrunkAtMs < SHRINK_INTERVAL_MS && pace.shrunkAtMs !== pace.beganAtMs) {
		return;
	}

	const before = pace.limit;
	pace.shrunkAtMs = nowMs;
	pace.epoch++;
	pace.hasFailed = true;
	pace.limit = Math.max(MIN_LIMIT, pace.limit * factor);
	logEvent(context, 'pace-shrunk', {
		targetId: target.id, cause, limit: round(pace.limit), limitBefore: round(before), ratio: ratio === undefined ? undefined : round(ratio), epoch: pace.epoch, load: estimatedLoad(target, nowMs),
	});
	announce(context, target, pace);
}

/** Ends a limit that has reached the slots, and tells of one that has changed. */
function settle(context: EntryContext, target: Target): void {
	const {state, nowMs} = context;
	const pace = target.pace!;
	if (pace.limit >= target.entry.slots) {
		pace.limit = target.entry.slots;
		announce(context, target, pace);
		target.pace = undefined;
		state.pacesEnded.set(target.id, {epoch: pace.epoch, atMs: nowMs});
		logEvent(context, 'pace-ended', {
			targetId: target.id, tookMs: Math.round(nowMs - pace.beganAtMs), epoch: pace.epoch, slots: target.entry.slots,
		});
	} else if (Math.abs(pace.limit - pace.announcedLimit) >= pace.announcedLimit * NEWS_SHARE) {
		announce(context, target, pace);
	}
}

function announce({state, nowMs, effects}: EntryContext, {id, entry}: Target, pace: PaceLimit): void {
	pace.announcedLimit = pace.limit;
	const addresses = liveInstances(state, nowMs)
		.filter(instance => instance.id !== state.self.id && instance.zone === state.self.zone)
		.slice(0, MAX_RECEIVERS)
		.map(({beaconAddress}) => beaconAddress);
	if (addresses.length > 0) {
		effects.push({kind: 'announce-load', addresses, announcement: {from: state.self.id, loads: [], paces: [[id, entry.incarnation, pace.epoch, round(pace.limit)]]}});
	}
}

export function adoptPaces(context: EntryContext, {paces = []}: LoadAnnouncement): void {
	for (const announced of paces) {
		adoptPace(context, announced);
	}
}

/** Limits that beacons carry, which bring them to other zones. */
export function announcedPaces({targets}: EntryState): AnnouncedPace[] | undefined {
	const paces: AnnouncedPace[] = [];
	for (const {id, entry, pace} of targets.values()) {
		if (pace && paces.length < MAX_IN_BEACON) {
			paces.push([id, entry.incarnation, pace.epoch, round(pace.limit)]);
		}
	}

	return paces.length === 0 ? undefined : paces;
}

export function adoptPace(context: EntryContext, [targetId, incarnation, epoch, limit]: AnnouncedPace): void {
	const {state, nowMs} = context;
	const target = state.targets.get(targetId);
	if (state.paceMode === 'off' || target?.entry.incarnation !== incarnation) {
		return;
	}

	if (!target.pace) {
		// One that has ended here is over, unless there was a failure since.
		if (epoch > (state.pacesEnded.get(targetId)?.epoch ?? 0) && limit < target.entry.slots) {
			target.pace = {
				limit, epoch, hasFailed: false, beganAtMs: nowMs, shrunkAtMs: nowMs, announcedLimit: limit,
			};
			logEvent(context, 'pace-begun', {
				targetId, reason: 'peer', limit, epoch, slots: target.entry.slots,
			});
		}

		return;
	}

	if (epoch > target.pace.epoch || (epoch === target.pace.epoch && limit > target.pace.limit)) {
		target.pace.hasFailed ||= epoch > target.pace.epoch;
		target.pace.epoch = epoch;
		target.pace.limit = limit;
		target.pace.announcedLimit = limit;
		settle(context, target);
	}
}

function round(value: number): number {
	return Math.round(value * 100) / 100;
}
