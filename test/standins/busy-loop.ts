/**
A script for Node's `--require` that keeps the event loop busy for a while at SIGUSR2, so
that its timers run before it reads what arrived meanwhile.
*/
import {writeFileSync} from 'node:fs';
import path from 'node:path';

export function writeBusyLoop(folder: string, busyMs: number): string {
	const file = path.join(folder, `busy-loop-${busyMs}.cjs`);
	writeFileSync(file, `process.on('SIGUSR2', () => {\n\tconst endsAtMs = Date.now() + ${busyMs};\n\twhile (Date.now() < endsAtMs);\n});\n`);
	return file;
}
