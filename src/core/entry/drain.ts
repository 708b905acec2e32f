/**
Graceful shutdown: the instance reports not ready at once, completes the requests in
flight and stops soon after the last one. Until the load balancer has deregistered it,
new connections still arrive and are served. What is open shortly before the end of the
grace period gets its final response then.
*/
import {upperLimitMs} from '../request/estimate.js';
import {refuse} from './closing.js';
import {type Route} from './configuration.js';
import {type EntryEventOf} from './event.js';
import {currentTry} from './open-tries.js';
import {logEvent, type EntryContext} from './state.js';
import {type EntryRequest} from './types.js';

/** The load balancer deregisters an instance after two failed health checks, one a second. */
const DEREGISTRATION_DELAY_MS = 2300;
/** Requests that come later may outlast the grace period. */
const MAX_ACCEPTING_MS = 2900;
/** Requests in flight get the grace period of the shutdown, less this time for their final responses and for closing. */
const GRACE_MARGIN_MS = 700;
/** Part of the grace period that this time may take where the process is behind. */
const MAX_MARGIN_SHARE = 0.16;
/** Requests that still wait this long after the drain has begun are refused: another instance accepts them at once, and the grace period would end before an answer. */
const MAX_WAIT_MS = 1000;
/** Short, since the caller's next connection goes to another instance. */
const RETRY_AFTER_MS = 100;
/** Answers from which the usual time of a route's requests is known, and the factor by which the time left has to exceed it. */
const MIN_SAMPLES = 10;
const USUAL_FACTOR = 2;
/** Time to close idle connections and flush their last bytes. */
const CONNECTION_CLOSE_MS = 250;

export function beginDrain(context: EntryContext, {noticedWithinMs = 0}: EntryEventOf<'drain-requested'>): void {
	const {state, nowMs} = context;
	if (state.lifecycle !== 'serving' && state.lifecycle !== 'starting') {
		return;
	}

	state.lifecycle = 'draining';
	state.drainSinceMs = nowMs - noticedWithinMs;
	state.drainNoticedAtMs = nowMs;
	state.beaconsSentAtMs = Number.NEGATIVE_INFINITY;
	context.effects.push({kind: 'set-readiness', isReady: false});
	logEvent(context, 'daemon-draining', {reason: 'signal', open: state.open.size, noticedWithinMs: Math.round(noticedWithinMs)});
}

export function runDrain(context: EntryContext): void {
	const {state, nowMs} = context;
	if (state.lifecycle !== 'draining') {
		return;
	}

	const sinceMs = nowMs - state.drainSinceMs;
	const isEnding = nowMs >= endOfDrainMs(context);
	if (!state.isCallerListenerClosed && hasClosed(context)) {
		state.isCallerListenerClosed = true;
		context.effects.push({kind: 'close-front'});
	}

	if (sinceMs >= MAX_WAIT_MS) {
		refuseWaiting(context);
	}

	const open = state.open.size;
	if (isEnding) {
		endOpen(context, nowMs >= endOfStreamsMs(context));
	}

	if (state.open.size === 0 && (isEnding || nowMs >= closingMs(context) + CONNECTION_CLOSE_MS)) {
		state.lifecycle = 'stopped';
		logEvent(context, 'daemon-stopped', {open, tookMs: Math.round(sinceMs)});
		context.effects.push({kind: 'stop'});
	}
}

/** Whether no request is taken any more. A process that is behind reads requests before the tick that closes its listener. */
export function hasClosed(context: EntryContext): boolean {
	const {state, nowMs} = context;
	return state.isCallerListenerClosed || (state.lifecycle === 'draining' && nowMs >= Math.min(closingMs(context), endOfDrainMs(context)));
}

/** When new connections are no longer accepted. A process that noticed the signal late has less time left for what they bring. */
function closingMs({state}: EntryContext): number {
	return Math.min(state.drainNoticedAtMs + DEREGISTRATION_DELAY_MS, state.drainSinceMs + MAX_ACCEPTING_MS);
}

/** When the requests that are still open get their final response. A process that was behind when it noticed the signal may be again. */
function endOfDrainMs({state}: EntryContext): number {
	const {drainSinceMs, drainNoticedAtMs, bounds: {graceMs}} = state;
	const marginMs = Math.min(graceMs * MAX_MARGIN_SHARE, GRACE_MARGIN_MS + drainNoticedAtMs - drainSinceMs);
	return drainSinceMs + graceMs - Math.max(GRACE_MARGIN_MS, marginMs);
}

/**
When streams that have begun are broken off. They have no final response that would have to be sent in time, so that they go on
until shortly before the process is killed if the signal came at the last possible moment.
*/
function endOfStreamsMs({state}: EntryContext): number {
	return state.drainNoticedAtMs + state.bounds.graceMs - GRACE_MARGIN_MS;
}

/**
Whether a new request is taken while the instance stops. One that may not be repeated would be left with an unknown outcome if it
outlasted the grace period, and another instance accepts it at once; so its time has to end before, or the usual time of such requests
well before.
*/
export function isTaken(context: EntryContext, {repeat, name}: Route, remainingMs: number): boolean {
	const {state, nowMs} = context;
	if (state.lifecycle !== 'draining' || repeat === 'idempotent') {
		return true;
	}

	const usual = state.answerTimes.get(name);
	const usualMs = usual && usual.samples >= MIN_SAMPLES ? upperLimitMs(usual, {minMs: 0, maxMs: Number.POSITIVE_INFINITY}) * USUAL_FACTOR : Number.POSITIVE_INFINITY;
	return nowMs + Math.min(remainingMs, usualMs) <= endOfDrainMs(context);
}

/** Gives the requests that outlast the grace period their final response, while there is time to send it. */
function endOpen(context: EntryContext, endsStreams: boolean): void {
	const requests = [...context.state.open.values()].filter(({hasHead}) => endsStreams || !hasHead);
	// Those that wait go first, so that none is sent to a slot that another one leaves.
	for (const request of [...requests.filter(({phase}) => phase !== 'running'), ...requests.filter(({phase}) => phase === 'running')]) {
		endRequest(context, request, 'the instance stopped before the answer was whole');
	}
}

/** A 503 states that the request has not run and never will. */
function endRequest(context: EntryContext, request: EntryRequest, detail: string): void {
	const isSent = request.mayHaveRun || currentTry(request) !== undefined;
	refuse(context, request, {reason: 'instance-stopped', detail, ...isSent ? {code: 'target-failed'} : {code: 'stopping', retryAfterMs: RETRY_AFTER_MS}});
}

function refuseWaiting(context: EntryContext): void {
	for (const request of context.state.open.values()) {
		const {phase, hasHead, arrivedAtMs} = request;
		// A stream that has begun cannot be refused any more; it waits as long as its caller does.
		if (phase !== 'running' && !hasHead && context.nowMs - arrivedAtMs >= MAX_WAIT_MS) {
			endRequest(context, request, 'the instance is stopping, and no target had room');
		}
	}
}
