/**
Time as real processes have it: a time of day that jumps, suspension around a stop, and a
part of a core that stops the process in the middle of its work.
*/
import assert from 'node:assert/strict';
import {fork} from 'node:child_process';
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
import {fileURLToPath} from 'node:url';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type ShareMessage} from '../soak/shape/processor-share.js';
import {CallerProxy, type ProxiedOutcome} from '../standins/caller-proxy.js';
import {PlatformBundle} from '../standins/platform-process.js';
import {GRACE_MS, StoppingProcess, type Outcome} from '../standins/stopping-process.js';

const SEED = Number(process.env.STOP_SEED ?? 1);
/** Until then a request that is answered by its target in time may not be ended by the stop. */
const CUT_FROM_MS = GRACE_MS * 5 / 6;
const REQUESTS_PER_S = 55;
const DEADLINE_MS = 4000;
/** More than requests are open at once. */
const PROXY_CONNECTIONS = 200;
/** A connection that is closed sooner crosses the request. */
const CROSSING_MS = 500;
const SHARES = [0.46, 0.3, 0.2];
const JUMPS_MS = [5000, -5000, 3_600_000, -3_600_000];

const bundle = new PlatformBundle();
before(async () => {
	await bundle.build();
});
after(() => {
	bundle.remove();
});

async function start(t: TestContext, nodeArguments: readonly string[] = []): Promise<{readonly stopping: StoppingProcess; readonly agent: Agent}> {
	const stopping = await StoppingProcess.start(bundle, {nodeArguments});
	const agent = new Agent({keepAlive: true});
	t.after(async () => {
		agent.destroy();
		await stopping.close();
	});
	return {stopping, agent};
}

function describe(outcomes: ReadonlyArray<Outcome | ProxiedOutcome>, sinceMs: number): string[] {
	return outcomes.map(({path: target, sentAtMs, endedAtMs, status, isWhole, error}) => `${target} sent ${Math.round(sentAtMs - sinceMs)} ended ${Math.round(endedAtMs - sinceMs)}: ${status ?? error}${isWhole ? '' : ', not whole'}`);
}

/** A script that moves the time of day by the next of `JUMPS_MS` at each SIGUSR2. */
function writeJumps(): string {
	const file = path.join(bundle.folder, 'jumps.cjs');
	writeFileSync(file, `const jumps = ${JSON.stringify(JUMPS_MS)};
const SystemDate = Date;
let shiftMs = 0;
globalThis.Date = class Date extends SystemDate {
	constructor(...values) {
		super(...(values.length === 0 ? [SystemDate.now() + shiftMs] : values));
	}
	static now() {
		return SystemDate.now() + shiftMs;
	}
};
process.on('SIGUSR2', () => {
	const jump = jumps.shift();
	jumps.push(jump);
	shiftMs += jump;
});
`);
	return file;
}

// Guards against deadlines, silence and the grace period that follow the time of day (LOST, CONFIG).
test('a time of day that jumps by seconds and by an hour while requests are open and during a stop changes nothing', async t => {
	const {stopping, agent} = await start(t, ['--require', writeJumps()]);
	const jump = async (): Promise<void> => {
		stopping.process.kill('SIGUSR2');
		await delay(250);
	};

	const calm = ['/ask/1200', '/read/1200', '/sign/1200', '/late/1200', '/brief/never'].map(async target => stopping.call(agent, target));
	await delay(100);
	for (const _ of JUMPS_MS) {
		await jump();
	}

	const calmOutcomes = await Promise.all(calm);
	assert.deepEqual(calmOutcomes.map(({status, isWhole}) => [status, isWhole]), [[200, true], [200, true], [200, true], [200, true], [504, true]]);
	const calls = ['/ask/5000', '/read/5000', '/sign/5000', '/late/5000'].map(async target => stopping.call(agent, target));
	const never = stopping.call(agent, '/ask/never');
	await delay(200);
	await jump();
	const signalledAtMs = performance.now();
	stopping.process.kill('SIGTERM');
	for (let jumps = 0; jumps < 2 * JUMPS_MS.length; jumps++) {
		await jump();
		calls.push(...(jumps < 4 ? [stopping.call(agent, '/read/50'), stopping.call(new Agent(), '/ask/300')] : []));
	}

	await stopping.exit(signalledAtMs);
	const outcomes = await Promise.all(calls);
	assert.deepEqual(describe(outcomes.filter(({isWhole, status}) => !isWhole || status !== 200), signalledAtMs), []);
	const {endedAtMs} = await never;
	assert.ok(endedAtMs - signalledAtMs >= CUT_FROM_MS, `ended after ${Math.round(endedAtMs - signalledAtMs)} ms`);
	assert.equal(stopping.exitCode, 0);
	const wallMs = stopping.lines.map(({time}) => time);
	assert.ok(Math.max(...wallMs) - Math.min(...wallMs) > 3_000_000, 'the time of day did not jump');
});

/** Suspensions in milliseconds from SIGTERM on. */
const suspensions: Readonly<Record<string, readonly [fromMs: number, toMs: number]>> = {
	'for 1 s until SIGTERM': [-1000, 0],
	'for 4 s until SIGTERM': [-4000, 0],
	'for 1 s from just before SIGTERM': [-10, 990],
	'for 3 s from SIGTERM': [0, 3000],
	'for 4 s after SIGTERM': [500, 4500],
	'for 2 s late in the stop': [3500, 5500],
};

// Guards against a suspended process that takes its own pause for that of targets or callers, or for time of the grace period that others had (LOST).
test('a process that is suspended around SIGTERM brings streams to their ends until the last sixth of the grace period, and gives all others a whole answer', {concurrency: 3}, async t => {
	await Promise.all(Object.entries(suspensions).map(async ([name, [fromMs, toMs]]) => t.test(name, async subtest => {
		const {stopping, agent} = await start(subtest);
		const leadMs = Math.max(0, -fromMs) + 300;
		const targets = ['/ask/', '/late/', '/read/', '/sign/'];
		const startedAtMs = performance.now();
		const signalAtMs = startedAtMs + leadMs;
		const calls = targets.flatMap(target => [800, 2500, 4500, 6000].map(async endsAfterMs => stopping.call(agent, `${target}${leadMs + endsAfterMs}`)));
		await delay(signalAtMs + Math.min(fromMs, 0) - performance.now());
		const acts = [
			{atMs: fromMs, signal: 'SIGSTOP'}, {atMs: 0, signal: 'SIGTERM'}, {atMs: toMs, signal: 'SIGCONT'},
		].toSorted((first, second) => first.atMs - second.atMs) as ReadonlyArray<{readonly atMs: number; readonly signal: NodeJS.Signals}>;
		let signalledAtMs = 0;
		for (const {atMs, signal} of acts) {
			await delay(Math.max(0, signalAtMs + atMs - performance.now()));
			stopping.process.kill(signal);
			if (signal === 'SIGTERM') {
				signalledAtMs = performance.now();
			}
		}

		await stopping.exit(signalledAtMs);
		const outcomes = await Promise.all(calls);
		const expected = (path: string, status: number | undefined): boolean => status === 200 || (status === 502 && !path.startsWith('/ask/') && !path.startsWith('/late/'));
		assert.deepEqual(describe(outcomes.filter(({path: target, isWhole, status}) => !isWhole || !expected(target, status)), signalledAtMs), []);
		assert.equal(stopping.exitCode, 0);
	})));
});

/** Gives the process a share of a core until `t` ends. */
async function limit(t: TestContext, stopping: StoppingProcess, share: number): Promise<void> {
	const shares = fork(fileURLToPath(new URL('../soak/shape/processor-share.ts', import.meta.url)), {execArgv: ['--import', 'tsx']});
	t.after(async () => {
		shares.disconnect();
		await once(shares, 'exit');
	});
	const message: ShareMessage = {pid: stopping.process.pid!, share};
	shares.send(message);
	await once(shares, 'message');
}

/** Sends streams and other requests, whose bodies arrive whole, late or in chunks, at a constant rate until `signal` aborts. */
async function keepCalling(stopping: StoppingProcess, agent: Agent, proxy: CallerProxy, signal: AbortSignal): Promise<Array<Outcome | ProxiedOutcome>> {
	const random = xoroshiro128plus(SEED);
	const draw = (below: number): number => Math.floor(uniformFloat64(random) * below);
	const calls: Array<Promise<Outcome | ProxiedOutcome>> = [];
	for (let dueAtMs = performance.now(); !signal.aborted; dueAtMs += 1000 / REQUESTS_PER_S) {
		await delay(Math.max(0, dueAtMs - performance.now()));
		const [name, durationMs] = ([['ask', 100 + draw(2500)], ['late', draw(1500)], ['read', draw(300)], ['sign', draw(300)]] as const)[draw(4)]!;
		const target = `/${name}/${durationMs}`;
		calls.push(draw(2) === 0
			? proxy.call(target, 'in chunks that arrive one after the other')
			: stopping.call(draw(3) === 0 ? new Agent() : agent, target, draw(3) === 0 ? draw(400) : 0, DEADLINE_MS));
	}

	return Promise.all(calls);
}

// Guards against requests that a process with a part of a core passes on and ends before their time at a stop, since it is late itself (LOST).
test(`a process with a part of a core cuts off no request at a stop (seed ${SEED})`, {concurrency: SHARES.length}, async t => {
	await Promise.all(SHARES.map(async share => t.test(`${share} of a core`, async subtest => {
		const {stopping, agent} = await start(subtest);
		await limit(subtest, stopping, share);
		const calling = new AbortController();
		const proxy = new CallerProxy({port: stopping.callersPort, connections: PROXY_CONNECTIONS, deadlineMs: DEADLINE_MS});
		subtest.after(() => {
			proxy.close();
		});
		const called = keepCalling(stopping, agent, proxy, calling.signal);
		await delay(2500);
		const signalledAtMs = performance.now();
		stopping.process.kill('SIGTERM');
		await stopping.exit(signalledAtMs);
		calling.abort();
		const outcomes = await called;
		const passedOn = outcomes.filter(({id}) => stopping.runs.has(id));
		subtest.diagnostic(`${outcomes.length} requests, ${passedOn.length} passed on, ${passedOn.filter(({status, isWhole}) => isWhole && status === 200).length} served, gone after ${Math.round(stopping.exitedAtMs - signalledAtMs)} ms, at most ${String(stopping.lines.findLast(({event}) => event === 109)?.worstLateMs)} ms late`);
		const cut = outcomes.filter(({id, isWhole, sentAtMs, endedAtMs}) => !isWhole && (stopping.runs.has(id) ? endedAtMs - sentAtMs < DEADLINE_MS : endedAtMs - sentAtMs > CROSSING_MS));
		assert.deepEqual(describe(cut, signalledAtMs), []);
		assert.ok(passedOn.length > 0);
		assert.equal(stopping.exitCode, 0);
	})));
});
