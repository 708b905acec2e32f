/**
The clock that the core and the daemon read. Tests pass a virtual one.
*/

export type Clock = {
	/** Wall-clock time, for values that people read or that are stored in the table. */
	now(): Date;
	/** Monotonic time in milliseconds, for every timeout and lease check. */
	monotonicMs(): number;
};

export const systemClock: Clock = {
	now: () => new Date(),
	monotonicMs: () => performance.now(),
};
