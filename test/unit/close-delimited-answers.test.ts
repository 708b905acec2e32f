/**
Answers with neither a length nor chunks, which end with their connection: whole ones
reach the caller whole, and a stream that ends inside an event has been broken off.
*/
import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {request as httpRequest} from 'undici';
import {FakeRunner, FakeStore, type RunnerBehaviour} from '../standins/fake-store-and-runner.js';
import {startPlatformInstance, streamConfiguration, type PlatformInstance} from '../standins/platform-instance.js';

const store = new FakeStore();
const runners = [new FakeRunner('i-1'), new FakeRunner('i-2')] as const;
let instance: PlatformInstance;

before(async () => {
	const storeAddress = await store.start();
	const [ask] = streamConfiguration.routes;
	store.put('op', 'config', {
		...streamConfiguration,
		routes: [
			ask,
			{
				...ask, name: 'once', prefix: '/once/', resumable: false,
			},
			{
				...ask, name: 'read', prefix: '/read/', kind: 'idempotent',
			},
		],
	});
	for (const runner of runners) {
		await runner.start();
		store.put('servers', runner.id, runner.entry('llm', 'north'));
	}

	instance = await startPlatformInstance({id: 'one', storeAddress});
	while (!instance.daemon.isReady || instance.daemon.state.targets.size < runners.length) {
		await delay(20);
	}
});

after(async () => {
	await instance.daemon.stop();
	store.stop();
	for (const runner of runners) {
		runner.stop();
	}
});

let counter = 0;

/** Sends a request whose first try is handled as given, by either runner. Returns its status and text; the text is undefined if the response breaks off. */
async function send(path: string, behaviour: RunnerBehaviour): Promise<{status: number; text: string | undefined; tries: number}> {
	counter++;
	const id = `r${counter}`;
	const received = () => runners.flatMap(({receivedRequests}) => receivedRequests).length;
	const receivedBefore = received();
	const behaviours = [behaviour];
	for (const runner of runners) {
		runner.behaviours = behaviours;
	}

	const {statusCode, body} = await httpRequest(`http://${instance.callers}${path}`, {
		method: 'POST', body: 'x', headers: {
			host: 'a.example', 'x-pollenarch-request-id': id, 'x-pollenarch-request-deadline': '3000', ...(path.startsWith('/read') ? {} : {'x-pollenarch-token-usage': '10,10'}),
		},
	});
	let text: string | undefined;
	try {
		text = await body.text();
	} catch {
		// Broken off.
	}

	return {status: statusCode, text, tries: received() - receivedBefore};
}

function idsOf(text: string | undefined): string {
	return [...text?.matchAll(/id: (?<id>\d+)/gv) ?? []].map(match => match.groups?.id).join(' ');
}

// Guards against whole answers that are taken for cut ones and replaced by a 502 or a closed connection, since they end with their own connection.
test('a whole answer and a whole stream that end with their connection reach the caller whole, after one try', async () => {
	const answer = await send('/read/1', 'close-delimited');
	assert.equal(answer.status, 200);
	assert.match(answer.text ?? '', /^answer of i-[12] to r\d+$/v);
	for (const path of ['/ask/1', '/once/1']) {
		const stream = await send(path, 'close-delimited');
		assert.deepEqual([stream.status, idsOf(stream.text), stream.tries], [200, '1 2 3 4 5', 1]);
	}
});

/** Sends a request whose first target ends with an answer without a length, and has that target come back. */
async function sendToTargetThatEnds(path: string, behaviour: RunnerBehaviour = 'close-down'): Promise<Awaited<ReturnType<typeof send>>> {
	const sent = await send(path, behaviour);
	for (const runner of runners) {
		await runner.restart();
	}

	return sent;
}

// Guards against whole answers of a target that leaves and only accepts no more, taken for cut off.
test('a stream without a length whose target accepts no more, but has another connection open, is whole', async () => {
	const others = [send('/once/1', 'pause')];
	await delay(100);
	others.push(send('/once/2', 'pause'));
	await delay(100);
	const stream = await sendToTargetThatEnds('/once/3', 'close-listener');
	assert.equal(idsOf(stream.text), '1 2 3 4 5');
	for (const other of await Promise.all(others)) {
		assert.equal(idsOf(other.text), '1 2 3 4 5');
	}

	const alone = await sendToTargetThatEnds('/once/4', 'close-listener');
	assert.equal(alone.text, undefined, 'nothing shows that it is whole');
});

// Guards against a short answer that looks whole, since its target went down and closed the connection in the regular way.
test('an answer without a length whose target goes down is taken from another one', async () => {
	const answer = await sendToTargetThatEnds('/read/1');
	assert.equal(answer.status, 200);
	assert.match(answer.text ?? '', /^answer of i-[12] to r\d+$/v);
	assert.equal(answer.tries, 2);
});

test('a stream without a length whose target goes down breaks off, or goes on at another one where that is allowed', async () => {
	const resumed = await sendToTargetThatEnds('/ask/1');
	assert.equal(idsOf(resumed.text), '1 2 3 4 5');
	assert.equal(resumed.tries, 2);
	const once = await sendToTargetThatEnds('/once/1');
	assert.deepEqual([once.text, once.tries], [undefined, 1]);
});

// Guards against taking the end of a connection for the end of a stream.
test('a stream that ends inside an event goes on at another runner where that is allowed', async () => {
	const stream = await send('/ask/1', 'close-inside');
	assert.equal(stream.status, 200);
	assert.equal(idsOf(stream.text), '1 2 3 4 5');
	assert.ok(stream.tries >= 2);
});

test('a stream that ends inside an event and may not repeat breaks off, so that the caller cannot take it for whole', async () => {
	const stream = await send('/once/1', 'close-inside');
	assert.equal(stream.text, undefined);
	assert.equal(stream.tries, 1);
});
