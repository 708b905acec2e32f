/**
Reading in turns: how much of one connection is handled at once, and that nothing of a
response is lost or changed by it.
*/
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {randomBytes} from 'node:crypto';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {test, type TestContext} from 'node:test';
import {setImmediate, setTimeout as delay} from 'node:timers/promises';
import {GuardedClient} from './guarded-client.js';

/** One chunk as it arrives, and one that has waited. */
const ROUND_BYTES_MAX = 2 * 16 * 1024;
const BODY_BYTES = 3 * 1024 * 1024;

/** Returns a function that opens further connections. */
async function startServer(t: TestContext, answer: (socket: Socket) => void): Promise<() => GuardedClient> {
	const sockets = new Set<Socket>();
	const server = createServer(socket => {
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.once('data', () => {
			answer(socket);
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const clients: GuardedClient[] = [];
	t.after(async () => {
		await Promise.all(clients.map(async client => client.destroy()));
		for (const socket of sockets) {
			socket.destroy();
		}

		server.close();
	});
	return () => {
		const client = new GuardedClient(`http://127.0.0.1:${(server.address() as AddressInfo).port}`, {connect: {timeout: 1000}});
		clients.push(client);
		return client;
	};
}

const wholeAnswer = Buffer.concat([Buffer.from(`HTTP/1.1 200 OK\r\nContent-Length: ${BODY_BYTES}\r\n\r\n`), Buffer.alloc(BODY_BYTES, 'a')]);

// Guards against one target's bytes that are handled all at once, while the requests of others wait for seconds.
test('a response at line speed is handled in small parts, one or two in a round of the event loop', async t => {
	const openClient = await startServer(t, socket => {
		socket.end(wholeAnswer);
	});
	const {body} = await openClient().request({method: 'GET', path: '/'});
	let received = 0;
	body.on('data', (chunk: Buffer) => {
		received += chunk.length;
	});
	let largest = 0;
	let before = received;
	while (!body.readableEnded) {
		await setImmediate();
		largest = Math.max(largest, received - before);
		before = received;
	}

	assert.equal(received, BODY_BYTES);
	assert.ok(largest <= ROUND_BYTES_MAX, `${largest} bytes in one round`);
});

// Guards against an end or a part of a response that is lost because its bytes wait for their turn.
for (const [framing, head, encode] of [
	['with a length', `Content-Length: ${BODY_BYTES}\r\n`, (part: Buffer) => part],
	['in chunks', 'Transfer-Encoding: chunked\r\n', (part: Buffer) => Buffer.concat([Buffer.from(`${part.length.toString(16)}\r\n`), part, Buffer.from('\r\n')])],
	['until the connection closes', 'Connection: close\r\n', (part: Buffer) => part],
] as const) {
	test(`a body ${framing} arrives unchanged at a reader that pauses now and then`, async t => {
		const sent = randomBytes(BODY_BYTES);
		const openClient = await startServer(t, socket => {
			socket.write(`HTTP/1.1 200 OK\r\n${head}\r\n`);
			for (let start = 0; start < BODY_BYTES; start += 100_000) {
				socket.write(encode(sent.subarray(start, start + 100_000)));
			}

			socket.end(framing === 'in chunks' ? '0\r\n\r\n' : '');
		});
		const {body} = await openClient().request({method: 'GET', path: '/'});
		const parts: Buffer[] = [];
		for await (const part of body) {
			parts.push(part as Buffer);
			if (parts.length % 20 === 0) {
				await delay(1);
			}
		}

		assert.ok(Buffer.concat(parts).equals(sent));
	});
}

// Guards against bytes that wait for ever because the time for their round had passed.
test('many responses at line speed all end', {timeout: 30_000}, async t => {
	const openClient = await startServer(t, socket => {
		socket.end(wholeAnswer);
	});
	const sizes = await Promise.all(Array.from({length: 20}, async () => {
		const {body} = await openClient().request({method: 'GET', path: '/'});
		const bytes = await body.bytes();
		return bytes.length;
	}));
	assert.deepEqual(sizes, Array.from({length: 20}, () => BODY_BYTES));
});
