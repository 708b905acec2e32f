/**
Two complete daemons with the platform adapter, against fakes of the platform's store and
runners: what callers receive, and which requests reach runners.
*/
import assert from 'node:assert/strict';
import {connect} from 'node:net';
import {after, before, test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {request as httpRequest} from 'undici';
import {headerCodec} from '../../platform/header-codec.js';
import {createEngineClient} from '../../platform/engine-client.js';
import {documents} from '../../platform/documents.js';
import {createRowStore} from '../../platform/row-store.js';
import {systemClock} from '../../src/core/clock.js';
import {EntryDaemon} from '../../src/entry/entry-daemon.js';
import {EntryLog} from '../../src/entry/entry-log.js';
import {entrySettingsSchema} from '../../src/entry/settings.js';
import {FakeRunner, FakeStore} from '../standins/fake-store-and-runner.js';
import {freePorts} from '../standins/free-ports.js';

const store = new FakeStore();
const runners = [new FakeRunner('i-1'), new FakeRunner('i-2')] as const;
const daemons: EntryDaemon[] = [];
const addresses: Array<{callers: string; readiness: string}> = [];

const configuration = {
	version: 3,
	routes: [
		{
			name: 'sign', host: 'a.example', prefix: '/sign/', kind: 'non_idempotent', timeoutMs: 1500, targetLatencyMs: 200, priority: 1, service: 'records', maxAttempts: 1,
		},
		{
			name: 'read', host: 'a.example', prefix: '/read/', kind: 'idempotent', timeoutMs: 1500, targetLatencyMs: 200, priority: 1, service: 'records', maxAttempts: 2,
		},
		{
			name: 'ask', host: 'a.example', prefix: '/ask/', kind: 'streaming', timeoutMs: 3000, targetLatencyMs: 300, priority: 0, service: 'records', maxAttempts: 2, resumable: true, gapAimMs: 150,
		},
	],
	services: [{name: 'records', maxConns: 100}],
	limits: {
		maxHeaderBytes: 4096, maxBodyBytes: 10_000, headerTimeoutMs: 1000, idleTimeoutMs: 5000,
	},
};

async function waitUntil(condition: () => boolean | Promise<boolean>): Promise<void> {
	for (let attempt = 0; attempt < 200; attempt++) {
		if (await condition()) {
			return;
		}

		await delay(25);
	}

	throw new Error('Timed out waiting for the condition');
}

before(async () => {
	const storeAddress = await store.start();
	for (const runner of runners) {
		await runner.start();
		store.put('servers', runner.id, runner.entry('records', 'north'));
	}

	store.put('op', 'config', configuration);
	for (const id of ['one', 'two']) {
		const [callers, readiness, peers, beacons] = await freePorts(4);
		const listen = {
			callers: `127.0.0.1:${callers}`, readiness: `127.0.0.1:${readiness}`, peers: `127.0.0.1:${peers}`, beacons: `127.0.0.1:${beacons}`,
		};
		addresses.push(listen);
		daemons.push(await EntryDaemon.start({
			settings: entrySettingsSchema.parse({
				instance: {id, zone: 'north'},
				listen,
				store: {address: storeAddress},
				bounds: {
					graceMs: 8000, leaseMs: 3000, repeatShare: 0.2, repeatWindowMs: 10_000, repeatSlack: 1000,
				},
			}),
			deployment: {
				store: createRowStore(storeAddress), documents, headerCodec, engines: createEngineClient(),
			},
			log: new EntryLog({level: 'silent', instanceId: id, clock: systemClock}),
		}));
	}

	await waitUntil(() => daemons.every(({isReady, state}) => isReady && state.targets.size === 2 && state.peers.size === 1));
});

after(async () => {
	await Promise.all(daemons.map(async daemon => daemon.stop()));
	store.stop();
	for (const runner of runners) {
		runner.stop();
	}
});

let counter = 0;

type SendOptions = {
	readonly method?: 'GET' | 'POST';
	readonly body?: string;
	readonly headers?: Record<string, string>;
	readonly daemon?: number;
};

async function send(path: string, {method = 'POST', body, headers = {}, daemon = 0}: SendOptions = {}) {
	counter++;
	const response = await httpRequest(`http://${addresses[daemon]!.callers}${path}`, {
		method, body, headers: {
			host: 'a.example', 'x-pollenarch-request-id': `r${counter}`, 'x-pollenarch-request-deadline': '1500', ...headers,
		},
	});
	return {
		id: `r${counter}`, status: response.statusCode, headers: response.headers, text: await response.body.text(),
	};
}

async function sendForStatus(path: string, options: SendOptions = {}): Promise<number> {
	const {status} = await send(path, options);
	return status;
}

function countReceivedRequests(): number {
	return runners[0].receivedRequests.length + runners[1].receivedRequests.length;
}

test('method, path, query and body reach a runner unchanged, and its response reaches the caller', async () => {
	const answer = await send('/sign/%41b?x=%20y&z', {body: 'the body', headers: {'x-other': 'kept', 'x-pollenarch-hold': 'forged'}});
	assert.equal(answer.status, 200);
	assert.match(answer.text, /^answer of i-[12] to r\d+$/v);
	assert.match(String(answer.headers['x-pollenarch-server-signature']), /^signed by/v);
	const request = runners.flatMap(runner => runner.receivedRequests).at(-1)!;
	assert.equal(request.path, '/sign/%41b?x=%20y&z');
	assert.equal(request.body, 'the body');
	assert.equal(request.headers['x-other'], 'kept');
	assert.equal(request.headers['x-pollenarch-hold'], undefined);
	assert.ok(Number(request.headers['x-pollenarch-request-deadline']) <= 1500);
	assert.match(String(request.headers['x-pollenarch-target-instance']), /^i-[12]$/v);
});

for (const [behaviour, status] of [['reset', 502], ['truncate', 502], ['foreign', 502], ['unsigned', 502], ['unframed', 502], ['error', 500]] as const) {
	test(`a request that must run at most once is sent once when the runner's behaviour is: ${behaviour}`, async () => {
		const before = countReceivedRequests();
		for (const runner of runners) {
			runner.behaviours.push(behaviour);
		}

		assert.equal(await sendForStatus('/sign/1', {body: 'x'}), status);
		assert.equal(countReceivedRequests() - before, 1);
		for (const runner of runners) {
			runner.behaviours.length = 0;
		}
	});
}

// Guards against daemons that each keep a runner's limit for themselves, or lose permits on the way between them.
test('both runners name a limit: both daemons together keep to it, refuse what it keeps out, and send on once it is lifted', async () => {
	for (const runner of runners) {
		runner.requestsPerSecond = 4;
	}

	for (let index = 0; index < 8; index++) {
		await send('/read/1', {method: 'GET', daemon: index % 2});
	}

	const before = runners.map(({receivedRequests}) => receivedRequests.length);
	const statuses = await Promise.all(Array.from({length: 150}, async (_, index) => {
		await delay(index * 20);
		return sendForStatus('/read/1', {method: 'GET', daemon: index % 2});
	}));
	for (const [index, {receivedRequests}] of runners.entries()) {
		const count = receivedRequests.length - before[index]!;
		assert.ok(count >= 4 && count <= (4 * 4 * 1.5) + 5, `${count} requests in 3 s and the time that they wait, at 4 a second`);
	}

	assert.ok(statuses.every(status => status === 200 || status === 503), statuses.join(' '));
	assert.ok(statuses.includes(503));
	for (const runner of runners) {
		runner.requestsPerSecond = undefined;
	}

	await waitUntil(async () => {
		const afterwards = await Promise.all(Array.from({length: 40}, async (_, index) => sendForStatus('/read/1', {method: 'GET', daemon: index % 2})));
		return afterwards.every(status => status === 200);
	});
});

test('an idempotent request is sent to the other runner after a failure', async () => {
	for (const behaviour of ['reset', 'error', 'foreign', 'truncate'] as const) {
		for (const runner of runners) {
			runner.behaviours.push(behaviour);
		}

		const before = countReceivedRequests();
		await send('/read/1', {method: 'GET'});
		assert.equal(countReceivedRequests() - before, 2, behaviour);
		const answer = await send('/read/1', {method: 'GET'});
		assert.equal(answer.status, 200);
	}
});

test('an interrupted stream is resumed at another runner without gaps or duplicates', async () => {
	for (const behaviour of ['truncate', 'break-event'] as const) {
		const sharedBehaviours = [behaviour];
		for (const runner of runners) {
			runner.behaviours = sharedBehaviours;
		}

		const answer = await send('/ask/1', {body: 'x', headers: {'x-pollenarch-token-usage': '10,10'}});
		assert.deepEqual([...answer.text.matchAll(/id: (?<id>\d+)/gv)].map(match => match.groups?.id), ['1', '2', '3', '4', '5']);
	}

	for (const runner of runners) {
		runner.behaviours = [];
	}
});

test('a request that all runners decline is refused with a Retry-After header', async () => {
	for (const runner of runners) {
		runner.behaviours.push('decline', 'decline', 'decline');
	}

	const answer = await send('/sign/1', {body: 'x'});
	assert.equal(answer.status, 503);
	assert.ok(Number(answer.headers['retry-after']) > 0);
	for (const runner of runners) {
		runner.behaviours.length = 0;
	}
});

test('the try at the runner is cancelled when the caller disconnects', async () => {
	for (const runner of runners) {
		runner.behaviours.push('hang');
	}

	const before = runners[0].abortedRequests + runners[1].abortedRequests;
	const abort = new AbortController();
	const pending = httpRequest(`http://${addresses[0]!.callers}/sign/1`, {
		method: 'POST', body: 'x', signal: abort.signal, headers: {host: 'a.example', 'x-pollenarch-request-id': 'leaver', 'x-pollenarch-request-deadline': '1500'},
	});
	await waitUntil(() => runners.some(({receivedRequests}) => receivedRequests.at(-1)?.headers['x-pollenarch-request-id'] === 'leaver'));
	abort.abort();
	await assert.rejects(pending);
	await waitUntil(() => runners[0].abortedRequests + runners[1].abortedRequests > before);
	for (const runner of runners) {
		runner.behaviours.length = 0;
	}
});

test('a request without a response is refused with 504 at the caller\'s deadline', async () => {
	for (const runner of runners) {
		runner.behaviours.push('hang');
	}

	const startedAt = Date.now();
	const answer = await send('/sign/1', {body: 'x', headers: {'x-pollenarch-request-deadline': '400'}});
	assert.equal(answer.status, 504);
	assert.ok(Date.now() - startedAt < 1000);
	for (const runner of runners) {
		runner.behaviours.length = 0;
	}
});

async function sendRaw(text: string): Promise<string> {
	const [host, port] = addresses[0]!.callers.split(':');
	return new Promise(resolve => {
		const socket = connect(Number(port), host, () => {
			socket.write(text);
		});
		let answer = '';
		socket.on('data', data => {
			answer += data.toString('latin1');
		});
		socket.on('close', () => {
			resolve(answer);
		});
		socket.on('error', () => undefined);
		setTimeout(() => socket.destroy(), 500);
	});
}

const head = 'POST /sign/1 HTTP/1.1\r\nHost: a.example\r\nX-Pollenarch-Request-Id: smuggled\r\n';
const malformed = {
	'both Content-Length and Transfer-Encoding': `${head}Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n`,
	'two different Content-Length headers': `${head}Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello`,
	'a sign in Content-Length': `${head}Content-Length: +5\r\n\r\nhello`,
	'an invalid chunk size': `${head}Transfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n`,
	'an unknown transfer coding': `${head}Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n`,
	'a space before the colon': `${head}Content-Length : 0\r\n\r\n`,
	'bytes that are not HTTP': '\u0016\u0003\u0001\r\n\r\n',
};

for (const [what, text] of Object.entries(malformed)) {
	test(`a request with ${what} is refused with 400 and reaches no runner`, async () => {
		const before = countReceivedRequests();
		assert.match(await sendRaw(text), /^HTTP\/1\.1 400 /v);
		assert.equal(countReceivedRequests(), before);
	});
}

test('headers and bodies above the configured limits, unknown hosts and missing ids have distinct status codes', async () => {
	const before = countReceivedRequests();
	assert.equal(await sendForStatus('/sign/1', {headers: {'x-large': 'x'.repeat(5000)}}), 431);
	assert.equal(await sendForStatus('/sign/1', {body: 'x'.repeat(20_000)}), 413);
	assert.equal(await sendForStatus('/sign/1', {headers: {host: 'unknown.example'}}), 404);
	assert.equal(await sendForStatus('/sign/1', {headers: {'x-pollenarch-request-id': ''}}), 400);
	assert.equal(countReceivedRequests(), before);
});

test('every instance adopts a new configuration, also when the history of the feed was compacted', async () => {
	store.isCompacted = true;
	store.put('op', 'config', {...configuration, version: 9, routes: [...configuration.routes, {...configuration.routes[1], name: 'added', prefix: '/added/'}]});
	await waitUntil(() => daemons.every(daemon => daemon.state.configuration?.version === 9));
	for (const daemon of [0, 1]) {
		assert.equal(await sendForStatus('/added/1', {method: 'GET', daemon}), 200);
	}
});

test('a runner whose registry entry says that it is draining gets no new requests', async () => {
	store.put('servers', 'i-1', {...runners[0].entry('records', 'north'), state: 'draining'});
	await waitUntil(() => daemons.every(daemon => daemon.state.targets.get('i-1')?.entry.isLeaving ?? false));
	const before = runners[0].receivedRequests.length;
	for (let index = 0; index < 6; index++) {
		assert.equal(await sendForStatus('/read/1', {method: 'GET', daemon: index % 2}), 200);
	}

	assert.equal(runners[0].receivedRequests.length, before);
	store.put('servers', 'i-1', runners[0].entry('records', 'north'));
});

test('requests are served while the store is unavailable, and its feed is followed again afterwards', async () => {
	for (const fault of ['busy', 'silent'] as const) {
		store.fault = fault;
		await delay(300);
		assert.equal(await sendForStatus('/read/1', {method: 'GET'}), 200);
	}

	store.fault = 'none';
	store.put('op', 'config', {...configuration, version: 12});
	await waitUntil(() => daemons.every(daemon => daemon.state.configuration?.version === 12));
});

test('a drain revokes readiness immediately; requests are still served with Connection: close, then the daemon stops', async () => {
	const daemon = daemons[1]!;
	const ready = async () => {
		const {statusCode} = await httpRequest(`http://${addresses[1]!.readiness}/v1/ready`);
		return statusCode;
	};

	assert.equal(await ready(), 200);
	daemon.drain();
	assert.equal(await ready(), 503);
	const answer = await send('/sign/1', {body: 'x', daemon: 1});
	assert.equal(answer.status, 200);
	assert.equal(answer.headers.connection, 'close');
	await daemon.stopped;
});
