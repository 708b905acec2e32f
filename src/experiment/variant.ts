/**
A variant of the policy and its runs, one for each seed; all variants of an experiment
run with the same seeds, so that they can be compared pairwise.
*/
import {type Mechanism} from '../core/entry/mechanisms.js';
import {type RunSummary} from './run.js';

export type Variant = {
	readonly name: string;
	readonly without: readonly Mechanism[];
	readonly runs: readonly RunSummary[];
};

/** Figures that are compared; each is read from a run. */
export const figures: ReadonlyArray<{readonly name: string; readonly of: (run: RunSummary) => number}> = [
	{name: 'worth', of: ({all}) => all.worth},
	{name: 'in time', of: ({all}) => all['in-time']},
	{name: 'late', of: ({all}) => all.late},
	{name: 'refused', of: ({all}) => all.refused},
	{name: 'left', of: ({all}) => all.left},
	{name: 'failed', of: ({all}) => all.failed},
	{name: 'worst zone', of: ({byZone}) => Math.min(...byZone.map(({worth}) => worth))},
	{name: 'worst second', of: ({worstSecond}) => worstSecond},
	{name: 'median ms', of: ({medianMs}) => medianMs},
	{name: 'p99 ms', of: ({p99Ms}) => p99Ms},
	{name: 'moves', of: ({moves}) => moves},
	{name: 'store loads', of: ({storeLoads}) => storeLoads},
	{name: 'preempted', of: ({preemptions}) => preemptions},
	{name: 'read again', of: ({readTokens, keptTokens}) => readTokens / Math.max(1, readTokens + keptTokens)},
	{name: 'bytes', of: ({messageBytes}) => messageBytes},
];
