/**
The memory ledger of one target. The row in the table is an upper bound of what the
engine holds or may come to hold, because an entry is written before its load order
is sent, and is removed only when no load order for it can still take effect:

- every load order sent for it was answered, and a later unload was confirmed; or
- every sender of an unanswered order is known to have stopped, and after that the engine restarted
  or, if it checks fencing tokens, confirmed an order with a higher one.

On an engine that ignores fencing tokens, an entry whose load order went unanswered
therefore stays pinned until the engine restarts. `docs/design/0003-memory-ledger.md`
explains why this is safe.
*/
import {type ModelName} from '../types.js';
import {type LedgerEntry, type LedgerRow} from './types.js';

export type ModelCopy = {
	readonly model: ModelName;
	readonly version: number;
	readonly memoryMb: number;
};

export function copyName({model, version}: {readonly model: ModelName; readonly version: number}): string {
	return `${model}@${version}`;
}

/** Reduces a ledger or plan entry to the fields of its copy. */
export function pickCopy({model, version, memoryMb}: ModelCopy): ModelCopy {
	return {model, version, memoryMb};
}

/** Memory that is occupied or may come to be occupied. */
export function committedMb(row: LedgerRow): number {
	return row.entries.reduce((sum, {memoryMb}) => sum + memoryMb, 0);
}

export function findEntry(row: LedgerRow, copy: {readonly model: ModelName; readonly version: number}): LedgerEntry | undefined {
	return row.entries.find(entry => entry.model === copy.model && entry.version === copy.version);
}

/** The row with an entry for a load order of the current owner, undefined when the memory does not suffice. */
export function withLoadEntry(row: LedgerRow, copy: ModelCopy, memoryMb: number): LedgerRow | undefined {
	const entry = findEntry(row, copy);
	if (entry) {
		return replaceEntry(row, {...entry, unansweredEpoch: row.epoch});
	}

	if (committedMb(row) + copy.memoryMb > memoryMb) {
		return undefined;
	}

	return {
		...row,
		entries: [...row.entries, {...copy, unansweredEpoch: row.epoch, inheritedEpochs: []}],
	};
}

/** The row with an entry for a copy that the engine reports although no order for it is known. */
export function withDiscoveredCopy(row: LedgerRow, copy: ModelCopy): LedgerRow {
	return findEntry(row, copy)
		? row
		: {...row, entries: [...row.entries, {...copy, unansweredEpoch: 0, inheritedEpochs: []}]};
}

/** The row after every load order of the current owner for this copy was answered. */
export function withOrdersAnswered(row: LedgerRow, copy: ModelCopy): LedgerRow {
	const entry = findEntry(row, copy);
	return entry ? replaceEntry(row, {...entry, unansweredEpoch: 0}) : row;
}

/** The row without inherited epochs whose orders can no longer take effect. */
export function withoutClosedEpochs(row: LedgerRow, isClosed: (epoch: number) => boolean): LedgerRow {
	return {
		...row,
		entries: row.entries.map(entry => ({...entry, inheritedEpochs: entry.inheritedEpochs.filter(epoch => !isClosed(epoch))})),
	};
}

/** Epochs of earlier owners whose orders may still take effect. */
export function inheritedEpochs(row: LedgerRow): Set<number> {
	return new Set(row.entries.flatMap(entry => entry.inheritedEpochs));
}

export function isSettled(entry: LedgerEntry): boolean {
	return entry.unansweredEpoch === 0 && entry.inheritedEpochs.length === 0;
}

/** The row without the copy's entry if that is settled. An unsettled entry stays. */
export function withoutEntry(row: LedgerRow, copy: {readonly model: ModelName; readonly version: number}): LedgerRow {
	return {
		...row,
		entries: row.entries.filter(entry => entry.model !== copy.model || entry.version !== copy.version || !isSettled(entry)),
	};
}

/**
The row as a new owner takes it over: unanswered orders may still take effect. On an
engine that checks fencing tokens, the previous owner may have sent the load order of
any entry again without marking the row, so every entry is in doubt until the previous
owner's epoch is closed.
*/
export function withNewOwner(row: LedgerRow, epoch: number, checksFencing: boolean): LedgerRow {
	return {
		...row,
		epoch,
		entries: row.entries.map(entry => {
			const isInDoubt = entry.unansweredEpoch !== 0 || (checksFencing && row.epoch !== epoch);
			return {
				...entry,
				unansweredEpoch: 0,
				inheritedEpochs: isInDoubt ? [...new Set([...entry.inheritedEpochs, row.epoch])] : entry.inheritedEpochs,
			};
		}),
	};
}

/**
The row after the engine restarted without any copies. Orders of the current owner
ended with the connections to the old process. Orders of an earlier owner are ruled
out only if that owner had stopped sending by then.
*/
export function withEngineRestarted(row: LedgerRow, boot: string, isClosed: (epoch: number) => boolean): LedgerRow {
	const entries = row.entries.map(entry => ({...entry, unansweredEpoch: 0}));
	return {...withoutClosedEpochs({...row, entries}, isClosed), boot};
}

function replaceEntry(row: LedgerRow, replacement: LedgerEntry): LedgerRow {
	return {
		...row,
		entries: row.entries.map(entry => entry.model === replacement.model && entry.version === replacement.version ? replacement : entry),
	};
}
