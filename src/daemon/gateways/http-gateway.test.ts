/**
How failures on real connections are classified: whether a request cannot have run at the
target, or may have run.
*/
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type Socket, type AddressInfo} from 'node:net';
import {test} from 'node:test';
import {type Failure} from '../../core/request/types.js';
import {createPlainGateway} from './plain.js';
import {type TryRequest, type BufferedResponse} from './types.js';

type TryEnd = {
	readonly failure: Failure | 'completed';
	readonly response: BufferedResponse | undefined;
};

type SocketHandler = (socket: Socket) => void;

/** Writes a raw response once request data arrives, then closes the connection or keeps it open. */
function respondWith(text: string, closesConnection = true): SocketHandler {
	return socket => {
		socket.once('data', () => {
			socket.write(text, () => {
				if (closesConnection) {
					socket.destroy();
				}
			});
		});
	};
}

/** Resets the connection in the same turn in which it writes, so that the client reads both at once. */
function resetBehind(text: string): SocketHandler {
	return socket => {
		socket.once('data', () => {
			socket.write(text);
			socket.resetAndDestroy();
		});
	};
}

/** Runs one try against a raw TCP server; `'nothing'` stands for a port without a listener. */
async function runTryAgainst(handleSocket: SocketHandler | 'nothing', options: {forwardsServerErrors?: boolean; abortAfterRequest?: boolean; endsWithAnswer?: boolean} = {}): Promise<TryEnd> {
	const server = createServer(socket => {
		socket.on('error', () => undefined);
		if (handleSocket !== 'nothing') {
			handleSocket(socket);
		}
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	if (handleSocket === 'nothing') {
		server.close();
		await once(server, 'close');
	}

	if (options.endsWithAnswer) {
		server.once('connection', (socket: Socket) => {
			socket.once('data', () => {
				server.close();
			});
		});
	}

	const gateway = createPlainGateway({address: `http://127.0.0.1:${port}`});
	const abortController = new AbortController();
	if (options.abortAfterRequest) {
		server.once('connection', (socket: Socket) => {
			socket.once('data', () => {
				abortController.abort();
			});
		});
	}

	const tryRequest: TryRequest = {
		request: {
			requestId: 'r',
			method: 'POST',
			path: '/signoffs',
			headers: {},
			body: Buffer.from('body'),
			stream: false,
			notRunStatuses: [429],
			forwardsServerErrors: options.forwardsServerErrors ?? false,
		},
		continuation: {kind: 'whole'},
		deliveredText: () => '',
		signal: abortController.signal,
	};
	const tryEnds: TryEnd[] = [];
	await gateway.send(tryRequest, {
		async events() {
			// These tests use no streams.
		},
		async bytes() {
			// These tests use no large responses.
		},
		completed(response) {
			tryEnds.push({failure: 'completed', response});
		},
		failed(failure, response) {
			tryEnds.push({failure, response});
		},
	});
	await gateway.close();
	server.close();
	assert.equal(tryEnds.length, 1, 'a try must end exactly once');
	return tryEnds[0]!;
}

const cases: ReadonlyArray<readonly [name: string, handleSocket: SocketHandler | 'nothing', expected: Failure | 'completed']> = [
	['connection refused: no byte was written', 'nothing', 'not-written'],
	['connection closed before the response head: the request may have run', respondWith(''), 'reset'],
	['connection closed inside the response head: the request may have run', respondWith('HTTP/1.1 200 OK\r\ncontent-le'), 'reset'],
	['body shorter than its content length', respondWith('HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nshort'), 'truncated'],
	['chunked body without its last chunk', respondWith('HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nshort\r\n'), 'truncated'],
	['body without a length, reset behind its last bytes', resetBehind('HTTP/1.1 200 OK\r\n\r\nshort'), 'truncated'],
	['status by which the target says that the request did not run', respondWith('HTTP/1.1 429 Too Many\r\ncontent-length: 0\r\n\r\n', false), 'refused'],
	['server error', respondWith('HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n', false), 'target-error'],
	['complete response', respondWith('HTTP/1.1 201 Created\r\ncontent-length: 5\r\n\r\nwhole', false), 'completed'],
];

for (const [name, handleSocket, expected] of cases) {
	test(name, async () => {
		const {failure} = await runTryAgainst(handleSocket);
		assert.equal(failure, expected);
	});
}

for (const status of ['000', '099', '600', '999']) {
	// Guards against an answer whose status is none, and which the caller gets as an answer.
	test(`a response with the status ${status} is no answer, whether errors are forwarded or not`, async () => {
		for (const forwardsServerErrors of [true, false]) {
			const {failure, response} = await runTryAgainst(respondWith(`HTTP/1.1 ${status} Status\r\ncontent-length: 5\r\n\r\nwrong`), {forwardsServerErrors});
			assert.ok(failure === 'target-error' || failure === 'reset', failure);
			assert.equal(response, undefined);
		}
	});
}

// Guards against a short answer that looks whole, since the operating system closes the connections of a process that dies in the regular way.
test('a response without a length is complete if its target goes on, and truncated if that refuses connections', async () => {
	const handleSocket = respondWith('HTTP/1.1 200 OK\r\n\r\nwhole');
	const {failure} = await runTryAgainst(handleSocket);
	assert.equal(failure, 'completed');
	const {failure: failureAtEnd, response} = await runTryAgainst(handleSocket, {endsWithAnswer: true});
	assert.deepEqual([failureAtEnd, response], ['truncated', undefined]);
});

test('a server error is forwarded if the request must not be sent again', async () => {
	const {failure, response} = await runTryAgainst(respondWith('HTTP/1.1 500 No\r\ncontent-length: 2\r\n\r\nno', false), {forwardsServerErrors: true});
	assert.equal(failure, 'completed');
	assert.equal(response?.status, 500);
});

test('an aborted try is reported as canceled', async () => {
	const {failure} = await runTryAgainst(socket => socket.resume(), {abortAfterRequest: true});
	assert.equal(failure, 'canceled');
});
