/**
Targets that write an answer once more, late, where the next one on the connection is due.
Their answers name no request, so that a second copy cannot be told from an answer.
*/
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {test, type TestContext} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {type Failure} from '../../core/request/types.js';
import {createPlainGateway} from './plain.js';
import {type Gateway} from './types.js';

const refusal = 'HTTP/1.1 429 Too Many\r\nContent-Length: 2\r\n\r\n{}';

type TryEnd = {
	readonly failure: Failure | undefined;
	readonly text: string | undefined;
};

/** A target that answers as scripted, and writes each answer a second time ahead of the next one on its connection. */
async function start(t: TestContext, answers: readonly string[]): Promise<Gateway> {
	const sockets = new Set<Socket>();
	const left = [...answers];
	const server = createServer(socket => {
		sockets.add(socket);
		let lateCopy = '';
		let received = '';
		socket.on('error', () => {
			socket.destroy();
		});
		socket.on('data', chunk => {
			received += chunk.toString('latin1');
			if (received.endsWith('body') || (received.startsWith('GET') && received.endsWith('\r\n\r\n'))) {
				received = '';
				const answer = left.shift()!;
				socket.write(lateCopy + answer);
				lateCopy = answer;
			}
		});
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	const gateway = createPlainGateway({address: `http://127.0.0.1:${(server.address() as AddressInfo).port}`});
	t.after(async () => {
		await gateway.close();
		for (const socket of sockets) {
			socket.destroy();
		}

		server.close();
	});
	return gateway;
}

async function send(gateway: Gateway, signal: AbortSignal): Promise<TryEnd> {
	let end: TryEnd | undefined;
	await gateway.send({
		request: {
			requestId: 'r', method: 'POST', path: '/signoffs', headers: {}, body: Buffer.from('body'), stream: false, notRunStatuses: [429], forwardsServerErrors: true,
		},
		continuation: {kind: 'whole'},
		deliveredText: () => '',
		signal,
	}, {
		async events() {
			// These tests use no streams.
		},
		async bytes() {
			// These tests use no large responses.
		},
		completed(response) {
			end = {failure: undefined, text: response?.body.toString()};
		},
		failed(failure) {
			end = {failure, text: undefined};
		},
	});
	// Lets the connection become idle.
	await delay(50, undefined, {signal});
	return end!;
}

function whole(text: string): string {
	return `HTTP/1.1 200 OK\r\nContent-Length: ${text.length}\r\n\r\n${text}`;
}

const limit = {timeout: 10_000};

// Guards against "not run" for a request that runs, and against its second run at another target.
test('the copy of a refusal is not taken for the answer to a request that runs', limit, async t => {
	const gateway = await start(t, [refusal, whole('first')]);
	assert.deepEqual(await send(gateway, t.signal), {failure: 'refused', text: undefined});
	assert.deepEqual(await send(gateway, t.signal), {failure: undefined, text: 'first'});
});

// Guards against an answer that reaches the caller of another request.
test('the copy of an answer is not taken for the answer to the next request', limit, async t => {
	const gateway = await start(t, [whole('first'), whole('second')]);
	assert.deepEqual(await send(gateway, t.signal), {failure: undefined, text: 'first'});
	assert.deepEqual(await send(gateway, t.signal), {failure: undefined, text: 'second'});
});

// Guards against a sound target that counts as unreachable because the refusal of an earlier report came once more.
test('the copy of a refused report is not taken for the next report', limit, async t => {
	const report = JSON.stringify({boot: 'b', running: 3});
	const gateway = await start(t, [refusal, refusal, whole(report), whole(report)]);
	assert.equal(await gateway.report(), undefined);
	await delay(50);
	const {running} = await gateway.report() ?? {};
	assert.equal(running, 3);
});

// Guards against requests that go on at a target after its gateway was closed.
test('a gateway that is closed ends its requests', limit, async t => {
	const gateway = await start(t, ['HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart']);
	const sent = send(gateway, t.signal);
	await delay(50);
	await gateway.close();
	const {failure} = await sent;
	assert.equal(failure, 'truncated');
});
