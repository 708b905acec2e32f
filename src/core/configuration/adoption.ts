/**
Brings the newest accepted version into force on this instance. Versions come
from the table or from a peer and only ever grow, whatever a lagging read, a peer
or a restart says.
*/
import {log, type Context} from '../context.js';
import {type EventOf} from '../event.js';
import {reconcileTargets} from '../request/reports.js';
import {shareFact} from '../peer/facts.js';
import {startTableOperation, type TableStepOf} from '../table-steps.js';
import {type Row} from '../table.js';
import {type Instance, type InstanceId} from '../types.js';
import {retryPatches} from './operations.js';
import {applyPatch} from './patch.js';
import {
	HEAD_KEY, keysToReach, type DocumentRow, type HeadRow, type PatchRow,
} from './rows.js';
import {type VersionedConfiguration} from './types.js';
import {emptyConfiguration, indexConfiguration} from './index.js';

const POLL_INTERVAL_MS = 2000;

/** Reads of the head per second over all instances, as a bound on the table's load. */
const POLLS_PER_SECOND = 160;

export function runPoll(context: Context): void {
	const {state, nowMs} = context;
	const instances = state.membership.size + 1;
	const intervalMs = Math.max(POLL_INTERVAL_MS, (instances / POLLS_PER_SECOND) * 1000);
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

/** A peer holds this version: fetch it if it is newer. */
export function noteNewestVersion(context: Context, version: number, from: InstanceId): void {
	const {state} = context;
	state.configuration.newestKnown = Math.max(state.configuration.newestKnown, version);
	if (version <= state.configuration.version) {
		return;
	}

	if (state.platformReachable) {
		pollHead(context);
	} else {
		fetchFrom(context, state.membership.members.get(from)?.instance);
	}
}

function fetchFrom(context: Context, peer: Instance | undefined): void {
	if (peer) {
		context.effects.push({kind: 'fetch-configuration', peer, afterVersion: context.state.configuration.version});
	}
}

/** The table cannot be read: if a newer version is known, any peer may have it. */
function fetchInstead(context: Context): void {
	const {configuration, membership} = context.state;
	if (configuration.newestKnown > configuration.version) {
		fetchFrom(context, membership.pickPeers(context, 1)[0]);
	}
}

export function handleHead(context: Context, _step: TableStepOf<'configuration-head'>, event: EventOf<'table-answered'>): void {
	const {configuration} = context.state;
	configuration.polling = false;
	if (event.answer.kind !== 'rows') {
		fetchInstead(context);
		return;
	}

	const head = event.answer.rows[0]?.value as HeadRow | undefined;
	if (!head || head.version <= configuration.version) {
		return;
	}

	configuration.newestKnown = Math.max(configuration.newestKnown, head.version);
	configuration.polling = true;
	startTableOperation(context, {kind: 'read', keys: keysToReach(head, configuration.version)}, {kind: 'configuration-read'});
}

export function handleRows(context: Context, _step: TableStepOf<'configuration-read'>, event: EventOf<'table-answered'>): void {
	const {configuration} = context.state;
	configuration.polling = false;
	if (event.answer.kind !== 'rows') {
		fetchInstead(context);
		return;
	}

	adopt(context, rollForward(configuration, event.answer.rows));
}

/** Applies documents and patches in order, as far as they join without a gap. */
function rollForward(held: VersionedConfiguration, rows: readonly Row[]): VersionedConfiguration {
	let result = held;
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

export function handleFetched(context: Context, event: EventOf<'configuration-fetched'>): void {
	adopt(context, event.numbered);
}

/** Puts a version in force unless the one in force is newer. */
export function adopt(context: Context, numbered: VersionedConfiguration): void {
	const {configuration} = context.state;
	if (numbered.version <= configuration.version) {
		return;
	}

	configuration.version = numbered.version;
	configuration.newestKnown = Math.max(configuration.newestKnown, numbered.version);
	configuration.configuration = numbered.configuration;
	configuration.index = indexConfiguration(numbered.configuration);
	reconcileTargets(context);
	context.effects.push({kind: 'adopt-configuration', numbered});
	log(context, 'configuration-adopted', {version: numbered.version});
	// The version number itself orders these facts, so that a fact from any instance that holds the version is the same fact.
	shareFact(context, {
		key: 'configuration',
		origin: '',
		version: numbered.version,
		value: {kind: 'configuration', version: numbered.version},
	});
	retryPatches(context);
}
