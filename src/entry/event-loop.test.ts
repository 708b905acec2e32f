/**
Work after a round of the event loop: its order, and what is read before it.
*/
import assert from 'node:assert/strict';
import {
	connect, createServer, type AddressInfo, type Socket,
} from 'node:net';
import {once} from 'node:events';
import {performance} from 'node:perf_hooks';
import {test} from 'node:test';
import {EventLoop} from './event-loop.js';

function holdUp(ms: number): void {
	const endsAtMs = performance.now() + ms;
	while (performance.now() < endsAtMs) {
		// Busy.
	}
}

// Guards against work that is done before the end of a connection is read which had arrived before it (GONE).
test('work runs once the end of a connection that arrived before it has been read', async t => {
	const eventLoop = new EventLoop();
	const server = createServer({allowHalfOpen: true});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.after(() => {
		server.close();
	});
	const client = connect((server.address() as AddressInfo).port, '127.0.0.1');
	const [socket] = await once(server, 'connection') as [Socket];
	client.write('x');
	client.end();
	await once(client, 'finish');
	const ended = new Promise<boolean>(resolve => {
		socket.once('data', () => {
			holdUp(20);
			resolve(eventLoop.afterRead(async () => socket.readableEnded));
		});
	});
	assert.equal(await ended, true);
	socket.destroy();
});

// Guards against a backlog of work during which nothing is read.
test('work is done in its order, and much of it in several rounds', async () => {
	const rounds: number[] = [];
	const eventLoop = new EventLoop({
		onRound(ms) {
			rounds.push(ms);
		},
	});
	const done: number[] = [];
	await Promise.all(Array.from({length: 10}, async (_, index) => eventLoop.afterRead(async () => {
		done.push(index);
		holdUp(25);
	})));
	assert.deepEqual(done, [0, 1, 2, 3, 4, 5, 6, 7, 8, 9]);
	assert.ok(rounds.length >= 4, `${rounds.length} rounds`);
});

test('work that fails leaves the rest alone', async () => {
	const eventLoop = new EventLoop();
	const failed = eventLoop.afterRead(async () => {
		throw new Error('failed');
	});
	const answered = eventLoop.afterRead(async () => 'done');
	await assert.rejects(failed, /failed/v);
	assert.equal(await answered, 'done');
});

// Guards against requests that pile up in a process whose rounds are long: it handled some for 10 ms in every fourth round, and none in the others.
test('work that has waited for its rounds and found no time is done in the next round, however long rounds take', async () => {
	const eventLoop = new EventLoop();
	let rounds = 0;
	let isBusy = true;
	const holdUpRound = () => {
		if (isBusy) {
			rounds++;
			holdUp(60);
			setImmediate(holdUpRound);
		}
	};

	holdUpRound();
	const doneIn: number[] = [];
	await Promise.all(Array.from({length: 20}, async () => eventLoop.afterRead(async () => {
		doneIn.push(rounds);
		holdUp(4);
	})));
	isBusy = false;
	const gaps = doneIn.slice(1).map((round, index) => round - doneIn[index]!);
	assert.ok(Math.max(...gaps) <= 1, `${Math.max(...gaps)} rounds between two works`);
});
