/**
What the cases share: the record of a run, its verdict as the exit code, and the end of all
that was started.
*/
/* eslint-disable no-await-in-loop -- the steps follow one another */
/* eslint-disable no-void -- the promise is not awaited on purpose */
import {writeFileSync} from 'node:fs';
import {performance} from 'node:perf_hooks';
import process from 'node:process';

const EXIT_HELD = 0;
const EXIT_BROKEN = 1;
const EXIT_NOT_RUN = 2;
const LONGEST_RUN_MS = 115_000;

export class Record {
	lines = [];
	#startedAtMs = performance.now();

	constructor(file) {
		this.file = file;
	}

	/** `atMs` by the clock of `performance`; now if absent. */
	note(text, atMs = performance.now()) {
		this.lines.push({atMs, text});
	}

	write() {
		const ordered = this.lines.toSorted((a, b) => a.atMs - b.atMs);
		writeFileSync(this.file, ordered.map(({atMs, text}) => `${((atMs - this.#startedAtMs) / 1000).toFixed(3)} ${text}\n`).join(''));
	}
}

/** Runs a case, whose `play` resolves to the descriptions of what broke the rule. */
export async function runCase(file, {hasTrouble}, play) {
	const record = new Record(file);
	const closers = [];
	let isTooLong = false;
	const timer = setTimeout(() => {
		isTooLong = true;
		record.note('the case took too long');
		record.write();
		process.exitCode = EXIT_NOT_RUN;
		void closeAll(closers);
	}, LONGEST_RUN_MS);
	try {
		record.note(hasTrouble ? 'with the disruption' : 'without the disruption');
		const broken = await play(record, closer => {
			closers.unshift(closer);
		});
		for (const text of broken) {
			record.note(`BROKEN ${text}`);
		}

		record.note(broken.length > 0 ? `the rule was broken ${broken.length} times` : 'the rule held');
		process.exitCode = broken.length > 0 ? EXIT_BROKEN : EXIT_HELD;
	} catch (error) {
		record.note(`the case could not run: ${error.stack}`);
		process.exitCode = EXIT_NOT_RUN;
	}

	clearTimeout(timer);
	if (isTooLong) {
		process.exitCode = EXIT_NOT_RUN;
		return;
	}

	await closeAll(closers);
	record.write();
	process.stdout.write(`${record.lines.at(-1).text}\n`);
}

async function closeAll(closers) {
	for (const close of closers) {
		await close();
	}
}
