/**
What this instance knows of whether the configuration that it holds is still the newest
one in the store.
*/
import {type EntryEventOf} from './event.js';
import {logEvent, type EntryContext} from './state.js';

/** Polls of the store end within ten seconds, whether or not there is a change. */
const UNCONFIRMED_MS = 12_000;

export function handleConfigurationChecked(context: EntryContext, {sentAtMs, storeMs}: EntryEventOf<'configuration-checked'>): void {
	const {state: {configuration, configurationWatch, registry}, nowMs} = context;
	// The answer to a poll may be much younger than the poll.
	const answeredAtMs = registry.storeOffsetMs === undefined ? sentAtMs : Math.min(nowMs, storeMs + registry.storeOffsetMs);
	const ageMs = nowMs - configurationWatch.confirmedAtMs;
	configurationWatch.confirmedAtMs = Math.max(configurationWatch.confirmedAtMs, sentAtMs, answeredAtMs);
	if (configurationWatch.isUnconfirmed) {
		configurationWatch.isUnconfirmed = false;
		logEvent(context, 'configuration-confirmed', {version: configuration?.version, ageMs: Math.round(ageMs)});
	}
}

export function watchConfiguration(context: EntryContext): void {
	const {state: {configuration, configurationWatch}, nowMs} = context;
	const ageMs = nowMs - configurationWatch.confirmedAtMs;
	if (configuration && !configurationWatch.isUnconfirmed && ageMs > UNCONFIRMED_MS) {
		configurationWatch.isUnconfirmed = true;
		logEvent(context, 'configuration-unconfirmed', {version: configuration.version, ageMs: Math.round(ageMs)});
	}
}
