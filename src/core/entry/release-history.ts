/**
Releases of services as this instance's copy of the registry has listed them. It is kept
with every change of the copy, whatever the role of the instance, so that a release counts
as absent only while this instance has followed the registry without seeing it.
*/
import {type EntryContext, type EntryState} from './state.js';
import {targetsOf} from './targets.js';

/** Longer than streams last, by the time limits of requests. */
export const STREAM_LIFETIME_MS = 30_000;

export type ReleaseHistory = {
	/** Releases by service that are listed. */
	listed: ReadonlyMap<string, ReadonlySet<string>>;
	/** When releases that are no longer listed last were, by service and release. */
	readonly listedUntilMs: Map<string, Map<string, number>>;
};

export function createReleaseHistory(): ReleaseHistory {
	return {listed: new Map(), listedUntilMs: new Map()};
}

/** Called when the copy of the registry has changed. */
export function updateReleaseHistory({state, nowMs}: EntryContext): void {
	const {targets, releaseHistory} = state;
	const listed = new Map<string, Set<string>>();
	for (const {unlistedFromMs, entry: {service, release}} of targets.values()) {
		if (unlistedFromMs === undefined) {
			listed.set(service, (listed.get(service) ?? new Set()).add(release));
		}
	}

	const {listedUntilMs} = releaseHistory;
	for (const [service, releases] of releaseHistory.listed) {
		const ended = listedUntilMs.get(service) ?? new Map<string, number>();
		listedUntilMs.set(service, ended);
		for (const release of releases) {
			ended.set(release, nowMs);
		}
	}

	for (const [service, ended] of listedUntilMs) {
		for (const [release, untilMs] of ended) {
			const isListed = listed.get(service)?.has(release) ?? false;
			if (isListed || nowMs - untilMs >= STREAM_LIFETIME_MS) {
				ended.delete(release);
			}
		}

		if (ended.size === 0) {
			listedUntilMs.delete(service);
		}
	}

	releaseHistory.listed = listed;
}

export function listedReleases({releaseHistory}: EntryState, service: string): ReadonlySet<string> {
	return releaseHistory.listed.get(service) ?? new Set();
}

/** Releases of a service that are listed, or were within the lifetime of streams, and those of targets that still work. */
export function recentReleases({state, nowMs}: Pick<EntryContext, 'state' | 'nowMs'>, service: string): Set<string> {
	const ended = [...state.releaseHistory.listedUntilMs.get(service) ?? []].filter(([, untilMs]) => nowMs - untilMs < STREAM_LIFETIME_MS);
	return new Set([...listedReleases(state, service), ...targetsOf(state, service).map(({entry}) => entry.release), ...ended.map(([release]) => release)]);
}

/** For how long this instance has followed the registry without a gap and has not seen a release listed; 0 while it is listed. */
export function absentForMs({state: {releaseHistory, registry}, nowMs}: Pick<EntryContext, 'state' | 'nowMs'>, service: string, release: string): number {
	if (releaseHistory.listed.get(service)?.has(release)) {
		return 0;
	}

	const listedUntilMs = releaseHistory.listedUntilMs.get(service)?.get(release) ?? Number.NEGATIVE_INFINITY;
	return Math.max(0, nowMs - Math.max(listedUntilMs, registry.inStepSinceMs));
}
