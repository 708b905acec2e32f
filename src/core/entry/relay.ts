/**
Passing requests on to another instance. An instance that cannot open a connection to any
target that could serve a request, while peers may reach them, sends the request to one
of these as its caller would. There is one hop: the other instance serves the request or
refuses it. The newer of the two configurations decides how it is served, so that a caller
whose instance has adopted a version does not see an older one. Such a try counts as one
run, since the other instance runs it at most once; the rest of the attempts and the retry
budget stay with this one. A request is passed on in the same way if this instance cannot tell whether its API key
is still in force; the other instance checks the key by its hash.
*/
import {roundedAgeMs} from './configuration-age.js';
import {countsAsHolder} from './holders.js';
import {type Peer} from './peer-messages.js';
import {PEER_SILENT_MS} from './peers.js';
import {logEvent, randomFraction, type EntryContext} from './state.js';
import {type Target} from './target.js';
import {targetsOf} from './targets.js';
import {type EntryRequest, type EntryTry, type Relayed} from './types.js';
import {keyHashOf, sentWorkspace} from './workspaces.js';

/** Requests in flight at an instance of this zone for which one of another zone, where traffic is billed, is as good. */
const RELAYS_PER_ZONE = 8;
/** Costs, in the same unit: an instance that was not heard from lately, and the random part that spreads requests. */
const UNHEARD_COST = 2;
const JITTER_COST = 0.5;
/** A peer of the zone is heard from about once a second where the zone is large; after two, its word on the store is old. */
const INFORMED_MS = 2000;
/** Time for which an instance gets nothing more after it could not be reached, or did not reach the targets itself. */
const AVOIDED_MS = 1000;
/** Time reserved for the response to get back to this instance. */
const RESPONSE_MARGIN_MS = 10;
/** A relayed request without a response for this multiple of its latency objective is sent elsewhere as well. */
const SILENCE_FACTOR = 3;

/** Whether there are targets that could serve the request, and this instance reaches none of them. */
export function isUnreached(context: EntryContext, request: EntryRequest): boolean {
	if (context.state.probedTargets.size === 0) {
		return false;
	}

	const holders = holdersOf(context, request);
	return holders.length > 0 && holders.every(({unreachedSinceMs}) => unreachedSinceMs !== undefined);
}

function holdersOf({state, nowMs}: EntryContext, request: EntryRequest): Target[] {
	return targetsOf(state, request.service).filter(target => countsAsHolder(target, request, nowMs));
}

/** The instance that a request is passed on to, undefined if none is known that may reach its targets. */
export function chooseRelay(context: EntryContext, request: EntryRequest): Peer | undefined {
	const {state} = context;
	if (request.arrival.relayed) {
		return undefined;
	}

	const holders = holdersOf(context, request);
	let best: Peer | undefined;
	let bestCost = Number.POSITIVE_INFINITY;
	for (const peer of state.peers.values()) {
		if (!isEligible(context, peer) || !holders.some(({id}) => !peer.unreached.has(id))) {
			continue;
		}

		const cost = relayCost(context, peer);
		if (cost < bestCost) {
			best = peer;
			bestCost = cost;
		}
	}

	return best;
}

/** The instance that a request is passed on to since this one cannot tell whether its key is in force: one that was in touch with the store by its last beacon. */
export function chooseInformedPeer(context: EntryContext, request: EntryRequest): Peer | undefined {
	const {state, nowMs} = context;
	if (request.arrival.relayed) {
		return undefined;
	}

	const version = state.configuration?.version ?? 0;
	let best: Peer | undefined;
	let bestCost = Number.POSITIVE_INFINITY;
	for (const peer of state.peers.values()) {
		const isInformed = peer.canReadStore && peer.configurationVersion >= version && nowMs - peer.beaconReceivedAtMs < INFORMED_MS;
		const cost = isInformed && isEligible(context, peer) ? relayCost(context, peer) : Number.POSITIVE_INFINITY;
		if (cost < bestCost) {
			best = peer;
			bestCost = cost;
		}
	}

	return best;
}

function isEligible({nowMs}: EntryContext, peer: Peer): boolean {
	return peer.instance.callerAddress !== undefined && !peer.isLeaving && !peer.isCutOff && !isStarting(peer, nowMs) && nowMs >= peer.avoidedUntilMs;
}

/** Whether it has just said that it knows no configuration yet. What it says later reaches instances of other zones rarely. */
function isStarting({configurationVersion, beaconReceivedAtMs}: Peer, nowMs: number): boolean {
	return configurationVersion === 0 && nowMs - beaconReceivedAtMs < PEER_SILENT_MS;
}

function relayCost(context: EntryContext, peer: Peer): number {
	const isHeard = context.nowMs - peer.beaconReceivedAtMs < PEER_SILENT_MS;
	return (peer.relays.size / RELAYS_PER_ZONE)
		+ (peer.instance.zone === context.state.self.zone ? 0 : 1)
		+ (isHeard ? 0 : UNHEARD_COST)
		+ (randomFraction(context) * JITTER_COST);
}

export type RelayReason = 'targets-unreached' | 'configuration-outdated';

export function sendRelay(context: EntryContext, request: EntryRequest, peer: Peer, reason: RelayReason): void {
	const {state, nowMs, effects} = context;
	const {route} = request;
	const attempt: EntryTry = {
		number: request.tries.length + 1,
		targetId: peer.instance.id,
		isRelay: true,
		// Which target begins the stream is the other instance's choice, which it announces.
		release: request.release,
		startedAtMs: nowMs,
		unreadTokens: 0,
		workUnits: 0,
		silenceLimitMs: route.objectiveMs * SILENCE_FACTOR,
		progressAtMs: nowMs,
		hasBegun: false,
		isHeld: false,
		hasReplacement: false,
		wasSilent: false,
		outcome: undefined,
	};
	request.tries.push(attempt);
	request.phase = 'running';
	peer.relays.add(request.id);
	effects.push({
		kind: 'send',
		requestId: request.id,
		tryNumber: attempt.number,
		targetId: peer.instance.id,
		address: peer.instance.callerAddress!,
		remainingMs: Math.max(1, Math.floor(request.deadlineAtMs - nowMs - RESPONSE_MARGIN_MS)),
		rank: route.rank,
		usesFreshConnection: true,
		isStream: route.isStream,
		forwardsErrors: route.repeat === 'once',
		maxConnections: RELAYS_PER_ZONE,
		...sentWorkspace(state, request),
		maxIdleConnections: 0,
		relayed: describeRelay(context, request, peer),
	});
	logEvent(context, 'request-relayed', {
		requestId: request.id,
		tryNumber: attempt.number,
		instanceId: peer.instance.id,
		reason,
		zone: peer.instance.zone,
		inFlight: peer.relays.size,
		configurationVersion: state.configuration?.version,
		configurationAgeMs: roundedAgeMs(context),
		delivered: request.delivered,
		workspace: request.workspace?.name,
		heardAgoMs: Math.round(nowMs - peer.beaconReceivedAtMs),
		waitedMs: Math.round(nowMs - request.arrivedAtMs),
	});
	if (route.repeat === 'idempotent') {
		state.timers.push({
			atMs: nowMs + attempt.silenceLimitMs, request, kind: 'silence', tryNumber: attempt.number,
		});
	}
}

function describeRelay({state}: EntryContext, request: EntryRequest, peer: Peer): Relayed {
	const {self, configuration} = state;
	const {service, release, route, arrival} = request;
	const configurationVersion = configuration?.version ?? 0;
	const {workspace} = sentWorkspace(state, request);
	return {
		by: self.id,
		boot: self.boot,
		service,
		release,
		configurationVersion,
		route: peer.configurationVersion < configurationVersion ? route : undefined,
		...(workspace !== undefined && {workspace, keyHash: keyHashOf(arrival)}),
	};
}

/** The instance did not serve a request, in a way that may be its own fault. */
export function avoidRelay({state, nowMs}: EntryContext, {targetId}: EntryTry): void {
	const peer = state.peers.get(targetId);
	if (peer) {
		peer.avoidedUntilMs = nowMs + AVOIDED_MS;
	}
}
