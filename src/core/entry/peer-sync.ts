/**
Merges the beacons of peers and the results of pulls into the state, and answers
the pulls of peers.
*/
import {type TargetId} from '../types.js';
import {adoptBrittleness} from './brittle-services.js';
import {adoptConfiguration} from './configuration-adoption.js';
import {confirmConfiguration} from './configuration-watch.js';
import {mergeCrashes} from './crash-suspects.js';
import {renewReports} from './dark-targets.js';
import {adoptFailureRates} from './failure-rates.js';
import {dispatchAll} from './dispatch.js';
import {type EntryEventOf} from './event.js';
import {
	type Beacon, type KnownVersions, type LeaseStatus, type Peer, type RegistryTransfer, type StateTransfer,
} from './peer-messages.js';
import {adoptPace} from './pace.js';
import {recordInstanceCount} from './peers.js';
import {holderAccount} from './quota-account.js';
import {noteLevels} from './quotas.js';
import {adoptAnnouncedLimits} from './rate-limit.js';
import {
	adoptRegistry, announceChange, digestAfter, updateFreshness,
} from './registry.js';
import {registryTransfer} from './registry-transfer.js';
import {leaseStatus} from './beacon-sender.js';
import {adoptSlowness} from './slowness.js';
import {logEvent, type EntryContext} from './state.js';
import {endFormerStops} from './stop-announcements.js';
import {adoptSpeeds} from './target-speeds.js';
import {type EntryInstance} from './types.js';

/** The store's feed usually delivers a version this soon after a peer has it, which makes a pull needless. */
const FEED_GRACE_MS = 150;
const PULL_INTERVAL_MS = 250;
/** A pull without an answer for this long does not keep another one waiting. */
const PULL_OVERDUE_MS = 1000;
/** Beacons bring a new crash within this time, which makes a pull needless. */
const CRASH_GRACE_MS = 500;
/** After a crash, the digests of all peers may differ for a while. */
const CRASH_PULL_INTERVAL_MS = 500;
/** Age of the registry copy from which it is pulled across zones: readers of this zone then do not reach the store. */
const CROSS_ZONE_PULL_AGE_MS = 1500;
/** Copies reported by the lease holder override the registry until its next beacons. */
const REPORTED_COPIES_VALID_MS = 1500;
const RECENT_PEER_MS = 3000;
/** Instances of two releases may read an entry differently for as long as it is there. */
const DOUBT_INTERVAL_MS = 10_000;
const NONE_UNREACHED: ReadonlySet<TargetId> = new Set();

export function handleBeacon(context: EntryContext, {beacon}: EntryEventOf<'beacon-received'>): void {
	const {state} = context;
	if (beacon.from.id === state.self.id) {
		return;
	}

	updatePeer(context, beacon);
	updateLease(context, beacon.lease);
	updateSteppedDown(context, beacon);
	adoptRegistryChange(context, beacon);
	confirmRegistry(context, beacon);
	compareRegistry(context, beacon);
	confirmConfiguration(context, beacon);
	applyReportedCopies(context, beacon);
	applyLoads(context, beacon);
	renewReports(context, beacon);
	adoptFailureRates(state, beacon.failureRates ?? [], context.nowMs);
	for (const pace of beacon.paces ?? []) {
		adoptPace(context, pace);
	}

	adoptSlowness(context, beacon.slowness ?? []);
	adoptSpeeds(context, beacon.speeds ?? []);
	adoptAnnouncedLimits(context, beacon.rateLimits ?? []);
	for (const brittleness of beacon.brittle ?? []) {
		adoptBrittleness(context, brittleness);
	}

	mergeCrashes(context, beacon.crashes.filter(({targetId}) => targetId !== undefined));
	noteCrashDigest(context, beacon);

	pullIfBehind(context, beacon);
}

function updatePeer(context: EntryContext, beacon: Beacon): void {
	const {state, nowMs} = context;
	const {from} = beacon;
	const known = state.peers.get(from.id);
	if (known?.instance.boot !== from.boot) {
		endFormerStops(context, from);
		logEvent(context, 'instance-joined', {instanceId: from.id, zone: from.zone, boot: from.boot});
	} else if (beacon.isLeaving && !known?.isLeaving) {
		logEvent(context, 'instance-leaving', {instanceId: from.id});
	}

	const peer = known ?? createPeer(from);
	if (!known) {
		state.peers.set(from.id, peer);
	}

	peer.instance = from;
	peer.beaconReceivedAtMs = nowMs;
	peer.unreached = beacon.unreached ? new Set(beacon.unreached) : NONE_UNREACHED;
	peer.isCutOff = beacon.isCutOff ?? false;
	peer.isLeaving = beacon.isLeaving;
	peer.configurationVersion = beacon.configurationVersion;
	peer.canReadStore = beacon.registry.isRead;
	if (beacon.demand) {
		peer.demand = beacon.demand;
		peer.demandReceivedAtMs = nowMs;
	}
}

/** State of a peer that nothing has been heard from yet. */
function createPeer(instance: EntryInstance): Peer {
	return {
		instance,
		beaconReceivedAtMs: Number.NEGATIVE_INFINITY,
		beaconSentAtMs: Number.NEGATIVE_INFINITY,
		pulledAtMs: Number.NEGATIVE_INFINITY,
		unreached: NONE_UNREACHED,
		isCutOff: false,
		relays: new Set(),
		avoidedUntilMs: Number.NEGATIVE_INFINITY,
		crashesDifferSinceMs: undefined,
		isLeaving: false,
		configurationVersion: 0,
		canReadStore: false,
		demand: [],
		demandReceivedAtMs: Number.NEGATIVE_INFINITY,
		loadedTargets: new Set(),
	};
}

/** Notes since when a peer knows of other crashes. One that knows of none has nothing to tell. */
function noteCrashDigest({state, nowMs}: EntryContext, {from, crashDigest = 0}: Beacon): void {
	const peer = state.peers.get(from.id);
	if (peer) {
		peer.crashesDifferSinceMs = crashDigest === 0 || crashDigest === state.crashEvidence.digest ? undefined : peer.crashesDifferSinceMs ?? nowMs;
	}
}

/** Adds unknown instances as peers, so that beacons are sent to them. */
export function addPeers({state}: EntryContext, instances: readonly EntryInstance[]): void {
	for (const instance of instances) {
		if (instance.id !== state.self.id && !state.peers.has(instance.id)) {
			state.peers.set(instance.id, createPeer(instance));
		}
	}
}

function updateLease(context: EntryContext, lease: LeaseStatus | undefined): void {
	const {state, nowMs} = context;
	if (!lease || lease.holder.id === state.self.id) {
		return;
	}

	const claimedAtMs = nowMs - lease.ageMs;
	const {lastKnown} = state.lease;
	if (!lastKnown || lease.epoch > lastKnown.epoch || (lease.epoch === lastKnown.epoch && claimedAtMs > lastKnown.claimedAtMs)) {
		state.lease.steppedDownSinceMs = lastKnown?.epoch === lease.epoch ? state.lease.steppedDownSinceMs : undefined;
		state.lease.lastKnown = {
			holder: lease.holder, epoch: lease.epoch, claimedAtMs, instances: lease.instances ?? 0, quotas: lease.quotas,
		};
		if (lease.quotas) {
			noteLevels(context, {atMs: claimedAtMs, account: holderAccount(lease.epoch), told: lease.quotas});
		}

		recordInstanceCount(state, lease.instances ?? 0, nowMs);
		// The holder needs beacons of all instances, also of those that have not heard from it themselves.
		addPeers(context, [lease.holder]);
	}
}

/** A holder that failed to renew states that its epoch has ended before the row shows it. One that was started again holds nothing of its earlier process. */
function updateSteppedDown({state, nowMs}: EntryContext, {from, lease, endedEpoch = 0}: Beacon): void {
	const {lastKnown} = state.lease;
	if (lastKnown?.holder.id !== from.id) {
		return;
	}

	const isClaimed = lease?.holder.boot === from.boot && lease.epoch === lastKnown.epoch;
	const hasEnded = !isClaimed && (endedEpoch >= lastKnown.epoch || lastKnown.holder.boot !== from.boot);
	state.lease.steppedDownSinceMs = hasEnded ? state.lease.steppedDownSinceMs ?? nowMs : undefined;
}

/** Adopts what a reader of this zone has just read, if this instance's copy is the one that has changed and becomes the reader's with it. */
function adoptRegistryChange(context: EntryContext, {registry: {change, revision, asOfStoreMs, digest}}: Beacon): void {
	const {registry} = context.state;
	if (change?.sinceDigest === registry.digest && revision > registry.revision && digestAfter(context.state, change) === digest) {
		adoptRegistry(context, {
			revision, asOfStoreMs, entries: change.entries, removed: change.removed, isFullSnapshot: false,
		});
	}
}

function confirmRegistry(context: EntryContext, {registry}: Beacon): void {
	const {state} = context;
	if (registry.digest === state.registry.digest && registry.revision >= state.registry.revision) {
		state.registry.revision = registry.revision;
		state.registry.isWholeNeeded = false;
		updateFreshness(context, registry.asOfStoreMs);
	}
}

/** Two copies of one revision that differ cannot both be right: the instance that reads for the other one reads all entries, and the other one pulls them from it. */
function compareRegistry(context: EntryContext, {from, registry: {revision, digest, isRead}}: Beacon): void {
	const {state: {self, registry, peers}, nowMs} = context;
	if (revision !== registry.revision || digest === registry.digest || from.zone !== self.zone || nowMs - registry.doubtedAtMs < DOUBT_INTERVAL_MS) {
		return;
	}

	registry.doubtedAtMs = nowMs;
	logEvent(context, 'registry-copies-differ', {instanceId: from.id, boot: from.boot, revision});
	const peer = peers.get(from.id);
	if (isRead && from.id < self.id && peer) {
		registry.isWholeNeeded = true;
		pullFrom(context, peer);
	} else {
		registry.isWholeReadNeeded = true;
	}
}

function applyReportedCopies(context: EntryContext, {reported, from}: Beacon): void {
	const {state, nowMs} = context;
	if (from.id !== state.lease.lastKnown?.holder.id || reported.length === 0) {
		return;
	}

	for (const {targetId, incarnation, sequence, copies} of reported) {
		const target = state.targets.get(targetId);
		if (target?.entry.incarnation === incarnation && sequence >= target.entry.sequence) {
			target.entry = {...target.entry, sequence, copies};
			target.reportValidUntilMs = nowMs + REPORTED_COPIES_VALID_MS;
		}
	}

	dispatchAll(context);
}

function applyLoads({state, nowMs}: EntryContext, beacon: Beacon): void {
	const {from} = beacon;
	const loaded = new Set<TargetId>();
	for (const [id, inFlight, unreadTokens = 0] of beacon.loads) {
		loaded.add(id);
		state.targets.get(id)?.peerLoads.set(from.id, {inFlight, unreadTokens, atMs: nowMs});
	}

	const peer = state.peers.get(from.id);
	if (peer) {
		for (const id of peer.loadedTargets) {
			if (!loaded.has(id)) {
				state.targets.get(id)?.peerLoads.delete(from.id);
			}
		}

		peer.loadedTargets = loaded;
	}

	for (const {targetId, model, forMs} of beacon.leavingCopies) {
		state.targets.get(targetId)?.leavingCopies.set(model, nowMs + forMs);
	}

	if (beacon.lease?.holder.id === from.id) {
		state.comingCopies.clear();
		for (const copy of beacon.comingCopies ?? []) {
			state.comingCopies.set(copy.targetId, {...copy, atMs: nowMs + copy.inMs});
		}
	}

	for (const {targetId, name, sequence} of beacon.adapters) {
		const target = state.targets.get(targetId);
		if (target && sequence >= target.entry.sequence && !target.adapters.has(name)) {
			target.adapters.set(name, sequence);
		}
	}
}

function pullIfBehind(context: EntryContext, {from, configurationVersion, registry}: Beacon): void {
	const {state, nowMs} = context;
	const peer = state.peers.get(from.id);
	if (!peer) {
		return;
	}

	const own = state.configuration?.version ?? 0;
	if (configurationVersion > own && state.configurationBehindSinceMs === undefined) {
		state.configurationBehindSinceMs = nowMs;
	}

	const lacksConfiguration = configurationVersion > own && (own === 0 || nowMs - (state.configurationBehindSinceMs ?? nowMs) >= FEED_GRACE_MS);
	const isSameZone = from.zone === state.self.zone;
	const isOlder = registry.revision > state.registry.revision && registry.digest !== state.registry.digest;
	const lacksRegistry = isOlder && (isSameZone || nowMs - state.registry.freshAtMs > CROSS_ZONE_PULL_AGE_MS);
	// What is announced of a new crash arrives meanwhile; an instance that knows of no crash has just started.
	const differsForMs = nowMs - (peer.crashesDifferSinceMs ?? nowMs);
	const lacksCrashes = peer.crashesDifferSinceMs !== undefined && nowMs - state.crashesPulledAtMs >= CRASH_PULL_INTERVAL_MS && (state.crashEvidence.digest === 0 || differsForMs >= CRASH_GRACE_MS);
	if (lacksCrashes) {
		state.crashesPulledAtMs = nowMs;
	}

	if (lacksConfiguration || lacksRegistry || lacksCrashes) {
		pullFrom(context, peer);
	}
}

/** Requests what is newer at a peer, unless that was done just now, or another pull is under way: most peers have the same news. */
export function pullFrom(context: EntryContext, peer: Peer): void {
	const {state, nowMs, effects} = context;
	const isUnderWay = state.pullSentAtMs !== undefined && nowMs - state.pullSentAtMs < PULL_OVERDUE_MS;
	if (isUnderWay) {
		// Not the one that is being asked, which may be silent.
		state.nextPullFrom = peer.pulledAtMs === state.pullSentAtMs ? state.nextPullFrom : peer.instance.id;
	} else if (nowMs - peer.pulledAtMs >= PULL_INTERVAL_MS) {
		peer.pulledAtMs = nowMs;
		state.pullSentAtMs = nowMs;
		effects.push({kind: 'pull', address: peer.instance.address, known: knownVersions(context)});
	}
}

export function knownVersions({state}: EntryContext): KnownVersions {
	return {
		from: state.self,
		configurationVersion: state.configuration?.version ?? 0,
		registryRevision: state.registry.isWholeNeeded ? 0 : state.registry.revision,
		acceptsChanges: true,
		checksDigest: true,
		crashDigest: state.crashEvidence.digest,
	};
}

/** Answers a pull with what is newer here than the sender's known versions. */
export function transferFor({state, nowMs, ...rest}: EntryContext, known: KnownVersions): StateTransfer {
	const {configuration, registry} = state;
	return {
		instances: [state.self, ...[...state.peers.values()].filter(({beaconReceivedAtMs, isLeaving}) => !isLeaving && nowMs - beaconReceivedAtMs < RECENT_PEER_MS).map(({instance}) => instance)],
		configuration: (configuration?.version ?? 0) > known.configurationVersion ? configuration : undefined,
		registry: registry.revision > known.registryRevision ? registryTransfer(state, known.checksDigest ? known.registryRevision : 0) : undefined,
		lease: leaseStatus({state, nowMs, ...rest}),
		crashes: state.crashEvidence.digest === known.crashDigest ? undefined : state.crashEvidence.records(nowMs),
	};
}

export function handlePullCompleted(context: EntryContext, {transfer}: EntryEventOf<'pull-completed'>): void {
	const {state} = context;
	const next = state.peers.get(state.nextPullFrom ?? '');
	state.pullSentAtMs = undefined;
	state.nextPullFrom = undefined;
	if (!transfer) {
		if (next) {
			pullFrom(context, next);
		}

		return;
	}

	addPeers(context, transfer.instances);
	updateLease(context, transfer.lease);
	mergeCrashes(context, transfer.crashes ?? []);
	if (transfer.configuration) {
		adoptConfiguration(context, transfer.configuration, 'peer');
	}

	if (transfer.registry) {
		const [sender] = transfer.instances;
		adoptTransfer(context, transfer.registry, sender!);
	}
}

function adoptTransfer(context: EntryContext, transfer: RegistryTransfer, sender: EntryInstance): void {
	const {state} = context;
	const {digest, revision: heldRevision} = state.registry;
	const {revision, asOfStoreMs, entries, removed} = transfer;
	if (revision < heldRevision) {
		return;
	}

	// A change of an earlier release comes without the digest that proves it.
	if (removed && transfer.digest !== digestAfter(state, {entries, removed})) {
		logEvent(context, 'registry-differs', {
			instanceId: sender.id, boot: sender.boot, revision, heldRevision, entries: entries.length, removed: removed.length,
		});
		pullWholeRegistry(context, sender);
		return;
	}

	adoptRegistry(context, {
		revision, asOfStoreMs, entries, removed: removed ?? [], isFullSnapshot: removed === undefined,
	});
	if (sender.zone !== state.self.zone && state.registry.digest !== digest) {
		// Nobody in this zone reads the store.
		announceChange(context);
	}
}

function pullWholeRegistry(context: EntryContext, {id}: EntryInstance): void {
	context.state.registry.isWholeNeeded = true;
	const peer = context.state.peers.get(id);
	if (peer) {
		peer.pulledAtMs = Number.NEGATIVE_INFINITY;
		pullFrom(context, peer);
	}
}
