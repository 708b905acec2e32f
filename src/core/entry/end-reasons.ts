/**
Why requests end without a whole answer of a target, as log lines state it: a closed set, so
that lines can be counted and compared. The code that a caller gets is the reason where it
says enough by itself.
*/
import {type ResultName} from '../result-codes.js';

/**
Decided by the core.

- `deadline`: its time is over.
- `instance-stopped`: the grace period is nearly over, or nothing had room while the instance stopped.
- `attempts-used`, `budget-used`, `may-have-run`, `declined`: its last try failed, and the route's attempts, the retry budget, its being run at
  most once, or the number of targets that declined it allow no other.
- `release-unknown`, `release-gone`: no target is known at which its stream can go on.
- `targets-full`: its try failed, and no other target had room in time.
- `relay-refused`: the instance that it was passed on to refused it.
- `adapter-missing`, `key-withdrawn`, `content-crashes`: what it needs could not be loaded, its key is not in force any more, what it brings
  crashes targets.
- `caller-left`: its connection was closed first. The listener knows more of it.
*/
export type DecidedReason =
	| 'deadline' | 'instance-stopped'
	| 'attempts-used' | 'budget-used' | 'may-have-run' | 'declined' | 'release-unknown' | 'release-gone' | 'targets-full'
	| 'relay-refused' | 'adapter-missing' | 'key-withdrawn' | 'content-crashes' | 'caller-left';

export type EndReason = DecidedReason | ResultName;

/**
Reasons for which a target, the caller or its deadline accounts: metrics count them, and no single one is for the operator to
look at. All others are, also those that are added and not listed here.
*/
const reasonsOfOthers: ReadonlySet<string> = new Set([
	'deadline',
	'attempts-used',
	'budget-used',
	'may-have-run',
	'declined',
	'targets-full',
	'caller-left',
	'caller-ended',
	'connection-error',
	'answer-unconfirmed',
	'deadline-unreachable',
	'body-incomplete',
]);

export function needsOperator(reason: string): boolean {
	return !reasonsOfOthers.has(reason);
}

/** Why a request gets no further try after one has failed. */
export type FinalReason = Extract<DecidedReason, 'deadline' | 'attempts-used' | 'budget-used' | 'may-have-run' | 'declined' | 'release-unknown'>;

export const finalDetails: Readonly<Record<FinalReason, string>> = {
	deadline: 'the deadline has passed',
	'attempts-used': 'the route allows no further attempt',
	'budget-used': 'the repeat budget is used up',
	'may-have-run': 'the work may have run and must not be repeated',
	declined: 'targets declined it several times',
	'release-unknown': 'the release that began the stream is not known',
};
