/**
An old software version that returns for some seconds, more than half a minute after it was
replaced, and a machine that is stopped and started in turn both times.
*/
/* eslint-disable no-await-in-loop -- the steps follow one another */
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {runCase} from '../harness/case.mjs';
import {Cluster} from '../harness/cluster.mjs';
import {eventIds, send} from '../harness/requester.mjs';
import {Runner} from '../harness/runner.mjs';
import {Store} from '../harness/store.mjs';

/** Whether the run brings its disruption about: `TROUBLE=0` leaves it out. */
const hasTrouble = process.env.TROUBLE !== '0';

const INSTANCES = 4;
const SETTLED_MS = 3000;
const STREAM_INTERVAL_MS = 125;
const SLOTS = 64;
const EVENTS = 80;
const PAUSE_MS = 100;
const TIME_LIMIT_MS = 20_000;
/** A runner that leaves goes on for `drainMs` and a little longer. */
const DRAIN_MS = 2500;
const GRACE_MS = 8000;
/** From the first stop of the machine until the old version returns. */
const PAUSE_BETWEEN_MS = 34_000;
/** Requesters retry a few times within their time limit. */
const RETRIES = 3;
const RETRY_AFTER_MS = 1000;
/** Time for which a new runner serves beside the one that it replaces. */
const OVERLAP_MS = 2000;
const HOST = 'verdicts.example';
const configuration = {
	version: 7,
	limits: {
		maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
	},
	services: [{name: 'reports', maxConns: 771}],
	routes: [{
		name: 'digests', host: HOST, prefix: '/digests/', kind: 'streaming', resumable: true, timeoutMs: TIME_LIMIT_MS, targetLatencyMs: 3000, gapAimMs: 150, priority: 2, maxAttempts: 2, service: 'reports',
	}],
};

async function sendStream(front, number, lastEventId = 0) {
	return send({
		front, host: HOST, path: `/digests/${number}`, method: 'POST', body: `digest ${number}`, isStream: true, deadlineMs: TIME_LIMIT_MS, headers: lastEventId > 0 ? {'last-event-id': String(lastEventId)} : {},
	});
}

/** The versions that wrote the events of an answer, in order. */
function versionsOf({body}) {
	return [...body.matchAll(/^data: (?<version>\S+) /gmv)].map(({groups}) => groups.version);
}

await runCase(fileURLToPath(new URL('record.txt', import.meta.url)), {hasTrouble}, async (record, onClose) => {
	const store = new Store();
	onClose(() => {
		store.close();
	});
	store.put('op', 'config', configuration);
	const runners = [];
	const addRunner = async (id, version) => {
		const runner = await new Runner({
			id, store, service: 'reports', version, slots: SLOTS, events: EVENTS, pauseMs: PAUSE_MS,
		}).start();
		record.note(`${id} starts with ${version}`);
		runners.push(runner);
		onClose(() => {
			runner.close();
		});
		return runner;
	};

	/** Its entry is removed; it goes on for a while and exits. */
	const remove = async runner => {
		record.note(`the entry of ${runner.id} is removed`);
		runner.leave();
		await delay(DRAIN_MS);
		runner.crash({isQuiet: true});
		record.note(`${runner.id} exits`);
	};

	/** The platform stops a process and starts it again. */
	const roll = async instance => {
		record.note(`${instance.name} is sent SIGTERM`);
		instance.signal('SIGTERM');
		const kill = setTimeout(() => {
			instance.signal('SIGKILL');
		}, GRACE_MS);
		await instance.ended;
		clearTimeout(kill);
		instance.start();
		await instance.waitUntilReady();
		record.note(`${instance.name} has started again and is ready`);
	};

	const old = [await addRunner('i-old-1', 'v1'), await addRunner('i-old-2', 'v1')];
	const cluster = new Cluster({store});
	onClose(async () => cluster.close());
	await cluster.start(INSTANCES);
	const [rolled, ...others] = cluster.instances;
	await delay(SETTLED_MS);

	const broken = [];
	const play = async number => {
		const begun = await sendStream(others[number % others.length].front, number);
		const lastEventId = eventIds(begun).at(-1);
		record.note(`stream ${number}: ${begun.id} ended: ${begun.reason}, status ${begun.status}, events 1 to ${lastEventId} of ${versionsOf(begun)[0]}`, begun.endedAtMs);
		if (begun.isComplete || lastEventId === undefined) {
			return;
		}

		// The channel is broken: the requester takes the stream up at other nodes, as PROTOCOL.md allows, a few times.
		for (let retry = 0; retry < RETRIES; retry++) {
			const {front, name} = cluster.instances[(number + retry) % INSTANCES];
			const rest = await sendStream(front, number, lastEventId);
			const ids = eventIds(rest);
			record.note(`stream ${number}: ${rest.id} takes it up after event ${lastEventId} at ${name}: ${rest.reason}, status ${rest.status}, events ${ids[0]} to ${ids.at(-1)} of ${versionsOf(rest)[0]}`, rest.sentAtMs);
			const versions = new Set([...versionsOf(begun), ...versionsOf(rest)]);
			if (rest.status === 200 && rest.isComplete && versions.size > 1) {
				broken.push(`stream ${number}: answered 200 and complete, events 1 to ${lastEventId} by ${versionsOf(begun)[0]}, the rest by ${versionsOf(rest)[0]}`);
			}

			if (rest.status === 200) {
				return;
			}

			await delay(RETRY_AFTER_MS);
		}
	};

	const streams = [];
	const flow = setInterval(() => {
		streams.push(play(streams.length));
	}, STREAM_INTERVAL_MS);
	onClose(() => {
		clearInterval(flow);
	});

	// The runners of v1 are replaced by runners of v2, one after the other.
	for (const [index, runner] of old.entries()) {
		await addRunner(`i-new-${index + 1}`, 'v2');
		await delay(OVERLAP_MS);
		await remove(runner);
	}

	if (hasTrouble) {
		await roll(rolled);
	}

	// Much later a runner of v1 is added, and taken away again after some seconds.
	await delay(PAUSE_BETWEEN_MS);
	const returned = await addRunner('i-old-3', 'v1');
	await delay(OVERLAP_MS);
	const removal = remove(returned);
	await delay(1000);
	if (hasTrouble) {
		await roll(rolled);
	}

	await removal;
	clearInterval(flow);
	await Promise.all(streams);
	for (const {atMs, kind, runner, id, path} of runners.flatMap(({arrivals}) => arrivals)) {
		record.note(`${runner}: ${kind} ${id} ${path}`, atMs);
	}

	for (const {atMs, caller, call, value} of store.writes.filter(({table}) => table === 'pollenarch-releases')) {
		record.note(`${caller}: ${call} of the releases ${value}`, atMs);
	}

	record.note(`ended after ${Math.round(performance.now())} ms`);
	return broken;
});
