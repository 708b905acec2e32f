/**
Graceful shutdown in a fixed order: report not ready to the load balancer, announce the
departure to peers, release the lease, keep serving requests that still arrive, wait for
open requests and pending orders and until recorded answers are in the table or on a
peer, then stop.
*/
import {logEvent, type Context} from '../context.js';
import {releaseLease} from '../placement/lease.js';
import {replicateSettlement} from '../request/settlements.js';
import {publishSelf} from './instances.js';

/** Time for the load balancer to stop sending new requests to this instance. */
export const DEREGISTRATION_DELAY_MS = 3000;
const DRAIN_CHECK_INTERVAL_MS = 100;

export function beginDrain(context: Context, reason: string): void {
	const {state, nowMs, effects} = context;
	if (state.lifecycle === 'draining' || state.lifecycle === 'stopped') {
		return;
	}

	state.lifecycle = 'draining';
	logEvent(context, 'daemon-draining', {reason, open: state.requests.open.size});
	effects.push({kind: 'set-readiness', ready: false});
	publishSelf(context, 'leaving');
	releaseLease(context);
	state.drainSinceMs = nowMs;
	state.timers.set(nowMs + DEREGISTRATION_DELAY_MS, {kind: 'periodic', duty: 'drain'});
}

/** Stops the daemon once no requests, orders or unreplicated settlements are left. */
export function runDrain(context: Context): void {
	const {state, nowMs, effects} = context;
	const isIdle = state.requests.open.size === 0
		&& state.placement.orders.size === 0
		&& areSettlementsDurable(context);
	if (!isIdle) {
		state.timers.set(nowMs + DRAIN_CHECK_INTERVAL_MS, {kind: 'periodic', duty: 'drain'});
		return;
	}

	state.lifecycle = 'stopped';
	publishSelf(context, 'gone');
	logEvent(context, 'daemon-stopped', {drainMs: Math.round(nowMs - state.drainSinceMs)});
	effects.push({kind: 'stop'});
}

/** Whether every settlement is in the table or has a replica on a peer. Replicates those that have none. */
function areSettlementsDurable(context: Context): boolean {
	let isDurable = true;
	for (const open of context.state.requests.settlements.values()) {
		const isHeldForPeer = open.settlement.claimant !== context.state.self.id;
		if (open.heldBy.size === 0 && !isHeldForPeer) {
			replicateSettlement(context, open);
			isDurable = false;
		}
	}

	return isDurable;
}
