/**
Planned stops of the deployed process whose callers are some way off: what is on its way when
the process ends is lost where its host, and with it the link, goes with the process.
*/
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {Agent} from 'node:http';
import {performance} from 'node:perf_hooks';
import {
	after, before, test, type TestContext,
} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {Link} from '../standins/link.js';
import {PlatformBundle} from '../standins/platform-process.js';
import {SocketCaller} from '../standins/socket-caller.js';
import {StoppingProcess} from '../standins/stopping-process.js';

const STREAMS = 30;
const STREAM_GAP_MS = 100;
/** Streams end one after the other, the first ones before the listener closes. */
const FIRST_LENGTH_MS = 2200;

const bundle = new PlatformBundle();
before(async () => {
	await bundle.build();
});
after(() => {
	bundle.remove();
});

type LinkedOptions = {
	readonly delayMs: number;
	/** Whether what the link holds is lost with the process. */
	readonly isLost: boolean;
};

async function startBehindLink(t: TestContext, {delayMs, isLost}: LinkedOptions): Promise<StoppingProcess> {
	const stopping = await StoppingProcess.start(bundle);
	const link = await Link.start({from: {host: '127.0.0.1', port: 0}, to: {host: '127.0.0.1', port: stopping.callersPort}, delayMs: () => delayMs});
	t.after(async () => {
		link.close();
		await stopping.close();
	});
	stopping.callersPort = link.port;
	stopping.process.once('exit', () => {
		if (isLost) {
			link.lose();
		}
	});
	return stopping;
}

for (const isLost of [false, true]) {
	// Guards against a process that ends while the last bytes of its last answers are on their way (LOST).
	test(`the last answers of a stop reach callers that are 100 ms away${isLost ? ' over links that go with the process' : ''}`, async t => {
		const stopping = await startBehindLink(t, {delayMs: 100, isLost});
		const calls = ['/ask/3500', '/sign/3500', '/ask/3600'].map(async path => stopping.call(new Agent({keepAlive: true}), path));
		await delay(500);
		const signalledAtMs = performance.now();
		stopping.process.kill('SIGTERM');
		await stopping.exit(signalledAtMs);
		const outcomes = await Promise.all(calls);
		assert.deepEqual(outcomes.map(({status, isWhole, error}) => `${status ?? error}${isWhole ? '' : ', not whole'}`), ['200', '200', '200']);
	});
}

// Guards against streams whose last bytes are lost with the link of a stopped process that has ended (LOST).
for (const delayMs of [3, 100]) {
	test(`streams that end one after the other during a stop arrive whole over a link of ${delayMs} ms that goes with the process`, async t => {
		const stopping = await startBehindLink(t, {delayMs, isLost: true});
		const agent = new Agent({keepAlive: true});
		t.after(() => {
			agent.destroy();
		});
		const calls = Array.from({length: STREAMS}, async (_, index) => stopping.call(agent, `/ask/${FIRST_LENGTH_MS + (index * STREAM_GAP_MS)}`));
		await delay(500);
		const signalledAtMs = performance.now();
		const exited = once(stopping.process, 'exit');
		stopping.process.kill('SIGTERM');
		await exited;
		const tookMs = performance.now() - signalledAtMs;
		const outcomes = await Promise.all(calls);
		const broken = outcomes.filter(({isWhole}) => !isWhole);
		t.diagnostic(`${broken.length} of ${STREAMS} not whole, process ended after ${Math.round(tookMs)} ms`);
		assert.deepEqual(broken.map(({path, status, error}) => `${path} ${status} ${error}`), []);
	});
}

// Guards against the same for callers that have closed their sending side, and so cannot show that they have read the end (LOST).
test('streams of callers that have closed their sending side arrive whole over a link of 100 ms that goes with the process', async t => {
	const stopping = await startBehindLink(t, {delayMs: 100, isLost: true});
	const callers = Array.from({length: STREAMS}, (_, index) => new SocketCaller(stopping.callersPort).send({path: `/ask/${FIRST_LENGTH_MS + (index * STREAM_GAP_MS)}`, id: `half-${index}`}));
	await delay(300);
	for (const caller of callers) {
		caller.end();
	}

	await delay(200);
	const exited = once(stopping.process, 'exit');
	stopping.process.kill('SIGTERM');
	await exited;
	await delay(100);
	const broken = callers.filter(({answers}) => answers !== 1);
	t.diagnostic(`${broken.length} of ${STREAMS} not whole`);
	assert.deepEqual(broken.map(({text, error}) => `${text.slice(-40)} ${error}`), []);
});
