/**
How late a process of the soak is, seen by a timer.
*/

const POLL_MS = 10;
const LATE_MS = 20;

/** A moment, and by how many milliseconds a timer was late then. */
export type Lateness = readonly [atMs: number, lateMs: number];

export function longest(lateness: readonly Lateness[]): string {
	return Math.max(0, ...lateness.map(([, lateMs]) => lateMs)).toFixed(0);
}

/** Notes each moment at which the timer is over 20 ms late, until the returned function is called. */
export function watchLateness(nowMs: () => number, lateness: Lateness[], onTick?: (nowMs: number) => void): () => void {
	let lastMs = nowMs();
	const timer = setInterval(() => {
		const lateMs = nowMs() - lastMs - POLL_MS;
		lastMs = nowMs();
		if (lateMs > LATE_MS) {
			lateness.push([lastMs, lateMs]);
		}

		onTick?.(lastMs);
	}, POLL_MS);
	return () => {
		clearInterval(timer);
	};
}
