/**
Graceful shutdown: the instance reports not ready at once, completes the requests in
flight and stops soon after the last one. Until the load balancer has deregistered it,
new connections still arrive and are served.
*/
import {logEvent, type EntryContext} from './state.js';

/** The load balancer deregisters an instance after two failed health checks, one a second. */
const DEREGISTRATION_DELAY_MS = 2300;
/** Requests in flight get the grace period of the shutdown, less this time for closing. */
const GRACE_MARGIN_MS = 700;
/** Time to close idle connections and flush their last bytes. */
const CONNECTION_CLOSE_MS = 250;

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
	if (sinceMs >= DEREGISTRATION_DELAY_MS && !state.isCallerListenerClosed) {
		state.isCallerListenerClosed = true;
		context.effects.push({kind: 'close-front'});
	}

	const isIdle = state.open.size === 0 && sinceMs >= DEREGISTRATION_DELAY_MS + CONNECTION_CLOSE_MS;
	if (isIdle || sinceMs >= state.bounds.graceMs - GRACE_MARGIN_MS) {
		state.lifecycle = 'stopped';
		logEvent(context, 'daemon-stopped', {open: state.open.size, tookMs: Math.round(sinceMs)});
		context.effects.push({kind: 'stop'});
	}
}
