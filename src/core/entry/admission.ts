/**
Admission control: an arriving request is put into a waiting queue, or refused at once
when it is known that it cannot be served.
*/
import {resultCodes, type ResultName} from '../result-codes.js';
import {findRoute, pickDestination, type Route} from './configuration.js';
import {close, refuse} from './closing.js';
import {knownAgeMs, mayBeOutdated} from './configuration-watch.js';
import {recordArrival} from './demand.js';
import {hasClosed, isTaken} from './drain.js';
import {beginTrial, culpritOf, quarantineRefusal} from './quarantine.js';
import {pullFrom} from './peer-sync.js';
import {queueKeyOf, queueOf} from './queues.js';
import {admitByQuota} from './quotas.js';
import {type EntryEventOf} from './event.js';
import {OUTDATED_RETRY_MS} from './key-checks.js';
import {retryBudget} from './retry-budgets.js';
import {logEvent, randomFraction, type EntryContext} from './state.js';
import {type EntryArrival, type EntryRequest, type Relayed} from './types.js';
import {authenticate, routeFor} from './workspaces.js';

/** A request whose expected wait exceeds this share of its time is refused early, while its caller can still try elsewhere. */
const MAX_WAIT_SHARE = 0.7;
/** Short, since another instance accepts the caller's next connection at once. */
const STOPPING_RETRY_AFTER_MS = 100;
/** A configuration is read or pulled within this time. */
const NO_CONFIGURATION_RETRY_MS = 300;
/** Part of the time that reading a request takes which does not count against a stream. */
const FREE_READ_MS = 300;

export function handleArrival(context: EntryContext, {arrival}: EntryEventOf<'request-arrived'>): void {
	const {state, nowMs} = context;
	if (hasClosed(context)) {
		// A keep-alive connection that was busy until now; there is no time left for new requests on it.
		refuseArrival(context, arrival, askNext(arrival, {code: 'stopping', retryAfterMs: STOPPING_RETRY_AFTER_MS}));
		return;
	}

	if (!state.configuration) {
		refuseArrival(context, arrival, askNext(arrival, {code: 'no-configuration', retryAfterMs: NO_CONFIGURATION_RETRY_MS}));
		return;
	}

	const relayed = acceptRelay(context, arrival);
	const resolution = resolveRoute(context, arrival, relayed);
	if ('code' in resolution) {
		refuseArrival(context, arrival, withoutUnrecognized(resolution, arrival, relayed));
		return;
	}

	const {service} = resolution;
	const identity = authenticate(context, {keyHash: arrival.keyHash, route: resolution.route, relayed});
	if ('code' in identity) {
		refuseArrival(context, arrival, withoutUnrecognized(identity, arrival, relayed));
		return;
	}

	const {workspace} = identity;
	const route = routeFor(resolution.route, workspace);
	// The instance that passed it on has counted it.
	if (!relayed) {
		retryBudget(state, service).recordRequest(nowMs);
	}

	const culprit = culpritOf(context, {arrival, trialOf: undefined, tries: []});
	if (culprit !== undefined && !beginTrial(context, culprit, arrival)) {
		refuseArrival(context, arrival, quarantineRefusal(context, culprit, false));
		return;
	}

	const remainingMs = Math.min(arrival.deadlineMs ?? route.timeoutMs, route.timeoutMs) - spentMs(route, arrival);
	if (remainingMs <= 0) {
		refuseArrival(context, arrival, {code: 'deadline-unreachable', retryAfterMs: STOPPING_RETRY_AFTER_MS, detail: 'the deadline passed before the request was handled'});
		return;
	}

	if (!isTaken(context, route, remainingMs)) {
		refuseArrival(context, arrival, askNext(arrival, {code: 'stopping', retryAfterMs: STOPPING_RETRY_AFTER_MS, detail: 'it may outlast the stop of the instance, and may not be repeated'}));
		return;
	}

	const request: EntryRequest = {
		id: arrival.id,
		arrival: {...arrival, relayed},
		// Its further attempts stay with the instance that passed it on.
		route: relayed ? {...route, maxAttempts: 1} : route,
		workspace,
		service,
		queueKey: queueKeyOf(service, arrival.model),
		streamId: arrival.resumes ?? arrival.id,
		release: undefined,
		trialOf: culprit,
		arrivedAtMs: nowMs,
		deadlineAtMs: nowMs + remainingMs,
		patienceEndsAtMs: nowMs + Math.min(remainingMs, route.patienceMs),
		tries: [],
		phase: 'queued',
		delivered: 0,
		hasHead: false,
		mayHaveRun: false,
		declined: 0,
	};
	state.open.set(request.id, request);
	recordArrival(context, request);
	const waitMs = queueOf(state, request.queueKey).expectedWaitMs(request);
	if (waitMs > (request.patienceEndsAtMs - nowMs) * MAX_WAIT_SHARE) {
		refuse(context, request, {code: 'deadline-unreachable', retryAfterMs: waitMs});
		return;
	}

	state.timers.push({
		atMs: request.deadlineAtMs, request, kind: 'deadline', tryNumber: 0,
	});
	admitByQuota(context, request);
}

/**
Time of a request that has passed before it arrived here. Callers may count their time from the last byte that they send, and a
stream that has begun can only be broken off at its deadline, which may then not come before theirs.
*/
function spentMs({isStream}: Route, {waitedMs = 0}: EntryArrival): number {
	return isStream ? Math.max(0, waitedMs - FREE_READ_MS) : waitedMs;
}

export function handleCallerLeft(context: EntryContext, {requestId}: EntryEventOf<'caller-left'>): void {
	const request = context.state.open.get(requestId);
	if (request) {
		close(context, request, 'caller-left', {reason: 'caller-left'});
	}
}

/** Undefined for a request that comes from a caller, whatever it claims. */
function acceptRelay(context: EntryContext, {id, relayed}: EntryArrival): Relayed | undefined {
	const {state} = context;
	const peer = relayed && state.peers.get(relayed.by);
	if (!relayed) {
		return undefined;
	}

	if (peer?.instance.boot !== relayed.boot) {
		logEvent(context, 'relay-unrecognized', {
			requestId: id, instanceId: relayed.by, boot: relayed.boot, knownBoot: peer?.instance.boot, configurationVersion: state.configuration?.version, senderVersion: relayed.configurationVersion,
		});
		return undefined;
	}

	const own = state.configuration?.version ?? 0;
	logEvent(context, 'relay-received', {
		requestId: id, instanceId: relayed.by, service: relayed.service, configurationVersion: own, senderVersion: relayed.configurationVersion,
	});
	if (relayed.configurationVersion > own) {
		pullFrom(context, peer);
	}

	return relayed;
}

type Resolution = {
	readonly route: Route;
	readonly service: string;
};

/** The route and service of a request, by the newer of this instance's configuration and that of an instance which passed it on. */
function resolveRoute(context: EntryContext, {host, path}: EntryArrival, relayed: Relayed | undefined): Resolution | Refusal {
	const {state} = context;
	if (relayed && relayed.configurationVersion > state.configuration!.version) {
		return relayed.route
			? {route: relayed.route, service: relayed.service}
			: {code: 'no-configuration', retryAfterMs: NO_CONFIGURATION_RETRY_MS, detail: 'the version by which it was passed on is not known yet'};
	}

	const route = findRoute(state.routes, host, path);
	if (!route) {
		return mayBeOutdated(context)
			? {code: 'configuration-outdated', retryAfterMs: OUTDATED_RETRY_MS, detail: `version ${state.configuration!.version} has no such path, and may not be the newest`}
			: {code: 'path-unknown'};
	}

	const isChosen = relayed !== undefined && route.destinations.some(destination => destination.service === relayed.service);
	const service = isChosen ? relayed.service : pickDestination(route, randomFraction(context));
	return service === undefined ? {code: 'no-target', retryAfterMs: 1000} : {route, service};
}

type Refusal = {
	readonly code: ResultName;
	readonly retryAfterMs?: number;
	readonly detail?: string;
};

/**
A 4xx that rests on what another instance has left out or decided is that instance's to give. One that is not known here has removed
the caller's key, and may have chosen the route by a version that this one lacks.
*/
function withoutUnrecognized(refusal: Refusal, arrival: EntryArrival, relayed: Relayed | undefined): Refusal {
	const {status} = resultCodes[refusal.code];
	return arrival.relayed && !relayed && status >= 400 && status < 500
		? {code: 'relay-unrecognized', detail: `${refusal.code}, for a request that an instance unknown here has passed on`}
		: refusal;
}

/** What rests on the start or the stop of this instance says nothing of the others, which one that has passed the request on can ask. */
function askNext({relayed}: EntryArrival, refusal: Refusal): Refusal {
	return relayed ? {code: 'targets-unreached', detail: refusal.detail ?? refusal.code} : refusal;
}

/** Refuses an arrival before it becomes an open request. */
function refuseArrival(context: EntryContext, arrival: EntryArrival, refusal: Refusal): void {
	context.effects.push({kind: 'refuse', requestId: arrival.id, ...refusal});
	logEvent(context, 'request-refused', {
		requestId: arrival.id,
		code: refusal.code,
		detail: refusal.detail,
		host: arrival.host,
		path: arrival.path,
		relayedBy: arrival.relayed?.by,
		configurationVersion: context.state.configuration?.version,
		configurationAgeMs: knownAgeMs(context),
	});
}
