/**
Kept connections to a target that have gone silent for good, while new ones work.
*/
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {type AddressInfo} from 'node:net';
import {test} from 'node:test';
import {Relay} from '../../test/standins/relay.js';
import {TargetConnections} from './target-connections.js';

const KEPT = 3;

// Guards against requests that wait one after the other, each on another silent connection, until the core gives them up.
test('after one request found its kept connection silent, the next one does not wait on another', {timeout: 10_000}, async t => {
	const server = createServer((_request, response) => {
		response.end('whole');
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	const relay = await Relay.start(`http://127.0.0.1:${(server.address() as AddressInfo).port}`);
	const connections = new TargetConnections();
	t.after(async () => {
		await connections.close();
		relay.close();
		server.close();
	});
	const address = new URL(relay.address).host;
	const request = async (signal: AbortSignal) => {
		const {body} = await connections.request(address, {
			method: 'GET', path: '/', headers: [], body: undefined, signal, usesFreshConnection: false, maxConnections: KEPT,
		});
		return body.text();
	};

	await Promise.all(Array.from({length: KEPT}, async () => request(t.signal)));
	relay.silence();
	// The core cancels a try whose target is silent.
	await assert.rejects(request(AbortSignal.timeout(400)));
	assert.equal(await request(AbortSignal.timeout(5000)), 'whole');
});
