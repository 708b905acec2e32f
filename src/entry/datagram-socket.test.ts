/**
Datagrams to many receivers, and a port that is taken.
*/
import assert from 'node:assert/strict';
import {createHook} from 'node:async_hooks';
import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import {test} from 'node:test';
import {DatagramSocket} from './datagram-socket.js';

const RECEIVERS = 12;

// Guards against a failure that callers saw as days given up: each of some 130 datagrams a second was deferred for the lookup of a numeric address.
test('a datagram leaves at once, without deferred work for each receiver', async () => {
	const receiver = createSocket('udp4').bind(0, '127.0.0.1');
	await once(receiver, 'listening');
	const {port} = receiver.address();
	const socket = new DatagramSocket(() => undefined);
	await socket.listen({host: '127.0.0.1', port: 0});
	let deferred = 0;
	const hook = createHook({
		init(_id, type) {
			deferred += type === 'TickObject' ? 1 : 0;
		},
	});
	hook.enable();
	socket.send(Array.from({length: RECEIVERS}, () => `127.0.0.1:${port}`), {from: 'one', loads: []});
	hook.disable();
	receiver.close();
	socket.close();
	assert.equal(deferred, 0);
});

test('a datagram to an address that cannot be reached is lost without an error', async () => {
	const socket = new DatagramSocket(() => undefined);
	await socket.listen({host: '127.0.0.1', port: 0});
	socket.send(['255.255.255.255:1', '127.0.0.1:1', 'nowhere:1'], {from: 'one', loads: []});
	await new Promise(resolve => {
		setImmediate(resolve);
	});
	socket.close();
});

// Guards against an error of the bind that is taken for a lost datagram: the daemon then waited for ever, without a message, at its start.
test('listening on a port that is taken fails', {timeout: 5000}, async t => {
	const other = createSocket('udp4');
	other.bind(0, '127.0.0.1');
	await once(other, 'listening');
	const socket = new DatagramSocket(() => undefined);
	t.after(() => {
		other.close();
		socket.close();
	});
	await assert.rejects(socket.listen({host: '127.0.0.1', port: other.address().port}), {code: 'EADDRINUSE'});
});
