/**
The bundled daemon as a deployed process: validation of the settings at the start, a log
whose reader stalls or disappears, metrics, and the exit after SIGTERM.
*/
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {after, before, test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {request as httpRequest} from 'undici';
import * as yaml from 'yaml';
import {FakeRunner, FakeStore} from '../standins/fake-store-and-runner.js';
import {freePorts} from '../standins/free-ports.js';

const root = fileURLToPath(new URL('../..', import.meta.url));
const folder = mkdtempSync(path.join(tmpdir(), 'pollenarch-process-'));
/** As in deploy/system.toml; the compiled form is only accepted under the flags that it was compiled with. */
const nodeOptions = ['--max-old-space-size=128', '--single-threaded', '--always-sparkplug'];
const store = new FakeStore();
const runner = new FakeRunner('i-1');
let storeAddress = '';

before(async () => {
	const bundled = spawn(process.execPath, [...nodeOptions, '--import', 'tsx', 'deploy/bundle.ts', folder], {cwd: root, stdio: 'inherit'});
	assert.deepEqual(await once(bundled, 'close'), [0, null]);
	storeAddress = await store.start();
	await runner.start();
	store.put('servers', runner.id, runner.entry('records', 'north'));
	store.put('op', 'config', {
		version: 3,
		routes: [{
			name: 'read', host: 'a.example', prefix: '/read/', kind: 'idempotent', timeoutMs: 1500, targetLatencyMs: 200, priority: 1, service: 'records', maxAttempts: 2,
		}],
		services: [{name: 'records', maxConns: 100}],
		limits: {
			maxHeaderBytes: 4096, maxBodyBytes: 10_000, headerTimeoutMs: 1000, idleTimeoutMs: 5000,
		},
	});
});

after(() => {
	store.stop();
	runner.stop();
	rmSync(folder, {recursive: true});
});

type Listen = {callers: string; readiness: string; peers: string; beacons: string; metrics: string};

async function createSettings(): Promise<{listen: Listen; document: Record<string, unknown>}> {
	const ports = await freePorts(5);
	const [callers, readiness, peers, beacons, metrics] = ports.map(port => `127.0.0.1:${port}`) as [string, string, string, string, string];
	const listen = {
		callers, readiness, peers, beacons, metrics,
	};
	return {
		listen,
		document: {
			instance: {id: 'one', zone: 'north'},
			listen,
			store: {address: storeAddress},
			bounds: {
				graceMs: 3000, leaseMs: 3000, repeatShare: 0.2, repeatWindowMs: 10_000, repeatSlack: 1000,
			},
		},
	};
}

let files = 0;

function startDaemon(document: unknown): ChildProcess {
	files++;
	const file = path.join(folder, `settings-${files}.yaml`);
	writeFileSync(file, yaml.stringify(document));
	return spawn(process.execPath, [...nodeOptions, path.join(folder, 'start.cjs')], {cwd: root, env: {...process.env, POLLENARCH_SETTINGS: file}});
}

async function get(address: string, headers: Record<string, string> = {}): Promise<{status: number; text: string}> {
	const response = await httpRequest(`http://${address}`, {headers});
	return {status: response.statusCode, text: await response.body.text()};
}

async function isReady({readiness}: Listen): Promise<boolean> {
	try {
		const {status} = await get(`${readiness}/v1/ready`);
		return status === 200;
	} catch {
		// The listener is not open yet.
		return false;
	}
}

async function waitUntilReady(listen: Listen): Promise<void> {
	for (let attempt = 0; attempt < 400; attempt++) {
		if (await isReady(listen)) {
			return;
		}

		await delay(25);
	}

	throw new Error('Timed out waiting for the daemon to become ready');
}

let requests = 0;

async function sendRead({callers}: Listen): Promise<number> {
	requests++;
	const {status} = await get(`${callers}/read/1`, {host: 'a.example', 'x-pollenarch-request-id': `id${requests}`});
	return status;
}

test('invalid settings end the start with one line per error', async () => {
	const {document} = await createSettings();
	const daemon = startDaemon({...document, store: {address: 'nowhere'}, bounds: {...document.bounds as object, leaseMs: 'long'}});
	const lines: Buffer[] = [];
	daemon.stderr!.on('data', (chunk: Buffer) => {
		lines.push(chunk);
	});
	const [code] = await once(daemon, 'close') as [number];
	assert.equal(code, 2);
	const written = Buffer.concat(lines).toString('utf8').trim().split('\n');
	assert.deepEqual(written.map(line => line.split(':', 2).join(':')), ['settings: store.address', 'settings: bounds.leaseMs']);
	assert.match(written[0]!, /must be HOST:PORT/v);
});

test('a log whose reader stalls or disappears blocks nothing, metrics are served, and SIGTERM ends the process', async () => {
	const {listen, document} = await createSettings();
	const daemon = startDaemon(document);
	const ended = once(daemon, 'close') as Promise<[number]>;
	// Standard output is never read: the pipe fills up, then the buffer of the log.
	daemon.stdout!.pause();
	daemon.stderr!.resume();
	try {
		await waitUntilReady(listen);
		for (let round = 0; round < 60; round++) {
			const statuses = await Promise.all(Array.from({length: 25}, async () => sendRead(listen)));
			assert.ok(statuses.every(status => status === 200), statuses.join(', '));
		}

		daemon.stdout!.destroy();
		for (let round = 0; round < 20; round++) {
			const statuses = await Promise.all(Array.from({length: 25}, async () => sendRead(listen)));
			assert.ok(statuses.every(status => status === 200), statuses.join(', '));
			await delay(50);
		}

		const {text: metrics} = await get(`${listen.metrics}/metrics`);
		assert.match(metrics, /pollenarch_requests_total\{outcome="answered",route="read"\} 2000/v);
		const droppedLines = Number(/^pollenarch_lines_left_out (?<count>\d+)/mv.exec(metrics)?.groups?.count);
		assert.ok(droppedLines > 0, 'some log lines are dropped');
	} finally {
		daemon.kill('SIGTERM');
	}

	const [code] = await ended;
	assert.equal(code, 0);
});
