/**
Silent tries. A request whose try has been silent for longer than its target usually takes
is sent to another target as well. The silent one goes on: its target may be sound, and of
the other nothing is known yet. The first of them to bring the answer ends the others.
*/
import {refuseIfQuarantined} from './crash-suspects.js';
import {keyStanding} from './key-checks.js';
import {openTries, openTry} from './open-tries.js';
import {
	chooseInformedPeer, chooseRelay, isUnreached, sendRelay,
} from './relay.js';
import {takeRetry} from './retry-budgets.js';
import {chooseTarget} from './selection.js';
import {sendTry} from './send.js';
import {
	logEvent, openRequest, type EntryContext, type Timer,
} from './state.js';
import {targetsOf} from './targets.js';
import {countRuns, recordAgainstTarget} from './try-outcomes.js';
import {type EntryRequest, type EntryTry} from './types.js';

/**
Share of a caller's patience after which a stream without a new event is sent to another target as well. Sound targets pause for
about a second, and a stream that has paused beyond its objective is late wherever it goes on.
*/
const MAX_PAUSE_SHARE = 0.65;
/** Sound targets do not pause for as long, however long the caller would wait. */
const MAX_PAUSE_MS = 2500;
/** A silent try is checked again after this time while no other target has room. */
const SILENCE_CHECK_MS = 250;
/** Retries that are left after a request was sent beside a silent try, since the other target may decline it. */
const DECLINE_RESERVE = 1;

/** Checks a try for silence when its timer fires. */
export function handleSilence(context: EntryContext, timer: Timer): void {
	const {state, nowMs} = context;
	const request = openRequest(context, timer);
	const attempt = request && openTry(request, timer.tryNumber);
	if (!request || !attempt || attempt.hasReplacement) {
		return;
	}

	const limitMs = silenceLimitMs(request, attempt);
	// What has arrived since may not be read yet.
	const quietMs = state.readUntilMs - attempt.progressAtMs;
	if (quietMs < limitMs) {
		reschedule(context, timer, attempt.progressAtMs + limitMs);
		return;
	}

	if (sendBeside(context, request, attempt) === 'later') {
		reschedule(context, timer, nowMs + SILENCE_CHECK_MS);
	}
}

function silenceLimitMs({route}: EntryRequest, attempt: EntryTry): number {
	return attempt.hasBegun ? Math.min(MAX_PAUSE_MS, route.patienceMs * MAX_PAUSE_SHARE) : attempt.silenceLimitMs;
}

/** Has a try that goes on, or is left alone, checked for silence again. */
export function watchAgain({state, nowMs}: EntryContext, request: EntryRequest, attempt: EntryTry): void {
	if (!attempt.hasReplacement) {
		return;
	}

	attempt.hasReplacement = false;
	state.timers.push({
		atMs: Math.max(attempt.progressAtMs + silenceLimitMs(request, attempt), nowMs + SILENCE_CHECK_MS), request, kind: 'silence', tryNumber: attempt.number,
	});
}

/**
Sends a request to another target beside a silent try. `later`: its response is not read now, no other target has room, or the budget
allows no retry; `never`: the request may not be sent again.
*/
export function sendBeside(context: EntryContext, request: EntryRequest, attempt: EntryTry): 'sent' | 'later' | 'never' {
	if (attempt.isHeld) {
		return 'later';
	}

	const open = openTries(request);
	if (attempt.hasReplacement || countRuns(request) + open.length >= request.route.maxAttempts) {
		return 'never';
	}

	if (!open.some(({hasBegun}) => hasBegun) && refuseIfQuarantined(context, request)) {
		return 'never';
	}

	const replacement = chooseReplacement(context, request);
	if (!replacement || !takeRetry(context, request.service, {reserve: DECLINE_RESERVE})) {
		return 'later';
	}

	logEvent(context, 'connection-silent', {
		requestId: request.id, tryNumber: attempt.number, targetId: attempt.targetId, quietMs: Math.round(context.state.readUntilMs - attempt.progressAtMs), hasBegun: attempt.hasBegun, lateMs: Math.round(context.state.tickLateMs),
	});
	recordAgainstTarget(context, {request, attempt, outcome: 'canceled'});
	attempt.hasReplacement = true;
	attempt.wasSilent = true;
	replacement.send();
	return 'sent';
}

type Replacement = {
	readonly send: () => void;
};

/** Another target that can serve the request at once or, if this instance reaches none, another instance. */
function chooseReplacement(context: EntryContext, request: EntryRequest): Replacement | undefined {
	const tried = new Set(openTries(request).map(({targetId}) => targetId));
	const standing = keyStanding(context, request);
	if (standing === 'withdrawn') {
		return undefined;
	}

	if (standing === 'unconfirmed' || isUnreached(context, request)) {
		const peer = standing === 'unconfirmed' ? chooseInformedPeer(context, request) : chooseRelay(context, request);
		return peer && !tried.has(peer.instance.id)
			? {
				send() {
					sendRelay(context, request, peer, standing === 'unconfirmed' ? 'configuration-outdated' : 'targets-unreached');
				},
			}
			: undefined;
	}

	const choice = chooseTarget(context, request, targetsOf(context.state, request.service).filter(({id}) => !tried.has(id)));
	return choice.kind === 'send'
		? {
			send() {
				sendTry(context, request, choice.target);
			},
		}
		: undefined;
}

/** For a later tick. */
function reschedule({state, nowMs}: EntryContext, timer: Timer, atMs: number): void {
	state.timers.push({...timer, atMs: Math.max(atMs, nowMs + 1)});
}
