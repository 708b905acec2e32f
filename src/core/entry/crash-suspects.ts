/**
Quarantine of requests that crash the targets that execute them. The content of a
request becomes a suspect when its connection breaks, and gets a crash counted once
the target turns out to have gone down: it refuses connections, leaves the registry or
comes back as a new incarnation. Content with three crashes is refused by every
instance.
*/
import {logEvent, type EntryContext} from './state.js';
import {type Target} from './target.js';

/** The deployment tolerates the loss of three targets to one request. */
const QUARANTINE_CRASHES = 3;
/** A refused connection shows a crash at once; the registry shows it after three missed heartbeats plus its lag. */
const CRASH_DETECTION_MS = 6000;
const MAX_SUSPECTS = 256;
/** Several beacon intervals, so that a lost beacon does no harm. */
const ANNOUNCE_MS = 1500;

/** What shows that a target went down: it refuses connections, leaves the registry, or is listed with a new incarnation. */
export type CrashEvidence = 'unreachable' | 'unlisted' | 'restarted';

export function isQuarantined({state}: EntryContext, contentHash: string): boolean {
	return (state.crashes.get(contentHash) ?? 0) >= QUARANTINE_CRASHES;
}

export function addSuspect({nowMs}: EntryContext, target: Target, contentHash: string): void {
	if (target.suspects.length < MAX_SUSPECTS) {
		target.suspects.push({contentHash, atMs: nowMs});
	}
}

/** Clears the crash count of content that ran to completion. */
export function clearCrashCount({state}: EntryContext, contentHash: string): void {
	state.crashes.delete(contentHash);
	state.crashesToAnnounce.delete(contentHash);
}

/** The target went down: counts a crash for the suspects that ran there shortly before. */
export function recordTargetCrash(context: EntryContext, target: Target, evidence: CrashEvidence): void {
	const {state, nowMs} = context;
	const recent = target.suspects.filter(({atMs}) => nowMs - atMs < CRASH_DETECTION_MS);
	if (recent.length > 0) {
		logEvent(context, 'target-crashed', {
			targetId: target.id, incarnation: target.entry.incarnation, evidence, suspects: recent.map(({contentHash}) => contentHash), brokenAgoMs: Math.round(nowMs - Math.min(...recent.map(({atMs}) => atMs))),
		});
	}

	for (const {contentHash, atMs} of target.suspects.splice(0)) {
		if (nowMs - atMs < CRASH_DETECTION_MS) {
			setCrashCount(context, contentHash, (state.crashes.get(contentHash) ?? 0) + 1);
		}
	}
}

/** Adopts a peer's count if it is higher than the local one. */
export function mergeCrashCount(context: EntryContext, contentHash: string, crashes: number): void {
	if (crashes > (context.state.crashes.get(contentHash) ?? 0)) {
		context.state.crashes.set(contentHash, crashes);
		logEvent(context, 'crash-learned', {contentHash, crashes});
	}
}

function setCrashCount(context: EntryContext, contentHash: string, crashes: number): void {
	const {state} = context;
	state.crashes.set(contentHash, crashes);
	state.crashesToAnnounce.set(contentHash, context.nowMs + ANNOUNCE_MS);
	if (crashes === QUARANTINE_CRASHES) {
		logEvent(context, 'request-crash-refused', {contentHash, crashes});
	}
}
