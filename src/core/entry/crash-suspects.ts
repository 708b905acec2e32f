/**
Requests that crash the targets that run them. Content that was at a target when its
connection broke is suspected; it counts as a crash once the target proves to have
gone down: it refuses connections, leaves the registry or comes back as a new
incarnation. Content with three crashes is refused by every instance.
*/
import {logEvent, type EntryContext} from './state.js';
import {type Target} from './target.js';

/** The deployment allows three targets to be lost to one request. */
const CRASHES_REFUSED = 3;
/** A crash shows by a refused connection at once, and by the registry after three missed heartbeats and its lag. */
const PROOF_MS = 6000;
const SUSPECTS_MAX = 256;
/** Several beacons, so that a lost one does no harm. */
const TELL_MS = 1500;

export function isQuarantined({state}: EntryContext, contentHash: string): boolean {
	return (state.crashes.get(contentHash) ?? 0) >= CRASHES_REFUSED;
}

export function suspectContent({nowMs}: EntryContext, target: Target, contentHash: string): void {
	if (target.suspects.length < SUSPECTS_MAX) {
		target.suspects.push({contentHash, atMs: nowMs});
	}
}

/** Clears content that ran to its end. */
export function clearContent({state}: EntryContext, contentHash: string): void {
	state.crashes.delete(contentHash);
	state.crashesToAnnounce.delete(contentHash);
}

/** The target went down: what ran there just before may have done it. */
export function recordTargetCrash(context: EntryContext, target: Target): void {
	const {state, nowMs} = context;
	for (const {contentHash, atMs} of target.suspects.splice(0)) {
		if (nowMs - atMs < PROOF_MS) {
			setCrashes(context, contentHash, (state.crashes.get(contentHash) ?? 0) + 1);
		}
	}
}

/** Takes a peer's count over if it is larger. */
export function mergeCrashCount(context: EntryContext, contentHash: string, crashes: number): void {
	if (crashes > (context.state.crashes.get(contentHash) ?? 0)) {
		context.state.crashes.set(contentHash, crashes);
	}
}

function setCrashes(context: EntryContext, contentHash: string, crashes: number): void {
	const {state} = context;
	state.crashes.set(contentHash, crashes);
	state.crashesToAnnounce.set(contentHash, context.nowMs + TELL_MS);
	if (crashes === CRASHES_REFUSED) {
		logEvent(context, 'request-crash-refused', {contentHash, crashes});
	}
}
