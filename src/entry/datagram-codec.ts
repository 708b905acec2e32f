/**
Encoding of datagrams between instances: JSON, deflated with a dictionary of the names
and values that most datagrams contain, since they are short and much alike.
*/
import {Buffer} from 'node:buffer';
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {type EntryEventOf, type Untimed} from '../core/entry/event.js';
import {
	type Beacon, type LoadAnnouncement, type OriginAnnouncement, type OriginQuery, type PermitGrant, type PermitRequest, type QuotaAsk, type QuotaGrant, type StopAnnouncement,
} from '../core/entry/peer-messages.js';

export type Datagram = Beacon | LoadAnnouncement | PermitRequest | PermitGrant | OriginAnnouncement | OriginQuery | QuotaAsk | QuotaGrant | StopAnnouncement;

export type DatagramEvent = Untimed<EntryEventOf<'beacon-received' | 'load-announced' | 'permits-requested' | 'permits-granted' | 'origins-announced' | 'origin-asked' | 'quota-asked' | 'quota-granted' | 'stop-announced'>>;

/** Members of which each kind of datagram has one: a list, or something else. */
const listMembers = ['loads', 'inMs', 'origins', 'cuts'];
const otherMembers = ['wanted', 'streamId', 'askNumber', 'grantNumber'];
/** Datagrams of other programs must not fill the memory when they are inflated. */
const JSON_BYTES_MAX = 512 * 1024;
const OPENING_BRACE = 0x7B;
/** Changing it changes the encoding: all instances of a deployment must have the same one. */
const dictionary = Buffer.from(JSON.stringify({
	crashes: [{contentHash: '', crashes: 1}],
	adapters: [{targetId: '', name: '', sequence: 1}],
	comingCopies: [{
		targetId: '', service: '', model: '', inMs: 1000,
	}],
	leavingCopies: [{targetId: '', model: '', forMs: 1000}],
	reported: [{
		targetId: '', incarnation: 1, sequence: 1, copies: [{model: '', version: 1, adapters: []}],
	}],
	demand: [{
		service: '', model: '', arrivalsPerSecond: 0.1, busyShare: 0.01, open: 1, waiting: 0, objectiveMs: 1000, adapters: [],
	}],
	loads: [],
	lease: {
		holder: {
			id: '', boot: '', zone: '', address: '', beaconAddress: '',
		},
		epoch: 1,
		ageMs: 100,
	},
	from: {
		id: '', boot: '', zone: '', address: '', beaconAddress: '',
	},
	isLeaving: false,
	configurationVersion: 1,
	registry: {
		revision: 100, digest: 1, asOfStoreMs: 1000, isRead: true,
	},
}));

/** Memory for deflating a datagram: datagrams are short, and what zlib takes for long data has to be cleared each time. */
const deflateOptions = {
	dictionary, windowBits: 13, memLevel: 6, chunkSize: 2048,
};
/** The window is that of any sender. */
const inflateOptions = {dictionary, maxOutputLength: JSON_BYTES_MAX, chunkSize: 2048};

export function encodeDatagram(datagram: Datagram): Buffer {
	const json = Buffer.from(JSON.stringify(datagram));
	// The others are too short to gain from it.
	return 'registry' in datagram ? deflateRawSync(json, deflateOptions) : json;
}

/** Undefined if the bytes come from some other program. */
export function decodeDatagram(message: Buffer): Datagram | undefined {
	try {
		const json = message[0] === OPENING_BRACE ? message : inflateRawSync(message, inflateOptions);
		const datagram = JSON.parse(json.toString('utf8')) as Datagram;
		if ('cuts' in datagram && !isStopAnnouncement(datagram)) {
			return undefined;
		}

		return listMembers.some(name => Array.isArray((datagram as Record<string, unknown>)[name])) || otherMembers.some(name => name in datagram) ? datagram : undefined;
	} catch {
		return undefined;
	}
}

function isStopAnnouncement({from, boot, sequence, cuts, open}: Partial<StopAnnouncement>): boolean {
	return typeof from === 'string' && typeof boot === 'string' && typeof sequence === 'number'
		&& Array.isArray(cuts) && cuts.every(cut => hasTexts(cut, ['requestId', 'reason', 'tries']))
		&& Array.isArray(open) && open.every(request => hasTexts(request, ['requestId', 'tries']));
}

function hasTexts(value: unknown, names: readonly string[]): boolean {
	return typeof value === 'object' && value !== null && names.every(name => typeof (value as Record<string, unknown>)[name] === 'string');
}

/** The event that a datagram is for the core. */
export function toEvent(datagram: Datagram): DatagramEvent {
	if ('registry' in datagram) {
		return {kind: 'beacon-received', beacon: datagram};
	}

	if ('loads' in datagram) {
		return {kind: 'load-announced', announcement: datagram};
	}

	if ('origins' in datagram) {
		return {kind: 'origins-announced', announcement: datagram};
	}

	if ('cuts' in datagram) {
		return {kind: 'stop-announced', announcement: datagram};
	}

	if ('streamId' in datagram) {
		return {kind: 'origin-asked', query: datagram};
	}

	if ('askNumber' in datagram) {
		return {kind: 'quota-asked', ask: datagram};
	}

	if ('grantNumber' in datagram) {
		return {kind: 'quota-granted', grant: datagram};
	}

	return 'wanted' in datagram ? {kind: 'permits-requested', request: datagram} : {kind: 'permits-granted', grant: datagram};
}
