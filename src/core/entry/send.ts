/**
Sends a try to its target and sets the timer that detects a silent one.
*/
import {upperLimitMs} from '../request/estimate.js';
import {roundedAgeMs} from './configuration-age.js';
import {countInstances} from './peers.js';
import {takePermit} from './rate-permits.js';
import {tokensToRead} from './reading-speed.js';
import {logEvent, type EntryContext} from './state.js';
import {
	estimatedLoad, ownUnreadTokens, unreadTokens, type Target,
} from './target.js';
import {type EntryRequest, type EntryTry} from './types.js';
import {sentWorkspace} from './workspaces.js';

/** Bounds of the time after which a target without a response is considered silent, as multiples of the latency objective. */
const MIN_SILENCE_FACTOR = 1.2;
const MAX_SILENCE_FACTOR = 3;
/** The steps of an engine before and after it reads a prompt take about as long as reading this many tokens. */
const SET_UP_TOKENS = 300;
/** Connections that an instance may keep for a short time even if its share is smaller. */
const MIN_CONNECTIONS = 4;
/** Part of an instance's share that idle connections may take; the rest is left to instances that send more than others. */
const IDLE_SHARE = 0.5;
/** Time reserved for the response to get back to this instance. */
const RESPONSE_MARGIN_MS = 5;

export function sendTry(context: EntryContext, request: EntryRequest, target: Target): void {
	const {state, nowMs, effects} = context;
	const attempt: EntryTry = {
		number: request.tries.length + 1,
		targetId: target.id,
		release: target.entry.release,
		startedAtMs: nowMs,
		unreadTokens: request.arrival.model === undefined ? 0 : ownUnreadTokens(target) + tokensToRead(request.arrival.promptTokens),
		workUnits: workUnits(request, target, nowMs),
		silenceLimitMs: upperLimitMs(target.firstByte, {minMs: request.route.objectiveMs * MIN_SILENCE_FACTOR, maxMs: request.route.objectiveMs * MAX_SILENCE_FACTOR}),
		progressAtMs: nowMs,
		hasBegun: false,
		isHeld: false,
		hasReplacement: false,
		wasSilent: false,
		outcome: undefined,
	};
	const isRetry = request.tries.length > 0;
	request.tries.push(attempt);
	request.phase = 'running';
	takePermit(target, nowMs);
	target.inFlight.set(request.id, attempt.number);
	if (request.arrival.model !== undefined) {
		target.unread.set(request.id, tokensToRead(request.arrival.promptTokens));
		state.loadsToAnnounce.add(target.id);
	}

	const {route} = request;
	effects.push({
		kind: 'send',
		requestId: request.id,
		tryNumber: attempt.number,
		targetId: target.id,
		address: target.entry.address,
		remainingMs: Math.max(1, Math.floor(request.deadlineAtMs - nowMs - RESPONSE_MARGIN_MS)),
		rank: route.rank,
		usesFreshConnection: route.repeat === 'once' || isRetry,
		isStream: route.isStream,
		forwardsErrors: route.repeat === 'once',
		...sentWorkspace(state, request),
		maxConnections: Math.max(MIN_CONNECTIONS, Math.floor(connectionShare(context, target))),
		maxIdleConnections: Math.round(connectionShare(context, target) * IDLE_SHARE),
	});
	logEvent(context, 'try-sent', {
		requestId: request.id,
		tryNumber: attempt.number,
		targetId: target.id,
		zone: target.entry.zone,
		release: target.entry.release,
		resumes: request.arrival.resumes,
		delivered: request.delivered,
		model: request.arrival.model,
		workspace: request.workspace?.name,
		inFlight: target.inFlight.size,
		limitPerSecond: target.rateLimit?.perSecond,
		configurationVersion: state.configuration?.version,
		configurationAgeMs: request.workspace && roundedAgeMs(context),
		registryRevision: state.registry.revision,
		registryAgeMs: Math.round(nowMs - state.registry.freshAtMs),
		waitedMs: Math.round(nowMs - request.arrivedAtMs),
	});
	if (route.repeat === 'idempotent') {
		state.timers.push({
			atMs: nowMs + attempt.silenceLimitMs, request, kind: 'silence', tryNumber: attempt.number,
		});
	}
}

function workUnits({arrival}: EntryRequest, target: Target, nowMs: number): number {
	return arrival.model === undefined
		? Math.max(1, (estimatedLoad(target, nowMs) + 1) / Math.max(1, target.entry.slots))
		: unreadTokens(target, nowMs) + tokensToRead(arrival.promptTokens) + SET_UP_TOKENS;
}

/** This instance's share of the connections that the target accepts from all instances, leaving room for one not known yet. */
function connectionShare({state, nowMs}: EntryContext, target: Target): number {
	const limit = state.configuration?.services.get(target.entry.service)?.maxConnections ?? target.entry.slots;
	return limit / (countInstances(state, nowMs) + 1);
}
