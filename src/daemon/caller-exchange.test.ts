/**
A call towards a caller that reads slowly, and late pieces of tries that were given up.
*/
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {EventEmitter} from 'node:events';
import {type ServerResponse} from 'node:http';
import {test} from 'node:test';
import {CallerExchange} from './caller-exchange.js';
import {whileHeld} from './try-runner.js';

/** A response whose buffer holds one write. */
// What it stands for is an EventEmitter.
// eslint-disable-next-line unicorn/prefer-event-target
class SlowResponse extends EventEmitter {
	readonly written: string[] = [];
	destroyed = false;
	ended = false;
	isFull = false;

	writeHead(): void {
		// The head is of no interest here.
	}

	write(chunk: string): boolean {
		this.written.push(chunk);
		return !this.isFull;
	}

	end(chunk?: string): void {
		this.ended = true;
		this.written.push(chunk ?? '');
	}

	destroy(): void {
		this.destroyed = true;
	}
}

function createCall(): {call: CallerExchange; response: SlowResponse} {
	const response = new SlowResponse();
	const call = new CallerExchange({
		id: 'r',
		records: false,
		work: {
			requestId: 'r',
			method: 'POST',
			path: '/v1/chat/completions',
			headers: {},
			body: Buffer.from('{}'),
			stream: true,
			notRunStatuses: [],
			keepsErrors: false,
		},
		reply: {
			raw: response as unknown as ServerResponse,
			send() {
				throw new Error('a stream has no whole answer');
			},
			hijack() {
				// Nothing to take over.
			},
		},
	});
	return {call, response};
}

const word = JSON.stringify({choices: [{delta: {content: 'word '}}]});

test('a caller that reads slowly holds the stream back until it has read', async () => {
	const {call, response} = createCall();
	call.beginTry(1);
	assert.equal(call.passEvents([word]), undefined);
	response.isFull = true;
	const held = call.passEvents([word]);
	assert.ok(held);
	let isReleased = false;
	const released = (async () => {
		await held;
		isReleased = true;
	})();
	await Promise.resolve();
	assert.equal(isReleased, false);
	response.emit('drain');
	await released;
	assert.equal(call.delivered, 2);
	assert.equal(response.listenerCount('drain') + response.listenerCount('close'), 0);
});

test('while the caller is what is slow, progress is told, so that the target is not taken for silent', async () => {
	const {call, response} = createCall();
	call.beginTry(1);
	response.isFull = true;
	const held = call.passEvents([word]);
	assert.ok(held);
	let told = 0;
	await whileHeld(held, () => {
		told++;
		if (told === 3) {
			response.emit('drain');
		}
	}, 1);
	assert.equal(told, 3);
});

test('pieces of a try that was given up are not current', () => {
	const {call} = createCall();
	const first = call.beginTry(1);
	call.cancelTry(1);
	assert.ok(first.aborted);
	assert.equal(call.isCurrent(1), false);
	call.beginTry(2);
	assert.equal(call.isCurrent(1), false);
	assert.equal(call.isCurrent(2), true);
});

test('a stream that cannot be finished ends with an error event and without its terminator', () => {
	const {call, response} = createCall();
	call.beginTry(1);
	void call.passEvents([word]);
	call.refuse('answer-truncated', {ran: 'unknown'});
	assert.ok(response.ended);
	const text = response.written.join('');
	assert.match(text, /event: error\ndata: \{.*"code":"PA-1303".*"ran":"unknown"/v);
	assert.ok(!text.includes('[DONE]'));
});
