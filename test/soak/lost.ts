/**
What counts as lost: a request that was read whole and whose connection ends without a
complete answer around planned work, either once it has been passed on or some time after
its last byte. Its time counts from that byte, the latest moment from which it can count.
*/
import {
	type Arrival, type Attempt, type FaultRecord, groupBy, type SentVersion, type SoakRecord,
} from './record.js';

export type LostOptions = {
	/** Time limit of attempts that state none. */
	readonly deadlineMs: number;
	readonly versions?: readonly SentVersion[];
};

export type LostRequest = {
	readonly attempt: Attempt;
	readonly arrivals: readonly Arrival[];
	/** Planned work around which it was lost; empty if there was none. */
	readonly around: string;
	readonly isPassedOn: boolean;
	readonly usedMs: number;
	readonly limitMs: number;
	/** Whether it is lost as well if its time counts from its head. */
	readonly isLostFromHead: boolean;
};

type Seen = Pick<SoakRecord, 'attempts' | 'arrivals' | 'faults'>;
type Span = {readonly fromMs: number; readonly toMs: number};

const CONTACT_MS = 3000;
const GRACE_MS = 8000;
const AFTER_GRACE_MS = 1000;
const LOSS_SLACK_MS = 200;
const CONFIG_APPLY_MS = 2000;
/** A request that was sent this long after a stop may still be at work in the last sixth of the grace period. */
const SENT_AFTER_STOP_MS = 3000;
const LAST_SIXTH_MS = GRACE_MS * 5 / 6;
/** Timers fire up to a millisecond early. */
const TIMER_SLACK_MS = 2;

/** Unplanned impairments, and what ends those that last. The start that follows a planned stop ends none. */
const impairments: ReadonlySet<FaultRecord['what']> = new Set(['kill', 'freeze', 'reset']);
const recoveries: ReadonlySet<FaultRecord['what']> = new Set(['start', 'thaw']);

function impairedSpans(faults: readonly FaultRecord[]): Map<string, Span[]> {
	return new Map([...groupBy(faults, ({subject}) => subject)].map(([subject, list]) => [subject, list.flatMap(({what, atMs}, index): Span[] => impairments.has(what)
		? [{fromMs: atMs, toMs: what === 'reset' ? atMs : list.slice(index).find(fault => recoveries.has(fault.what))?.atMs ?? Number.POSITIVE_INFINITY}]
		: [])]));
}

/** The least time that the request has by its own limit and by the time-outs that may be in force. */
function limitOf({deadlineMs: own, route, sentAtMs, endedAtMs}: Attempt, {deadlineMs, versions = []}: LostOptions): number {
	const inForce = versions.filter(({atMs}, index) => atMs <= endedAtMs && (versions[index + 1]?.atMs ?? Number.POSITIVE_INFINITY) + CONFIG_APPLY_MS >= sentAtMs);
	return Math.min(own ?? deadlineMs, ...inForce.map(({timeouts}) => timeouts[route ?? ''] ?? Number.POSITIVE_INFINITY));
}

function workAround(faults: readonly FaultRecord[], {instance, sentAtMs, endedAtMs}: Attempt): {text: string; stopAtMs: number | undefined} {
	const stop = faults.findLast(({subject, what, atMs}) => subject === instance && what === 'stop' && atMs <= endedAtMs && endedAtMs <= atMs + GRACE_MS + AFTER_GRACE_MS);
	const hangUp = faults.findLast(({subject, what, atMs}) => subject === instance && what === 'hang-up' && atMs <= endedAtMs && sentAtMs <= atMs + CONFIG_APPLY_MS);
	return {
		stopAtMs: stop?.atMs,
		text: stop ? `ended ${(endedAtMs - stop.atMs).toFixed(0)} ms after SIGTERM, sent ${(sentAtMs - stop.atMs).toFixed(0)} ms after it` : (hangUp ? `ended ${(endedAtMs - hangUp.atMs).toFixed(0)} ms after SIGHUP` : ''),
	};
}

function wasAtWorkAtTheEnd({ranAtMs, atMs, cutAtMs, doneAtMs}: Arrival, stopAtMs: number): boolean {
	const toMs = Math.min(cutAtMs ?? Number.POSITIVE_INFINITY, doneAtMs ?? Number.POSITIVE_INFINITY);
	return (ranAtMs ?? atMs) <= stopAtMs + GRACE_MS && toMs >= stopAtMs + LAST_SIXTH_MS;
}

/** Requests that ended with their connection and that nothing excuses, around planned work or at other times. */
export function findLost({attempts, arrivals, faults}: Seen, options: LostOptions): LostRequest[] {
	const arrivalsByKey = groupBy(arrivals, ({key}) => key);
	const spans = impairedSpans(faults);
	return attempts.filter(({isWhole, hasLeft, endedAtMs}) => !isWhole && !hasLeft && Number.isFinite(endedAtMs)).flatMap((attempt): LostRequest[] => {
		const {key, instance, sentAtMs, lastByteAtMs, endedAtMs, error} = attempt;
		const reached = arrivalsByKey.get(key) ?? [];
		const isPassedOn = reached.length > 0;
		const isWholeRequest = lastByteAtMs !== undefined || !('lastByteAtMs' in attempt);
		const usedMs = endedAtMs - (lastByteAtMs ?? sentAtMs);
		const limitMs = limitOf(attempt, options);
		const {text, stopAtMs} = workAround(faults, attempt);
		const isLate = text !== '' && isWholeRequest && usedMs > LOSS_SLACK_MS && error !== 'ECONNREFUSED';
		const isImpaired = [instance, ...reached.map(({target}) => target)].some(subject => (spans.get(subject) ?? []).some(({fromMs, toMs}) => fromMs <= endedAtMs && toMs >= sentAtMs - CONTACT_MS));
		const isExcused = isImpaired
			|| usedMs >= limitMs - TIMER_SLACK_MS
			|| reached.some(({isBrokenOff}) => isBrokenOff)
			|| (stopAtMs !== undefined && sentAtMs <= stopAtMs + SENT_AFTER_STOP_MS && reached.some(arrival => wasAtWorkAtTheEnd(arrival, stopAtMs)));
		return isExcused || !(isPassedOn || isLate)
			? []
			: [{
				attempt, arrivals: reached, around: text, isPassedOn, usedMs, limitMs, isLostFromHead: endedAtMs - sentAtMs < limitMs - TIMER_SLACK_MS,
			}];
	});
}

export function describeLost({attempt, arrivals, around, isPassedOn, usedMs, limitMs, isLostFromHead}: LostRequest): string {
	const {key, instance, route, kind, sentAtMs, endedAtMs, error, isKeptConnection, note} = attempt;
	return `${key} (${route ?? kind}${note ? `, ${note}` : ''}) at ${instance}: sent at ${sentAtMs.toFixed(0)} ms over a ${isKeptConnection ? 'kept' : 'new'} connection, ended at ${endedAtMs.toFixed(0)} ms (${error || 'broken off'}), ${usedMs.toFixed(0)} of ${limitMs.toFixed(0)} ms after its last byte${isLostFromHead ? '' : ' (not lost if its time counts from its head)'}; ${around || 'no planned work'}; ${isPassedOn ? `passed on to ${arrivals.map(({target}) => target).join(', ')}` : 'not passed on'}`;
}
