/**
One HTTP exchange with a caller: the request, the tries in progress, and what was sent
to the caller. It only transports data; the core makes the decisions.
*/
import {type Buffer} from 'node:buffer';
import {once} from 'node:events';
import {type ServerResponse} from 'node:http';
import {type RecordedAnswer} from '../core/request/types.js';
import {type ExecutionStatus, type ResultName} from '../core/result-codes.js';
import {type ForwardedRequest, type BufferedResponse} from './gateways/types.js';
import {createProblem, type Problem} from './problem.js';

/** Minimum interval at which progress of a stream is reported to the core. */
const PROGRESS_INTERVAL_MS = 500;

export type Reply = {
	/** The underlying response, for streaming. */
	readonly raw: ServerResponse;
	/** Sends a complete response. */
	send(status: number, headers: Readonly<Record<string, string>>, body: Buffer | string): void;
	/** Takes the response away from the HTTP framework, before `raw` is written to. */
	hijack(): void;
};

export type CallerExchangeOptions = {
	readonly id: string;
	readonly request: ForwardedRequest;
	readonly reply: Reply;
	/** Whether the response is recorded for the request's idempotency key, so that it must be known completely. */
	readonly recordsResponse: boolean;
};

export class CallerExchange {
	readonly id: string;
	readonly request: ForwardedRequest;
	readonly recordsResponse: boolean;
	/** Whether the caller has its final response or has left. */
	isFinished = false;
	private readonly _reply: Reply;
	private readonly _abortControllers = new Map<number, AbortController>();
	private readonly _forwardedEvents: string[] = [];
	private _currentTry = 0;
	private _delivered = 0;
	private _isStreaming = false;
	private _progressReportedAtMs = Number.NEGATIVE_INFINITY;
	private _bufferedResponse: BufferedResponse | undefined;

	constructor({id, request, reply, recordsResponse}: CallerExchangeOptions) {
		this.id = id;
		this.request = request;
		this.recordsResponse = recordsResponse;
		this._reply = reply;
	}

	/** How much of the response was sent to the caller: events of an event stream, otherwise bytes. */
	get delivered(): number {
		return this._delivered;
	}

	get isStreaming(): boolean {
		return this._isStreaming;
	}

	beginTry(tryNumber: number): AbortSignal {
		this._currentTry = tryNumber;
		this._bufferedResponse = undefined;
		const abortController = new AbortController();
		this._abortControllers.set(tryNumber, abortController);
		return abortController.signal;
	}

	/** Whether a try is still in progress. Late data of other tries has to be dropped. */
	isCurrentTry(tryNumber: number): boolean {
		return tryNumber === this._currentTry && this._abortControllers.has(tryNumber);
	}

	cancelTry(tryNumber: number): void {
		this._abortControllers.get(tryNumber)?.abort();
		this._abortControllers.delete(tryNumber);
	}

	cancelAllTries(): void {
		for (const tryNumber of this._abortControllers.keys()) {
			this.cancelTry(tryNumber);
		}
	}

	endTry(tryNumber: number): void {
		this._abortControllers.delete(tryNumber);
	}

	/** Sends stream events to the caller. Returns a promise that resolves on drain if the write buffer is full, otherwise undefined. */
	forwardEvents(data: readonly string[]): Promise<void> | undefined {
		this._beginStream(200, 'text/event-stream; charset=utf-8');
		this._delivered += data.length;
		this._forwardedEvents.push(...data);
		// One write for all events of a chunk instead of one per event.
		return this._write(data.map(event => `data: ${event}\n\n`).join(''));
	}

	/** Sends a chunk of the body to the caller. Returns a promise under the same condition as `forwardEvents`. */
	forwardBytes(status: number, contentType: string, chunk: Buffer): Promise<void> | undefined {
		this._beginStream(status, contentType);
		this._delivered += chunk.length;
		return this._write(chunk);
	}

	/** Whether progress should be reported to the core now. If so, the next interval starts. */
	isProgressDue(nowMs: number): boolean {
		const isDue = nowMs - this._progressReportedAtMs >= PROGRESS_INTERVAL_MS;
		if (isDue) {
			this._progressReportedAtMs = nowMs;
		}

		return isDue;
	}

	/** Text of the response that the caller has received, read from the stream's events. */
	deliveredText(): string {
		return this._forwardedEvents.map(event => parseEventText(event)).join('');
	}

	/** Keeps a complete response until `deliver`. */
	bufferResponse(response: BufferedResponse | undefined): void {
		this._bufferedResponse = response;
	}

	/** Sends the buffered response, or ends the stream with its terminator. */
	deliver(): void {
		if (this.isFinished) {
			return;
		}

		this.isFinished = true;
		if (this._isStreaming) {
			this._reply.raw.end(this.request.stream ? 'data: [DONE]\n\n' : undefined);
		} else if (this._bufferedResponse) {
			this._reply.send(this._bufferedResponse.status, {'content-type': this._bufferedResponse.contentType}, this._bufferedResponse.body);
		} else if (this.request.stream) {
			this._beginStream(200, 'text/event-stream; charset=utf-8');
			this._reply.raw.end('data: [DONE]\n\n');
		}
	}

	/** Sends the recorded answer of an earlier request with the same idempotency key. */
	replay(answer: RecordedAnswer, body: Buffer): void {
		if (!this.isFinished) {
			this.isFinished = true;
			this._reply.send(answer.status, {'content-type': answer.contentType, 'idempotency-replayed': 'true'}, body);
		}
	}

	/** Sends a problem document. A stream that has begun ends with an error event, or, if it is no event stream, with a closed connection. */
	refuse(code: ResultName, options: {ran: ExecutionStatus; retryAfterMs?: number; detail?: string}): void {
		if (this.isFinished) {
			return;
		}

		this.isFinished = true;
		const problem = createProblem(code, {requestId: this.id, ...options});
		if (!this._isStreaming) {
			this._reply.send(problem.status, problem.headers, problem.body);
		} else if (this.request.stream) {
			this._reply.raw.end(formatErrorEvent(problem));
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

	/** Applies backpressure: a slow caller delays reading from the target, so that nothing piles up in memory. */
	private _write(chunk: Buffer | string): Promise<void> | undefined {
		const {raw} = this._reply;
		return raw.destroyed || raw.write(chunk) ? undefined : waitForDrain(raw);
	}
}

async function waitForDrain(raw: ServerResponse): Promise<void> {
	const cleanup = new AbortController();
	const {signal} = cleanup;
	try {
		await Promise.race([once(raw, 'drain', {signal}), once(raw, 'close', {signal})]);
	} catch {
		// The response failed; its `close` event is handled by the listener.
	} finally {
		cleanup.abort();
	}
}

function formatErrorEvent(problem: Problem): string {
	return `event: error\ndata: ${problem.body}\n\n`;
}

type StreamChunk = {
	choices?: Array<{delta?: {content?: string}; text?: string}>;
};

function parseEventText(event: string): string {
	const {choices} = JSON.parse(event) as StreamChunk;
	const first = choices?.[0];
	return first?.delta?.content ?? first?.text ?? '';
}
