/**
Judges of the deployment's shape: what callers and targets see around planned work.
*/
import {describeLost, findLost} from '../lost.js';
import {type Judge, type Seen} from '../judges.js';
import {groupBy, type SentVersion} from '../record.js';

/** Requests over kept connections that may be closed without an answer in a soak. */
const CLOSED_MAX = 3;

export function createShapeJudges(versions: readonly SentVersion[]): Readonly<Record<string, Judge>> {
	const lost = (seen: Seen) => findLost(seen, {deadlineMs: Number.POSITIVE_INFINITY, versions});
	return {
		LOST: {
			promise: 'around the stop of an instance or SIGHUP, a request that was read whole gets a complete answer',
			count: seen => seen.attempts.length,
			find: seen => lost(seen).filter(({around}) => around !== '').map(found => ({text: describeLost(found), ids: [found.attempt.id], atMs: found.attempt.endedAtMs})),
		},
		CLOSED: {
			promise: `at any time, at most ${CLOSED_MAX} requests over kept connections that were passed on end without an answer`,
			count: seen => seen.attempts.filter(({isKeptConnection}) => isKeptConnection).length,
			find(seen) {
				const closed = lost(seen).filter(({attempt, isPassedOn}) => isPassedOn && attempt.isKeptConnection && attempt.status === undefined);
				return closed.length > CLOSED_MAX ? closed.map(found => ({text: describeLost(found), ids: [found.attempt.id], atMs: found.attempt.endedAtMs})) : [];
			},
		},
		CUT: {
			promise: 'without planned work at its instance, a request that was passed on to a sound target is not cut off',
			count: seen => seen.attempts.length,
			find: seen => lost(seen).filter(({around}) => around === '').map(found => ({text: describeLost(found), ids: [found.attempt.id], atMs: found.attempt.endedAtMs})),
		},
		MIXED: {
			promise: 'an answer belongs to its request and is whole if it looks so',
			count: seen => seen.attempts.filter(({status}) => status !== undefined).length,
			find(seen) {
				const arrivals = groupBy(seen.arrivals, ({key}) => key);
				return seen.attempts.flatMap(({id, key, mismatch, answeredId, status, signature, endedAtMs}) => {
					const reasons = [
						mismatch,
						answeredId !== undefined && answeredId !== id && `the answer names ${answeredId}`,
						signature !== undefined && !arrivals.get(key)?.some(({target, status: given}) => signature === `${target}.${key}` && given === status) && `no target gave ${status} with ${signature}`,
					].filter(Boolean);
					return reasons.length === 0 ? [] : [{text: `${key}: ${reasons.join('; ')}`, ids: [id], atMs: endedAtMs}];
				});
			},
		},
		TWICE: {
			promise: 'a request that must run once runs at most once',
			count: seen => seen.attempts.filter(({kind}) => kind === 'once' || kind === 'stream-once').length,
			find(seen) {
				const once = new Set(seen.attempts.filter(({kind}) => kind === 'once' || kind === 'stream-once').map(({id}) => id));
				return [...groupBy(seen.arrivals.filter(({id, ranAtMs}) => ranAtMs !== undefined && once.has(id)), ({id}) => id)].filter(([, list]) => list.length > 1).map(([id, list]) => ({text: `${id} ran at ${list.map(({target}) => target).join(', ')}`, ids: [id]}));
			},
		},
		ENDED: {
			promise: 'no process ends by itself',
			count: seen => seen.faults.filter(({what}) => what === 'ready').length,
			find: seen => seen.faults.filter(({what}) => what === 'own-end').map(({subject, atMs}) => ({text: `${subject} ended by itself at ${atMs.toFixed(0)} ms`, ids: []})),
		},
	};
}
