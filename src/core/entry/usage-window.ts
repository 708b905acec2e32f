/**
What was used over a sliding window of time, in slots. The sum covers at least the whole
window, and at most one slot more. It costs nothing while nobody looks at it.
*/

const SLOT_MS = 250;

export class UsageWindow {
	private readonly _slots: Float64Array;
	/** Number of the newest slot since time 0. */
	private _newest = Number.NEGATIVE_INFINITY;
	private _sum = 0;

	constructor(windowMs: number) {
		this._slots = new Float64Array(Math.ceil(windowMs / SLOT_MS) + 1);
	}

	/** Adds what was used `ageMs` ago; a negative amount takes back what was added then. */
	add(amount: number, nowMs: number, ageMs = 0): void {
		this._advance(nowMs);
		const age = Math.floor(ageMs / SLOT_MS);
		if (age < this._slots.length) {
			this._slots[this._indexOf(this._newest - age)]! += amount;
			this._sum += amount;
		}
	}

	sum(nowMs: number): number {
		this._advance(nowMs);
		return Math.max(0, this._sum);
	}

	/** Sums by age, from the youngest, of periods of this length; what is older than the last one counts to the last. */
	history(nowMs: number, periodMs: number, periods: number): number[] {
		this._advance(nowMs);
		const sums = Array.from({length: periods}, () => 0);
		for (let age = 0; age < this._slots.length; age++) {
			sums[Math.min(periods - 1, Math.floor(age * SLOT_MS / periodMs))]! += this._slots[this._indexOf(this._newest - age)]!;
		}

		return sums;
	}

	/** Time until at least `amount` of the sum has left the window; undefined if it never holds that much. */
	timeUntilLess(amount: number, nowMs: number): number | undefined {
		this._advance(nowMs);
		let left = amount;
		for (let age = this._slots.length - 1; age >= 0; age--) {
			left -= this._slots[this._indexOf(this._newest - age)]!;
			if (left <= 0) {
				return ((this._newest - age + this._slots.length) * SLOT_MS) - nowMs;
			}
		}

		return undefined;
	}

	/** Multiplies all that was used by a factor. */
	scale(factor: number): void {
		for (const [index, amount] of this._slots.entries()) {
			this._slots[index] = amount * factor;
		}

		this._sum *= factor;
	}

	private _advance(nowMs: number): void {
		const current = Math.floor(nowMs / SLOT_MS);
		if (current <= this._newest) {
			return;
		}

		if (current - this._newest >= this._slots.length) {
			this._slots.fill(0);
			this._sum = 0;
		} else {
			for (let slot = this._newest + 1; slot <= current; slot++) {
				const index = this._indexOf(slot);
				this._sum -= this._slots[index]!;
				this._slots[index] = 0;
			}
		}

		this._newest = current;
	}

	private _indexOf(slot: number): number {
		return ((slot % this._slots.length) + this._slots.length) % this._slots.length;
	}
}
