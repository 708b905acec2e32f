/**
Worker thread: runs the tasks that it is sent, one after the other.
*/
import {parentPort} from 'node:worker_threads';
import {runOnce, type RunTask} from './run.js';

parentPort?.on('message', ({index, task}: {index: number; task: RunTask}) => {
	parentPort?.postMessage({index, summary: runOnce(task)});
});
