/**
Targets of a service.
*/
import {type EntryContext, type EntryState} from './state.js';
import {isListed, type Target} from './target.js';
import {type EntryRequest} from './types.js';

export function targetsOf({targets}: EntryState, service: string): Target[] {
	return [...targets.values()].filter(({entry}) => entry.service === service);
}

/** Whether a target of the release that began the request's stream is listed, or may turn out to be once the registry is read; true for requests that are not bound to one. */
export function canGoOn({state, nowMs}: Pick<EntryContext, 'state' | 'nowMs'>, {service, release}: EntryRequest): boolean {
	return release === undefined || !Number.isFinite(state.registry.freshAtMs) || targetsOf(state, service).some(target => target.entry.release === release && isListed(target, nowMs));
}
