/**
One caller's request inside the daemon: its body, the tries that are out, and what
reached the caller. The core decides; a call only carries bytes.
*/
import {type Buffer} from 'node:buffer';
import {once} from 'node:events';
import {type ServerResponse} from 'node:http';
import {type RecordedAnswer} from '../core/request/types.js';
import {type ExecutionStatus, type ResultName} from '../core/result-codes.js';
import {type Work, type WholeAnswer} from './gateways/types.js';
import {createProblem, type Problem} from './problem.js';

/** Time between two reports of a stream's progress to the core. */
const PROGRESS_INTERVAL_MS = 500;

export type Reply = {
	/** The response, for answers that are passed on as they come. */
	readonly raw: ServerResponse;
	/** Sends a whole answer. */
	send(status: number, headers: Readonly<Record<string, string>>, body: Buffer | string): void;
	/** Takes the response over for streaming. */
	hijack(): void;
};

export type CallerExchangeOptions = {
	readonly id: string;
	readonly work: Work;
	readonly reply: Reply;
	/** Whether the answer is recorded, so that it must be known whole. */
	readonly records: boolean;
};

export class CallerExchange {
	readonly id: string;
	readonly work: Work;
	readonly records: boolean;
	isFinished = false;
	private readonly _reply: Reply;
	private readonly _aborts = new Map<number, AbortController>();
	private readonly _events: string[] = [];
	private _currentTry = 0;
	private _delivered = 0;
	private _isStreaming = false;
	private _progressAtMs = Number.NEGATIVE_INFINITY;
	private _held: WholeAnswer | undefined;

	constructor({id, work, reply, records}: CallerExchangeOptions) {
		this.id = id;
		this.work = work;
		this.records = records;
		this._reply = reply;
	}

	/** Units of the answer that were passed on to the caller. */
	get delivered(): number {
		return this._delivered;
	}

	get isStreaming(): boolean {
		return this._isStreaming;
	}

	beginTry(tryNumber: number): AbortSignal {
		this._currentTry = tryNumber;
		this._held = undefined;
		const abort = new AbortController();
		this._aborts.set(tryNumber, abort);
		return abort.signal;
	}

	/** Late pieces of a try that was given up are dropped by its number. */
	isCurrent(tryNumber: number): boolean {
		return tryNumber === this._currentTry && this._aborts.has(tryNumber);
	}

	cancelTry(tryNumber: number): void {
		this._aborts.get(tryNumber)?.abort();
		this._aborts.delete(tryNumber);
	}

	cancelAll(): void {
		for (const tryNumber of this._aborts.keys()) {
			this.cancelTry(tryNumber);
		}
	}

	endTry(tryNumber: number): void {
		this._aborts.delete(tryNumber);
	}

	/** Passes stream events on. Returns a promise only if the caller must first take in what was written. */
	passEvents(data: readonly string[]): Promise<void> | undefined {
		this._beginStream(200, 'text/event-stream; charset=utf-8');
		this._delivered += data.length;
		this._events.push(...data);
		// One write for all events of a chunk.
		return this._write(data.map(event => `data: ${event}\n\n`).join(''));
	}

	passBytes(status: number, contentType: string, chunk: Buffer): Promise<void> | undefined {
		this._beginStream(status, contentType);
		this._delivered += chunk.length;
		return this._write(chunk);
	}

	/** Whether the core should hear of progress now. */
	isProgressDue(nowMs: number): boolean {
		const isDue = nowMs - this._progressAtMs >= PROGRESS_INTERVAL_MS;
		if (isDue) {
			this._progressAtMs = nowMs;
		}

		return isDue;
	}

	/** Text of the answer that the caller has, read from the stream's events. */
	deliveredText(): string {
		return this._events.map(event => eventText(event)).join('');
	}

	hold(answer: WholeAnswer | undefined): void {
		this._held = answer;
	}

	/** Gives the caller the held answer, or ends the stream properly. */
	deliver(): void {
		if (this.isFinished) {
			return;
		}

		this.isFinished = true;
		if (this._isStreaming) {
			this._reply.raw.end(this.work.stream ? 'data: [DONE]\n\n' : undefined);
		} else if (this._held) {
			this._reply.send(this._held.status, {'content-type': this._held.contentType}, this._held.body);
		} else if (this.work.stream) {
			this._beginStream(200, 'text/event-stream; charset=utf-8');
			this._reply.raw.end('data: [DONE]\n\n');
		}
	}

	replay(answer: RecordedAnswer, body: Buffer): void {
		if (!this.isFinished) {
			this.isFinished = true;
			this._reply.send(answer.status, {'content-type': answer.contentType, 'idempotency-replayed': 'true'}, body);
		}
	}

	/** Gives the caller a problem. A stream that has begun ends with an error event, or broken where it has no events. */
	refuse(code: ResultName, options: {ran: ExecutionStatus; retryAfterMs?: number; detail?: string}): void {
		if (this.isFinished) {
			return;
		}

		this.isFinished = true;
		const problem = createProblem(code, {requestId: this.id, ...options});
		if (!this._isStreaming) {
			this._reply.send(problem.status, problem.headers, problem.body);
		} else if (this.work.stream) {
			this._reply.raw.end(errorEvent(problem));
		} else {
			this._reply.raw.destroy();
		}
	}

	private _beginStream(status: number, contentType: string): void {
		if (this._isStreaming) {
			return;
		}

		this._isStreaming = true;
		this._reply.hijack();
		this._reply.raw.writeHead(status, {
			'content-type': contentType,
			'cache-control': 'no-store',
			'x-request-id': this.id,
		});
	}

	/** A caller that reads slowly holds the target back instead of filling memory. */
	private _write(chunk: Buffer | string): Promise<void> | undefined {
		const {raw} = this._reply;
		return raw.destroyed || raw.write(chunk) ? undefined : drained(raw);
	}
}

async function drained(raw: ServerResponse): Promise<void> {
	const settled = new AbortController();
	const {signal} = settled;
	try {
		await Promise.race([once(raw, 'drain', {signal}), once(raw, 'close', {signal})]);
	} catch {
		// The response failed, which its close event reports.
	} finally {
		settled.abort();
	}
}

function errorEvent(problem: Problem): string {
	return `event: error\ndata: ${problem.body}\n\n`;
}

type StreamChunk = {
	choices?: Array<{delta?: {content?: string}; text?: string}>;
};

function eventText(event: string): string {
	const {choices} = JSON.parse(event) as StreamChunk;
	const first = choices?.[0];
	return first?.delta?.content ?? first?.text ?? '';
}
