/**
Services whose targets are brittle: each names in its responses how many requests a
second it can turn away for want of room, from all instances together, before it falls
over. Such targets are not filled beyond their slots, an instance has few requests
without an answer there at a time, and a refusal keeps it away for as long as its share of
the number requires. Responses bring the number often; beacons bring it to instances
that have none yet.
*/
import {countInstances} from './peers.js';
import {logEvent, type EntryContext, type EntryState} from './state.js';
import {type Target} from './target.js';
import {type EntryTry} from './types.js';

/** Targets state it in all responses while it holds, so that an older statement is no longer known to hold. */
const STATED_VALID_MS = 3000;
/** Share of the slots up to which requests are sent: estimates of the load are a little late. */
export const BRITTLE_FILL_FACTOR = 0.9;
const MIN_HOLD_OFF_MS = 1000;

/** Records what a response to a try states: the number, or that there is none. */
export function recordStatedBrittleness(context: EntryContext, {entry: {service}}: Target, attempt: EntryTry, declinesPerSecond: number | undefined): void {
	const {state, nowMs} = context;
	const known = state.brittleServices.get(service);
	if (declinesPerSecond !== undefined) {
		adoptBrittleness(context, {service, declinesPerSecond, statedAgoMs: 0});
	} else if (known && attempt.startedAtMs > known.statedAtMs) {
		// Responses overtake each other, so only one to a request sent later shows that it is over.
		state.brittleServices.delete(service);
		logEvent(context, 'service-sturdy', {service, statedAgoMs: Math.round(nowMs - known.statedAtMs)});
	}
}

/** A service's brittleness as beacons carry it. */
export type AnnouncedBrittleness = {
	readonly service: string;
	readonly declinesPerSecond: number;
	/** Time since one of its targets stated it. */
	readonly statedAgoMs: number;
};

export function adoptBrittleness(context: EntryContext, {service, declinesPerSecond, statedAgoMs}: AnnouncedBrittleness): void {
	const {state, nowMs} = context;
	const statedAtMs = nowMs - statedAgoMs;
	const known = state.brittleServices.get(service);
	if (statedAgoMs >= STATED_VALID_MS || (known && known.statedAtMs >= statedAtMs)) {
		return;
	}

	state.brittleServices.set(service, {declinesPerSecond, statedAtMs});
	if (!known || nowMs - known.statedAtMs >= STATED_VALID_MS) {
		logEvent(context, 'service-brittle', {service, declinesPerSecond});
		state.beaconsSentAtMs = Number.NEGATIVE_INFINITY;
	}
}

export function announcedBrittleness({state, nowMs}: EntryContext): AnnouncedBrittleness[] {
	return [...state.brittleServices]
		.filter(([, {statedAtMs}]) => nowMs - statedAtMs < STATED_VALID_MS)
		.map(([service, {declinesPerSecond, statedAtMs}]) => ({service, declinesPerSecond, statedAgoMs: Math.round(nowMs - statedAtMs)}));
}

/** Requests a second that each target of a service can turn away; undefined if they are not brittle. */
function declinesPerSecond({brittleServices}: EntryState, service: string, nowMs: number): number | undefined {
	const known = brittleServices.get(service);
	return known && nowMs - known.statedAtMs < STATED_VALID_MS ? known.declinesPerSecond : undefined;
}

/** Whether a brittle target has as many of this instance's requests without an answer as the instance may have turned away at once. */
export function isAtBrittleShare(state: EntryState, target: Target, nowMs: number): boolean {
	const allowed = declinesPerSecond(state, target.entry.service, nowMs);
	if (allowed === undefined) {
		return false;
	}

	const share = Math.max(1, Math.floor(allowed / countInstances(state, nowMs)));
	let unanswered = 0;
	for (const [requestId, tryNumber] of target.inFlight) {
		const attempt = state.open.get(requestId)?.tries[tryNumber - 1];
		unanswered += attempt?.hasBegun ? 0 : 1;
		if (unanswered >= share) {
			return true;
		}
	}

	return false;
}

export function isBrittle(state: EntryState, target: Target, nowMs: number): boolean {
	return declinesPerSecond(state, target.entry.service, nowMs) !== undefined;
}

/** A target turned a request away for want of room: if it is brittle, this instance stays away until its share allows another one. */
export function holdOff({state, nowMs}: EntryContext, target: Target): void {
	const allowed = declinesPerSecond(state, target.entry.service, nowMs);
	if (allowed !== undefined) {
		const share = Math.max(allowed, 1) / countInstances(state, nowMs);
		target.backoffUntilMs = Math.max(target.backoffUntilMs, nowMs + Math.max(MIN_HOLD_OFF_MS, 1000 / share));
	}
}
