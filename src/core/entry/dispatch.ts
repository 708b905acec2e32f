/**
Dispatch of waiting requests: the first of a queue is sent to a target with capacity,
has its adapter fetched, or keeps waiting. A queue is checked when its first request
may have become dispatchable, without polling all requests.
*/
import {fetchAdapter} from './adapter-fetching.js';
import {endAtDeadline, refuse} from './closing.js';
import {passOnOrRefuse} from './key-checks.js';
import {isLeaseVacant, leaseReturnMs} from './lease.js';
import {culpritOf, quarantineRefusal} from './quarantine.js';
import {queueKeyOf, queueOf} from './queues.js';
import {type EntryContext, type EntryState} from './state.js';
import {askForPermits} from './rate-permits.js';
import {chooseRelay, isUnreached, sendRelay} from './relay.js';
import {canServe, chooseTarget} from './selection.js';
import {type Target} from './target.js';
import {refuseOrWait} from './patience.js';
import {sendTry} from './send.js';
import {targetsOf} from './targets.js';
import {type EntryRequest} from './types.js';
import {type WaitingQueue} from './waiting-queue.js';

export function enqueue(context: EntryContext, request: EntryRequest): void {
	request.phase = 'queued';
	if (passOnOrRefuse(context, request)) {
		return;
	}

	queueOf(context.state, request.queueKey).push(request);
	dispatchQueue(context, request.queueKey);
	const {state} = context;
	if (state.open.get(request.id)?.phase === 'queued') {
		refuseOrWait(context, request);
	}
}

export function dispatchAll(context: EntryContext): void {
	let served: ReadonlySet<string> | undefined;
	for (const [key, queue] of context.state.queues) {
		if (queue.waiting > 0) {
			served ??= servedKeys(context.state);
			// What no target holds waits for a copy; until then its requests are looked at by their own timers.
			if (served.has(key)) {
				dispatchQueue(context, key);
			}
		}
	}
}

/** Keys of the queues for what any target serves, whether it can be used now or not. */
function servedKeys({targets}: EntryState): Set<string> {
	const keys = new Set<string>();
	for (const {entry: {service, copies}} of targets.values()) {
		keys.add(service);
		for (const {model} of copies) {
			keys.add(queueKeyOf(service, model));
		}
	}

	return keys;
}

/** Checks the queues whose requests a target with new capacity may serve. */
export function dispatchTarget(context: EntryContext, target: Target): void {
	const {service, copies} = target.entry;
	dispatchQueue(context, service);
	for (const {model} of copies) {
		dispatchQueue(context, queueKeyOf(service, model));
	}
}

function dispatchQueue(context: EntryContext, key: string): void {
	const queue = context.state.queues.get(key);
	if (!queue || queue.waiting === 0) {
		return;
	}

	const {nowMs} = context;
	for (let request = queue.peek(nowMs); request; request = queue.peek(nowMs)) {
		if (isKeptBack(context, queue, request)) {
			continue;
		}

		if (isUnreached(context, request)) {
			const peer = chooseRelay(context, request);
			if (peer) {
				queue.shift(nowMs);
				sendRelay(context, request, peer, 'targets-unreached');
				continue;
			}

			if (request.arrival.relayed) {
				refuse(context, request, {code: request.mayHaveRun ? 'target-failed' : 'targets-unreached', reason: 'targets-unreached'});
				continue;
			}
		}

		const choice = chooseTarget(context, request, targetsOf(context.state, request.service));
		const isPermitted = choice.permitFrom !== undefined
			&& askForPermits(context, choice.permitFrom, choice.kind === 'full' ? {requests: queue.waiting, purpose: 'needed'} : {requests: 1, purpose: 'spare'});
		if (choice.kind === 'full' && isPermitted) {
			// One was at hand, so that the request can be sent now.
			continue;
		}

		if (choice.kind === 'none' || choice.kind === 'full' || (choice.kind === 'fetch' && isLeaseVacant(context) && isAdapterHeld(context, request))) {
			return;
		}

		queue.shift(nowMs);
		if (choice.kind === 'send') {
			sendTry(context, request, choice.target);
		} else if (isLeaseVacant(context)) {
			refuseWithoutHolder(context, request);
		} else {
			fetchAdapter(context, request, choice.target);
		}
	}
}

/** Whether no target may get the request, for its deadline, its API key or what it contains. It is passed on or refused then. */
function isKeptBack(context: EntryContext, queue: WaitingQueue, request: EntryRequest): boolean {
	if (context.nowMs >= request.deadlineAtMs) {
		// A late process may handle what gives the request a target before the tick that ends it.
		endAtDeadline(context, request);
		return true;
	}

	if (passOnOrRefuse(context, request)) {
		queue.remove(request);
		return true;
	}

	const culprit = culpritOf(context, request);
	if (culprit !== undefined) {
		refuse(context, request, quarantineRefusal(context, culprit, request.mayHaveRun));
	}

	return culprit !== undefined;
}

/** Whether a target that serves requests holds the adapter of a request, even if it is full. */
function isAdapterHeld({state, nowMs}: EntryContext, request: EntryRequest): boolean {
	const name = `${request.arrival.model}/${request.arrival.adapter}`;
	return targetsOf(state, request.service).some(target => canServe(target, request, nowMs) && target.adapters.has(name));
}

/** Only the lease holder orders adapters. Until there is one again, a request for an adapter that no target holds cannot be served. */
function refuseWithoutHolder(context: EntryContext, request: EntryRequest): void {
	request.phase = 'fetching';
	const detail = 'its adapter cannot be loaded while no instance holds the lease';
	refuse(context, request, request.mayHaveRun ? {code: 'target-failed', reason: 'adapter-missing', detail} : {code: 'no-target', detail, retryAfterMs: leaseReturnMs(context)});
}
