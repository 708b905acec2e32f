/**
What instances tell each other of the requests that a stop may cut off, so that their ends can also be read in the logs of
others: while an instance stops, it announces the requests that were passed on and ended without a whole answer, and those that
are still open. A peer writes a line for each that ended, and, once the instance has gone without a last word, for each that was
open. Each announcement states all of it, since datagrams may be lost, doubled or come in another order.
*/
import {type InstanceId, type RequestId} from '../types.js';
import {logEvent, type EntryContext} from './state.js';
import {needsOperator} from './end-reasons.js';
import {type EntryEventOf} from './event.js';
import {PEER_SILENT_MS} from './peers.js';
import {type AnnouncedCut, type StopAnnouncement} from './peer-messages.js';

/** Requests that a stop names at most, of those that have ended and of those that are open; the others are counted. */
export const MAX_CUTS_NAMED = 32;
export const MAX_OPEN_NAMED = 20;
/** Part of the former that ends for which targets or callers account may take. */
const MAX_OTHERS_NAMED = 16;
/** Callers choose ids, and all that a stop names has to fit into a datagram. */
const MAX_ID_LENGTH = 200;
const MAX_TRIES_LENGTH = 300;
/** Receivers that come first by name, so that a few logs tell of all stops, and others that were heard from last. */
const MAX_RECEIVERS_BY_NAME = 8;
const MAX_RECEIVERS_IN_TOUCH = 8;
/** How long a stop that is over is remembered, for announcements that come late. */
const RETENTION_MS = 60_000;

/** What this instance has to tell of its own stop. */
export type OwnStop = {
	readonly cuts: AnnouncedCut[];
	moreCuts: number;
	open: StopAnnouncement['open'];
	moreOpen: number;
	/** Of the last announcement; 0 before the first one. */
	sequence: number;
	hasNews: boolean;
};

/** What is known of the stop of another process. */
export type PeerStop = {
	readonly instanceId: InstanceId;
	readonly boot: string;
	readonly named: Set<RequestId>;
	announcement: StopAnnouncement;
	heardAtMs: number;
	/** Whether it has closed, or is taken for lost. */
	isOver: boolean;
};

export function createOwnStop(): OwnStop {
	return {
		cuts: [], moreCuts: 0, open: [], moreOpen: 0, sequence: 0, hasNews: false,
	};
}

/** A request that was passed on has ended without a whole answer. Announced with the next tick: many may end at once. */
export function handleRequestCut({state}: EntryContext, {cut}: EntryEventOf<'request-cut'>): void {
	const {ownStop, lifecycle} = state;
	if (lifecycle === 'serving' && cut.reason !== 'process-stopped') {
		return;
	}

	if (cut.requestId.length <= MAX_ID_LENGTH && ownStop.cuts.length < (needsOperator(cut.reason) ? MAX_CUTS_NAMED : MAX_OTHERS_NAMED)) {
		ownStop.cuts.push({...cut, tries: cut.tries.slice(0, MAX_TRIES_LENGTH)});
		ownStop.hasNews = true;
	} else {
		ownStop.moreCuts++;
	}

	ownStop.open = ownStop.open.filter(({requestId}) => requestId !== cut.requestId);
}

/** The requests that are open at a stop, told each second. */
export function handleRequestsOpen(context: EntryContext, {open, more}: EntryEventOf<'requests-open'>): void {
	const {ownStop} = context.state;
	const named = open.filter(({requestId}) => requestId.length <= MAX_ID_LENGTH).slice(0, MAX_OPEN_NAMED);
	ownStop.open = named.map(request => ({...request, tries: request.tries.slice(0, MAX_TRIES_LENGTH)}));
	ownStop.moreOpen = more + open.length - named.length;
	if (open.length > 0 || ownStop.sequence > 0) {
		announce(context, false);
	}
}

export function announceCuts(context: EntryContext): void {
	if (context.state.ownStop.hasNews) {
		announce(context, false);
	}
}

/** The process is about to end: its last word, sent twice. */
export function handleClosing(context: EntryContext): void {
	const {ownStop} = context.state;
	ownStop.open = [];
	ownStop.moreOpen = 0;
	if (ownStop.hasNews || ownStop.sequence > 0) {
		announce(context, true);
		announce(context, true);
	}
}

function announce(context: EntryContext, isClosed: boolean): void {
	const {state: {ownStop, self}, effects} = context;
	const addresses = receivers(context);
	ownStop.hasNews = false;
	ownStop.sequence++;
	if (addresses.length > 0) {
		const {cuts, moreCuts, open, moreOpen, sequence} = ownStop;
		effects.push({
			kind: 'announce-stop', addresses, announcement: {
				from: self.id, boot: self.boot, sequence, isClosed, cuts: [...cuts], moreCuts, open, moreOpen,
			},
		});
	}
}

function receivers({state: {peers}, nowMs}: EntryContext): readonly string[] {
	const staying = [...peers.values()].filter(({isLeaving}) => !isLeaving);
	const byName = staying.toSorted((a, b) => a.instance.id < b.instance.id ? -1 : 1).slice(0, MAX_RECEIVERS_BY_NAME);
	const inTouch = staying
		.filter(peer => nowMs - peer.beaconReceivedAtMs < PEER_SILENT_MS && !byName.includes(peer))
		.toSorted((a, b) => b.beaconReceivedAtMs - a.beaconReceivedAtMs)
		.slice(0, MAX_RECEIVERS_IN_TOUCH);
	return [...byName, ...inTouch].map(({instance}) => instance.beaconAddress);
}

export function handleStopAnnouncement(context: EntryContext, {announcement}: EntryEventOf<'stop-announced'>): void {
	const {state, nowMs} = context;
	const {from, boot, sequence, cuts, isClosed} = announcement;
	if (from === state.self.id) {
		return;
	}

	const key = `${from}/${boot}`;
	const known = state.peerStops.get(key);
	const stop = known ?? {
		instanceId: from, boot, named: new Set(), announcement, heardAtMs: nowMs, isOver: false,
	};
	state.peerStops.set(key, stop);
	for (const cut of cuts) {
		nameCut(context, stop, cut);
	}

	if (known && sequence <= known.announcement.sequence) {
		return;
	}

	const wasClosed = known?.announcement.isClosed ?? false;
	stop.announcement = announcement;
	stop.heardAtMs = nowMs;
	stop.isOver = isClosed;
	if (isClosed && !wasClosed) {
		countOthers(context, stop);
	}
}

/** Another process of an instance is heard from: the one before it is no more. */
export function endFormerStops(context: EntryContext, {id, boot}: {readonly id: InstanceId; readonly boot: string}): void {
	for (const stop of context.state.peerStops.values()) {
		if (stop.instanceId === id && stop.boot !== boot && !stop.isOver) {
			nameOpen(context, stop);
		}
	}
}

/** Names the requests of stopping instances that are silent. What has not been read yet of a process that is late counts as heard. */
export function watchPeerStops(context: EntryContext): void {
	const {state, nowMs} = context;
	for (const [key, stop] of state.peerStops) {
		const peer = state.peers.get(stop.instanceId);
		const beaconAtMs = peer?.instance.boot === stop.boot ? peer.beaconReceivedAtMs : Number.NEGATIVE_INFINITY;
		if (!stop.isOver && state.readUntilMs - Math.max(stop.heardAtMs, beaconAtMs) >= PEER_SILENT_MS) {
			nameOpen(context, stop);
		}

		if (stop.isOver && nowMs - stop.heardAtMs >= RETENTION_MS) {
			state.peerStops.delete(key);
		}
	}
}

function nameCut(context: EntryContext, {instanceId, named}: PeerStop, {requestId, reason, tries, ...facts}: AnnouncedCut): void {
	if (named.has(requestId)) {
		return;
	}

	named.add(requestId);
	// Records may show only the beginnings of lines.
	logEvent(context, 'peer-request-cut', {
		requestId, reason, by: shortName(context, instanceId), tries, ...facts, instanceId,
	});
}

function nameOpen(context: EntryContext, stop: PeerStop): void {
	stop.isOver = true;
	for (const {requestId, tries, ...facts} of stop.announcement.open) {
		nameCut(context, stop, {
			requestId, reason: 'instance-lost', tries, ...facts, silentMs: Math.round(context.nowMs - stop.heardAtMs),
		});
	}

	countOthers(context, stop);
}

function countOthers(context: EntryContext, {instanceId, announcement: {moreCuts, moreOpen}}: PeerStop): void {
	if (moreCuts + moreOpen > 0) {
		logEvent(context, 'peer-requests-unnamed', {instanceId, cut: moreCuts, open: moreOpen});
	}
}

/** The name of an instance without the words that it has in common with this one's. */
function shortName({state: {self}}: EntryContext, id: InstanceId): string {
	const own = self.id.split('-');
	const words = id.split('-');
	const common = words.findIndex((word, index) => word !== own[index]);
	return common <= 0 ? id : words.slice(common).join('-');
}
