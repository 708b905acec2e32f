/**
A runner whose entry is removed, and a machine that is killed right after that and comes
back within a second: the first of its zone, which reads the registry for the others.
*/
/* eslint-disable no-await-in-loop -- the steps follow one another */
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {runCase} from '../harness/case.mjs';
import {Cluster} from '../harness/cluster.mjs';
import {send} from '../harness/requester.mjs';
import {Runner} from '../harness/runner.mjs';
import {Store} from '../harness/store.mjs';

/** Whether the run brings its disruption about: `TROUBLE=0` leaves it out. */
const hasTrouble = process.env.TROUBLE !== '0';

/** Machines by zone. As in the settings of the platform, the first one of each zone is a seed. */
const ZONES = ['one', 'one', 'one', 'two', 'three'];
const SEEDS = [0, 3, 4];
const SETTLED_MS = 8000;
const ROUNDS = 13;
/** Reads of the registry that are waited for, and how long ago others have read it at best. */
const READS_WAITED = 3;
const OTHERS_AGO_MS = 150;
const DRAIN_MS = 2000;
/** A runner that leaves goes on for `drainMs` and longer, at times many seconds. */
const GOES_ON_MS = 4500;
/** From the removal of the entry to the kill. */
const KILL_AFTER_MS = 200;
/** A killed process is restarted after a short delay. */
const RESTART_AFTER_MS = 20;
const REQUEST_INTERVAL_MS = 20;
const WORK_MS = 200;
const HOST = 'records.example';
const configuration = {
	version: 7,
	limits: {
		maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
	},
	services: [{name: 'records-app', maxConns: 214}],
	routes: [{
		name: 'signoffs', host: HOST, prefix: '/signoffs/', kind: 'non_idempotent', timeoutMs: 2500, targetLatencyMs: 150, priority: 2, maxAttempts: 2, service: 'records-app',
	}],
};

/** Resolves right after an instance has read the registry, if it can be, at a time when others have not read it for a while. */
async function readBy(store, {name}, others) {
	const reads = () => store.calls.filter(({table}) => table === 'servers');
	for (let read = 0; read < READS_WAITED; read++) {
		const before = reads().length;
		while (!reads().slice(before).some(({caller}) => caller === name)) {
			await delay(2);
		}

		const nowMs = performance.now();
		if (others.every(other => nowMs - reads().findLast(({caller}) => caller === other.name).atMs > OTHERS_AGO_MS)) {
			break;
		}
	}

	await delay(10);
}

await runCase(fileURLToPath(new URL('record.txt', import.meta.url)), {hasTrouble}, async (record, onClose) => {
	const store = new Store();
	onClose(() => {
		store.close();
	});
	store.put('op', 'config', configuration);
	const runners = [];
	const addRunner = async () => {
		const runner = await new Runner({
			id: `i-${runners.length + 1}`, store, service: 'records-app', slots: 6, workMs: WORK_MS,
		}).start();
		runners.push(runner);
		onClose(() => {
			runner.close();
		});
		return runner;
	};

	for (let index = 0; index < 6; index++) {
		await addRunner();
	}

	const cluster = new Cluster({store, zones: ZONES, seeds: SEEDS});
	onClose(async () => cluster.close());
	await cluster.start(ZONES.length);
	const [reader, ...others] = cluster.instances;
	const zoneMates = others.filter(({fields}) => fields.zone === reader.fields.zone);
	await delay(SETTLED_MS);

	const outcomes = [];
	const flow = setInterval(() => {
		const {front} = zoneMates[outcomes.length % zoneMates.length];
		outcomes.push(send({
			front, host: HOST, path: `/signoffs/${outcomes.length}`, method: 'POST', body: 'sign-off',
		}));
	}, REQUEST_INTERVAL_MS);
	onClose(() => {
		clearInterval(flow);
	});
	await delay(2000);

	const leaving = [];
	for (let round = 0; round < ROUNDS; round++) {
		const runner = runners[round];
		await readBy(store, reader, others.filter(instance => !zoneMates.includes(instance)));
		runner.leave();
		const left = {runner, removedAtMs: performance.now(), exitedAtMs: undefined};
		leaving.push(left);
		record.note(`the entry of ${runner.id} is removed; it goes on for a while`);
		if (hasTrouble) {
			await delay(KILL_AFTER_MS);
			reader.signal('SIGKILL');
			record.note(`${reader.name} is killed`);
			await reader.ended;
			await delay(RESTART_AFTER_MS);
			reader.start();
			await reader.waitUntilReady();
			record.note(`${reader.name} is ready again`);
		}

		await addRunner();
		await delay(left.removedAtMs + GOES_ON_MS - performance.now());
		left.exitedAtMs = performance.now();
		runner.crash({isQuiet: true});
		record.note(`${runner.id} exits`);
		await delay(500);
	}

	clearInterval(flow);
	const answers = await Promise.all(outcomes);
	const broken = [];
	for (const {runner, removedAtMs, exitedAtMs} of leaving) {
		const late = runner.arrivals.filter(({kind, atMs}) => kind === 'arrive' && atMs > removedAtMs + DRAIN_MS && atMs < exitedAtMs);
		for (const {id, atMs} of late) {
			const answer = answers.find(candidate => candidate.id === id);
			broken.push(`${id} reached ${runner.id} ${Math.round(atMs - removedAtMs)} ms after its entry had been removed, sent on by ${cluster.instances.find(({front}) => front === answer?.front)?.name}, answered ${answer?.status}`);
		}
	}

	for (const {id, path, front, status, reason, sentAtMs} of answers) {
		record.note(`${id} ${path} sent to ${front}: ${status ?? reason}`, sentAtMs);
	}

	const lost = answers.filter(({status}) => status !== 200);
	record.note(`${answers.length} sign-offs, ${lost.length} of them not answered with success: ${lost.map(({id, status, reason}) => `${id} ${status ?? reason}`).join(', ')}`);
	for (const {atMs, kind, runner, id} of runners.flatMap(({arrivals}) => arrivals)) {
		record.note(`${runner}: ${kind} ${id}`, atMs);
	}

	for (const {atMs, caller, call} of store.calls.filter(({table}) => table === 'servers')) {
		record.note(`${caller}: ${call} of the registry`, atMs);
	}

	return broken;
});
