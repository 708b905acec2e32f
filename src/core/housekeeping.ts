/**
Periodic cleanup of state that expires without an event of its own.
*/
import {type Context} from './context.js';
import {dispatchRoute} from './request/dispatch.js';
import {expireSuspects} from './request/crash-suspects.js';

const HOUSEKEEPING_INTERVAL_MS = 1000;
const GONE_RETENTION_MS = 60 * 60 * 1000;

export function runHousekeeping(context: Context): void {
	const {state, nowMs} = context;
	state.timers.set(nowMs + HOUSEKEEPING_INTERVAL_MS, {kind: 'periodic', duty: 'housekeeping'});
	expireSuspects(context);
	removeGoneInstances(context);
	for (const [id, {queue}] of state.requests.routes) {
		if (queue.waiting > 0) {
			dispatchRoute(context, id);
		}
	}
}

function removeGoneInstances({state, nowMs}: Context): void {
	for (const [id, {instance}] of state.membership.members) {
		const key = `instance/${id}`;
		const record = state.peers.facts.get(key);
		if (instance.state === 'gone' && (!record || nowMs - record.receivedAtMs > GONE_RETENTION_MS)) {
			state.membership.members.delete(id);
			state.membership.invalidate();
			state.peers.facts.delete(key);
		}
	}
}
