/**
Backpressure from a caller that reads slowly, late data of canceled tries, and streams that
end with an error.
*/
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {EventEmitter} from 'node:events';
import {type ServerResponse} from 'node:http';
import {test} from 'node:test';
import {CallerExchange} from './caller-exchange.js';
import {waitForCaller} from './try-runner.js';

/** A response whose `write` reports a full buffer while `isFull` is set. */
// It stands in for ServerResponse, which is an EventEmitter.
// eslint-disable-next-line unicorn/prefer-event-target
class SlowResponse extends EventEmitter {
	readonly written: string[] = [];
	destroyed = false;
	ended = false;
	isFull = false;

	writeHead(): void {
		// These tests do not look at the head.
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

function createExchange(): {exchange: CallerExchange; response: SlowResponse} {
	const response = new SlowResponse();
	const exchange = new CallerExchange({
		id: 'r',
		recordsResponse: false,
		request: {
			requestId: 'r',
			method: 'POST',
			path: '/v1/chat/completions',
			headers: {},
			body: Buffer.from('{}'),
			stream: true,
			notRunStatuses: [],
			forwardsServerErrors: false,
		},
		reply: {
			raw: response as unknown as ServerResponse,
			send() {
				throw new Error('a stream must not send a complete response');
			},
			hijack() {
				// There is no framework in these tests.
			},
		},
	});
	return {exchange, response};
}

const wordEvent = JSON.stringify({choices: [{delta: {content: 'word '}}]});

test('a full write buffer pauses the stream until the caller has drained it', async () => {
	const {exchange, response} = createExchange();
	exchange.beginTry(1);
	assert.equal(exchange.forwardEvents([wordEvent]), undefined);
	response.isFull = true;
	const drained = exchange.forwardEvents([wordEvent]);
	assert.ok(drained);
	let isReleased = false;
	const waiting = (async () => {
		await drained;
		isReleased = true;
	})();
	await Promise.resolve();
	assert.equal(isReleased, false);
	response.emit('drain');
	await waiting;
	assert.equal(exchange.delivered, 2);
	assert.equal(response.listenerCount('drain') + response.listenerCount('close'), 0);
});

test('progress is reported while waiting for a slow caller, so that the target is not taken for silent', async () => {
	const {exchange, response} = createExchange();
	exchange.beginTry(1);
	response.isFull = true;
	const drained = exchange.forwardEvents([wordEvent]);
	assert.ok(drained);
	let progressReports = 0;
	await waitForCaller(drained, () => {
		progressReports++;
		if (progressReports === 3) {
			response.emit('drain');
		}
	}, 1);
	assert.equal(progressReports, 3);
});

test('a canceled try is no longer the current one', () => {
	const {exchange} = createExchange();
	const firstSignal = exchange.beginTry(1);
	exchange.cancelTry(1);
	assert.ok(firstSignal.aborted);
	assert.equal(exchange.isCurrentTry(1), false);
	exchange.beginTry(2);
	assert.equal(exchange.isCurrentTry(1), false);
	assert.equal(exchange.isCurrentTry(2), true);
});

test('a stream that cannot be completed ends with an error event and without its terminator', () => {
	const {exchange, response} = createExchange();
	exchange.beginTry(1);
	void exchange.forwardEvents([wordEvent]);
	exchange.refuse('answer-truncated', {ran: 'unknown'});
	assert.ok(response.ended);
	const text = response.written.join('');
	assert.match(text, /event: error\ndata: \{.*"code":"PA-1303".*"ran":"unknown"/v);
	assert.ok(!text.includes('[DONE]'));
});
