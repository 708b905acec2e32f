/**
Planned stops of the deployed process, by signals, while callers keep using their open
connections: each request that was read gets a whole response, as far as the grace period
allows.
*/
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {writeFileSync} from 'node:fs';
import {Agent} from 'node:http';
import path from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {
	after, before, test, type TestContext,
} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {request as httpRequest} from 'undici';
import {writeBusyLoop} from '../standins/busy-loop.js';
import {FakeStore} from '../standins/fake-store-and-runner.js';
import {createDaemonSettings, PlatformBundle} from '../standins/platform-process.js';
import {
	GRACE_MS, StoppingProcess, type Outcome, type RunHandler,
} from '../standins/stopping-process.js';

/** Until then a request that is answered by its target in time may not be ended by the stop. */
const CUT_FROM_MS = GRACE_MS * 5 / 6;
const HELD_UP_MS = 1600;
/** After Node.js itself has started; until then signals have their default action. */
const HANDLERS_MS = 20;
const SEED = Number(process.env.STOP_SEED ?? 1);
const CALLERS = 40;
/** Within the backlog of a listening socket. */
const WAITING_CONNECTIONS = 200;

const bundle = new PlatformBundle();
before(async () => {
	await bundle.build();
});
after(() => {
	bundle.remove();
});

/** A script that tells when Node.js runs the program. */
function writeStartMarker(): string {
	const file = path.join(bundle.folder, 'marker.cjs');
	writeFileSync(file, 'require(\'node:fs\').writeSync(2, \'started\');\n');
	return file;
}

async function start(t: TestContext, nodeArguments: readonly string[] = [], handlers: Readonly<Record<string, RunHandler>> = {}): Promise<{readonly stopping: StoppingProcess; readonly agent: Agent}> {
	const stopping = await StoppingProcess.start(bundle, {nodeArguments, handlers});
	const agent = new Agent({keepAlive: true});
	t.after(async () => {
		agent.destroy();
		await stopping.close();
	});
	return {stopping, agent};
}

/** Opens connections that later requests use. */
async function openConnections(stopping: StoppingProcess, agent: Agent, count: number): Promise<void> {
	await Promise.all(Array.from({length: count}, async () => stopping.call(agent, '/read/300')));
}

function describe(outcomes: readonly Outcome[], sinceMs: number): string[] {
	return outcomes.map(({path: target, sentAtMs, endedAtMs, status, isWhole, error}) => `${target} sent ${Math.round(sentAtMs - sinceMs)} ended ${Math.round(endedAtMs - sinceMs)}: ${status ?? error}${isWhole ? '' : ', not whole'}`);
}

/** Requests without a whole response that had been passed on, or whose connection was closed long after they were sent. */
function unanswered(stopping: StoppingProcess, outcomes: readonly Outcome[]): Outcome[] {
	return outcomes.filter(({id, isWhole, sentAtMs, endedAtMs}) => !isWhole && (stopping.runs.has(id) || endedAtMs - sentAtMs > 500));
}

// Guards against requests that are passed on and cut off without an answer when their instance stops (LOST): those at a silent target, also ones that may not be repeated.
test('requests that are open at the end of the grace period get a whole response', async t => {
	const {stopping, agent} = await start(t);
	await openConnections(stopping, agent, 12);
	const calls = [stopping.call(agent, '/read/never'), stopping.call(agent, '/sign/never')];
	await delay(300);
	const signalledAtMs = performance.now();
	stopping.process.kill('SIGTERM');
	for (const atMs of [200, 1000, 1800, 2200, 2600]) {
		await delay(signalledAtMs + atMs - performance.now());
		calls.push(stopping.call(agent, '/read/never'), stopping.call(agent, '/sign/never'));
	}

	await stopping.exit(signalledAtMs);
	const outcomes = await Promise.all(calls);
	assert.deepEqual(describe(unanswered(stopping, outcomes), signalledAtMs), []);
	assert.equal(stopping.exitCode, 0);
	for (const {id, status, endedAtMs, sentAtMs} of outcomes.filter(({isWhole}) => isWhole)) {
		// What ran is not said to have not run, and nothing is ended before the last sixth of the grace period but what was not passed on.
		const hasRun = stopping.runs.has(id);
		assert.ok(hasRun ? status === 502 || status === 504 : status === 503, `${id}: ${status}`);
		assert.ok(hasRun ? endedAtMs - signalledAtMs >= CUT_FROM_MS : endedAtMs - sentAtMs < 1500, `${id}: ${endedAtMs - signalledAtMs}`);
	}
});

// Guards against a grace period that is counted from when the process gets to handle the signal: what is open then is cut off by the platform's SIGKILL (LOST).
test('a process that is held up when it is stopped answers its requests within the grace period', async t => {
	const {stopping, agent} = await start(t);
	const calls = ['/read/never', '/sign/never', '/read/2000', '/sign/2000'].map(async target => stopping.call(agent, target));
	await delay(300);
	stopping.process.kill('SIGSTOP');
	const signalledAtMs = performance.now();
	stopping.process.kill('SIGTERM');
	await delay(HELD_UP_MS);
	stopping.process.kill('SIGCONT');
	await stopping.exit(signalledAtMs);
	const outcomes = await Promise.all(calls);
	assert.deepEqual(describe(unanswered(stopping, outcomes), signalledAtMs), []);
	assert.deepEqual(outcomes.map(({status}) => status), [502, 502, 200, 200]);
	assert.equal(stopping.exitCode, 0);
});

/** Sends requests while the process is held up, over connections that it has and over new ones, and has it go on `endsAtMs` after SIGTERM. */
async function callWhileHeldUp({stopping, agent, signalledAtMs, endsAtMs}: {readonly stopping: StoppingProcess; readonly agent: Agent; readonly signalledAtMs: number; readonly endsAtMs: number}): Promise<Outcome[]> {
	await delay(signalledAtMs + 1200 - performance.now());
	stopping.process.kill('SIGSTOP');
	const calls: Array<Promise<Outcome>> = [];
	for (const atMs of [1500, 1800, 2100]) {
		await delay(signalledAtMs + atMs - performance.now());
		for (const target of ['/read/20', '/ask/300', '/sign/20']) {
			calls.push(stopping.call(agent, target), stopping.call(new Agent(), target), stopping.call(new Agent(), target, 40));
		}
	}

	await delay(signalledAtMs + endsAtMs - performance.now());
	stopping.process.kill('SIGCONT');
	return Promise.all(calls);
}

for (const endsAtMs of [2700, 3400]) {
	// Guards against requests that a stop closes unread (LOST): they wait in the queue of the listening socket, or in the buffer of a kept connection, when a process that is behind closes them.
	test(`requests that wait to be read when the instance stops accepting get a whole response: held up until ${endsAtMs} ms`, async t => {
		const {stopping, agent} = await start(t);
		await openConnections(stopping, agent, 12);
		const signalledAtMs = performance.now();
		stopping.process.kill('SIGTERM');
		const outcomes = await callWhileHeldUp({
			stopping, agent, signalledAtMs, endsAtMs,
		});
		await stopping.exit(signalledAtMs);
		assert.deepEqual(describe(outcomes.filter(({isWhole}) => !isWhole), signalledAtMs), []);
		assert.equal(stopping.exitCode, 0);
	});
}

// Guards against requests that a stop resets before it has accepted their connections (LOST): one connection is accepted in each round of the event loop, and many may wait.
test('requests on new connections that wait to be accepted when the instance stops accepting get a whole response', async t => {
	const {stopping} = await start(t);
	const signalledAtMs = performance.now();
	stopping.process.kill('SIGTERM');
	await delay(1500);
	stopping.process.kill('SIGSTOP');
	const targets = ['/read/20', '/ask/300', '/sign/20'];
	const calls = Array.from({length: WAITING_CONNECTIONS}, async (_, index) => stopping.call(new Agent(), targets[index % targets.length]!));
	await delay(signalledAtMs + 2700 - performance.now());
	stopping.process.kill('SIGCONT');
	const outcomes = await Promise.all(calls);
	await stopping.exit(signalledAtMs);
	assert.deepEqual(describe(outcomes.filter(({isWhole}) => !isWhole), signalledAtMs), []);
	assert.equal(stopping.exitCode, 0);
});

// Guards against sound streams that a process which was held up takes for silent, before it has read what arrived meanwhile (LOST).
test('streams go on at their targets when the process was held up', async t => {
	const {stopping, agent} = await start(t, ['--require', writeBusyLoop(bundle.folder, 800)]);
	for (let round = 0; round < 3; round++) {
		await Promise.all(Array.from({length: 6}, async () => stopping.call(agent, '/late/100')));
	}

	const begun = Array.from({length: 6}, async () => stopping.call(agent, '/ask/4500'));
	await delay(800);
	const sent = Array.from({length: 6}, async () => stopping.call(new Agent(), '/late/2500'));
	await delay(100);
	stopping.process.kill('SIGUSR2');
	const outcomes = await Promise.all([...begun, ...sent]);
	assert.deepEqual(describe(outcomes.filter(({isWhole, status}) => !isWhole || status !== 200), 0), []);
	assert.deepEqual(outcomes.map(({id}) => stopping.runs.get(id)?.length), Array.from({length: 12}, () => 1));
});

// Guards against streams that are broken off before the last sixth of the grace period, since the process notices late that it is to stop (LOST).
test('a stream goes on until the last sixth of the grace period in a process that was held up until SIGTERM', async t => {
	const {stopping, agent} = await start(t);
	const heldUpMs = 1600;
	const calls = [6000, 6500].map(async endsAfterMs => stopping.call(agent, `/ask/${endsAfterMs + heldUpMs}`));
	await delay(200);
	stopping.process.kill('SIGSTOP');
	await delay(heldUpMs - 200);
	const signalledAtMs = performance.now();
	stopping.process.kill('SIGTERM');
	stopping.process.kill('SIGCONT');
	await stopping.exit(signalledAtMs);
	const outcomes = await Promise.all(calls);
	assert.deepEqual(describe(outcomes.filter(({isWhole, status}) => !isWhole || status !== 200), signalledAtMs), []);
});

// Guards against whole answers that a process which was held up until SIGTERM cuts off while their callers still read them, as soon as its last stream has ended (LOST).
test('an answer that its caller reads slowly is whole in a process that was held up until SIGTERM and has streams until the end of the grace period', async t => {
	const heldUpMs = 1600;
	const large = Buffer.alloc(7_900_000);
	const answer: RunHandler = async ({url = ''}, response, headers) => {
		if (url.startsWith('/read/')) {
			await delay(Number(url.split('/')[2]));
			response.writeHead(200, {...headers, 'content-length': large.length}).end(large);
			return;
		}

		response.writeHead(200, {...headers, 'content-type': 'text/event-stream'});
		for (let event = 1; !response.destroyed; event++) {
			response.write(`id: ${event}\ndata: x\n\n`);
			await delay(100);
		}
	};

	const {stopping, agent} = await start(t, [], {'i-1': answer, 'i-2': answer});
	const stream = stopping.call(agent, '/ask/never');
	const slow = httpRequest(`http://127.0.0.1:${stopping.callersPort}/read/5000`, {
		method: 'POST', body: 'body', headers: {host: 'a.example', 'x-pollenarch-request-id': 'slow', 'x-pollenarch-request-deadline': '20000'},
	});
	await delay(200);
	stopping.process.kill('SIGSTOP');
	await delay(heldUpMs - 200);
	const signalledAtMs = performance.now();
	stopping.process.kill('SIGTERM');
	stopping.process.kill('SIGCONT');
	const exited = stopping.exit(signalledAtMs);
	const {body} = await slow;
	await delay(signalledAtMs + GRACE_MS - 550 - performance.now());
	const {byteLength} = await body.arrayBuffer();
	assert.equal(byteLength, large.length);
	await exited;
	const {endedAtMs} = await stream;
	assert.ok(endedAtMs - signalledAtMs >= CUT_FROM_MS);
	assert.equal(stopping.exitCode, 0);
});

// Guards against streams that are broken off at their deadline before the time of their callers has passed, which may count from the last byte of the request (LOST).
test('a stream whose body arrives late is broken off when its time has passed from its last byte on, and not much later than from its head on', async t => {
	const {stopping, agent} = await start(t);
	const deadlineMs = 2000;
	const bodyDelays = [100, 250, 1000];
	const calls = bodyDelays.map(async bodyDelayMs => stopping.call(agent, '/ask/never', bodyDelayMs, deadlineMs));
	await delay(1200);
	stopping.process.kill('SIGTERM');
	const outcomes = await Promise.all(calls);
	for (const [index, {sentAtMs, endedAtMs, events}] of outcomes.entries()) {
		const bodyDelayMs = bodyDelays[index]!;
		const tookMs = endedAtMs - sentAtMs;
		assert.ok(events > 0);
		assert.ok(tookMs >= deadlineMs + (bodyDelayMs < 300 ? bodyDelayMs : 0), `${bodyDelayMs} ms: ${tookMs}`);
		assert.ok(tookMs < deadlineMs + 500, `${bodyDelayMs} ms: ${tookMs}`);
	}
});

// Guards against a stop that counts as idle while a request is still being read.
test('an instance waits for the bodies of requests before it stops', async t => {
	const {stopping, agent} = await start(t);
	await openConnections(stopping, agent, 2);
	const signalledAtMs = performance.now();
	stopping.process.kill('SIGTERM');
	await delay(2200);
	const calls = [stopping.call(agent, '/sign/20', 1500), stopping.call(agent, '/read/20', 1500)];
	await stopping.exit(signalledAtMs);
	const outcomes = await Promise.all(calls);
	assert.deepEqual(describe(outcomes.filter(({isWhole}) => !isWhole), signalledAtMs), []);
	assert.ok(stopping.exitedAtMs - signalledAtMs < CUT_FROM_MS);
});

// Guards against answers that are lost while a busy instance stops (LOST).
test(`callers that keep using their connections lose no answer (seed ${SEED})`, async t => {
	const {stopping, agent} = await start(t);
	const random = xoroshiro128plus(SEED);
	const draw = (below: number): number => Math.floor(uniformFloat64(random) * below);
	const outcomes: Outcome[] = [];
	let signalledAtMs = Number.POSITIVE_INFINITY;
	const keepCalling = async (): Promise<void> => {
		while (!Number.isFinite(stopping.exitedAtMs)) {
			const [name, durationMs] = ([['ask', 100 + draw(2500)], ['read', draw(300)], ['sign', draw(300)]] as const)[draw(3)]!;
			const outcome = await stopping.call(agent, `/${name}/${durationMs}`, draw(10) === 0 ? draw(400) : 0);
			outcomes.push(outcome);
			await delay(outcome.isWhole ? draw(30) : 100);
		}
	};

	const callers = Array.from({length: CALLERS}, keepCalling);
	await delay(2000);
	signalledAtMs = performance.now();
	stopping.process.kill('SIGTERM');
	await stopping.exit(signalledAtMs);
	await Promise.all(callers);
	const counts: Record<string, number> = {};
	for (const {status, error} of outcomes) {
		const outcome = String(status ?? error);
		counts[outcome] = (counts[outcome] ?? 0) + 1;
	}

	t.diagnostic(JSON.stringify(counts));
	assert.deepEqual(describe(unanswered(stopping, outcomes), signalledAtMs), []);
	const unlogged = outcomes.filter(({id, isWhole}) => !isWhole && stopping.runs.has(id) && stopping.linesOf(id).every(({event}) => event !== 205 && event !== 218));
	assert.deepEqual(describe(unlogged, signalledAtMs), []);
	assert.equal(stopping.exitCode, 0);
});

// Guards against signals that end a process while it stops or starts (LOST, processes that end by themselves).
test('further signals change nothing about a stop', async t => {
	const {stopping, agent} = await start(t);
	const calls = ['/ask/4000', '/read/4000', '/sign/4000'].map(async target => stopping.call(agent, target));
	await delay(200);
	const signalledAtMs = performance.now();
	for (const signal of ['SIGHUP', 'SIGTERM', 'SIGTERM', 'SIGHUP', 'SIGTERM'] as const) {
		stopping.process.kill(signal);
		await delay(300);
	}

	await stopping.exit(signalledAtMs);
	const outcomes = await Promise.all(calls);
	assert.deepEqual(outcomes.map(({status, isWhole}) => [status, isWhole]), [[200, true], [200, true], [200, true]]);
	assert.equal(stopping.exitCode, 0);
});

for (const signal of ['SIGHUP', 'SIGTERM'] as const) {
	// Guards against the default action of a signal that comes before the process has opened its listeners.
	test(`${signal} while the process starts ${signal === 'SIGHUP' ? 'does not end it' : 'ends it without an error'}`, async t => {
		const store = new FakeStore();
		const {listen, document} = await createDaemonSettings(await store.start());
		const child = bundle.start(document, ['--require', writeStartMarker()]);
		child.stdout!.resume();
		child.stderr!.resume();
		const started = once(child.stderr!, 'data');
		const closed = once(child, 'close') as Promise<[number | null, NodeJS.Signals | null]>;
		t.after(async () => {
			child.kill('SIGKILL');
			await closed;
			store.stop();
		});
		await started;
		await delay(HANDLERS_MS);
		// A single SIGTERM may not be lost; of SIGHUP, each one has to be survived.
		for (let signals = signal === 'SIGTERM' ? 19 : 0; signals < 20 && child.exitCode === null && child.signalCode === null; signals++) {
			child.kill(signal);
			await delay(10);
		}

		if (signal === 'SIGTERM') {
			assert.deepEqual(await closed, [0, null]);
			return;
		}

		await delay(500);
		assert.deepEqual([child.exitCode, child.signalCode], [null, null]);
		const {statusCode, body} = await httpRequest(`http://${listen.readiness}/v1/ready`);
		await body.dump();
		assert.equal(statusCode, 503);
	});
}
