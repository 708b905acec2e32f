/* eslint-disable no-await-in-loop -- the steps of a play follow each other, and some go on beside them */
/**
Requesters send bodies as long as the configuration allows, at a pace that the machines'
links carry, to runners that read slowly. An instance whose process takes more memory than
its machine has is killed and started again, as the platform does it. The rule is broken if
that happens three times on each of two machines.
*/
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {readFileSync} from 'node:fs';
import {request as httpRequest} from 'node:http';
import {createServer} from 'node:net';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {isTrouble, runCase} from '../tools/case.mjs';
import {Deployment} from '../tools/deployment.mjs';
import {answerBytes} from '../tools/runner.mjs';
import {Store} from '../tools/store.mjs';

const MEMORY_MB = 272;
const BODY_BYTES = 4_000_000;
/** For each machine: 40 MB a second, of a link that carries 61. */
const SEND_INTERVAL_MS = 100;
const PLAY_MS = 75_000;
const WATCH_MS = 100;
const RESTART_MS = 1000;
/** Ends of its processes in a day, on at least two machines, that make the day a fault. */
const ENDS_MAX = 2;
const NAMES = ['edge-haskovo-1', 'edge-plovdiv-1'];
const TIMEOUT_MS = 12_000;
/** What a slowly reading runner takes at a time, and how often. */
const SLOW_CHUNK_BYTES = 65_536;
const SLOW_INTERVAL_MS = 150;

const configuration = {
	version: 3,
	routes: [{
		name: 'lookup', host: 'records.example', prefix: '/lookup/', kind: 'idempotent', timeoutMs: TIMEOUT_MS, targetLatencyMs: 4000, priority: 1, service: 'records-app', maxAttempts: 1,
	}],
	services: [{name: 'records-app', maxConns: 214}],
	limits: {
		maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
	},
};

/** A runner that reads bodies slowly, or at once, and then answers. */
async function startRunner({
	id, store, onEnd, record,
}) {
	const sockets = new Set();
	const server = createServer(socket => {
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.on('close', () => {
			sockets.delete(socket);
		});
		let head = Buffer.alloc(0);
		let length;
		let taken = 0;
		let requestId = '';
		const take = bytes => {
			taken += bytes;
			if (taken >= length) {
				record.add('runner-ran', {runner: id, id: requestId});
				socket.end(answerBytes(200, {'X-Pollenarch-Request-Id': requestId, 'X-Pollenarch-Server-Signature': `signed.${id}`, Connection: 'close'}, 'read'));
			}
		};

		socket.on('data', chunk => {
			if (length === undefined) {
				head = Buffer.concat([head, chunk]);
				const end = head.indexOf('\r\n\r\n');
				if (end === -1) {
					return;
				}

				const text = head.subarray(0, end).toString('latin1');
				length = Number(/content-length: (?<length>\d+)/iv.exec(text)?.groups?.length ?? 0);
				requestId = /x-pollenarch-request-id: (?<id>\S+)/iv.exec(text)?.groups?.id ?? '';
				take(head.length - end - 4);
			} else {
				take(chunk.length);
			}

			if (isTrouble) {
				socket.pause();
				setTimeout(() => socket.resume(), SLOW_INTERVAL_MS * chunk.length / SLOW_CHUNK_BYTES);
			}
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	onEnd(() => {
		server.close();
		for (const socket of sockets) {
			socket.destroy();
		}
	});
	const register = () => {
		store.put('servers', id, {
			service: 'records-app', address: `127.0.0.1:${server.address().port}`, zone: 'plovdiv', version: 'v1', slots: 64, state: 'ready', coldLeftMs: 0, seq: 0, born: 1,
		});
	};

	register();
	const timer = setInterval(register, 1200);
	onEnd(() => {
		clearInterval(timer);
	});
}

/** Memory of a process, 0 if it is gone. */
function residentMb(pid) {
	try {
		return Number(/VmRSS:\s+(?<kb>\d+)/v.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.groups.kb ?? 0) / 1024;
	} catch {
		return 0;
	}
}

const body = Buffer.alloc(BODY_BYTES, 0x61);

async function sendBody(port, id, record) {
	return new Promise(resolve => {
		const request = httpRequest({
			host: '127.0.0.1', port, method: 'POST', path: '/lookup/1', agent: false, headers: {
				Host: 'records.example', 'X-Pollenarch-Request-Id': id, 'X-Pollenarch-Request-Deadline': String(TIMEOUT_MS), 'Content-Length': String(BODY_BYTES),
			},
		}, response => {
			response.resume();
			response.on('end', () => {
				record.add('request-answered', {id, status: response.statusCode});
				resolve(response.statusCode);
			});
			response.on('error', () => {
				resolve('broken');
			});
		});
		request.on('error', error => {
			record.add('request-closed', {id, reason: error.code});
			resolve('closed');
		});
		record.add('request-sent', {id});
		request.end(body);
	});
}

await runCase(fileURLToPath(new URL('.', import.meta.url)), async ({record, onEnd}) => {
	const store = await new Store().start();
	onEnd(() => {
		store.stop();
	});
	const deployment = new Deployment({record});
	onEnd(async () => deployment.end());
	for (const id of ['i-001', 'i-002', 'i-003']) {
		await startRunner({
			id, store, onEnd, record,
		});
	}

	store.put('op', 'config', configuration);
	await deployment.plan(NAMES.map(name => ({name, zone: name.split('-')[1], storeAddress: `127.0.0.1:${store.port}`})));
	for (const name of NAMES) {
		deployment.start(name);
	}

	await deployment.waitUntilReady();
	await delay(3000);
	const endMs = record.nowMs() + PLAY_MS;
	const ends = new Map(NAMES.map(name => [name, 0]));
	const most = new Map(NAMES.map(name => [name, 0]));
	const isOver = () => record.nowMs() > endMs || [...ends.values()].every(count => count > ENDS_MAX);
	const counts = {};
	const watch = async name => {
		while (!isOver()) {
			const mb = residentMb(deployment.nodes.get(name).child.pid);
			most.set(name, Math.max(most.get(name), mb));
			record.add('memory', {name, mb: mb.toFixed(0)});
			if (mb > MEMORY_MB) {
				ends.set(name, ends.get(name) + 1);
				record.add('memory-exceeded', {name, mb: mb.toFixed(0), times: ends.get(name)});
				await deployment.kill(name);
				await delay(RESTART_MS);
				deployment.start(name);
				await deployment.waitUntilReady([name]);
			}

			await delay(WATCH_MS);
		}
	};

	const sent = [];
	const press = async name => {
		const {front} = deployment.nodes.get(name).ports;
		for (let number = 0; !isOver(); number++) {
			if (await deployment.isReady(name)) {
				sent.push(sendBody(front, `long-${process.pid}-${name}-${number}`, record));
			}

			await delay(SEND_INTERVAL_MS);
		}
	};

	await Promise.all(NAMES.flatMap(name => [watch(name), press(name)]));
	for (const status of await Promise.all(sent)) {
		counts[status] = (counts[status] ?? 0) + 1;
	}

	const ended = Object.fromEntries(ends);
	record.add('summary', {ended, mostMb: Object.fromEntries([...most].map(([name, mb]) => [name, Math.round(mb)])), counts});
	process.stdout.write(`ends for memory: ${JSON.stringify(ended)}; answers: ${JSON.stringify(counts)}\n`);
	if (sent.length < 100) {
		throw new Error(`only ${sent.length} requests were sent`);
	}

	return [...ends.values()].every(count => count > ENDS_MAX) ? [`processes ended for memory over ${MEMORY_MB} MB: ${JSON.stringify(ended)}`] : [];
});
