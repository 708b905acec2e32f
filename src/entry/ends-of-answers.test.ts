/**
Answers whose connection is closed or reset before they are whole, with each kind of framing,
for readers that take them at once and for such as let them wait.
*/
import assert from 'node:assert/strict';
import {type Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {test, type TestContext} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {TargetConnections, type TargetResponse} from './target-connections.js';

/** More than is read ahead of a reader. */
const BODY_BYTES = 40_000;
const body = 'x'.repeat(BODY_BYTES);
/** Until then what was sent has been read, as far as a reader that takes nothing allows. */
const ENDS_AFTER_MS = 50;
const READ_AFTER_MS = 150;
const PAUSE_MS = 20;
/** Many times what an end takes to show. */
const WAIT_LIMIT_MS = 3000;
/** Fewer than Node.js reads at once. */
const LAST_BYTES = 'y'.repeat(100);
/** More than any of the answers has. */
const STATED_BYTES = BODY_BYTES + LAST_BYTES.length + 1;

type End = 'reset' | 'close' | 'reset behind the last bytes';

const ends: Readonly<Record<End, (socket: Socket) => void>> = {
	reset(socket) {
		socket.resetAndDestroy();
	},
	close(socket) {
		socket.end();
	},
	'reset behind the last bytes'(socket) {
		// Written and reset before the reader has its turn, so that both arrive at once.
		socket.write(LAST_BYTES);
		socket.resetAndDestroy();
	},
};

/** Answers that are not whole. */
const cutOff = {
	'without a length': body,
	'with a length': `Content-Length: ${STATED_BYTES}\r\n\r\n${body}`,
	'with a length, the last on its connection': `Connection: close\r\nContent-Length: ${STATED_BYTES}\r\n\r\n${body}`,
	'in chunks': `Transfer-Encoding: chunked\r\n\r\n${BODY_BYTES.toString(16)}\r\n${body}\r\n`,
	'in chunks, the last on its connection': `Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n${BODY_BYTES.toString(16)}\r\n${body}\r\n`,
};

async function receive(t: TestContext, answer: string, end: End, endsAfterMs = ENDS_AFTER_MS): Promise<TargetResponse> {
	const server = createServer(socket => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			socket.write(`HTTP/1.1 200 OK\r\n${answer}`);
			if (endsAfterMs === 0) {
				ends[end](socket);
				return;
			}

			setTimeout(() => {
				ends[end](socket);
			}, endsAfterMs);
		});
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	const connections = new TargetConnections();
	t.after(async () => {
		server.close();
		await connections.close();
	});
	return connections.request(`127.0.0.1:${(server.address() as AddressInfo).port}`, {
		method: 'GET', path: '/', headers: [], body: undefined, signal: t.signal, usesFreshConnection: true, maxConnections: 1,
	});
}

for (const [framing, answer] of Object.entries(cutOff)) {
	for (const end of ['reset', 'close', 'reset behind the last bytes'] as const) {
		if (framing === 'without a length' && end === 'close') {
			continue;
		}

		for (const readAfterMs of [0, READ_AFTER_MS]) {
			// Guards against an answer that ends for nobody, or looks whole: undici took a reset for the regular end of an answer that is the last on its connection, and threw an uncaught error while its reader was slow.
			test(`an answer ${framing} fails when its connection ends by a ${end}, for a reader that begins after ${readAfterMs} ms`, {timeout: WAIT_LIMIT_MS}, async t => {
				const response = await receive(t, framing === 'without a length' ? `\r\n${answer}` : answer, end);
				await delay(readAfterMs);
				await assert.rejects(response.body.text());
			});
		}
	}
}

for (const bytes of [1000, 16_384, 20_000, 60_000]) {
	for (const endsAfterMs of [0, ENDS_AFTER_MS]) {
		// Guards against an uncaught error, and a request that ends at its deadline only: the end of the connection came while undici's parser was paused.
		test(`an answer of ${bytes} bytes without a length whose connection ends ${endsAfterMs} ms later is whole for a reader that begins late and pauses`, {timeout: WAIT_LIMIT_MS}, async t => {
			const response = await receive(t, `\r\n${'x'.repeat(bytes)}`, 'close', endsAfterMs);
			await delay(READ_AFTER_MS);
			let read = 0;
			for await (const chunk of response.body) {
				read += (chunk as Buffer).length;
				await delay(PAUSE_MS);
			}

			assert.equal(read, bytes);
		});

		test(`an answer of ${bytes} bytes without a length whose connection is reset ${endsAfterMs} ms later fails for a reader that begins late and pauses`, {timeout: WAIT_LIMIT_MS}, async t => {
			const response = await receive(t, `\r\n${'x'.repeat(bytes)}`, 'reset', endsAfterMs);
			await delay(READ_AFTER_MS);
			await assert.rejects(async () => {
				for await (const chunk of response.body) {
					assert.ok((chunk as Buffer).length <= bytes);
					await delay(PAUSE_MS);
				}
			});
		});
	}
}
