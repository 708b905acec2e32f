/**
Reads the history of the configuration from the platform's table: accepted patches and
earlier versions.
*/
import {emptyConfiguration} from '../core/configuration/index.js';
import {applyPatch} from '../core/configuration/patch.js';
import {
	documentKey, patchKey, latestSnapshotVersion, type DocumentRow, type PatchRow,
} from '../core/configuration/rows.js';
import {type VersionedConfiguration} from '../core/configuration/types.js';
import {type Table} from './platform/types.js';

/** All accepted patches, oldest first; undefined if the table cannot be read. */
export async function readPatchHistory(table: Table): Promise<PatchRow[] | undefined> {
	const answer = await table.run({kind: 'scan', prefix: 'config/patch/'});
	return answer.kind === 'rows' ? answer.rows.map(({value}) => value as PatchRow) : undefined;
}

/** One version, rebuilt from the latest snapshot at or before it and the patches since; undefined if a row is missing or the table cannot be read. */
export async function readConfigurationVersion(table: Table, version: number): Promise<VersionedConfiguration | undefined> {
	if (version === 0) {
		return {version, configuration: emptyConfiguration};
	}

	const snapshotVersion = latestSnapshotVersion(version);
	const keys = [documentKey(snapshotVersion)];
	for (let next = snapshotVersion + 1; next <= version; next++) {
		keys.push(patchKey(next));
	}

	const answer = await table.run({kind: 'read', keys});
	if (answer.kind !== 'rows' || answer.rows.some(({revision}) => revision === 0)) {
		return undefined;
	}

	let {configuration} = answer.rows[0]?.value as DocumentRow;
	for (const {value} of answer.rows.slice(1)) {
		configuration = applyPatch(configuration, (value as PatchRow).patch).orDefault(configuration);
	}

	return {version, configuration};
}
