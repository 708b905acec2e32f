/**
A complete daemon that reuses connections to runners for requests of all kinds: nothing
reaches the wrong caller, and nothing that must run at most once runs twice.
*/
import assert from 'node:assert/strict';
import {
	after, before, test, type TestContext,
} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {request as httpRequest} from 'undici';
import {FakeRunner, FakeStore} from '../standins/fake-store-and-runner.js';
import {startPlatformInstance, streamConfiguration, type PlatformInstance} from '../standins/platform-instance.js';

const configuration = {
	...streamConfiguration,
	routes: [
		...streamConfiguration.routes,
		{
			name: 'look', host: 'a.example', prefix: '/look/', kind: 'idempotent', timeoutMs: 1500, targetLatencyMs: 200, priority: 1, service: 'llm', maxAttempts: 1,
		},
		{
			name: 'sign', host: 'a.example', prefix: '/sign/', kind: 'non_idempotent', timeoutMs: 1500, targetLatencyMs: 200, priority: 1, service: 'llm', maxAttempts: 1,
		},
	],
};

const store = new FakeStore();
const runner = new FakeRunner('t-1');
let instance: PlatformInstance;
let storeAddress: string;
let counter = 0;
const limit = {timeout: 10_000};

before(async () => {
	await runner.start();
	storeAddress = await store.start();
	store.put('op', 'config', configuration);
	store.put('servers', runner.id, runner.entry('llm', 'north'));
	instance = await startPlatformInstance({id: 'instance-1', storeAddress, reuse: 'all'});
	while (!instance.daemon.isReady || instance.daemon.state.targets.size === 0) {
		await delay(20);
	}
});

after(async () => {
	await instance.daemon.stop();
	store.stop();
	runner.stop();
});

async function send(path: string): Promise<{id: string; status: number; text: string; isSigned: boolean}> {
	counter++;
	const id = `r${counter}`;
	const {statusCode, headers, body} = await httpRequest(`http://${instance.callers}${path}`, {
		method: 'POST', body: `body of ${id}`, headers: {host: 'a.example', 'x-pollenarch-request-id': id, 'x-pollenarch-request-deadline': '1500'},
	});
	return {
		id, status: statusCode, text: await body.text(), isSigned: 'x-pollenarch-server-signature' in headers,
	};
}

function arrivalsOf(id: string): number {
	return runner.receivedRequests.filter(({headers}) => headers['x-pollenarch-request-id'] === id).length;
}

async function keepConnection(t: TestContext): Promise<void> {
	while (!instance.daemon.connections.hasIdle(runner.address)) {
		await delay(5, undefined, {signal: t.signal});
	}
}

test('many requests that must run at most once need one connection', limit, async t => {
	for (let count = 0; count < 10; count++) {
		const {id, status, text} = await send('/sign/1');
		assert.deepEqual([status, text], [200, `answer of t-1 to ${id}`]);
		assert.equal(arrivalsOf(id), 1);
		await keepConnection(t);
	}

	assert.equal(new Set(runner.receivedRequests.map(({remotePort}) => remotePort)).size, 1);
});

// Guards against a late second answer to an earlier request that reaches the caller of the next one, or says "not run" in its place.
for (const behaviour of ['foreign', 'nameless-error', 'reset', 'truncate'] as const) {
	test(`a request that must run at most once gets no answer of another one, and runs once, when a kept connection brings: ${behaviour}`, limit, async t => {
		await send('/sign/1');
		await keepConnection(t);
		runner.behaviours = [behaviour];
		const {id, status} = await send('/sign/1');
		assert.equal(status, 502);
		assert.equal(arrivalsOf(id), 1);
		const next = await send('/sign/1');
		assert.deepEqual([next.status, next.text], [200, `answer of t-1 to ${next.id}`]);
		const [first, second, third] = runner.receivedRequests.slice(-3).map(({remotePort}) => remotePort);
		assert.equal(second, first, 'it was sent over the kept connection');
		assert.notEqual(third, second, 'the connection is not used again');
	});
}

// Guards against sound requests that end with 502 because the copy of another request's refusal came ahead of their answers.
for (const kind of ['look', 'sign'] as const) {
	test(`the copy of a refusal takes no other request with it: ${kind}`, limit, async t => {
		await send('/sign/1');
		await keepConnection(t);
		runner.behaviours = ['decline-twice'];
		const {status: declined} = await send('/sign/1');
		assert.equal(declined, 200);
		await keepConnection(t);
		const answers = await Promise.all(Array.from({length: 2}, async () => send(`/${kind}/1`)));
		for (const {id, status, text} of answers) {
			assert.deepEqual([status, text, arrivalsOf(id)], [200, `answer of t-1 to ${id}`, 1]);
		}
	});
}

// Guards against "not run" for a request that runs: the second copy of an earlier refusal bears the id of the retry, and was taken for its answer.
test('a request that its only runner turned away is not sent again over the connection that may bring the refusal once more', limit, async t => {
	await send('/sign/1');
	await keepConnection(t);
	runner.behaviours = ['decline-twice'];
	const {id, status, text} = await send('/sign/1');
	assert.deepEqual([status, text], [200, `answer of t-1 to ${id}`]);
	const [first, second] = runner.receivedRequests.slice(-2).map(({remotePort}) => remotePort);
	assert.equal(arrivalsOf(id), 2);
	assert.notEqual(second, first, 'the retry has a connection of its own');
});

// Guards against a second run: the second copy of a refusal hides the answer of the runner that runs the request, which then went to the other runner too.
test('a request that both runners turned away at first runs at one of them', limit, async t => {
	const other = await new FakeRunner('t-2').start();
	t.after(() => {
		store.deleteRow('servers', other.id);
		other.stop();
	});
	store.put('servers', other.id, other.entry('llm', 'north'));
	while (!instance.daemon.state.targets.has(other.id)) {
		await delay(20, undefined, {signal: t.signal});
	}

	const runners = [runner, other];
	for (const {behaviours} of runners) {
		behaviours.splice(0, behaviours.length, 'decline-twice');
	}

	const {id, status, text} = await send('/sign/1');
	const arrivals = runners.flatMap(({id: runnerId, receivedRequests}) => receivedRequests.filter(({headers}) => headers['x-pollenarch-request-id'] === id).map(() => runnerId));
	const declined = runners.filter(({behaviours}) => behaviours.length === 0);
	assert.equal(status, 200, text);
	assert.deepEqual([arrivals.length - declined.length, declined.length], [1, 2]);
});

// Guards against "not run" for a request that ran: these statuses promise it to callers, and a target that does not state it has promised nothing.
for (const behaviour of ['408', '429', '503'] as const) {
	test(`a target answers ${behaviour} without stating that it did not run the request: the caller is promised nothing`, limit, async () => {
		runner.behaviours = [behaviour];
		const {id, status, isSigned} = await send('/sign/1');
		assert.equal(status, 502);
		assert.equal(isSigned, false, 'its signature is for its own status');
		assert.equal(arrivalsOf(id), 1);
	});
}

// Guards against an answer to another request, without an id, that reaches the caller of the next one where only repeatable requests reuse connections.
test('with `repeatable`, an answer that names no request on a kept connection is not passed on', limit, async t => {
	const repeatable = await startPlatformInstance({id: 'instance-2', storeAddress});
	t.after(async () => repeatable.daemon.stop());
	while (!repeatable.daemon.isReady || repeatable.daemon.state.targets.size === 0) {
		await delay(20, undefined, {signal: t.signal});
	}

	const ask = async (id: string) => {
		const {statusCode, body} = await httpRequest(`http://${repeatable.callers}/look/1`, {headers: {host: 'a.example', 'x-pollenarch-request-id': id, 'x-pollenarch-request-deadline': '1500'}});
		return [statusCode, await body.text()];
	};

	assert.deepEqual(await ask('first'), [200, 'answer of t-1 to first']);
	while (!repeatable.daemon.connections.hasIdle(runner.address)) {
		await delay(5, undefined, {signal: t.signal});
	}

	runner.behaviours = ['nameless-error'];
	const [status, text] = await ask('second');
	assert.equal(status, 502);
	assert.doesNotMatch(String(text), /of another request/v);
});
