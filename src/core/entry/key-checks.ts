/**
Checks of the API key of a request before each sending: a newer version of the
configuration may have withdrawn it, or this instance may no longer be able to tell. In
the second case a peer that is in touch with the store checks the key and serves the
request.
*/
import {refuse, type EntryRefusal} from './closing.js';
import {configurationAgeMs, isConfigurationOutdated} from './configuration-age.js';
import {chooseInformedPeer, sendRelay} from './relay.js';
import {type EntryContext} from './state.js';
import {type EntryRequest} from './types.js';
import {keyHashOf} from './workspaces.js';

/** Short, since the caller's next connection may reach an instance that is in touch with the store. */
export const OUTDATED_RETRY_MS = 500;

type KeyStanding = 'in-force' | 'withdrawn' | 'unconfirmed';

export function keyStanding(context: EntryContext, request: EntryRequest): KeyStanding {
	const {workspaces, configuration} = context.state;
	const {arrival} = request;
	// A newer version may contain no workspaces any more; what a peer passed on by a newer version than this instance's does belong to one.
	if (!request.workspace || (!workspaces && !arrival.relayed)) {
		return 'in-force';
	}

	const hash = keyHashOf(arrival);
	// A peer that passed the request on by a newer version has checked the key by that version.
	const isJudge = (arrival.relayed?.configurationVersion ?? 0) <= (configuration?.version ?? 0);
	if (isJudge && workspaces && (hash === undefined || !workspaces.byKeyHash.has(hash))) {
		return 'withdrawn';
	}

	return isConfigurationOutdated(context) ? 'unconfirmed' : 'in-force';
}

/** Passes a request whose key this instance must not accept on to a peer, or refuses it. Returns false if its key is in force. */
export function passOnOrRefuse(context: EntryContext, request: EntryRequest): boolean {
	const standing = keyStanding(context, request);
	if (standing === 'in-force') {
		return false;
	}

	const peer = standing === 'unconfirmed' ? chooseInformedPeer(context, request) : undefined;
	if (peer) {
		sendRelay(context, request, peer, 'configuration-outdated');
	} else {
		refuse(context, request, refusalFor(context, request, standing));
	}

	return true;
}

function refusalFor(context: EntryContext, {mayHaveRun}: EntryRequest, standing: Exclude<KeyStanding, 'in-force'>): EntryRefusal {
	if (standing === 'withdrawn') {
		const detail = `version ${context.state.configuration?.version} of the configuration has withdrawn the key`;
		return mayHaveRun ? {code: 'target-failed', reason: 'key-withdrawn', detail} : {code: 'api-key-unknown', detail};
	}

	const detail = outdatedDetail(context);
	return mayHaveRun ? {code: 'target-failed', reason: 'configuration-outdated', detail} : {code: 'configuration-outdated', detail, retryAfterMs: OUTDATED_RETRY_MS};
}

export function outdatedDetail(context: EntryContext): string {
	const ageMs = configurationAgeMs(context);
	return Number.isFinite(ageMs)
		? `the configuration was last known to be the newest ${Math.round(ageMs)} ms ago`
		: 'it is not known yet whether the configuration is the newest';
}
