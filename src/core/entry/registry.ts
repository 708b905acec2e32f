/**
Targets discovered from the registry. Usually one instance per zone reads the registry
and its peers pull the result from it. An instance whose copy becomes stale reads the
registry itself, after a delay that grows with its rank among the peers.
*/
import fnv1a from '@sindresorhus/fnv1a';
import {type TargetId} from '../types.js';
import {recordTargetCrash} from './crash-suspects.js';
import {markLeaving} from './leaving.js';
import {isAgeBounded, learnStoreClock} from './configuration-age.js';
import {type EntryEventOf} from './event.js';
import {dispatchAll} from './dispatch.js';
import {beginPace} from './pace.js';
import {isDueAsReader, sendRegistryRead} from './registry-readers.js';
import {updateReleaseHistory} from './release-history.js';
import {logEvent, type EntryContext, type EntryState} from './state.js';
import {updateMixedServices} from './stream-origins.js';
import {
	adaptersOf, createTarget, type Target, type TargetEntry,
} from './target.js';

/** Two reads and a beacon exchange fit into the time after which a leaving target must get no new requests. */
const READ_INTERVAL_MS = 600;
/** A response usually takes a few milliseconds. One that is this late may never come, so a second read is sent on another connection. */
const HEDGED_READ_DELAY_MS = 400;
/** Interval between reads while the store fails. */
const RETRY_INTERVAL_MS = 700;
/** Entries that expired during an outage of the store are written again within two seconds after it. */
const EXPIRY_GRACE_MS = 2200;
/** Targets renew their entries more than once in this time, so that none expires during a shorter outage, or comes and goes unseen. */
const MIN_OUTAGE_MS = 2000;
/** A time further in the future than this shows that this instance's clock was stopped. */
const CLOCK_TOLERANCE_MS = 100;
const DIGEST_MODULUS = 2 ** 32;
/** Time after which an unlisted target without in-flight requests is removed: streams that it began may be resumed until then. */
const TARGET_RETENTION_MS = 30_000;

export function refreshRegistry(context: EntryContext): void {
	const {state, nowMs} = context;
	const {registry} = state;
	removeUnlistedTargets(context);
	const isFailing = registry.failedAtMs > registry.restoredAtMs;
	if (isDueAsReader(context, registry.freshAtMs + READ_INTERVAL_MS) && nowMs - registry.readSentAtMs >= (isFailing ? RETRY_INTERVAL_MS : HEDGED_READ_DELAY_MS)) {
		sendRegistryRead(context);
	}
}

export function handleRegistryRead(context: EntryContext, event: EntryEventOf<'registry-read'>): void {
	const {state, nowMs} = context;
	const {registry} = state;
	registry.unansweredSinceMs = undefined;
	registry.isReadNews = true;
	// The store read its clock after the request was sent. Equating the two times never makes a copy look fresher than it is.
	registry.storeOffsetMs = event.sentAtMs - event.storeMs;
	if (isAgeBounded(state)) {
		learnStoreClock(context, event);
	}

	registry.eraRevision = Math.max(registry.eraRevision, event.eraRevision ?? 0);
	// An answer that was overtaken by a later one is older by the store's clock too.
	if (event.revision < registry.revision && event.storeMs > registry.asOfStoreMs) {
		// The store is behind what it has said before, so that this instance does not count as a reader.
		if (registry.failedAtMs <= registry.restoredAtMs) {
			logEvent(context, 'store-went-back', {
				what: 'registry', revision: event.revision, heldRevision: registry.revision, isFullSnapshot: event.isFullSnapshot,
			});
		}

		registry.failedAtMs = nowMs;
		return;
	}

	if (registry.failedAtMs > registry.restoredAtMs) {
		registry.restoredAtMs = nowMs;
		logEvent(context, 'platform-reachable', {what: 'registry', awayMs: Math.round(nowMs - registry.freshAtMs)});
	}

	if (event.isFullSnapshot && event.revision >= registry.revision) {
		registry.isWholeReadNeeded = false;
	}

	registry.confirmedAtMs = Math.max(registry.confirmedAtMs, event.sentAtMs);
	const {digest} = registry;
	adoptRegistry(context, {
		revision: event.revision, asOfStoreMs: event.storeMs, entries: event.entries, removed: event.removed, isFullSnapshot: event.isFullSnapshot, eraRevision: event.eraRevision,
	});
	if (registry.digest !== digest) {
		announceChange(context);
	}
}

/** Sends beacons at the next tick, so that peers learn of a change of the registry. */
export function announceChange({state}: EntryContext): void {
	state.beaconsSentAtMs = Number.NEGATIVE_INFINITY;
}

export function handleRegistryReadFailure(context: EntryContext): void {
	const {registry} = context.state;
	registry.unansweredSinceMs = undefined;
	if (registry.failedAtMs <= registry.restoredAtMs) {
		logEvent(context, 'platform-unreachable', {what: 'registry', revision: registry.revision});
	}

	registry.failedAtMs = context.nowMs;
}

export type RegistryChange = {
	readonly revision: number;
	/** When the entries were current, on the store's clock. */
	readonly asOfStoreMs: number;
	readonly entries: readonly TargetEntry[];
	readonly removed: readonly TargetId[];
	readonly isFullSnapshot: boolean;
	/** Revisions below this one are from before the store was restored from an older copy. */
	readonly eraRevision?: number;
};

export function adoptRegistry(context: EntryContext, change: RegistryChange): void {
	const {state} = context;
	const {registry} = state;
	if (change.revision < registry.revision) {
		return;
	}

	if (change.isFullSnapshot) {
		registry.isWholeNeeded = false;
	}

	updateFreshness(context, change.asOfStoreMs);
	// To an instance that has just started, all targets are new.
	const isFirst = state.targets.size === 0;
	const isRestored = registry.revision > 0 && registry.revision < (change.eraRevision ?? 0);
	registry.revision = change.revision;
	if (isRestored) {
		// Entries that were written since the copy come back with the next heartbeats.
		registry.graceUntilMs = Math.max(registry.graceUntilMs, context.nowMs + EXPIRY_GRACE_MS);
	}

	for (const entry of change.entries) {
		const target = state.targets.get(entry.id);
		if (target) {
			markInRegistry(context, target, entry);
		}

		// After a restore its entry may have been removed since the store's copy was made; if it serves, its next heartbeat lists it.
		if (!isRestored || !isGone(target, entry)) {
			adoptEntry(context, entry, isFirst);
		}

		recordChange(context, entry);
	}

	const listed = new Set(change.entries.map(({id}) => id));
	const gone = change.isFullSnapshot ? [...state.targets.keys()].filter(id => !listed.has(id)) : change.removed;
	for (const id of gone) {
		markUnlisted(context, id);
	}

	const digest = registryDigest(state.targets.values());
	if (digest !== registry.digest) {
		registry.digest = digest;
		updateReleaseHistory(context);
		updateMixedServices(context);
	}

	dispatchAll(context);
}

function isGone(target: Target | undefined, entry: TargetEntry): boolean {
	return target?.unlistedFromMs !== undefined && target.entry.incarnation === entry.incarnation;
}

/** Records that the local copy was current at a time of the store's clock. */
export function updateFreshness(context: EntryContext, asOfStoreMs: number): void {
	const {state: {registry}, nowMs} = context;
	if (registry.storeOffsetMs === undefined) {
		return;
	}

	const freshAtMs = asOfStoreMs + registry.storeOffsetMs;
	if (freshAtMs > nowMs + CLOCK_TOLERANCE_MS) {
		// This process was suspended: the offset of its clock to the store's is known again after its next read.
		registry.storeOffsetMs = undefined;
		return;
	}

	if (freshAtMs <= registry.freshAtMs) {
		return;
	}

	if (Number.isFinite(registry.freshAtMs) && freshAtMs - registry.freshAtMs >= MIN_OUTAGE_MS) {
		registry.graceUntilMs = freshAtMs + EXPIRY_GRACE_MS;
	}

	// By the store's clock, since the local one stands still while the process is suspended.
	const gapMs = asOfStoreMs - registry.asOfStoreMs;
	if (!Number.isFinite(registry.freshAtMs) || gapMs < 0 || gapMs >= MIN_OUTAGE_MS) {
		registry.inStepSinceMs = nowMs;
	}

	registry.freshAtMs = freshAtMs;
	registry.asOfStoreMs = asOfStoreMs;
}

/** Equal on instances whose entries have the same content, regardless of when they were read and in which order. */
function registryDigest(targets: Iterable<Target>): number {
	let digest = 0;
	for (const {isInRegistry, listedHash} of targets) {
		if (isInRegistry) {
			digest = (digest + listedHash) % DIGEST_MODULUS;
		}
	}

	return digest;
}

/** Digest of the copy that a change would make of this instance's copy. */
export function digestAfter({targets, registry}: EntryState, {entries, removed}: Pick<RegistryChange, 'entries' | 'removed'>): number {
	let {digest} = registry;
	for (const id of new Set([...entries.map(entry => entry.id), ...removed])) {
		const target = targets.get(id);
		if (target?.isInRegistry) {
			digest += DIGEST_MODULUS - target.listedHash;
		}
	}

	return entries.reduce((sum, entry) => sum + hashOf(entry), digest) % DIGEST_MODULUS;
}

/** Hash of what the registry says of a target, but for what changes with every heartbeat. */
function hashOf({id, incarnation, release, address, isLeaving, sequence, copies}: TargetEntry): number {
	return Number(fnv1a(JSON.stringify([id, incarnation, release, address, isLeaving, sequence, copies]), {size: 32}));
}

/** Records at which revision a target's entry last changed, for peers that pull only what is newer. */
function recordChange({state: {targets, registry}}: EntryContext, entry: TargetEntry): void {
	const target = targets.get(entry.id);
	if (target?.listed !== entry || target.hashedEntry === entry) {
		return;
	}

	target.hashedEntry = entry;
	const listedHash = hashOf(entry);
	if (target.listedHash !== listedHash) {
		target.listedHash = listedHash;
		target.changedRevision = registry.revision;
	}
}

function adoptEntry(context: EntryContext, entry: TargetEntry, isFirst: boolean): void {
	const {state} = context;
	const target = state.targets.get(entry.id);
	if (!target) {
		logEvent(context, 'target-listed', {
			targetId: entry.id, service: entry.service, zone: entry.zone, revision: state.registry.revision,
		});
		const added = addTarget(context, entry);
		if (!isFirst) {
			beginPace(context, added, 'appeared');
		}

		return;
	}

	if (entry.incarnation < target.entry.incarnation) {
		return;
	}

	if (entry.incarnation > target.entry.incarnation) {
		if (target.leavingSinceMs === undefined) {
			recordTargetCrash(context, target, 'restarted');
		}

		logEvent(context, 'target-restarted', {targetId: entry.id, revision: state.registry.revision});
		beginPace(context, addTarget(context, entry), 'restarted');
		return;
	}

	if (target.unlistedFromMs !== undefined) {
		target.unlistedFromMs = undefined;
		logEvent(context, 'target-listed', {
			targetId: entry.id, service: entry.service, zone: entry.zone, revision: state.registry.revision,
		});
	}

	if (entry.isLeaving) {
		markLeaving(context, target, 'registry');
	}

	target.entry = mergeEntry(target, entry, context.nowMs);
	mergeAdapters(target, entry);
}

/** Notes what the registry lists, whether or not it is used: that is what this instance passes on. */
function markInRegistry({state}: EntryContext, target: Target, entry: TargetEntry): void {
	if (!target.isInRegistry) {
		target.isInRegistry = true;
		target.changedRevision = state.registry.revision;
	}

	target.listed = entry;
}

function addTarget(context: EntryContext, entry: TargetEntry): Target {
	const target = createTarget(entry);
	context.state.targets.set(entry.id, target);
	if (entry.isLeaving) {
		markLeaving(context, target, 'registry');
	}

	return target;
}

/** A report may be newer than the registry's entry, which changes only with the target's next heartbeat. */
function mergeEntry(target: Target, entry: TargetEntry, nowMs: number): TargetEntry {
	const isOverridden = nowMs < target.reportValidUntilMs && entry.sequence <= target.entry.sequence;
	return isOverridden || entry.sequence < target.entry.sequence
		? target.entry
		: entry;
}

/** Keeps adapters that became known at a later sequence than the entry's. */
function mergeAdapters(target: Target, entry: TargetEntry): void {
	const listed = new Set(adaptersOf(entry.copies));
	for (const [name, sequence] of target.adapters) {
		if (sequence <= entry.sequence && !listed.has(name)) {
			target.adapters.delete(name);
		}
	}

	for (const name of listed) {
		if (!target.adapters.has(name)) {
			target.adapters.set(name, entry.sequence);
		}
	}
}

function markUnlisted(context: EntryContext, id: TargetId): void {
	const {state, nowMs} = context;
	const target = state.targets.get(id);
	const {graceUntilMs, revision} = state.registry;
	if (target?.isInRegistry) {
		target.isInRegistry = false;
		target.changedRevision = revision;
	}

	if (!target || target.unlistedFromMs !== undefined) {
		return;
	}

	target.unlistedFromMs = Math.max(nowMs, graceUntilMs);
	state.registry.unlisted.add(id);

	// One that leaves ends what it still runs.
	if (target.leavingSinceMs === undefined) {
		recordTargetCrash(context, target, 'unlisted');
	}

	logEvent(context, 'target-unlisted', {targetId: id, revision, isGraceGiven: graceUntilMs > nowMs});
}

function removeUnlistedTargets({state, nowMs}: EntryContext): void {
	for (const id of state.registry.unlisted) {
		const target = state.targets.get(id);
		if (target?.unlistedFromMs === undefined) {
			state.registry.unlisted.delete(id);
		} else if (nowMs - target.unlistedFromMs > TARGET_RETENTION_MS && target.inFlight.size === 0 && !target.isInRegistry) {
			state.registry.unlisted.delete(id);
			state.targets.delete(id);
			state.orderTracker.forget(id);
		}
	}
}
