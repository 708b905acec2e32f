/**
The body of a response that is held until it is complete, and then sent to its caller as
fast as the caller takes it. Its memory counts against the budget until then.
*/
import {type Buffer} from 'node:buffer';
import {type ServerResponse} from 'node:http';
import {type BufferAccount, type BufferBudget} from './buffer-budget.js';
import {GrowingBuffer} from './growing-buffer.js';

const BLOCK_BYTES = 64 * 1024;
/** Limit for bodies that are held; services give no larger ones. */
export const BODY_BYTES_MAX = 8 * 1024 * 1024;

/** What is destroyed if the memory is needed by others: the source of the body, then the caller's response. */
export type BodyHolder = {
	destroy(error: Error): unknown;
};

export class HeldBody {
	private readonly _account: BufferAccount;
	private _blocks = [new GrowingBuffer()];
	private _length = 0;
	private _isReleased = false;
	private _reservedBytes: number = BLOCK_BYTES;

	/** `statedBytes`: length that the response states; 0 if it states none. */
	constructor(budget: BufferBudget, private _holder: BodyHolder, private readonly _statedBytes = 0) {
		this._account = budget.open(error => {
			this._holder.destroy(error);
			this.release();
		});
		this._account.isEndKnown = _statedBytes > 0;
	}

	/** Whether the bytes were given up, or are not needed any more. */
	get isReleased(): boolean {
		return this._isReleased;
	}

	get length(): number {
		return this._length;
	}

	/** If the bytes take too much memory, returns a promise that resolves once more may be appended. */
	append(chunk: Buffer): Promise<void> | undefined {
		this._length += chunk.length;
		this._account.noteArrived(chunk.length);
		let rest = chunk;
		for (let block = this._blocks.at(-1); rest.length > 0; block = this._blocks.at(-1)) {
			const room = BLOCK_BYTES - (block?.length ?? BLOCK_BYTES);
			if (room === 0) {
				this._blocks.push(new GrowingBuffer(BLOCK_BYTES));
				continue;
			}

			block!.append(rest.subarray(0, room));
			rest = rest.subarray(room);
		}

		if (this._length <= this._reservedBytes) {
			return undefined;
		}

		this._reservedBytes = Math.max(this._length, this._statedBytes, Math.min(2 * this._reservedBytes, BODY_BYTES_MAX));
		return this._account.resize(this._reservedBytes);
	}

	/** The body is complete. */
	end(): void {
		void this._account.resize(this._length);
	}

	/** Ends a promise of `append`: nothing more arrives. */
	stopWaiting(): void {
		this._account.stopWaiting();
	}

	/** Sends the bytes, which are given away, and ends the response. */
	sendTo(response: ServerResponse): void {
		this._holder = response;
		if (this._blocks.length === 1) {
			response.end(this._blocks[0]!.bytes);
			return;
		}

		const sendNext = () => {
			// What was sent before has been taken.
			void this._account.resize(this._blocks.reduce((sum, {length}) => sum + length, 0));
			for (let block = this._blocks.shift(); block !== undefined; block = this._blocks.shift()) {
				if (!response.write(block.bytes)) {
					return;
				}
			}

			response.off('drain', sendNext);
			response.end();
		};

		response.on('drain', sendNext);
		sendNext();
	}

	/** Frees the memory. */
	release(): void {
		this._isReleased = true;
		this._blocks = [];
		this._account.close();
	}
}
