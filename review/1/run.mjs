/* eslint-disable no-await-in-loop -- the steps of a play follow each other, and some go on beside them */
/**
The path between the instance that gave the last order and the store is cut for 1.5 s, again and again. Whether
the orders that a model runner gets keep to one holder is read from the orders themselves.
*/
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {isTrouble, runCase} from '../tools/case.mjs';
import {Deployment} from '../tools/deployment.mjs';
import {
	configuration, findBreaks, lastHolder, startAdapterTraffic, startModelRunners,
} from '../tools/orders.mjs';
import {Path, Store} from '../tools/store.mjs';

const zones = ['haskovo', 'kardzhali', 'pazardzhik', 'plovdiv', 'stara-zagora'];
const PLAY_MS = 80_000;
const RESTART_MS = 2000;
const CUT_MS = 1500;
/** From the end of one cut to the start of the next: the least time, and what is added at random. */
const PAUSE_MS = 3600;
const PAUSE_SPREAD_MS = 800;

await runCase(fileURLToPath(new URL('.', import.meta.url)), async ({record, onEnd}) => {
	const store = await new Store().start();
	onEnd(() => {
		store.stop();
	});
	const deployment = new Deployment({record});
	onEnd(async () => deployment.end());
	const paths = new Map();
	for (const zone of zones) {
		const path = await new Path(store.port).start();
		onEnd(() => {
			path.stop();
		});
		paths.set(`edge-${zone}-1`, path);
	}

	const runners = await startModelRunners({
		zones: zones.slice(0, 3), store, record, onEnd,
	});
	store.put('op', 'config', configuration);
	await deployment.plan([...paths].map(([name, {address}]) => ({name, zone: name.replace(/^edge-(?<zone>.*)-\d+$/v, '$<zone>'), storeAddress: address})));
	for (const name of deployment.nodes.keys()) {
		deployment.start(name);
	}

	await deployment.waitUntilReady();
	const names = [...deployment.nodes.keys()];
	const stopTraffic = startAdapterTraffic({deployment, record});
	await delay(4000);
	// One machine is stopped in the planned way and started again, with and without the cuts.
	const first = lastHolder(runners);
	await deployment.kill(first, 'SIGTERM');
	await delay(RESTART_MS);
	deployment.start(first);
	await delay(5000);
	const heals = [];
	const endMs = record.nowMs() + PLAY_MS;
	while (record.nowMs() < endMs) {
		const holder = lastHolder(runners);
		if (isTrouble && holder !== undefined) {
			const path = paths.get(holder);
			record.add('path-to-store-cut', {name: holder});
			path.cut();
			await delay(CUT_MS);
			path.heal();
			record.add('path-to-store-whole', {name: holder});
			heals.push({name: holder, healedAtMs: record.nowMs()});
		} else {
			await delay(CUT_MS);
		}

		await delay(PAUSE_MS + (Math.random() * PAUSE_SPREAD_MS));
	}

	await stopTraffic();
	await delay(500);
	for (const name of names) {
		for (const {time, msg, epoch, reason} of deployment.events(name, 'lease-taken', 'lease-lost')) {
			record.add('logged', {
				name, time, msg, epoch, reason,
			});
		}
	}

	const orders = runners.reduce((sum, runner) => sum + runner.orders.length, 0);
	record.add('orders', {orders});
	if (orders < 100 || deployment.ownEnds.length > 0) {
		throw new Error(`${orders} orders were given; ended by themselves: ${deployment.ownEnds.join(' ')}`);
	}

	return runners.flatMap(runner => findBreaks(runner, heals));
});
