/**
Requests whose callers have left before they are read, since the process was held up.
*/
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {type Buffer} from 'node:buffer';
import {type ServerResponse} from 'node:http';
import {connect, type Socket} from 'node:net';
import {after, test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {type CallerLimits} from '../core/entry/configuration.js';
import {freePorts} from '../../test/standins/free-ports.js';
import {CallerListener, defaultLimits, type CallerListenerOptions} from './caller-listener.js';
import {LINGER_MS} from './caller-socket.js';
import {EventLoop} from './event-loop.js';

const HELD_UP_MS = 200;
/** Leaves a stopping process some seconds of its grace period after it has ended accepting. */
const STOP_LIMIT_MS = 5000;
/** Within this time, also requests whose callers have closed their sending side are passed on. */
const PASSED_ON_MS = 800;
const REQUEST = 'POST /a HTTP/1.1\r\nHost: a.example\r\nContent-Length: 1\r\n\r\nx';

/** Holds the process up while requests and the ends of their connections arrive. */
function holdUp(): void {
	holdUpFor(HELD_UP_MS);
}

function holdUpFor(ms: number): void {
	const endsAtMs = performance.now() + ms;
	while (performance.now() < endsAtMs) {
		// Busy.
	}
}

type Received = {readonly listener: CallerListener; readonly socket: Socket; readonly text: () => string};

type Listening = {readonly listener: CallerListener; readonly port: number};

async function listenWith(onRequest: CallerListenerOptions['onRequest'], limits: CallerListenerOptions['limits'] = () => defaultLimits, maxConnections?: number): Promise<Listening> {
	const listener = new CallerListener({
		limits, eventLoop: new EventLoop(), onRejected: () => undefined, onDropped: () => undefined, onRequest, maxConnections,
	});
	const [port] = await freePorts(1) as [number];
	await listener.listen('127.0.0.1', port);
	after(async () => listener.close());
	return {listener, port};
}

async function connectTo(limits: () => CallerLimits | undefined): Promise<Received> {
	const {listener, port} = await listenWith((_request, response) => {
		response.end('x');
	}, limits);
	const socket = connect(port, '127.0.0.1');
	let text = '';
	socket.on('error', () => undefined);
	socket.on('data', data => {
		text += data.toString('latin1');
	});
	return {listener, socket, text: () => text};
}

/** What callers do behind their requests: close the connection, or their sending side only, or neither. */
type Ending = 'leave' | 'end' | 'wait';

async function receive(ending: Ending): Promise<number> {
	let received = 0;
	const {port} = await listenWith((_request, response) => {
		received++;
		response.end('x');
	});
	const sockets = await Promise.all(Array.from({length: 5}, async () => new Promise<Socket>(resolve => {
		const socket = connect({port, host: '127.0.0.1', allowHalfOpen: true}, () => {
			resolve(socket);
		});
		socket.on('error', () => undefined);
		socket.resume();
	})));
	await delay(50);
	for (const socket of sockets) {
		socket.write(REQUEST);
		if (ending === 'leave') {
			socket.destroy();
		} else if (ending === 'end') {
			socket.end();
		}
	}

	holdUp();
	await delay(PASSED_ON_MS);
	for (const socket of sockets) {
		socket.destroy();
	}

	return received;
}

// Guards against work for callers that have left, which an instance short of processor time takes up before it reads that they have.
test('a process that was held up drops requests whose callers have left meanwhile', async () => {
	assert.equal(await receive('leave'), 0);
});

test('it serves those of callers that wait', async () => {
	assert.equal(await receive('wait'), 5);
});

// Guards against requests that are dropped since their callers have closed their sending side (LOST).
test('it serves those of callers that have closed their sending side only', async () => {
	assert.equal(await receive('end'), 5);
});

// Guards against descriptors that are used up by callers that do not close their side after their last answer.
test('connections that wait for their callers to close leave room for others, and are closed in time', async t => {
	const {listener, port} = await listenWith((_request, response) => {
		response.end('x');
	}, undefined, 10);
	const sockets: Socket[] = [];
	t.after(() => {
		for (const socket of sockets) {
			socket.destroy();
		}
	});
	for (let index = 0; index < 40; index++) {
		const socket = connect({port, host: '127.0.0.1', allowHalfOpen: true});
		sockets.push(socket);
		socket.on('error', () => undefined);
		socket.write(REQUEST.replace('Content-Length', 'Connection: close\r\nContent-Length'));
		const [data] = await once(socket, 'data') as [Buffer];
		assert.match(data.toString('latin1'), /^HTTP\/1\.1 200 /v);
		assert.ok(listener.counts.connections <= 10, `${listener.counts.connections} connections`);
	}

	assert.equal(listener.counts.connections, 10);
	await delay(LINGER_MS + 200);
	assert.equal(listener.counts.connections, 0);
});

// Guards against proper requests that are refused with 413 or 431 by limits that no configuration states (DENIED).
test('until a configuration states limits, a request beyond the default ones gets 503', async () => {
	for (const [request, stated] of [[`POST /a HTTP/1.1\r\nHost: a.example\r\nX-Long: ${'x'.repeat(20_000)}\r\nContent-Length: 0\r\n\r\n`, 431], [`POST /a HTTP/1.1\r\nHost: a.example\r\nContent-Length: 5000000\r\n\r\n${'x'.repeat(5_000_000)}`, 413]] as const) {
		for (const [limits, status] of [[undefined, 503], [defaultLimits, stated]] as const) {
			const {socket, text} = await connectTo(() => limits);
			socket.write(request);
			for (let waitedMs = 0; waitedMs < 2000 && !text().includes('\r\n\r\n'); waitedMs += 20) {
				await delay(20);
			}

			assert.match(text(), new RegExp(`^HTTP/1.1 ${status} `, 'v'));
			assert.equal(/^retry-after: 0\.3\r$/imv.test(text()), status === 503);
			socket.destroy();
		}
	}
});

// Guards against a 400 for what follows a request on its connection, which its caller would take for the answer to the request (MIXED).
test('input that is no HTTP does not answer the request that is being served', async () => {
	const {port} = await listenWith((_request, response) => {
		setTimeout(() => {
			response.end('x');
		}, 200);
	});
	const socket = connect(port, '127.0.0.1');
	let text = '';
	socket.on('error', () => undefined);
	socket.on('data', data => {
		text += data.toString('latin1');
	});
	socket.write(REQUEST);
	await delay(50);
	socket.write('no HTTP at all\r\n\r\n');
	await once(socket, 'close');
	const [before, served, rejected, ...others] = text.split('HTTP/1.1 ');
	assert.equal(before, '');
	assert.ok(served!.startsWith('200 ') && served!.endsWith('\r\n\r\nx'), text);
	assert.match(rejected ?? '400 ', /^400 /v);
	assert.deepEqual(others, []);
});

// Guards against a stop that lasts until its process is killed, since callers go on opening connections to a process that accepts one in each of its long rounds.
test('a stopping instance that is behind ends accepting, although connections keep coming', async t => {
	const {listener, port} = await listenWith((_request, response) => {
		response.end('x');
	});
	const refusals: Error[] = [];
	const open = () => {
		const socket = connect(port, '127.0.0.1', open);
		socket.resume();
		socket.once('error', error => {
			refusals.push(error);
		});
		t.after(() => {
			socket.destroy();
		});
	};

	for (let caller = 0; caller < 5; caller++) {
		open();
	}

	const isBehind = setInterval(() => {
		holdUpFor(20);
	}, 22);
	t.after(() => {
		clearInterval(isBehind);
	});
	await delay(100);
	const beganAtMs = performance.now();
	listener.stopAccepting();
	while (refusals.length === 0 && performance.now() - beganAtMs < STOP_LIMIT_MS) {
		await delay(20);
	}

	assert.ok(refusals.length > 0, 'still accepting');
});

// Guards against a stop that ends the process right after the last answer on a connection that is kept (LOST).
test('a stop waits for the last answer on a kept connection that is not closed as idle yet', async t => {
	const responses: ServerResponse[] = [];
	const {listener, port} = await listenWith((_request, response) => {
		responses.push(response);
		response.writeHead(200, {'content-type': 'text/event-stream'}).write('data: x\n\n');
	});
	const socket = connect({port, host: '127.0.0.1', allowHalfOpen: true});
	t.after(() => {
		socket.destroy();
	});
	socket.write(REQUEST);
	await once(socket, 'data');
	listener.stopAccepting();
	await delay(120);
	assert.equal(await listener.isIdle(), false, 'while the stream is open');
	const [response] = responses;
	response!.end();
	await once(response!, 'close');
	assert.equal(await listener.isIdle(), false, 'right after its end');
	await delay(LINGER_MS + 200);
	assert.equal(await listener.isIdle(), true);
});
