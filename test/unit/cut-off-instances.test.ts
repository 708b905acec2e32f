/**
Complete daemons of which some are cut off from all runners, while callers, the store and
the other daemons still reach them: what their callers get, and how often runners get it.
*/
import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {request as httpRequest} from 'undici';
import {FakeRunner, FakeStore} from '../standins/fake-store-and-runner.js';
import {startPlatformInstance, streamConfiguration, type PlatformInstance} from '../standins/platform-instance.js';
import {Relay} from '../standins/relay.js';

const configuration = {
	...streamConfiguration,
	routes: [
		...streamConfiguration.routes,
		{
			name: 'sign', host: 'a.example', prefix: '/sign/', kind: 'non_idempotent', timeoutMs: 1500, targetLatencyMs: 200, priority: 1, service: 'llm', maxAttempts: 1,
		},
	],
};
const zones = ['north', 'north', 'south'];

const store = new FakeStore();
const runners: FakeRunner[] = [];
/** For each instance, relays to the runners by their addresses. */
const relays: Array<Map<string, Relay>> = [];
const instances: PlatformInstance[] = [];

before(async () => {
	const storeAddress = await store.start();
	store.put('op', 'config', configuration);
	for (const id of ['i-1', 'i-2', 'i-3']) {
		const runner = await new FakeRunner(id).start();
		runners.push(runner);
		store.put('servers', id, runner.entry('llm', 'north'));
	}

	for (const [index, zone] of zones.entries()) {
		const own = new Map<string, Relay>();
		for (const {address} of runners) {
			own.set(address, await Relay.start(`http://${address}`));
		}

		relays.push(own);
		instances.push(await startPlatformInstance({
			id: `instance-${index}`, zone, storeAddress, addressOf: address => own.has(address) ? new URL(own.get(address)!.address).host : address,
		}));
	}

	while (instances.some(({daemon}) => !daemon.isReady || daemon.state.targets.size < runners.length || daemon.state.peers.size < instances.length - 1)) {
		await delay(20);
	}
});

after(async () => {
	await Promise.all(instances.map(async ({daemon}) => daemon.stop()));
	store.stop();
	for (const relay of relays.flatMap(own => [...own.values()])) {
		relay.close();
	}

	for (const runner of runners) {
		runner.stop();
	}
});

function cutOff(...cut: readonly number[]): void {
	for (const index of cut) {
		for (const relay of relays[index]!.values()) {
			relay.refuse();
		}
	}
}

async function heal(...cut: readonly number[]): Promise<void> {
	for (const index of cut) {
		for (const relay of relays[index]!.values()) {
			await relay.accept();
		}
	}

	const services = cut.map(index => instances[index]!.daemon.state.unreachedServices);
	while (services.some(({size}) => size > 0)) {
		await delay(20);
	}
}

type Answer = {
	readonly status: number;
	readonly text: string;
	readonly headers: Record<string, string | string[] | undefined>;
};

let counter = 0;

async function send(instance: number, path: string, headers: Record<string, string> = {}): Promise<Answer & {id: string}> {
	counter++;
	const id = `r${counter}`;
	const response = await httpRequest(`http://${instances[instance]!.callers}${path}`, {
		method: 'POST', body: `body of ${id}`, headers: {
			host: 'a.example', 'x-pollenarch-request-id': id, 'x-pollenarch-request-deadline': '1500', ...headers,
		},
	});
	let text = 'broken off';
	try {
		text = await response.body.text();
	} catch {
		// The status and what reached the runners tell the rest.
	}

	return {
		id, status: response.statusCode, text, headers: response.headers,
	};
}

function arrivalsOf(id: string): number {
	return runners.flatMap(({receivedRequests}) => receivedRequests).filter(({headers}) => headers['x-pollenarch-request-id'] === id).length;
}

const stream = {'x-pollenarch-token-usage': '10,10'};

async function assertServed(instance: number): Promise<void> {
	for (let index = 0; index < 6; index++) {
		const answer = await send(instance, '/ask/1', stream);
		assert.deepEqual([answer.status, [...answer.text.matchAll(/id: (?<id>\d+)/gv)].map(match => match.groups?.id).join(' ')], [200, '1 2 3 4 5']);
		const signed = await send(instance, '/sign/x?y=1');
		assert.equal(signed.status, 200);
		assert.match(signed.text, new RegExp(`^answer of i-\\d to ${signed.id}$`, 'v'));
		assert.match(String(signed.headers['x-pollenarch-server-signature']), /^signed by i-\d$/v);
		assert.equal(arrivalsOf(signed.id), 1, 'what may not repeat runs once');
	}
}

// Guards against instances that never conclude that they are cut off, and refuse their callers while others serve.
test('one of two instances of a zone is cut off from all runners: it serves its callers through the other', async () => {
	cutOff(0);
	await send(0, '/ask/1', stream);
	await assertServed(0);
	await heal(0);
	await assertServed(0);
});

test('all instances of a zone are cut off from all runners: another zone serves their callers', async () => {
	cutOff(0, 1);
	await Promise.all([send(0, '/ask/1', stream), send(1, '/ask/1', stream)]);
	await assertServed(0);
	await assertServed(1);
	await heal(0, 1);
});

// Guards against taking a runner's own error without a signature for a refusal by the other instance, which would say "not run".
test('a runner that has run a relayed request fails it without a signature: its error reaches the caller, and nothing says "not run"', async () => {
	cutOff(0);
	await send(0, '/ask/1', stream);
	for (const runner of runners) {
		runner.behaviours = Array.from({length: 3}, () => 'unsigned-error' as const);
	}

	const answer = await send(0, '/sign/1');
	assert.equal(answer.status, 500, 'the caller is not told that it has not run');
	assert.equal(arrivalsOf(answer.id), 1);
	for (const runner of runners) {
		runner.behaviours = [];
	}

	await heal(0);
});

test('all instances are cut off from all runners: requests are refused at once, and nothing goes in circles', async () => {
	cutOff(0, 1, 2);
	await Promise.all(instances.map(async (_, index) => send(index, '/ask/1', stream)));
	await delay(1200);
	for (const index of instances.keys()) {
		const answer = await send(index, '/sign/1');
		assert.equal(answer.status, 503, answer.text);
		assert.ok(Number(answer.headers['retry-after']) > 0);
		assert.equal(arrivalsOf(answer.id), 0);
	}

	await heal(0, 1, 2);
});
