/* eslint-disable no-await-in-loop -- the steps of a play follow each other, and some go on beside them */
/**
A machine is restarted in the planned way, so that another one takes the lease over. The
store then comes back from a copy some seconds old, while all processes are killed. Whether
the orders that a model runner gets keep to one holder for each epoch is read from the orders.
*/
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {isTrouble, runCase} from '../tools/case.mjs';
import {Deployment} from '../tools/deployment.mjs';
import {
	configuration, findBreaks, lastHolder, startAdapterTraffic, startModelRunners,
} from '../tools/orders.mjs';
import {Store} from '../tools/store.mjs';

const zones = ['haskovo', 'plovdiv', 'stara-zagora'];
const RESTART_MS = 1000;
/** Age of the copy from which the store returns. */
const COPY_AGE_MS = 5000;
const COPY_INTERVAL_MS = 100;
/** From the first order of the next holder to the moment at which the store goes away. */
const HOLDING_MS = 3000;
const AWAY_MS = 500;

await runCase(fileURLToPath(new URL('.', import.meta.url)), async ({record, onEnd}) => {
	const store = await new Store({sendsEra: true}).start();
	onEnd(() => {
		store.stop();
	});
	const deployment = new Deployment({record});
	onEnd(async () => deployment.end());
	const runners = await startModelRunners({
		zones, store, record, onEnd,
	});
	store.put('op', 'config', configuration);
	await deployment.plan(zones.map(zone => ({name: `edge-${zone}-1`, zone, storeAddress: `127.0.0.1:${store.port}`})));
	const names = [...deployment.nodes.keys()];
	for (const name of names) {
		deployment.start(name);
	}

	await deployment.waitUntilReady();
	const stopTraffic = startAdapterTraffic({deployment, record});
	await delay(6000);
	const first = lastHolder(runners);
	if (first === undefined) {
		throw new Error('no order was given');
	}

	const copies = [];
	const copying = setInterval(() => {
		copies.push({atMs: record.nowMs(), copy: store.copy()});
	}, COPY_INTERVAL_MS);
	onEnd(() => {
		clearInterval(copying);
	});
	await deployment.kill(first, 'SIGTERM');
	await delay(RESTART_MS);
	deployment.start(first);
	while (lastHolder(runners) === first) {
		await delay(20);
	}

	record.add('next-holder', {name: lastHolder(runners)});
	await delay(HOLDING_MS);
	clearInterval(copying);
	if (isTrouble) {
		record.add('store-away-and-all-killed');
		store.isAway = true;
		await Promise.all(names.map(async name => deployment.kill(name)));
		await delay(AWAY_MS);
		const {atMs, copy} = copies.findLast(({atMs: copiedAtMs}) => record.nowMs() - copiedAtMs >= COPY_AGE_MS);
		store.restore(copy);
		store.isAway = false;
		record.add('store-back-from-copy', {era: store.era, copyAgeMs: Math.round(record.nowMs() - atMs)});
		store.put('op', 'config', configuration);
		for (const runner of runners) {
			runner.register();
		}

		await delay(RESTART_MS);
		for (const name of names) {
			deployment.start(name);
		}
	}

	await delay(12_000);
	await stopTraffic();
	for (const {id, orders} of runners) {
		const epochs = new Map();
		for (const {holder, fencingToken} of orders) {
			const key = `${fencingToken} ${holder}`;
			epochs.set(key, (epochs.get(key) ?? 0) + 1);
		}

		record.add('orders', {runner: id, epochs: [...epochs].map(([key, count]) => `${key}: ${count}`)});
	}

	if (deployment.ownEnds.length > 0) {
		throw new Error(`ended by themselves: ${deployment.ownEnds.join(' ')}`);
	}

	return runners.flatMap(runner => findBreaks(runner));
});
