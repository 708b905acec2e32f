/**
Complete daemons whose long polls at the store have gone silent: how soon a new version of
the configuration is in force.
*/
import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {FakeStore} from '../standins/fake-store-and-runner.js';
import {startPlatformInstance, streamConfiguration, type PlatformInstance} from '../standins/platform-instance.js';

/** The smallest bound of the deployments. */
const APPLY_MS = 2000;

const store = new FakeStore();
const instances: PlatformInstance[] = [];

before(async () => {
	const storeAddress = await store.start();
	store.put('op', 'config', streamConfiguration);
	// The polls of these instances are silent from the first one on.
	store.arePollsSilent = true;
	for (const [id, zone] of [['instance-1', 'north'], ['instance-2', 'north'], ['instance-3', 'south']] as const) {
		instances.push(await startPlatformInstance({id, zone, storeAddress}));
	}

	while (instances.some(({daemon}) => !daemon.isReady)) {
		await delay(20);
	}
});

after(async () => {
	await Promise.all(instances.map(async ({daemon}) => daemon.stop()));
	store.stop();
});

// Guards against changes that are not in force in time because the poll that would bring them has gone silent.
test('a new version is in force in time everywhere although all polls are silent', {timeout: 20_000}, async () => {
	for (let version = streamConfiguration.version + 1; version <= streamConfiguration.version + 3; version++) {
		store.put('op', 'config', {...streamConfiguration, version});
		await delay(APPLY_MS);
		assert.deepEqual(instances.map(({daemon}) => daemon.state.configuration?.version), instances.map(() => version));
	}
});
