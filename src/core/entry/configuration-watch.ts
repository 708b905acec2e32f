/**
Whether the configuration that this instance holds is still the newest one in the store.
Every instance learns of a new version from a long poll, whose connection may have gone
silent. One instance of each zone, the one that reads the registry, therefore also asks
the store on another connection, and its beacons confirm the version to its peers.
*/
import {
	confirmByPeer, confirmByRead, configurationAgeMs, isAgeBounded, isConfigurationOutdated, needsOwnRead, watchConfigurationAge,
} from './configuration-age.js';
import {type EntryEventOf} from './event.js';
import {type Beacon} from './peer-messages.js';
import {canReadStore, isDueAsReader} from './registry-readers.js';
import {logEvent, type EntryContext, type EntryState} from './state.js';

/** With a hedged check and the beacons of a zone, a version is in force everywhere within two seconds. */
const CHECK_INTERVAL_MS = 1000;
/** A check without an answer for this long is sent again, on another connection. */
const HEDGED_CHECK_DELAY_MS = 400;
/** Several checks in a row, by several instances, have brought no answer. */
const UNCONFIRMED_MS = 4000;

export function handleConfigurationChecked(context: EntryContext, event: EntryEventOf<'configuration-checked'>): void {
	if (isAgeBounded(context.state)) {
		confirmByRead(context, event);
	}

	const {sentAtMs, storeMs} = event;
	const {configurationWatch, registry} = context.state;
	// The answer to a poll may be much younger than the poll.
	const answeredAtMs = registry.storeOffsetMs === undefined ? sentAtMs : Math.min(context.nowMs, storeMs + registry.storeOffsetMs);
	// Not the latest of all: the clock of a restored store may have begun anew.
	configurationWatch.asOfStoreMs = storeMs;
	confirm(context, Math.max(sentAtMs, answeredAtMs));
}

/** A peer that holds the same version may have heard from the store later. */
export function confirmConfiguration(context: EntryContext, beacon: Beacon): void {
	if (isAgeBounded(context.state)) {
		confirmByPeer(context, beacon);
	}

	const {configurationVersion, configurationAsOfStoreMs} = beacon;
	const {configuration, configurationWatch, registry} = context.state;
	if (configurationAsOfStoreMs === undefined || registry.storeOffsetMs === undefined || configurationVersion !== configuration?.version) {
		return;
	}

	const confirmedAtMs = configurationAsOfStoreMs + registry.storeOffsetMs;
	if (confirmedAtMs > configurationWatch.confirmedAtMs && confirmedAtMs <= context.nowMs) {
		configurationWatch.asOfStoreMs = configurationAsOfStoreMs;
		confirm(context, confirmedAtMs);
	}
}

function confirm(context: EntryContext, atMs: number): void {
	const {state: {configuration, configurationWatch}, nowMs} = context;
	const ageMs = nowMs - configurationWatch.confirmedAtMs;
	configurationWatch.confirmedAtMs = Math.max(configurationWatch.confirmedAtMs, atMs);
	if (configurationWatch.isUnconfirmed) {
		configurationWatch.isUnconfirmed = false;
		logEvent(context, 'configuration-confirmed', {version: configuration?.version, ageMs: Math.round(ageMs)});
	}
}

export function watchConfiguration(context: EntryContext): void {
	const {state, nowMs, effects} = context;
	const {configuration, configurationAge, configurationWatch} = state;
	if (!configuration) {
		return;
	}

	watchConfigurationAge(context);
	const ageMs = unconfirmedForMs(context);
	if (!configurationWatch.isUnconfirmed && ageMs > UNCONFIRMED_MS) {
		configurationWatch.isUnconfirmed = true;
		logEvent(context, 'configuration-unconfirmed', {version: configuration.version, ageMs: Math.round(ageMs)});
	}

	// While the store does not answer, the reads of the registry show when it does again.
	const isDue = canReadStore(state, nowMs) && isDueAsReader(context, nowMs - ageMs + CHECK_INTERVAL_MS) && nowMs - configurationWatch.checkSentAtMs >= HEDGED_CHECK_DELAY_MS;
	const isNeededHere = isAgeBounded(state) && needsOwnRead(context);
	if (isNeededHere) {
		configurationAge.readSentAtMs = nowMs;
	}

	if (isDue || isNeededHere) {
		configurationWatch.checkSentAtMs = nowMs;
		effects.push({kind: 'check-configuration'});
	}
}

/** For how long it has not been known whether the version held is the newest. Where the age has a bound, the readers of a zone keep that age low, which does not count the answers to long polls. */
export function unconfirmedForMs(context: Pick<EntryContext, 'state' | 'nowMs' | 'wallMs'>): number {
	return isAgeBounded(context.state) ? configurationAgeMs(context) : context.nowMs - context.state.configurationWatch.confirmedAtMs;
}

/** Whether what the version held does not contain may be in a newer one: a peer has told of one, or the store has confirmed none for a while. */
export function mayBeOutdated(context: EntryContext): boolean {
	return context.state.configurationBehindSinceMs !== undefined || isConfigurationOutdated(context) || unconfirmedForMs(context) > UNCONFIRMED_MS;
}

/** How long that has not been known, for log lines; undefined before the first answer of the store. */
export function knownAgeMs(context: Pick<EntryContext, 'state' | 'nowMs' | 'wallMs'>): number | undefined {
	const ageMs = unconfirmedForMs(context);
	return Number.isFinite(ageMs) ? Math.round(ageMs) : undefined;
}

/** When the version held was known to be the newest, on the store's clock, for peers; 0 if that is not known. */
export function confirmedAsOfStoreMs(state: EntryState): number {
	return isAgeBounded(state) ? state.configurationAge.confirmation?.asOfStoreMs ?? 0 : state.configurationWatch.asOfStoreMs;
}
