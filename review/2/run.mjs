/* eslint-disable no-await-in-loop, no-void -- the steps of a play follow each other, and some go on beside them */
/**
The two runners of a plain service are full for a moment, again and again, and turn work away
that must run once at most. One of them at a time sends a second copy of three in a hundred of
its answers, late, where the next answer on the same channel is expected. Whether work runs twice,
or is refused although it has run, is read from what the runners run and the requesters get.
*/
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {isTrouble, runCase} from '../tools/case.mjs';
import {Deployment, grownBounds, smallContracts} from '../tools/deployment.mjs';
import {send} from '../tools/requester.mjs';
import {PlainRunner} from '../tools/runner.mjs';
import {Store} from '../tools/store.mjs';

const ROUNDS = 62;
const ROUND_MS = 1600;
/** Lookups that come at once at each of some instances and fill the runners' slots and queues. */
const BURST = 75;
const EXTRA_SHARE = 0.03;
/** Time for which one runner, drawn anew each time, sends second copies, and the pause after it. */
const GARBLE_MS = 5000;
const PAUSE_MS = 500;
const LOOKUP_INSTANCES = ['edge-haskovo-1', 'edge-stara-zagora-1'];
const ORDER_INSTANCES = Array.from({length: 12}, (_, index) => `edge-plovdiv-${index + 1}`);
const promises = new Set([408, 421, 429, 503]);

const route = {
	host: 'records.example', timeoutMs: 4000, targetLatencyMs: 330, priority: 1, service: 'records-app',
};
const configuration = {
	version: 3,
	routes: [
		{
			...route, name: 'signoff', prefix: '/signoff/', kind: 'non_idempotent', maxAttempts: 1,
		},
		{
			...route, name: 'lookup', prefix: '/lookup/', kind: 'idempotent', maxAttempts: 2,
		},
	],
	services: [{name: 'records-app', maxConns: 720}],
	limits: {
		maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
	},
};

async function sendOrder(port, {id, record}) {
	const answer = await send(port, {
		id, host: 'records.example', path: '/signoff/1', body: '{}', deadlineMs: 4000, record,
	});
	return {id, answer};
}

await runCase(fileURLToPath(new URL('.', import.meta.url)), async ({record, onEnd}) => {
	const store = await new Store().start();
	onEnd(() => {
		store.stop();
	});
	const deployment = new Deployment({record, bounds: grownBounds, contracts: [...smallContracts, 'health', 'pool']});
	onEnd(async () => deployment.end());
	const runners = [];
	for (const [index, zone] of ['plovdiv', 'haskovo'].entries()) {
		const runner = await new PlainRunner({
			id: `i-00${index}`, service: 'records-app', zone, slots: 6, queueLength: 6, workMs: 70, store, record,
		}).start();
		onEnd(() => {
			runner.stop();
		});
		runners.push(runner);
	}

	let answers = 0;
	let copies = 0;
	let garbling;
	for (const runner of runners) {
		runner.extraAnswer = bytes => {
			answers++;
			if (runner !== garbling || Math.random() >= EXTRA_SHARE) {
				return undefined;
			}

			copies++;
			return bytes;
		};
	}

	const beginGarbling = () => {
		garbling = isTrouble ? runners[Math.floor(Math.random() * runners.length)] : undefined;
		setTimeout(() => {
			garbling = undefined;
		}, GARBLE_MS).unref();
	};

	beginGarbling();
	const garbleTimer = setInterval(beginGarbling, GARBLE_MS + PAUSE_MS);
	onEnd(() => {
		clearInterval(garbleTimer);
	});
	store.put('op', 'config', configuration);
	const names = [...LOOKUP_INSTANCES, ...ORDER_INSTANCES];
	await deployment.plan(names.map(name => ({name, zone: name.replace(/^edge-(?<zone>.*)-\d+$/v, '$<zone>'), storeAddress: `127.0.0.1:${store.port}`})));
	for (const name of names) {
		deployment.start(name);
	}

	await deployment.waitUntilReady();
	await delay(3000);
	const orders = [];
	for (let round = 0; round < ROUNDS; round++) {
		for (const name of LOOKUP_INSTANCES) {
			for (let number = 0; number < BURST; number++) {
				void send(deployment.nodes.get(name).ports.front, {
					id: `lookup-${process.pid}-${round}-${name}-${number}`, method: 'GET', host: 'records.example', path: '/lookup/1', deadlineMs: 4000, record,
				});
			}
		}

		await delay(150);
		for (const name of ORDER_INSTANCES) {
			const id = `signoff-${process.pid}-${round}-${name}`;
			orders.push(sendOrder(deployment.nodes.get(name).ports.front, {id, record}));
		}

		await delay(ROUND_MS - 150);
	}

	const ended = await Promise.all(orders);
	await delay(500);
	const runs = new Map();
	for (const {id} of runners.flatMap(runner => runner.runs)) {
		runs.set(id, (runs.get(id) ?? 0) + 1);
	}

	const ok = ended.filter(({answer}) => answer.status === 200).length;
	const declined = runners.flatMap(runner => runner.arrivals).filter(({id}) => id.startsWith('signoff')).length;
	record.add('summary', {
		orders: ended.length, ok, arrivals: declined, answers, copies,
	});
	if (ok < ended.length / 4 || deployment.ownEnds.length > 0) {
		throw new Error(`${ok} of ${ended.length} were served; ended by themselves: ${deployment.ownEnds.join(' ')}`);
	}

	return ended.flatMap(({id, answer}) => {
		const times = runs.get(id) ?? 0;
		return [
			...(times > 1 ? [`TWICE: ${id} ran ${times} times and was answered ${answer.status}`] : []),
			...(times > 0 && promises.has(answer.status) ? [`REFUSED: ${id} was answered ${answer.status} and ran ${times} times`] : []),
		];
	});
});
