/**
Bytes that arrive in pieces and are kept in blocks, so that neither many small pieces nor
one that grows takes much more memory than its length.
*/
import {Buffer} from 'node:buffer';
import {GrowingBuffer} from './growing-buffer.js';

const BLOCK_BYTES = 64 * 1024;

export class BlockList {
	private readonly _blocks = [new GrowingBuffer()];
	private _length = 0;
	/** Memory of the blocks that are full. */
	private _fullBytes = 0;

	get length(): number {
		return this._length;
	}

	/** Memory that is taken, at least `length`. */
	get capacity(): number {
		return this._fullBytes + this._blocks.at(-1)!.capacity;
	}

	append(chunk: Buffer): void {
		this._length += chunk.length;
		let rest = chunk;
		while (rest.length > 0) {
			let block = this._blocks.at(-1)!;
			if (block.length === BLOCK_BYTES) {
				this._fullBytes += block.capacity;
				block = new GrowingBuffer(BLOCK_BYTES);
				this._blocks.push(block);
			}

			const taken = rest.subarray(0, BLOCK_BYTES - block.length);
			block.append(taken);
			rest = rest.subarray(taken.length);
		}
	}

	/** All bytes, in memory of their own. */
	toBuffer(): Buffer {
		return Buffer.concat(this._blocks.map(({bytes}) => bytes), this._length);
	}
}
