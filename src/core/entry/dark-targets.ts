/**
Targets that no connection can be opened to, as all instances of a zone know them. An
instance that cannot open a connection tells its zone at once, and the others do not try
that target until one of them reaches it again. A target is not given up for all because
one instance is cut off: its word counts alone only if it reaches others of the service;
otherwise several must agree. Who has heard from the target since contradicts.
Requests in flight at such a target move to another one if they may be repeated.
*/
import {type InstanceId} from '../types.js';
import {liveInstances} from './peers.js';
import {type Beacon, type LoadAnnouncement, type UnreachedTarget} from './peer-messages.js';
import {logEvent, type EntryContext} from './state.js';
import {isListed, type Target} from './target.js';
import {targetsOf} from './targets.js';
import {sendBeside} from './silence.js';

/** Reports that are not renewed end after this time: beacons renew them, and reach each peer of a zone of 39 every 1.5 s. */
const REPORT_VALID_MS = 2500;
/** Another target of the service that was heard from this long before the failure shows that the instance is not cut off. */
const REACHES_OTHERS_MS = 1000;
/** Instances that must agree if none of them reaches others of the service; all of the zone if there are fewer, but at least two. */
const AGREEING = 3;
/** Time for instances that hear from the target to contradict, before requests are moved away from it. */
const CONTRADICTION_MS = 100;
/** A try without progress for less is probably not affected. */
const MIN_QUIET_MS = 250;
/** Largest number of peers that are told; the largest zones have 39. */
const MAX_RECEIVERS = 40;
/** Least time between two contradictions of one instance about one target. */
const CONTRADICTION_INTERVAL_MS = 300;

export type DarkReport = {
	/** When the failed attempt began. */
	readonly sinceMs: number;
	readonly reachesOthers: boolean;
	toldAtMs: number;
};

/** Tells the zone that this instance cannot open a connection to a target. */
export function reportUnreached(context: EntryContext, target: Target, sinceMs: number): void {
	const {state, nowMs} = context;
	if (!state.mechanisms.has('shared-reachability') || !isListed(target, nowMs)) {
		return;
	}

	const reachesOthers = reachesOtherTargets(context, target, sinceMs);
	target.darkReports.set(state.self.id, {sinceMs, reachesOthers, toldAtMs: nowMs});
	announce(context, {unreached: [[target.id, target.entry.incarnation, Math.max(0, Math.round(nowMs - sinceMs)), reachesOthers]]});
	updateDark(context, target);
}

/** The target was reached, or something was heard from it. */
export function recordFound(context: EntryContext, target: Target): void {
	if (target.darkReports.size > 0) {
		announce(context, {reached: [target.id]});
		target.darkReports.clear();
		updateDark(context, target);
	}
}

export function adoptUnreached(context: EntryContext, {from, unreached = [], reached = []}: LoadAnnouncement): void {
	for (const news of unreached) {
		adoptReport(context, from, news);
	}

	for (const id of reached) {
		const target = context.state.targets.get(id);
		if (target) {
			target.darkReports.clear();
			target.reachedByPeerAtMs = context.nowMs;
			updateDark(context, target);
			// This instance learns by its next probe whether it reaches the target, too.
			target.probe.sentAtMs = target.unreachedSinceMs === undefined ? target.probe.sentAtMs : Number.NEGATIVE_INFINITY;
		}
	}
}

function adoptReport(context: EntryContext, from: InstanceId, [targetId, incarnation, sinceAgoMs, reachesOthers]: UnreachedTarget): void {
	const {state, nowMs} = context;
	const target = state.targets.get(targetId);
	if (target?.entry.incarnation !== incarnation || !state.mechanisms.has('shared-reachability')) {
		return;
	}

	const sinceMs = nowMs - sinceAgoMs;
	if (target.heardAtMs > sinceMs) {
		if (nowMs - target.contradictedAtMs >= CONTRADICTION_INTERVAL_MS) {
			target.contradictedAtMs = nowMs;
			announce(context, {reached: [targetId]});
		}

		return;
	}

	// A contradiction may overtake what it contradicts.
	if (target.reachedByPeerAtMs > sinceMs) {
		return;
	}

	target.darkReports.set(from, {sinceMs, reachesOthers, toldAtMs: nowMs});
	updateDark(context, target);
}

/** Beacons name the targets that their sender still does not reach. */
export function renewReports({state, nowMs}: EntryContext, {from, unreached = []}: Beacon): void {
	for (const id of unreached) {
		const report = state.targets.get(id)?.darkReports.get(from.id);
		if (report) {
			report.toldAtMs = nowMs;
		}
	}
}

/** Drops reports that have not been renewed, and sends requests that wait at dark targets to others as well. */
export function watchDarkTargets(context: EntryContext): void {
	const {state, nowMs} = context;
	for (const id of state.reportedTargets) {
		const target = state.targets.get(id);
		if (!target) {
			state.reportedTargets.delete(id);
			continue;
		}

		const own = target.darkReports.get(state.self.id);
		if (own && target.unreachedSinceMs !== undefined) {
			own.toldAtMs = nowMs;
		}

		for (const [from, {toldAtMs}] of target.darkReports) {
			if (nowMs - toldAtMs >= REPORT_VALID_MS) {
				target.darkReports.delete(from);
			}
		}

		updateDark(context, target);
		if (target.darkSinceMs !== undefined && nowMs - target.darkSinceMs >= CONTRADICTION_MS) {
			sendElsewhere(context, target);
		}
	}
}

function updateDark(context: EntryContext, target: Target): void {
	const {state, nowMs} = context;
	if (target.darkReports.size === 0) {
		state.reportedTargets.delete(target.id);
	} else {
		state.reportedTargets.add(target.id);
	}

	const isDark = isAgreed(context, target);
	if (isDark === (target.darkSinceMs !== undefined)) {
		return;
	}

	const reports = [...target.darkReports].map(([id, {reachesOthers}]) => `${id}:${reachesOthers ? 'reaches others' : 'alone'}`);
	if (isDark) {
		target.darkSinceMs = nowMs;
		logEvent(context, 'target-dark', {
			targetId: target.id, incarnation: target.entry.incarnation, reports, inFlight: target.inFlight.size, heardAgoMs: Number.isFinite(target.heardAtMs) ? Math.round(nowMs - target.heardAtMs) : undefined,
		});
	} else {
		logEvent(context, 'target-found', {targetId: target.id, darkForMs: Math.round(nowMs - target.darkSinceMs!), reports});
		target.darkSinceMs = undefined;
	}
}

/** Whether the reports suffice. Those of instances that reach no target at all do not count. */
function isAgreed({state, nowMs}: EntryContext, {darkReports}: Target): boolean {
	if (darkReports.size === 0) {
		return false;
	}

	const counted = [...darkReports].filter(([id]) => !state.peers.get(id)?.isCutOff);
	if (counted.some(([, {reachesOthers}]) => reachesOthers)) {
		return true;
	}

	const inZone = liveInstances(state, nowMs).filter(({zone}) => zone === state.self.zone).length;
	return counted.length >= Math.max(2, Math.min(AGREEING, inZone));
}

function reachesOtherTargets({state, nowMs}: EntryContext, target: Target, sinceMs: number): boolean {
	return targetsOf(state, target.entry.service).some(other => other.id !== target.id && isListed(other, nowMs) && other.unreachedSinceMs === undefined && other.heardAtMs > sinceMs - REACHES_OTHERS_MS);
}

function sendElsewhere(context: EntryContext, target: Target): void {
	const {state, nowMs} = context;
	for (const [requestId, tryNumber] of target.inFlight) {
		const request = state.open.get(requestId);
		const attempt = request?.tries[tryNumber - 1];
		if (request?.route.repeat === 'idempotent' && attempt && nowMs - attempt.progressAtMs >= MIN_QUIET_MS) {
			sendBeside(context, request, attempt);
		}
	}
}

/** Sends at once what the zone has to know. */
function announce({state, nowMs, effects}: EntryContext, news: Pick<LoadAnnouncement, 'unreached' | 'reached'>): void {
	const addresses = liveInstances(state, nowMs)
		.filter(({id, zone}) => id !== state.self.id && zone === state.self.zone)
		.slice(0, MAX_RECEIVERS)
		.map(({beaconAddress}) => beaconAddress);
	if (addresses.length > 0 && state.mechanisms.has('shared-reachability')) {
		effects.push({kind: 'announce-load', addresses, announcement: {from: state.self.id, loads: [], ...news}});
	}
}
