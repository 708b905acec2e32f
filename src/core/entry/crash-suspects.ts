/**
Quarantine of requests that crash the targets that run them. The fingerprints of a
request become suspects when its connection breaks, and count as evidence once the target
turns out to have gone down: it leaves the registry, comes back as a new incarnation, or
refuses connections while other targets of its service answer. A request that brings a
fingerprint at fault is refused by every instance, at each point at which it could be
sent to a target.
*/
import {QUARANTINE_CRASHES, type CrashRecord, type Fingerprint} from '../request/crash-evidence.js';
import {refuse} from './closing.js';
import {type EntryEventOf} from './event.js';
import {currentTry, openTries, openTry} from './open-tries.js';
import {culpritOf, fingerprintsOf, quarantineRefusal} from './quarantine.js';
import {markReached, recordUnreached} from './reachability.js';
import {logEvent, type EntryContext} from './state.js';
import {isListed, type Target} from './target.js';
import {targetsOf} from './targets.js';
import {type EntryRequest, type EntryTry} from './types.js';

/** A refused connection shows a crash at once; the registry shows it after three missed heartbeats plus its lag. */
const CRASH_DETECTION_MS = 6000;
const MAX_SUSPECTS = 256;
/** Several beacon intervals, so that a lost beacon does no harm. Peers that miss them all pull what they lack. */
const ANNOUNCE_MS = 1500;
/** What was learned from a peer is passed on for fewer rounds, since others pass it on as well. */
const PASS_ON_MS = 600;
/** A stream that has gone on for so long after its first event has not crashed its target: crashes follow the beginning of an answer. */
const SURVIVAL_MS = 500;
/** An answer that survived so shortly before a crash clears its fingerprints of it. */
const SURVIVAL_VALID_MS = 5000;

/** What shows that a target went down: it refuses connections, leaves the registry, or is listed with a new incarnation. */
export type CrashSign = 'refused' | 'unlisted' | 'restarted';

/** Refuses a request that would be sent to a target if it brings a fingerprint at fault. Returns whether it does. */
export function refuseIfQuarantined(context: EntryContext, request: EntryRequest): boolean {
	const culprit = culpritOf(context, request);
	if (culprit === undefined) {
		return false;
	}

	refuse(context, request, quarantineRefusal(context, culprit, request.mayHaveRun || currentTry(request) !== undefined));
	return true;
}

/** The request's connection to the target broke, or the target went silent: suspected until it is known whether the target went down. */
export function addSuspect({state, nowMs}: EntryContext, target: Target, {arrival}: EntryRequest): void {
	if (target.suspects.length >= MAX_SUSPECTS) {
		target.suspects.shift();
	}

	target.suspects.push({fingerprints: fingerprintsOf(arrival), atMs: nowMs});
	state.suspectedTargets.add(target.id);
	state.probedTargets.add(target.id);
}

/** Records that an answer has begun and gone on, or is whole, which clears what its request shares with others. */
export function recordSurvival(context: EntryContext, {arrival}: EntryRequest): void {
	const {state, nowMs} = context;
	for (const fingerprint of fingerprintsOf(arrival)) {
		state.survivals.set(fingerprint, nowMs);
		if (state.crashEvidence.blame(fingerprint) > 0) {
			announce(context, state.crashEvidence.clear(fingerprint));
		}
	}
}

/** Whether a stream has gone on for long enough after its first event. */
export function hasSurvived({beganAtMs}: EntryTry, nowMs: number): boolean {
	return beganAtMs !== undefined && nowMs - beganAtMs >= SURVIVAL_MS;
}

/** The target went down: blames what ran there shortly before, or still waits for an answer from there. */
export function recordTargetCrash(context: EntryContext, target: Target, sign: CrashSign): void {
	const {state, nowMs} = context;
	state.suspectedTargets.delete(target.id);
	const broken = target.suspects.splice(0).filter(({atMs}) => nowMs - atMs < CRASH_DETECTION_MS).flatMap(({fingerprints}) => fingerprints);
	const suspects = new Set([...broken, ...unansweredFingerprints(context, target)]);
	const blamed = [...suspects].filter(fingerprint => nowMs - (state.survivals.get(fingerprint) ?? Number.NEGATIVE_INFINITY) >= SURVIVAL_VALID_MS);
	if (broken.length === 0 || blamed.length === 0) {
		return;
	}

	const {entry: {incarnation}} = target;
	logEvent(context, 'target-crashed', {
		targetId: target.id, incarnation, sign, suspects: suspects.size, blamed,
	});
	const key = state.crashEvidence.add({
		targetId: target.id, incarnation, agoMs: 0, suspects: blamed, cleared: [],
	}, nowMs);
	announce(context, key === undefined ? [] : [key]);
	logQuarantines(context, blamed);
	refuseQuarantined(context);
}

/** Fingerprints of this instance's requests at a target that have no answer yet. */
function unansweredFingerprints({state}: EntryContext, target: Target): Fingerprint[] {
	return [...target.inFlight]
		.map(([id, tryNumber]) => ({request: state.open.get(id), tryNumber}))
		.flatMap(({request, tryNumber}) => request && !openTry(request, tryNumber)?.hasBegun ? fingerprintsOf(request.arrival) : []);
}

/** Adds what peers know of crashes. */
export function mergeCrashes(context: EntryContext, records: readonly CrashRecord[]): void {
	const {state, nowMs} = context;
	const learned: string[] = [];
	const cleared: string[] = [];
	for (const record of records) {
		const key = state.crashEvidence.add(record, nowMs);
		if (key === undefined) {
			continue;
		}

		learned.push(key);
		for (const fingerprint of record.suspects) {
			if (nowMs - (state.survivals.get(fingerprint) ?? Number.NEGATIVE_INFINITY) < SURVIVAL_VALID_MS && state.crashEvidence.blame(fingerprint) > 0) {
				cleared.push(...state.crashEvidence.clear(fingerprint));
			}
		}
	}

	passOn(context, [...learned, ...cleared]);
	if (learned.length > 0) {
		logEvent(context, 'crash-learned', {crashes: learned});
		logQuarantines(context, records.flatMap(({suspects}) => suspects));
		refuseQuarantined(context);
	}
}

/** Logs the fingerprints that this crash has put at fault. */
function logQuarantines(context: EntryContext, fingerprints: readonly Fingerprint[]): void {
	for (const fingerprint of new Set(fingerprints)) {
		if (context.state.crashEvidence.blame(fingerprint) === QUARANTINE_CRASHES) {
			logEvent(context, 'request-crash-refused', {fingerprint, crashes: QUARANTINE_CRASHES});
		}
	}
}

/** Refuses the open requests that must not be sent any more, and cancels those whose answer has not begun. */
function refuseQuarantined(context: EntryContext): void {
	for (const request of context.state.open.values()) {
		if (!openTries(request).some(({hasBegun}) => hasBegun)) {
			refuseIfQuarantined(context, request);
		}
	}
}

/** Puts the crashes into the next beacons, the first of which goes out at the next tick, also to other zones. */
function announce({state, nowMs}: EntryContext, keys: readonly string[]): void {
	for (const key of keys) {
		state.crashesToAnnounce.set(key, nowMs + ANNOUNCE_MS);
		state.crashNewsUntilMs = nowMs + ANNOUNCE_MS;
		state.beaconsSentAtMs = Number.NEGATIVE_INFINITY;
	}
}

/** Puts the crashes into the beacons that are sent anyway. All instances of a large deployment learn of the same crash at once. */
function passOn({state, nowMs}: EntryContext, keys: readonly string[]): void {
	for (const key of keys) {
		state.crashesToAnnounce.set(key, Math.max(state.crashesToAnnounce.get(key) ?? 0, nowMs + PASS_ON_MS));
	}
}

/** Forgets suspects whose crash would have shown by now. */
export function expireSuspects({state, nowMs}: EntryContext): void {
	for (const id of state.suspectedTargets) {
		const newestMs = state.targets.get(id)?.suspects.at(-1)?.atMs ?? Number.NEGATIVE_INFINITY;
		if (nowMs - newestMs >= CRASH_DETECTION_MS) {
			state.suspectedTargets.delete(id);
		}
	}
}

/** A target that accepts connections has not gone down; its suspects stay, since the registry may show otherwise. */
export function handleTargetProbed(context: EntryContext, {targetId, incarnation, outcome}: EntryEventOf<'target-probed'>): void {
	const {state} = context;
	const target = state.targets.get(targetId);
	if (target?.entry.incarnation !== incarnation) {
		return;
	}

	target.probe.isPending = false;
	if (outcome === 'unanswered') {
		target.probe.unansweredSinceMs ??= target.probe.sentAtMs;
	} else {
		target.probe.unansweredSinceMs = undefined;
		target.probe.answeredAtMs = context.nowMs;
	}

	if (outcome === 'accepted') {
		state.suspectedTargets.delete(targetId);
		target.probe.refusedAtMs = undefined;
		markReached(context, target);
		return;
	}

	recordUnreached(context, target, {sinceMs: target.probe.sentAtMs, isRefused: outcome === 'refused'});
	// One that leaves refuses connections in the end without having crashed.
	if (outcome === 'refused' && isListed(target, context.nowMs)) {
		recordRefusal(context, target);
	}
}

/**
A target refuses connections. Where this instance is cut off, all targets may appear to do so. It counts as a crash only
if another target of the service has answered since an earlier refusal.
*/
export function recordRefusal(context: EntryContext, target: Target): void {
	const {nowMs, state} = context;
	const {refusedAtMs} = target.probe;
	const brokenAtMs = target.suspects.at(-1)?.atMs ?? Number.NEGATIVE_INFINITY;
	if (refusedAtMs === undefined || refusedAtMs < Math.max(target.heardAtMs, brokenAtMs)) {
		target.probe.refusedAtMs = nowMs;
	} else if (targetsOf(state, target.entry.service).some(({id, heardAtMs}) => id !== target.id && heardAtMs > refusedAtMs)) {
		target.probe.refusedAtMs = undefined;
		recordTargetCrash(context, target, 'refused');
	}
}
