/**
Signals, standard output and addresses of real processes: what ends a process besides
SIGTERM, what it does without a reader of its log, and how one follows another at the
same addresses.
*/
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {writeFileSync} from 'node:fs';
import {Agent} from 'node:http';
import {connect} from 'node:net';
import path from 'node:path';
import {performance} from 'node:perf_hooks';
import {
	after, before, test, type TestContext,
} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {FakeStore} from '../standins/fake-store-and-runner.js';
import {createDaemonSettings, PlatformBundle} from '../standins/platform-process.js';
import {GRACE_MS, StoppingProcess, type Outcome} from '../standins/stopping-process.js';

/** Until then a request that is answered by its target in time may not be ended by the stop. */
const CUT_FROM_MS = GRACE_MS * 5 / 6;
/** A connection that is closed sooner crosses the request. */
const CROSSING_MS = 500;
const DEADLINE_MS = 4000;

const bundle = new PlatformBundle();
before(async () => {
	await bundle.build();
});
after(() => {
	bundle.remove();
});

async function start(t: TestContext): Promise<{readonly stopping: StoppingProcess; readonly agent: Agent}> {
	const stopping = await StoppingProcess.start(bundle);
	const agent = new Agent({keepAlive: true});
	t.after(async () => {
		agent.destroy();
		await stopping.close();
	});
	return {stopping, agent};
}

function describe(outcomes: readonly Outcome[], sinceMs: number): string[] {
	return outcomes.map(({path: target, sentAtMs, endedAtMs, status, isWhole, error}) => `${target} sent ${Math.round(sentAtMs - sinceMs)} ended ${Math.round(endedAtMs - sinceMs)}: ${status ?? error}${isWhole ? '' : ', not whole'}`);
}

function beginStreams(stopping: StoppingProcess, agent: Agent, durationMs: number): Array<Promise<Outcome>> {
	return Array.from({length: 10}, async (_, index) => stopping.call(agent, `/${['ask', 'read', 'sign'][index % 3]!}/${durationMs}`));
}

/** Stops the process while requests are under way, with `act` done to it first, and expects all of them whole. */
async function expectWholeStop(t: TestContext, act: (stopping: StoppingProcess) => Promise<void> | void, {signal = 'SIGTERM'}: {readonly signal?: NodeJS.Signals} = {}): Promise<void> {
	const {stopping, agent} = await start(t);
	const calls = beginStreams(stopping, agent, 3000);
	await delay(300);
	await act(stopping);
	const signalledAtMs = performance.now();
	stopping.process.kill(signal);
	await stopping.exit(signalledAtMs);
	const outcomes = await Promise.all(calls);
	assert.deepEqual(describe(outcomes.filter(({isWhole, status}) => !isWhole || status !== 200), signalledAtMs), []);
	assert.equal(stopping.exitCode, 0);
	assert.ok(stopping.exitedAtMs - signalledAtMs < CUT_FROM_MS, `gone after ${Math.round(stopping.exitedAtMs - signalledAtMs)} ms`);
}

// Guards against requests that are cut off since a supervisor, or a terminal, stops the process by another signal than SIGTERM (LOST).
test('SIGINT is a stop as SIGTERM is', async t => {
	await expectWholeStop(t, () => undefined, {signal: 'SIGINT'});
});

// Guards against requests that are cut off since signals come again, or together with others, as to a group of processes (LOST).
test('signals that come at once and again leave a stop as it is', async t => {
	await expectWholeStop(t, async ({process: stopped}) => {
		for (const signal of ['SIGTERM', 'SIGINT', 'SIGTERM', 'SIGHUP', 'SIGPIPE', 'SIGINT', 'SIGWINCH'] as const) {
			stopped.kill(signal);
		}

		await delay(100);
		stopped.kill('SIGINT');
	});
});

// Guards against a process that a signal ends without a stop before and while it opens its listeners, or that loses the signal.
test('SIGINT and SIGTERM in the first 100 ms end the process without an error', async t => {
	const marker = path.join(bundle.folder, 'marker.cjs');
	writeFileSync(marker, 'require(\'node:fs\').writeSync(2, \'started\');\n');
	const store = new FakeStore();
	const address = await store.start();
	t.after(() => {
		store.stop();
	});
	await Promise.all((['SIGINT', 'SIGTERM'] as const).flatMap(signal => [30, 60, 100, 160].map(async atMs => {
		const {document} = await createDaemonSettings(address, `${signal}-${atMs}`);
		const child = bundle.start(document, ['--require', marker]);
		const closed = once(child, 'close');
		child.stdout!.resume();
		t.after(async () => {
			child.kill('SIGKILL');
			await closed;
		});
		await once(child.stderr!, 'data');
		child.stderr!.resume();
		await delay(atMs);
		child.kill(signal);
		await delay(5);
		child.kill(signal);
		assert.deepEqual(await closed, [0, null], `${signal} after ${atMs} ms`);
	})));
});

// Guards against a process that ends, or cuts requests off, since nobody reads its log any more (LOST).
test('a stop is whole without a reader of standard output', async t => {
	await expectWholeStop(t, ({process: stopped}) => {
		stopped.stdout!.destroy();
		stopped.stderr!.destroy();
	});
});

// Guards against a process that waits for its log to be read (LOST).
test('a stop is whole while standard output is full and nobody reads it', async t => {
	await expectWholeStop(t, async stopping => {
		stopping.process.stdout!.pause();
		const flood = new Agent({keepAlive: true});
		const untilMs = performance.now() + 1200;
		await Promise.all(Array.from({length: 8}, async () => {
			while (performance.now() < untilMs) {
				await stopping.call(flood, '/nowhere');
			}
		}));
		flood.destroy();
	});
});

/** Sends requests on new and on kept connections until `signal` aborts. */
async function keepCalling(stopping: StoppingProcess, agent: Agent, signal: AbortSignal): Promise<Outcome[]> {
	const calls: Array<Promise<Outcome>> = [];
	for (let sent = 0; !signal.aborted; sent++) {
		calls.push(stopping.call(sent % 2 === 0 ? agent : new Agent(), `/${['read', 'ask', 'sign'][sent % 3]!}/${(sent * 37) % 400}`, 0, DEADLINE_MS));
		await delay(18);
	}

	return Promise.all(calls);
}

// Guards against a process that cannot open the addresses of the one before it, whose connections wait for their last packets (TIME_WAIT).
test('a process that follows another one at once at the same addresses takes requests, and cuts off none', async t => {
	const {stopping, agent} = await start(t);
	const calling = new AbortController();
	const called = keepCalling(stopping, agent, calling.signal);
	await delay(500);
	const signalledAtMs = performance.now();
	stopping.process.kill('SIGTERM');
	await stopping.exit(signalledAtMs);
	const exitedAtMs = performance.now();
	stopping.startProcess(bundle);
	await delay(4000);
	calling.abort();
	const outcomes = await called;
	const ended = outcomes.filter(({id, isWhole, sentAtMs, endedAtMs}) => !isWhole && (stopping.runs.has(id) || endedAtMs - sentAtMs > CROSSING_MS));
	assert.deepEqual(describe(ended, signalledAtMs), []);
	const served = outcomes.filter(({status, sentAtMs}) => status === 200 && sentAtMs > exitedAtMs);
	const counts: Record<string, number> = {};
	for (const {status, error} of outcomes.filter(({sentAtMs}) => sentAtMs > exitedAtMs)) {
		const outcome = String(status ?? error);
		counts[outcome] = (counts[outcome] ?? 0) + 1;
	}

	t.diagnostic(`after the exit: ${JSON.stringify(counts)}, the first answer ${Math.round(Math.min(...served.map(({endedAtMs}) => endedAtMs)) - exitedAtMs)} ms after it`);
	assert.ok(served.length > 0);
});

for (const [name, isDraining] of [['serves', false], ['drains with its listener closed', true]] as const) {
	// Guards against a second process at the same addresses that takes requests away from the first, or keeps it from ending (LOST).
	test(`a process that starts while another one ${name} at its addresses ends with an error and disturbs nothing`, async t => {
		const {stopping, agent} = await start(t);
		const calls = beginStreams(stopping, agent, 5500);
		await delay(200);
		const first = stopping.process;
		const signalledAtMs = performance.now();
		if (isDraining) {
			first.kill('SIGTERM');
			await delay(2800);
			const refused = connect(stopping.callersPort, '127.0.0.1');
			const [error] = await once(refused, 'error') as [NodeJS.ErrnoException];
			assert.equal(error.code, 'ECONNREFUSED');
		}

		const second = stopping.startSecond(bundle);
		let errors = '';
		second.stderr!.setEncoding('utf8').on('data', (text: string) => {
			errors += text;
		});
		second.stdout!.resume();
		const [code] = await once(second, 'close') as [number | null];
		assert.notEqual(code, 0);
		assert.match(errors, /EADDRINUSE/v);
		if (!isDraining) {
			first.kill('SIGTERM');
		}

		await stopping.exit(performance.now());
		const outcomes = await Promise.all(calls);
		assert.deepEqual(describe(outcomes.filter(({isWhole, status}) => !isWhole || status !== 200), signalledAtMs), []);
		assert.equal(stopping.exitCode, 0);
	});
}
