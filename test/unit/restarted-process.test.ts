/**
A deployed process that is stopped and started again at the same addresses, with a part of
the processor, while callers go on: what the new one passes on counts like what the old one did.
*/
import assert from 'node:assert/strict';
import {Agent} from 'node:http';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {after, before, test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {PlatformBundle} from '../standins/platform-process.js';
import {GRACE_MS, StoppingProcess, type Outcome} from '../standins/stopping-process.js';

const SEED = Number(process.env.STOP_SEED ?? 1);
/** Part of a core that the process gets. */
const SHARE = Number(process.env.STOP_SHARE ?? 0.3);
const REQUESTS_PER_S = 55;
const TURN_MS = 100;
const DEADLINE_MS = 4000;
/** Planned work ends this long after the grace period. */
const AFTER_GRACE_MS = 1000;
/** A connection that is closed sooner crosses the request. */
const CROSSING_MS = 500;

const bundle = new PlatformBundle();
before(async () => {
	await bundle.build();
});
after(() => {
	bundle.remove();
});

/** Has the current process run in turns until `signal` aborts. */
async function holdUp(stopping: StoppingProcess, signal: AbortSignal): Promise<void> {
	while (!signal.aborted) {
		const held = stopping.process;
		held.kill('SIGSTOP');
		await delay(TURN_MS * (1 - SHARE));
		held.kill('SIGCONT');
		await delay(TURN_MS * SHARE);
	}
}

/** Sends requests at a constant rate until `signal` aborts, and resolves to how they ended. */
async function keepCalling(stopping: StoppingProcess, agent: Agent, signal: AbortSignal): Promise<Outcome[]> {
	const random = xoroshiro128plus(SEED);
	const draw = (below: number): number => Math.floor(uniformFloat64(random) * below);
	const calls: Array<Promise<Outcome>> = [];
	for (let dueAtMs = performance.now(); !signal.aborted; dueAtMs += 1000 / REQUESTS_PER_S) {
		await delay(Math.max(0, dueAtMs - performance.now()));
		const [name, durationMs] = ([['ask', 100 + draw(2500)], ['late', draw(1500)], ['read', draw(300)], ['sign', draw(300)]] as const)[draw(4)]!;
		calls.push(stopping.call(draw(3) === 0 ? new Agent() : agent, `/${name}/${durationMs}`, draw(5) === 0 ? draw(400) : 0, DEADLINE_MS));
	}

	return Promise.all(calls);
}

// Guards against a process that is just back and ends what it passed on before its time (LOST): it is cold, and a runner was replaced meanwhile.
test(`a process that is started again ends no request that it has passed on (seed ${SEED})`, async t => {
	const stopping = await StoppingProcess.start(bundle, {runnerIds: ['i-1', 'i-2', 'i-3']});
	stopping.setRunnerState('i-3', 'draining');
	const agent = new Agent({keepAlive: true});
	const calling = new AbortController();
	const held = new AbortController();
	const turns = holdUp(stopping, held.signal);
	t.after(async () => {
		calling.abort();
		held.abort();
		await turns;
		agent.destroy();
		await stopping.close();
	});
	const called = keepCalling(stopping, agent, calling.signal);
	await delay(2500);
	const signalledAtMs = performance.now();
	stopping.process.kill('SIGTERM');
	await delay(500);
	stopping.removeRunner('i-2');
	await stopping.addRunner('i-4');
	await stopping.exit(signalledAtMs);
	stopping.startProcess(bundle);
	await delay(signalledAtMs + GRACE_MS + AFTER_GRACE_MS - performance.now());
	calling.abort();
	const outcomes = await called;
	const ended = outcomes.filter(({id, isWhole, sentAtMs, endedAtMs}) => !isWhole && (stopping.runs.has(id) || endedAtMs - sentAtMs > CROSSING_MS));
	assert.deepEqual(ended.map(({path, status, error, sentAtMs, endedAtMs}) => `${path} sent ${Math.round(sentAtMs - signalledAtMs)} ended ${Math.round(endedAtMs - signalledAtMs)}: ${status ?? error}`), []);
	const served = outcomes.filter(({status, sentAtMs}) => status === 200 && sentAtMs - signalledAtMs > GRACE_MS);
	t.diagnostic(`${outcomes.length} requests, ${served.length} answered after the grace period`);
	assert.ok(served.length > 0);
});
