/**
Outcomes of tries. A table states what each outcome proves about the execution of the
request. Together with the route's repeat rule, its maximum number of attempts and the
retry budget, that decides whether the request is retried or gets its final response.
*/
import {addSample} from '../request/estimate.js';
import {type ResultName} from '../result-codes.js';
import {type RequestId} from '../types.js';
import {holdOff, recordStatedBrittleness} from './brittle-services.js';
import {
	close, endAtDeadline, endTry, markRead, refuse, type EntryRefusal,
} from './closing.js';
import {
	addSuspect, hasSurvived, recordRefusal, recordSurvival, refuseIfQuarantined,
} from './crash-suspects.js';
import {dispatchTarget, enqueue} from './dispatch.js';
import {queueOf} from './queues.js';
import {type EntryEventOf} from './event.js';
import {keyStanding} from './key-checks.js';
import {failureRateOf, recordOutcome} from './failure-rates.js';
import {markLeaving} from './leaving.js';
import {addReading, createReadingSpeed} from './reading-speed.js';
import {currentTry, openTries, openTry} from './open-tries.js';
import {beginPace, recordPaceAnswer, recordPaceFailure} from './pace.js';
import {recordHeard, recordUnreached} from './reachability.js';
import {takeRetry} from './retry-budgets.js';
import {recordStatedLimit} from './rate-limit.js';
import {chooseTarget} from './selection.js';
import {
	avoidRelay, chooseInformedPeer, chooseRelay, isUnreached, sendRelay,
} from './relay.js';
import {sendTry} from './send.js';
import {recordSlowness} from './slowness.js';
import {recordOrigin} from './stream-origins.js';
import {
	logEvent, openRequest, type Timer, type EntryContext,
} from './state.js';
import {addSpeedSample} from './target-speeds.js';
import {recordLoad, type Target, type TargetLoad} from './target.js';
import {targetsOf} from './targets.js';
import {type EntryRequest, type EntryTry, type TryOutcome} from './types.js';

type FailedOutcome = Exclude<TryOutcome, 'answered'>;

type FailureDetails = {
	/** Whether a target that did not run the request lacks its model or adapter. */
	readonly wasMissing?: boolean;
	/** Whether a target that was not reached refused the connection. */
	readonly wasRefused?: boolean;
	/** When another instance that refused the request would take it. */
	readonly retryAfterMs?: number;
	readonly status?: number;
};

type FailedTry = {
	readonly request: EntryRequest;
	readonly attempt: EntryTry;
	readonly outcome: FailedOutcome;
	readonly details?: FailureDetails;
};

type OutcomeRule = {
	/** Whether the target may have executed the request. */
	readonly mayHaveRun: boolean;
	/** Whether the next try counts against the retry budget. */
	readonly isRetry: boolean;
	readonly code: ResultName;
	/** Updates what this instance knows of the target. */
	readonly updateTarget: (context: EntryContext, target: Target, failed: FailedTry) => void;
};

const UNAUTHORIZED_STATUS = 401;
const SERVICE_UNAVAILABLE_STATUS = 503;
/** A target that wants nothing for longer leaves; a longer time is taken for an error of its program. */
const MAX_CLOSED_MS = 3_600_000;
/** Exponential backoff for a target that could not be reached: the base is doubled with each consecutive failure, up to the maximum. */
const BACKOFF_BASE_MS = 150;
const MAX_BACKOFF_MS = 1500;
/** Tries that targets may decline before the caller gets a Retry-After response. */
const MAX_DECLINED = 2;
/** Smoothed share of failed tries from which a target has to find its pace again. */
const PACED_FAILURE_RATE = 0.4;
/**
Share of a caller's patience after which a stream without a new event is sent to another target as well. Sound targets pause for
about a second, and a stream that has paused beyond its objective is late wherever it goes on.
*/
const MAX_PAUSE_SHARE = 0.65;
/** Sound targets do not pause for as long, however long the caller would wait. */
const MAX_PAUSE_MS = 2500;
/** A target's heartbeat reaches the registry within about this time. */
const MISSING_COPY_MS = 1000;
/** A silent try is checked again after this time while no other target has room. */
const SILENCE_CHECK_MS = 250;
/** Retries that are left after a request was sent beside a silent try, since the other target may decline it. */
const MOVE_RESERVE = 1;
/** A slot at a full target becomes free in about this time. */
const MIN_RETRY_AFTER_MS = 200;

const outcomeRules: Readonly<Record<FailedOutcome, OutcomeRule>> = {
	'not-sent': {
		mayHaveRun: false, isRetry: false, code: 'no-target',
		updateTarget(context, target, {attempt, details}) {
			backOff(context, target);
			const isRefused = details?.wasRefused === true;
			recordUnreached(context, target, {sinceMs: attempt.startedAtMs, isRefused});
			if (isRefused) {
				recordRefusal(context, target);
			}
		},
	},
	'not-run': {
		mayHaveRun: false, isRetry: true, code: 'no-target',
		updateTarget({nowMs}, target, {request, details}) {
			const {model, adapter} = request.arrival;
			const wasMissing = details?.wasMissing === true;
			if (wasMissing && adapter !== undefined) {
				target.adapters.delete(`${model}/${adapter}`);
			} else if (wasMissing && model !== undefined) {
				// The copy has been unloaded, or its load is not complete; the registry shows which with the target's next heartbeat.
				target.leavingCopies.set(model, Math.max(target.leavingCopies.get(model) ?? 0, nowMs + MISSING_COPY_MS));
			} else {
				// A target that declines is full, whatever load it sent last, until it sends a new one.
				recordLoad(target, {running: target.entry.slots, waiting: target.entry.slots, slots: target.entry.slots}, nowMs);
			}
		},
	},
	failed: {
		mayHaveRun: true, isRetry: true, code: 'target-failed',
		updateTarget(context, target) {
			recordOutcome(context, target, true);
		},
	},
	broken: {
		mayHaveRun: true, isRetry: true, code: 'target-failed',
		updateTarget(context, target, {request}) {
			recordOutcome(context, target, true);
			addSuspect(context, target, request);
		},
	},
	canceled: {
		mayHaveRun: true, isRetry: true, code: 'target-timeout',
		updateTarget(context, target, {request}) {
			recordOutcome(context, target, true);
			addSuspect(context, target, request);
		},
	},
};

function backOff({nowMs}: EntryContext, target: Target): void {
	target.failures++;
	target.backoffUntilMs = nowMs + Math.min(MAX_BACKOFF_MS, BACKOFF_BASE_MS * (2 ** (target.failures - 1)));
}

/** A target that has not been sent the request is not silent. */
export function handleWritten({state, nowMs}: EntryContext, event: EntryEventOf<'try-written'>): void {
	const request = state.open.get(event.requestId);
	const attempt = request && openTry(request, event.tryNumber);
	if (attempt && !attempt.hasBegun) {
		attempt.progressAtMs = nowMs;
	}
}

export function handleProgress(context: EntryContext, event: EntryEventOf<'try-progressed'>): void {
	const {state, nowMs} = context;
	const request = state.open.get(event.requestId);
	const attempt = request && openTry(request, event.tryNumber);
	if (!request || !attempt) {
		return;
	}

	const target = state.targets.get(attempt.targetId);
	if (target) {
		recordHeard(context, target);
		recordLeaving(context, target, event);
	}

	if (target && !attempt.hasBegun) {
		addSample(target.firstByte, nowMs - attempt.startedAtMs);
		if (event.load) {
			recordLoad(target, event.load, nowMs);
			recordStatedSlowness(context, target, event.load);
		}

		recordReading(context, target, {request, attempt});

		if (event.rateLimit) {
			recordStatedLimit(context, target, attempt, event.rateLimit);
			recordStatedBrittleness(context, target, attempt, event.rateLimit.declinesPerSecond);
		}

		if (markRead(state, target, request.id)) {
			dispatchTarget(context, target);
		}
	}

	recordOrigin(context, request, attempt);
	attempt.hasBegun = true;
	attempt.beganAtMs ??= nowMs;
	if (hasSurvived(attempt, nowMs)) {
		recordSurvival(context, request);
	}

	attempt.progressAtMs = nowMs;
	endOtherTries(context, request, attempt);
	watchAgain(context, request, attempt);
	request.delivered = event.delivered;
	request.patienceEndsAtMs = Math.min(request.deadlineAtMs, nowMs + request.route.patienceMs);
	request.hasHead = true;
	request.mayHaveRun = true;
}

/** Records what the head of a response states. That of a stream that ends is as old as the stream. */
function recordStatedSlowness({state, nowMs}: EntryContext, target: Target, {slowness}: TargetLoad): void {
	if (slowness !== undefined) {
		recordSlowness(state, target, {factor: slowness, statedAtMs: nowMs});
	}
}

/** Plain services show their speed by whole responses. */
function recordServiceTime(context: EntryContext, target: Target | undefined, {request, attempt}: {readonly request: EntryRequest; readonly attempt: EntryTry}): void {
	if (target && request.arrival.model === undefined) {
		const ratio = addSpeedSample(context, target, {queueKey: request.queueKey, units: attempt.workUnits, ms: context.nowMs - attempt.startedAtMs});
		recordPaceAnswer(context, target, ratio);
	}
}

function recordReading(context: EntryContext, target: Target, {request, attempt}: {readonly request: EntryRequest; readonly attempt: EntryTry}): void {
	const {state, nowMs} = context;
	if (attempt.unreadTokens === 0) {
		return;
	}

	let speed = state.readingSpeeds.get(request.queueKey);
	if (!speed) {
		speed = createReadingSpeed();
		state.readingSpeeds.set(request.queueKey, speed);
	}

	const ms = nowMs - attempt.startedAtMs;
	addReading(speed, attempt.unreadTokens, ms);
	recordPaceAnswer(context, target, addSpeedSample(context, target, {queueKey: request.queueKey, units: attempt.workUnits, ms}));
}

export function handleTryEnded(context: EntryContext, event: EntryEventOf<'try-ended'>): void {
	const {state, nowMs} = context;
	const request = state.open.get(event.requestId);
	const attempt = request && openTry(request, event.tryNumber);
	if (!request || !attempt) {
		return;
	}

	const target = state.targets.get(attempt.targetId);
	request.delivered = Math.max(request.delivered, event.delivered);
	attempt.firstEventAtMs = event.firstEventAtMs;
	attempt.longestPauseMs = event.longestPauseMs;
	if (target) {
		recordLeaving(context, target, event);
		recordLimits(context, target, {attempt, event});
	}

	if (target && event.load && !attempt.hasBegun) {
		recordStatedSlowness(context, target, event.load);
	}

	endTry(context, request, attempt, event.outcome);
	if (target && event.load) {
		recordLoad(target, event.load, nowMs);
	}

	if (target && event.status !== undefined && event.outcome !== 'broken') {
		recordHeard(context, target);
	}

	if (event.outcome === 'answered') {
		recordServiceTime(context, target, {request, attempt});
		completeRequest(context, request, {target, status: event.status});
		return;
	}

	logTryEnded(context, {request, attempt}, event);
	const usesMissing = attempt.isRelay === true || state.mechanisms.has('missing-copies');
	handleFailure(context, {
		request, attempt, outcome: event.outcome, details: {
			wasMissing: event.isMissing && usesMissing, wasRefused: event.isRefused, retryAfterMs: event.retryAfterMs, status: event.status,
		},
	});
}

/** One try brings the answer; what the others would bring is not needed. */
function endOtherTries(context: EntryContext, request: EntryRequest, attempt: EntryTry): void {
	for (const other of openTries(request).filter(open => open !== attempt)) {
		context.effects.push({kind: 'cancel', requestId: request.id, tryNumber: other.number});
		endTry(context, request, other, 'canceled');
		request.mayHaveRun = true;
		logEvent(context, 'try-ended', {
			requestId: request.id, tryNumber: other.number, targetId: other.targetId, outcome: 'canceled', reason: 'another try brought the answer', tookMs: Math.round(context.nowMs - other.startedAtMs),
		});
	}
}

function logTryEnded(context: EntryContext, {request, attempt}: Pick<FailedTry, 'request' | 'attempt'>, event: EntryEventOf<'try-ended'>): void {
	logEvent(context, 'try-ended', {
		requestId: request.id,
		tryNumber: attempt.number,
		targetId: attempt.targetId,
		outcome: event.outcome,
		status: event.status,
		reason: event.reason,
		contentHash: event.outcome === 'broken' ? request.arrival.contentHash : undefined,
		promptParts: event.outcome === 'broken' ? request.arrival.promptParts : undefined,
		delivered: event.delivered,
		connection: event.connection?.number,
		carriedBefore: event.connection?.carried,
		tookMs: Math.round(context.nowMs - attempt.startedAtMs),
	});
}

/** Records that the target leaves before its slot is freed, so that nothing that waits is sent there. One that has restarted since the try was sent does not. */
function recordLeaving(context: EntryContext, target: Target, {isLeaving, requestId}: {readonly isLeaving?: boolean; readonly requestId: RequestId}): void {
	if (isLeaving && target.inFlight.has(requestId)) {
		markLeaving(context, target, 'answer');
	}
}

/** Records what limits the target before the slot is freed, so that the requests that are sent to it keep to that. */
function recordLimits(context: EntryContext, target: Target, {attempt, event}: {readonly attempt: EntryTry; readonly event: EntryEventOf<'try-ended'>}): void {
	if (event.rateLimit && !attempt.hasBegun) {
		recordStatedLimit(context, target, attempt, event.rateLimit);
		recordStatedBrittleness(context, target, attempt, event.rateLimit.declinesPerSecond);
	}

	if (event.outcome === 'not-run' && !event.isMissing) {
		holdOff(context, target);
		closeFor(context, target, event);
	}
}

/** A target that turns a request away and names a time wants nothing from this instance until then. */
function closeFor(context: EntryContext, target: Target, {requestId, status, retryAfterMs}: EntryEventOf<'try-ended'>): void {
	if (status !== SERVICE_UNAVAILABLE_STATUS || retryAfterMs === undefined || retryAfterMs <= 0 || !target.inFlight.has(requestId)) {
		return;
	}

	const closedUntilMs = context.nowMs + Math.min(retryAfterMs, MAX_CLOSED_MS);
	if (closedUntilMs > target.closedUntilMs) {
		target.closedUntilMs = closedUntilMs;
		beginPace(context, target, 'closed');
		logEvent(context, 'target-closed', {targetId: target.id, forMs: Math.round(retryAfterMs)});
	}
}

function completeRequest(context: EntryContext, request: EntryRequest, {target, status}: {readonly target: Target | undefined; readonly status: number | undefined}): void {
	if (target) {
		target.failures = 0;
		recordOutcome(context, target, false);
	}

	const {isStream} = request.route;
	if (status !== undefined && status < 300 && (!isStream || request.delivered > 0)) {
		recordSurvival(context, request);
	}

	context.effects.push({kind: 'deliver', requestId: request.id});
	close(context, request, 'answered');
}

function handleFailure(context: EntryContext, failed: FailedTry): void {
	const {state} = context;
	const {request, attempt, outcome, details = {}} = failed;
	const rule = recordFailure(context, failed);
	if (!state.open.has(request.id)) {
		// What it brings has just turned out to crash targets.
		return;
	}

	if (outcome === 'not-run') {
		request.declined++;
	}

	const other = currentTry(request);
	if (other) {
		// What the failed one was sent for may be sound and go on.
		watchAgain(context, request, other);
		return;
	}

	if (attempt.isRelay && outcome === 'not-run' && !details.wasMissing) {
		refuse(context, request, relayRefusal(request, details));
		return;
	}

	const reason = finalReason(context, failed, rule);
	if (reason === undefined) {
		enqueue(context, request);
		return;
	}

	if (outcome === 'failed' && !request.hasHead) {
		// The target's own error is the final response.
		context.effects.push({kind: 'deliver', requestId: request.id});
		close(context, request, 'target-error', reason);
		return;
	}

	refuse(context, request, {
		code: request.mayHaveRun ? mayHaveRunCode(rule) : 'no-target',
		detail: reason,
		retryAfterMs: request.mayHaveRun ? undefined : Math.max(MIN_RETRY_AFTER_MS, queueOf(state, request.queueKey).expectedWaitMs(request)),
	});
}

function relayRefusal({mayHaveRun}: EntryRequest, {status, retryAfterMs = MIN_RETRY_AFTER_MS}: FailureDetails): EntryRefusal {
	const detail = 'the instance that it was passed on to refused it';
	if (mayHaveRun) {
		return {code: 'target-failed', detail};
	}

	return status === UNAUTHORIZED_STATUS ? {code: 'api-key-unknown', detail} : {code: 'no-target', detail, retryAfterMs};
}

/** Records what the outcome of a try says of its target and of whether the request may have run. */
function recordFailure(context: EntryContext, failed: FailedTry): OutcomeRule {
	const rule = outcomeRules[failed.outcome];
	failed.request.mayHaveRun ||= rule.mayHaveRun;
	recordAgainstTarget(context, failed);
	return rule;
}

/** Records what a try says of its target, or of the instance that it was passed on to. */
function recordAgainstTarget(context: EntryContext, failed: FailedTry): void {
	const {attempt, outcome, details} = failed;
	if (attempt.isRelay && outcome !== 'failed') {
		avoidRelay(context, attempt);
	}

	const target = context.state.targets.get(attempt.targetId);
	if (target) {
		outcomeRules[outcome].updateTarget(context, target, failed);
		pace(context, target, {outcome, wasMissing: details?.wasMissing ?? false});
	}
}

/** Failures and shed requests slow a target's pace; one that fails often begins to have one. */
function pace(context: EntryContext, target: Target, {outcome, wasMissing}: {readonly outcome: FailedOutcome; readonly wasMissing: boolean}): void {
	if (outcome === 'not-sent' || wasMissing) {
		return;
	}

	if (failureRateOf(target, context.nowMs) >= PACED_FAILURE_RATE) {
		beginPace(context, target, 'failing');
	}

	recordPaceFailure(context, target, outcome);
}

function mayHaveRunCode(rule: OutcomeRule): ResultName {
	return rule.mayHaveRun ? rule.code : 'target-failed';
}

/** Number of ended tries that may have executed the request. */
function countRuns({tries}: EntryRequest): number {
	return tries.filter(({outcome}) => outcome !== undefined && outcome !== 'answered' && outcomeRules[outcome].mayHaveRun).length;
}

/** Why a request gets its final response now; undefined when it is retried. */
function finalReason(context: EntryContext, {request, attempt}: FailedTry, rule: OutcomeRule): string | undefined {
	if (request.mayHaveRun && request.route.repeat === 'once') {
		return 'the work may have run and must not be repeated';
	}

	if (context.nowMs >= request.deadlineAtMs) {
		return 'the deadline has passed';
	}

	if (countRuns(request) >= request.route.maxAttempts) {
		return 'the route allows no further attempt';
	}

	if (request.declined > MAX_DECLINED) {
		return 'targets declined it several times';
	}

	if (attempt.isRelay && request.hasHead && request.release === undefined) {
		return 'the release that began the stream is not known';
	}

	// What another instance declined has reached no target.
	const isFree = attempt.isRelay === true && attempt.outcome === 'not-run';
	if (rule.isRetry && !isFree && !takeRetry(context, request.service)) {
		return 'the repeat budget is used up';
	}

	return undefined;
}

/**
Sends a request whose try has been silent for longer than its target usually takes to another target as well. The silent one goes
on: its target may be sound, and of the other nothing is known yet. The first of them to bring the answer ends the others.
*/
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
function watchAgain({state, nowMs}: EntryContext, request: EntryRequest, attempt: EntryTry): void {
	if (!attempt.hasReplacement) {
		return;
	}

	attempt.hasReplacement = false;
	state.timers.push({
		atMs: Math.max(attempt.progressAtMs + silenceLimitMs(request, attempt), nowMs + SILENCE_CHECK_MS), request, kind: 'silence', tryNumber: attempt.number,
	});
}

/** Sends a request to another target beside a silent try. `later`: none has room now, or the budget allows no retry; `never`: the request may not be sent again. */
export function sendBeside(context: EntryContext, request: EntryRequest, attempt: EntryTry): 'sent' | 'later' | 'never' {
	const open = openTries(request);
	if (attempt.hasReplacement || countRuns(request) + open.length >= request.route.maxAttempts) {
		return 'never';
	}

	if (!open.some(({hasBegun}) => hasBegun) && refuseIfQuarantined(context, request)) {
		return 'never';
	}

	const replacement = chooseReplacement(context, request);
	if (!replacement || !takeRetry(context, request.service, {reserve: MOVE_RESERVE})) {
		return 'later';
	}

	logEvent(context, 'connection-silent', {
		requestId: request.id, tryNumber: attempt.number, targetId: attempt.targetId, quietMs: Math.round(context.state.readUntilMs - attempt.progressAtMs), hasBegun: attempt.hasBegun, lateMs: Math.round(context.state.tickLateMs),
	});
	attempt.hasReplacement = true;
	recordAgainstTarget(context, {request, attempt, outcome: 'canceled'});
	replacement.send();
	return 'sent';
}

/** Ends a try that would arrive too late, and retries its request or gives it its final response, as after any try that may have run. */
export function cancelTry(context: EntryContext, request: EntryRequest, attempt: EntryTry): void {
	context.effects.push({kind: 'cancel', requestId: request.id, tryNumber: attempt.number});
	endTry(context, request, attempt, 'canceled');
	handleFailure(context, {request, attempt, outcome: 'canceled'});
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

/** Ends a request that is still open at its deadline. */
export function handleDeadline(context: EntryContext, timer: Timer): void {
	const request = openRequest(context, timer);
	if (!request) {
		return;
	}

	endAtDeadline(context, request);
}
