/**
The tries of a request that are in flight. There is more than one while a silent try goes
on beside the one that was sent for it.
*/
import {type EntryRequest, type EntryTry} from './types.js';

type Tried = Pick<EntryRequest, 'tries'>;

export function openTries({tries}: Tried): EntryTry[] {
	return tries.filter(({outcome}) => outcome === undefined);
}

/** The newest try in flight. */
export function currentTry({tries}: Tried): EntryTry | undefined {
	return tries.findLast(({outcome}) => outcome === undefined);
}

/** The try of this number if it is in flight. */
export function openTry({tries}: Tried, number: number): EntryTry | undefined {
	const attempt = tries[number - 1];
	return attempt?.outcome === undefined ? attempt : undefined;
}
