/**
A caller's connection as the HTTP server gets it: a socket that yields its input in turns,
a chunk at a time, and none while the server holds it up. What is not yielded stays in the
buffer of the socket, and the rest with the caller. A caller that closes its sending side
may still read, so that the end of the input does not end the output. After the last output,
the sending side is closed first, and what still comes is read and dropped until the caller
has closed its side (RFC 9112, section 9.6): closing a connection with input unread resets
it, and the tail of an answer may be lost with that.
*/
import {type Buffer} from 'node:buffer';
import {type Socket} from 'node:net';
import {Duplex} from 'node:stream';
import {errorCode} from '../daemon/gateways/connection-pool.js';
import {readInTurns} from '../daemon/gateways/read-turns.js';
import {readArrived} from './read-arrived.js';

/** Input that is parsed at once. */
const CHUNK_BYTES = 4 * 1024;

/** Time for which an answer may be on its way after it was handed over, and callers have to close their side behind it; and input that is dropped meanwhile. */
export const LINGER_MS = 1000;
const LINGER_BYTES_MAX = 1024 * 1024;

type Callback = (error?: Error | null) => void;

export type CallerSocketOptions = {
	/** Whether the input that has arrived waits, until `readOn`. */
	readonly isHeld: () => boolean;
	/** Called before input is yielded; may destroy the socket. */
	readonly onYield: () => void;
	/** Called after input was yielded or has arrived, and after output was written. */
	readonly onChange: () => void;
	/** Called when the end of the input was yielded. */
	readonly onEnd: () => void;
};

/** Who closed a connection first, as far as this process knows. */
export type Closer = 'caller' | 'instance';

export class CallerSocket extends Duplex {
	/** Code of the error by which the connection ended; empty if there was none. */
	errorCode = '';
	/** Undefined while it is open. */
	closedBy: Closer | undefined;
	/** Whether the caller has closed its sending side, as far as this process knows. */
	hasInputEnded = false;
	/** Output that the caller had not taken, and input that had arrived and was not parsed, when it ended. */
	private _leftBytes: {readonly unsent: number; readonly unread: number} | undefined;
	private _wantsInput = false;
	/** Set once nothing more is written, and no input taken. */
	private _lingerMs: number | undefined;
	private _lingerTimer: NodeJS.Timeout | undefined;
	private _isUnconfirmed = false;
	private _droppedBytes = 0;

	constructor(private readonly _socket: Socket, private readonly _options: CallerSocketOptions) {
		super({allowHalfOpen: true});
		readInTurns(_socket, () => {
			_options.onYield();
			return CHUNK_BYTES;
		});
		_socket.on('readable', () => {
			this.readOn();
		});
		_socket.once('end', () => {
			this.push(null);
			this.hasInputEnded = true;
			if (this.isClosing && this.writableFinished) {
				this.destroy();
			} else {
				_options.onEnd();
			}
		});
		_socket.once('error', error => {
			this._noteEnd('caller', error);
			this.destroy(error);
		});
		_socket.once('close', () => {
			this._noteEnd('caller');
			this.destroy();
		});
		_socket.on('timeout', () => {
			void this._endIdleTime();
		});
	}

	get bytesRead(): number {
		return this._socket.bytesRead;
	}

	get remoteAddress(): string | undefined {
		return this._socket.remoteAddress;
	}

	get remotePort(): number | undefined {
		return this._socket.remotePort;
	}

	/** Input that the server has parsed. */
	get parsedBytes(): number {
		return this._socket.bytesRead - this._socket.readableLength - this.readableLength;
	}

	/** Input that is not parsed, and output that the caller has not taken. */
	get bufferedBytes(): number {
		return this._socket.readableLength + this.readableLength + this.writableLength;
	}

	/** Output that the caller has not taken. */
	get unsentBytes(): number {
		return this._leftBytes?.unsent ?? Math.max(this.writableLength, this._socket.writableLength);
	}

	/** Input that has arrived and is not parsed, as far as this process has read it. */
	get unreadBytes(): number {
		return this._leftBytes?.unread ?? this._socket.readableLength + this.readableLength;
	}

	/** Whether the connection is closed in both directions, as far as this process knows. */
	get isGone(): boolean {
		return this._socket.destroyed;
	}

	/** Whether all output has been written, and input is no longer parsed. */
	get isClosing(): boolean {
		return this._lingerMs !== undefined;
	}

	/** Whether the connection was closed by this process before the caller had closed its side, which shows that it has taken the last answer. */
	get isUnconfirmed(): boolean {
		return this._isUnconfirmed;
	}

	/** Yields input that has arrived, as far as it is this connection's turn. */
	readOn(): void {
		if (this.isClosing) {
			this._dropInput();
			return;
		}

		while (this._wantsInput && !this._socket.destroyed) {
			// The end of the input only shows to a read of the empty buffer.
			if (this._options.isHeld() && this._socket.readableLength > 0) {
				break;
			}

			const chunk = this._socket.read() as Buffer | null;
			if (chunk === null) {
				break;
			}

			this._wantsInput = this.push(chunk);
		}

		this._options.onChange();
	}

	setTimeout(ms: number, callback?: () => void): this {
		this._socket.setTimeout(ms);
		if (callback) {
			this.once('timeout', callback);
		}

		return this;
	}

	/** Writes nothing, which fails if the caller has reset the connection: after the end of the input, Node.js notices that by writes only. */
	probe(): void {
		if (this._socket.writable) {
			this._socket.write('');
		}
	}

	/** Closes the sending side after what has been written, and the connection once the caller has closed its side, or after `lingerMs`. */
	destroySoon(lingerMs = LINGER_MS): void {
		if (this.isClosing || this.destroyed) {
			return;
		}

		this._lingerMs = lingerMs;
		this.removeAllListeners('data');
		this._socket.setTimeout(0);
		this.end();
		if (this.writableFinished) {
			this._linger(lingerMs);
		} else {
			this.once('finish', () => {
				this._linger(lingerMs);
			});
		}
	}

	private _linger(lingerMs: number): void {
		if (this.destroyed) {
			return;
		}

		if (this.hasInputEnded) {
			this.destroy();
			return;
		}

		this._lingerTimer = setTimeout(() => {
			this.destroy();
		}, lingerMs);
		this.readOn();
	}

	private _dropInput(): void {
		for (;;) {
			const chunk = this._socket.read() as Buffer | null;
			if (chunk === null || this._socket.destroyed) {
				break;
			}

			this._droppedBytes += chunk.length;
			if (this._droppedBytes > LINGER_BYTES_MAX) {
				this.destroy();
				break;
			}
		}

		this._options.onChange();
	}

	/** After this process was held up, a request may have arrived in time and only wait to be read. */
	private async _endIdleTime(): Promise<void> {
		const {bytesRead} = this._socket;
		await readArrived();
		if (this._socket.bytesRead === bytesRead) {
			this.emit('timeout');
		}
	}

	override _read(): void {
		this._wantsInput = true;
		this.readOn();
	}

	override _write(chunk: Buffer, _encoding: BufferEncoding, callback: Callback): void {
		this._socket.write(chunk, this._watch(callback));
		this._options.onChange();
	}

	override _writev(chunks: Array<{chunk: Buffer}>, callback: Callback): void {
		this._socket.cork();
		for (const [index, {chunk}] of chunks.entries()) {
			this._socket.write(chunk, index === chunks.length - 1 ? this._watch(callback) : undefined);
		}

		this._socket.uncork();
		this._options.onChange();
	}

	/** What an error leaves unsent is forgotten after this call. */
	private _watch(callback: Callback): Callback {
		return error => {
			if (error) {
				this._noteEnd('caller', error);
			}

			callback(error);
		};
	}

	private _noteEnd(closedBy: Closer, error?: Error | null): void {
		if (this.closedBy === undefined) {
			this._leftBytes = {unsent: this.unsentBytes, unread: this.unreadBytes};
			this.closedBy = closedBy;
			this.errorCode = error ? errorCode(error) || error.message : '';
		}
	}

	override _final(callback: Callback): void {
		this._socket.end(callback);
	}

	override _destroy(error: Error | null, callback: Callback): void {
		this._isUnconfirmed = this.isClosing && !this.hasInputEnded && this.closedBy === undefined;
		const hasCallerClosed = this.isGone || (this.hasInputEnded && this.writableFinished);
		this._noteEnd(hasCallerClosed ? 'caller' : 'instance', error);
		clearTimeout(this._lingerTimer);
		this._socket.destroy();
		callback(error);
	}
}
