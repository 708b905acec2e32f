/**
What the operating system holds for a real process: connections that wait while it starts,
answers that it has taken and their callers have not, and kept connections at its end.
*/
import assert from 'node:assert/strict';
import {fork} from 'node:child_process';
import {once} from 'node:events';
import {Agent} from 'node:http';
import {connect, type Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {
	after, before, test, type TestContext,
} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {type ShareMessage} from '../soak/shape/processor-share.js';
import {PlatformBundle} from '../standins/platform-process.js';
import {
	GRACE_MS, StoppingProcess, type Outcome, type RunHandler,
} from '../standins/stopping-process.js';

const SHARE = 0.46;
const REQUESTS_PER_S = 110;
const DEADLINE_MS = 4000;
/** A connection that is closed sooner crosses the request. */
const CROSSING_MS = 500;
/** Within the backlog of a listening socket. */
const WAITING_CONNECTIONS = 150;
const KEPT_CONNECTIONS = 40;
/** The operating system takes all of the first ones at once, and not all of the last. */
const ANSWER_BYTES = [50_000, 400_000, 7_900_000];

const bundle = new PlatformBundle();
before(async () => {
	await bundle.build();
});
after(() => {
	bundle.remove();
});

async function start(t: TestContext, handler?: RunHandler): Promise<StoppingProcess> {
	const stopping = await StoppingProcess.start(bundle, handler && {handlers: {'i-1': handler, 'i-2': handler}});
	t.after(async () => {
		await stopping.close();
	});
	return stopping;
}

function describe(outcomes: readonly Outcome[], sinceMs: number): string[] {
	return outcomes.map(({path, sentAtMs, endedAtMs, status, isWhole, error}) => `${path} sent ${Math.round(sentAtMs - sinceMs)} ended ${Math.round(endedAtMs - sinceMs)}: ${status ?? error}${isWhole ? '' : ', not whole'}`);
}

function countStatuses(outcomes: readonly Outcome[]): string {
	const counts: Record<string, number> = {};
	for (const {status, error} of outcomes) {
		const outcome = String(status ?? error);
		counts[outcome] = (counts[outcome] ?? 0) + 1;
	}

	return JSON.stringify(counts);
}

/** Stops the process and starts it again at the same addresses. */
async function restart(stopping: StoppingProcess): Promise<void> {
	stopping.process.kill('SIGTERM');
	await stopping.exit(performance.now());
	stopping.startProcess(bundle);
}

async function untilListening(stopping: StoppingProcess): Promise<void> {
	for (let isOpen = false; !isOpen;) {
		const socket = connect(stopping.callersPort, '127.0.0.1');
		isOpen = await new Promise(resolve => {
			socket.once('connect', () => {
				resolve(true);
			});
			socket.once('error', () => {
				resolve(false);
			});
		});
		socket.destroy();
	}
}

// Guards against requests that a process which is just back passes on and cuts off, since it is cold, late and short of time (LOST).
test('a process that comes back to twice its traffic with a part of a core cuts off no request', async t => {
	const stopping = await start(t);
	await restart(stopping);
	const startedAtMs = performance.now();
	const shares = fork(fileURLToPath(new URL('../soak/shape/processor-share.ts', import.meta.url)), {execArgv: ['--import', 'tsx']});
	t.after(async () => {
		shares.disconnect();
		await once(shares, 'exit');
	});
	const message: ShareMessage = {pid: stopping.process.pid!, share: SHARE};
	shares.send(message);
	const agent = new Agent({keepAlive: true});
	t.after(() => {
		agent.destroy();
	});
	const calls: Array<Promise<Outcome>> = [];
	for (let sent = 0, dueAtMs = startedAtMs; dueAtMs < startedAtMs + 5000; sent++, dueAtMs += 1000 / REQUESTS_PER_S) {
		await delay(Math.max(0, dueAtMs - performance.now()));
		calls.push(stopping.call(sent % 2 === 0 ? agent : new Agent(), `/${['ask', 'late', 'read', 'sign'][sent % 4]!}/${(sent * 37) % 1500}`, sent % 5 === 0 ? 30 : 0, DEADLINE_MS));
	}

	const outcomes = await Promise.all(calls);
	const taken = outcomes.filter(({error}) => error !== 'ECONNREFUSED');
	const early = taken.filter(({sentAtMs}) => sentAtMs < taken[0]!.sentAtMs + 1000);
	t.diagnostic(`${countStatuses(outcomes)}, in the first second of the listener ${countStatuses(early)}, refused without a configuration ${stopping.lines.filter(({code}) => code === 'no-configuration').length}`);
	assert.deepEqual(describe(outcomes.filter(({id, isWhole, sentAtMs, endedAtMs}) => !isWhole && (stopping.runs.has(id) ? endedAtMs - sentAtMs < DEADLINE_MS : endedAtMs - sentAtMs > CROSSING_MS)), startedAtMs), []);
	assert.ok(outcomes.some(({status}) => status === 200));
});

// Guards against connections that are reset, or requests that are not answered, since they came as soon as the listener was open.
test('requests that wait to be accepted while a process starts get a whole answer', async t => {
	const stopping = await start(t);
	await restart(stopping);
	await untilListening(stopping);
	stopping.process.kill('SIGSTOP');
	const heldAtMs = performance.now();
	const calls = Array.from({length: WAITING_CONNECTIONS}, async (_, index) => stopping.call(new Agent(), `/${['ask', 'read', 'sign'][index % 3]!}/${index}`));
	await delay(700);
	stopping.process.kill('SIGCONT');
	const outcomes = await Promise.all(calls);
	t.diagnostic(countStatuses(outcomes));
	assert.deepEqual(describe(outcomes.filter(({isWhole}) => !isWhole), heldAtMs), []);
	// What was refused is said to have not run, and when to come again.
	assert.deepEqual(describe(outcomes.filter(({id, status, retryAfter}) => status !== 200 && !(status === 503 && retryAfter !== undefined && !stopping.runs.has(id))), heldAtMs), []);
});

/** Reads nothing of an answer but its beginning until told to. */
class PausingCaller {
	bytes = 0;
	hasEnded = false;
	errorCode = '';
	hasBegun = false;
	readonly closed: Promise<unknown>;
	private readonly _socket: Socket;

	constructor(port: number, id: string, bytes: number) {
		this._socket = connect(port, '127.0.0.1');
		this._socket.on('error', (error: NodeJS.ErrnoException) => {
			this.errorCode = error.code ?? error.message;
		});
		this._socket.on('end', () => {
			this.hasEnded = true;
		});
		this._socket.on('data', data => {
			this.bytes += data.length;
			if (!this.hasBegun) {
				this.hasBegun = true;
				this.bytes -= data.indexOf('\r\n\r\n') + 4;
				this._socket.pause();
			}
		});
		this.closed = new Promise(resolve => {
			this._socket.once('close', resolve);
		});
		this._socket.write(`POST /read/${bytes} HTTP/1.1\r\nHost: a.example\r\nX-Pollenarch-Request-Id: ${id}\r\nX-Pollenarch-Request-Deadline: 20000\r\nContent-Length: 4\r\n\r\nbody`);
	}

	readOn(): void {
		this._socket.resume();
	}
}

// Guards against answers whose last bytes are lost since the process ends before their callers have read them (LOST).
test('answers that the operating system holds when the process ends, or that hold it up, are whole', async t => {
	const stopping = await start(t, (request, response, headers) => {
		const bytes = Number((request.url ?? '').split('/')[2]);
		response.writeHead(200, {...headers, 'content-length': bytes}).end('x'.repeat(bytes));
	});
	const callers = ANSWER_BYTES.flatMap((bytes, size) => Array.from({length: 3}, (_, index) => ({bytes, caller: new PausingCaller(stopping.callersPort, `pausing-${size}-${index}`, bytes)})));
	const signalledAtMs = performance.now();
	stopping.process.kill('SIGTERM');
	const exited = stopping.exit(signalledAtMs);
	const large = callers.filter(({bytes}) => bytes === ANSWER_BYTES.at(-1));
	await delay(signalledAtMs + (GRACE_MS / 2) - performance.now());
	assert.ok(!Number.isFinite(stopping.exitedAtMs), 'it has not waited');
	for (const {caller} of large) {
		caller.readOn();
	}

	await exited;
	await delay(300);
	for (const {caller} of callers) {
		caller.readOn();
	}

	await Promise.all(callers.map(async ({caller}) => caller.closed));
	assert.deepEqual(callers.map(({caller: {bytes, hasEnded, errorCode}}) => [bytes, hasEnded, errorCode]), callers.map(({bytes}) => [bytes, true, '']));
	assert.ok(stopping.exitedAtMs - signalledAtMs < GRACE_MS * 5 / 6, `gone after ${Math.round(stopping.exitedAtMs - signalledAtMs)} ms`);
	assert.equal(stopping.exitCode, 0);
});

// Guards against a stop that resets kept connections, so that their callers may lose what they have not read yet.
test('kept connections end in the regular way when the process stops', async t => {
	const stopping = await start(t);
	const agent = new Agent({keepAlive: true, maxSockets: KEPT_CONNECTIONS});
	t.after(() => {
		agent.destroy();
	});
	const sockets = new Map<Socket, string[]>();
	agent.on('free', (socket: Socket) => {
		if (!sockets.has(socket)) {
			const ends: string[] = [];
			sockets.set(socket, ends);
			socket.on('end', () => {
				ends.push('end');
			});
			socket.on('error', (error: NodeJS.ErrnoException) => {
				ends.push(error.code ?? error.message);
			});
		}
	});
	const outcomes = await Promise.all(Array.from({length: KEPT_CONNECTIONS}, async () => stopping.call(agent, '/read/300')));
	assert.ok(outcomes.every(({isWhole}) => isWhole));
	await delay(50);
	stopping.process.kill('SIGTERM');
	await stopping.exit(performance.now());
	await delay(100);
	assert.equal(sockets.size, KEPT_CONNECTIONS);
	assert.deepEqual([...sockets.values()], Array.from({length: KEPT_CONNECTIONS}, () => ['end']));
});
