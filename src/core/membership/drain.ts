/**
Graceful shutdown. The order is fixed: tell peers and the balancer, go on serving
what still arrives while they take note, hand the lease back, wait for requests in
flight and for recorded answers, then stop.
*/
import {log, type Context} from '../context.js';
import {releaseLease} from '../placement/lease.js';
import {replicateSettlement} from '../request/settlements.js';
import {announceSelf} from './instances.js';

/** Time for the balancer to stop sending new requests here. */
export const DEREGISTRATION_DELAY_MS = 3000;
const DRAIN_CHECK_MS = 100;

export function startDrain(context: Context, reason: string): void {
	const {state, nowMs, effects} = context;
	if (state.lifecycle === 'draining' || state.lifecycle === 'stopped') {
		return;
	}

	state.lifecycle = 'draining';
	log(context, 'daemon-draining', {reason, open: state.requests.open.size});
	effects.push({kind: 'set-readiness', ready: false});
	announceSelf(context, 'leaving');
	releaseLease(context);
	state.drainSinceMs = nowMs;
	state.timers.set(nowMs + DEREGISTRATION_DELAY_MS, {kind: 'periodic', duty: 'drain'});
}

/** Stops once nothing of this instance would be lost. */
export function runDrain(context: Context): void {
	const {state, nowMs, effects} = context;
	const isIdle = state.requests.open.size === 0
		&& state.placement.orders.size === 0
		&& areSettlementsSafe(context);
	if (!isIdle) {
		state.timers.set(nowMs + DRAIN_CHECK_MS, {kind: 'periodic', duty: 'drain'});
		return;
	}

	state.lifecycle = 'stopped';
	announceSelf(context, 'gone');
	log(context, 'daemon-stopped', {drainMs: Math.round(nowMs - state.drainSinceMs)});
	effects.push({kind: 'stop'});
}

/** Whether every settlement is in the table or kept by a peer. */
function areSettlementsSafe(context: Context): boolean {
	let isSafe = true;
	for (const open of context.state.requests.settlements.values()) {
		const isHeldForPeer = open.settlement.claimant !== context.state.self.id;
		if (open.heldBy.size === 0 && !isHeldForPeer) {
			replicateSettlement(context, open);
			isSafe = false;
		}
	}

	return isSafe;
}
