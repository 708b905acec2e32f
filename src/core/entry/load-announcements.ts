/**
Announces this instance's load on engines to the peers that use the same engines, at
once whenever it changes. Prompts are read within tens of milliseconds; a beacon would
tell peers of most of them only when they have been read. In a large deployment the few
receivers in another availability zone would be too small a part of those that use an engine
to be worth the traffic between zones.
*/
import fnv1a from '@sindresorhus/fnv1a';
import {type InstanceId} from '../types.js';
import {adoptUnreached} from './dark-targets.js';
import {type EntryEventOf} from './event.js';
import {type AnnouncedLoad} from './peer-messages.js';
import {adoptPaces} from './pace.js';
import {countInstances, liveInstances} from './peers.js';
import {adoptSlowness, announcedSlowness} from './slowness.js';
import {type EntryContext} from './state.js';
import {ownUnreadTokens, type Target} from './target.js';
import {type EntryInstance} from './types.js';

/** Maximum number of peers that get an announcement, so that its cost does not grow with the deployment. */
const MAX_RECEIVERS = 12;
/** Largest deployment in which the receivers are about half of the instances. */
const MAX_INSTANCES_ACROSS_ZONES = 25;

export function announcedLoad(target: Target): AnnouncedLoad {
	return [target.id, target.inFlight.size, ownUnreadTokens(target)];
}

/** Announces the loads that the current event has changed. */
export function announceLoads(context: EntryContext): void {
	const {state, nowMs, effects} = context;
	if (state.loadsToAnnounce.size === 0) {
		return;
	}

	const targets = [...state.loadsToAnnounce].map(id => state.targets.get(id)).filter(target => target !== undefined);
	state.loadsToAnnounce.clear();
	const zones = new Set(targets.map(({entry}) => entry.zone));
	const isLarge = countInstances(state, nowMs) > MAX_INSTANCES_ACROSS_ZONES;
	const peers = liveInstances(state, nowMs).filter(({id, zone}) => id !== state.self.id && !(isLarge && zone !== state.self.zone));
	if (isLarge && !zones.has(state.self.zone)) {
		return;
	}

	const near = rotate(peers.filter(({zone}) => zones.has(zone)), state.self.id);
	const far = rotate(peers.filter(({zone}) => !zones.has(zone)), state.self.id);
	const addresses = [...near, ...far].slice(0, MAX_RECEIVERS).map(({beaconAddress}) => beaconAddress);
	if (targets.length > 0 && addresses.length > 0 && state.mechanisms.has('load-announcements')) {
		effects.push({kind: 'announce-load', addresses, announcement: {from: state.self.id, loads: targets.map(target => announcedLoad(target)), slowness: announcedSlowness(context, targets)}});
	}
}

/** Begins the list at a place that depends on an id. Instances know their peers in about the same order and must not all choose the same ones. */
function rotate(instances: readonly EntryInstance[], id: InstanceId): readonly EntryInstance[] {
	const start = instances.length === 0 ? 0 : Number(fnv1a(id, {size: 32})) % instances.length;
	return [...instances.slice(start), ...instances.slice(0, start)];
}

export function handleLoadAnnouncement(context: EntryContext, {announcement}: EntryEventOf<'load-announced'>): void {
	const {from, loads, slowness} = announcement;
	const {state, nowMs} = context;
	for (const [targetId, inFlight, unreadTokens = 0] of loads) {
		// Waiting requests are dispatched at the next tick. Ticks of instances differ, so that not all send to a relieved engine at once.
		state.targets.get(targetId)?.peerLoads.set(from, {inFlight, unreadTokens, atMs: nowMs});
		state.peers.get(from)?.loadedTargets.add(targetId);
	}

	adoptSlowness(context, slowness ?? []);
	adoptUnreached(context, announcement);
	adoptPaces(context, announcement);
}
