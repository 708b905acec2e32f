/**
Admission of requests, from arrival to enqueueing on the route. Apart from shutdown, a
request is refused here only if it is invalid, if the queue cannot meet its deadline, or
if its content is quarantined for having crashed targets.
*/
import {callerOrDefault} from '../configuration/index.js';
import {DEREGISTRATION_DELAY_MS} from '../membership/drain.js';
import {count, type Context} from '../context.js';
import {type Arrival, type EventOf} from '../event.js';
import {type ExecutionStatus, type ResultName} from '../result-codes.js';
import {acquireClaim, createClaim} from './claims.js';
import {refuse} from './closing.js';
import {expectedWaitMs} from './queueing.js';
import {dispatchRoute} from './dispatch.js';
import {readKey, resolveRoute} from './resolve.js';
import {hasQuarantinedPrefix, holdIfSuspect, isQuarantined} from './crash-suspects.js';
import {type Claim, type OpenRequest, type ResolvedRoute} from './types.js';

const RETRIES_EARNED_PER_REQUEST = 0.2;
const MAX_RETRY_BUDGET = 100;
const INITIAL_JOIN_DELAY_MS = 100;

export function handleArrival(context: Context, event: EventOf<'request-arrived'>): void {
	const {state} = context;
	const {arrival} = event;
	if (isClosedToArrivals(context)) {
		refuseArrival(context, arrival, {code: 'stopping'});
		return;
	}

	const caller = findCallerId(context, arrival);
	if (caller === undefined) {
		refuseArrival(context, arrival, {code: 'caller-unknown'});
		return;
	}

	resolveRoute(state.configuration, arrival).caseOf({
		Left(refusal) {
			refuseArrival(context, arrival, refusal);
		},
		Right(resolved) {
			openRequest(context, arrival, caller, resolved);
		},
	});
}

function openRequest(context: Context, arrival: Arrival, caller: string, resolved: ResolvedRoute): void {
	const {state, nowMs} = context;
	if (isQuarantined(context, arrival.contentHash) || hasQuarantinedPrefix(context, arrival)) {
		refuseArrival(context, arrival, {code: 'crash-refused'});
		return;
	}

	if (arrival.deadlineMs !== undefined && arrival.deadlineMs <= 0) {
		refuseArrival(context, arrival, {code: 'deadline-impossible'});
		return;
	}

	let claim: Claim | undefined;
	if (resolved.key) {
		const key = readKey(resolved.key, arrival);
		if (key.isLeft()) {
			refuseArrival(context, arrival, key.extract());
			return;
		}

		claim = createClaim(context, caller, resolved.route, key.extract() as string);
	}

	const priority = arrival.priority ?? resolved.priority ?? callerOrDefault(state.configuration.configuration, caller).priority;
	const request: OpenRequest = {
		id: arrival.id,
		caller,
		route: resolved.route,
		model: resolved.model,
		adapter: resolved.adapter,
		stream: arrival.destination.kind === 'model' && arrival.destination.stream,
		priority,
		repeat: resolved.repeat,
		answerRetentionMs: resolved.answerRetentionMs,
		contentHash: arrival.contentHash,
		prefixHash: arrival.prefixHash,
		arrivedAtMs: nowMs,
		deadlineAtMs: nowMs + (arrival.deadlineMs ?? state.configuration.configuration.limits.deadlineMs[priority]),
		claim,
		tries: [],
		phase: 'claiming',
		delivered: 0,
		ran: 'no',
		callerLeft: false,
		enqueuedAtMs: nowMs,
		round: 0,
		timerSequence: 0,
		joinDelayMs: INITIAL_JOIN_DELAY_MS,
	};
	state.requests.open.set(request.id, request);
	state.requests.retryBudget = Math.min(MAX_RETRY_BUDGET, state.requests.retryBudget + RETRIES_EARNED_PER_REQUEST);
	const route = state.requests.route(request.route);
	route.arrivals++;
	count(context, 'request.arrived', {priority});
	state.timers.set(request.deadlineAtMs, {kind: 'deadline', requestId: request.id});
	if (claim) {
		acquireClaim(context, request);
	} else {
		admit(context, request);
	}
}

/** Enqueues a request that is cleared to run, or refuses it if the expected wait and run would exceed its deadline. */
export function admit(context: Context, request: OpenRequest): void {
	const {state, nowMs} = context;
	if (holdIfSuspect(context, request)) {
		return;
	}

	const route = state.requests.route(request.route);
	const waitMs = expectedWaitMs(route, request.priority);
	const remainingMs = request.deadlineAtMs - nowMs;
	if (waitMs > 0 && waitMs + route.service.meanMs > remainingMs) {
		refuse(context, request, {code: 'deadline-unreachable', retryAfterMs: waitMs});
		return;
	}

	request.phase = 'queued';
	request.enqueuedAtMs = nowMs;
	request.timerSequence++;
	route.queue.push(request, callerOrDefault(state.configuration.configuration, request.caller).weight);
	dispatchRoute(context, request.route);
	setQueueTimer(context, request);
}

/**
Sets a timer for the latest useful start of a request that is still queued and has
delivered nothing, so that its caller is refused then instead of at the deadline.
*/
export function setQueueTimer({state, nowMs}: Context, request: OpenRequest): void {
	if (request.phase === 'queued' && request.delivered === 0) {
		const lastStartMs = request.deadlineAtMs - state.requests.route(request.route).service.meanMs;
		state.timers.set(Math.max(nowMs, lastStartMs), {kind: 'request', requestId: request.id, sequence: request.timerSequence});
	}
}

/** Refuses a queued request that can no longer start early enough to meet its deadline. */
export function handleQueueTimeout(context: Context, request: OpenRequest): void {
	if (request.phase !== 'queued') {
		return;
	}

	const route = context.state.requests.route(request.route);
	refuse(context, request, {
		code: 'deadline-unreachable',
		retryAfterMs: Math.max(expectedWaitMs(route, request.priority), route.service.meanMs),
	});
}

function findCallerId({state}: Context, arrival: Arrival): string | undefined {
	const {index} = state.configuration;
	return arrival.tokenSha256 === undefined
		? index.openCaller
		: index.callersByToken.get(arrival.tokenSha256);
}

/** A draining instance accepts new requests until the load balancer has had time to deregister it. */
function isClosedToArrivals({state, nowMs}: Context): boolean {
	return state.lifecycle === 'stopped' || (state.lifecycle === 'draining' && nowMs - state.drainSinceMs >= DEREGISTRATION_DELAY_MS);
}

type ArrivalRefusal = {
	readonly code: ResultName;
	readonly detail?: string;
	readonly ran?: ExecutionStatus;
};

function refuseArrival(context: Context, arrival: Arrival, {code, detail, ran = 'no'}: ArrivalRefusal): void {
	context.effects.push({
		kind: 'refuse', requestId: arrival.id, code, ran, detail,
	});
	count(context, 'request.refused', {code});
}
