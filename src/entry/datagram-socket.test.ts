import assert from 'node:assert/strict';
import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import {test} from 'node:test';
import {DatagramSocket} from './datagram-socket.js';

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
