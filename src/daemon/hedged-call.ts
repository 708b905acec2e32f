/**
Sends a call a second time, over a new connection, if the first attempt has been silent
for a while. The first success counts, and the other attempt is aborted, which closes its
connection. At the time limit, once what has arrived was read, all attempts are aborted, and
the call fails. Time in which this process was held up does not count as silence.
*/
import {startLoopTimer, type LoopTimer} from './loop-timer.js';

export type AttemptResult<Value> =
	| {readonly isDone: true; readonly value: Value}
	| {readonly isDone: false; readonly value: Value};

export type HedgeOptions<Value> = {
	/** Undefined: there is no second attempt. */
	readonly repeatAfterMs?: number;
	readonly timeoutMs: number;
	/** Runs an attempt; must not reject. */
	readonly attempt: (signal: AbortSignal, isRepeat: boolean) => Promise<AttemptResult<Value>>;
	/** The result if no attempt succeeds. */
	readonly combineFailures: (failures: readonly Value[]) => Value;
	/** Called if the second attempt succeeds while the first has still brought nothing. */
	readonly onSilent?: () => void;
};

export async function hedge<Value>({repeatAfterMs, timeoutMs, attempt, combineFailures, onSilent}: HedgeOptions<Value>): Promise<Value> {
	return new Promise(resolve => {
		const aborts: AbortController[] = [];
		const failures: Value[] = [];
		let isSettled = false;
		let repeatTimer: LoopTimer | undefined;
		const abortAll = () => {
			repeatTimer?.cancel();
			for (const abort of aborts) {
				abort.abort();
			}
		};

		const timer = startLoopTimer(timeoutMs, abortAll, {stepMs: timeoutMs});
		const settle = (value: Value) => {
			isSettled = true;
			timer.cancel();
			abortAll();
			resolve(value);
		};

		const start = (isRepeat: boolean) => {
			const abort = new AbortController();
			aborts.push(abort);
			void (async () => {
				const {isDone, value} = await attempt(abort.signal, isRepeat);
				if (isSettled) {
					return;
				}

				aborts.splice(aborts.indexOf(abort), 1);
				if (isDone) {
					if (isRepeat && failures.length === 0) {
						onSilent?.();
					}

					settle(value);
					return;
				}

				failures.push(value);
				if (aborts.length === 0) {
					// A failure that is not silence is left to the caller.
					settle(combineFailures(failures));
				}
			})();
		};

		start(false);
		if (repeatAfterMs !== undefined) {
			repeatTimer = startLoopTimer(repeatAfterMs, () => {
				start(true);
			});
		}
	});
}
