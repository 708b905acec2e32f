/**
API keys: which workspace a request belongs to, or why it is refused. Keys are looked up
by their hashes in an index that is built when a configuration is adopted.
*/
import {type ResultName} from '../result-codes.js';
import {type Route} from './configuration.js';
import {mayBeOutdated} from './configuration-watch.js';
import {OUTDATED_RETRY_MS, outdatedDetail} from './key-checks.js';
import {type EntryContext, type EntryState} from './state.js';
import {type EntryArrival, type EntryRequest, type Relayed} from './types.js';
import {type Workspace} from './workspace.js';

export type WorkspaceIndex = {
	readonly byKeyHash: ReadonlyMap<string, Workspace>;
	readonly byName: ReadonlyMap<string, Workspace>;
};

export type KeyRefusal = {
	readonly code: ResultName;
	readonly retryAfterMs?: number;
	readonly detail?: string;
};

type Claims = {
	readonly keyHash: string | undefined;
	readonly route: Route;
	/** What a known peer has stated, if it passed the request on. */
	readonly relayed: Relayed | undefined;
};

/** A newer configuration is pulled within this time. */
const NEWER_CONFIGURATION_RETRY_MS = 300;

/** Undefined if there are no workspaces: callers need no key then. A key or name that is listed twice belongs to the first workspace. */
export function indexWorkspaces(workspaces: readonly Workspace[] = []): WorkspaceIndex | undefined {
	if (workspaces.length === 0) {
		return undefined;
	}

	// Of entries with the same key, a map keeps the last.
	const reversed = workspaces.toReversed();
	return {
		byKeyHash: new Map(reversed.flatMap(workspace => workspace.keyHashes.map(hash => [hash, workspace] as const))),
		byName: new Map(reversed.map(workspace => [workspace.name, workspace])),
	};
}

/** The hash of the key that a request brought to the instance which received it from its caller. */
export function keyHashOf({keyHash, relayed}: EntryArrival): string | undefined {
	return relayed?.keyHash ?? keyHash;
}

/** The workspace that a request belongs to, undefined if it needs none, or the reason why it is refused. */
export function authenticate(context: EntryContext, {keyHash, route, relayed}: Claims): {readonly workspace: Workspace | undefined} | KeyRefusal {
	const {workspaces, configuration} = context.state;
	const isBehind = relayed !== undefined && relayed.configurationVersion > (configuration?.version ?? 0);
	if (route.isPublic === true || (!workspaces && !(isBehind && relayed.workspace !== undefined))) {
		return {workspace: undefined};
	}

	const hash = relayed?.keyHash ?? keyHash;
	if (isBehind) {
		// The peer has checked the key by a newer version. One of an earlier build, or without workspaces, states none.
		return relayed.workspace === undefined
			? {code: 'no-configuration', retryAfterMs: NEWER_CONFIGURATION_RETRY_MS, detail: 'the version by which it was passed on is not known yet'}
			: {workspace: workspaces?.byName.get(relayed.workspace) ?? namedWorkspace(relayed.workspace)};
	}

	if (hash === undefined) {
		return {code: 'api-key-missing'};
	}

	const workspace = workspaces?.byKeyHash.get(hash);
	if (workspace) {
		return {workspace};
	}

	// A newer version may have added the key.
	return mayBeOutdated(context)
		? {code: 'configuration-outdated', retryAfterMs: OUTDATED_RETRY_MS, detail: outdatedDetail(context)}
		: {code: 'api-key-unknown'};
}

/** A workspace that only a newer configuration contains. */
function namedWorkspace(name: string): Workspace {
	return {
		name, keyHashes: [], rank: undefined, quota: undefined,
	};
}

/** The route as it applies to requests of a workspace, whose rank takes precedence. */
export function routeFor(route: Route, workspace: Workspace | undefined): Route {
	return workspace?.rank === undefined || workspace.rank === route.rank ? route : {...route, rank: workspace.rank};
}

/** What targets are told of the workspace of a request. */
export type SentWorkspace = {
	/** Whether the caller's API key, and a workspace that it states itself, are removed from the headers. */
	readonly hidesKey: boolean;
	readonly workspace: string | undefined;
};

export function sentWorkspace({workspaces}: EntryState, {workspace, arrival}: EntryRequest): SentWorkspace {
	// A newer version may have given the key to another workspace.
	const holder = workspace && workspaces?.byKeyHash.get(keyHashOf(arrival) ?? '');
	return {hidesKey: workspaces !== undefined || workspace !== undefined, workspace: (holder ?? workspace)?.name};
}
