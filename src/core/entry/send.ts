/**
Sending a try to its target.
*/
import {upperLimitMs} from '../request/estimate.js';
import {logEvent, type EntryContext} from './state.js';
import {type Target} from './target.js';
import {type EntryRequest, type EntryTry} from './types.js';

/** Least and most time in which a target must have begun its answer before it is taken for silent, in objectives. */
const SILENCE_LEAST = 1.2;
const SILENCE_MOST = 3;
/** Time that the answer needs on its way back to this instance. */
const RETURN_MS = 5;

export function sendTry(context: EntryContext, request: EntryRequest, target: Target): void {
	const {state, nowMs, effects} = context;
	const attempt: EntryTry = {
		number: request.tries.length + 1,
		targetId: target.id,
		startedAtMs: nowMs,
		progressAtMs: nowMs,
		hasBegun: false,
		outcome: undefined,
	};
	const isRepeat = request.tries.length > 0;
	request.tries.push(attempt);
	request.phase = 'running';
	target.inFlight.set(request.id, attempt.number);
	const {route} = request;
	effects.push({
		kind: 'send',
		requestId: request.id,
		tryNumber: attempt.number,
		targetId: target.id,
		address: target.entry.address,
		remainingMs: Math.max(1, Math.floor(request.deadlineAtMs - nowMs - RETURN_MS)),
		rank: route.rank,
		usesFreshConnection: route.repeat === 'once' || isRepeat,
		isStream: route.isStream,
		passesErrors: route.repeat === 'once',
		maxConnections: connectionShare(context, target),
	});
	logEvent(context, 'try-sent', {
		requestId: request.id,
		tryNumber: attempt.number,
		targetId: target.id,
		zone: target.entry.zone,
		model: request.arrival.model,
		inFlight: target.inFlight.size,
		registryRevision: state.registry.revision,
		registryAgeMs: Math.round(nowMs - state.registry.freshAtMs),
		waitedMs: Math.round(nowMs - request.arrivedAtMs),
	});
	if (route.repeat === 'idempotent') {
		const limitMs = upperLimitMs(target.firstByte, {minMs: route.objectiveMs * SILENCE_LEAST, maxMs: route.objectiveMs * SILENCE_MOST});
		state.due.push({
			atMs: nowMs + limitMs, requestId: request.id, kind: 'silence', tryNumber: attempt.number,
		});
	}
}

/** A part of the connections that the target accepts, with room for instances that are not known yet. */
function connectionShare({state}: EntryContext, target: Target): number {
	const most = state.configuration?.services.get(target.entry.service)?.maxConnections ?? target.entry.slots;
	return Math.max(4, Math.floor(most / (state.peers.size + 2)));
}
