import assert from 'node:assert/strict';
import {once} from 'node:events';
import {
	connect, createServer, type AddressInfo, type Socket,
} from 'node:net';
import {test, type TestContext} from 'node:test';
import {setImmediate, setTimeout as delay} from 'node:timers/promises';
import {hedge} from './hedged-call.js';

const REPEAT_AFTER_MS = 250;
const TIMEOUT_MS = 800;
const HELD_UP_MS = 1000;

type Pair = {readonly own: Socket; readonly peer: Socket};

async function connectPair(t: TestContext): Promise<Pair> {
	const server = createServer().listen(0, '127.0.0.1');
	await once(server, 'listening');
	const own = connect((server.address() as AddressInfo).port, '127.0.0.1');
	const [peer] = await once(server, 'connection') as [Socket];
	t.after(() => {
		own.destroy();
		peer.destroy();
		server.close();
	});
	return {own, peer};
}

function holdUp(ms: number): void {
	const untilMs = performance.now() + ms;
	while (performance.now() < untilMs) {
		// Nothing else runs meanwhile.
	}
}

/** Calls over the connection; an attempt ends with its first answer, or as failed when it is aborted. */
async function call({own}: Pair, attempts: boolean[], silences: string[]): Promise<string> {
	return hedge<string>({
		repeatAfterMs: REPEAT_AFTER_MS,
		timeoutMs: TIMEOUT_MS,
		async attempt(signal, isRepeat) {
			attempts.push(isRepeat);
			try {
				const [data] = await once(own, 'data', {signal}) as [Uint8Array];
				return {isDone: true, value: String(data)};
			} catch {
				return {isDone: false, value: 'aborted'};
			}
		},
		combineFailures: failures => failures.join(','),
		onSilent() {
			silences.push('silent');
		},
	});
}

// Guards against calls that a process short of processor time repeats, or gives up, although their answers wait to be read.
test('a process that was held up reads the answer that has arrived, and neither repeats the call nor gives it up', async t => {
	const pair = await connectPair(t);
	const attempts: boolean[] = [];
	const answer = call(pair, attempts, []);
	await delay(10);
	// Timers run before anything is read after this.
	await setImmediate();
	pair.peer.write('answer');
	holdUp(HELD_UP_MS);
	assert.equal(await answer, 'answer');
	assert.deepEqual(attempts, [false]);
});

// Guards against the same in a process that is late in each round of its event loop.
test('a process whose rounds take long neither repeats a call that is answered in the next one nor gives it up', async t => {
	const pair = await connectPair(t);
	const attempts: boolean[] = [];
	const busy = setInterval(() => {
		holdUp(300);
	}, 1);
	t.after(() => {
		clearInterval(busy);
	});
	const answer = call(pair, attempts, []);
	setTimeout(() => {
		pair.peer.write('answer');
	}, 500);
	assert.equal(await answer, 'answer');
	assert.deepEqual(attempts, [false]);
});

test('a call that stays silent is repeated, and given up at its limit', async t => {
	const pair = await connectPair(t);
	const attempts: boolean[] = [];
	const startedAtMs = performance.now();
	assert.equal(await call(pair, attempts, []), 'aborted,aborted');
	assert.deepEqual(attempts, [false, true]);
	assert.ok(performance.now() - startedAtMs >= TIMEOUT_MS - 10);
});
