/**
Bodies that are held and sent on: their bytes, and the memory that they free.
*/
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {createHash, randomBytes} from 'node:crypto';
import {
	createServer, request as httpRequest, type IncomingMessage, type ServerResponse,
} from 'node:http';
import {type AddressInfo} from 'node:net';
import {test, type TestContext} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {BufferBudget} from './buffer-budget.js';
import {HeldBody} from './held-body.js';

const BODY_BYTES = 7 * 1024 * 1024;
/** More than the kernel takes for a caller that reads nothing. */
const UNREAD_BYTES = 48 * 1024 * 1024;
const noSource = {destroy: () => undefined};

async function requestFrom(t: TestContext, serve: (response: ServerResponse) => void): Promise<IncomingMessage> {
	const server = createServer((_request, response) => {
		serve(response);
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	t.after(() => {
		server.closeAllConnections();
		server.close();
	});
	return new Promise(resolve => {
		httpRequest({port: (server.address() as AddressInfo).port}, resolve).end();
	});
}

function hold(budget: BufferBudget, bytes: Buffer): HeldBody {
	const body = new HeldBody(budget, noSource, bytes.length);
	for (let start = 0, size = 1; start < bytes.length; start += size, size = (size * 7) % 50_021) {
		assert.equal(body.append(bytes.subarray(start, start + size)), undefined);
	}

	body.end();
	return body;
}

// Guards against parts that are lost, repeated or overwritten while a slow caller takes a large body.
for (const length of [0, 1, 65_536, 65_537, BODY_BYTES]) {
	test(`a body of ${length} bytes arrives unchanged at a caller that pauses, and frees its memory`, async t => {
		const budget = new BufferBudget({maxBytes: BODY_BYTES * 2, monotonicMs: () => performance.now()});
		const sent = randomBytes(length);
		const body = hold(budget, sent);
		const response = await requestFrom(t, answer => {
			answer.once('close', () => {
				body.release();
			});
			answer.writeHead(200, {'content-length': length});
			body.sendTo(answer);
		});
		const hash = createHash('sha256');
		let received = 0;
		for await (const chunk of response) {
			hash.update(chunk as Buffer);
			received += (chunk as Buffer).length;
			if (received % 40 === 0) {
				await delay(1);
			}
		}

		assert.equal(received, length);
		assert.equal(hash.digest('hex'), createHash('sha256').update(sent).digest('hex'));
		await delay(50);
		const next = budget.open(() => undefined);
		assert.equal(next.resize(BODY_BYTES * 2), undefined, 'nothing else counts');
	});
}

// Guards against an answer that is cut off for its memory and looks complete to its caller.
test('a caller that reads nothing while others need the memory is cut off, and knows that its answer is incomplete', {timeout: 20_000}, async t => {
	const budget = new BufferBudget({maxBytes: UNREAD_BYTES, freeBytes: 0, monotonicMs: () => performance.now()});
	const response = await requestFrom(t, answer => {
		const body = hold(budget, Buffer.alloc(UNREAD_BYTES));
		answer.once('close', () => {
			body.release();
		});
		answer.writeHead(200, {'content-length': UNREAD_BYTES});
		body.sendTo(answer);
	});
	await delay(200);
	const favored = budget.open(() => undefined);
	await favored.resize(UNREAD_BYTES / 2);
	const waiting = budget.open(() => undefined);
	await waiting.resize(UNREAD_BYTES / 2);
	let received = 0;
	await assert.rejects(async () => {
		for await (const chunk of response) {
			received += (chunk as Buffer).length;
		}
	});
	assert.ok(received < UNREAD_BYTES);
});
