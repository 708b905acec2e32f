/**
Events of tries: their progress and their ends. What an outcome proves about the execution
of the request decides, together with the route's repeat rule, its maximum number of
attempts and the retry budget, whether it is retried or gets its final response.
*/
import {addSample} from '../request/estimate.js';
import {type ResultName} from '../result-codes.js';
import {type RequestId} from '../types.js';
import {holdOff, recordStatedBrittleness} from './brittle-services.js';
import {
	close, endAtDeadline, endTry, markRead, refuse, type EntryRefusal,
} from './closing.js';
import {hasSurvived, recordSurvival} from './crash-suspects.js';
import {dispatchTarget, enqueue} from './dispatch.js';
import {queueOf} from './queues.js';
import {type EntryEventOf} from './event.js';
import {finalDetails, type FinalReason} from './end-reasons.js';
import {recordOutcome} from './failure-rates.js';
import {markLeaving} from './leaving.js';
import {addReading, createReadingSpeed} from './reading-speed.js';
import {currentTry, openTries, openTry} from './open-tries.js';
import {beginPace, recordPaceAnswer} from './pace.js';
import {recordHeard} from './reachability.js';
import {takeRetry} from './retry-budgets.js';
import {recordStatedLimit} from './rate-limit.js';
import {watchAgain} from './silence.js';
import {recordSlowness} from './slowness.js';
import {recordOrigin} from './stream-origins.js';
import {
	logEvent, openRequest, type Timer, type EntryContext,
} from './state.js';
import {addSpeedSample} from './target-speeds.js';
import {recordLoad, type Target, type TargetLoad} from './target.js';
import {
	countRuns, outcomeRules, recordAgainstTarget, type FailedTry, type FailureDetails, type OutcomeRule,
} from './try-outcomes.js';
import {type EntryRequest, type EntryTry} from './types.js';

const UNAUTHORIZED_STATUS = 401;
const SERVICE_UNAVAILABLE_STATUS = 503;
/** A target that wants nothing for longer leaves; a longer time is taken for an error of its program. */
const MAX_CLOSED_MS = 3_600_000;
/** Tries that targets may decline before the caller gets a Retry-After response. */
const MAX_DECLINED = 2;
/** Other instances that may say that they reach none of the targets either. Asking one takes some milliseconds, and most of a zone may be cut off. */
const MAX_RELAYS_DECLINED = 8;
/** A slot at a full target becomes free in about this time. */
const MIN_RETRY_AFTER_MS = 200;

/** A target that has not been sent the request is not silent. */
export function handleWritten({state, nowMs}: EntryContext, event: EntryEventOf<'try-written'>): void {
	const request = state.open.get(event.requestId);
	const attempt = request && openTry(request, event.tryNumber);
	if (attempt && !attempt.hasBegun) {
		attempt.progressAtMs = nowMs;
	}
}

/** A target whose response is not read is not silent, nor is its caller waiting for it. */
export function handleHeld({state, nowMs}: EntryContext, event: EntryEventOf<'try-held'>): void {
	const request = state.open.get(event.requestId);
	const attempt = request && openTry(request, event.tryNumber);
	if (!request || !attempt) {
		return;
	}

	attempt.isHeld = event.isHeld;
	attempt.progressAtMs = nowMs;
	if (attempt.hasBegun) {
		request.patienceEndsAtMs = Math.min(request.deadlineAtMs, nowMs + request.route.patienceMs);
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
	attempt.wasSilent = false;
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
	const wasFormerLifetime = target !== undefined && !target.inFlight.has(request.id);
	request.delivered = Math.max(request.delivered, event.delivered);
	attempt.firstEventAtMs = event.firstEventAtMs;
	attempt.longestPauseMs = event.longestPauseMs;
	attempt.fault = event.fault;
	attempt.status = event.status;
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

	if (target && event.status !== undefined && event.outcome !== 'broken' && event.outcome !== 'unproven') {
		recordHeard(context, target);
	}

	if (event.outcome === 'answered') {
		recordServiceTime(context, target, {request, attempt});
		completeRequest(context, request, {target, status: event.status});
		return;
	}

	const end = describeEnd(context, {request, attempt}, event);
	const effectsBefore = context.effects.length;
	const usesMissing = attempt.isRelay === true || state.mechanisms.has('missing-copies');
	request.lastTry = end;
	handleFailure(context, {
		request, attempt, outcome: event.outcome, details: {
			wasFormerLifetime, wasMissing: event.isMissing && usesMissing, wasRefused: event.isRefused, retryAfterMs: event.retryAfterMs, status: event.status,
		},
	});
	request.lastTry = undefined;
	if (state.open.get(request.id) === request) {
		// Else the line of the request's end has it.
		context.effects.splice(effectsBefore, 0, {kind: 'log', event: 'try-ended', fields: {requestId: request.id, ...end}});
	}
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

function describeEnd(context: EntryContext, {request, attempt}: Pick<FailedTry, 'request' | 'attempt'>, event: EntryEventOf<'try-ended'>): NonNullable<EntryRequest['lastTry']> {
	return {
		tryNumber: attempt.number,
		targetId: attempt.targetId,
		outcome: event.outcome,
		status: event.status,
		fault: event.fault,
		reason: event.reason,
		contentHash: event.outcome === 'broken' ? request.arrival.contentHash : undefined,
		promptParts: event.outcome === 'broken' ? request.arrival.promptParts : undefined,
		delivered: event.delivered,
		connection: event.connection?.number,
		carriedBefore: event.connection?.carried,
		tookMs: Math.round(context.nowMs - attempt.startedAtMs),
	};
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

	if (outcome === 'not-run' && !attempt.isRelay) {
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
		close(context, request, 'target-error', {reason, detail: finalDetails[reason]});
		return;
	}

	refuse(context, request, {
		code: request.mayHaveRun ? mayHaveRunCode(rule) : 'no-target',
		reason,
		detail: finalDetails[reason],
		retryAfterMs: request.mayHaveRun ? undefined : Math.max(MIN_RETRY_AFTER_MS, queueOf(state, request.queueKey).expectedWaitMs(request)),
	});
}

function relayRefusal({mayHaveRun}: EntryRequest, {status, retryAfterMs = MIN_RETRY_AFTER_MS}: FailureDetails): EntryRefusal {
	const detail = 'the instance that it was passed on to refused it';
	if (mayHaveRun) {
		return {code: 'target-failed', reason: 'relay-refused', detail};
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

function mayHaveRunCode(rule: OutcomeRule): ResultName {
	return rule.mayHaveRun ? rule.code : 'target-failed';
}

/** Why a request gets its final response now; undefined when it is retried. */
function finalReason(context: EntryContext, {request, attempt}: FailedTry, rule: OutcomeRule): FinalReason | undefined {
	if (request.mayHaveRun && request.route.repeat === 'once') {
		return 'may-have-run';
	}

	if (context.nowMs >= request.deadlineAtMs) {
		return 'deadline';
	}

	if (countRuns(request) >= request.route.maxAttempts) {
		return 'attempts-used';
	}

	if (request.declined > MAX_DECLINED || countDeclinedRelays(request) > MAX_RELAYS_DECLINED) {
		return 'declined';
	}

	if (attempt.isRelay && request.hasHead && request.release === undefined) {
		return 'release-unknown';
	}

	// What another instance declined has reached no target.
	const isFree = attempt.isRelay === true && attempt.outcome === 'not-run';
	if (rule.isRetry && !isFree && !takeRetry(context, request.service)) {
		return 'budget-used';
	}

	return undefined;
}

function countDeclinedRelays({tries}: EntryRequest): number {
	return tries.filter(({isRelay, outcome}) => isRelay && outcome === 'not-run').length;
}

/** Ends a try that would arrive too late, and retries its request or gives it its final response, as after any try that may have run. */
export function cancelTry(context: EntryContext, request: EntryRequest, attempt: EntryTry): void {
	context.effects.push({kind: 'cancel', requestId: request.id, tryNumber: attempt.number});
	endTry(context, request, attempt, 'canceled');
	handleFailure(context, {request, attempt, outcome: 'canceled'});
}

/** Ends a request that is still open at its deadline. */
export function handleDeadline(context: EntryContext, timer: Timer): void {
	const request = openRequest(context, timer);
	if (!request) {
		return;
	}

	endAtDeadline(context, request);
}
