/**
Adoption of configurations from the platform's store and from peers. Only a higher
version is adopted, so that a delayed read cannot restore an older one.
*/
import {indexRoutes, type EntryConfiguration} from './configuration.js';
import {dispatchAll} from './dispatch.js';
import {announceMovedStreams, keepFormerRoutes} from './stream-origins.js';
import {logEvent, type EntryContext, type EntryState} from './state.js';
import {indexWorkspaces} from './workspaces.js';

export function adoptConfiguration(context: EntryContext, configuration: EntryConfiguration, source: 'store' | 'peer'): void {
	const {state} = context;
	if (!isNewer(state, configuration) || lacksWorkspaces(state, configuration, source)) {
		return;
	}

	const isFirst = !state.configuration;
	if (!isFirst) {
		keepFormerRoutes(context);
	}

	state.configuration = configuration;
	state.configurationBehindSinceMs = undefined;
	state.routes = indexRoutes(configuration.routes);
	state.workspaces = indexWorkspaces(configuration.workspaces);
	context.effects.push({kind: 'adopt-configuration', configuration});
	logEvent(context, 'configuration-adopted', {
		version: configuration.version, source, routes: configuration.routes.length, workspaces: configuration.workspaces?.length,
	});
	if (isFirst && state.lifecycle === 'serving') {
		context.effects.push({kind: 'set-readiness', isReady: true});
	}

	// Sends beacons at the next tick, for peers in the zone whose store feed delivers nothing.
	state.beaconsSentAtMs = Number.NEGATIVE_INFINITY;
	announceMovedStreams(context);
	dispatchAll(context);
}

/** Whether the configuration is a higher version, or the same one with the workspaces that a peer of an earlier build has left out. */
function isNewer({configuration: held}: EntryState, configuration: EntryConfiguration): boolean {
	return !held || configuration.version > held.version
		|| (configuration.version === held.version && held.workspaces === undefined && configuration.workspaces !== undefined);
}

/** A peer of an earlier build knows no workspaces and leaves them out; taken from it, a configuration would admit callers without keys. */
function lacksWorkspaces({workspaces}: EntryState, configuration: EntryConfiguration, source: 'store' | 'peer'): boolean {
	return source === 'peer' && workspaces !== undefined && configuration.workspaces === undefined;
}
