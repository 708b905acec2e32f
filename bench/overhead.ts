/**
What the daemon adds to a request: throughput and latency against a bare fastify
and undici pass-through before the same engine, in turns in one run; and the
processor time of a streamed token.
*/
import {once} from 'node:events';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import process from 'node:process';
import {fastify} from 'fastify';
import {build, type Histogram} from 'hdr-histogram-js';
import {Pool} from 'undici';
import {Daemon} from '../src/daemon/daemon.js';
import {parseSettings} from '../src/daemon/settings.js';
import {FakePlatform} from '../test/standins/fake-platform.js';
import {median, type Figure} from './figure.js';

const ROUNDS = 7;
const REQUESTS = 1500;
const CONCURRENCY = 32;
const STREAM_EVENTS = 100;
const PACE_MS = 5;
const PACED_ROUNDS = 3;
const PACED_REQUESTS = 300;
const THROUGHPUT_GOAL = 0.6;
const READY_POLL_MS = 50;

const event = `data: ${JSON.stringify({id: 'x', object: 'chat.completion.chunk', choices: [{index: 0, delta: {content: 'word '}, finish_reason: null}]})}\n\n`;
const whole = JSON.stringify({id: 'x', choices: [{index: 0, message: {role: 'assistant', content: 'a whole answer'}, finish_reason: 'stop'}]});

type Engine = {readonly address: string; close(): void};

/** An engine that answers at once, so that what stands before it is measured. */
async function startEngine(): Promise<Engine> {
	const server = createServer((request: IncomingMessage, response: ServerResponse) => {
		if (request.url === '/load') {
			response.setHeader('content-type', 'application/json');
			response.end(JSON.stringify({
				boot: 'b',
				running: 0,
				waiting: 0,
				models: ['m@1'],
				adapters: [],
			}));
			return;
		}

		let body = '';
		request.setEncoding('utf8');
		request.on('data', (chunk: string) => {
			body += chunk;
		});
		request.on('end', () => {
			if (body.includes('"paced":true')) {
				pace(response, STREAM_EVENTS);
			} else {
				answer(response, body.includes('"stream":true'));
			}
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return {
		address: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
		close() {
			server.closeAllConnections();
			server.close();
		},
	};
}

function answer(response: ServerResponse, stream: boolean): void {
	if (!stream) {
		response.setHeader('content-type', 'application/json');
		response.end(whole);
		return;
	}

	response.setHeader('content-type', 'text/event-stream');
	for (let index = 0; index < STREAM_EVENTS; index++) {
		response.write(event);
	}

	response.end('data: [DONE]\n\n');
}

/** Writes one event at a time, so that each arrives alone as an engine's tokens do. */
function pace(response: ServerResponse, left: number): void {
	if (left === STREAM_EVENTS) {
		response.setHeader('content-type', 'text/event-stream');
	}

	if (left === 0) {
		response.end('data: [DONE]\n\n');
		return;
	}

	response.write(event);
	setTimeout(pace, PACE_MS, response, left - 1);
}

async function startPassThrough(engine: string): Promise<{address: string; close(): Promise<void>}> {
	const server = fastify({forceCloseConnections: true});
	const pool = new Pool(engine, {connections: 256});
	server.removeAllContentTypeParsers();
	server.addContentTypeParser('*', {parseAs: 'buffer'}, (_request, body, done) => {
		done(null, body);
	});
	server.post('/v1/chat/completions', async (request, reply) => {
		const upstream = await pool.request({
			method: 'POST',
			path: request.url,
			headers: {'content-type': 'application/json'},
			body: request.body as Uint8Array,
		});
		return reply.code(upstream.statusCode).type(String(upstream.headers['content-type'])).send(upstream.body);
	});
	const address = await server.listen({host: '127.0.0.1', port: 0});
	return {
		address,
		async close() {
			await server.close();
			await pool.destroy();
		},
	};
}

async function startDaemon(engine: string, platform: FakePlatform): Promise<Daemon> {
	const settings = parseSettings({
		instance: {id: 'i1', zone: 'z'},
		listen: {callers: {port: 0}, operators: {port: 0}, peers: {port: 0}},
		platform: platform.settings,
		log: {level: 'silent'},
	}).unsafeCoerce();
	const daemon = await Daemon.start({settings});
	daemon.dispatch({
		kind: 'patch-submitted',
		operationId: 'bench',
		base: 0,
		operator: 'bench',
		wallMs: 0,
		patch: {
			services: {llm: {kind: 'engine'}},
			targets: {
				t: {
					service: 'llm',
					address: engine,
					zone: 'z',
					gateway: 'engine-fenced',
					memoryMb: 100,
					slots: 1000,
				},
			},
			models: {m: {service: 'llm', memoryMb: 10}},
			callers: {anyone: {}},
		},
	});
	while ((daemon.state.residentTargets.get('m')?.length ?? 0) === 0) {
		await new Promise(resolve => {
			setTimeout(resolve, READY_POLL_MS);
		});
	}

	return daemon;
}

type Run = {
	readonly perSecond: number;
	readonly cpuMs: number;
	readonly latency: Histogram;
};

async function load(address: string, stream: boolean, paced = false): Promise<Run> {
	const pool = new Pool(address, {connections: CONCURRENCY});
	const body = JSON.stringify({
		model: 'm', stream, paced, messages: [{role: 'user', content: 'a question'}],
	});
	const latency = build();
	const requests = paced ? PACED_REQUESTS : REQUESTS;
	let sent = 0;
	const worker = async () => {
		while (sent < requests) {
			sent++;
			const startMs = performance.now();
			const response = await pool.request({
				method: 'POST',
				path: '/v1/chat/completions',
				headers: {'content-type': 'application/json'},
				body,
			});
			await response.body.text();
			if (response.statusCode !== 200) {
				throw new Error(`status ${response.statusCode}`);
			}

			latency.recordValue(Math.round((performance.now() - startMs) * 1000));
		}
	};

	const cpu = process.cpuUsage();
	const startMs = performance.now();
	await Promise.all(Array.from({length: CONCURRENCY}, worker));
	const elapsedMs = performance.now() - startMs;
	const used = process.cpuUsage(cpu);
	await pool.destroy();
	return {perSecond: (requests * 1000) / elapsedMs, cpuMs: (used.user + used.system) / 1000, latency};
}

export async function benchOverhead(): Promise<Figure[]> {
	const platform = await FakePlatform.start();
	const engine = await startEngine();
	const passThrough = await startPassThrough(engine.address);
	const daemon = await startDaemon(engine.address, platform);
	try {
		return [
			...await compare(daemon.addresses.callers, passThrough.address, false),
			...await compare(daemon.addresses.callers, passThrough.address, true),
			...await tokenTime(daemon.addresses.callers, passThrough.address),
		];
	} finally {
		await daemon.stop();
		await passThrough.close();
		engine.close();
		await platform.close();
	}
}

async function compare(ours: string, bare: string, stream: boolean): Promise<Figure[]> {
	const kind = stream ? `streams of ${STREAM_EVENTS} events` : 'whole answers';
	await load(ours, stream);
	await load(bare, stream);
	const ratios: number[] = [];
	const p50: number[] = [];
	const p99: number[] = [];
	for (let round = 0; round < ROUNDS; round++) {
		const daemonRun = await load(ours, stream);
		const bareRun = await load(bare, stream);
		ratios.push(daemonRun.perSecond / bareRun.perSecond);
		p50.push(addedMs(daemonRun, bareRun, 50));
		p99.push(addedMs(daemonRun, bareRun, 99));
	}

	const figures: Figure[] = [
		{
			bench: 'overhead',
			figure: `throughput over a bare pass-through, ${kind}`,
			value: median(ratios),
			unit: 'ratio',
			goal: `at least ${THROUGHPUT_GOAL}`,
			met: median(ratios) >= THROUGHPUT_GOAL,
		},
		{
			bench: 'overhead',
			figure: `added latency p50, ${kind}, ${CONCURRENCY} at once`,
			value: median(p50),
			unit: 'ms',
		},
		{
			bench: 'overhead',
			figure: `added latency p99, ${kind}, ${CONCURRENCY} at once`,
			value: median(p99),
			unit: 'ms',
		},
	];
	return figures;
}

/** Processor time of a token that arrives alone: of the whole process, and beyond the pass-through. */
async function tokenTime(ours: string, bare: string): Promise<Figure[]> {
	const whole: number[] = [];
	const added: number[] = [];
	for (let round = 0; round < PACED_ROUNDS; round++) {
		const tokens = PACED_REQUESTS * STREAM_EVENTS;
		const daemonRun = await load(ours, true, true);
		const bareRun = await load(bare, true, true);
		whole.push((daemonRun.cpuMs * 1000) / tokens);
		added.push(((daemonRun.cpuMs - bareRun.cpuMs) * 1000) / tokens);
	}

	return [
		{
			bench: 'overhead',
			figure: 'processor time per token, with client and engine in the same process',
			value: median(whole),
			unit: 'us',
		},
		{
			bench: 'overhead',
			figure: 'processor time per token beyond the pass-through',
			value: median(added),
			unit: 'us',
		},
		{
			bench: 'overhead',
			figure: 'bytes per token on each side',
			value: event.length,
			unit: 'bytes',
		},
	];
}

function addedMs(ours: Run, bare: Run, percentile: number): number {
	return (ours.latency.getValueAtPercentile(percentile) - bare.latency.getValueAtPercentile(percentile)) / 1000;
}
