/**
A complete daemon before runners that pause in the middle of a stream and go on, while
configurations change: every caller receives a whole answer.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {request as httpRequest} from 'undici';
import {FakeRunner, FakeStore} from '../standins/fake-store-and-runner.js';
import {startPlatformInstance, streamConfiguration} from '../standins/platform-instance.js';

const STREAMS = 12;

// Guards against cutting off the streams of a target that pauses, which callers saw beside changes of the configuration.
test('both runners pause for a second in all streams, and the retry budget covers few: every stream ends whole', async () => {
	const store = new FakeStore();
	const runners = [await new FakeRunner('i-1').start(), await new FakeRunner('i-2').start()];
	const storeAddress = await store.start();
	store.put('op', 'config', streamConfiguration);
	for (const runner of runners) {
		store.put('servers', runner.id, runner.entry('llm', 'north'));
		runner.behaviours = Array.from({length: STREAMS * 2}, () => 'pause');
	}

	const {daemon, callers} = await startPlatformInstance({id: 'one', storeAddress, repeatSlack: 0});
	try {
		while (!daemon.isReady || daemon.state.targets.size < runners.length) {
			await delay(20);
		}

		const answers = Promise.allSettled(Array.from({length: STREAMS}, async (_, index) => {
			const response = await httpRequest(`http://${callers}/ask/1`, {
				method: 'POST', body: 'x', headers: {
					host: 'a.example', 'x-pollenarch-request-id': `s${index}`, 'x-pollenarch-request-deadline': '6000', 'x-pollenarch-token-usage': '10,10',
				},
			});
			return response.body.text();
		}));
		for (let version = 4; version < 8; version++) {
			await delay(200);
			store.put('op', 'config', {...streamConfiguration, version});
		}

		const texts = await answers;
		const ids = texts.map(result => result.status === 'fulfilled' ? [...result.value.matchAll(/id: (?<id>\d+)/gv)].map(match => match.groups?.id).join(' ') : String(result.reason));
		assert.deepEqual(ids, Array.from({length: STREAMS}, () => '1 2 3 4 5'));
	} finally {
		await daemon.stop();
		store.stop();
		for (const runner of runners) {
			runner.stop();
		}
	}
});
