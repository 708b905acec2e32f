/**
What an instance passes on of its copy of the registry: to a peer that pulls, and, as soon
as it has read a change itself, to all peers of its availability zone in a beacon, so that
none of them has to pull it. A change names what this instance knows to have changed. It
may lack a target that came and went while this instance read nothing, or before it
started, so the digest of the copy goes with it: a receiver whose copy would get another
one leaves the change alone and pulls all entries.
*/
import {type RegistryTransfer, type AnnouncedRegistryChange} from './peer-messages.js';
import {type EntryState} from './state.js';

/** A beacon has to fit into a datagram of few packets. */
const MAX_ANNOUNCED_ENTRIES = 24;
/** The same for removals, which are ids alone. */
const MAX_ANNOUNCED_REMOVALS = 200;

/** What is known to have changed in the registry since a revision, or all of it since revision 0. */
export function registryTransfer({registry: {revision, asOfStoreMs, digest}, targets}: EntryState, sinceRevision: number): RegistryTransfer {
	const known = [...targets.values()];
	const listed = known.filter(({isInRegistry}) => isInRegistry);
	const copy = {revision, asOfStoreMs, digest};
	if (sinceRevision === 0) {
		return {...copy, entries: listed.map(target => target.listed)};
	}

	return {
		...copy,
		entries: listed.filter(({changedRevision}) => changedRevision > sinceRevision).map(target => target.listed),
		removed: known.filter(({isInRegistry, changedRevision}) => !isInRegistry && changedRevision > sinceRevision).map(({id}) => id),
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
	const isSmall = removed !== undefined && entries.length <= MAX_ANNOUNCED_ENTRIES && removed.length <= MAX_ANNOUNCED_REMOVALS;
	return isSmall ? {sinceDigest: since.digest, entries, removed} : undefined;
}
