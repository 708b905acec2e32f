/**
The deployed process before crowds of callers outside the limits: it lives, its memory and
descriptors stay bounded, and an ordinary request is answered afterwards.
*/
import assert from 'node:assert/strict';
import {Agent} from 'node:http';
import {readdirSync, readFileSync} from 'node:fs';
import {after, before, test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {CallerCrowd, type CrowdForm} from '../standins/caller-crowd.js';
import {PlatformBundle} from '../standins/platform-process.js';
import {StoppingProcess} from '../standins/stopping-process.js';

const MB = 1024 * 1024;
/** What an instance has. */
const MEMORY_MAX_BYTES = 272 * MB;
/** Descriptors beside those of the crowd, which has left. */
const DESCRIPTORS_MAX = 100;
/** Of callers, by the default settings. */
const CONNECTIONS_MAX = 1024;
/** For everything that the process takes; and for the ordinary request, many times what it takes. */
const SENDING_MS = 20_000;
const ANSWER_MS = 30_000;
/** The crowd stays for so long after it has sent everything. */
const STAY_MS = 4000;

const crowds = {
	'bodies with a length, short of their end': 300,
	'bodies with a length in pieces, short of their end': 300,
	'bodies of one large chunk, short of their end': 300,
	'bodies of chunks of one byte, short of their end': 150,
	'requests sent ahead for a path without a route, answers unread': 30,
} as const satisfies Partial<Record<CrowdForm, number>>;

const bundle = new PlatformBundle();
before(async () => {
	await bundle.build();
});
after(() => {
	bundle.remove();
});

/** The most memory that the process has taken so far. */
function peakBytes(pid: number): number {
	return Number(/^VmHWM:\s+(?<kilobytes>\d+) kB$/mv.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))!.groups!.kilobytes) * 1024;
}

async function waitFor(condition: () => boolean, limitMs: number): Promise<void> {
	for (let waitedMs = 0; !condition() && waitedMs < limitMs; waitedMs += 100) {
		await delay(100);
	}
}

for (const [form, count] of Object.entries(crowds) as Array<[CrowdForm, number]>) {
	// Guards against callers outside the limits that end the process by its memory, or take all of its time.
	test(`${count} callers with ${form}: the process lives within its memory, and answers afterwards`, async t => {
		const stopping = await StoppingProcess.start(bundle, {limits: {maxBodyBytes: 1_000_000}});
		const crowd = new CallerCrowd(stopping.callersPort);
		t.after(async () => {
			crowd.leave();
			await stopping.close();
		});
		const pid = stopping.process.pid!;
		await crowd.send(form, count, SENDING_MS);
		await delay(STAY_MS);
		t.diagnostic(`${Math.round(peakBytes(pid) / MB)} MB with the crowd`);
		crowd.leave();
		const answer = await Promise.race([stopping.call(new Agent(), '/read/0'), delay(ANSWER_MS)]);
		assert.equal(answer?.status, 200);
		assert.ok(answer.isWhole);
		assert.equal(stopping.exitCode, undefined);
		await waitFor(() => readdirSync(`/proc/${pid}/fd`).length <= DESCRIPTORS_MAX, ANSWER_MS);
		assert.ok(readdirSync(`/proc/${pid}/fd`).length <= DESCRIPTORS_MAX);
		const bytes = peakBytes(pid);
		t.diagnostic(`${Math.round(bytes / MB)} MB at most`);
		assert.ok(bytes <= MEMORY_MAX_BYTES, `${Math.round(bytes / MB)} MB`);
	});
}

// Guards against connections that send nothing whole and take the descriptors that requests need at targets.
test('3000 connections with heads short of their end: descriptors stay bounded, and a request is answered beside them', async t => {
	const stopping = await StoppingProcess.start(bundle, {limits: {headerTimeoutMs: 60_000}});
	const crowd = new CallerCrowd(stopping.callersPort);
	t.after(async () => {
		crowd.leave();
		await stopping.close();
	});
	const pid = stopping.process.pid!;
	let descriptors = 0;
	const sampling = setInterval(() => {
		descriptors = Math.max(descriptors, readdirSync(`/proc/${pid}/fd`).length);
	}, 20);
	t.after(() => {
		clearInterval(sampling);
	});
	await crowd.send('heads short of their end', 3000, SENDING_MS);
	await delay(STAY_MS);
	const answer = await Promise.race([stopping.call(new Agent(), '/read/0'), delay(ANSWER_MS)]);
	assert.equal(answer?.status, 200);
	assert.equal(stopping.exitCode, undefined);
	t.diagnostic(`${descriptors} descriptors, ${Math.round(peakBytes(pid) / MB)} MB at most`);
	assert.ok(descriptors <= CONNECTIONS_MAX + DESCRIPTORS_MAX, `${descriptors} descriptors`);
});
