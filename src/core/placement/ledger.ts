/**
The memory ledger of one target. What the table's row holds is an upper bound of
what the engine holds or can come to hold, because an entry is journaled before
its load order is sent, and leaves the row only when no load order for it can
still take effect:

- every load order sent for it was answered, and an unload after it was confirmed; or
- every sender of an unanswered order is known to have stopped, and after that the engine restarted
  or, if it checks fences, confirmed an order with a higher one.

On an engine that ignores fences an entry whose load order went unanswered thus
stays pinned until the engine restarts. `docs/design/0003-memory-ledger.md` has
the argument.
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

/** The copy that an entry or a plan's entry is about, and nothing else of it. */
export function pickCopy({model, version, memoryMb}: ModelCopy): ModelCopy {
	return {model, version, memoryMb};
}

/** Memory that is or may come to be occupied. */
export function committedMb(row: LedgerRow): number {
	return row.entries.reduce((sum, {memoryMb}) => sum + memoryMb, 0);
}

export function findEntry(row: LedgerRow, copy: {readonly model: ModelName; readonly version: number}): LedgerEntry | undefined {
	return row.entries.find(entry => entry.model === copy.model && entry.version === copy.version);
}

/** The row with an entry for a load order of the present owner, undefined when the memory does not suffice. */
export function withLoad(row: LedgerRow, copy: ModelCopy, memoryMb: number): LedgerRow | undefined {
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

/** The row with a copy that the engine reports though no order for it is known. */
export function withFound(row: LedgerRow, copy: ModelCopy): LedgerRow {
	return findEntry(row, copy)
		? row
		: {...row, entries: [...row.entries, {...copy, unansweredEpoch: 0, inheritedEpochs: []}]};
}

/** Every load order of the present owner for this copy was answered. */
export function withAnswered(row: LedgerRow, copy: ModelCopy): LedgerRow {
	const entry = findEntry(row, copy);
	return entry ? replaceEntry(row, {...entry, unansweredEpoch: 0}) : row;
}

/** No order of these earlier epochs can take effect any more. */
export function withoutEpochs(row: LedgerRow, isOver: (epoch: number) => boolean): LedgerRow {
	return {
		...row,
		entries: row.entries.map(entry => ({...entry, inheritedEpochs: entry.inheritedEpochs.filter(epoch => !isOver(epoch))})),
	};
}

/** Epochs of earlier owners whose orders may still take effect. */
export function inheritedEpochs(row: LedgerRow): Set<number> {
	return new Set(row.entries.flatMap(entry => entry.inheritedEpochs));
}

export function isSettled(entry: LedgerEntry): boolean {
	return entry.unansweredEpoch === 0 && entry.inheritedEpochs.length === 0;
}

/** The row without a settled entry. An entry that is not settled stays. */
export function withoutEntry(row: LedgerRow, copy: {readonly model: ModelName; readonly version: number}): LedgerRow {
	return {
		...row,
		entries: row.entries.filter(entry => entry.model !== copy.model || entry.version !== copy.version || !isSettled(entry)),
	};
}

/**
The row as a new owner takes it over: whatever was unanswered may still take effect.
On an engine that checks fences the earlier owner may have ordered any entry again
without a mark in the journal, so every entry is in doubt until its epoch is over.
*/
export function takenOver(row: LedgerRow, epoch: number, checksFencing: boolean): LedgerRow {
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
The row after the engine restarted, empty. Orders of the present owner died with
the old process, to which they were connected. Those of earlier owners did so only
if the owner had stopped sending by then.
*/
export function restarted(row: LedgerRow, boot: string, isOver: (epoch: number) => boolean): LedgerRow {
	const entries = row.entries.map(entry => ({...entry, unansweredEpoch: 0}));
	return {...withoutEpochs({...row, entries}, isOver), boot};
}

function replaceEntry(row: LedgerRow, replacement: LedgerEntry): LedgerRow {
	return {
		...row,
		entries: row.entries.map(entry => entry.model === replacement.model && entry.version === replacement.version ? replacement : entry),
	};
}
