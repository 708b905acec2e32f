/**
Entries of another writer among those of the targets: too deeply nested, with fields
missing or of another type, with numbers out of range, with an address that nothing can
listen on. They name no target, and the instances that read them go on following the others.
*/
import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {request as httpRequest} from 'undici';
import {FakeRunner, FakeStore} from '../standins/fake-store-and-runner.js';
import {startPlatformInstance, streamConfiguration, type PlatformInstance} from '../standins/platform-instance.js';

const NESTING = 20_000;

/** JSON of arrays in each other, nearly as long as a row may be. */
const nested = '['.repeat(NESTING) + ']'.repeat(NESTING);

const sound = {
	service: 'llm', address: '127.0.0.1:9', zone: 'north', version: 'v1', slots: 8, state: 'ready', coldLeftMs: 0, seq: 0, born: 1, models: [],
};

function withField(name: string, json: string): string {
	return JSON.stringify({...sound, [name]: 0}).replace(`"${name}":0`, `"${name}":${json}`);
}

const oddEntries: Readonly<Record<string, string>> = {
	'nested as a whole': nested,
	...Object.fromEntries(['service', 'address', 'zone', 'version', 'slots', 'state', 'coldLeftMs', 'seq', 'born', 'models', 'atHand'].map(name => [`nested in ${name}`, withField(name, nested)])),
	...Object.fromEntries(['service', 'address', 'zone', 'version', 'slots', 'state', 'coldLeftMs', 'seq'].flatMap(name => [
		[`without ${name}`, JSON.stringify({...sound, [name]: undefined})],
		[`${name} null`, withField(name, 'null')],
		[`${name} of another type`, withField(name, '{"a":1}')],
	])),
	'without version, coldLeftMs, seq and born': JSON.stringify({
		...sound, version: undefined, coldLeftMs: undefined, seq: undefined, born: undefined,
	}),
	'nested in a model': withField('models', `[${nested}]`),
	'nested in an adapter': withField('models', `[{"name":"m","adapters":[${nested}]}]`),
	...Object.fromEntries(['slots', 'coldLeftMs', 'seq', 'born'].flatMap(name => ['1e400', '1e308', '1e21', '9007199254740993', '-1', '-1e308'].map(value => [`${name} ${value}`, withField(name, value)]))),
	'slots 0': withField('slots', '0'),
	'slots 0.5': withField('slots', '0.5'),
	'born 1.5': withField('born', '1.5'),
	'a model version of 1e400': withField('models', '[{"name":"m","version":1e400}]'),
	...Object.fromEntries(['127.0.0.1:65536', '127.0.0.1:99999', '127.0.0.1:0', '127.0.0.1:18446744073709551617', '127.0.0.1:', '127.0.0.1', '256.0.0.1:9', '127.0.0.999:9', '127.0.1:9', '127.0.0.1.5:9', '....:9', '0x7f.0.0.1:9', '127.0.0.1:9 ', ''].map(address => [`address ${address}`, withField('address', JSON.stringify(address))])),
};

const store = new FakeStore();
const runners = ['t-0', 't-1', 't-2'].map(id => new FakeRunner(id));
const failures: unknown[] = [];
let instance: PlatformInstance;
let counter = 0;

function noteFailure(error: unknown): void {
	failures.push(error);
}

async function list(runner: FakeRunner): Promise<void> {
	store.put('servers', runner.id, runner.entry('llm', 'north'));
	const endMs = Date.now() + 5000;
	while (!instance.daemon.state.targets.has(runner.id)) {
		assert.ok(Date.now() < endMs, `${runner.id} is not followed`);
		await delay(20);
	}
}

before(async () => {
	for (const runner of runners) {
		await runner.start();
	}

	const storeAddress = await store.start();
	store.put('op', 'config', streamConfiguration);
	process.on('unhandledRejection', noteFailure);
	process.on('uncaughtException', noteFailure);
	instance = await startPlatformInstance({id: 'instance-1', storeAddress});
});

after(async () => {
	await instance.daemon.stop();
	process.off('unhandledRejection', noteFailure);
	process.off('uncaughtException', noteFailure);
	store.stop();
	for (const runner of runners) {
		runner.stop();
	}
});

async function ask(): Promise<number> {
	counter++;
	const {statusCode, body} = await httpRequest(`http://${instance.callers}/ask/1`, {
		method: 'POST', body: '{}', headers: {
			host: 'a.example', 'x-pollenarch-request-id': `r${counter}`, 'x-pollenarch-request-deadline': '2000', 'x-pollenarch-token-usage': '10,10',
		},
	});
	await body.text();
	return statusCode;
}

// Guards against an entry that ends the instances that read it, or behind which they no longer follow the registry.
test('an instance goes on following the registry and serving beside odd entries, which name no target', {timeout: 30_000}, async t => {
	await list(runners[0]!);
	for (const [index, json] of Object.values(oddEntries).entries()) {
		store.put('servers', `odd-${index}`, json);
	}

	await list(runners[1]!);
	const statuses = new Set<number>();
	for (let count = 0; count < 60; count++) {
		statuses.add(await ask());
	}

	await list(runners[2]!);
	const {targets} = instance.daemon.state;
	for (const [index, what] of Object.keys(oddEntries).entries()) {
		await t.test(what, () => {
			assert.equal(targets.has(`odd-${index}`), false);
		});
	}

	assert.deepEqual(failures, []);
	assert.deepEqual([...statuses], [200]);
});
