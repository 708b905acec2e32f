/**
Limits the memory that incomplete responses take together. Beyond it the one that takes
the most is given up: it is the least likely to be a usual response.
*/

export type BufferHolder = {
	destroy(error: Error): void;
};

export class BufferBudget {
	private readonly _heldBytes = new Map<BufferHolder, number>();
	private _totalBytes = 0;

	constructor(private readonly _maxBytes: number) {}

	/** Records how much a holder takes now. */
	hold(holder: BufferHolder, bytes: number): void {
		const before = this._heldBytes.get(holder) ?? 0;
		if (bytes === before) {
			return;
		}

		this._heldBytes.set(holder, bytes);
		this._totalBytes += bytes - before;
		while (this._totalBytes > this._maxBytes) {
			this._giveUpLargest();
		}
	}

	release(holder: BufferHolder): void {
		this._totalBytes -= this._heldBytes.get(holder) ?? 0;
		this._heldBytes.delete(holder);
	}

	private _giveUpLargest(): void {
		let largest: BufferHolder | undefined;
		for (const [holder, bytes] of this._heldBytes) {
			if (largest === undefined || bytes > this._heldBytes.get(largest)!) {
				largest = holder;
			}
		}

		if (largest) {
			this.release(largest);
			largest.destroy(new Error('incomplete responses take too much memory'));
		}
	}
}
