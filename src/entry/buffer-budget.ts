/**
Limits the memory of all responses together that wait in this process: incomplete ones, and
complete ones that their callers have yet to take. Beyond the limit a response is not read
on, so that the rest waits at its target; one at a time may exceed the limit, so that one
always goes on. While others wait, a response that hardly moves is given up.
*/

export type BufferBudgetOptions = {
	readonly maxBytes: number;
	/** Part of each response that is not counted, so that small ones never wait. */
	readonly freeBytes?: number;
	readonly monotonicMs: () => number;
};

/** Progress that a response has to make in `STALLED_MS`, in bytes received or taken, to be kept while others wait. */
const PROGRESS_BYTES = 256 * 1024;
const STALLED_MS = 1000;
const CHECK_INTERVAL_MS = 250;
const FREE_BYTES = 64 * 1024;
/** Code of the error with which a response is given up. */
export const OVERLOAD_CODE = 'answer-overload';

type Waiter = {
	readonly account: BufferAccount;
	readonly bytes: number;
	readonly resolve: () => void;
};

/** What one response takes. */
export class BufferAccount {
	/** Bytes that count. */
	bytes = 0;
	progressBytes = 0;
	progressAtMs = 0;
	/** Whether the response states its length, so that it cannot be one without end. */
	isEndKnown = false;
	/** Bytes that have arrived since the last progress. */
	arrivedBytes = 0;

	/** `giveUp` frees the memory, and then has the account closed. */
	constructor(private readonly _budget: BufferBudget, readonly giveUp: (error: Error) => void) {}

	/** Records how much the response takes now. If that is too much, returns a promise that resolves once it may take more. */
	resize(bytes: number): Promise<void> | undefined {
		return this._budget.resize(this, bytes);
	}

	/** Records bytes that have arrived in the memory that the response takes. */
	noteArrived(bytes: number): void {
		this._budget.noteArrived(this, bytes);
	}

	/** Resolves the promise of `resize` although there is no room, for a response that will not be read on. */
	stopWaiting(): void {
		this._budget.stopWaiting(this);
	}

	close(): void {
		this._budget.close(this);
	}
}

export class BufferBudget {
	private readonly _accounts = new Set<BufferAccount>();
	/** The first one has waited the longest. */
	private readonly _waiters: Waiter[] = [];
	/** May exceed the limit until it takes nothing any more. */
	private _favored: BufferAccount | undefined;
	private _totalBytes = 0;
	private _checkTimer: NodeJS.Timeout | undefined;

	constructor(private readonly _options: BufferBudgetOptions) {}

	open(giveUp: (error: Error) => void): BufferAccount {
		return new BufferAccount(this, giveUp);
	}

	resize(account: BufferAccount, bytes: number): Promise<void> | undefined {
		const counted = Math.max(0, bytes - (this._options.freeBytes ?? FREE_BYTES));
		if (counted === account.bytes) {
			return undefined;
		}

		if (counted < account.bytes || this._isGranted(account, counted)) {
			this._take(account, counted);
			if (counted === 0 && this._favored === account) {
				this._favored = undefined;
			}

			this._serve();
			return undefined;
		}

		return new Promise(resolve => {
			const after = this._waiters.findIndex(waiter => account.isEndKnown === waiter.account.isEndKnown ? waiter.bytes > counted : account.isEndKnown);
			this._waiters.splice(after === -1 ? this._waiters.length : after, 0, {account, bytes: counted, resolve});
			this._accounts.add(account);
			this._checkTimer ??= setInterval(() => {
				this._giveUpStalled();
			}, CHECK_INTERVAL_MS).unref();
			this._serve();
		});
	}

	noteArrived(account: BufferAccount, bytes: number): void {
		account.arrivedBytes += bytes;
		if (account.arrivedBytes >= PROGRESS_BYTES) {
			account.arrivedBytes = 0;
			account.progressAtMs = this._options.monotonicMs();
		}
	}

	stopWaiting(account: BufferAccount): void {
		const index = this._waiters.findIndex(waiter => waiter.account === account);
		if (index !== -1) {
			this._waiters.splice(index, 1)[0]!.resolve();
			this._serve();
		}
	}

	close(account: BufferAccount): void {
		this.stopWaiting(account);
		this._totalBytes -= account.bytes;
		account.bytes = 0;
		this._accounts.delete(account);
		if (this._favored === account) {
			this._favored = undefined;
		}

		this._serve();
	}

	private _isGranted(account: BufferAccount, bytes: number): boolean {
		return account === this._favored || (this._waiters.length === 0 && this._fits(account, bytes));
	}

	private _fits(account: BufferAccount, bytes: number): boolean {
		return this._totalBytes + bytes - account.bytes <= this._options.maxBytes;
	}

	private _take(account: BufferAccount, bytes: number): void {
		this._totalBytes += bytes - account.bytes;
		account.bytes = bytes;
		this._accounts.add(account);
		if (account.progressAtMs === 0 || Math.abs(bytes - account.progressBytes) >= PROGRESS_BYTES) {
			account.progressBytes = bytes;
			account.progressAtMs = this._options.monotonicMs();
		}
	}

	private _serve(): void {
		for (let first = this._waiters[0]; first !== undefined; first = this._waiters[0]) {
			if (!this._fits(first.account, first.bytes)) {
				if (this._favored !== undefined) {
					return;
				}

				this._favored = first.account;
			}

			this._waiters.shift();
			this._take(first.account, first.bytes);
			first.resolve();
		}

		clearInterval(this._checkTimer);
		this._checkTimer = undefined;
	}

	/** Gives up the largest of the responses that do not wait for memory and have hardly moved. */
	private _giveUpStalled(): void {
		const stalledSinceMs = this._options.monotonicMs() - STALLED_MS;
		const waiting = new Set(this._waiters.map(({account}) => account));
		let largest: BufferAccount | undefined;
		for (const account of this._accounts) {
			if (!waiting.has(account) && account.progressAtMs <= stalledSinceMs && account.bytes > (largest?.bytes ?? 0)) {
				largest = account;
			}
		}

		largest?.giveUp(Object.assign(new Error('responses take too much memory, and this one makes no progress'), {code: OVERLOAD_CODE}));
	}
}
