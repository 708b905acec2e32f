/**
Callers that stop reading for a while, so that nothing of their streams is read from a sound
target either: the deployed process must not take it for silent.
*/
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {Agent} from 'node:http';
import {after, before, test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {PlatformBundle} from '../standins/platform-process.js';
import {StoppingProcess, type RunHandler} from '../standins/stopping-process.js';

/** Together more than the buffers between a runner and its caller hold. */
const EVENTS = 40;
const EVENT_BYTES = 250_000;
const event = (id: number): string => `id: ${id}\ndata: ${'x'.repeat(EVENT_BYTES)}\n\n`;
const CALLERS = 8;
/** Longer than sound targets pause. */
const READ_PAUSE_MS = 2400;

const bundle = new PlatformBundle();
before(async () => {
	await bundle.build();
});
after(() => {
	bundle.remove();
});

/** A sound runner, which waits for its own buffer to drain. */
const sound: RunHandler = async (request, response, headers) => {
	response.writeHead(200, {...headers, 'content-type': 'text/event-stream'});
	for (let id = Number(request.headers['last-event-id'] ?? 0) + 1; id <= EVENTS && !response.destroyed; id++) {
		if (!response.write(event(id))) {
			await Promise.race([once(response, 'drain'), once(response, 'close')]);
		}
	}

	response.end();
};

/** Breaks each stream off after one event. */
const broken: RunHandler = async (request, response, headers) => {
	response.writeHead(200, {...headers, 'content-type': 'text/event-stream'});
	response.write(event(Number(request.headers['last-event-id'] ?? 0) + 1));
	await delay(50);
	request.socket.resetAndDestroy();
};

for (const stopsAfterMs of [undefined, 300]) {
	// Guards against a sound run that is left for another target, which breaks off, since its caller reads slowly (LOST).
	test(`a stream stays at a sound target while its caller does not read${stopsAfterMs === undefined ? '' : ', also in a process that stops'}`, async t => {
		const firstRunners = new Map<string, string>();
		let soundRunner: string | undefined;
		const runs = (id: string): RunHandler => async (request, response, headers) => {
			soundRunner ??= id;
			const requestId = headers['x-pollenarch-request-id']!;
			firstRunners.set(requestId, firstRunners.get(requestId) ?? id);
			await (id === soundRunner ? sound : broken)(request, response, headers);
		};

		const stopping = await StoppingProcess.start(bundle, {readPauseMs: READ_PAUSE_MS, handlers: {'i-1': runs('i-1'), 'i-2': runs('i-2')}});
		const agent = new Agent();
		t.after(async () => {
			agent.destroy();
			await stopping.close();
		});
		const calls = Array.from({length: CALLERS}, async () => stopping.call(agent, '/ask/1'));
		if (stopsAfterMs !== undefined) {
			await delay(stopsAfterMs);
			stopping.process.kill('SIGTERM');
		}

		const all = await Promise.all(calls);
		const outcomes = all.filter(({id}) => firstRunners.get(id) === soundRunner);
		assert.ok(outcomes.length > 0);
		t.diagnostic(JSON.stringify(outcomes.map(({id, isWhole}) => [isWhole, stopping.runs.get(id)?.length])));
		assert.deepEqual(outcomes.map(({isWhole}) => isWhole), outcomes.map(() => true));
		assert.deepEqual(outcomes.map(({id}) => stopping.runs.get(id)?.length), outcomes.map(() => 1));
	});
}
