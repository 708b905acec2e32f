/**
Connections to other instances that have gone silent for good, while new ones work.
*/
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {
	connect, createServer, type AddressInfo, type Socket,
} from 'node:net';
import {test, type TestContext} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {instance} from '../../test/standins/entry-harness.js';
import {Relay} from '../../test/standins/relay.js';
import {createEntryPeerServer, EntryPeerClient} from './peer-rpc.js';

const known = {
	from: instance('b'), configurationVersion: 0, registryRevision: 0, acceptsChanges: true, crashDigest: 0,
};

type Setting = {
	readonly address: string;
	readonly relay: Relay;
	readonly client: EntryPeerClient;
	readonly calls: string[];
};

type PeerBehaviour = {
	readonly isPullFailing?: boolean;
	readonly adapterDelayMs?: number;
};

/** A client of a peer behind a relay. */
async function start(t: TestContext, {isPullFailing = false, adapterDelayMs = 0}: PeerBehaviour = {}): Promise<Setting> {
	const calls: string[] = [];
	const server = await createEntryPeerServer({
		createTransfer() {
			calls.push('pull');
			if (isPullFailing) {
				throw new Error('a fault of the peer');
			}

			return {
				instances: [instance('a')], configuration: undefined, registry: undefined, lease: undefined, crashes: undefined,
			};
		},
		async ensureAdapter(_targetId, _model, adapter) {
			calls.push(adapter);
			await delay(adapterDelayMs);
			return {isHeld: true, sequence: 4};
		},
	});
	const relay = await Relay.start(await server.listen({host: '127.0.0.1', port: 0}));
	const client = new EntryPeerClient();
	t.after(async () => {
		client.close();
		relay.close();
		await server.close();
	});
	return {
		address: new URL(relay.address).host, relay, client, calls,
	};
}

// Guards against a pull that fails for its whole time on a silent connection, so that what a peer knows arrives too late.
test('calls to a peer are answered over new connections once the old ones are silent', {timeout: 10_000}, async t => {
	const {address, relay, client, calls} = await start(t);
	// Two idle connections.
	await Promise.all([client.pull(address, known), client.pull(address, known)]);
	relay.silence();
	const transfer = await client.pull(address, known);
	assert.equal(transfer?.instances[0]?.id, 'a');
	const {accepted} = relay;
	assert.deepEqual(await client.ensureAdapter(address, {targetId: 't', model: 'm', adapter: 'x'}), {isHeld: true, sequence: 4});
	assert.equal(relay.accepted, accepted, 'over the connection that has just proved to work');
	assert.deepEqual(calls, ['pull', 'pull', 'pull', 'x']);
});

test('a call for an adapter on a silent connection is answered over a new one', {timeout: 10_000}, async t => {
	const {address, relay, client} = await start(t);
	await client.pull(address, known);
	relay.silence();
	assert.deepEqual(await client.ensureAdapter(address, {targetId: 't', model: 'm', adapter: 'x'}), {isHeld: true, sequence: 4});
});

// Guards against a failed call that ends other calls to the same peer.
test('a call that fails leaves another one to the same peer alone', {timeout: 10_000}, async t => {
	const {address, client} = await start(t, {isPullFailing: true, adapterDelayMs: 100});
	const adapter = client.ensureAdapter(address, {targetId: 't', model: 'm', adapter: 'x'});
	assert.equal(await client.pull(address, known), undefined);
	assert.deepEqual(await adapter, {isHeld: true, sequence: 4});
});

// Guards against silent connections that pile up in a process that runs for long.
test('the connections of a call without an answer are closed', {timeout: 10_000}, async t => {
	const sockets: Socket[] = [];
	const server = createServer(socket => {
		sockets.push(socket);
		socket.resume();
		socket.on('error', () => {
			socket.destroy();
		});
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	const client = new EntryPeerClient();
	t.after(() => {
		client.close();
		server.close();
	});
	assert.equal(await client.pull(`127.0.0.1:${(server.address() as AddressInfo).port}`, known), undefined);
	await Promise.all(sockets.map(async socket => socket.closed || once(socket, 'close')));
	assert.equal(sockets.length, 2);
});

/** Answers as the peer at `address` does, but with another status. */
async function startWithStatus(t: TestContext, address: string, status: string): Promise<string> {
	const [host, port] = address.split(':');
	const server = createServer(socket => {
		const upstream = connect(Number(port), host);
		for (const end of [socket, upstream]) {
			end.on('error', () => undefined);
		}

		socket.pipe(upstream);
		upstream.on('data', data => {
			socket.write(data.toString('latin1').replace('HTTP/1.1 200 ', `HTTP/1.1 ${status} `), 'latin1');
		});
		upstream.on('close', () => {
			socket.destroy();
		});
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.after(() => {
		server.close();
	});
	return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

for (const [status, isAnswer] of [['200', true], ['000', false], ['199', false], ['600', false], ['999', false]] as const) {
	// Guards against the answer of a peer, or of what has its address, whose status is none and which is taken for one.
	test(`a pull that is answered ${status} brings ${isAnswer ? 'what the peer knows' : 'nothing'}`, {timeout: 10_000}, async t => {
		const {address, client} = await start(t);
		const transfer = await client.pull(await startWithStatus(t, address, status), known);
		assert.equal(transfer !== undefined, isAnswer);
	});
}
