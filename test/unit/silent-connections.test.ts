/**
Complete daemons whose open connections to the store go silent, while new ones work: how
soon they know of a new version of the configuration and of a target that leaves.
*/
import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {FakeRunner, FakeStore} from '../standins/fake-store-and-runner.js';
import {startPlatformInstance, streamConfiguration, type PlatformInstance} from '../standins/platform-instance.js';
import {Relay} from '../standins/relay.js';

/** The smallest bound of the deployments, for both. */
const KNOWN_MS = 2000;
const ROUNDS = 3;

const store = new FakeStore();
const runners: FakeRunner[] = [];
const instances: PlatformInstance[] = [];
let relay: Relay;

before(async () => {
	relay = await Relay.start(`http://${await store.start()}`);
	store.put('op', 'config', streamConfiguration);
	for (let index = 0; index < ROUNDS; index++) {
		const runner = await new FakeRunner(`t-${index}`).start();
		runners.push(runner);
		store.put('servers', runner.id, runner.entry('llm', 'north'));
	}

	for (const [id, zone] of [['instance-1', 'north'], ['instance-2', 'north'], ['instance-3', 'south']] as const) {
		instances.push(await startPlatformInstance({id, zone, storeAddress: new URL(relay.address).host}));
	}

	while (instances.some(({daemon}) => !daemon.isReady || daemon.state.targets.size < ROUNDS)) {
		await delay(20);
	}
});

after(async () => {
	await Promise.all(instances.map(async ({daemon}) => daemon.stop()));
	relay.close();
	store.stop();
	for (const runner of runners) {
		runner.stop();
	}
});

// Guards against changes that are known late because reads wait on one silent connection after the other.
test('a new version and a leaving target are known in time everywhere after all connections to the store have gone silent', {timeout: 20_000}, async () => {
	for (const [index, runner] of runners.entries()) {
		const version = streamConfiguration.version + index + 1;
		relay.silence();
		store.put('op', 'config', {...streamConfiguration, version});
		store.put('servers', runner.id, {...runner.entry('llm', 'north'), state: 'draining'});
		await delay(KNOWN_MS);
		assert.deepEqual(instances.map(({daemon}) => daemon.state.configuration?.version), instances.map(() => version));
		assert.deepEqual(instances.map(({daemon}) => daemon.state.targets.get(runner.id)?.leavingSinceMs !== undefined), instances.map(() => true));
	}
});
