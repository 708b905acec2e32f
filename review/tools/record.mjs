/**
Writes what was sent, answered and run to a file, one line each with the time in milliseconds.
*/
import {writeFileSync} from 'node:fs';
import {performance} from 'node:perf_hooks';

export class Record {
	#lines = [];
	#startMs = performance.now();

	constructor(file) {
		this.file = file;
	}

	nowMs() {
		return performance.now() - this.#startMs;
	}

	add(kind, fields = {}) {
		const text = Object.entries(fields).map(([name, value]) => `${name}=${typeof value === 'object' ? JSON.stringify(value) : String(value)}`).join(' ');
		this.#lines.push(`${this.nowMs().toFixed(1).padStart(10)} ${kind} ${text}`);
	}

	save() {
		writeFileSync(this.file, `${this.#lines.join('\n')}\n`);
	}
}
