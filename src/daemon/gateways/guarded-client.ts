/**
HTTP client that guards against what undici leaves open. It closes its connection when a
server sends bytes that bring no content: a head, interim responses, chunk framing or
trailers without end. And it resets the connection of a request that is aborted: closed in
the regular way, the kernel would go on sending bytes that the server has not acknowledged,
and a request that nobody waits for any more would still arrive once a broken path has
healed. And it closes an idle connection on which anything arrives: undici does so only
once a complete head has arrived, so that the rest of a response that nobody asked for
could be taken for the response to the next request. And it fails each response whose
connection is reset before its end, also where Node.js reports the reset as the regular
end. And it has the end of a connection wait for a reader that is slow, which undici does
not expect. And it reads from all its connections in turns, so that one that sends fast
does not take the process for itself, and joins small pieces of a body, which would take
many times their length in a list.
*/
import {Buffer} from 'node:buffer';
import {type Socket} from 'node:net';
import {type Duplex} from 'node:stream';
import {
	buildConnector, Client, errors, Pool, type Dispatcher,
} from 'undici';
import {readInTurns} from './read-turns.js';

/** Size of the largest head. */
const FRAMING_BYTES_MAX = 16 * 1024;
/** What undici allows: at each further header line it creates an error, until it has parsed all that was read. */
const PARSER_HEAD_BYTES_MAX = 4 * FRAMING_BYTES_MAX;
/** Bytes that are parsed at once, before any content and after it. */
const HEAD_CHUNK_BYTES = 4 * 1024;
const CHUNK_BYTES = 16 * 1024;
/** Content up to this size is joined with what follows it at once. */
const SMALL_BYTES = 1024;
const RESET_CODE = 'ECONNRESET';
/** Bytes of framing that each byte of content may bring along: chunks of five bytes and more are allowed, a flood of smaller ones is not. */
const FRAMING_PER_CONTENT_BYTE = 1;

/**
Has a connection that was reset fail with an error that has no code of its own. undici would take `ECONNRESET` for the
regular end of a response whose connection closes after it, and fail an assertion if its reader is slow.
*/
function markResets(socket: Socket): void {
	const destroy = socket.destroy.bind(socket);
	socket.destroy = error => destroy(errorCodeOf(error) === RESET_CODE ? createResetError(error) : error);
}

function createResetError(cause: Error = Object.assign(new Error('reset behind the last bytes'), {code: RESET_CODE})): Error {
	return new Error('the server has reset the connection', {cause});
}

function errorCodeOf(error: Error | undefined): unknown {
	return error && 'code' in error ? error.code : undefined;
}

/** Compares what a connection receives with the content that its responses yield. */
class FramingMeter {
	private _socket: Socket | undefined;
	private _startBytes = 0;
	private _contentBytes = 0;
	/** Bytes received when the last response was complete; undefined while a request runs, and before the first one. */
	private _idleBytes: number | undefined;

	/** Whether undici's parser waits until the reader of the response goes on. */
	isPaused = false;

	/** Whether the connection was reset, although its end was reported as the regular one. */
	endedByReset = false;

	watch(socket: Socket): void {
		this._socket = socket;
		this._startBytes = 0;
		this._contentBytes = 0;
		this._idleBytes = undefined;
		this.isPaused = false;
		this.endedByReset = false;
		// Registered before undici's listener, which takes the end of the input for the end of a response without a length.
		socket.once('end', () => {
			// libuv reports a reset that arrives with unread bytes as the end of the input. Such a connection has no other end any more.
			this.endedByReset = socket.remoteAddress === undefined;
		});
		socket.on('readable', () => {
			this._checkIdle(socket);
		});
		this._holdEnd(socket);
		readInTurns(socket, () => this._limitChunk(socket));
		markResets(socket);
	}

	/** Drops the bytes that the server has not acknowledged. */
	resetConnection(): void {
		// Without an error, undici takes the end of the connection for the end of a response without a length.
		this._socket?.emit('error', new errors.InformationalError('aborted'));
		this._socket?.resetAndDestroy();
	}

	endResponse(): void {
		this._idleBytes = this._socket?.bytesRead;
	}

	beginResponse(): void {
		this._idleBytes = undefined;
		this._startBytes = this._socket?.bytesRead ?? 0;
		this._contentBytes = 0;
	}

	addContent(bytes: number): void {
		this._contentBytes += bytes;
	}

	/** The end of the input waits until the parser goes on: undici fails an assertion if it comes while the parser is paused. */
	private _holdEnd(socket: Socket): void {
		const read = socket.read.bind(socket) as (size?: number) => Buffer | null;
		socket.read = size => {
			if (socket.readableLength === 0) {
				return this.isPaused ? null : read(size);
			}

			// Without a size, a read of all that is left would report the end as well.
			return read(size ?? socket.readableLength);
		};
	}

	private _checkIdle(socket: Socket): void {
		if (this._idleBytes !== undefined && socket.bytesRead > this._idleBytes) {
			// An informational error, after which undici sends a request that waits for this connection over a new one.
			socket.destroy(new errors.InformationalError('bytes on an idle connection'));
		}
	}

	/** Size of the next chunk for the parser, which has seen all that was read from the socket before. */
	private _limitChunk(socket: Socket): number {
		const framingBytes = socket.bytesRead - socket.readableLength - this._startBytes - this._contentBytes;
		if (framingBytes > FRAMING_BYTES_MAX + (this._contentBytes * FRAMING_PER_CONTENT_BYTE)) {
			socket.destroy(new Error('the server sends bytes without content'));
		}

		return this._contentBytes === 0 ? HEAD_CHUNK_BYTES : CHUNK_BYTES;
	}
}

/** The methods of a handler that the parser of undici calls. `Dispatcher` declares newer ones, which lose the order and case of header names. */
type ParserHandler = {
	onConnect(abort: (error?: Error) => void): void;
	onResponseStarted?(): void;
	onHeaders(status: number, headers: Buffer[], resume: () => void, statusText: string): boolean | undefined;
	onData(chunk: Buffer): boolean;
	onComplete(trailers: Buffer[]): void;
	onUpgrade?(status: number, headers: Buffer[], socket: Duplex): void;
	onError(error: Error): void;
};

/** Tells a meter the content of a response, joins its small pieces, and resets the connection if the request is aborted. */
class GuardedHandler implements ParserHandler {
	private _isEnded = false;
	/** Pieces of one round that are not passed on yet. */
	private _pieces: Buffer[] = [];
	/** Whether the reader takes no more until it resumes. */
	private _isFull = false;

	constructor(private readonly _handler: ParserHandler, private readonly _meter: FramingMeter) {}

	onConnect(abort: (error?: Error) => void): void {
		this._meter.beginResponse();
		this._handler.onConnect(error => {
			// Once the response is complete, the connection may carry another request, whatever has been read of this one.
			if (!this._isEnded) {
				this._meter.resetConnection();
			}

			abort(error);
		});
	}

	onResponseStarted(): void {
		this._handler.onResponseStarted?.();
	}

	onHeaders(status: number, headers: Buffer[], resume: () => void, statusText: string): boolean | undefined {
		const goesOn = this._handler.onHeaders(status, headers, () => {
			this._isFull = false;
			this._meter.isPaused = false;
			resume();
		}, statusText);
		this._meter.isPaused = goesOn === false;
		return goesOn;
	}

	onData(chunk: Buffer): boolean {
		this._meter.addContent(chunk.length);
		if (this._pieces.length === 0) {
			queueMicrotask(() => {
				this._passOn();
			});
		}

		this._pieces.push(chunk);
		if (chunk.length >= SMALL_BYTES) {
			this._passOn();
		}

		this._meter.isPaused = this._isFull;
		return !this._isFull;
	}

	onComplete(trailers: Buffer[]): void {
		if (this._meter.endedByReset) {
			this.onError(createResetError());
			return;
		}

		this._passOn();
		this._isEnded = true;
		this._meter.endResponse();
		this._handler.onComplete(trailers);
	}

	onUpgrade(status: number, headers: Buffer[], socket: Duplex): void {
		this._handler.onUpgrade?.(status, headers, socket);
	}

	onError(error: Error): void {
		this._passOn();
		this._isEnded = true;
		this._handler.onError(error);
	}

	/** A reader that keeps pieces as they come would need many times their length. */
	private _passOn(): void {
		const pieces = this._pieces;
		if (pieces.length > 0 && !this._isEnded) {
			this._pieces = [];
			this._isFull = !this._handler.onData(pieces.length === 1 ? pieces[0]! : Buffer.concat(pieces));
		}
	}
}

export class GuardedClient extends Client {
	private readonly _meter: FramingMeter;

	constructor(origin: string | URL, options: Client.Options = {}) {
		const meter = new FramingMeter();
		const connect = typeof options.connect === 'function' ? options.connect : buildConnector(options.connect);
		super(origin, {
			maxHeaderSize: PARSER_HEAD_BYTES_MAX,
			...options,
			connect(connectOptions, callback) {
				connect(connectOptions, (...result) => {
					if (result[0] === null) {
						meter.watch(result[1]);
					}

					callback(...result);
				});
			},
		});
		this._meter = meter;
	}

	override dispatch(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
		return super.dispatch(options, new GuardedHandler(handler as unknown as ParserHandler, this._meter) as unknown as Dispatcher.DispatchHandler);
	}
}

export function createGuardedPool(origin: string | URL, options: Pool.Options): Pool {
	return new Pool(origin, {...options, factory: (clientOrigin, clientOptions) => new GuardedClient(clientOrigin, clientOptions)});
}
