/**
Two complete daemons before runners of two software versions: a stream goes on only at
the version that began it, within one response and when its caller takes it up at
another instance.
*/
import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {request as httpRequest} from 'undici';
import {FakeRunner, FakeStore} from '../standins/fake-store-and-runner.js';
import {type PlatformInstance, startPlatformInstance, streamConfiguration} from '../standins/platform-instance.js';

const STREAMS = 16;
const store = new FakeStore();
const runners: FakeRunner[] = [];
const instances: PlatformInstance[] = [];

before(async () => {
	const storeAddress = await store.start();
	store.put('op', 'config', streamConfiguration);
	for (const [id, version] of [['i-1', 'v1'], ['i-2', 'v1'], ['i-3', 'v2'], ['i-4', 'v2']] as const) {
		const runner = await new FakeRunner(id).start();
		runner.version = version;
		runners.push(runner);
		store.put('servers', id, runner.entry('llm', 'north'));
	}

	for (const id of ['one', 'two', 'three']) {
		instances.push(await startPlatformInstance({id, storeAddress}));
	}

	while (instances.some(({daemon}) => !daemon.isReady || daemon.state.targets.size < runners.length || daemon.state.peers.size < 2)) {
		await delay(20);
	}
});

after(async () => {
	await Promise.all(instances.map(async ({daemon}) => daemon.stop()));
	store.stop();
	for (const runner of runners) {
		runner.stop();
	}
});

type SentStream = {
	readonly status: number;
	/** Ids of its events, undefined if the response broke off. */
	readonly ids: string | undefined;
};

async function sendStream(instance: number, id: string, headers: Record<string, string> = {}): Promise<SentStream> {
	const response = await httpRequest(`http://${instances[instance]!.callers}/ask/1`, {
		method: 'POST', body: 'x', headers: {
			host: 'a.example', 'x-pollenarch-request-id': id, 'x-pollenarch-request-deadline': '6000', 'x-pollenarch-token-usage': '10,10', ...headers,
		},
	});
	try {
		const text = await response.body.text();
		return {status: response.statusCode, ids: [...text.matchAll(/id: (?<id>\d+)/gv)].map(match => match.groups?.id).join(' ')};
	} catch {
		return {status: response.statusCode, ids: undefined};
	}
}

/** Receives the first event of a stream and leaves; its target pauses after it. Returns the version of the runner that the event came from. */
async function beginStream(instance: number, id: string): Promise<string | undefined> {
	const {headers, body} = await httpRequest(`http://${instances[instance]!.callers}/ask/1`, {
		method: 'POST', body: 'x', headers: {
			host: 'a.example', 'x-pollenarch-request-id': id, 'x-pollenarch-request-deadline': '6000', 'x-pollenarch-token-usage': '10,10',
		},
	});
	await body[Symbol.asyncIterator]().next();
	body.destroy();
	return runners.find(runner => headers['x-pollenarch-server-signature'] === `signed by ${runner.id}`)?.version;
}

/** Versions of the runners that requests with this id, or that take up this one, reached. */
function versionsOf(...ids: readonly string[]): Set<string> {
	return new Set(runners.filter(({receivedRequests}) => receivedRequests.some(({headers}) => ids.includes(String(headers['x-pollenarch-request-id']))))
		.map(({version}) => version));
}

function behave(behaviour: 'truncate' | 'pause', number: number): void {
	// Shared by all runners: as many requests behave so, wherever they arrive.
	const behaviours = Array.from({length: number}, () => behaviour);
	for (const runner of runners) {
		runner.behaviours = behaviours;
	}
}

// Guards against a stream that goes on, within one response, at a target of another software version than the one that began it.
test('a stream that breaks off goes on at the version that began it', async () => {
	for (let index = 0; index < STREAMS; index++) {
		behave('truncate', 1);
		const {ids} = await sendStream(index % 2, `broken${index}`);
		assert.equal(ids, '1 2 3 4 5');
		assert.equal(versionsOf(`broken${index}`).size, 1, [...versionsOf(`broken${index}`)].join(' '));
	}
});

// Guards against a stream that its caller takes up elsewhere and that goes on at another software version; the instance that began it knows, others must learn it.
test('a stream that its caller takes up at another instance goes on at the version that began it', async () => {
	for (let index = 0; index < STREAMS; index++) {
		const id = `begun${index}`;
		behave('pause', 1);
		await beginStream(0, id);
		const {status, ids} = await sendStream(1, `again${index}`, {'last-event-id': '1', resumes: id});
		assert.deepEqual([status, ids], [200, '2 3 4 5']);
		assert.equal(versionsOf(id, `again${index}`).size, 1, [...versionsOf(id, `again${index}`)].join(' '));
	}
});

// Guards against guessing: nobody knows which software version began the stream, and two serve.
test('a stream whose beginning no instance knows is refused at once, and reaches no target', async () => {
	const {status} = await sendStream(1, 'orphan', {'last-event-id': '3', resumes: 'never-seen'});
	assert.equal(status, 503);
	assert.equal(versionsOf('orphan').size, 0);
});

// Guards against losing what is known of streams with the instance that began them.
test('a stream goes on at the version that began it after the instance that began it is gone', async () => {
	behave('pause', STREAMS);
	const ids = Array.from({length: STREAMS}, (_, index) => `left${index}`);
	// A stream may have been sent to several runners before its first event, if this process was held up.
	const versions = await Promise.all(ids.map(async id => beginStream(0, id)));
	await instances[0]!.daemon.stop();
	for (const [index, id] of ids.entries()) {
		const sent = await sendStream(1, `after ${id}`, {'last-event-id': '1', resumes: id});
		assert.deepEqual(sent, {status: 200, ids: '2 3 4 5'});
		assert.deepEqual([...versionsOf(`after ${id}`)], [versions[index]]);
	}
});
