import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {TargetConnections, type TargetRequest} from './target-connections.js';

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
	assert.equal(stream.wasReset(), false);
	for (const response of held) {
		response.end(' last');
	}

	assert.equal(await stream.body.text(), 'first last');
});
