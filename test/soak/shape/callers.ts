/**
The callers of the deployment's shape, as a program of their own: its parent tells which
instances are in rotation and gets all attempts at the end. Requests come at a rate, from
clients that keep connections and use them again; a new one goes to an instance of the
client's zone by a hash, as the platform's balancer chooses.
*/
import {Buffer} from 'node:buffer';
import {Agent, request as httpRequest} from 'node:http';
import {type Socket} from 'node:net';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import fnv1a from '@sindresorhus/fnv1a';
import {type RandomSource} from '../../../src/experiment/random-source.js';
import {type Lateness, watchLateness} from '../lateness.js';
import {type Attempt, noteHead} from '../record.js';
import {createRandom} from '../seeded-random.js';
import {
	FIRST_LINK_PORT, type Habit, hostOf, kindNames, kindShapes, linkKinds, type ShapeKind, zoneShapes,
} from './data.js';

export type CallersOptions = {
	readonly seed: number;
	readonly scale: number;
	readonly endAtMs: number;
	/** Time of day at the start of the record. */
	readonly epochMs: number;
	/** Longest time that a body takes which is sent in several writes. */
	readonly bodyMaxMs: number;
	/** Whether they reach instances over links. */
	readonly hasLinks: boolean;
	readonly habits: readonly Habit[];
	readonly instances: ReadonlyArray<{readonly name: string; readonly zone: string; readonly host: string; readonly port: number}>;
};

export type CallersMessage = {readonly options: CallersOptions} | {readonly inRotation: readonly string[]};
export type CallersResult = {readonly attempts: readonly Attempt[]; readonly lateness: readonly Lateness[]};

const STAY_SHARE = 0.83;
const CHUNKED_SHARE = 0.5;
/** Share of the bodies that are sent in several writes. */
const SLOW_BODY_SHARE = 0.25;
const BODY_PARTS = 4;
const LEAVING_SHARE = 0.02;
const ABRUPT_SHARE = 0.3;
const CONNECT_TIMEOUT_MS = 1000;
const PATIENCE_MIN_MS = 2000;
const PATIENCE_OBJECTIVES = 4;
const REFUSALS: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const SWING = 0.15;
const SWING_PERIOD_MS = 11_000;
/** Longest time between the end of a request and what a habit has its caller do then. */
const HABIT_SHARE = 0.6;
const HABIT_MAX_MS = 300;
const SLOW_READ_MS = 150;
/** Each third client sends over the connections of its zone's proxy, which closes them when they are idle for this long. */
const PROXY_EACH = 3;
const PROXY_IDLE_MS = 700;
const ENDING_OF_CHUNKS = '0\r\n\r\n';

type Instance = CallersOptions['instances'][number];
type Client = {readonly name: string; readonly zone: string; readonly number: number; readonly agents: Map<string, Agent>; readonly isProxied: boolean; readonly link: number};
type Asked = {
	readonly name: string;
	readonly kind: ShapeKind;
	readonly client: Client;
	readonly endsAtMs: number;
	readonly body: Buffer;
	readonly headers: Readonly<Record<string, string>>;
	readonly events: number;
	last: number;
};

let options: CallersOptions;
let inRotation: ReadonlySet<string> = new Set();
let random: RandomSource;
let habitRandom: RandomSource;
let sequence = 0;
const attempts: Attempt[] = [];
const lateness: Lateness[] = [];

function nowMs(): number {
	return performance.timeOrigin + performance.now() - options.epochMs;
}

function hash(text: string): number {
	return Number(fnv1a(text, {size: 32}));
}

/** All of a zone are used if under half of them are in rotation; without one of them, the other zones'. */
function choose(client: Client, number: number): Instance {
	const {instances} = options;
	const own = instances.filter(({zone}) => zone === client.zone);
	const ready = own.filter(({name}) => inRotation.has(name));
	const others = instances.filter(({name}) => inRotation.has(name));
	const candidates = ready.length === 0 ? (others.length > 0 ? others : own) : (ready.length * 2 < own.length ? own : ready);
	return candidates[hash(`${client.name}.${number}`) % candidates.length]!;
}

/** A connection that the client keeps and that is idle, else none. */
function keptInstance({agents}: Client): Instance | undefined {
	const name = [...agents].find(([, agent]) => Object.values(agent.freeSockets).some(list => list && list.length > 0))?.[0];
	return name === undefined ? undefined : options.instances.find(instance => instance.name === name);
}

function agentOf({agents, isProxied}: Client, {name}: Instance): Agent {
	const agent = agents.get(name) ?? new Agent({keepAlive: true, ...(isProxied && {timeout: PROXY_IDLE_MS})});
	agents.set(name, agent);
	return agent;
}

function draw(kind: ShapeKind, client: Client): Asked {
	const {deadlineMs, bodyBytes: [mean, max], stream, failedShare} = kindShapes[kind];
	sequence++;
	const name = `${client.name}-${sequence}`;
	const size = max === 0 ? 0 : random.size({mean, spread: 0.8, max});
	const subject = Math.floor(random.uniform() * (stream?.subjects ?? 1));
	const events = stream ? random.size({mean: stream.events[0], spread: stream.events[1], max: stream.events[2]}) : 0;
	const model = stream ? stream.models[random.pick(stream.modelWeights)]! : '';
	const hasAdapter = stream !== undefined && (model === 'm0' || model === 'm2') && random.uniform() < stream.adapterShare;
	const adapter = hasAdapter ? `/a${1 + Math.floor((random.uniform() ** 2) * 6)}` : '';
	const prompt = stream ? random.size({mean: stream.promptTokens[0], spread: stream.promptTokens[1], max: stream.promptTokens[2]}) : 0;
	return {
		name, kind, client, endsAtMs: nowMs() + deadlineMs, body: Buffer.alloc(size, 'b'), events, last: 0, headers: {
			'x-soak-name': name,
			...(failedShare > 0 && {'x-soak-failed': String(failedShare)}),
			...(stream && {
				'x-soak-events': String(events), 'x-pollenarch-model': `${model}${adapter}`, 'x-pollenarch-token-usage': `${prompt + 172},${events * 6}`,
				'x-pollenarch-prompt-prefix': `${hash(`${kind} ${subject % 3}`).toString(16)}:103,${hash(`${kind}/${subject}`).toString(16)}:69,${hash(name).toString(16)}:${prompt}`, ...(random.uniform() < 0.5 && {'x-pollenarch-length-hint': String(events * 6)}),
			}),
		},
	};
}

async function ask(asked: Asked): Promise<void> {
	const {kind, client} = asked;
	for (let number = 0; number < 2; number++) {
		const leftMs = asked.endsAtMs - nowMs();
		const kept = number === 0 ? keptInstance(client) : undefined;
		const {attempt, retryAfterMs} = await send(asked, {instance: kept ?? choose(client, number), isKept: kept !== undefined, leftMs});
		const isRefused = attempt.isWhole && REFUSALS.has(attempt.status!);
		const isUnread = attempt.status === undefined && attempt.error !== '' && attempt.lastByteAtMs === undefined;
		const isServed = attempt.isWhole && attempt.status! < 500 && !isRefused;
		if (isServed || attempt.hasLeft || !(isRefused || isUnread || kindShapes[kind].isRepeatable)) {
			return;
		}

		if (retryAfterMs > (asked.endsAtMs - nowMs()) / 3) {
			return;
		}

		await delay(retryAfterMs);
	}
}

type Way = {readonly instance: Instance; readonly isKept: boolean; readonly leftMs: number};

async function send(asked: Asked, {instance, isKept, leftMs}: Way): Promise<{attempt: Attempt; retryAfterMs: number}> {
	const {kind, client, body, events} = asked;
	const {method, objectiveMs, stream} = kindShapes[kind];
	const id = `${hash(`${asked.name} ${nowMs()}`).toString(16).padStart(8, '0')}${hash(`${nowMs()} ${asked.name}`).toString(16).padStart(8, '0')}`;
	const attempt: Attempt = {
		key: id, id, kind: stream ? (kindShapes[kind].isRepeatable ? 'stream-resumable' : 'stream-once') : (kindShapes[kind].isRepeatable ? 'repeatable' : 'once'), caller: client.name, instance: instance.name, isKeptConnection: isKept, sentAtMs: nowMs(), endedAtMs: Number.POSITIVE_INFINITY, status: undefined, isWhole: false, error: '', answeredId: undefined, signature: undefined, mismatch: '', hasLeft: false, lastByteAtMs: undefined, route: kind, deadlineMs: leftMs, note: '',
	};
	attempts.push(attempt);
	const stays = random.uniform() < STAY_SHARE;
	const agent = agentOf(client, instance);
	const isChunked = body.length > 0 && random.uniform() < CHUNKED_SHARE;
	const isSlow = body.length > 0 && random.uniform() < SLOW_BODY_SHARE;
	const slowMs = random.uniform() * options.bodyMaxMs;
	const leavesAfterMs = random.uniform() < LEAVING_SHARE ? random.uniform() * 1500 : undefined;
	const isAbrupt = random.uniform() < ABRUPT_SHARE;
	const drawn = options.habits.length > 0 && habitRandom.uniform() < HABIT_SHARE ? options.habits[Math.floor(habitRandom.uniform() * options.habits.length)]! : 'none';
	const habit = drawn.endsWith('-ending') && !isChunked ? 'none' : drawn;
	const habitMs = drawn === 'none' ? 0 : habitRandom.uniform() * HABIT_MAX_MS;
	attempt.note = [`${body.length} bytes, ${isChunked ? 'in chunks' : 'with a length'}${isSlow ? `, within ${slowMs.toFixed(0)} ms` : ''}`, ...(options.hasLinks ? [`link ${linkKinds[client.link]!.name}`] : []), ...(options.habits.length > 0 ? [`habit ${habit} ${habitMs.toFixed(0)} ms`] : []), ...(client.isProxied ? ['proxy'] : [])].join(', ');
	return new Promise(resolve => {
		const timers = new Set<NodeJS.Timeout>();
		let retryAfterMs = 0;
		let socketOf: Socket | undefined;
		const end = (error = '') => {
			if (attempt.endedAtMs !== Number.POSITIVE_INFINITY) {
				return;
			}

			attempt.endedAtMs = nowMs();
			attempt.error = error;
			for (const timer of timers) {
				clearTimeout(timer);
			}

			if (!(stays || client.isProxied) || habit === 'ahead') {
				socketOf?.destroy();
			}

			resolve({attempt, retryAfterMs});
		};

		const leave = (reason: string) => {
			if (attempt.endedAtMs === Number.POSITIVE_INFINITY) {
				attempt.hasLeft = true;
				attempt.note += `, left: ${reason}`;
				if (isAbrupt) {
					sent.socket?.resetAndDestroy();
				}

				sent.destroy();
				end();
			}
		};

		const after = (ms: number, handler: () => void) => {
			const timer = setTimeout(handler, ms);
			timers.add(timer);
			return timer;
		};

		// Counts from the last byte, so that an end at the deadline is the instance's.
		const patienceMs = stream ? Math.max(PATIENCE_MIN_MS, PATIENCE_OBJECTIVES * objectiveMs) : leftMs;
		let gap = after(patienceMs + slowMs, () => {
			leave('gap');
		});
		const sent = httpRequest({
			host: instance.host, port: options.hasLinks ? FIRST_LINK_PORT + client.link : instance.port, agent, method, path: `/${kind}/${asked.name}`, headers: {
				host: hostOf(kind), 'x-pollenarch-request-id': id, 'x-pollenarch-request-deadline': String(Math.round(leftMs)), ...asked.headers, ...(asked.last > 0 && {'last-event-id': String(asked.last)}), ...(method === 'POST' && !isChunked && {'content-length': String(body.length)}), ...(isChunked && {'transfer-encoding': 'chunked'}),
			},
		}, response => {
			retryAfterMs = noteHead(attempt, response);
			let rest = '';
			response.setEncoding('utf8');
			response.on('data', (text: string) => {
				if (stream && attempt.status === 200) {
					clearTimeout(gap);
					timers.delete(gap);
					gap = after(patienceMs, () => {
						leave('gap');
					});
					rest = readEvents(rest + text, asked, attempt);
				}

				if (habit === 'slow-reader') {
					response.pause();
					after(SLOW_READ_MS, () => {
						response.resume();
					});
				}
			});
			response.on('end', () => {
				// The request's own end was never called.
				if (habit === 'split-ending') {
					socketOf?.destroy();
				}
			});
			response.on('error', () => undefined);
			response.on('close', () => {
				// What a slow reader has not read when it leaves is dropped.
				attempt.isWhole = response.complete && !attempt.hasLeft;
				if (attempt.isWhole && stream && attempt.status === 200 && asked.last < events) {
					attempt.mismatch = `complete after ${asked.last} of ${events} events`;
				}

				end();
			});
		});
		after(leftMs + slowMs + PATIENCE_MIN_MS, () => {
			leave('deadline');
		});
		if (leavesAfterMs !== undefined) {
			after(leavesAfterMs, () => {
				leave('early');
			});
		}

		sent.on('socket', socket => {
			socketOf = socket;
			if (socket.connecting) {
				const timer = after(CONNECT_TIMEOUT_MS, () => {
					leave('not accepted');
				});
				socket.once('connect', () => {
					clearTimeout(timer);
				});
			}
		});
		sent.on('error', (error: NodeJS.ErrnoException) => {
			end(error.code ?? error.message);
		});
		sent.on('close', () => {
			if (attempt.status === undefined) {
				end();
			}
		});
		const sendEnd = (rest?: Buffer) => {
			sent.end(rest, () => {
				attempt.lastByteAtMs ??= nowMs();
				behind[habit]?.();
			});
		};

		const behind: Partial<Record<Habit | 'none', () => void>> = {
			'half-close': () => socketOf?.end(),
			'half-close-later': () => after(habitMs, () => socketOf?.end()),
			'empty-line': () => socketOf?.write('\r\n'),
			ahead: () => socketOf?.write(`GET /check/${asked.name}-ahead HTTP/1.1\r\nhost: ${hostOf('check')}\r\n\r\n`),
		};
		const endings: Partial<Record<Habit | 'none', () => void>> = {
			'late-ending': sendEnd,
			'split-ending'() {
				socketOf?.write(ENDING_OF_CHUNKS.slice(0, 2));
				after(habitMs / 2, () => {
					socketOf?.write(ENDING_OF_CHUNKS.slice(2));
					attempt.lastByteAtMs ??= nowMs();
				});
			},
		};
		const finish = (rest: Buffer) => {
			const ending = endings[habit];
			if (ending) {
				sent.write(rest);
				after(habitMs, ending);
			} else {
				sendEnd(rest);
			}
		};

		if (isSlow) {
			const size = Math.ceil(body.length / BODY_PARTS);
			const sendPart = (part: number) => {
				const bytes = body.subarray(part * size, (part + 1) * size);
				if (part === BODY_PARTS - 1) {
					finish(bytes);
				} else {
					sent.write(bytes);
					after(slowMs / (BODY_PARTS - 1), () => {
						sendPart(part + 1);
					});
				}
			};

			sendPart(0);
		} else {
			finish(body);
		}
	});
}

/** Takes over the whole events; returns the rest. */
function readEvents(text: string, asked: Asked, attempt: Attempt): string {
	const blocks = text.split('\n\n');
	const rest = blocks.pop()!;
	for (const block of blocks.filter(line => line.startsWith('id: '))) {
		const event = /^id: (?<number>\d+)\ndata: (?<of>\S+) (?<count>\d+) /v.exec(block)?.groups;
		if (event?.of !== asked.name || event.number !== event.count || Number(event.number) !== asked.last + 1) {
			attempt.mismatch ||= `event "${block.slice(0, 80)}" after ${asked.last}`;
		}

		asked.last++;
	}

	return rest;
}

async function runZone(zone: typeof zoneShapes[number]): Promise<void> {
	const proxy = {agents: new Map<string, Agent>(), isProxied: true, link: habitRandom.pick(linkKinds.map(() => 1))};
	const clients = Array.from({length: zone.clients}, (_, number): Client => ({
		name: `${zone.name}-${number}`, zone: zone.name, number, ...(options.habits.includes('proxy') && number % PROXY_EACH === 0 ? proxy : {agents: new Map(), isProxied: false, link: number % linkKinds.length}),
	}));
	const open: Array<Promise<void>> = [];
	for (let nextMs = nowMs(); nextMs < options.endAtMs;) {
		const factor = 1 + (SWING * Math.sin((nextMs / SWING_PERIOD_MS * 2 * Math.PI) + zone.clients));
		nextMs += random.exponential(1000 / (zone.perSecond * options.scale * factor));
		const waitMs = nextMs - nowMs();
		if (waitMs > 0) {
			await delay(waitMs);
		}

		const kind = kindNames[random.pick(kindNames.map(name => kindShapes[name].weight))]!;
		open.push(ask(draw(kind, clients[Math.floor(random.uniform() * clients.length)]!)));
	}

	await Promise.all(open);
	for (const {agents} of clients) {
		for (const agent of agents.values()) {
			agent.destroy();
		}
	}
}

async function run(): Promise<void> {
	random = createRandom(options.seed);
	habitRandom = createRandom(options.seed + 1000);
	const stopWatch = watchLateness(nowMs, lateness);
	await Promise.all(zoneShapes.map(async zone => runZone(zone)));
	stopWatch();
	const result: CallersResult = {attempts: attempts.map(attempt => ({...attempt, endedAtMs: Number.isFinite(attempt.endedAtMs) ? attempt.endedAtMs : nowMs()})), lateness};
	process.send!(result, () => {
		process.disconnect();
	});
}

process.on('message', (message: CallersMessage) => {
	if ('inRotation' in message) {
		inRotation = new Set(message.inRotation);
	} else {
		options = message.options;
		void run();
	}
});
process.on('disconnect', () => {
	process.exit(0);
});
