/**
Waits until the event loop has read what has arrived, before something is decided by its
absence.
*/
import {setImmediate} from 'node:timers/promises';

/** Resolves once the event loop has read everything that has arrived by now; a round that goes on may have read a part of it before. */
export async function readArrived(): Promise<void> {
	await setImmediate();
	await setImmediate();
}
