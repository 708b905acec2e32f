/**
Every request that a daemon has read ends for its caller: with the whole answer, with a
refusal, or with a connection that is closed before an answer looks complete.
*/
import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {headerCodec} from '../../platform/header-codec.js';
import {type HeaderCodec} from '../../src/entry/deployment.js';
import {
	chunk, responseHead, ScriptedDeployment, waitUntil, type Script,
} from '../standins/scripted-deployment.js';

async function start(t: TestContext, script: Script, overrides: Partial<HeaderCodec> = {}): Promise<ScriptedDeployment> {
	const deployment = await ScriptedDeployment.start({script, headerCodec: {...headerCodec, ...overrides}});
	t.after(async () => deployment.stop());
	return deployment;
}

const brokenFirstEvents: Readonly<Record<string, Script>> = {
	'an answer that ends in the middle of it'(socket, {id}) {
		socket.end(`${responseHead(id, 'Transfer-Encoding: chunked')}${chunk('id: 1\nda')}0\r\n\r\n`);
	},
	'a reset of an answer without length'(socket, {id}) {
		socket.write(`${responseHead(id, 'Connection: close')}id: 1\nda`, () => {
			setTimeout(() => {
				socket.resetAndDestroy();
			}, 20);
		});
	},
};

for (const [failure, script] of Object.entries(brokenFirstEvents)) {
	// Guards against a response head that is taken for sent before the first event: the refusal could then not be written, and the caller got nothing.
	test(`a stream whose first event is cut off at every target, by ${failure}, is refused with 502`, async t => {
		const deployment = await start(t, script);
		const caller = deployment.connect();
		caller.send('/ask/1', 'a1');
		await caller.waitFor('\r\n\r\n');
		assert.match(caller.text, /^HTTP\/1\.1 502 /v);
		assert.equal(deployment.received, 2);
	});
}

function answer(...[socket, {id}]: Parameters<Script>): void {
	socket.write(`${responseHead(id, 'Content-Length: 5')}whole`);
}

function fail(): never {
	throw new Error('unexpected');
}

const unexpectedErrors: Readonly<Record<string, Partial<HeaderCodec>>> = {
	'reading the request': {parseRequest: fail},
	'building the request to the target': {buildTargetHeaders: fail},
	'reading the response': {parseResponse: fail},
};

for (const [where, overrides] of Object.entries(unexpectedErrors)) {
	// Guards against an unexpected error that leaves a request without a response until its deadline, or for ever.
	test(`a request is refused with 502 at once after an unexpected error in ${where}`, async t => {
		const deployment = await start(t, answer, overrides);
		const caller = deployment.connect();
		caller.send('/sign/1', 'a1');
		await caller.waitFor('\r\n\r\n');
		assert.match(caller.text, /^HTTP\/1\.1 502 /v);
	});
}

// Guards against a connection that stays open without a response when the response cannot be written.
test('a connection is closed when its response cannot be written', async t => {
	const deployment = await start(t, answer, {buildProblemHeaders: () => ({'x-invalid': 'line\nbreak'})});
	const caller = deployment.connect();
	caller.send('/unknown/1', 'a1');
	await caller.waitFor('\r\n\r\n');
	assert.ok(caller.isClosed);
});

// Guards against effects that are lost with the event whose handling failed: the core counts requests as ended that no caller got a response to.
test('requests that the core closed while it handled an event that failed are refused with 502', async t => {
	const deployment = await start(t, () => undefined);
	const caller = deployment.connect();
	caller.send('/sign/1', 'a1');
	await waitUntil(() => deployment.received === 1);
	const {state} = deployment.daemon;
	state.open.delete('a1');
	const {routes} = state;
	state.routes = {...routes, get: fail};
	const second = deployment.connect();
	second.send('/sign/1', 'a2');
	await Promise.all([caller.waitFor('\r\n\r\n'), second.waitFor('\r\n\r\n')]);
	state.routes = routes;
	assert.match(caller.text, /^HTTP\/1\.1 502 /v);
	assert.match(second.text, /^HTTP\/1\.1 502 /v);
});

// Guards against a stream that ends as if it was complete when the target that resumes it answers with an error of the caller or a redirect.
for (const status of ['404 Not Found', '308 Permanent Redirect']) {
	test(`a stream that is answered with ${status} when it is resumed does not look complete`, async t => {
		const deployment = await start(t, (socket, {id, index}) => {
			if (index === 0) {
				socket.write(`${responseHead(id, 'Transfer-Encoding: chunked')}${chunk('id: 1\ndata: x\n\n')}`, () => {
					setTimeout(() => {
						socket.resetAndDestroy();
					}, 20);
				});
				return;
			}

			socket.write(responseHead(id, 'Content-Length: 0').replace('200 OK', status));
		});
		const caller = deployment.connect();
		caller.send('/ask/1', 'a1');
		await caller.waitFor('\r\n0\r\n');
		assert.ok(caller.isClosed);
		assert.match(caller.text, /id: 1\ndata: x/v);
		assert.doesNotMatch(caller.text, /\r\n0\r\n/v);
		assert.equal(deployment.received, 2);
	});
}

const LARGE_BODY = 'x'.repeat(7_900_000);

// Guards against a stop that closes a connection as idle while its last response is still on the way to a slow caller.
test('a caller that reads slowly gets its whole answer from an instance that stops', async t => {
	const deployment = await start(t, (socket, {id}) => {
		socket.write(`${responseHead(id, `Content-Length: ${LARGE_BODY.length}`)}${LARGE_BODY}`);
	});
	const idle = deployment.connect();
	idle.send('/unknown/1', 'a1');
	await idle.waitFor('\r\n0\r\n');
	const caller = deployment.connect();
	caller.socket.pause();
	caller.send('/sign/1', 'a2');
	await waitUntil(() => deployment.daemon.state.open.size === 0 && deployment.received === 1);
	deployment.daemon.drain();
	// Until the listener has been closed for longer than responses usually take to be flushed.
	await waitUntil(() => idle.isClosed);
	await delay(1500);
	caller.socket.resume();
	await waitUntil(() => caller.isClosed);
	assert.equal(caller.text.split('\r\n\r\n', 2)[1]?.length, LARGE_BODY.length);
	await deployment.daemon.stopped;
});

// Guards against 400 for a head that is late: callers do not repeat the request after it, while 408 promises that it has not run.
test('a connection whose request head does not arrive in time is refused with 408 and closed', async t => {
	const deployment = await start(t, answer);
	const fresh = deployment.connect();
	const partial = deployment.connect();
	partial.socket.write('POST /sign/1 HTTP/1.1\r\nHost: a.example\r\n');
	await Promise.all([waitUntil(() => fresh.isClosed), waitUntil(() => partial.isClosed)]);
	assert.match(fresh.text, /^(?:HTTP\/1\.1 408 |$)/v);
	assert.match(partial.text, /^HTTP\/1\.1 408 /v);
});

// Guards against a request that waited, whole, while the process was held up, and is refused because its head was not read in time.
test('a request that arrived while the process was held up for longer than the time for a head is served', async t => {
	const deployment = await start(t, answer);
	const caller = deployment.connect();
	await delay(100);
	await new Promise(resolve => {
		setImmediate(resolve);
	});
	caller.send('/sign/1', 'a1');
	// Blocks this process, and with it the daemon, until the time for the head and the interval of its check have passed.
	Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 2000);
	await caller.waitFor('whole');
	assert.match(caller.text, /^HTTP\/1\.1 200 /v);
});
