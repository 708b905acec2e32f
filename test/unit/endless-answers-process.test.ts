/**
The bundled daemon as a process before a runner that sends without end, and before large
sound answers, with many callers at once of which every second one reads nothing: the memory
of the whole process, and the answers that another service's callers get meanwhile.
*/
import assert from 'node:assert/strict';
import {type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {readFileSync} from 'node:fs';
import {request as httpRequest, Agent} from 'node:http';
import {after, before, test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {startFaultyCallers, type FaultyAnswers} from '../standins/faulty-callers.js';
import {FakeRunner, FakeStore} from '../standins/fake-store-and-runner.js';
import {
	endlessFormNames, startFaultyRunner, type FaultyForm, type FaultyRunner,
} from '../standins/faulty-runner.js';
import {createDaemonSettings, PlatformBundle, waitUntilReady} from '../standins/platform-process.js';

/** Memory of an instance. */
const RESIDENT_BYTES_MAX = 272 * 1024 * 1024;
const CALLERS = 60;
const FORM_MS = 2000;
/** Within which other services' callers get each answer. */
const SOUND_MS = 1000;
const SOUND_INTERVAL_MS = 20;
const SAMPLE_INTERVAL_MS = 10;
const TIMEOUT_MS = 10_000;
const KILOBYTE = 1024;

const bundle = new PlatformBundle();
const store = new FakeStore();
const soundRunner = new FakeRunner('i-2');
const agent = new Agent({keepAlive: true});
let faultyRunner: FaultyRunner;
let daemon: ChildProcess;
let callersPort = 0;
let requests = 0;

const route = {
	host: 'a.example', timeoutMs: TIMEOUT_MS, targetLatencyMs: 300, priority: 1,
};

before(async () => {
	await bundle.build();
	faultyRunner = await startFaultyRunner();
	await soundRunner.start();
	const storeAddress = await store.start();
	store.put('servers', 'i-1', {
		service: 'faulty', address: faultyRunner.address, zone: 'north', version: 'v1', slots: 500, state: 'ready', coldLeftMs: 0, seq: 0, born: 1, models: [],
	});
	store.put('servers', soundRunner.id, {...soundRunner.entry('sound', 'north'), slots: 100});
	store.put('op', 'config', {
		version: 3,
		routes: [
			{
				...route, name: 'sign', prefix: '/sign/', kind: 'non_idempotent', maxAttempts: 1, service: 'faulty',
			},
			{
				...route, name: 'tell', prefix: '/tell/', kind: 'streaming', maxAttempts: 1, gapAimMs: 150, service: 'faulty',
			},
			{
				...route, name: 'sound', prefix: '/sound/', kind: 'idempotent', maxAttempts: 2, service: 'sound', timeoutMs: SOUND_MS,
			},
		],
		services: [{name: 'faulty', maxConns: 500}, {name: 'sound', maxConns: 100}],
		limits: {
			maxHeaderBytes: 4096, maxBodyBytes: 10_000, headerTimeoutMs: 1000, idleTimeoutMs: 5000,
		},
	});
	const {listen, document} = await createDaemonSettings(storeAddress);
	callersPort = Number(listen.callers.split(':')[1]);
	daemon = bundle.start(document);
	daemon.stdout!.resume();
	daemon.stderr!.resume();
	await waitUntilReady(listen);
	while (await sendSound() === undefined) {
		await delay(SOUND_INTERVAL_MS);
	}
});

after(async () => {
	daemon.kill('SIGKILL');
	await once(daemon, 'close');
	agent.destroy();
	await faultyRunner.stop();
	soundRunner.stop();
	store.stop();
	bundle.remove();
});

function residentBytes(): number {
	const status = readFileSync(`/proc/${daemon.pid}/status`, 'utf8');
	return Number(/^VmRSS:\s*(?<kilobytes>\d+)/mv.exec(status)!.groups!.kilobytes) * KILOBYTE;
}

const nextId = () => {
	requests++;
	return `r${requests}`;
};

/** Returns how long a sound answer took, or undefined if there was none. */
async function sendSound(): Promise<number | undefined> {
	const sentAtMs = performance.now();
	return new Promise(resolve => {
		const request = httpRequest({
			agent, host: '127.0.0.1', port: callersPort, method: 'POST', path: '/sound/1', headers: {
				host: 'a.example', 'x-pollenarch-request-id': nextId(), 'x-pollenarch-request-deadline': String(SOUND_MS), 'content-length': 4,
			},
		}, response => {
			response.resume();
			response.once('close', () => {
				resolve(response.complete && response.statusCode === 200 ? performance.now() - sentAtMs : undefined);
			});
		});
		request.once('error', () => {
			resolve(undefined);
		});
		request.end('body');
	});
}

type Observation = {
	residentBytes: number;
	readonly soundMs: Array<number | undefined>;
	answers: FaultyAnswers;
};

/** Has callers send requests for some forms for a time, and asks the sound service meanwhile. */
async function observe(forms: readonly FaultyForm[]): Promise<Observation> {
	const observation: Observation = {
		residentBytes: 0, soundMs: [], answers: {
			ended: 0, whole: 0, cut: 0, wrong: 0,
		},
	};
	const sampler = setInterval(() => {
		observation.residentBytes = Math.max(observation.residentBytes, residentBytes());
	}, SAMPLE_INTERVAL_MS);
	const callers = await startFaultyCallers({port: callersPort, forms, callers: CALLERS});
	const endsAtMs = performance.now() + FORM_MS;
	while (performance.now() < endsAtMs) {
		observation.soundMs.push(await sendSound());
		await delay(SOUND_INTERVAL_MS);
	}

	observation.answers = await callers.stop();
	clearInterval(sampler);
	return observation;
}

function describe({residentBytes: bytes, soundMs, answers}: Observation): string {
	const answered = soundMs.filter(ms => ms !== undefined);
	return `${Math.round(bytes / 1024 / 1024)} MB resident, ${answered.length} of ${soundMs.length} sound answers, slowest ${Math.round(Math.max(...answered))} ms, ${answers.ended} ended, ${answers.whole} whole, ${answers.cut} cut, ${answers.wrong} wrong`;
}

const forms: ReadonlyArray<{readonly what: string; readonly answers: readonly FaultyForm[]}> = [
	...endlessFormNames.map(name => ({what: `an endless ${name}`, answers: [name]})),
	{what: 'large sound answers', answers: ['whole']},
	{what: 'all of these at once', answers: [...endlessFormNames, 'whole']},
];

for (const {what, answers} of forms) {
	// Guards against an instance that ends for lack of memory, or serves nobody else, while one runner sends without end.
	test(`a process gets ${what} for ${CALLERS} callers: its memory holds, and a sound service beside it is served`, async t => {
		const observation = await observe(answers);
		t.diagnostic(describe(observation));
		assert.ok(observation.residentBytes < RESIDENT_BYTES_MAX, describe(observation));
		assert.equal(observation.answers.wrong, 0);
		assert.ok(observation.answers.whole > 0 || !answers.includes('whole'), describe(observation));
		assert.ok(observation.soundMs.every(ms => ms !== undefined && ms <= SOUND_MS), describe(observation));
	});
}
