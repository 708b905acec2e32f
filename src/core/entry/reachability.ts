/**
Which targets this instance reaches. A target whose connection cannot be opened is
unreached until a connection is accepted or something is heard from it; it is probed
meanwhile, since requests go elsewhere. If one target is unreached, a few others of its
service are probed at once, and the rest if none of these is reached, so that a network
partition of this instance shows before requests have tried them all, and a target that is
down does not make every instance probe every other one. If all targets of a service are
unreached, a few of each other service are probed, too.
*/
import {type TargetId} from '../types.js';
import {recordFound, reportUnreached} from './dark-targets.js';
import {beginPace} from './pace.js';
import {
	logEvent, randomFraction, type EntryContext, type EntryState,
} from './state.js';
import {isListed, type Target} from './target.js';
import {targetsOf} from './targets.js';

/** Interval of probes to an unreached target: a partition that heals is noticed soon. */
const UNREACHED_PROBE_INTERVAL_MS = 500;
/** Interval of probes to a target that may have gone down, since requests with what it ran are on their way to others. */
const SUSPECTED_PROBE_INTERVAL_MS = 100;
/** A target heard from within this time need not be probed when another one is unreached. */
const RECENTLY_HEARD_MS = 300;
/** Enough for a target that is down, and a neighbour of it, not to look like a partition of this instance. */
const SAMPLE_TARGETS = 3;
/** A target that was unreached for less may have missed a single connection. */
const PACED_AFTER_MS = 400;

/** Something came from the target. */
export function recordHeard(context: EntryContext, target: Target): void {
	target.heardAtMs = context.nowMs;
	markReached(context, target);
}

/** A connection that was begun at `sinceMs` could not be opened. */
export function recordUnreached(context: EntryContext, target: Target, {sinceMs, isRefused}: {readonly sinceMs: number; readonly isRefused: boolean}): void {
	const {state, nowMs} = context;
	if (target.unreachedSinceMs !== undefined || target.heardAtMs > sinceMs) {
		return;
	}

	target.unreachedSinceMs = sinceMs;
	if (!isRefused) {
		// One that refuses connections has ended. Each instance finds that out by itself: whether a request crashed it is judged
		// by those that had sent it one, and requests that move at once would crash others before that is known.
		reportUnreached(context, target, sinceMs);
	}

	state.probedTargets.add(target.id);
	const service = targetsOf(state, target.entry.service).filter(other => isListed(other, nowMs));
	for (const other of targetsToProbe(context, target, service, sinceMs)) {
		other.probe.isWanted = true;
		state.probedTargets.add(other.id);
	}

	if (service.length > 0 && service.every(other => other.unreachedSinceMs !== undefined)) {
		logEvent(context, 'service-unreached', {service: target.entry.service, targets: service.length, lastHeardAgoMs: lastHeardAgoMs(service, nowMs)});
		state.unreachedServices.add(target.entry.service);
		// Peers that look for an instance that reaches the service learn of it at the next tick.
		state.beaconsSentAtMs = Number.NEGATIVE_INFINITY;
		probeOtherServices(context, target.entry.service, sinceMs);
	}
}

/** The partition that separates this instance from all targets of one service probably separates it from those of the others. */
function probeOtherServices(context: EntryContext, unreached: string, sinceMs: number): void {
	const {state, nowMs} = context;
	const services = new Set(Array.from(state.targets.values(), ({entry}) => entry.service));
	services.delete(unreached);
	for (const service of services) {
		const targets = targetsOf(state, service).filter(target => isListed(target, nowMs));
		const isKnown = targets.some(target => target.unreachedSinceMs !== undefined || target.probe.isWanted || wasReached(target, sinceMs));
		for (const target of isKnown ? [] : sampleOf(context, targets)) {
			target.probe.isWanted = true;
			state.probedTargets.add(target.id);
		}
	}
}

function wasReached({heardAtMs, probe}: Target, sinceMs: number): boolean {
	return Math.max(heardAtMs, probe.answeredAtMs) > sinceMs;
}

/** Which other targets of a service show whether this instance is cut off from it, after a connection to one, begun at `sinceMs`, could not be opened. */
function targetsToProbe(context: EntryContext, unreached: Target, service: readonly Target[], sinceMs: number): readonly Target[] {
	const {nowMs} = context;
	const others = service.filter(({unreachedSinceMs}) => unreachedSinceMs === undefined);
	const isSampled = others.some(({probe}) => probe.isWanted);
	if (isSampled || others.some(other => wasReached(other, sinceMs))) {
		// The answers of the sample are awaited, or another target has been reached meanwhile.
		return [];
	}

	const candidates = others.filter(({heardAtMs}) => nowMs - heardAtMs >= RECENTLY_HEARD_MS);
	if (unreached.probe.isWanted) {
		// It was the last of the sample, and none of it was reached.
		return candidates;
	}

	return sampleOf(context, candidates);
}

/** A few targets, of the own zone first and those heard longest ago. */
function sampleOf(context: EntryContext, targets: readonly Target[]): readonly Target[] {
	const {self} = context.state;
	return targets
		.map(target => ({
			target, zoneRank: target.entry.zone === self.zone ? 0 : 1, heardAtMs: target.heardAtMs, tieBreak: randomFraction(context),
		}))
		.toSorted((a, b) => a.zoneRank - b.zoneRank || compare(a.heardAtMs, b.heardAtMs) || a.tieBreak - b.tieBreak)
		.slice(0, SAMPLE_TARGETS)
		.map(({target}) => target);
}

/** Unlike a difference, also defined for two times of minus infinity. */
function compare(a: number, b: number): number {
	return a === b ? 0 : (a < b ? -1 : 1);
}

export function markReached(context: EntryContext, target: Target): void {
	const {state} = context;
	target.probe.isWanted = false;
	target.probe.unansweredSinceMs = undefined;
	const unreachedForMs = Math.round(context.nowMs - (target.unreachedSinceMs ?? context.nowMs));
	target.unreachedSinceMs = undefined;
	recordFound(context, target);
	if (unreachedForMs >= PACED_AFTER_MS) {
		beginPace(context, target, 'reached');
	}

	if (state.unreachedServices.delete(target.entry.service)) {
		logEvent(context, 'service-reached', {service: target.entry.service, targetId: target.id, unreachedForMs});
		state.beaconsSentAtMs = Number.NEGATIVE_INFINITY;
	}
}

/** Whether no listed target of any service has been reached since a time, and there are some. */
export function isCutOff({targets}: EntryState, sinceMs: number): boolean {
	let listed = 0;
	for (const target of targets.values()) {
		if (isListed(target, sinceMs)) {
			listed++;
			if (target.unreachedSinceMs === undefined || target.unreachedSinceMs > sinceMs) {
				return false;
			}
		}
	}

	return listed > 0;
}

/** Ids of the targets that this instance cannot open a connection to. */
export function unreachedTargets({targets, probedTargets}: EntryState): TargetId[] {
	return [...probedTargets].filter(id => targets.get(id)?.unreachedSinceMs !== undefined);
}

/** Probes the targets that are unreached, that are about to be known as such, or that may have gone down. */
export function probeTargets(context: EntryContext): void {
	const {state, nowMs, effects} = context;
	for (const id of state.probedTargets) {
		const target = state.targets.get(id);
		const isSuspected = state.suspectedTargets.has(id);
		// One that is not listed is probed only while requests wait there.
		const isProbed = target && (target.probe.isWanted || (isListed(target, nowMs) && (isSuspected || target.unreachedSinceMs !== undefined)));
		if (!isProbed) {
			state.probedTargets.delete(id);
			if (target) {
				// Unlisted, or reached; one that is listed again may be reached.
				target.unreachedSinceMs = undefined;
			}

			continue;
		}

		const intervalMs = isSuspected ? SUSPECTED_PROBE_INTERVAL_MS : UNREACHED_PROBE_INTERVAL_MS;
		if (!target.probe.isPending && nowMs - target.probe.sentAtMs >= intervalMs) {
			target.probe.sentAtMs = nowMs;
			target.probe.isPending = true;
			effects.push({
				kind: 'probe-target', targetId: id, address: target.entry.address, incarnation: target.entry.incarnation,
			});
		}
	}
}

function lastHeardAgoMs(targets: readonly Target[], nowMs: number): number | undefined {
	const heardAtMs = Math.max(...targets.map(target => target.heardAtMs));
	return Number.isFinite(heardAtMs) ? Math.round(nowMs - heardAtMs) : undefined;
}
