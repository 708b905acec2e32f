/**
Streams without a length, which end with their connection, at a deployed process that is
stopped meanwhile: their targets have written all, and close in the regular way.
*/
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {Agent, type IncomingMessage, type ServerResponse} from 'node:http';
import {performance} from 'node:perf_hooks';
import {
	after, before, test, type TestContext,
} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {PlatformBundle} from '../standins/platform-process.js';
import {StoppingProcess, type Outcome} from '../standins/stopping-process.js';

const EVENTS = 8;
const EVENT_INTERVAL_MS = 100;
const STREAMS = 10;
const bundle = new PlatformBundle();
before(async () => {
	await bundle.build();
});
after(() => {
	bundle.remove();
});

/** Sends the events after the last that the caller has, with neither a length nor chunks. */
async function sendWithoutLength(request: IncomingMessage, response: ServerResponse, headers: Readonly<Record<string, string>>): Promise<void> {
	if (request.headers['content-length'] !== undefined) {
		await once(request.resume(), 'end');
	}

	response.useChunkedEncodingByDefault = false;
	response.writeHead(200, {...headers, 'content-type': 'text/event-stream'});
	response.flushHeaders();
	for (let event = Number(request.headers['last-event-id'] ?? 0) + 1; event <= EVENTS; event++) {
		await delay(EVENT_INTERVAL_MS);
		response.write(`id: ${event}\ndata: ${event}\n\n`);
	}

	response.end();
}

async function run(t: TestContext, isStopped: boolean): Promise<{readonly outcomes: Outcome[]; readonly stopping: StoppingProcess}> {
	const stopping = await StoppingProcess.start(bundle, {handlers: {'i-1': sendWithoutLength, 'i-2': sendWithoutLength}});
	const agent = new Agent({keepAlive: true});
	t.after(async () => {
		agent.destroy();
		await stopping.close();
	});
	const calls = Promise.all(Array.from({length: STREAMS}, async () => stopping.call(agent, '/ask/800')));
	await delay(3 * EVENT_INTERVAL_MS);
	if (isStopped) {
		stopping.process.kill('SIGTERM');
		await stopping.exit(performance.now());
	}

	return {outcomes: await calls, stopping};
}

for (const isStopped of [false, true]) {
	// Guards against a whole stream without a length that is taken for one that was reset, and cut.
	test(`streams that end with their connection reach their callers whole ${isStopped ? 'from a process that is stopped' : 'at any time'}`, async t => {
		const {outcomes, stopping} = await run(t, isStopped);
		const cut = outcomes.filter(({isWhole}) => !isWhole);
		assert.deepEqual(cut.map(({id}) => stopping.linesOf(id)), []);
		assert.deepEqual(outcomes.map(({events}) => events), outcomes.map(() => EVENTS));
	});
}
