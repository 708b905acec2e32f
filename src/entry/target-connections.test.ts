/**
Connections to a target whose pooled ones are all busy.
*/
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import {test} from 'node:test';
import {TargetConnections} from './target-connections.js';

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
