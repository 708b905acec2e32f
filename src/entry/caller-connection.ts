/**
A connection of a caller: the requests on it whose responses are not flushed, whether more
has been received than these, and the memory that all of it takes. Its requests are served
one after the other; while one is served, no further input is parsed. When the input ends,
the caller may have left or may wait for its answers: a caller that has left resets the
connection when something is written to it.
*/
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {setImmediate} from 'node:timers/promises';
import {type CallerMemory, type MemoryAccount} from './caller-memory.js';
import {CallerSocket, LINGER_MS} from './caller-socket.js';
import {type IncomingBody} from './incoming-body.js';

/** Callers send as soon as their connection is open. */
const FIRST_REQUEST_MS = 250;
/** Memory of a request beside its body: its headers, and the objects that serve it. */
const REQUEST_BYTES = 8 * 1024;

/** Framing that a body may bring along, beside as much as its content: chunks of five bytes and more never reach it. */
const FRAMING_BYTES_MAX = 64 * 1024;

/** Within this time after the end of the input, the reset of a caller that has left arrives. */
const RESET_MS = 200;
/** Time after which the reset of a caller nearby is looked for. */
const NEAR_RESET_MS = 2;
/** Interval at which a connection whose input has ended is looked at for a reset. */
const PROBE_INTERVAL_MS = 50;
/** Times from the end of the input at which an answer without bytes is preceded by an interim one. Some clients accept no more than five. */
const INTERIM_MS: readonly number[] = [0, RESET_MS, 1200, 3200];

/** Why this process closes a connection on which something may be under way. */
export type ClosingReason = 'input-overload' | 'input-invalid' | 'idle' | 'stopping' | 'process-stopped';

/** The last response of a connection that was handed over whole. */
export type LastAnswer = ServedRequest & {
	readonly atMs: number;
};

/** What names a request that is served, once its headers have been read. */
export type ServedRequest = {
	readonly requestId: string;
	readonly deadlineMs: number | undefined;
};

/** A request whose response is not flushed yet. */
type OpenRequest = {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	/** Input that had been parsed when the head was complete. */
	readonly parsedBytes: number;
	/** While it arrives. */
	body: IncomingBody | undefined;
	/** Length of the body that is kept for its targets. */
	keptBytes: number;
	/** Whether it is being served. Until then, input after it may still show that it is not valid. */
	isPassedOn: boolean;
};

export type CallerConnectionOptions = {
	readonly memory: CallerMemory;
	/** Connections whose bodies arrive in chunks so small that parsing them takes most of the time. */
	readonly fragmented: Set<CallerConnection>;
	readonly maxFragmented: number;
	/** Called before the connection is closed for others although something is under way on it. */
	readonly onGivenUp: (connection: CallerConnection) => void;
};

export class CallerConnection {
	readonly socket: CallerSocket;
	/** Requests whose heads have been read. */
	requests = 0;
	/** Set before this process closes the connection. */
	closingReason: ClosingReason | undefined;
	/** Of a request that was served. */
	lastAnswer: LastAnswer | undefined;
	/** The request that is being served. */
	served: ServedRequest | undefined;
	/** In the order of their responses. */
	private _open: OpenRequest[] = [];
	/** Bytes that had been parsed when the last response was flushed; more that were received mean that another request has begun. */
	private _answeredBytes = 0;
	private readonly _acceptedAtMs = performance.now();
	private _inputEndedAtMs = Number.POSITIVE_INFINITY;
	/** When the last response was handed over. */
	private _answeredAtMs = Number.NEGATIVE_INFINITY;
	private _interims = 0;
	private _probeTimer: NodeJS.Timeout | undefined;
	private readonly _account: MemoryAccount;

	constructor(socket: Socket, private readonly _options: CallerConnectionOptions) {
		this.socket = new CallerSocket(socket, {
			isHeld: () => this._isHeld,
			onYield: () => {
				this._limitFragmented();
			},
			onChange: () => {
				this._account.resize(this._heldBytes);
			},
			onEnd: () => {
				this._inputEndedAtMs = performance.now();
				this._probe();
			},
		});
		this._account = _options.memory.open(this);
		this.socket.once('close', () => {
			clearTimeout(this._probeTimer);
			_options.memory.close(this._account);
		});
	}

	/** Requests whose responses are not flushed yet. */
	get open(): number {
		return this._open.length;
	}

	/** Whether nothing is under way, as far as this process has read. */
	get isIdle(): boolean {
		return this.open === 0 && (this.socket.isClosing || this.socket.bytesRead === this._answeredBytes);
	}

	/** Bytes of a request whose head is not complete. */
	get unansweredBytes(): number {
		return this.open === 0 && !this.socket.isClosing ? this.socket.bytesRead - this._answeredBytes : 0;
	}

	/** When the last answer counts as delivered, unless the caller shows before, by closing its side, that it has taken it. */
	get deliveredByMs(): number {
		return this._answeredAtMs + LINGER_MS;
	}

	/** Whether the caller had closed its sending side before its last answer, and so cannot show that it has taken it. */
	get isDeliveryUnshown(): boolean {
		return this.socket.errorCode === '' && this._inputEndedAtMs <= this._answeredAtMs;
	}

	/** Whether its caller may be about to send its first request, has something under way, or may still take its last answer; `nowMs` is that of `performance`. */
	isUsed(nowMs: number): boolean {
		return this.socket.isClosing || !this.isIdle || (this.requests === 0 && nowMs - this._acceptedAtMs < FIRST_REQUEST_MS);
	}

	beginRequest(request: IncomingMessage, response: ServerResponse): void {
		this.requests++;
		this._open.push({
			request, response, parsedBytes: this.socket.parsedBytes, body: undefined, keptBytes: 0, isPassedOn: false,
		});
		response.once('finish', () => {
			this._answeredAtMs = performance.now();
		});
		response.once('close', () => {
			const isServed = this._open.some(open => open.response === response && open.isPassedOn);
			this.lastAnswer = isServed && this.served && response.writableFinished && !this.socket.destroyed ? {...this.served, atMs: performance.now()} : undefined;
			this.served = undefined;
			this._open = this._open.filter(open => open.response !== response);
			this._answeredBytes = this.socket.parsedBytes;
			this.socket.readOn();
		});
		if (this.socket.hasInputEnded) {
			this._probe();
		}
	}

	/** Resolves once it is the turn of a request, after the responses to those that were sent ahead of it. */
	async takeTurn(response: ServerResponse): Promise<void> {
		const index = this._open.findIndex(open => open.response === response);
		if (index > 0) {
			const {response: previous} = this._open[index - 1]!;
			await new Promise<void>(resolve => {
				previous.once('close', resolve);
			});
		}
	}

	/** Resolves with whether the caller may still take an answer; later if it has just closed its sending side, since it may have left. */
	async mayTakeAnswer(): Promise<boolean> {
		if (this.socket.hasInputEnded && !this.socket.isGone && !this.socket.isClosing) {
			await this._resetOr(this._inputEndedAtMs + RESET_MS - performance.now());
			this.socket.probe();
			// The error of a write is told in the next round.
			await setImmediate();
		}

		return !this.socket.isGone && !this.socket.isClosing;
	}

	/** Whether a request that is being served has no response yet, so that what is written next is taken for it. */
	get owesResponse(): boolean {
		return this._open.some(({response, isPassedOn}) => isPassedOn && !response.writableEnded);
	}

	/** Closes the connection after the response to the request that is being served. */
	closeAfterResponse(): void {
		const served = this._open.find(({isPassedOn}) => isPassedOn);
		served?.response.once('close', () => {
			this.socket.destroySoon();
		});
	}

	/** The request is being served from now on. */
	passOn(response: ServerResponse): void {
		const open = this._open.find(candidate => candidate.response === response);
		if (open) {
			open.isPassedOn = true;
		}
	}

	/** Closes a connection on which nothing is under way. Its caller may still take an answer that was just handed over. */
	closeIdle(nowMs: number): void {
		const lingerMs = LINGER_MS - (nowMs - (this.lastAnswer?.atMs ?? Number.NEGATIVE_INFINITY));
		if (lingerMs > 0) {
			this.socket.destroySoon(lingerMs);
		} else {
			this.socket.destroy();
		}
	}

	/** Whether the connection may be closed for others. A request that is served alone is left to its end, also where its response is large: the memory of responses has a limit of its own. */
	get isExpendable(): boolean {
		const [first, second] = this._open;
		return first === undefined || second !== undefined || !first.request.complete || first.response.writableEnded;
	}

	/** Leaves what the connection takes to others: refuses a request whose body has not arrived, else closes the connection. */
	giveUp(): void {
		if (this.socket.isClosing && this.open === 0) {
			this.socket.destroy();
			return;
		}

		const last = this._open.at(-1);
		if (this._open.length === 1 && last?.body) {
			last.body.giveUp();
			return;
		}

		this.closingReason ??= 'input-overload';
		if (!this.isIdle) {
			this._options.onGivenUp(this);
		}

		this.socket.destroy();
	}

	/** Reads a body, whose memory counts until the response is flushed. */
	async readBody(response: ServerResponse, createBody: (onGrowth: () => void) => IncomingBody): ReturnType<IncomingBody['read']> {
		const resize = () => {
			this._account.resize(this._heldBytes);
		};

		const body = createBody(resize);
		const open = this._open.find(candidate => candidate.response === response);
		if (open) {
			open.body = body;
		}

		const result = await body.read();
		this._options.fragmented.delete(this);
		if (open) {
			open.body = undefined;
			open.keptBytes = typeof result === 'string' ? 0 : result.length;
			resize();
		}

		return result;
	}

	/** A body in very small chunks takes a hundred times the processor time of others, so that only some of them may arrive at once. */
	private _limitFragmented(): void {
		const {fragmented, maxFragmented} = this._options;
		const last = this._open.at(-1);
		if (!last?.body || fragmented.has(this)) {
			return;
		}

		const framingBytes = this.socket.parsedBytes - last.parsedBytes - last.body.length;
		if (framingBytes <= FRAMING_BYTES_MAX + last.body.length) {
			return;
		}

		if (fragmented.size < maxFragmented) {
			fragmented.add(this);
		} else {
			last.body.giveUp();
		}
	}

	/** Has a caller that has left reset the connection, and looks whether it has, until all answers are written. */
	private _probe(): void {
		clearTimeout(this._probeTimer);
		const [first] = this._open;
		if (!first || this.socket.isGone) {
			return;
		}

		const {request, response} = first;
		const isInterimDue = performance.now() - this._inputEndedAtMs >= (INTERIM_MS[this._interims] ?? Number.POSITIVE_INFINITY);
		if (isInterimDue && !response.headersSent && request.httpVersion === '1.1') {
			this._interims++;
			response.writeProcessing();
		} else {
			this.socket.probe();
		}

		this._probeTimer = setTimeout(() => {
			this._probe();
		}, isInterimDue ? NEAR_RESET_MS : PROBE_INTERVAL_MS);
	}

	/** Resolves once the connection has closed, at the latest after a time. */
	private async _resetOr(ms: number): Promise<void> {
		return new Promise(resolve => {
			const end = () => {
				clearTimeout(timer);
				this.socket.off('close', end);
				resolve();
			};

			const timer = setTimeout(end, Math.max(0, ms));
			this.socket.once('close', end);
		});
	}

	private get _isHeld(): boolean {
		const last = this._open.at(-1);
		return last !== undefined && last.request.complete && (last.isPassedOn || this._open.length > 1);
	}

	private get _heldBytes(): number {
		let bytes = this.socket.bufferedBytes;
		for (const {body, keptBytes} of this._open) {
			bytes += REQUEST_BYTES + keptBytes + (body?.capacity ?? 0);
		}

		return bytes;
	}
}
