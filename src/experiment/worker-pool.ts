/**
Spreads runs over worker threads, at most half of the processor's cores. Results come in
the order of the tasks, whatever the number of threads.
*/
import {availableParallelism} from 'node:os';
import process from 'node:process';
import {Worker} from 'node:worker_threads';
import {type RunSummary, type RunTask} from './run.js';

export type PoolOptions = {
	readonly onProgress?: (done: number) => void;
};

export async function runAll(tasks: readonly RunTask[], {onProgress}: PoolOptions = {}): Promise<RunSummary[]> {
	const summaries: RunSummary[] = [];
	const threads = Math.max(1, Math.min(tasks.length, Math.floor(availableParallelism() / 2)));
	let next = 0;
	let done = 0;
	await Promise.all(Array.from({length: threads}, async () => new Promise<void>((resolve, reject) => {
		const worker = new Worker(new URL('worker.js', import.meta.url), {execArgv: []});
		const sendNext = () => {
			if (next < tasks.length) {
				worker.postMessage({index: next, task: tasks[next]});
				next++;
			} else {
				void worker.terminate();
				resolve();
			}
		};

		worker.on('message', ({index, summary}: {index: number; summary: RunSummary}) => {
			summaries[index] = summary;
			done++;
			onProgress?.(done);
			sendNext();
		});
		worker.on('error', reject);
		sendNext();
	})));
	return summaries;
}
