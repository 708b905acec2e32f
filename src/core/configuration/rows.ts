/**
How versions of the configuration stand in the platform's table: one row per
patch, a whole document every so many versions, and a head row. All three are
written together, on condition that the row of the new version is absent. Version
n+2 is only ever written over an existing n+1, so the head cannot go back.
*/
import {type Patch} from './patch.js';
import {type Configuration} from './types.js';

/** Versions between two whole documents. Bounds what a starting instance reads. */
export const SNAPSHOT_VERSIONS = 64;

export const HEAD_KEY = 'config/head';

export type HeadRow = {
	readonly version: number;
	/** Newest version at or below `version` that has a whole document. */
	readonly snapshot: number;
};

export type PatchRow = {
	readonly version: number;
	readonly patchId: string;
	readonly operator: string;
	/** Wall-clock time of submission in milliseconds. */
	readonly atMs: number;
	readonly patch: Patch;
};

export type DocumentRow = {
	readonly version: number;
	readonly configuration: Configuration;
};

export function patchKey(version: number): string {
	return `config/patch/${String(version).padStart(10, '0')}`;
}

export function documentKey(version: number): string {
	return `config/document/${String(version).padStart(10, '0')}`;
}

export function latestSnapshotVersion(version: number): number {
	return version === 0 ? 0 : version - ((version - 1) % SNAPSHOT_VERSIONS);
}

/** The rows that lead from the held version to the head. */
export function keysToReach(head: HeadRow, held: number): string[] {
	const keys: string[] = [];
	let from = held;
	if (head.snapshot > held) {
		keys.push(documentKey(head.snapshot));
		from = head.snapshot;
	}

	for (let version = from + 1; version <= head.version; version++) {
		keys.push(patchKey(version));
	}

	return keys;
}
