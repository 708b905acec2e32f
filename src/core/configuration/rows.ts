/**
Layout of configuration versions in the platform's table: a row per patch, a full
document (snapshot) at regular intervals, and a head row. They are written in one
transaction, on condition that the patch row of the new version is absent. Version
n+2 is only written once n+1 exists, so the head never moves backwards.
*/
import {type Patch} from './patch.js';
import {type Configuration} from './types.js';

/** Versions per snapshot. Bounds the number of rows that an instance reads at startup. */
export const VERSIONS_PER_SNAPSHOT = 64;

export const HEAD_KEY = 'config/head';

export type HeadRow = {
	readonly version: number;
	/** Newest version at or below `version` that has a snapshot. */
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
	return version === 0 ? 0 : version - ((version - 1) % VERSIONS_PER_SNAPSHOT);
}

/** Returns the keys of the rows to read, in order, to get from `currentVersion` to the head. */
export function keysToCatchUp(head: HeadRow, currentVersion: number): string[] {
	const keys: string[] = [];
	let from = currentVersion;
	if (head.snapshot > currentVersion) {
		keys.push(documentKey(head.snapshot));
		from = head.snapshot;
	}

	for (let version = from + 1; version <= head.version; version++) {
		keys.push(patchKey(version));
	}

	return keys;
}
