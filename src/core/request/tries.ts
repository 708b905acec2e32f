/**
Lifecycle of a try: it is sent to one target, monitored for progress, and ends with a
complete response or a failure. A table states what each kind of failure proves; together
with the repeat rule this determines whether the request may be retried.
*/
import {count, logEvent, type Context} from '../context.js';
import {type Continuation} from '../effect.js';
import {type EventOf} from '../event.js';
import {gatewayCapabilities} from '../placement/gateways.js';
import {type ResultName} from '../result-codes.js';
import {endTransfer, trackTransfer} from './adapter-transfers.js';
import {setQueueTimer} from './admission.js';
import {close, refuse} from './closing.js';
import {dispatchRoute, dispatchTarget} from './dispatch.js';
import {addSample} from './estimate.js';
import {releaseClaim, settleDone, settleUnknown} from './settlements.js';
import {
	clearPrefix, clearSuspect, endIsolation, handleTargetCrash,
} from './crash-suspects.js';
import {silenceLimitMs} from './silence.js';
import {type Target} from './target.js';
import {
	type Failure, type OpenRequest, type RecordedAnswer, type Try,
} from './types.js';

const MAX_TRIES = 4;

type FailureRule = {
	/** Whether the target may have run the work. */
	readonly mayHaveRun: boolean;
	readonly code: ResultName;
	/** Whether the target may have crashed, so that a probe must come before any retry. */
	readonly needsProbe: boolean;
	readonly updateTarget?: (target: Target) => void;
};

const failureRules: Readonly<Record<Failure, FailureRule>> = {
	'not-written': {
		mayHaveRun: false,
		code: 'no-target',
		needsProbe: false,
		updateTarget(target) {
			target.health = 'down';
		},
	},
	refused: {
		mayHaveRun: false,
		code: 'no-target',
		needsProbe: false,
		// A target that refuses a request is full, even if its last report says otherwise.
		updateTarget(target) {
			target.reportedTotal = target.ownAtReport + target.slots;
		},
	},
	'target-error': {mayHaveRun: true, code: 'target-failed', needsProbe: false},
	reset: {mayHaveRun: true, code: 'target-failed', needsProbe: true},
	truncated: {mayHaveRun: true, code: 'answer-truncated', needsProbe: true},
	silent: {mayHaveRun: true, code: 'target-timeout', needsProbe: false},
	canceled: {mayHaveRun: true, code: 'target-timeout', needsProbe: false},
};

/** Sends a try. The target must have been checked to accept the request. */
export function sendTry(context: Context, request: OpenRequest, target: Target, continuation: Continuation): void {
	const {state, nowMs, effects} = context;
	const attempt: Try = {
		number: request.tries.length + 1,
		targetId: target.id,
		startedAtMs: nowMs,
		firstByteAtMs: undefined,
		progressAtMs: nowMs,
		ended: undefined,
		probing: false,
	};
	request.tries.push(attempt);
	request.phase = 'running';
	target.inFlight.set(request.id, attempt.number);
	trackTransfer(state, target, request);
	effects.push({
		kind: 'send-try',
		requestId: request.id,
		tryNumber: attempt.number,
		targetId: target.id,
		continuation: request.delivered > 0 && continuation.kind === 'whole' ? {kind: 'continue-text'} : continuation,
	});
	state.timers.set(nowMs + silenceLimitMs(context, request, target, attempt), {kind: 'silence', requestId: request.id, tryNumber: attempt.number});
}

export function currentTry(request: OpenRequest): Try | undefined {
	const last = request.tries.at(-1);
	return last?.ended === undefined ? last : undefined;
}

export function handleProgress(context: Context, event: EventOf<'try-progressed'>): void {
	const found = findTry(context, event);
	if (!found) {
		return;
	}

	const {request, attempt, target} = found;
	if (attempt.firstByteAtMs === undefined) {
		attempt.firstByteAtMs = context.nowMs;
		finishTransfer(context, request);
		if (target) {
			addSample(target.firstByte, context.nowMs - attempt.startedAtMs);
		}
	} else if (target) {
		addSample(target.gap, context.nowMs - attempt.progressAtMs);
	}

	attempt.progressAtMs = context.nowMs;
	request.delivered = event.delivered;
}

export function handleCompleted(context: Context, event: EventOf<'try-completed'>): void {
	const found = findTry(context, event);
	if (!found) {
		return;
	}

	const {request, attempt, target} = found;
	endTry(context, found, 'completed');
	request.ran = 'yes';
	addSample(context.state.requests.route(request.route).service, context.nowMs - attempt.startedAtMs);
	context.state.requests.innocent.set(request.contentHash, context.nowMs);
	clearSuspect(context, request.contentHash);
	clearPrefix(context, request);
	if (request.claim && event.answer) {
		settleDone(context, request, event.answer);
	}

	if (request.phase === 'detached') {
		context.state.requests.open.delete(request.id);
	} else {
		context.effects.push({kind: 'deliver', requestId: request.id, tryNumber: attempt.number});
		close(context, request, 'answered', 'yes');
		if (context.nowMs > request.deadlineAtMs && !request.stream) {
			logEvent(context, 'answer-late', {requestId: request.id, lateMs: Math.round(context.nowMs - request.deadlineAtMs)});
		}
	}

	dispatchFreed(context, target);
}

export function handleFailed(context: Context, event: EventOf<'try-failed'>): void {
	const found = findTry(context, event);
	if (!found) {
		return;
	}

	const {request, attempt, target} = found;
	const rule = failureRules[event.failure];
	request.delivered = Math.max(request.delivered, event.delivered);
	endTry(context, found, event.failure);
	logEvent(context, 'try-failed', {
		requestId: request.id, tryNumber: attempt.number, targetId: attempt.targetId, failure: event.failure,
	});
	count(context, 'try.failed', {failure: event.failure});
	if (rule.mayHaveRun) {
		request.ran = 'unknown';
	}

	if (target) {
		rule.updateTarget?.(target);
	}

	if (request.phase === 'detached') {
		context.state.requests.open.delete(request.id);
		if (request.ran === 'no') {
			releaseClaim(context, request);
		} else {
			settleUnknown(context, request);
		}
	} else if (rule.needsProbe && target) {
		holdForProbe(context, request, target);
	} else {
		retryOrRefuse(context, request, event.failure, event.answer);
	}

	dispatchFreed(context, target);
}

/** Holds a request until a probe shows whether its target crashed. */
function holdForProbe(context: Context, request: OpenRequest, target: Target): void {
	request.phase = 'verifying';
	target.broken.add(request.id);
	if (!target.probing) {
		target.probing = true;
		context.effects.push({kind: 'probe', targetId: target.id});
	}
}

/** Resolves the requests whose connection to a target broke once its probe has a result; after a crash they become suspects. */
export function resolveBrokenTries(context: Context, target: Target, crashed: boolean): void {
	const broken = [...target.broken]
		.map(id => context.state.requests.open.get(id))
		.filter(request => request?.phase === 'verifying')
		.filter(request => request !== undefined);
	target.broken.clear();
	if (crashed) {
		handleTargetCrash(context, target, broken);
	}

	for (const request of broken) {
		if (request.phase === 'verifying') {
			retryOrRefuse(context, request, request.tries.at(-1)?.ended as Failure);
		}
	}
}

/** Retries a request if repeat rule, deadline, number of tries and retry budget allow it, else refuses it. */
export function retryOrRefuse(context: Context, request: OpenRequest, failure: Failure, answer?: RecordedAnswer): void {
	const rule = failureRules[failure];
	const {requests} = context.state;
	const mayRepeat = request.repeat === 'idempotent' || request.ran === 'no';
	const isProvenNotRun = !rule.mayHaveRun;
	if (!mayRepeat || !isInTime(context, request) || !(isProvenNotRun || isWithinBudget(context, request))) {
		refuse(context, request, {code: rule.code, detail: answer ? `the target answered with status ${answer.status}` : undefined});
		return;
	}

	if (!isProvenNotRun) {
		requests.retryBudget--;
	}

	if (!resumeStream(context, request, failure)) {
		requeue(context, request);
	}
}

/** Whether a request that may be repeated would be sent again now if its try failed. */
export function wouldBeRetried(context: Context, request: OpenRequest): boolean {
	return isInTime(context, request) && isWithinBudget(context, request);
}

function isInTime({nowMs}: Context, {deadlineAtMs, delivered}: OpenRequest): boolean {
	return nowMs < deadlineAtMs || delivered > 0;
}

function isWithinBudget({state}: Context, {tries}: OpenRequest): boolean {
	return tries.length < MAX_TRIES && state.requests.retryBudget >= 1;
}

/** Resumes a stream at the target of the last try, unless the try before went there too. Returns whether it did. */
function resumeStream(context: Context, request: OpenRequest, failure: Failure): boolean {
	const last = request.tries.at(-1);
	const target = last && context.state.targets.get(last.targetId);
	if (!target || request.delivered === 0 || target.health === 'down' || failure === 'target-error' || failure === 'refused') {
		return false;
	}

	const hasTriedTwice = request.tries.at(-2)?.targetId === last.targetId;
	if (!gatewayCapabilities[target.gateway].resumesStreams || hasTriedTwice) {
		return false;
	}

	sendTry(context, request, target, {kind: 'resume', from: request.delivered});
	return true;
}

function requeue(context: Context, request: OpenRequest): void {
	request.phase = 'queued';
	request.timerSequence++;
	context.state.requests.route(request.route).queue.reinsert(request);
	dispatchRoute(context, request.route);
	setQueueTimer(context, request);
}

/** Cancels the current try, if any. A late response is recognized by its try number and ignored. */
export function cancelTry(context: Context, request: OpenRequest): void {
	const attempt = currentTry(request);
	if (!attempt) {
		return;
	}

	const target = context.state.targets.get(attempt.targetId);
	context.effects.push({kind: 'cancel-try', requestId: request.id, tryNumber: attempt.number});
	endTry(context, {request, attempt, target}, 'canceled');
	request.ran = 'unknown';
	dispatchFreed(context, target);
}

type FoundTry = {
	readonly request: OpenRequest;
	readonly attempt: Try;
	readonly target: Target | undefined;
};

/** The try that an event refers to, undefined if that try has ended or its request is closed. */
function findTry({state}: Context, event: {readonly requestId: string; readonly tryNumber: number}): FoundTry | undefined {
	const request = state.requests.open.get(event.requestId);
	const attempt = request && currentTry(request);
	return request && attempt?.number === event.tryNumber
		? {request, attempt, target: state.targets.get(attempt.targetId)}
		: undefined;
}

function endTry(context: Context, {request, attempt, target}: FoundTry, ended: Failure | 'completed'): void {
	attempt.ended = ended;
	target?.inFlight.delete(request.id);
	finishTransfer(context, request);
	endIsolation(context, target, request);
}

/** Ends the request's adapter transfer and dispatches its route, where another request may wait for that. */
function finishTransfer(context: Context, request: OpenRequest): void {
	if (endTransfer(context.state, request) && context.state.requests.waiting.total > 0) {
		dispatchRoute(context, request.route);
	}
}

function dispatchFreed(context: Context, target: Target | undefined): void {
	if (target) {
		dispatchTarget(context, target);
	}
}
