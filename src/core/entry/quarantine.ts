/**
Which requests may not be sent to a target, since they bring a fingerprint that crashes
targets, and the final response to them.
*/
import {type ResultName} from '../result-codes.js';
import {type Fingerprint} from '../request/crash-evidence.js';
import {type EndReason} from './end-reasons.js';
import {holdsLease} from './lease.js';
import {logEvent, type EntryContext} from './state.js';
import {type EntryArrival, type EntryRequest} from './types.js';

/** 96 bits of a content's hash identify it. */
const CONTENT_HASH_CHARS = 16;
/** A trial has shown by then whether it crashes its target. */
const MIN_TRIAL_INTERVAL_MS = 15_000;

/** What a request has in common with others that may run at the same time. The last part of a prompt belongs to it alone. */
export function fingerprintsOf({contentHash, promptParts = []}: EntryArrival): Fingerprint[] {
	return [...promptParts.slice(0, -1).map(part => `part:${part}`), `content:${contentHash.slice(0, CONTENT_HASH_CHARS)}`];
}

/** The fingerprint at fault for which a request must not be sent to a target, undefined if it may be. The first try of a trial may. */
export function culpritOf({state}: EntryContext, {arrival, trialOf, tries}: Pick<EntryRequest, 'arrival' | 'trialOf' | 'tries'>): Fingerprint | undefined {
	const culprit = state.crashEvidence.digest === 0 ? undefined : state.crashEvidence.culpritOf(fingerprintsOf(arrival));
	const isFirstTry = tries.length === 0 || (tries.length === 1 && tries[0]!.outcome === undefined);
	return culprit !== undefined && culprit === trialOf && isFirstTry ? undefined : culprit;
}

/** Whether the next request with a fingerprint at fault is sent as a trial. Only the lease holder tries, so that all instances together send one at a time. */
export function beginTrial(context: EntryContext, culprit: Fingerprint, arrival: EntryArrival): boolean {
	const {state, nowMs} = context;
	const lastMs = state.crashTrials.get(culprit) ?? Number.NEGATIVE_INFINITY;
	const {crashEvidence} = state;
	if (!holdsLease(context) || nowMs < crashEvidence.trialDueMs(culprit) || nowMs - lastMs < MIN_TRIAL_INTERVAL_MS) {
		return false;
	}

	state.crashTrials.set(culprit, nowMs);
	logEvent(context, 'quarantine-trial', {requestId: arrival.id, culprit, crashes: crashEvidence.blame(culprit)});
	return true;
}

export type QuarantineRefusal = {
	readonly code: ResultName;
	readonly detail: string;
	readonly reason?: EndReason;
	readonly retryAfterMs?: number;
};

/** The final response to a request that brings a fingerprint at fault. */
export function quarantineRefusal({state, nowMs}: EntryContext, culprit: Fingerprint, mayHaveRun: boolean): QuarantineRefusal {
	return mayHaveRun
		? {code: 'target-failed', reason: 'content-crashes', detail: `${culprit} has crashed its targets`}
		: {code: 'content-quarantined', detail: `${culprit} has crashed its targets`, retryAfterMs: Math.max(0, state.crashEvidence.blamedUntilMs(culprit) - nowMs)};
}
