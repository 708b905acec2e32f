/**
Adoption of configurations from the platform's store and from peers. Only a higher
version is adopted, so that a delayed read cannot restore an older one.
*/
import {indexRoutes, type EntryConfiguration} from './configuration.js';
import {dispatchAll} from './dispatch.js';
import {logEvent, type EntryContext} from './state.js';

export function adoptConfiguration(context: EntryContext, configuration: EntryConfiguration, source: 'store' | 'peer'): void {
	const {state} = context;
	if (state.configuration && configuration.version <= state.configuration.version) {
		return;
	}

	const isFirst = !state.configuration;
	state.configuration = configuration;
	state.configurationBehindSinceMs = undefined;
	state.routes = indexRoutes(configuration.routes);
	context.effects.push({kind: 'adopt-configuration', configuration});
	logEvent(context, 'configuration-adopted', {version: configuration.version, source, routes: configuration.routes.length});
	if (isFirst && state.lifecycle === 'serving') {
		context.effects.push({kind: 'set-readiness', isReady: true});
	}

	// Sends beacons at the next tick, for peers in the zone whose store feed delivers nothing.
	state.beaconsSentAtMs = Number.NEGATIVE_INFINITY;
	dispatchAll(context);
}
