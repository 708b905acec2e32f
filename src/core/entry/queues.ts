/**
Waiting queues by key: requests with the same key can be served by the same targets.
*/
import {type EntryState} from './state.js';
import {WaitingQueue} from './waiting-queue.js';

export function queueKeyOf(service: string, model: string | undefined): string {
	return model === undefined ? service : `${service} ${model}`;
}

export function queueOf(state: EntryState, key: string): WaitingQueue {
	let queue = state.queues.get(key);
	if (!queue) {
		queue = new WaitingQueue({putsPunctualFirst: state.mechanisms.has('punctual-first')});
		state.queues.set(key, queue);
	}

	return queue;
}
