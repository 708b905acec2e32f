/**
What callers and targets saw in a soak, and the faults that it was put through. Judges
read nothing else.
*/
import {type IncomingMessage} from 'node:http';
import {type Lateness} from './lateness.js';

/** How often a request may run, and whether its answer is a stream. */
export type RequestKind = 'once' | 'repeatable' | 'stream-once' | 'stream-resumable';

/** One attempt of a caller, from its first byte to the end of its answer or connection. */
export type Attempt = {
	/** Repeated by targets; an id may come again after a refusal, an attempt never. */
	readonly key: string;
	readonly id: string;
	readonly kind: RequestKind;
	readonly caller: string;
	readonly instance: string;
	readonly isKeptConnection: boolean;
	readonly sentAtMs: number;
	endedAtMs: number;
	/** Undefined without the head of an answer. */
	status: number | undefined;
	isWhole: boolean;
	/** Error code of the connection; empty if there was none. */
	error: string;
	/** Id of the request that the answer names. */
	answeredId: string | undefined;
	signature: string | undefined;
	/** What is wrong with the content of a success; empty if it is sound. */
	mismatch: string;
	/** The caller closed its connection before the answer was whole. */
	hasLeft: boolean;
	/** When the last byte of the request was written; absent where requests are sent at once. */
	lastByteAtMs?: number | undefined;
	/** Name of its route, and the time limit that it stated, where these differ. */
	readonly route?: string;
	readonly deadlineMs?: number;
	/** How it was sent and why its caller left, for the report. */
	note?: string;
};

/** A request that reached a target. */
export type Arrival = {
	readonly key: string;
	readonly id: string;
	readonly target: string;
	/** Number of the target's connection. */
	readonly connection: number;
	readonly atMs: number;
	/** When the target began to run it. */
	ranAtMs: number | undefined;
	/** Status of the target's answer, once it has been written. */
	status: number | undefined;
	/** The target closed the connection in place of the rest of its answer. */
	isBrokenOff: boolean;
	/** When the connection was closed by either side before the target had written its answer; undefined if it was not. */
	cutAtMs: number | undefined;
	/** When the target had written its whole answer. */
	doneAtMs?: number | undefined;
};

/** An answer that a target wrote once more. */
export type Copy = {
	readonly atMs: number;
	readonly target: string;
	readonly connection: number;
	readonly id: string;
	/** Attempt that was under way on the connection. */
	readonly aheadOf: string | undefined;
};

/** A fault, or an event that follows from one. */
export type FaultRecord = {
	readonly atMs: number;
	/** Name of the instance or target, or `store`. */
	readonly subject: string;
	readonly what: 'kill' | 'stop' | 'grace-end' | 'exit' | 'freeze' | 'thaw' | 'pause' | 'go-on' | 'fail' | 'serve' | 'start' | 'ready' | 'refuse' | 'accept' | 'reset' | 'leave' | 'hang-up' | 'change' | 'silent' | 'busy' | 'sound' | 'own-end';
};

/** When a version of the configuration was sent, and the time-outs of its routes by their name. */
export type SentVersion = {readonly atMs: number; readonly timeouts: Readonly<Record<string, number>>};

export class SoakRecord {
	readonly attempts: Attempt[] = [];
	readonly arrivals: Arrival[] = [];
	readonly copies: Copy[] = [];
	readonly faults: FaultRecord[] = [];
	/** Versions of the configuration that have other time-outs. */
	readonly versions: SentVersion[] = [];
	/** When all machines were back after the last kill of the whole fleet, and when that kill was. */
	fleetKill: {readonly killedAtMs: number; backAtMs: number} | undefined;
	/** How late the soak's own process was: it is targets and store, and callers where these have no process. */
	readonly lateness: Lateness[] = [];
	private readonly _startMs = performance.now();
	/** Time of day at the start by the steady clock, which other processes of the soak go by. */
	readonly epochMs = performance.timeOrigin + this._startMs;
	/** Time of day at the start, to compare with the log lines of instances. */
	readonly startedAt = Date.now();

	nowMs(): number {
		return performance.now() - this._startMs;
	}

	noteFault(subject: string, what: FaultRecord['what']): void {
		this.faults.push({atMs: this.nowMs(), subject, what});
	}
}

function headerOf({headers}: IncomingMessage, name: string): string | undefined {
	const value = headers[name];
	return Array.isArray(value) ? value[0] : value;
}

/** Notes the head of an answer; returns after how many milliseconds it wants its caller to come back. */
export function noteHead(attempt: Attempt, response: IncomingMessage): number {
	attempt.status = response.statusCode;
	attempt.answeredId = headerOf(response, 'x-pollenarch-request-id');
	attempt.signature = headerOf(response, 'x-pollenarch-server-signature');
	return Number(response.headers['retry-after'] ?? 0) * 1000;
}

export function groupBy<Item>(items: readonly Item[], keyOf: (item: Item) => string): Map<string, Item[]> {
	const groups = new Map<string, Item[]>();
	for (const item of items) {
		const key = keyOf(item);
		groups.set(key, [...groups.get(key) ?? [], item]);
	}

	return groups;
}
