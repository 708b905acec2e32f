/**
A caller's request and its response on the wire: the buffered body, which further tries
send again, the running tries, and what has been sent to the caller. The core makes the
decisions; an exchange only transfers bytes.
*/
import {type Buffer} from 'node:buffer';
import {once} from 'node:events';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {createProblem} from '../daemon/problem.js';
import {type ResultName} from '../core/result-codes.js';
import {OVERLOAD_CODE} from './buffer-budget.js';
import {type CallerConnection, type ClosingReason} from './caller-connection.js';
import {type Closer} from './caller-socket.js';
import {type RequestMetadata, type RawHeaders} from './deployment.js';
import {type HeldBody} from './held-body.js';

/** Headers that apply to a single connection (RFC 9110, section 7.6.1). */
const hopByHopHeaders: ReadonlySet<string> = new Set(['connection', 'keep-alive', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect']);

export type BufferedResponse = {
	readonly status: number;
	readonly headers: RawHeaders;
	readonly body: HeldBody;
};

type ExchangeMetadata = Omit<RequestMetadata, 'apiKey'>;

export type ExchangeOptions = {
	readonly id: string;
	readonly metadata: ExchangeMetadata;
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly body: Buffer;
	readonly connection?: CallerConnection;
	/** When its head was read, by the clock of the daemon. */
	readonly arrivedAtMs?: number;
	/** From then until the body was whole. */
	readonly bodyMs?: number;
	readonly problemHeaders: Readonly<Record<string, string>>;
	/** Whether the connection is closed after this response. */
	readonly closesConnection: () => boolean;
};

/**
Why the connection of a request closes before its answer is whole, where the core has not decided it.

- `caller-ended`: its caller has closed the connection, told by its reset (`closeCode`) after the end of its input; `connection-error`: the connection broke, with `closeCode`.
- `answer-unread`: the answer was decided, and the connection ended, in one of these ways, before all of it was taken.
- `answer-overload`: the memory of an answer that its caller did not take was needed.
- `exception`: an unexpected error of this process.
- `unknown`: this process closed it, and nothing tells why.
*/
export type CutReason = ClosingReason | 'caller-ended' | 'connection-error' | 'answer-unread' | 'answer-overload' | 'exception' | 'unknown';

/** What is known of a connection whose request gets no whole answer, as log lines state it. */
export type CutFacts = {
	/** Undefined while the connection is open. */
	readonly closedBy: Closer | undefined;
	readonly closeCode: string | undefined;
	readonly headSent: boolean;
	/** Bytes that were written and that the caller had not taken, and bytes that had arrived behind the request. */
	readonly unsentBytes: number | undefined;
	readonly unreadBytes: number | undefined;
	readonly bodyMs: number;
	readonly bodyBytes: number;
	readonly framing: 'length' | 'chunks' | 'none';
};

export type RefusalOptions = {
	readonly retryAfterMs?: number;
	readonly detail?: string;
};

export class Exchange {
	readonly id: string;
	readonly metadata: ExchangeMetadata;
	readonly body: Buffer;
	isFinished = false;
	/** Whether the connection is closed in place of the rest of the response. */
	isBrokenOff = false;
	/** Whether a line of the log tells how it ended without a whole answer. */
	isCutLogged = false;
	/** Whether a try of it has begun. */
	isPassedOn = false;
	/** What was sent where, and the outcomes, once the core has closed it. */
	tries: readonly string[] | undefined;
	/** Whether the whole response has been handed over to the operating system. */
	isFlushed = false;
	/** Id of the last event that the caller has received, in this response or in an earlier one that it resumes. */
	lastEventId: number;
	/** Number of events of this response that were passed to the caller. */
	delivered = 0;
	/** Number of tries that a target has answered. */
	soundTries = 0;
	/** Media type of the stream that was begun. */
	mediaType: string | undefined;
	/** Last complete response of a target, kept until the core delivers it. */
	private _bufferedResponse: BufferedResponse | undefined;
	readonly arrivedAtMs: number;
	private _hasFailed = false;
	private _isRefused = false;
	private readonly _connection: CallerConnection | undefined;
	private readonly _bodyMs: number;
	private readonly _request: IncomingMessage;
	private readonly _response: ServerResponse;
	private readonly _problemHeaders: Readonly<Record<string, string>>;
	private readonly _closesConnection: () => boolean;
	private readonly _abortControllers = new Map<number, AbortController>();

	constructor(options: ExchangeOptions) {
		this.id = options.id;
		this.metadata = options.metadata;
		this.body = options.body;
		this.lastEventId = options.metadata.lastEventId;
		this.arrivedAtMs = options.arrivedAtMs ?? 0;
		this._connection = options.connection;
		this._bodyMs = options.bodyMs ?? 0;
		this._request = options.request;
		this._response = options.response;
		this._problemHeaders = options.problemHeaders;
		this._closesConnection = options.closesConnection;
		this._response.once('finish', () => {
			// Also emitted for a response whose connection was closed before it was written.
			this.isFlushed = !this._request.socket.destroyed;
		});
		this._response.once('close', () => {
			this._bufferedResponse?.body.release();
		});
	}

	get method(): string {
		return this._request.method ?? 'GET';
	}

	/** Path and query, byte for byte as received. */
	get path(): string {
		return this._request.url ?? '/';
	}

	get headers(): RawHeaders {
		return this._request.rawHeaders;
	}

	get headersSent(): boolean {
		return this._response.headersSent;
	}

	/** Whether the caller got, or gets, a whole answer, as far as this process knows. */
	get isWhole(): boolean {
		return this.isFinished && this.isFlushed && !this.isBrokenOff;
	}

	/** Whether the head of a target's answer was sent. */
	get hasBegun(): boolean {
		return this.headersSent && !this._isRefused;
	}

	/** Why its connection was closed, or is being closed. */
	get cutReason(): CutReason {
		const {closingReason, socket} = this._connection ?? {};
		if (this._hasFailed) {
			return 'exception';
		}

		if (closingReason !== undefined && socket?.closedBy !== 'caller') {
			return closingReason;
		}

		if (socket?.errorCode === OVERLOAD_CODE) {
			return OVERLOAD_CODE;
		}

		if (this.isFinished) {
			return 'answer-unread';
		}

		return this._leaving ?? 'unknown';
	}

	get cutFacts(): CutFacts {
		const socket = this._connection?.socket;
		return {
			closedBy: socket?.closedBy ?? (this._leaving ? 'caller' : (this.isBrokenOff ? 'instance' : undefined)),
			closeCode: socket?.errorCode === '' ? undefined : socket?.errorCode,
			headSent: this.hasBegun,
			unsentBytes: socket?.unsentBytes,
			unreadBytes: socket?.unreadBytes,
			bodyMs: Math.round(this._bodyMs),
			bodyBytes: this.body.length,
			framing: this._request.headers['transfer-encoding'] === undefined ? (this._request.headers['content-length'] === undefined ? 'none' : 'length') : 'chunks',
		};
	}

	private get _leaving(): 'connection-error' | 'caller-ended' | undefined {
		const socket = this._connection?.socket;
		if (socket?.closedBy !== 'caller') {
			return undefined;
		}

		return socket.errorCode !== '' && !socket.hasInputEnded ? 'connection-error' : 'caller-ended';
	}

	beginTry(tryNumber: number): AbortSignal {
		this.isPassedOn = true;
		const abort = new AbortController();
		this._abortControllers.set(tryNumber, abort);
		return abort.signal;
	}

	endTry(tryNumber: number): void {
		this._abortControllers.delete(tryNumber);
	}

	cancelTry(tryNumber: number): void {
		this._abortControllers.get(tryNumber)?.abort();
		this._abortControllers.delete(tryNumber);
	}

	/** The answer comes from this try, and no other one may add to it. Returns whether others were under way. */
	claim(tryNumber: number): boolean {
		const others = [...this._abortControllers.keys()].filter(number => number !== tryNumber);
		for (const other of others) {
			this.cancelTry(other);
		}

		return others.length > 0;
	}

	cancelAllTries(): void {
		for (const tryNumber of this._abortControllers.keys()) {
			this.cancelTry(tryNumber);
		}
	}

	beginStream(status: number, headers: RawHeaders): void {
		this.mediaType = mediaTypeOf(headers);
		this._writeHead(status, headers, undefined);
	}

	/** Writes bytes to the caller. Returns whether the buffer is full. */
	write(bytes: Buffer): boolean {
		return !this._response.write(bytes);
	}

	/** Resolves once the caller has read what fills the buffer. Rejects when `signal` aborts the wait. */
	async drained(signal: AbortSignal): Promise<void> {
		await once(this._response, 'drain', {signal});
	}

	/** Takes a complete response over until `deliver`. */
	keep(response: BufferedResponse): void {
		this._bufferedResponse?.body.release();
		this._bufferedResponse = response;
		if (this._response.destroyed) {
			response.body.release();
		}
	}

	/** Sends the buffered response, or ends a stream that is complete. Without either, the target's answer is replaced by 502. */
	deliver(): void {
		this.isFinished = true;
		if (this._bufferedResponse && !this._bufferedResponse.body.isReleased && !this.headersSent) {
			const {status, headers, body} = this._bufferedResponse;
			this._writeHead(status, headers, body.length);
			body.sendTo(this._response);
			return;
		}

		if (!this.headersSent) {
			this.refuse('target-failed', {detail: 'the answer of the target cannot be passed on'});
			return;
		}

		this._response.end();
	}

	refuse(code: ResultName, {retryAfterMs, detail}: RefusalOptions = {}): void {
		this.isFinished = true;
		if (this._response.destroyed) {
			return;
		}

		const problem = createProblem(code, {requestId: this.id, detail});
		const headers: Record<string, string> = {...problem.headers, ...this._problemHeaders};
		if (retryAfterMs !== undefined) {
			headers['retry-after'] = (Math.ceil(retryAfterMs / RETRY_AFTER_STEP_MS) * RETRY_AFTER_STEP_MS / 1000).toFixed(1);
		}

		if (this._closesConnection()) {
			headers.connection = 'close';
		}

		this._response.writeHead(problem.status, headers);
		this._isRefused = true;
		this._response.end(problem.body);
	}

	/** Ends the response after an unexpected error: with 502, which states nothing about the execution, or by closing the connection. */
	fail(): void {
		this._hasFailed = true;
		this.cancelAllTries();
		if (!this._response.headersSent) {
			try {
				this.refuse('target-failed', {detail: 'an unexpected error'});
				return;
			} catch {
				// Not even this can be written.
			}
		}

		this.abortResponse();
	}

	/** Destroys the connection of a response that has begun, so that the caller cannot take it for complete. */
	abortResponse(): void {
		this.isFinished = true;
		this.isBrokenOff = true;
		this._response.destroy();
	}

	private _writeHead(status: number, headers: RawHeaders, length: number | undefined): void {
		const kept = withoutHopByHopHeaders(headers, length === undefined ? [] : ['content-length']);
		if (length !== undefined) {
			kept.push('Content-Length', String(length));
		}

		if (this._closesConnection()) {
			kept.push('Connection', 'close');
		}

		this._response.writeHead(status, kept);
	}
}

/** Callers accept fractions of a second; a finer step would exceed the precision of the estimate. */
const RETRY_AFTER_STEP_MS = 100;

/** Removes the hop-by-hop headers, the headers that `Connection` names, and `additionalNames` (in lower case). */
export function withoutHopByHopHeaders(headers: RawHeaders, additionalNames: readonly string[] = []): string[] {
	const dropped = new Set([...hopByHopHeaders, ...additionalNames]);
	for (let index = 0; index < headers.length; index += 2) {
		if (headers[index]!.toLowerCase() === 'connection') {
			for (const name of headers[index + 1]!.split(',')) {
				dropped.add(name.trim().toLowerCase());
			}
		}
	}

	const kept: string[] = [];
	for (let index = 0; index < headers.length; index += 2) {
		if (!dropped.has(headers[index]!.toLowerCase())) {
			kept.push(headers[index]!, headers[index + 1]!);
		}
	}

	return kept;
}

/** Media type of a message without its parameters, in lower case. */
export function mediaTypeOf(headers: RawHeaders): string | undefined {
	const index = headers.findIndex((name, position) => position % 2 === 0 && name.toLowerCase() === 'content-type');
	return index === -1 ? undefined : headers[index + 1]!.split(';', 1)[0]?.trim().toLowerCase();
}
