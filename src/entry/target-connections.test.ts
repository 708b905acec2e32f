/**
Connections to a target whose pooled ones are all busy.
*/
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {TargetConnections, type TargetRequest} from './target-connections.js';

const POOL_CONNECTIONS = 4;
const REQUESTS = 9;
/** Many times what the requests take to arrive. */
const WAIT_LIMIT_MS = 5000;

// Guards against a failure that callers saw as a late answer: a request waited in the queue of the pool until a stream before it ended, and nothing bounded the wait.
test('requests reach a target whose pooled connections are all busy with others', {timeout: WAIT_LIMIT_MS}, async t => {
	const responses: ServerResponse[] = [];
	const server = createServer((_request, response) => {
		responses.push(response);
		server.emit('reached');
	});
	const connections = new TargetConnections();
	t.after(async () => {
		server.closeAllConnections();
		server.close();
		await connections.close();
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
	const answers = Promise.all(Array.from({length: REQUESTS}, async () => {
		const {status, body} = await connections.request(address, {
			method: 'GET', path: '/', headers: [], body: undefined, signal: t.signal, usesFreshConnection: false, maxConnections: POOL_CONNECTIONS,
		});
		await body.dump();
		return status;
	}));
	while (responses.length < REQUESTS) {
		await once(server, 'reached', {signal: t.signal});
	}

	for (const response of responses) {
		response.end('done');
	}

	assert.deepEqual(await answers, Array.from({length: REQUESTS}, () => 200));
});

function request(path: string, maxConnections: number, signal: AbortSignal): TargetRequest {
	return {
		method: 'GET', path, headers: [], body: undefined, signal, usesFreshConnection: false, maxConnections,
	};
}

// Guards against a pool that keeps the limit of its first request: after a configuration that raises it, requests waited behind streams.
test('a request uses the limit of connections that holds when it is sent', {timeout: 10_000}, async t => {
	const held: ServerResponse[] = [];
	const server = createServer((incoming, response) => {
		if (incoming.url === '/stream') {
			response.write('first');
			held.push(response);
		} else {
			response.end('whole');
		}
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
	const connections = new TargetConnections();
	t.after(async () => {
		server.closeAllConnections();
		server.close();
		await connections.close();
	});
	const stream = await connections.request(address, request('/stream', 1, new AbortController().signal));
	const other = await Promise.race([connections.request(address, request('/other', 2, new AbortController().signal)), delay(2000, undefined, {ref: false})]);
	assert.equal(await other?.body.text(), 'whole');
	assert.equal(stream.body.destroyed, false);
	for (const response of held) {
		response.end(' last');
	}

	assert.equal(await stream.body.text(), 'first last');
});
