/**
A program that gives processes a share of a core each: a process runs until its processor
time of a tenth of a second is used up, and is then stopped for the rest of it. It is told
of processes over the channel to its parent, and tells how late it was at most.
*/
import {readFileSync} from 'node:fs';
import process from 'node:process';

const PERIOD_MS = 100;
const POLL_MS = 1;
const NS_PER_MS = 1e6;

type Allotment = {
	readonly pid: number;
	readonly share: number;
	periodEndsAtMs: number;
	usedAtStartMs: number;
	/** What was used beyond the allotment of the period before. */
	debtMs: number;
	isStopped: boolean;
};

export type ShareMessage = {readonly pid: number; readonly share?: number};

const allotments = new Map<number, Allotment>();
let lastMs = performance.now();
let latenessMs = 0;

/** Processor time of a process's main thread. */
function usedMs(pid: number): number {
	return Number(readFileSync(`/proc/${pid}/schedstat`, 'utf8').split(' ')[0]) / NS_PER_MS;
}

function update(allotment: Allotment): void {
	const {pid, share} = allotment;
	const nowMs = performance.now();
	const used = usedMs(pid) - allotment.usedAtStartMs;
	const limitMs = (share * PERIOD_MS) - allotment.debtMs;
	if (nowMs >= allotment.periodEndsAtMs) {
		allotment.debtMs = Math.max(0, used - limitMs);
		allotment.usedAtStartMs += used;
		allotment.periodEndsAtMs += PERIOD_MS * Math.ceil((nowMs - allotment.periodEndsAtMs + 1) / PERIOD_MS);
		if (allotment.isStopped) {
			process.kill(pid, 'SIGCONT');
			allotment.isStopped = false;
		}
	} else if (!allotment.isStopped && used >= limitMs) {
		process.kill(pid, 'SIGSTOP');
		allotment.isStopped = true;
	}
}

process.on('message', ({pid, share}: ShareMessage) => {
	if (share === undefined) {
		allotments.delete(pid);
		return;
	}

	try {
		allotments.set(pid, {
			pid, share, periodEndsAtMs: performance.now() + (PERIOD_MS * ((pid % 10) / 10)), usedAtStartMs: usedMs(pid), debtMs: 0, isStopped: false,
		});
	} catch {
		// It has ended already.
	}
});
process.on('disconnect', () => {
	process.exit(0);
});
setInterval(() => {
	latenessMs = Math.max(latenessMs, performance.now() - lastMs - POLL_MS);
	lastMs = performance.now();
	for (const allotment of allotments.values()) {
		try {
			update(allotment);
		} catch {
			allotments.delete(allotment.pid);
		}
	}
}, POLL_MS);
setInterval(() => {
	process.send?.({latenessMs});
}, 500);
