/**
The log of the deployed process names every request that was passed on and ends without a
whole answer, with the reason, who closed the connection, and what was left of it; also
while other lines flood the log and its reader is slow, and before the process is killed.
*/
import assert from 'node:assert/strict';
import {writeFileSync} from 'node:fs';
import {Agent, type ServerResponse} from 'node:http';
import {connect, type Socket} from 'node:net';
import path from 'node:path';
import {performance} from 'node:perf_hooks';
import {
	after, before, test, type TestContext,
} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {PlatformBundle} from '../standins/platform-process.js';
import {
	GRACE_MS, StoppingProcess, type LogLine, type RunHandler, type StoppingProcessOptions,
} from '../standins/stopping-process.js';

const EVENT = 'id: 1\ndata: x\n\n';
const LARGE_BYTES = 6 * 1024 * 1024;
const GAP_MS = 100;

const bundle = new PlatformBundle();
before(async () => {
	await bundle.build();
});
after(() => {
	bundle.remove();
});

/** Writes events until its connection closes. */
async function writeEvents(response: ServerResponse): Promise<void> {
	for (let event = 1; !response.destroyed; event++) {
		response.write(`id: ${event}\ndata: x\n\n`);
		await delay(GAP_MS);
	}
}

const streamHeaders = {'content-type': 'text/event-stream'};

/** Runs by the last part of a path. */
const behaviours: Readonly<Record<string, RunHandler>> = {
	async stream(_request, response, headers) {
		response.writeHead(200, {...headers, ...streamHeaders});
		await writeEvents(response);
	},
	reset(_request, response, headers) {
		response.writeHead(200, {...headers, ...streamHeaders}).write(EVENT);
		setTimeout(() => {
			response.socket?.resetAndDestroy();
		}, GAP_MS);
	},
	cut(_request, response, headers) {
		response.writeHead(200, {...headers, ...streamHeaders}).write(EVENT);
		setTimeout(() => {
			response.end('id: 2\nda');
		}, GAP_MS);
	},
	large(_request, response, headers) {
		response.writeHead(200, headers).end('x'.repeat(LARGE_BYTES));
	},
	none() {
		// Never answers.
	},
};

const run: RunHandler = async (request, response, headers) => behaviours[request.url?.split('/', 3)[2] ?? '']?.(request, response, headers);

async function start(t: TestContext, options: StoppingProcessOptions = {}): Promise<StoppingProcess> {
	const stopping = await StoppingProcess.start(bundle, {handlers: {'i-1': run, 'i-2': run}, ...options});
	t.after(async () => {
		await stopping.close();
	});
	return stopping;
}

/** Sends a request on a connection of its own. */
class RawCaller {
	readonly socket: Socket;
	text = '';

	/** `readsAll`: whether it reads on once the answer has begun. */
	constructor(port: number, {readsAll = true} = {}) {
		this.socket = connect(port, '127.0.0.1');
		this.socket.on('error', () => undefined);
		this.socket.on('data', data => {
			this.text += data.toString('latin1').slice(0, 1000);
			if (!readsAll) {
				this.socket.pause();
			}
		});
	}

	send(target: string, id: string, {framing = 'Content-Length: 4\r\n\r\nbody', deadlineMs = 20_000} = {}): this {
		this.socket.write(`POST ${target} HTTP/1.1\r\nHost: a.example\r\nX-Pollenarch-Request-Id: ${id}\r\nX-Pollenarch-Request-Deadline: ${deadlineMs}\r\n${framing}`);
		return this;
	}
}

/** The lines that tell how a request ended without a whole answer. */
function endsOf(stopping: StoppingProcess, id: string): LogLine[] {
	return stopping.linesOf(id).filter(({event}) => event === 218 || event === 205);
}

async function waitFor(condition: () => boolean): Promise<void> {
	for (let polls = 0; !condition(); polls++) {
		assert.ok(polls < 400, 'timed out');
		await delay(25);
	}
}

async function endOf(stopping: StoppingProcess, id: string): Promise<LogLine> {
	await waitFor(() => endsOf(stopping, id).length > 0);
	await delay(50);
	const ends = endsOf(stopping, id);
	assert.equal(ends.length, 1, JSON.stringify(ends));
	return ends[0]!;
}

type End = {
	readonly target: string;
	/** Called once the answer has begun. */
	readonly end?: (caller: RawCaller) => void;
	readonly framing?: string;
	readonly deadlineMs?: number;
	readonly readsAll?: boolean;
	/** Whether the answer begins before `end` is called; else the request has reached its target by then. */
	readonly begins?: boolean;
	/** Limit for the time from `end` to the line. */
	readonly withinMs?: number;
	readonly expected: Readonly<Record<string, unknown>>;
	readonly tries: readonly RegExp[];
};

const ends: Readonly<Record<string, End>> = {
	'its time is over': {
		target: '/ask/stream', deadlineMs: 900, expected: {
			reason: 'deadline', level: 30, closedBy: 'instance', headSent: true, framing: 'length', bodyBytes: 4,
		}, tries: [/^i-\d:canceled$/v],
	},
	'both targets reset their connections': {
		target: '/ask/reset', framing: 'Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n', expected: {
			reason: 'attempts-used', level: 30, closedBy: 'instance', headSent: true, framing: 'chunks', delivered: 1,
		}, tries: [/^i-\d:broken:(?:ECONNRESET|UND_ERR_SOCKET)$/v, /^i-\d:broken:\S+$/v],
	},
	'both targets end in the middle of an event': {
		target: '/ask/cut', expected: {
			reason: 'attempts-used', level: 30, closedBy: 'instance', headSent: true,
		}, tries: [/^i-\d:broken:event-cut$/v, /^i-\d:broken:event-cut$/v],
	},
	'its caller resets the connection': {
		target: '/ask/stream', end(caller) {
			caller.socket.resetAndDestroy();
		}, expected: {
			reason: 'connection-error', level: 30, closedBy: 'caller', closeCode: 'ECONNRESET', headSent: true,
		}, tries: [/^i-\d:canceled$/v],
	},
	'its caller closes the connection': {
		target: '/ask/stream', end(caller) {
			caller.socket.destroy();
		}, withinMs: 500, expected: {
			reason: 'caller-ended', level: 30, closedBy: 'caller', headSent: true,
		}, tries: [/^i-\d:canceled$/v],
	},
	'its caller closes the connection before the answer': {
		target: '/ask/none', begins: false, end(caller) {
			caller.socket.destroy();
		}, withinMs: 500, expected: {
			reason: 'caller-ended', level: 30, closedBy: 'caller', headSent: false,
		}, tries: [/^i-\d:canceled$/v],
	},
	'its caller closes its sending side, and then the connection': {
		target: '/ask/stream', end(caller) {
			caller.socket.end();
			setTimeout(() => {
				caller.socket.destroy();
			}, 150);
		}, withinMs: 650, expected: {
			reason: 'caller-ended', level: 30, closedBy: 'caller', headSent: true,
		}, tries: [/^i-\d:canceled$/v],
	},
	'its caller leaves an answer unread': {
		target: '/read/large', end(caller) {
			setTimeout(() => {
				caller.socket.resetAndDestroy();
			}, 300);
		}, readsAll: false, expected: {
			reason: 'answer-unread', level: 40, closedBy: 'caller', headSent: true, outcome: 'decided',
		}, tries: [/^i-\d:answered$/v],
	},
};

// Guards against a request without a whole answer whose record does not name the cause.
test('each end of a request that was passed on has one line with its reason', async t => {
	const stopping = await start(t);
	for (const [name, {target, end, framing, deadlineMs, readsAll, begins = true, withinMs = Number.POSITIVE_INFINITY, expected, tries}] of Object.entries(ends)) {
		await t.test(name, async () => {
			const id = name.replaceAll(' ', '-');
			const caller = new RawCaller(stopping.callersPort, {readsAll}).send(target, id, {framing, deadlineMs});
			await waitFor(() => begins ? caller.text.includes('\r\n\r\n') : stopping.runs.has(id));
			const endAtMs = Date.now();
			end?.(caller);
			const line = await endOf(stopping, id);
			assert.ok(Number(line.time) - endAtMs <= withinMs, `${Number(line.time) - endAtMs} ms`);
			assert.deepEqual(Object.fromEntries(Object.keys(expected).map(key => [key, line[key]])), expected, JSON.stringify(line));
			const named = line.tries as string[];
			assert.equal(named.length, tries.length, named.join(' '));
			for (const [index, pattern] of tries.entries()) {
				assert.match(named[index]!, pattern);
			}

			for (const field of ['leftMs', 'bodyMs', 'unreadBytes', 'unsentBytes']) {
				assert.equal(typeof line[field], 'number', field);
			}

			// What names the cause comes first, since records may show only the beginnings of lines.
			const beginning = JSON.stringify(line).slice(0, 200);
			assert.match(beginning, /"reason".*"(?:tookMs|openForMs)".*"closedBy"/v);
			assert.equal(line.lifecycle, 'serving');
			caller.socket.destroy();
		});
	}
});

/** Has other requests refused, each with a line, until the process has gone. */
async function flood(stopping: StoppingProcess): Promise<number> {
	const agent = new Agent({keepAlive: true});
	let sent = 0;
	const callAgain = async (): Promise<void> => {
		while (!Number.isFinite(stopping.exitedAtMs)) {
			sent++;
			const {status} = await stopping.call(agent, '/nowhere');
			if (status === undefined) {
				break;
			}
		}
	};

	await Promise.all(Array.from({length: 20}, callAgain));
	agent.destroy();
	return sent;
}

// Guards against lines of requests that a stop cuts off (LOST) which are lost with the process: dropped among others, or not written when it ends.
for (const [reader, logBytesPerSecond, floodedMs] of [['quick', undefined, 1000], ['slow', 60_000, 5000]] as const) {
	test(`a stop names each request that it cuts off while other lines flood the log and its reader is ${reader}`, async t => {
		const stopping = await start(t, {logBytesPerSecond});
		const streams = Array.from({length: 10}, (_, index) => new RawCaller(stopping.callersPort).send('/ask/stream', `stream-${index}`));
		await waitFor(() => streams.every(({text}) => text.includes(EVENT)));
		const flooded = flood(stopping);
		await delay(floodedMs);
		const brief = Array.from({length: 10}, (_, index) => new RawCaller(stopping.callersPort).send('/ask/stream', `brief-${index}`, {deadlineMs: 1500}));
		await waitFor(() => brief.every(({text}) => text.includes(EVENT)));
		const signalledAtMs = performance.now();
		stopping.process.kill('SIGTERM');
		await delay(200);
		const unread = new RawCaller(stopping.callersPort, {readsAll: false}).send('/read/large', 'unread');
		await waitFor(() => unread.text.includes('\r\n\r\n'));
		await stopping.exit(signalledAtMs);
		t.diagnostic(`${await flooded} others, ${stopping.lines.length} lines, ${JSON.stringify(stopping.lines.findLast(({event}) => event === 109)?.linesLeftOut)} left out`);
		for (const index of streams.keys()) {
			const [line, ...others] = endsOf(stopping, `stream-${index}`);
			assert.deepEqual([line?.reason, line?.closedBy, line?.headSent, others.length], ['instance-stopped', 'instance', true, 0], JSON.stringify(line));
			assert.ok(Number(line?.sinceStopMs) >= GRACE_MS * 5 / 6, `${String(line?.sinceStopMs)} ms`);
		}

		for (const index of brief.keys()) {
			const [line, ...others] = endsOf(stopping, `brief-${index}`);
			assert.deepEqual([line?.reason, line?.lifecycle, others.length], ['deadline', 'draining', 0], JSON.stringify(line));
		}

		const [line, ...others] = endsOf(stopping, 'unread');
		assert.deepEqual([line?.reason, line?.outcome, others.length], ['process-stopped', 'decided', 0], JSON.stringify(line));
		assert.ok(Number(line?.unsentBytes) > 0, 'nothing unsent');
		const stopped = stopping.lines.find(({event}) => event === 109);
		assert.ok(Number(stopped?.openRequests) >= 1, JSON.stringify(stopped));
		assert.ok(Number(stopping.lines.find(({event}) => event === 101)?.connections) >= 10, 'no count of connections');
		assert.equal(stopping.exitCode, 0);
		unread.socket.destroy();
	});
}

// Guards against requests that end with a killed process and that no line names.
test('a process that is killed while it stops has named its open requests', async t => {
	const stopping = await start(t);
	const streams = Array.from({length: 25}, (_, index) => new RawCaller(stopping.callersPort).send('/ask/stream', `stream-${index}`));
	const silent = new RawCaller(stopping.callersPort).send('/sign/none', 'silent');
	await waitFor(() => streams.every(({text}) => text.includes(EVENT)));
	stopping.process.kill('SIGTERM');
	await delay(GRACE_MS * 0.7);
	stopping.process.kill('SIGKILL');
	await waitFor(() => Number.isFinite(stopping.exitedAtMs));
	const named = stopping.lines.filter(({event}) => event === 108).flatMap(({requests}) => requests as string[]);
	for (const index of streams.keys()) {
		assert.ok(named.some(text => text.startsWith(`stream-${index} begun `)), `stream-${index}: ${named.join(', ')}`);
	}

	assert.ok(named.some(text => /^silent open \d+ \d+ i-\d:open$/v.test(text)), named.join(', '));
	silent.socket.destroy();
});

/** A script that has the program throw, or exit, when it gets a signal. */
function writeFault(): string {
	const file = path.join(bundle.folder, 'fault.cjs');
	writeFileSync(file, 'process.on(\'SIGUSR2\', () => { throw new Error(\'unexpected\'); });\nprocess.on(\'SIGWINCH\', () => { process.exit(3); });\n');
	return file;
}

// Guards against lines that are lost with a process that ends by an error.
test('a process that throws tells of it at once and goes on, and one that exits names its open requests', async t => {
	const stopping = await start(t, {nodeArguments: ['--require', writeFault()]});
	const streams = Array.from({length: 5}, (_, index) => new RawCaller(stopping.callersPort).send('/ask/stream', `stream-${index}`));
	await waitFor(() => streams.every(({text}) => text.includes(EVENT)));
	stopping.process.kill('SIGUSR2');
	await waitFor(() => stopping.lines.some(({event, effect}) => event === 103 && effect === 'uncaughtException'));
	assert.deepEqual(streams.flatMap((_, index) => endsOf(stopping, `stream-${index}`)), []);
	stopping.process.kill('SIGWINCH');
	await waitFor(() => Number.isFinite(stopping.exitedAtMs));
	assert.equal(stopping.exitCode, 3);
	for (const index of streams.keys()) {
		const [line, ...others] = endsOf(stopping, `stream-${index}`);
		assert.deepEqual([line?.reason, line?.lifecycle, line?.outcome, others.length], ['process-stopped', 'serving', 'open', 0], JSON.stringify(line));
	}
});

// Guards against records that do not tell a process that has come back from the one before it, nor how late it is.
test('a process tells of its first request and of its first seconds', async t => {
	const stopping = await start(t);
	await waitFor(() => stopping.lines.some(({event}) => event === 111));
	assert.equal(typeof stopping.lines.find(({event}) => event === 110)?.sinceStartMs, 'number');
	const line = stopping.lines.find(({event}) => event === 111);
	assert.ok(Number(line?.requests) >= 1, JSON.stringify(line));
	assert.equal(typeof line?.worstLateMs, 'number');
});
