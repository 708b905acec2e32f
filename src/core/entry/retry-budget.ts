/**
Repeats that this instance may send to the targets of one service. The deployment
bounds repeats over all instances by a share of the requests and a constant in a
sliding window; each instance keeps to the share of its own requests and to an equal
part of the constant, so that the sum keeps the bound without coordination.
*/

/** Part of the bound that is used, the rest covers requests and repeats that cross a window's edge. */
const USED_PART = 0.7;
const BUCKETS = 10;

export class RetryBudget {
	private readonly _requests: number[] = Array.from({length: BUCKETS}, () => 0);
	private readonly _repeats: number[] = Array.from({length: BUCKETS}, () => 0);
	private _bucket = 0;

	constructor(private readonly _windowMs: number) {}

	noteRequest(nowMs: number): void {
		this._turn(nowMs);
		this._requests[this._bucket % BUCKETS]!++;
	}

	/** Takes one repeat if the bound allows it. */
	take(nowMs: number, share: number, slackPart: number): boolean {
		if (this.left(nowMs, share, slackPart) < 1) {
			return false;
		}

		this._repeats[this._bucket % BUCKETS]!++;
		return true;
	}

	left(nowMs: number, share: number, slackPart: number): number {
		this._turn(nowMs);
		return (((sum(this._requests) * share) + slackPart) * USED_PART) - sum(this._repeats);
	}

	private _turn(nowMs: number): void {
		const bucket = Math.floor(nowMs / (this._windowMs / BUCKETS));
		for (let next = Math.max(this._bucket + 1, bucket - BUCKETS + 1); next <= bucket; next++) {
			this._requests[next % BUCKETS] = 0;
			this._repeats[next % BUCKETS] = 0;
		}

		this._bucket = Math.max(this._bucket, bucket);
	}
}

function sum(values: readonly number[]): number {
	return values.reduce((total, value) => total + value, 0);
}
