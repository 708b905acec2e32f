/**
Limits concurrent adapter transfers, that is fetches by engines on behalf of requests.
A transfer takes a few milliseconds as long as few are in progress over all targets;
beyond that limit its duration grows in proportion to their number. Each instance
therefore keeps to its share of the limit: a request whose adapter is loaded on no
target with room waits until one of this instance's transfers ends.
*/
import {type State} from '../state.js';
import {type Target} from './target.js';
import {type OpenRequest} from './types.js';

export function needsTransfer(target: Target, request: OpenRequest): boolean {
	return request.adapter !== undefined && !target.adapters.has(request.adapter);
}

/** Whether one more transfer stays within this instance's share, which is at least one. */
export function canStartTransfer({configuration, membership, requests}: State): boolean {
	const {adapterTransfersAtOnce} = configuration.configuration.limits;
	const share = Math.max(1, Math.floor(adapterTransfersAtOnce / (membership.size + 1)));
	return requests.adapterTransfers.size < share;
}

/** Registers a transfer if the request is sent to a target that lacks its adapter. */
export function trackTransfer({requests}: State, target: Target, request: OpenRequest): void {
	if (needsTransfer(target, request)) {
		requests.adapterTransfers.add(request.id);
	}
}

/**
Ends the request's transfer: its response began, so the adapter is loaded, or its try
ended. Returns whether there was one.
*/
export function endTransfer({requests}: State, request: OpenRequest): boolean {
	return requests.adapterTransfers.delete(request.id);
}
