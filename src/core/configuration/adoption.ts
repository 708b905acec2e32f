/**
Puts the newest accepted configuration version into effect on this instance.
Versions come from the table or from a peer. An older version never replaces a newer
one, so stale reads, lagging peers and restarts do no harm.
*/
import {logEvent, type Context} from '../context.js';
import {type EventOf} from '../event.js';
import {reconcileTargets} from '../request/reports.js';
import {shareFact} from '../peer/facts.js';
import {startTableOperation, type TableStepOf} from '../table-steps.js';
import {type Row} from '../table.js';
import {type Instance, type InstanceId} from '../types.js';
import {retryPatches} from './patch-operations.js';
import {applyPatch} from './patch.js';
import {
	HEAD_KEY, keysToCatchUp, type DocumentRow, type HeadRow, type PatchRow,
} from './rows.js';
import {type VersionedConfiguration} from './types.js';
import {emptyConfiguration, indexConfiguration} from './index.js';

const POLL_INTERVAL_MS = 2000;

/** Upper limit on reads of the head row per second over all instances, to bound the load on the table. */
const MAX_POLLS_PER_SECOND = 160;

export function runConfigurationPoll(context: Context): void {
	const {state, nowMs} = context;
	const instances = state.membership.size + 1;
	const intervalMs = Math.max(POLL_INTERVAL_MS, (instances / MAX_POLLS_PER_SECOND) * 1000);
	state.timers.set(nowMs + intervalMs, {kind: 'periodic', duty: 'configuration'});
	pollHead(context);
}

function pollHead(context: Context): void {
	const {configuration} = context.state;
	if (!configuration.polling) {
		configuration.polling = true;
		startTableOperation(context, {kind: 'read', keys: [HEAD_KEY]}, {kind: 'configuration-head'});
	}
}

/** Records that a peer has this version. If it is newer, reads it from the table, or from the peer while the platform is unreachable. */
export function observePeerVersion(context: Context, version: number, from: InstanceId): void {
	const {state} = context;
	state.configuration.newestKnown = Math.max(state.configuration.newestKnown, version);
	if (version <= state.configuration.version) {
		return;
	}

	if (state.platformReachable) {
		pollHead(context);
	} else {
		fetchFromPeer(context, state.membership.members.get(from)?.instance);
	}
}

function fetchFromPeer(context: Context, peer: Instance | undefined): void {
	if (peer) {
		context.effects.push({kind: 'fetch-configuration', peer, afterVersion: context.state.configuration.version});
	}
}

/** Falls back to a random peer when the table cannot be read and a newer version is known to exist. */
function fetchFromRandomPeer(context: Context): void {
	const {configuration, membership} = context.state;
	if (configuration.newestKnown > configuration.version) {
		fetchFromPeer(context, membership.pickPeers(context, 1)[0]);
	}
}

export function handleHeadRead(context: Context, _step: TableStepOf<'configuration-head'>, event: EventOf<'table-answered'>): void {
	const {configuration} = context.state;
	configuration.polling = false;
	if (event.answer.kind !== 'rows') {
		fetchFromRandomPeer(context);
		return;
	}

	const head = event.answer.rows[0]?.value as HeadRow | undefined;
	if (!head || head.version <= configuration.version) {
		return;
	}

	configuration.newestKnown = Math.max(configuration.newestKnown, head.version);
	configuration.polling = true;
	startTableOperation(context, {kind: 'read', keys: keysToCatchUp(head, configuration.version)}, {kind: 'configuration-read'});
}

export function handleRowsRead(context: Context, _step: TableStepOf<'configuration-read'>, event: EventOf<'table-answered'>): void {
	const {configuration} = context.state;
	configuration.polling = false;
	if (event.answer.kind !== 'rows') {
		fetchFromRandomPeer(context);
		return;
	}

	adoptConfiguration(context, rollForward(configuration, event.answer.rows));
}

/** Applies documents and patches in order, up to the first gap. */
function rollForward(base: VersionedConfiguration, rows: readonly Row[]): VersionedConfiguration {
	let result = base;
	for (const {key, value, revision} of rows) {
		if (revision === 0) {
			break;
		}

		if (key.startsWith('config/document/')) {
			const document = value as DocumentRow;
			result = document.version > result.version ? document : result;
			continue;
		}

		const patch = value as PatchRow;
		if (patch.version !== result.version + 1) {
			continue;
		}

		const next = applyPatch(result.configuration, patch.patch);
		if (next.isLeft()) {
			break;
		}

		result = {version: patch.version, configuration: next.orDefault(emptyConfiguration)};
	}

	return result;
}

export function handleConfigurationFetched(context: Context, event: EventOf<'configuration-fetched'>): void {
	adoptConfiguration(context, event.numbered);
}

/** Puts a version into effect if it is newer than the current one. */
export function adoptConfiguration(context: Context, versioned: VersionedConfiguration): void {
	const {configuration} = context.state;
	if (versioned.version <= configuration.version) {
		return;
	}

	configuration.version = versioned.version;
	configuration.newestKnown = Math.max(configuration.newestKnown, versioned.version);
	configuration.configuration = versioned.configuration;
	configuration.index = indexConfiguration(versioned.configuration);
	reconcileTargets(context);
	context.effects.push({kind: 'adopt-configuration', numbered: versioned});
	logEvent(context, 'configuration-adopted', {version: versioned.version});
	// The configuration version serves as the version of the fact and the origin is empty, so that all instances with this version publish an identical fact.
	shareFact(context, {
		key: 'configuration',
		origin: '',
		version: versioned.version,
		value: {kind: 'configuration', version: versioned.version},
	});
	retryPatches(context);
}
