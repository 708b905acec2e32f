/**
Time as the core and the daemon see it. Tests pass a virtual clock.
*/

export type Clock = {
	/** Wall-clock time. Used for what people read and what the table keeps. */
	now(): Date;
	/** Monotonic time in milliseconds. Used for every timeout and lease check. */
	monotonicMs(): number;
};

export const systemClock: Clock = {
	now: () => new Date(),
	monotonicMs: () => performance.now(),
};
