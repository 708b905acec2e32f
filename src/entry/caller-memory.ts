/**
The memory that the connections of callers hold together: input that waits to be parsed,
bodies that arrive or are kept for their requests, and responses that are not taken. Beyond
the limit, the connection that holds the most is given up, unless a request on it is being
served.
*/

export type CallerMemoryOptions = {
	readonly maxBytes: number;
};

/** What a connection is to the memory that it holds. */
export type MemoryHolder = {
	/** Whether the connection may be given up. */
	readonly isExpendable: boolean;
	/** Releases most of the memory at once. */
	giveUp(): void;
};

export class MemoryAccount {
	bytes = 0;

	constructor(private readonly _memory: CallerMemory, readonly holder: MemoryHolder) {}

	/** Records how much the connection holds now, which may have it given up. */
	resize(bytes: number): void {
		this._memory.resize(this, bytes);
	}
}

export class CallerMemory {
	private readonly _accounts = new Set<MemoryAccount>();
	private _totalBytes = 0;

	constructor(private readonly _options: CallerMemoryOptions) {}

	get totalBytes(): number {
		return this._totalBytes;
	}

	open(holder: MemoryHolder): MemoryAccount {
		const account = new MemoryAccount(this, holder);
		this._accounts.add(account);
		return account;
	}

	resize(account: MemoryAccount, bytes: number): void {
		if (!this._accounts.has(account)) {
			return;
		}

		const isGrowing = bytes > account.bytes;
		this._totalBytes += bytes - account.bytes;
		account.bytes = bytes;
		if (isGrowing && this._totalBytes > this._options.maxBytes) {
			this._giveUpLargest();
		}
	}

	close(account: MemoryAccount): void {
		if (this._accounts.delete(account)) {
			this._totalBytes -= account.bytes;
		}
	}

	private _giveUpLargest(): void {
		let largest: MemoryAccount | undefined;
		for (const account of this._accounts) {
			if (account.bytes > (largest?.bytes ?? 0) && account.holder.isExpendable) {
				largest = account;
			}
		}

		if (largest) {
			// Closed first: what it still holds is freed with its connection.
			this.close(largest);
			largest.holder.giveUp();
		}
	}
}
