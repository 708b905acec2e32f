/**
What an instance passes on of its copy of the registry: to a peer that pulls, and, as soon
as it has read a change itself, to all peers of its availability zone in a beacon, so that
none of them has to pull it.
*/
import {type RegistryTransfer, type AnnouncedRegistryChange} from './peer-messages.js';
import {type EntryState} from './state.js';

/** A beacon has to fit into a datagram of few packets. */
const MAX_ANNOUNCED_ENTRIES = 24;

/** What has changed in the registry since a revision, or all of it if not all removals since then are known. */
export function registryTransfer({registry, targets}: EntryState, sinceRevision: number): RegistryTransfer {
	const {revision, asOfStoreMs, digest, removals, removalsCompleteFrom} = registry;
	const listed = [...targets.values()].filter(({unlistedFromMs}) => unlistedFromMs === undefined);
	if (sinceRevision === 0 || sinceRevision < removalsCompleteFrom) {
		return {
			revision, asOfStoreMs, digest, entries: listed.map(target => target.listed),
		};
	}

	const listedIds = new Set(listed.map(({id}) => id));
	return {
		revision,
		asOfStoreMs,
		digest,
		entries: listed.filter(({listedRevision}) => listedRevision > sinceRevision).map(target => target.listed),
		removed: removals.filter(({id, revision: removedAt}) => removedAt > sinceRevision && !listedIds.has(id)).map(({id}) => id),
	};
}

/** The change since the copy that this instance last told its zone of; undefined if there is none, or if it is too large for a beacon. */
export function takeAnnouncedChange(state: EntryState): AnnouncedRegistryChange | undefined {
	const {registry} = state;
	const since = registry.announced;
	registry.announced = {revision: registry.revision, digest: registry.digest};
	if (!since || since.digest === registry.digest) {
		return undefined;
	}

	const {entries, removed} = registryTransfer(state, since.revision);
	return removed && entries.length <= MAX_ANNOUNCED_ENTRIES ? {sinceDigest: since.digest, entries, removed} : undefined;
}
