/**
A planned stop: not ready at once, nothing in flight cut off, and gone soon after the
last request. New connections still come until the balancer has taken note; they are
served.
*/
import {logEvent, type EntryContext} from './state.js';

/** The balancer takes an instance out after two missed questions, one a second. */
const LINGER_MS = 2300;
/** Requests in flight get the stop's grace, less the time that closing takes. */
const GRACE_MARGIN_MS = 700;
/** Idle connections are closed and their last bytes sent in this time. */
const CLOSE_MS = 250;

export function beginDrain(context: EntryContext): void {
	const {state, nowMs} = context;
	if (state.lifecycle !== 'serving' && state.lifecycle !== 'starting') {
		return;
	}

	state.lifecycle = 'draining';
	state.drainSinceMs = nowMs;
	state.beaconsSentAtMs = Number.NEGATIVE_INFINITY;
	context.effects.push({kind: 'set-readiness', isReady: false});
	logEvent(context, 'daemon-draining', {reason: 'signal', open: state.open.size});
}

export function runDrain(context: EntryContext): void {
	const {state, nowMs} = context;
	if (state.lifecycle !== 'draining') {
		return;
	}

	const sinceMs = nowMs - state.drainSinceMs;
	if (sinceMs >= LINGER_MS && !state.isFrontClosed) {
		state.isFrontClosed = true;
		context.effects.push({kind: 'close-front'});
	}

	const isIdle = state.open.size === 0 && sinceMs >= LINGER_MS + CLOSE_MS;
	if (isIdle || sinceMs >= state.bounds.graceMs - GRACE_MARGIN_MS) {
		state.lifecycle = 'stopped';
		logEvent(context, 'daemon-stopped', {open: state.open.size, tookMs: Math.round(sinceMs)});
		context.effects.push({kind: 'stop'});
	}
}
