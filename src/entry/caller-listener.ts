/**
HTTP listener for callers. It reads the complete request within the configured limits
and passes it on. Invalid HTTP is rejected here and never reaches the core.
*/
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {Server as NetServer, type Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {type Duplex} from 'node:stream';
import {setImmediate} from 'node:timers/promises';
import {type FastifyInstance} from 'fastify';
import {type CallerLimits} from '../core/entry/configuration.js';
import {createProblem} from '../daemon/problem.js';
import {type ResultName} from '../core/result-codes.js';
import {CallerConnection, type LastAnswer} from './caller-connection.js';
import {CallerMemory} from './caller-memory.js';
import {LINGER_MS, type CallerSocket} from './caller-socket.js';
import {type RawHeaders} from './deployment.js';
import {type EventLoop} from './event-loop.js';
import {createHttpServer} from './http-server.js';
import {IncomingBody} from './incoming-body.js';
import {readArrived} from './read-arrived.js';
import {setTarget} from './request-target.js';

/** Bound what is held in memory until a configuration has been read; it may allow more. */
export const defaultLimits: CallerLimits = {
	headerBytes: 16_384, bodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
};

/** The parser buffers all headers in memory. The configured limit, which is lower, is checked afterwards. */
const PARSER_HEADER_BYTES_MAX = 64 * 1024;
const UNAVAILABLE_STATUS = 503;
/** A configuration is read or pulled, and memory is freed, within this time. */
const RETRY_AFTER_S = '0.3';
const TIMEOUT_CHECK_INTERVAL_MS = 500;
/** Interval at which a stopping instance closes connections that have become idle. */
const IDLE_CLOSE_INTERVAL_MS = 50;
/** Limit for the time in which a stopping instance goes on accepting what waits; callers that do not know of the stop may go on connecting. */
const ACCEPTING_MS_MAX = 3000;

export type CallerListenerOptions = {
	/** Undefined until a configuration states them. */
	readonly limits: () => CallerLimits | undefined;
	/** Time within which a request has to be read, from its headers; undefined if they set none. */
	readonly deadlineMs?: (headers: RawHeaders) => number | undefined;
	readonly eventLoop: EventLoop;
	/** Limit for the memory of all connections together, in bytes; without limit if absent. */
	readonly memoryBytes?: number;
	/** Limit for connections; without limit if absent. */
	readonly maxConnections?: number;
	/** Limit for bodies in very small chunks that arrive at once; without limit if absent. */
	readonly fragmentedBodies?: number;
	/** Receives a request with its complete body, and how long ago its head was read. */
	readonly onRequest: (request: IncomingMessage, response: ServerResponse, received: ReceivedBody) => void;
	readonly onRejected: (code: ResultName, detail: string, origin: InputOrigin) => void;
	/** Called for a request that is dropped without a response, since its caller has closed the connection. */
	readonly onDropped: (reason: DropReason, origin: InputOrigin) => void;
	/** Called before this process closes a connection that owes no response. */
	readonly onClosing?: (reason: CloseReason) => void;
	/** Called for a connection that ended with an error, or with input unread, so shortly after a whole answer that its caller may not have got it. */
	readonly onAnswerCut?: (answer: LastAnswer, connection: CallerConnection) => void;
};

/** Connections of callers at one moment. */
export type ConnectionCounts = {
	readonly connections: number;
	readonly idle: number;
	/** With input that is not parsed. */
	readonly unread: number;
	/** With output that was not taken. */
	readonly unsent: number;
};

export type ReceivedBody = {
	readonly connection: CallerConnection;
	/** From when the head was read until the body was whole. */
	readonly bodyMs: number;
	readonly body: Buffer;
	readonly waitedMs: number;
};

export type DropReason = 'caller-left' | 'body-incomplete' | 'process-stopped' | 'input-overload';

export type CloseReason = 'idle' | 'stopping' | 'given-up';

/** Where input that gets no further than the listener came from. */
export type InputOrigin = {
	/** Undefined if the input is no request. */
	readonly request: IncomingMessage | undefined;
	readonly remotePort: number | undefined;
	/** Requests that the connection had carried before. */
	readonly earlierRequests: number;
	/** Bytes received of a request whose head is not complete. */
	readonly unansweredBytes?: number;
};

type Answerable = {
	readonly response: ServerResponse;
	readonly origin: InputOrigin;
};

export class CallerListener {
	private readonly _app: FastifyInstance;
	private readonly _connections = new Map<Duplex, CallerConnection>();
	private readonly _memory: CallerMemory;
	private readonly _fragmented = new Set<CallerConnection>();
	private _server: Server | undefined;
	private _idleCloseTimer: NodeJS.Timeout | undefined;
	private _accepted = 0;
	/** Whether connections that wait are still accepted, although the instance stops. */
	private _isEndingAccepting = false;
	private _isClosed = false;
	/** When the last answers on connections that have closed count as delivered. */
	private _deliveredByMs = Number.NEGATIVE_INFINITY;

	constructor(private readonly _options: CallerListenerOptions) {
		this._memory = new CallerMemory({maxBytes: _options.memoryBytes ?? Number.POSITIVE_INFINITY});
		this._app = createHttpServer({
			serverFactory: handler => {
				this._server = createServer({
					maxHeaderSize: PARSER_HEADER_BYTES_MAX,
					connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
					requestTimeout: 0,
					keepAlive: true,
					noDelay: true,
				}, handler);
				// Without it, the server ends its side when the input ends.
				Object.assign(this._server, {httpAllowHalfOpen: true});
				this._limitInput(this._server);
				this._server.prependListener('request', (request, response) => {
					this._connections.get(request.socket)?.beginRequest(request, response);
				});
				// Called by the server's own `close`; a connection that seems idle may have been sent a request.
				this._server.closeIdleConnections = () => undefined;

				return this._server;
			},
			clientErrorHandler: (error: NodeJS.ErrnoException, socket) => {
				if (error.code === 'ERR_HTTP_REQUEST_TIMEOUT') {
					this._rejectLate(socket);
				} else {
					this._rejectMalformed(error, socket);
				}
			},
			// The core routes requests by the original path.
			rewriteUrl: () => '/',
			return503OnClosing: false,
		});
		this._app.removeAllContentTypeParsers();
		this._app.addContentTypeParser('*', (_request, _payload, done) => {
			done(null, undefined);
		});
		this._app.all('/', async (request, reply) => {
			reply.hijack();
			const {raw} = request;
			// A request whose reading is given up has no socket any more.
			const origin = this._originOf(raw.socket, raw);
			setTarget(raw, request.originalUrl);
			try {
				await this._handleRequest(raw, {response: reply.raw, origin});
			} catch (error) {
				this._failResponse({response: reply.raw, origin});
				throw error;
			}
		});
	}

	async listen(host: string, port: number): Promise<void> {
		await this._app.listen({host, port});
		this.applyLimits();
	}

	/** Whether nothing is under way on any connection, and last answers count as delivered, once everything that had arrived was read. */
	async isIdle(): Promise<boolean> {
		if (this._isEndingAccepting) {
			return false;
		}

		await readArrived();
		const nowMs = performance.now();
		return nowMs >= this._deliveredByMs && [...this._connections.values()].every(connection => !connection.isUsed(nowMs) && nowMs >= connection.deliveredByMs);
	}

	get counts(): ConnectionCounts {
		const connections = [...this._connections.values()];
		return {
			connections: connections.length,
			idle: connections.filter(({isIdle}) => isIdle).length,
			unread: connections.filter(({socket}) => socket.unreadBytes > 0).length,
			unsent: connections.filter(({socket}) => socket.unsentBytes > 0).length,
		};
	}

	/** Applies the configured timeouts to new connections. */
	applyLimits(): void {
		const limits = this._options.limits() ?? defaultLimits;
		if (this._server) {
			this._server.headersTimeout = limits.headerTimeoutMs;
			this._server.keepAliveTimeout = limits.idleTimeoutMs;
		}
	}

	/** Stops accepting connections once those that wait were accepted, and closes the open ones as soon as they are idle. */
	stopAccepting(): void {
		if (this._idleCloseTimer !== undefined) {
			return;
		}

		void this._endAccepting();
		this._idleCloseTimer = setInterval(() => {
			void this._closeIdleConnections();
		}, IDLE_CLOSE_INTERVAL_MS);
	}

	/** Connections that wait to be accepted would be reset with the requests that were sent on them. Each round of the event loop accepts one. */
	private async _endAccepting(): Promise<void> {
		const endsAtMs = performance.now() + ACCEPTING_MS_MAX;
		let accepted: number;
		this._isEndingAccepting = true;
		do {
			accepted = this._accepted;
			await readArrived();
		} while (this._accepted > accepted && !this._isClosed && performance.now() < endsAtMs);

		this._isEndingAccepting = false;
		if (this._server?.listening) {
			// The HTTP server's own `close` would also end the check of header timeouts.
			NetServer.prototype.close.call(this._server);
		}
	}

	/** Node's own listener takes any duplex stream for a connection. */
	private _limitInput(server: Server): void {
		const listeners = server.listeners('connection') as Array<(socket: CallerSocket) => void>;
		server.removeAllListeners('connection');
		server.on('connection', (accepted: Socket) => {
			this._accepted++;
			const connection = new CallerConnection(accepted, {
				memory: this._memory,
				fragmented: this._fragmented,
				maxFragmented: this._options.fragmentedBodies ?? Number.POSITIVE_INFINITY,
				onGivenUp: ({socket}) => {
					this._options.onClosing?.('given-up');
					this._options.onDropped('input-overload', this._originOf(socket));
				},
			});
			const {socket} = connection;
			socket.once('timeout', () => {
				connection.closingReason ??= 'idle';
				this._options.onClosing?.('idle');
			});
			this._makeRoom();
			this._connections.set(socket, connection);
			socket.once('close', () => {
				this._connections.delete(socket);
				if (connection.isDeliveryUnshown) {
					this._deliveredByMs = Math.max(this._deliveredByMs, connection.deliveredByMs);
				}

				this._reportCut(connection);
			});
			for (const listener of listeners) {
				listener.call(server, socket);
			}
		});
	}

	private _reportCut(connection: CallerConnection): void {
		const {lastAnswer, socket} = connection;
		const wasJustAnswered = lastAnswer !== undefined && performance.now() - lastAnswer.atMs < LINGER_MS;
		const isCut = wasJustAnswered && (socket.errorCode !== '' || (socket.closedBy === 'instance' && socket.unreadBytes > 0));
		if (lastAnswer && (isCut || socket.isUnconfirmed)) {
			connection.lastAnswer = undefined;
			this._options.onAnswerCut?.(lastAnswer, connection);
		}
	}

	/** Descriptors have to be left for the connections to targets. */
	private _makeRoom(): void {
		if (this._connections.size < (this._options.maxConnections ?? Number.POSITIVE_INFINITY)) {
			return;
		}

		// The map has them in the order in which they were accepted. Those that callers have kept go last.
		const expendable = [...this._connections.values()].filter(({isExpendable}) => isExpendable);
		const chosen = expendable.find(({socket}) => socket.isClosing) ?? expendable.find(({isIdle}) => !isIdle) ?? expendable.find(({requests}) => requests === 0) ?? expendable[0];
		chosen?.giveUp();
	}

	/**
	Closes the connections that are idle before and after everything that had arrived was read. Node counts a connection as idle as soon as
	its last response has been handed over, and would cut off what a slow caller has yet to read.
	*/
	private async _closeIdleConnections(): Promise<void> {
		const nowMs = performance.now();
		const idle = [...this._connections.values()].filter(connection => !connection.isUsed(nowMs));
		await readArrived();
		for (const connection of idle) {
			if (connection.isIdle) {
				connection.closingReason ??= 'stopping';
				this._options.onClosing?.('stopping');
				connection.closeIdle(nowMs);
			}
		}
	}

	/** Closes the connections that only wait for their callers to close their side, and reports their answers. */
	endLingering(): void {
		for (const connection of this._connections.values()) {
			if (connection.socket.isClosing) {
				connection.socket.destroy();
				this._reportCut(connection);
			}
		}
	}

	async close(): Promise<void> {
		this._isClosed = true;
		clearInterval(this._idleCloseTimer);
		for (const connection of this._connections.values()) {
			const {socket, unansweredBytes} = connection;
			connection.closingReason ??= 'process-stopped';
			if (unansweredBytes > 0) {
				this._options.onDropped('process-stopped', {...this._originOf(socket), unansweredBytes});
			}
		}

		const connections = [...this._connections.values()];
		this._server?.closeAllConnections();
		for (const connection of connections) {
			// Connections that are closing are none of the server's. The process may end before these connections tell of their end.
			connection.socket.destroy();
			this._reportCut(connection);
		}

		await this._app.close();
	}

	private async _handleRequest(request: IncomingMessage, {response, origin}: Answerable): Promise<void> {
		const readAtMs = performance.now();
		const stated = this._options.limits();
		const limits = stated ?? defaultLimits;
		const headerBytes = request.rawHeaders.reduce((sum, text) => sum + text.length + 2, (request.url?.length ?? 0));
		if (headerBytes > limits.headerBytes) {
			this._reject({response, origin}, stated ? 'headers-too-large' : 'no-configuration', `${headerBytes} bytes of headers`);
			return;
		}

		const connection = this._connections.get(request.socket);
		await connection?.takeTurn(response);
		const createBody = (onGrowth: () => void) => new IncomingBody(request, {maxBytes: limits.bodyBytes, timeoutMs: this._options.deadlineMs?.(request.rawHeaders), onGrowth});
		const bodyFromMs = performance.now();
		const body = connection ? await connection.readBody(response, createBody) : 'broken';
		const bodyMs = performance.now() - bodyFromMs;
		switch (body) {
			case 'late': {
				this._reject({response, origin}, 'body-late', 'the body was not complete when the deadline of the request passed');
				break;
			}

			case 'too-large': {
				this._reject({response, origin}, stated ? 'body-too-large' : 'no-configuration', `a body of more than ${limits.bodyBytes} bytes`);
				break;
			}

			case 'input-overload': {
				this._reject({response, origin}, 'input-overload', 'its body takes memory or time that others need');
				break;
			}

			case 'broken': {
				this._options.onDropped('body-incomplete', origin);
				break;
			}

			default: {
				// The caller may have left before its request was read: the end of what it sent is read a round of the event loop later.
				await this._options.eventLoop.afterRead(async () => {
					await this._passOn(request, {response, origin}, {body, bodyMs}, readAtMs);
				});
			}
		}
	}

	private async _passOn(request: IncomingMessage, {response, origin}: Answerable, received: Omit<ReceivedBody, 'connection' | 'waitedMs'>, readAtMs: number): Promise<void> {
		const connection = this._connections.get(request.socket);
		const {socket} = connection ?? {};
		const mayTakeAnswer = socket?.hasInputEnded ? await connection!.mayTakeAnswer() : socket && !socket.isGone && !socket.isClosing;
		if (!connection || !mayTakeAnswer) {
			this._options.onDropped('caller-left', origin);
			return;
		}

		connection.passOn(response);
		this._options.onRequest(request, response, {...received, connection, waitedMs: performance.now() - readAtMs});
	}

	private _originOf(socket: Duplex, request?: IncomingMessage): InputOrigin {
		const connection = this._connections.get(socket);
		const requests = connection?.requests ?? 0;
		return {request, remotePort: connection?.socket.remotePort, earlierRequests: request ? requests - 1 : requests};
	}

	private _reject({response, origin}: Answerable, code: ResultName, detail: string): void {
		const problem = createProblem(code, {detail});
		this._options.onRejected(code, detail, origin);
		const retryAfter = problem.status === UNAVAILABLE_STATUS ? {'retry-after': RETRY_AFTER_S} : {};
		response.writeHead(problem.status, {...problem.headers, ...retryAfter, connection: 'close'});
		response.end(problem.body);
	}

	/** Ends a response that an unexpected error has left open. 502 states nothing about the execution. */
	private _failResponse({response, origin}: Answerable): void {
		if (response.writableEnded) {
			return;
		}

		if (response.headersSent) {
			response.destroy();
			return;
		}

		this._reject({response, origin}, 'target-failed', 'an unexpected error');
	}

	/** After this process was held up, the head may have arrived and only wait to be read, which is done before immediates run. */
	private _rejectLate(socket: Duplex): void {
		void (async () => {
			await setImmediate();
			if (!this._connections.get(socket)?.open) {
				this._rejectUnread(socket, 'headers-late', 'Request Timeout');
			}
		})();
	}

	private _rejectMalformed(error: NodeJS.ErrnoException, socket: Duplex): void {
		if (error.code === 'ECONNRESET') {
			socket.destroy();
		} else if (error.code === 'HPE_HEADER_OVERFLOW') {
			this._rejectUnread(socket, 'headers-too-large', 'Request Header Fields Too Large', error.code);
		} else {
			this._rejectUnread(socket, 'request-malformed', 'Bad Request', error.code ?? error.message);
		}
	}

	/** Responds to input that is no request and closes the connection; nothing after it is read. */
	private _rejectUnread(socket: Duplex, code: ResultName, reason: string, detail: string = code): void {
		const connection = this._connections.get(socket);
		if (connection) {
			connection.closingReason ??= 'input-invalid';
		}

		if (!socket.writable) {
			socket.destroy();
			return;
		}

		if (connection?.owesResponse) {
			this._options.onRejected(code, detail, this._originOf(socket));
			connection.closeAfterResponse();
			return;
		}

		const problem = createProblem(code, {detail});
		this._options.onRejected(code, detail, this._originOf(socket));
		socket.end([
			`HTTP/1.1 ${problem.status} ${reason}`,
			'Connection: close',
			'Content-Type: application/problem+json',
			`Content-Length: ${Buffer.byteLength(problem.body)}`,
			'',
			problem.body,
		].join('\r\n'));
		connection?.socket.destroySoon();
	}
}
