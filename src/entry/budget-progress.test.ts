/**
Which responses the budget gives up, and that none is sent on afterwards.
*/
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {Agent, createServer, request as httpRequest} from 'node:http';
import {type AddressInfo} from 'node:net';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {BufferBudget} from './buffer-budget.js';
import {type RequestMetadata} from './deployment.js';
import {Exchange} from './exchange.js';
import {HeldBody} from './held-body.js';

const MEGABYTE = 1024 * 1024;
const LIMIT_BYTES = 16 * MEGABYTE;
const BODY_BYTES = 8 * MEGABYTE;
const CHUNK_BYTES = 128 * 1024;
const metadata: RequestMetadata = {
	requestId: 'r1', deadlineMs: undefined, model: undefined, adapter: undefined, promptTokens: undefined, outputTokens: undefined,
	apiKey: undefined, promptParts: [], lastEventId: 0, resumes: undefined, relayed: undefined,
};

// Guards against sound answers that are cut although their bytes arrive: the whole stated length counts at the first chunk, so none of the later ones is progress.
test('an answer that arrives at 5 MB/s is not given up while others wait', {timeout: 10_000}, async () => {
	const budget = new BufferBudget({maxBytes: LIMIT_BYTES, monotonicMs: () => performance.now()});
	const givenUp: number[] = [];
	const bodies = [0, 1].map(index => new HeldBody(budget, {destroy: () => givenUp.push(index)}, BODY_BYTES));
	const waiter = new HeldBody(budget, {destroy: () => undefined}, BODY_BYTES);
	const favored = budget.open(() => undefined);
	for (const body of bodies) {
		assert.equal(body.append(Buffer.alloc(CHUNK_BYTES)), undefined);
	}

	await favored.resize(MEGABYTE);
	void waiter.append(Buffer.alloc(CHUNK_BYTES));
	for (let sent = CHUNK_BYTES; sent < BODY_BYTES; sent += CHUNK_BYTES) {
		for (const body of bodies) {
			void body.append(Buffer.alloc(CHUNK_BYTES));
		}

		await delay(25);
	}

	for (const body of [...bodies, waiter]) {
		body.release();
	}

	favored.close();
	assert.deepEqual(givenUp, []);
});

// Guards against answers that wait for each other until their deadlines: a stream that once took the right to exceed the limit keeps it while it holds nothing.
test('a stream that holds nothing any more does not keep the right to exceed the limit', {timeout: 10_000}, async () => {
	const budget = new BufferBudget({maxBytes: LIMIT_BYTES, freeBytes: 0, monotonicMs: () => performance.now()});
	const stream = budget.open(() => undefined);
	const a = budget.open(() => undefined);
	const b = budget.open(() => undefined);
	void a.resize(LIMIT_BYTES / 2);
	void b.resize(LIMIT_BYTES / 2);
	await stream.resize(MEGABYTE);
	void stream.resize(0);
	const outcome = await Promise.race([
		...[a, b].map(async account => {
			await account.resize(BODY_BYTES + MEGABYTE);
			return 'goes on';
		}),
		delay(2500, 'all wait'),
	]);
	for (const account of [stream, a, b]) {
		account.close();
	}

	assert.equal(outcome, 'goes on');
});

// Guards against an answer that takes the next one on its connection for its body (MIXED): it was given up between its end and its delivery, as an error is that waits for a retry.
test('an answer that was given up before it was delivered is not begun with its length', {timeout: 10_000}, async t => {
	const budget = new BufferBudget({maxBytes: LIMIT_BYTES, monotonicMs: () => performance.now()});
	let requests = 0;
	const server = createServer((request, response) => {
		requests++;
		if (requests > 1) {
			response.end('second');
			return;
		}

		const exchange = new Exchange({
			id: 'r1', metadata, request, response, body: Buffer.alloc(0), problemHeaders: {}, closesConnection: () => false,
		});
		const held = new HeldBody(budget, {destroy: () => undefined}, BODY_BYTES);
		void held.append(Buffer.alloc(BODY_BYTES));
		held.end();
		exchange.keep({status: 500, headers: [], body: held});
		// What the budget does with one that does not move while others wait.
		held.release();
		exchange.deliver();
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const agent = new Agent({keepAlive: true, maxSockets: 1});
	t.after(() => {
		agent.destroy();
		server.closeAllConnections();
		server.close();
	});
	const outcome = await new Promise<string>(resolve => {
		const call = httpRequest({port: (server.address() as AddressInfo).port, agent}, response => {
			response.on('end', () => {
				resolve(`status ${response.statusCode}`);
			});
			response.on('error', () => {
				resolve('cut off');
			});
			response.resume();
		});
		call.on('error', () => {
			resolve('cut off');
		});
		call.end();
		setTimeout(resolve, 1500, 'waits for the rest').unref();
	});
	assert.ok(outcome === 'cut off' || outcome === 'status 502', outcome);
});
