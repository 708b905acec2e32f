/**
A short seeded soak of one daemon: callers keep using open connections while the configuration
changes several times a second, targets fail in many ways, and the daemon stops in the end.
`SOAK_SECONDS` and `SOAK_SEED` make a long run by hand.
*/
import assert from 'node:assert/strict';
import {Agent, request as httpRequest} from 'node:http';
import {type Socket} from 'node:net';
import process from 'node:process';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {
	chunk, configuration, responseHead, ScriptedDeployment,
} from '../standins/scripted-deployment.js';

const soakMs = Number(process.env.SOAK_SECONDS ?? 12) * 1000;
const seed = Number(process.env.SOAK_SEED ?? 1);
const CALLERS = 30;
/** The soak ends with a drain of the daemon, which takes 2.5 s and longer. */
const DRAIN_MS = 3500;
/** Time that callers state; the routes' timeouts are shorter or equal. */
const DEADLINE_MS = 3000;
/** A response that takes longer than this never comes. */
const SILENCE_MS = 8000;
const EVENTS = 6;

const random = xoroshiro128plus(seed);

function draw(): number {
	return uniformFloat64(random);
}

type Failure = (socket: Socket, id: string) => void;

/** What targets do instead of a whole response, each to three in a hundred requests. */
const failures: readonly Failure[] = [
	socket => {
		socket.resetAndDestroy();
	},
	socket => {
		socket.end();
	},
	(socket, id) => {
		socket.write(responseHead(id, 'X-Pollenarch-Not-Executed: 1', 'Content-Length: 0').replace('200 OK', '503 Busy'));
	},
	(socket, id) => {
		socket.write(`${responseHead(id, 'Content-Length: 3').replace('200 OK', '500 Failed')}bad`);
	},
	// Hangs.
	() => undefined,
	(socket, id) => {
		socket.write(`${responseHead(id, 'Connection: close')}id: 1\nda`, () => {
			setTimeout(() => {
				socket.resetAndDestroy();
			}, 20);
		});
	},
	(socket, id) => {
		socket.end(`${responseHead(id, 'Transfer-Encoding: chunked')}${chunk('id: 1\nda')}0\r\n\r\n`);
	},
];
const FAILURE_SHARE = 0.03;
/** Share of the requests at which a target that is sound falls silent, and for how long. */
const PAUSE_SHARE = 0.15;
const PAUSE_MS = 1200;

async function respond(socket: Socket, id: string): Promise<void> {
	const failure = failures[Math.floor(draw() / FAILURE_SHARE)];
	if (failure) {
		failure(socket, id);
		return;
	}

	const pauseMs = draw() < PAUSE_SHARE ? PAUSE_MS : 20;
	if (!id.startsWith('ask')) {
		await delay(pauseMs);
		socket.write(`${responseHead(id, 'Content-Length: 5')}whole`);
		return;
	}

	socket.write(responseHead(id, 'Content-Type: text/event-stream', 'Transfer-Encoding: chunked'));
	for (let event = 1; event <= EVENTS; event++) {
		socket.write(chunk(`id: ${event}\ndata: x\n\n`));
		await delay(event === 3 ? pauseMs : 30);
	}

	socket.write('0\r\n\r\n');
}

function drawConfiguration(version: number): object {
	const routes = [...configuration.routes, {
		...configuration.routes[0]!, name: 'read', kind: 'idempotent', prefix: '/read/', maxAttempts: 2,
	}].map(route => ({
		...route, targetLatencyMs: 300, gapAimMs: 150, timeoutMs: draw() < 0.3 ? 1500 : DEADLINE_MS,
	}));
	const variants = [
		() => routes.slice(0, 1),
		() => routes.map(route => ({...route, service: undefined, split: [{service: 'records', weight: 50}, {service: 'none', weight: 50}]})),
		() => routes.map(route => ({...route, service: 'none'})),
		() => [...routes, ...Array.from({length: 300}, (_, index) => ({...routes[0]!, name: `more-${index}`, prefix: `/more-${index}/`}))],
	];
	return {
		version,
		routes: (variants[Math.floor(draw() * 10)] ?? (() => routes))(),
		services: draw() < 0.5 ? configuration.services : [...configuration.services, {name: 'none', maxConns: 10}],
		limits: {...configuration.limits, idleTimeoutMs: draw() < 0.5 ? 1000 : 5000, headerTimeoutMs: draw() < 0.5 ? 500 : 1000},
	};
}

/** What a caller saw: a status, `cut` after events, `false end` of a stream, `nothing`, or the code of an error before any byte. */
async function call(agent: Agent, port: number, id: string): Promise<string> {
	return new Promise(resolve => {
		const request = httpRequest({
			port, agent, host: '127.0.0.1', method: 'POST', path: `/${id.split('-', 1)[0]}/1`,
			headers: {host: 'a.example', 'X-Pollenarch-Request-Id': id, 'X-Pollenarch-Request-Deadline': String(DEADLINE_MS)},
		}, response => {
			let text = '';
			response.setEncoding('utf8');
			response.on('data', (part: string) => {
				text += part;
			});
			response.on('close', () => {
				const isWhole = !id.startsWith('ask') || response.statusCode !== 200 || text.split('id: ').length === EVENTS + 1;
				resolve(response.complete ? (isWhole ? String(response.statusCode) : 'false end') : 'cut');
			});
		});
		request.on('error', error => {
			resolve('code' in error ? String(error.code) : error.message);
		});
		request.setTimeout(SILENCE_MS, () => {
			resolve('nothing');
			request.destroy();
		});
		// Some bodies arrive after their heads.
		setTimeout(() => {
			request.end('body');
		}, draw() < 0.1 ? 300 : 0);
		request.flushHeaders();
	});
}

// Guards against requests that get neither an answer nor a refusal while the configuration changes, targets break off first events, and the daemon stops.
test(`every request that was passed on gets a response, or its connection ends (${soakMs / 1000} s, seed ${seed})`, async t => {
	const passedOn = new Set<string>();
	const deployment = await ScriptedDeployment.start({
		script(socket, {id}) {
			passedOn.add(id);
			void respond(socket, id);
		},
	});
	const {daemon, callersPort} = deployment;
	const agent = new Agent({keepAlive: true});
	t.after(async () => {
		agent.destroy();
		await deployment.stop();
	});
	const failedEffects: unknown[] = [];
	const write = daemon.log.write.bind(daemon.log);
	daemon.log.write = (event, fields) => {
		if (event === 'effect-failed') {
			failedEffects.push(fields);
		}

		write(event, fields);
	};

	const endsAtMs = Date.now() + soakMs;
	const change = async () => {
		for (let version = 10; Date.now() < endsAtMs; version += 1 + Math.floor(draw() * 3)) {
			deployment.store.put('op', 'config', drawConfiguration(version));
			await delay(draw() < 0.2 ? 20 : 250);
		}
	};

	const seen: Record<string, number> = {};
	const lost: string[] = [];
	const keepCalling = async (caller: number) => {
		for (let round = 0; Date.now() < endsAtMs; round++) {
			const id = `${['ask', 'read', 'sign'][Math.floor(draw() * 3)]}-${caller}-${round}`;
			const outcome = await call(agent, callersPort, id);
			seen[outcome] = (seen[outcome] ?? 0) + 1;
			if (outcome === 'nothing' || outcome === 'false end' || (outcome.startsWith('E') && passedOn.has(id))) {
				lost.push(`${id}: ${outcome}`);
			}

			await delay(draw() < 0.1 ? 3000 * draw() : 20 * draw());
		}
	};

	setTimeout(() => {
		daemon.drain();
	}, soakMs - DRAIN_MS);
	await Promise.all([change(), ...Array.from({length: CALLERS}, async (_, caller) => keepCalling(caller))]);
	t.diagnostic(JSON.stringify(seen));
	assert.deepEqual(lost, []);
	assert.deepEqual(failedEffects, []);
	assert.equal(daemon.state.open.size, 0);
	await daemon.stopped;
});
