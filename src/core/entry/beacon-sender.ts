/**
Sends beacons to other instances. Peers in the same zone get them often; traffic between
zones costs money and is kept low: the lease holder gets the demand from all zones, and
an occasional beacon to a random instance of another zone keeps the zones connected.
*/
import {announcedBrittleness} from './brittle-services.js';
import {confirmedAsOfStoreMs} from './configuration-watch.js';
import {localDemand} from './demand.js';
import {announcedFailureRates} from './failure-rates.js';
import {announcedLoad} from './load-announcements.js';
import {
	type Beacon, type ComingCopy, type LeavingCopy, type Peer, type ReportedCopies,
} from './peer-messages.js';
import {holdsLease} from './lease.js';
import {announcedPaces} from './pace.js';
import {announcedLimits} from './rate-limit.js';
import {countHeard, countInstances, PEER_SILENT_MS} from './peers.js';
import {announcedLevels} from './quota-account.js';
import {isCutOff, unreachedTargets} from './reachability.js';
import {canReadStore} from './registry-readers.js';
import {takeAnnouncedChange} from './registry-transfer.js';
import {announcedSlowness} from './slowness.js';
import {randomFraction, type EntryContext} from './state.js';
import {announcedSpeeds} from './target-speeds.js';

const BEACON_INTERVAL_MS = 300;
/** Targets that a beacon names as unreached; an instance that reaches none says so in a word. */
const MAX_UNREACHED = 20;
/** Maximum number of peers in the same zone that get a beacon in one round, in turn, so that the cost for an instance does not grow with its zone. A zone of 39 is told within 1.5 s. */
const MAX_SAME_ZONE_PEERS = 8;
/** The same for peers of other zones that are told of a crash, a limit or a stop. */
const MAX_OTHER_ZONE_PEERS = 12;
/** Usual time until a copy that makes room is unloaded. */
const UNLOAD_MS = 1000;
/** Interval of beacons to a lease holder in another zone. */
const HOLDER_INTERVAL_MS = 600;
/** Mean interval of beacons to a random instance of another zone. */
const CROSS_ZONE_INTERVAL_MS = 2000;
/** Interval of beacons to a silent peer. */
const SILENT_PEER_INTERVAL_MS = 2000;
/** A peer silent for this long has been replaced and is removed. */
const PEER_RETENTION_MS = 60_000;

export function sendBeacons(context: EntryContext): void {
	const {state, nowMs} = context;
	if (nowMs - state.beaconsSentAtMs < BEACON_INTERVAL_MS || state.lifecycle === 'stopped') {
		return;
	}

	state.beaconsSentAtMs = nowMs;
	removeExpired(context);
	countHeard(state, nowMs);
	const {isReadNews} = state.registry;
	const peers = selectPeers(context);
	for (const peer of peers) {
		peer.beaconSentAtMs = nowMs;
	}

	if (peers.length > 0) {
		const holderId = state.lease.lastKnown?.holder.id;
		const needsDemand = (peer: Peer) => holderId === undefined || peer.instance.id === holderId;
		state.orderTracker.announceRounds = Math.max(0, state.orderTracker.announceRounds - 1);
		const beacon = createBeacon(context);
		const change = isReadNews ? takeAnnouncedChange(state) : undefined;
		const withChange = change ? {...beacon, registry: {...beacon.registry, change}} : beacon;
		const near = peers.filter(({instance}) => instance.zone === state.self.zone);
		const far = peers.filter(({instance}) => instance.zone !== state.self.zone);
		for (const [receivers, sent] of [[near, withChange], [far, beacon]] as const) {
			// Only the lease holder places copies by demand, and demand is most of a beacon.
			sendTo(context, receivers.filter(peer => needsDemand(peer)), sent);
			sendTo(context, receivers.filter(peer => !needsDemand(peer)), {...sent, demand: undefined});
		}
	}
}

function sendTo({effects}: EntryContext, peers: readonly Peer[], beacon: Beacon): void {
	if (peers.length > 0) {
		effects.push({kind: 'beacon', addresses: peers.map(({instance}) => instance.beaconAddress), beacon});
	}
}

function removeExpired({state, nowMs}: EntryContext): void {
	const holderId = state.lease.lastKnown?.holder.id;
	for (const [id, {beaconReceivedAtMs, beaconSentAtMs}] of state.peers) {
		if (id !== holderId && Number.isFinite(beaconSentAtMs) && nowMs - Math.max(beaconReceivedAtMs, state.startedAtMs) > PEER_RETENTION_MS) {
			state.peers.delete(id);
		}
	}

	state.crashEvidence.expire(nowMs);
	for (const [key, untilMs] of state.crashesToAnnounce) {
		if (nowMs >= untilMs) {
			state.crashesToAnnounce.delete(key);
		}
	}

	for (const [key, {untilMs}] of state.adaptersToAnnounce) {
		if (nowMs >= untilMs) {
			state.adaptersToAnnounce.delete(key);
		}
	}
}

function selectPeers(context: EntryContext): Peer[] {
	const {state, nowMs} = context;
	const holder = holdsLease(context) ? undefined : state.lease.lastKnown?.holder.id;
	const sameZonePeers: Peer[] = [];
	const otherZonePeers: Peer[] = [];
	for (const peer of state.peers.values()) {
		if (!peer.isLeaving && (nowMs - peer.beaconReceivedAtMs < PEER_SILENT_MS || nowMs - peer.beaconSentAtMs >= SILENT_PEER_INTERVAL_MS)) {
			(peer.instance.zone === state.self.zone ? sameZonePeers : otherZonePeers).push(peer);
		}
	}

	const chosen = new Set(state.registry.isReadNews ? sameZonePeers : longestWaiting(context, sameZonePeers, MAX_SAME_ZONE_PEERS));
	state.registry.isReadNews = false;
	for (const peer of toldAcrossZones(context, otherZonePeers)) {
		chosen.add(peer);
	}

	const holderPeer = holder === undefined ? undefined : otherZonePeers.find(({instance}) => instance.id === holder);
	if (holderPeer && nowMs - holderPeer.beaconSentAtMs >= HOLDER_INTERVAL_MS) {
		chosen.add(holderPeer);
	}

	if (randomFraction(context) < BEACON_INTERVAL_MS / CROSS_ZONE_INTERVAL_MS) {
		const peer = otherZonePeers[Math.floor(randomFraction(context) * otherZonePeers.length)];
		if (peer) {
			chosen.add(peer);
		}
	}

	return [...chosen];
}

/** Peers of other zones that get a beacon now: those that there is news for, and those that were never sent one. */
function toldAcrossZones(context: EntryContext, peers: readonly Peer[]): readonly Peer[] {
	const {state} = context;
	const isPlanned = state.orderTracker.announceRounds > 0;
	if (isPlanned && holdsLease(context)) {
		// Only the holder knows of its plan, which all have to follow.
		return peers;
	}

	if (isPlanned || context.nowMs < state.crashNewsUntilMs || state.lifecycle === 'draining') {
		return longestWaiting(context, peers, MAX_OTHER_ZONE_PEERS);
	}

	const unknown = longestWaiting(context, peers.filter(({beaconSentAtMs}) => !Number.isFinite(beaconSentAtMs)), MAX_OTHER_ZONE_PEERS);
	// What was learned of crashes goes on to one peer at a time.
	return unknown.length === 0 && state.crashesToAnnounce.size > 0 ? longestWaiting(context, peers, 1) : unknown;
}

/** The peers that were sent nothing for longest. Equals are taken in random order, so that instances that start together take turns at different peers. */
function longestWaiting(context: EntryContext, peers: readonly Peer[], count: number): readonly Peer[] {
	if (peers.length <= count) {
		return peers;
	}

	return peers
		.map(peer => ({peer, key: randomFraction(context)}))
		.sort((a, b) => a.peer.beaconSentAtMs === b.peer.beaconSentAtMs ? a.key - b.key : a.peer.beaconSentAtMs - b.peer.beaconSentAtMs)
		.slice(0, count)
		.map(({peer}) => peer);
}

export function createBeacon(context: EntryContext): Beacon {
	const {state, nowMs} = context;
	const {registry, configuration} = state;
	const held = holdsLease(context);
	return {
		from: state.self,
		isLeaving: state.lifecycle === 'draining',
		configurationVersion: configuration?.version ?? 0,
		configurationAsOfStoreMs: confirmedAsOfStoreMs(state),
		registry: {
			revision: registry.revision, digest: registry.digest, asOfStoreMs: registry.asOfStoreMs, isRead: canReadStore(state, nowMs),
		},
		lease: held
			? {
				holder: state.self, epoch: held.epoch, ageMs: 0, instances: countInstances(state, nowMs), quotas: announcedLevels(context, held),
			}
			: leaseStatus(context),
		endedEpoch: state.lease.endedEpoch || undefined,
		loads: [...state.targets.values()].filter(({inFlight}) => inFlight.size > 0).map(target => announcedLoad(target)),
		demand: localDemand(context).filter(({open, arrivalsPerSecond}) => open > 0 || arrivalsPerSecond > 0),
		reported: held ? reportedCopies(context) : [],
		leavingCopies: held ? leavingCopies(context) : [],
		comingCopies: held ? comingCopies(context) : [],
		adapters: [...state.adaptersToAnnounce.values()].map(({adapter}) => adapter),
		crashes: state.crashEvidence.records(nowMs, state.crashesToAnnounce.keys()),
		crashDigest: state.crashEvidence.digest,
		rateLimits: announcedLimits(context),
		brittle: orNone(announcedBrittleness(context)),
		slowness: announcedSlowness(context, state.targets.values()),
		speeds: announcedSpeeds(context),
		paces: announcedPaces(state),
		failureRates: announcedFailureRates(context),
		unreached: orNone(unreachedTargets(state).slice(0, MAX_UNREACHED)),
		isCutOff: isCutOff(state, nowMs) || undefined,
	};
}

/** Lists that are mostly empty are left out of beacons. */
function orNone<Item>(list: readonly Item[]): readonly Item[] | undefined {
	return list.length === 0 ? undefined : list;
}

export function leaseStatus({state, nowMs}: EntryContext): Beacon['lease'] {
	const {lastKnown} = state.lease;
	return lastKnown && {
		holder: lastKnown.holder, epoch: lastKnown.epoch, ageMs: Math.round(nowMs - lastKnown.claimedAtMs), instances: lastKnown.instances, quotas: lastKnown.quotas,
	};
}

function reportedCopies({state, nowMs}: EntryContext): ReportedCopies[] {
	return [...state.targets.values()]
		.filter(({reportValidUntilMs}) => nowMs < reportValidUntilMs)
		.map(({id, entry}) => ({
			targetId: id, incarnation: entry.incarnation, sequence: entry.sequence, copies: entry.copies,
		}));
}

/** Copies that are being loaded, or for which memory is being freed, as every member has to know them to tell callers when to return. */
export function comingCopies({state, nowMs}: EntryContext): ComingCopy[] {
	const coming: ComingCopy[] = [];
	for (const {id, entry} of state.targets.values()) {
		const {move, moveDueMs} = state.orderTracker.targets.get(id) ?? {};
		if (move) {
			const inMs = Math.round(move.kind === 'load' && moveDueMs !== undefined ? Math.max(0, moveDueMs - nowMs) : move.takesMs + UNLOAD_MS);
			coming.push({
				targetId: id, service: entry.service, model: move.wanted, inMs,
			});
		}
	}

	return coming;
}

function leavingCopies({state, nowMs}: EntryContext): LeavingCopy[] {
	return [...state.targets.values()].flatMap(({id, leavingCopies: copies}) => [...copies]
		.filter(([, untilMs]) => nowMs < untilMs)
		.map(([model, untilMs]) => ({targetId: id, model, forMs: Math.round(untilMs - nowMs)})));
}
