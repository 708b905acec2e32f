/**
Requests whose path to the target hangs after the connection was opened: what reaches the
target once the path has healed.
*/
import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {request as httpRequest} from 'undici';
import {ConnectionPool} from '../../src/daemon/gateways/connection-pool.js';
import {TargetConnections} from '../../src/entry/target-connections.js';
import {FakeRunner, FakeStore} from '../standins/fake-store-and-runner.js';
import {startPlatformInstance, streamConfiguration} from '../standins/platform-instance.js';
import {Relay} from '../standins/relay.js';

/** Many times what a request takes to arrive. */
const ARRIVAL_MS = 200;

const runner = new FakeRunner('i-1');
let relay: Relay;
const host = () => new URL(relay.address).host;

before(async () => {
	await runner.start();
	relay = await Relay.start(`http://${runner.address}`);
});

after(() => {
	relay.close();
	runner.stop();
});

type Send = (signal: AbortSignal) => Promise<unknown>;

async function outcomeOf(sent: Promise<unknown>): Promise<'answered' | 'failed'> {
	try {
		await sent;
		return 'answered';
	} catch {
		return 'failed';
	}
}

/** Sends a request while the path hangs, aborts it, and lets the path heal. Returns what reached the runner. */
async function arrivalsAfterAbort(send: Send): Promise<number> {
	const receivedBefore = runner.receivedRequests.length;
	const controller = new AbortController();
	relay.hold();
	const sent = outcomeOf(send(controller.signal));
	await delay(ARRIVAL_MS);
	controller.abort();
	const outcome = await sent;
	await delay(ARRIVAL_MS);
	relay.release();
	assert.equal(outcome, 'failed');
	await delay(ARRIVAL_MS);
	return runner.receivedRequests.length - receivedBefore;
}

for (const usesFreshConnection of [true, false]) {
	// Guards against requests that reach a leaving target seconds after they were given up, since the kernel still sends their bytes.
	test(`a request that is given up while its path hangs does not arrive later, ${usesFreshConnection ? 'on its own connection' : 'on a pooled connection'}`, async t => {
		const connections = new TargetConnections();
		t.after(async () => connections.close());
		assert.equal(await arrivalsAfterAbort(async signal => connections.request(host(), {
			method: 'POST', path: '/sign/1', headers: ['x-pollenarch-request-id', 'r1'], body: undefined, signal, usesFreshConnection, maxConnections: 4,
		})), 0);
	});

	test(`the same through the gateways of the embedded daemon, ${usesFreshConnection ? 'on its own connection' : 'on a pooled connection'}`, async t => {
		const pool = new ConnectionPool(`http://${host()}`);
		t.after(async () => pool.close());
		assert.equal(await arrivalsAfterAbort(async signal => pool.request({
			method: 'POST', path: '/sign/1', headers: {'x-pollenarch-request-id': 'r1'}, signal, mayReuse: !usesFreshConnection,
		})), 0);
	});
}

// Guards against resetting the next request of a connection when the reader of a complete response drops it.
test('dropping a response that has arrived completely leaves the next request on its connection alone', async t => {
	const connections = new TargetConnections();
	t.after(async () => connections.close());
	const send = async (id: string) => connections.request(host(), {
		method: 'POST', path: '/sign/1', headers: ['x-pollenarch-request-id', id], body: undefined, signal: new AbortController().signal, usesFreshConnection: false, maxConnections: 1,
	});
	const first = await send('first');
	await delay(ARRIVAL_MS);
	runner.behaviours = ['hang'];
	const second = Promise.race([outcomeOf(send('second')), delay(2 * ARRIVAL_MS, 'waiting')]);
	await delay(ARRIVAL_MS);
	first.body.on('error', () => undefined);
	first.body.destroy(new Error('dropped'));
	assert.equal(await second, 'waiting');
});

const configuration = {
	...streamConfiguration,
	routes: [{
		name: 'sign', host: 'a.example', prefix: '/sign/', kind: 'non_idempotent', timeoutMs: 6000, targetLatencyMs: 200, priority: 1, service: 'llm', maxAttempts: 1,
	}],
};
/** A request may still reach a target this long after the store has its leaving. */
const DRAIN_MS = 2000;
const PROBE_TIMEOUT_MS = 300;

// Guards against work that may not repeat and waits on a hung path while its target leaves, and then still reaches it.
test('a request that waits on a hung path does not reach a target that left meanwhile', {timeout: 20_000}, async t => {
	const store = new FakeStore();
	const storeAddress = await store.start();
	store.put('op', 'config', configuration);
	store.put('servers', runner.id, runner.entry('llm', 'north'));
	const {daemon, callers} = await startPlatformInstance({id: 'instance-1', storeAddress, addressOf: host});
	t.after(async () => {
		relay.release();
		await daemon.stop();
		store.stop();
	});
	while (!daemon.isReady || daemon.state.targets.size === 0) {
		await delay(20);
	}

	const receivedBefore = runner.receivedRequests.length;
	relay.hold();
	// A relay accepts connections whatever it forwards; those on a path that hangs get no answer.
	daemon.connections.probe = async () => delay(PROBE_TIMEOUT_MS, 'unanswered');
	const sent = outcomeOf(httpRequest(`http://${callers}/sign/1`, {
		method: 'POST', headers: {host: 'a.example', 'x-pollenarch-request-id': 'r-held', 'x-pollenarch-request-deadline': '5000'},
	}));
	await delay(ARRIVAL_MS);
	store.put('servers', runner.id, {...runner.entry('llm', 'north'), state: 'draining'});
	await delay(DRAIN_MS + ARRIVAL_MS);
	relay.release();
	await sent;
	assert.equal(runner.receivedRequests.length - receivedBefore, 0);
});
