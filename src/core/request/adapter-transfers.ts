/**
Adapters that engines fetch because a request needs them. A transfer takes a few
milliseconds while few are in transit over all targets, and longer in proportion
beyond that, so each instance keeps to its share of that number: a request whose
adapter is on no target with room waits until one of this instance's transfers ends.
*/
import {type State} from '../state.js';
import {type Target} from './target.js';
import {type OpenRequest} from './types.js';

export function needsTransfer(target: Target, request: OpenRequest): boolean {
	return request.adapter !== undefined && !target.adapters.has(request.adapter);
}

/** Whether one more transfer keeps this instance within its share. Every instance may have one. */
export function canStartTransfer({configuration, membership, requests}: State): boolean {
	const {adapterTransfersAtOnce} = configuration.configuration.limits;
	const share = Math.max(1, Math.floor(adapterTransfersAtOnce / (membership.size + 1)));
	return requests.adapterTransfers.size < share;
}

/** Counts a request that is sent to a target without its adapter. */
export function trackTransfer({requests}: State, target: Target, request: OpenRequest): void {
	if (needsTransfer(target, request)) {
		requests.adapterTransfers.add(request.id);
	}
}

/** The answer began, so the adapter is there; or the try ended. */
export function endTransfer({requests}: State, request: OpenRequest): boolean {
	return requests.adapterTransfers.delete(request.id);
}
