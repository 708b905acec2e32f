/**
What is looked at right before a request is written to a target.
*/
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {connect, type AddressInfo} from 'node:net';
import {performance} from 'node:perf_hooks';
import {test, type TestContext} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {EventLoop} from './event-loop.js';
import {TargetConnections} from './target-connections.js';

const HELD_UP_MS = 150;

type Written = {
	readonly received: string[];
	readonly address: string;
	readonly send: (id: string, options?: {readonly usesFreshConnection?: boolean; readonly signal?: AbortSignal; readonly headers?: () => string[]}) => Promise<number>;
};

async function start(t: TestContext): Promise<Written> {
	const received: string[] = [];
	const server = createServer((request, response) => {
		received.push(request.url ?? '');
		response.end('x');
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
	const connections = new TargetConnections({eventLoop: new EventLoop()});
	t.after(async () => {
		await connections.close();
		server.close();
	});
	return {
		received, address, async send(id, {usesFreshConnection = false, signal = new AbortController().signal, headers = () => []} = {}) {
			const response = await connections.request(address, {
				method: 'POST', path: `/${id}`, headers, body: undefined, signal, usesFreshConnection, maxConnections: 4,
			});
			await response.body.dump();
			return response.status;
		},
	};
}

function holdUp(): void {
	const endsAtMs = performance.now() + HELD_UP_MS;
	while (performance.now() < endsAtMs) {
		// Busy.
	}
}

for (const usesFreshConnection of [true, false]) {
	const kind = usesFreshConnection ? 'its own connection' : 'a kept connection';

	// Guards against requests that are written long after their deadline, since their process was behind after the decision (GONE).
	test(`a request whose time has passed when it could be written is not written, on ${kind}`, async t => {
		const {send, received} = await start(t);
		assert.equal(await send('first'), 200);
		const sentAtMs = performance.now();
		const sent = send('late', {
			usesFreshConnection, headers() {
				if (performance.now() - sentAtMs > HELD_UP_MS) {
					throw new Error('expired');
				}

				return [];
			},
		});
		holdUp();
		await assert.rejects(sent, /expired/v);
		await delay(50);
		assert.deepEqual(received, ['/first']);
		assert.equal(await send('next'), 200);
	});

	// Guards against requests that are written although their callers' leaving had arrived before (GONE).
	test(`a request is not written once its caller's leaving has arrived, on ${kind}`, async t => {
		const {send, received} = await start(t);
		assert.equal(await send('first'), 200);
		const callers = createServer((request, response) => {
			const controller = new AbortController();
			response.once('close', () => {
				controller.abort();
			});
			void (async () => {
				await assert.rejects(send('left', {usesFreshConnection, signal: controller.signal}));
			})();

			// The caller leaves while this process is busy.
			caller.destroy();
			holdUp();
		});
		callers.listen(0, '127.0.0.1');
		await once(callers, 'listening');
		t.after(() => {
			callers.close();
		});
		const caller = connect((callers.address() as AddressInfo).port, '127.0.0.1');
		caller.write('POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 0\r\n\r\n');
		await delay(2 * HELD_UP_MS);
		assert.deepEqual(received, ['/first']);
	});
}
