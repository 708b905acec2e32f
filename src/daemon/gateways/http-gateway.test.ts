/**
What each failure on a real connection proves of the work.
*/
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type Socket, type AddressInfo} from 'node:net';
import {test} from 'node:test';
import {type Failure} from '../../core/request/types.js';
import {createPlainGateway} from './plain.js';
import {type TryRequest, type BufferedResponse} from './types.js';

type Ended = {
	readonly failure: Failure | 'completed';
	readonly answer: BufferedResponse | undefined;
};

type Serve = (socket: Socket) => void;

/** Answers every request that has come whole with the given text, and keeps or breaks the connection. */
function answering(text: string, breaks = true): Serve {
	return socket => {
		socket.once('data', () => {
			socket.write(text, () => {
				if (breaks) {
					socket.destroy();
				}
			});
		});
	};
}

async function tryAgainst(serve: Serve | 'nothing', options: {keepsErrors?: boolean; abortAfterHead?: boolean} = {}): Promise<Ended> {
	const server = createServer(socket => {
		socket.on('error', () => undefined);
		if (serve !== 'nothing') {
			serve(socket);
		}
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	if (serve === 'nothing') {
		server.close();
		await once(server, 'close');
	}

	const gateway = createPlainGateway({address: `http://127.0.0.1:${port}`});
	const abort = new AbortController();
	if (options.abortAfterHead) {
		server.once('connection', (socket: Socket) => {
			socket.once('data', () => {
				abort.abort();
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
			forwardsServerErrors: options.keepsErrors ?? false,
		},
		continuation: {kind: 'whole'},
		deliveredText: () => '',
		freshConnection: false,
		signal: abort.signal,
	};
	const ended: Ended[] = [];
	await gateway.send(tryRequest, {
		async events() {
			// No streams here.
		},
		async bytes() {
			// No large answers here.
		},
		completed(answer) {
			ended.push({failure: 'completed', answer});
		},
		failed(failure, answer) {
			ended.push({failure, answer});
		},
	});
	await gateway.close();
	server.close();
	assert.equal(ended.length, 1, 'a try ends exactly once');
	return ended[0]!;
}

const cases: ReadonlyArray<readonly [name: string, serve: Serve | 'nothing', expected: Failure | 'completed']> = [
	['nobody listens: no byte was written', 'nothing', 'not-written'],
	['the connection breaks before the head: it may have run', answering(''), 'reset'],
	['the connection breaks inside the head: it may have run', answering('HTTP/1.1 200 OK\r\ncontent-le'), 'reset'],
	['the body ends before its length', answering('HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nshort'), 'truncated'],
	['a chunked body ends without its last chunk', answering('HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nshort\r\n'), 'truncated'],
	['the target says that it did not run', answering('HTTP/1.1 429 Too Many\r\ncontent-length: 0\r\n\r\n', false), 'refused'],
	['a server error', answering('HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n', false), 'target-error'],
	['a whole answer', answering('HTTP/1.1 201 Created\r\ncontent-length: 5\r\n\r\nwhole', false), 'completed'],
];

for (const [name, serve, expected] of cases) {
	test(name, async () => {
		const {failure} = await tryAgainst(serve);
		assert.equal(failure, expected);
	});
}

test('a server error is the answer where the work may not be sent again', async () => {
	const {failure, answer} = await tryAgainst(answering('HTTP/1.1 500 No\r\ncontent-length: 2\r\n\r\nno', false), {keepsErrors: true});
	assert.equal(failure, 'completed');
	assert.equal(answer?.status, 500);
});

test('a try that this instance gives up on is canceled', async () => {
	const {failure} = await tryAgainst(socket => socket.resume(), {abortAfterHead: true});
	assert.equal(failure, 'canceled');
});
