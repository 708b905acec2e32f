/**
Standard output as the log writes to it. A reader that is slow or gone never holds the
process up: what it does not take waits here, up to a limit beyond which lines are dropped.
Lines that must not be lost have a limit of their own and are handed over at once, ahead of
those that wait.
*/
import {Buffer} from 'node:buffer';
import {
	fstatSync, write as writeLater, writeSync,
} from 'node:fs';
import {Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {errorCode} from '../daemon/gateways/connection-pool.js';

const STANDARD_OUTPUT = 1;
const BATCH_BYTES = 4096;
const BUFFERED_BYTES_MAX = 512 * 1024;
/** Room for a line on each of more requests than an instance has open at once. */
const URGENT_BYTES_MAX = 2 * 1024 * 1024;
const WRITE_BYTES_MAX = 64 * 1024;
const RETRY_MS = 25;
const BUSY_CODE = 'EAGAIN';

export type LogSink = {
	/** Writes without waiting for a reader. Returns how many bytes were taken; throws if nobody reads any more. */
	readonly writeNow: (bytes: Buffer) => number;
	/** Writes bytes whose writing could take time; absent if none does. */
	readonly writeLater?: (bytes: Buffer, done: () => void) => void;
};

export type LogOutputOptions = {
	readonly sink?: LogSink;
	readonly bufferedBytes?: number;
	readonly urgentBytes?: number;
};

export class LogOutput {
	private readonly _sink: LogSink;
	private readonly _bufferedBytes: number;
	private readonly _urgentBytes: number;
	/** What is left of bytes of which a part was written. */
	private _rest: Buffer | undefined;
	private readonly _urgent = new LineQueue();
	private readonly _lines = new LineQueue();
	private _isWritingLater = false;
	private _retryTimer: NodeJS.Timeout | undefined;
	private _hasReaderGone = false;
	private _dropped = 0;

	constructor({sink, bufferedBytes = BUFFERED_BYTES_MAX, urgentBytes = URGENT_BYTES_MAX}: LogOutputOptions = {}) {
		this._sink = sink ?? standardOutput();
		this._bufferedBytes = bufferedBytes;
		this._urgentBytes = urgentBytes;
	}

	/** Lines that were dropped since their reader was slow. */
	get droppedLines(): number {
		return this._dropped;
	}

	write(line: string): void {
		if (this._lines.bytes + line.length > this._bufferedBytes) {
			this._dropped++;
			return;
		}

		this._lines.push(line);
		if (this._lines.bytes >= BATCH_BYTES) {
			this.flush();
		}
	}

	/** Writes a line at once if its reader takes it, else before all others that wait. */
	writeUrgent(line: string): void {
		if (this._urgent.bytes + line.length > this._urgentBytes) {
			this._dropped++;
			return;
		}

		if (this._retryTimer === undefined) {
			// In the order of time.
			this.flush();
		}

		this._urgent.push(line);
		this._writeUrgent();
	}

	/** Writes what its reader takes now; the rest is written when it takes it. */
	flush(): void {
		if (!this._writeUrgent()) {
			return;
		}

		const {writeLater: writeBatch} = this._sink;
		if (!writeBatch) {
			this._writeAll(this._lines);
			return;
		}

		if (!this._isWritingLater && this._lines.bytes > 0) {
			this._isWritingLater = true;
			writeBatch(this._lines.take(WRITE_BYTES_MAX), () => {
				this._isWritingLater = false;
				if (this._lines.bytes >= BATCH_BYTES) {
					this.flush();
				}
			});
		}
	}

	/** Writes everything, and waits up to `waitMs` for a reader that is slow; for a process that is about to end. */
	flushNow(waitMs: number): void {
		const endsAtMs = performance.now() + waitMs;
		let isDone = false;
		while (!isDone) {
			isDone = (this._writeUrgent() && this._writeAll(this._lines)) || performance.now() >= endsAtMs;
		}
	}

	/** Returns whether nothing is left. */
	private _writeUrgent(): boolean {
		return this._writeAll(this._urgent);
	}

	private _writeAll(lines: LineQueue): boolean {
		while (this._rest !== undefined || lines.bytes > 0) {
			const bytes = this._rest ?? lines.take(WRITE_BYTES_MAX);
			const taken = this._write(bytes);
			this._rest = taken < bytes.length ? bytes.subarray(taken) : undefined;
			if (this._rest) {
				this._retryTimer ??= setTimeout(() => {
					this._retryTimer = undefined;
					this.flush();
				}, RETRY_MS).unref();
				return false;
			}
		}

		return true;
	}

	private _write(bytes: Buffer): number {
		if (this._hasReaderGone) {
			return bytes.length;
		}

		try {
			return this._sink.writeNow(bytes);
		} catch (error) {
			if (errorCode(error) === BUSY_CODE) {
				return 0;
			}

			// The process serves on without a log.
			this._hasReaderGone = true;
			return bytes.length;
		}
	}
}

/** Lines that wait, the oldest first. */
class LineQueue {
	/** In characters; those of lines are nearly all of one byte. */
	bytes = 0;
	private _lines: string[] = [];

	push(line: string): void {
		this._lines.push(line);
		this.bytes += line.length;
	}

	/** Takes the oldest lines, at least one. */
	take(maxBytes: number): Buffer {
		let count = 0;
		let taken = 0;
		while (count < this._lines.length && (count === 0 || taken + this._lines[count]!.length <= maxBytes)) {
			taken += this._lines[count]!.length;
			count++;
		}

		const text = this._lines.slice(0, count).join('');
		this._lines = this._lines.slice(count);
		this.bytes -= taken;
		return Buffer.from(text);
	}
}

/** A pipe is made one that writing never waits for; writing to a file may wait for its disk, so that it is done in another thread. */
function standardOutput(): LogSink {
	const writeNow = (bytes: Buffer) => writeSync(STANDARD_OUTPUT, bytes);
	try {
		const status = fstatSync(STANDARD_OUTPUT);
		if (status.isFIFO() || status.isSocket()) {
			// Kept, since its end would close the descriptor.
			const socket = new Socket({fd: STANDARD_OUTPUT, readable: false, writable: true});
			socket.on('error', () => undefined);
			return {writeNow: bytes => socket.destroyed ? bytes.length : writeNow(bytes)};
		}
	} catch {
		// Written to as to a file.
	}

	return {
		writeNow,
		writeLater(bytes, done) {
			writeLater(STANDARD_OUTPUT, bytes, done);
		},
	};
}
