/**
Tries that wait at a target that leaves while the path to it hangs. What was written to
their connections is delivered when the path heals, after the target may have ended, so
they are reset in time. A target that only works for long is left alone: it is probed,
and only one that answers no connection at all counts as out of reach.
*/
import {logEvent, type EntryContext} from './state.js';
import {isListed, type Target} from './target.js';
import {cancelTry} from './tries.js';
import {type EntryRequest, type EntryTry} from './types.js';

/** A try that has waited for less is probably about to be answered. */
const MIN_WAIT_MS = 300;
/** Two probes in a row have had no answer by then, since one may be lost. */
const UNANSWERED_MS = 800;
/** The store may have known of the leaving for as long before this instance did. */
const KNOWN_LATE_MS = 1000;

type WaitingTry = {
	readonly request: EntryRequest;
	readonly attempt: EntryTry;
};

export function endHeldUpTries(context: EntryContext): void {
	const {state, nowMs} = context;
	for (const target of state.targets.values()) {
		const leavingSinceMs = target.leavingSinceMs ?? target.unlistedFromMs;
		if (leavingSinceMs === undefined || isListed(target, nowMs)) {
			continue;
		}

		const waiting = waitingTries(context, target);
		target.probe.isWanted = waiting.length > 0;
		if (waiting.length === 0) {
			continue;
		}

		state.probedTargets.add(target.id);
		const {unansweredSinceMs} = target.probe;
		const isUnanswered = unansweredSinceMs !== undefined && nowMs - unansweredSinceMs >= UNANSWERED_MS;
		if (isUnanswered && nowMs >= leavingSinceMs + state.bounds.drainMs - KNOWN_LATE_MS) {
			for (const {request, attempt} of waiting) {
				logEvent(context, 'try-held-up', {
					requestId: request.id, tryNumber: attempt.number, targetId: target.id, waitedMs: Math.round(nowMs - attempt.startedAtMs), unansweredMs: Math.round(nowMs - unansweredSinceMs),
				});
				cancelTry(context, request, attempt);
			}
		}
	}
}

/** Tries without an answer since which nothing has shown that the path to their target works. */
function waitingTries({state, nowMs}: EntryContext, {inFlight, heardAtMs, probe}: Target): WaitingTry[] {
	const waiting: WaitingTry[] = [];
	for (const [requestId, tryNumber] of inFlight) {
		const request = state.open.get(requestId);
		const attempt = request?.tries[tryNumber - 1];
		if (request && attempt && !attempt.hasBegun && nowMs - attempt.startedAtMs >= MIN_WAIT_MS && Math.max(heardAtMs, probe.answeredAtMs) <= attempt.startedAtMs) {
			waiting.push({request, attempt});
		}
	}

	return waiting;
}
