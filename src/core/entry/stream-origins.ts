/**
Origins of streams. What two releases of a service write does not fit together, so a
stream goes on only at the release that began it. An instance remembers the release of
each stream that it passes on. While several releases of a service are known, it also
tells a few instances in several availability zones, its keepers, so that the origin
outlives it; the instance at which a caller resumes a stream asks them. Where nobody knows,
the stream goes on only if a single release is proven to have been able to begin it: by the
registry, read since the caller came back, and by the record of releases where this
instance has not followed the registry for as long as streams last.
*/
import fnv1a from '@sindresorhus/fnv1a';
import {refuse} from './closing.js';
import {findRoute} from './configuration.js';
import {recordArrival, recordClosed} from './demand.js';
import {enqueue} from './dispatch.js';
import {type EntryEventOf} from './event.js';
import {openTries} from './open-tries.js';
import {type AnnouncedOrigin} from './peer-messages.js';
import {liveInstances, PEER_SILENT_MS} from './peers.js';
import {queueKeyOf} from './queues.js';
import {canReadStore, readRegistrySince} from './registry-readers.js';
import {
	openRequest, type EntryContext, type EntryState, type Timer,
} from './state.js';
import {recentReleases, STREAM_LIFETIME_MS} from './release-history.js';
import {askReleaseRecord, onlyOrigin} from './release-record.js';
import {canGoOn} from './targets.js';
import {
	type EntryInstance, type EntryRequest, type EntryTry, type StreamOrigin,
} from './types.js';

/** Availability zones beside the own one in which an instance is told. */
const OTHER_KEEPER_ZONES = 2;
/** Instances asked in each zone: the first of them may have joined since, and others may be gone. */
const ASKED_PER_ZONE = 3;
/** Several round trips between zones, and delays of busy instances. */
const ANSWER_TIMEOUT_MS = 250;

/** Resumes a stream for its caller once it is known which release began it. */
export function resumeStream(context: EntryContext, request: EntryRequest): void {
	const {state, nowMs} = context;
	const {relayed} = request.arrival;
	const known = relayed?.release === undefined ? state.streamOrigins.get(request.streamId) : {service: relayed.service, release: relayed.release};
	if (known) {
		goOn(context, request, known);
		return;
	}

	if (possibleOrigins(context, request).length > 1) {
		askPeers(context, request);
	} else if (!goOnIfProven(context, request)) {
		const isCertain = isInStep(state, nowMs) && canReadStore(state, nowMs);
		beginResolving(context, request, isCertain ? [] : askedAddresses(context, request));
		state.unprovenStreams.add(request.id);
		requestProof(context, request);
	}
}

/** Whether every target that was listed in the lifetime of streams has been seen here. */
function isInStep({registry}: EntryState, nowMs: number): boolean {
	return nowMs - registry.inStepSinceMs >= STREAM_LIFETIME_MS;
}

function askPeers(context: EntryContext, request: EntryRequest): void {
	const addresses = askedAddresses(context, request);
	if (addresses.length === 0) {
		refuseUnknown(context, request);
	} else {
		beginResolving(context, request, addresses);
	}
}

/** Peers can be asked only if the caller says which stream it resumes. */
function askedAddresses(context: EntryContext, {arrival, streamId}: EntryRequest): string[] {
	return arrival.resumes === undefined ? [] : askedInstances(context, streamId).map(({beaconAddress}) => beaconAddress);
}

/** Holds the request until the origin of its stream is found, but no longer than peers take to answer. */
function beginResolving({state, nowMs, effects}: EntryContext, request: EntryRequest, addresses: readonly string[]): void {
	if (request.phase !== 'resolving') {
		request.phase = 'resolving';
		state.timers.push({
			atMs: nowMs + ANSWER_TIMEOUT_MS, request, kind: 'origin', tryNumber: 0,
		});
	}

	if (addresses.length > 0) {
		const waiting = state.originQueries.get(request.streamId) ?? [];
		state.originQueries.set(request.streamId, [...waiting, request.id]);
		effects.push({kind: 'ask-origin', addresses, query: {streamId: request.streamId, replyTo: state.self.beaconAddress}});
	}
}

/** Reads what proves that a single release can have begun the stream. */
function requestProof(context: EntryContext, {arrivedAtMs}: EntryRequest): void {
	const {state, nowMs} = context;
	readRegistrySince(context, arrivedAtMs);
	if (!isInStep(state, nowMs)) {
		askReleaseRecord(context, arrivedAtMs);
	}
}

/** Neither peers nor the store have answered in time with what began the stream. */
export function handleOriginTimeout(context: EntryContext, timer: Timer): void {
	const {open, originQueries, unprovenStreams} = context.state;
	const request = openRequest(context, timer);
	const isUnproven = (request !== undefined || !open.has(timer.request.id)) && unprovenStreams.delete(timer.request.id);
	if (request?.phase === 'resolving' && !(isUnproven && goOnIfProven(context, request))) {
		refuseUnknown(context, request);
	}

	for (const [streamId, requestIds] of originQueries) {
		if (requestIds.every(id => open.get(id)?.phase !== 'resolving')) {
			originQueries.delete(streamId);
		}
	}
}

/** The stream has brought its first event, from the release of that try's target. */
export function recordOrigin(context: EntryContext, request: EntryRequest, {release}: EntryTry): void {
	const {state} = context;
	if (request.release !== undefined || release === undefined) {
		return;
	}

	request.release = release;
	const origin = {service: request.service, release};
	state.streamOrigins.set(request.streamId, origin);
	const announced: AnnouncedOrigin = [request.streamId, origin.service, origin.release];
	if (state.mixedServices.has(request.service) || possibleServices(context, request).length > 1) {
		announce(context, [announced]);
	}

	// The instance that passed the request on has to continue the stream if this one breaks off.
	const sender = request.arrival.relayed && state.peers.get(request.arrival.relayed.by);
	if (sender) {
		context.effects.push({kind: 'announce-origins', addresses: [sender.instance.beaconAddress], announcement: {origins: [announced]}});
	}
}

/** Notes which services run several releases, or have until lately. When one begins to, the origins of its open streams are announced. */
export function updateMixedServices(context: EntryContext): void {
	const {targets, releaseHistory, mixedServices, open} = context.state;
	const releases = new Map([...releaseHistory.listedUntilMs].map(([service, ended]) => [service, new Set(ended.keys())]));
	for (const {entry: {service, release}} of targets.values()) {
		releases.set(service, (releases.get(service) ?? new Set()).add(release));
	}

	for (const [service, {size}] of releases) {
		if (size > 1 && !mixedServices.has(service)) {
			mixedServices.add(service);
			const begun = [...open.values()].filter(request => request.service === service && request.release !== undefined);
			announce(context, begun.map(({streamId, release = ''}) => [streamId, service, release] as const));
		} else if (size <= 1) {
			mixedServices.delete(service);
		}
	}
}

export function handleOriginsAnnounced({state}: EntryContext, {announcement}: EntryEventOf<'origins-announced'>): void {
	for (const [streamId, service, release] of announcement.origins) {
		state.streamOrigins.set(streamId, {service, release});
		const request = state.open.get(streamId);
		if (request?.service === service && openTries(request).some(({isRelay}) => isRelay)) {
			request.release ??= release;
		}
	}
}

export function handleOriginAsked({state, effects}: EntryContext, {query: {streamId, replyTo}}: EntryEventOf<'origin-asked'>): void {
	const origin = state.streamOrigins.get(streamId);
	if (origin) {
		effects.push({kind: 'announce-origins', addresses: [replyTo], announcement: {origins: [[streamId, origin.service, origin.release]]}});
	}
}

/** Continues the requests that were waiting for an origin that is known now. */
export function continueResolved(context: EntryContext): void {
	const {state} = context;
	for (const [streamId, requestIds] of state.originQueries) {
		const origin = state.streamOrigins.get(streamId);
		if (!origin) {
			continue;
		}

		state.originQueries.delete(streamId);
		for (const requestId of requestIds) {
			const request = state.open.get(requestId);
			if (request?.phase === 'resolving') {
				goOn(context, request, origin);
			}
		}
	}
}

/** Continues the requests whose streams a single release can have begun, by what was read since they came, and reads on for the others. */
export function continueProven(context: EntryContext): void {
	const {state} = context;
	for (const requestId of state.unprovenStreams) {
		const request = state.open.get(requestId);
		if (request?.phase !== 'resolving') {
			state.unprovenStreams.delete(requestId);
		} else if (possibleOrigins(context, request).length > 1) {
			state.unprovenStreams.delete(requestId);
			if (!state.originQueries.get(request.streamId)?.includes(requestId)) {
				askPeers(context, request);
			}
		} else if (!goOnIfProven(context, request)) {
			requestProof(context, request);
		}
	}
}

function goOnIfProven(context: EntryContext, request: EntryRequest): boolean {
	const origin = provenOrigin(context, request);
	if (origin) {
		context.state.unprovenStreams.delete(request.id);
		goOn(context, request, origin);
	}

	return origin !== undefined;
}

/** Called before a configuration is replaced. */
export function keepFormerRoutes({state, nowMs}: EntryContext): void {
	state.formerRoutes = [...state.formerRoutes.filter(({untilMs}) => nowMs < untilMs), {routes: state.routes, untilMs: nowMs + STREAM_LIFETIME_MS}];
}

/** Announces the open streams whose callers may find another service when they resume them. */
export function announceMovedStreams(context: EntryContext): void {
	const begun = [...context.state.open.values()].filter(request => request.release !== undefined && leadsElsewhere(context, request));
	announce(context, begun.map(({streamId, service, release = ''}) => [streamId, service, release] as const));
}

/** Whether a resumption of the stream may be sent to a service that its own route did not lead to. */
function leadsElsewhere({state}: EntryContext, {arrival: {host, path}, route}: EntryRequest): boolean {
	const destinations = findRoute(state.routes, host, path)?.destinations ?? [];
	return destinations.some(({service}) => route.destinations.every(known => known.service !== service));
}

/** Services that may have begun the stream of a request: it may have been sent to any that its path leads or has led to lately. */
function possibleServices({state, nowMs}: EntryContext, {arrival: {host, path}, route, service}: EntryRequest): string[] {
	const former = state.formerRoutes.filter(({untilMs}) => nowMs < untilMs).map(({routes}) => findRoute(routes, host, path));
	const destinations = [route, ...former].flatMap(({destinations: leads} = route) => leads);
	return [...new Set([service, ...destinations.map(destination => destination.service)])];
}

/** What may have begun the stream of a request, by what is and was listed here. */
function possibleOrigins(context: EntryContext, request: EntryRequest): StreamOrigin[] {
	return possibleServices(context, request).flatMap(service => [...recentReleases(context, service)].map(release => ({service, release})));
}

/** What alone can have begun the stream; undefined while that is not proven. */
function provenOrigin(context: EntryContext, request: EntryRequest): StreamOrigin | undefined {
	const {arrivedAtMs} = request;
	const {state, nowMs} = context;
	const {registry} = state;
	// An instance that has just started binds the stream to the release on record before it has read the registry.
	const isCurrent = registry.confirmedAtMs >= arrivedAtMs || !Number.isFinite(registry.freshAtMs) || isStoreSilentToAll(state, nowMs);
	if (!isCurrent) {
		return undefined;
	}

	const [origin, ...others] = possibleOrigins(context, request);
	return isInStep(state, nowMs) && others.length === 0 ? origin : onlyOrigin(context, possibleServices(context, request), arrivedAtMs);
}

/** Whether no instance that is heard of reads the store, so that none has learned of a release since this one has. */
function isStoreSilentToAll(state: EntryState, nowMs: number): boolean {
	const others = [...state.peers.values()].filter(({isLeaving}) => !isLeaving);
	const heard = others.filter(({beaconReceivedAtMs}) => nowMs - beaconReceivedAtMs < PEER_SILENT_MS);
	return !canReadStore(state, nowMs) && heard.every(peer => !peer.canReadStore) && (heard.length > 0 || others.length === 0);
}

function goOn(context: EntryContext, request: EntryRequest, {service, release}: StreamOrigin): void {
	const {state} = context;
	if (service !== request.service) {
		if (!request.route.destinations.some(destination => destination.service === service)) {
			refuseResumption(context, request, 'the route does not lead to the service that began the stream');
			return;
		}

		recordClosed(context, request);
		request.service = service;
		request.queueKey = queueKeyOf(service, request.arrival.model);
		recordArrival(context, request);
	}

	request.release = release;
	state.streamOrigins.set(request.streamId, {service, release});
	if (canGoOn(context, request)) {
		enqueue(context, request);
	} else {
		refuseResumption(context, request, 'no target of the release that began the stream is left');
	}
}

function refuseUnknown(context: EntryContext, request: EntryRequest): void {
	refuseResumption(context, request, 'the release that began the stream is not known');
}

function refuseResumption(context: EntryContext, request: EntryRequest, detail: string): void {
	refuse(context, request, {code: 'stream-not-resumable', detail});
}

function announce(context: EntryContext, origins: readonly AnnouncedOrigin[]): void {
	const {effects} = context;
	const byAddress = new Map<string, AnnouncedOrigin[]>();
	for (const origin of origins) {
		for (const {beaconAddress} of keepers(context, origin[0])) {
			byAddress.set(beaconAddress, [...byAddress.get(beaconAddress) ?? [], origin]);
		}
	}

	for (const [address, kept] of byAddress) {
		effects.push({kind: 'announce-origins', addresses: [address], announcement: {origins: kept}});
	}
}

/** The instances that are told a stream's origin: the first one of the own zone and of some others. */
function keepers(context: EntryContext, streamId: string): EntryInstance[] {
	const {zone} = context.state.self;
	const others = [...rankedByZone(context, streamId)].filter(([name]) => name !== zone)
		.sort(([a], [b]) => rankKey(streamId, b) - rankKey(streamId, a))
		.slice(0, OTHER_KEEPER_ZONES);
	const own = rankedByZone(context, streamId).get(zone);
	return [...own ? [own] : [], ...others.map(([, ranked]) => ranked)].flatMap(ranked => ranked.slice(0, 1));
}

function askedInstances(context: EntryContext, streamId: string): EntryInstance[] {
	return [...rankedByZone(context, streamId).values()].flatMap(ranked => ranked.slice(0, ASKED_PER_ZONE));
}

/** The other instances by zone, each zone's in the order that all instances give them for this stream (rendezvous hashing). */
function rankedByZone({state, nowMs}: EntryContext, streamId: string): Map<string, EntryInstance[]> {
	const {self, peers} = state;
	const live = new Set(liveInstances(state, nowMs).map(({id}) => id));
	const byZone = new Map<string, EntryInstance[]>();
	for (const {instance, isLeaving} of peers.values()) {
		// Instances of other zones are heard from too rarely to tell whether they live.
		if (!isLeaving && (instance.zone !== self.zone || live.has(instance.id))) {
			byZone.set(instance.zone, [...byZone.get(instance.zone) ?? [], instance]);
		}
	}

	for (const instances of byZone.values()) {
		instances.sort((a, b) => rankKey(streamId, b.id) - rankKey(streamId, a.id));
	}

	return byZone;
}

function rankKey(streamId: string, name: string): number {
	return Number(fnv1a(`${streamId} ${name}`, {size: 32}));
}
