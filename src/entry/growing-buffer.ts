/**
Bytes that arrive in pieces, in one block of memory. A list of many small pieces would take
many times their length, and joining them at each arrival costs the square of it.
*/
import {Buffer} from 'node:buffer';

const INITIAL_BYTES = 4096;

export class GrowingBuffer {
	private _block: Buffer = Buffer.alloc(0);
	private _length = 0;

	/** `initialBytes`: memory that the first bytes take. */
	constructor(private readonly _initialBytes = INITIAL_BYTES) {}

	get length(): number {
		return this._length;
	}

	/** Memory that is taken, at least `length`. */
	get capacity(): number {
		return this._block.length;
	}

	/** The bytes so far, as a view that the next `append` or `dropFirst` makes invalid. */
	get bytes(): Buffer {
		return this._block.subarray(0, this._length);
	}

	append(chunk: Buffer): void {
		const length = this._length + chunk.length;
		if (length > this._block.length) {
			const block = Buffer.allocUnsafeSlow(Math.max(this._initialBytes, length, this._block.length * 2));
			this._block.copy(block, 0, 0, this._length);
			this._block = block;
		}

		chunk.copy(this._block, this._length);
		this._length = length;
	}

	/** Removes bytes from the start. The memory of a large block is freed when nothing is left. */
	dropFirst(count: number): void {
		this._block.copyWithin(0, count, this._length);
		this._length -= count;
		if (this._length === 0 && this._block.length > INITIAL_BYTES) {
			this._block = Buffer.alloc(0);
		}
	}
}
