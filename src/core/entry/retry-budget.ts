/**
Retry budget of this instance for the targets of one service. The deployment limits
retries over all instances to a share of the requests plus a constant in a sliding
window. Each instance keeps to that share of its own requests and to an equal part of
the constant, so that their sum stays within the limit without coordination.
*/

/** Share of the limit that is used; the rest covers requests and retries that cross the edge of a window. */
const USED_SHARE = 0.7;
const BUCKETS = 10;

export class RetryBudget {
	private readonly _requests: number[] = Array.from({length: BUCKETS}, () => 0);
	private readonly _retries: number[] = Array.from({length: BUCKETS}, () => 0);
	private _bucket = 0;

	constructor(private readonly _windowMs: number) {}

	recordRequest(nowMs: number): void {
		this._advance(nowMs);
		this._requests[this._bucket % BUCKETS]!++;
	}

	/** Takes one retry from the budget; returns false when fewer than `reserve` would be left. */
	take(nowMs: number, share: number, slack: number, reserve = 0): boolean {
		if (this.remaining(nowMs, share, slack) < 1 + reserve) {
			return false;
		}

		this._retries[this._bucket % BUCKETS]!++;
		return true;
	}

	remaining(nowMs: number, share: number, slack: number): number {
		this._advance(nowMs);
		return (((sum(this._requests) * share) + slack) * USED_SHARE) - sum(this._retries);
	}

	private _advance(nowMs: number): void {
		const bucket = Math.floor(nowMs / (this._windowMs / BUCKETS));
		for (let next = Math.max(this._bucket + 1, bucket - BUCKETS + 1); next <= bucket; next++) {
			this._requests[next % BUCKETS] = 0;
			this._retries[next % BUCKETS] = 0;
		}

		this._bucket = Math.max(this._bucket, bucket);
	}
}

function sum(values: readonly number[]): number {
	return values.reduce((total, value) => total + value, 0);
}
