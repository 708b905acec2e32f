/**
A timer for the silence of others. It counts only time in which the event loop kept up: a
process that was held up, or has less processor time than work, finds answers that arrived
long ago unread, and its own delay says nothing about who sent them. Before it fires, what
has arrived is read.
*/

/** Part of the time that is counted at once. A longer delay of the event loop counts as this much. */
const STEP_MS = 50;

export type LoopTimer = {
	cancel(): void;
};

export type LoopTimerOptions = {
	/** Part of the time that is counted at once; as long as the timer itself for one that only reads what has arrived before it fires. */
	readonly stepMs?: number;
};

/** Runs `onSilence` after `ms` milliseconds in which the event loop kept up. */
export function startLoopTimer(ms: number, onSilence: () => void, {stepMs: maxStepMs = STEP_MS}: LoopTimerOptions = {}): LoopTimer {
	let remainingMs = ms;
	let isCanceled = false;
	let timer: NodeJS.Timeout | undefined;
	const run = () => {
		if (!isCanceled) {
			onSilence();
		}
	};

	const step = () => {
		if (remainingMs > 0) {
			const stepMs = Math.min(maxStepMs, remainingMs);
			remainingMs -= stepMs;
			timer = setTimeout(step, stepMs);
			return;
		}

		// Sockets are read between the two: immediates run right after timers have delayed a round.
		setImmediate(() => {
			setImmediate(run);
		});
	};

	step();
	return {
		cancel() {
			isCanceled = true;
			clearTimeout(timer);
		},
	};
}
