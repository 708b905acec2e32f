/**
The record of releases: a row in the platform's store that names, for each service, every
release that was listed lately. What instances remember of streams is lost when all of them
are killed at once; the record then proves which release began a stream, as long as it
names a single one. The first registry reader of each availability zone keeps it up to date
by conditional writes, which happen only when a release appears or has been gone for long.
*/
import {type EntryEventOf} from './event.js';
import {canReadStore, isFirstReader} from './registry-readers.js';
import {
	absentForMs, listedReleases, recentReleases, STREAM_LIFETIME_MS,
} from './release-history.js';
import {logEvent, type EntryContext} from './state.js';
import {type StreamOrigin} from './types.js';

/** The store's client gives up by then, so that the next call may be sent. */
const CALL_TIMEOUT_MS = 2500;
const RETRY_INTERVAL_MS = 250;
/** Interval at which absent releases are looked at. */
const REMOVAL_CHECK_MS = 1000;

export type ReleaseRecord = {
	/** Time by the store's clock since which no release is missing. */
	readonly sinceMs: number;
	/** The era of the store in which the record was written: what a restored store returns may lack later changes. */
	readonly eraRevision: number;
	/** Releases by service. */
	readonly releases: Readonly<Record<string, readonly string[]>>;
};

export type ReleaseRow = {
	/** 0 if there is no row. */
	readonly revision: number;
	/** Undefined if there is no row, or if it cannot be decoded. */
	readonly record: ReleaseRecord | undefined;
	readonly storeMs: number;
	/** Revisions below this one are from before the store was last restored. */
	readonly eraRevision: number;
};

export type KnownReleases = {
	/** The row as last read or written by this instance. */
	row: Omit<ReleaseRow, 'storeMs'> | undefined;
	/** The last read, as a proof for streams that are resumed. */
	read: {readonly row: ReleaseRow; readonly sentAtMs: number} | undefined;
	/** The write that is pending. */
	pendingRecord: ReleaseRecord | undefined;
	/** When the pending call was sent, undefined if there is none. */
	calledAtMs: number | undefined;
	nextCallAtMs: number;
	/** Digest of the registry that the row was last compared with. */
	comparedDigest: number | undefined;
	nextRemovalCheckAtMs: number;
};

export function createKnownReleases(): KnownReleases {
	return {
		row: undefined,
		read: undefined,
		pendingRecord: undefined,
		calledAtMs: undefined,
		nextCallAtMs: Number.NEGATIVE_INFINITY,
		comparedDigest: undefined,
		nextRemovalCheckAtMs: Number.NEGATIVE_INFINITY,
	};
}

/** Called every tick: writes the record if releases have appeared or have been gone for long. */
export function updateReleaseRecord(context: EntryContext): void {
	const {state, nowMs} = context;
	const {knownReleases, registry} = state;
	const isUnchanged = knownReleases.comparedDigest === registry.digest && knownReleases.row?.eraRevision === registry.eraRevision;
	if (nowMs < knownReleases.nextCallAtMs || (isUnchanged && nowMs < knownReleases.nextRemovalCheckAtMs) || isCallPending(context)) {
		return;
	}

	knownReleases.nextRemovalCheckAtMs = nowMs + REMOVAL_CHECK_MS;
	if (registry.storeOffsetMs === undefined || !canReadStore(state, nowMs) || !isFirstReader(context)) {
		knownReleases.nextCallAtMs = nowMs + RETRY_INTERVAL_MS;
		return;
	}

	if (knownReleases.row?.eraRevision !== registry.eraRevision) {
		readReleases(context);
		return;
	}

	const releases = releasesToRecord(context, knownReleases.row.record);
	if (releases === undefined) {
		knownReleases.comparedDigest = registry.digest;
		return;
	}

	const {record, revision, eraRevision} = knownReleases.row;
	const isComplete = record?.eraRevision === eraRevision;
	knownReleases.pendingRecord = {sinceMs: isComplete ? record.sinceMs : Math.ceil(nowMs - registry.storeOffsetMs), eraRevision, releases};
	noteCall(context);
	context.effects.push({kind: 'write-releases', expectedRevision: revision, record: knownReleases.pendingRecord});
}

/** Reads the record for a stream that was resumed at a time, unless it was read since then. */
export function askReleaseRecord(context: EntryContext, sinceMs: number): void {
	const {read} = context.state.knownReleases;
	if ((!read || read.sentAtMs < sinceMs) && !isCallPending(context)) {
		readReleases(context);
	}
}

export function handleReleasesRead({state: {knownReleases}, nowMs}: EntryContext, {row, sentAtMs}: EntryEventOf<'releases-read'>): void {
	knownReleases.calledAtMs = undefined;
	if (row) {
		knownReleases.row = row;
		knownReleases.read = {row, sentAtMs};
		knownReleases.comparedDigest = undefined;
		knownReleases.nextCallAtMs = nowMs;
	}
}

export function handleReleasesWritten(context: EntryContext, {revision}: EntryEventOf<'releases-written'>): void {
	const {state: {knownReleases}, nowMs} = context;
	const {row, pendingRecord} = knownReleases;
	knownReleases.calledAtMs = undefined;
	if (revision === undefined || !row || !pendingRecord) {
		// Another instance may have written, or this write may have been executed: the row tells.
		knownReleases.row = undefined;
		return;
	}

	knownReleases.row = {...row, revision, record: pendingRecord};
	knownReleases.comparedDigest = undefined;
	knownReleases.nextCallAtMs = nowMs;
	logEvent(context, 'releases-recorded', {
		releases: pendingRecord.releases, sinceStoreMs: pendingRecord.sinceMs, revision, followedForMs: Math.round(nowMs - context.state.registry.inStepSinceMs),
	});
}

/** What alone can have begun a stream of some services before a time, by what is listed and on record; undefined if that is not proven. */
export function onlyOrigin(context: EntryContext, services: readonly string[], beforeMs: number): StreamOrigin | undefined {
	const {read} = context.state.knownReleases;
	const {record, storeMs = 0, eraRevision} = read?.row ?? {};
	if (!read || !record || read.sentAtMs < beforeMs) {
		return undefined;
	}

	const [origin, ...others] = services.flatMap(service => [...new Set([...recordedReleases(record, service), ...recentReleases(context, service)])]
		.map(release => ({service, release})));
	const isComplete = record.eraRevision === eraRevision && storeMs - record.sinceMs >= STREAM_LIFETIME_MS;
	return isComplete && others.length === 0 ? origin : undefined;
}

function readReleases(context: EntryContext): void {
	noteCall(context);
	context.effects.push({kind: 'read-releases'});
}

function noteCall({state: {knownReleases}, nowMs}: EntryContext): void {
	knownReleases.calledAtMs = nowMs;
	knownReleases.nextCallAtMs = nowMs + RETRY_INTERVAL_MS;
}

function isCallPending({state: {knownReleases: {calledAtMs}}, nowMs}: EntryContext): boolean {
	return calledAtMs !== undefined && nowMs - calledAtMs <= CALL_TIMEOUT_MS;
}

/** What the record has to name, undefined if that is what it names already. */
function releasesToRecord(context: EntryContext, record: ReleaseRecord | undefined): ReleaseRecord['releases'] | undefined {
	const {state} = context;
	const releases = new Map<string, readonly string[]>();
	let isChanged = record?.eraRevision !== state.registry.eraRevision;
	for (const service of new Set([...Object.keys(record?.releases ?? {}), ...state.releaseHistory.listed.keys()])) {
		const recorded = recordedReleases(record, service);
		const kept = recorded.filter(release => absentForMs(context, service, release) < STREAM_LIFETIME_MS);
		const added = [...listedReleases(state, service)].filter(release => !recorded.includes(release));
		isChanged ||= added.length > 0 || kept.length < recorded.length;
		if (kept.length + added.length > 0) {
			releases.set(service, [...kept, ...added]);
		}
	}

	return isChanged ? Object.fromEntries(releases) : undefined;
}

/** Services are named by entries of the registry, which may also use the name of a member that every object has. */
function recordedReleases(record: ReleaseRecord | undefined, service: string): readonly string[] {
	return record && Object.hasOwn(record.releases, service) ? record.releases[service]! : [];
}
