/**
Reads a body chunk by chunk as it arrives. An async iterator would do the same with several
promises and ticks for each chunk, and streams of events have a chunk for each event.
*/
import {type Buffer} from 'node:buffer';
import {finished, type Readable} from 'node:stream';

/** Takes a chunk. `until` holds back the chunks after it; `stop` ends the reading, with a reason. */
export type TakeChunk<Reason extends string> = (chunk: Buffer) => {readonly until: Promise<void>} | {readonly stop: Reason} | undefined;

/** Resolves at the end of the body, or to the reason for which `take` ended the reading, and then destroys the body. Rejects if the body breaks off or `take` fails. */
export async function readChunks<Reason extends string = string>(body: Readable, take: TakeChunk<Reason>): Promise<Reason | undefined> {
	return new Promise((resolve, reject) => {
		let held: Promise<void> | undefined;
		let isSettled = false;
		const settle = (run: () => void) => {
			if (!isSettled) {
				isSettled = true;
				body.off('data', onData);
				run();
			}
		};

		const fail = (error: unknown) => {
			settle(() => {
				body.destroy();
				// eslint-disable-next-line @typescript-eslint/prefer-promise-reject-errors -- passed on as it was thrown
				reject(error);
			});
		};

		const hold = async (until: Promise<void>) => {
			body.pause();
			held = until;
			try {
				await until;
				held = undefined;
				if (!isSettled) {
					body.resume();
				}
			} catch (error) {
				fail(error);
			}
		};

		function onData(chunk: Buffer): void {
			try {
				const taken = take(chunk);
				if (taken === undefined) {
					return;
				}

				if ('until' in taken) {
					void hold(taken.until);
					return;
				}

				settle(() => {
					body.destroy();
					resolve(taken.stop);
				});
			} catch (error) {
				fail(error);
			}
		}

		const end = async (error: Error | null | undefined) => {
			try {
				// What was taken before the body broke off is passed on completely first.
				await held;
			} catch {
				// Reported by what waits for it.
			}

			settle(() => {
				if (error) {
					reject(error);
				} else {
					resolve(undefined);
				}
			});
		};

		finished(body, {writable: false}, error => {
			void end(error);
		});
		body.on('data', onData);
	});
}
