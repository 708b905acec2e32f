/**
Targets of the deployment's shape: engines that run what they admit in steps, each of which
brings every running stream an event, and plain services that turn away what they have no
place for. Answers come with a length, in chunks, or end with their connection. Targets
leave as announced or unannounced, serve on for a while, and are gone.
*/
import {once} from 'node:events';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {type RandomSource} from '../../../src/experiment/random-source.js';
import {type FakeStore} from '../../standins/fake-store-and-runner.js';
import {type Arrival, type SoakRecord} from '../record.js';
import {createRandom} from '../seeded-random.js';
import {
	ADAPTER_SLOTS, ENGINE_QUEUE, ENGINE_SLOTS, models, PLAIN_QUEUE, PLAIN_SLOTS,
} from './data.js';

export const PORT = 8300;
const HEARTBEAT_MS = 1200;
const TICK_MS = 5;
const STEP_MS = 5.23;
const STEP_PER_RUN_MS = 0.003_67;
const STEPS_PER_EVENT = 6;
const PREFILLED_PER_MS = 38.4;
const KEPT_SUBJECTS = 200;
/** Mean pause between two moments at which the newest run yields for a while. */
const PREEMPTION_MEAN_MS = 4000;
const PREEMPTION_MAX_MS = 700;
const IDLE_MS = 5000;
const CLOSE_SHARE = 0.01;
/** Shares of whole answers that have a length, and of those that come in chunks; the rest ends with its connection. */
const framings = {
	plain: [0.55, 0.3, 0.15], stream: [0, 0.85, 0.15],
} as const;
const WORK = {mean: 30, spread: 0.5, max: 220};
const BODY = {mean: 800, spread: 0.5, max: 4800};
const ADAPTER_MS = 10;
const MS_PER_S = 1000;

type Run = {
	readonly arrival: Arrival;
	readonly response: ServerResponse;
	readonly name: string;
	readonly events: number;
	nextEvent: number;
	prefillMs: number;
	pausedUntilMs: number;
	hasHead: boolean;
};

type Copy = {readonly name: string; readonly version: number; readonly adapters: string[]};

export type ShapeTargetOptions = {
	readonly id: string;
	readonly service: 'assistant' | 'desk';
	readonly zone: string;
	readonly host: string;
	readonly version: string;
	readonly seed: number;
	readonly store: FakeStore;
	readonly record: SoakRecord;
	readonly models: readonly string[];
	/** Share of its whole answers that end with their connection; a share of its own if absent. */
	readonly unframedShare?: number;
};

export class ShapeTarget {
	isLeaving = false;
	isGone = false;
	private readonly _random: RandomSource;
	private readonly _born = Date.now();
	private readonly _copies: Copy[];
	private readonly _running: Run[] = [];
	private readonly _queue: Run[] = [];
	private readonly _kept = new Set<string>();
	private readonly _sockets = new Map<Socket, number>();
	private readonly _coming: string[] = [];
	private _sequence = 0;
	private _isBusy = false;
	private _connections = 0;
	private _stepAtMs = 0;
	private _preemptsAtMs = 0;
	private _plainRunning = 0;
	private readonly _plainQueue: Array<() => void> = [];
	private _timers: NodeJS.Timeout[] = [];
	private readonly _server = createServer({keepAliveTimeout: IDLE_MS, requestTimeout: 0, headersTimeout: 0}, (request, response) => {
		void this._serve(request, response);
	});

	constructor(private readonly _options: ShapeTargetOptions) {
		this._random = createRandom(_options.seed);
		this._copies = _options.models.map(name => ({name, version: 1, adapters: []}));
	}

	get id(): string {
		return this._options.id;
	}

	get options(): ShapeTargetOptions {
		return this._options;
	}

	get models(): readonly string[] {
		return this._copies.map(({name}) => name);
	}

	async start(): Promise<this> {
		const {host, service, record} = this._options;
		this._server.on('connection', socket => {
			this._accept(socket);
		});
		this._server.listen(PORT, host);
		await once(this._server, 'listening');
		this._timers = [setInterval(() => {
			this._register();
		}, HEARTBEAT_MS)];
		if (service === 'assistant') {
			this._timers.push(setInterval(() => {
				this._tick();
			}, TICK_MS));
		}

		record.noteFault(this.id, 'start');
		this._register();
		return this;
	}

	/** Leaves by plan: says so, or lets its entry be removed, and serves on. */
	leave(isAnnounced: boolean): void {
		const {store, record} = this._options;
		this.isLeaving = true;
		record.noteFault(this.id, 'leave');
		if (isAnnounced) {
			this._register();
		} else {
			store.deleteRow('servers', this.id);
		}
	}

	/** Ends by plan; what it still runs is broken off. */
	end(): void {
		const {store, record} = this._options;
		this.isGone = true;
		for (const timer of this._timers) {
			clearInterval(timer);
		}

		for (const {arrival} of [...this._running, ...this._queue]) {
			arrival.isBrokenOff = true;
		}

		record.noteFault(this.id, 'exit');
		this._server.close();
		for (const socket of this._sockets.keys()) {
			socket.destroy();
		}

		store.deleteRow('servers', this.id);
	}

	private _register(): void {
		const {service, host, zone, version, store} = this._options;
		if (this.isGone || (this.isLeaving && !store.rows.get(`servers/${this.id}`)?.value)) {
			return;
		}

		const entry = {
			service, address: `${host}:${PORT}`, zone, version, slots: service === 'desk' ? PLAIN_SLOTS : ENGINE_SLOTS, state: this.isLeaving ? 'draining' : 'ready', coldLeftMs: 0, seq: this._sequence, born: this._born, stage: 'colocated', models: this._copies,
		};
		store.put('servers', this.id, entry);
	}

	private _accept(socket: Socket): void {
		this._connections++;
		this._sockets.set(socket, this._connections);
		socket.on('close', () => {
			this._sockets.delete(socket);
		});
		if (this._sockets.size > (this._options.service === 'desk' ? 208 : 780)) {
			socket.resetAndDestroy();
		}
	}

	private async _serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const {headers} = request;
		const id = String(headers['x-pollenarch-request-id'] ?? '');
		const named = headers['x-pollenarch-target-instance'];
		const parts: string[] = [];
		request.setEncoding('utf8').on('data', (text: string) => parts.push(text)).on('error', () => undefined);
		response.on('error', () => undefined);
		try {
			await once(request, 'end');
		} catch {
			return;
		}

		response.setHeader('X-Pollenarch-Request-Id', id);
		if (this._random.uniform() < CLOSE_SHARE || (this.isLeaving && this._random.uniform() < 0.5)) {
			response.setHeader('Connection', 'close');
		}

		if (named !== undefined && named !== this.id) {
			response.writeHead(421, {'x-pollenarch-instance-id': this.id}).end();
		} else if (request.url === '/v1/report') {
			response.setHeader('Content-Type', 'application/json');
			response.end(JSON.stringify({
				stage: 'colocated', models: this._copies, busy: this._isBusy, seq: this._sequence, queued: this._queue.length, running: this._running.length, kvUsed: this._running.length * 600, kvTotal: 142_202, handles: 0, coming: this._coming, born: this._born,
			}));
		} else if (request.url === '/v1/order') {
			response.writeHead(this._order(JSON.parse(parts.join('')) as OrderBody)).end();
		} else {
			const arrival: Arrival = {
				key: id, id, target: this.id, connection: this._sockets.get(request.socket) ?? 0, atMs: this._options.record.nowMs(), ranAtMs: undefined, status: undefined, isBrokenOff: false, cutAtMs: undefined, doneAtMs: undefined,
			};
			this._options.record.arrivals.push(arrival);
			response.on('close', () => {
				if (arrival.doneAtMs === undefined) {
					arrival.cutAtMs ??= this._options.record.nowMs();
				}
			});
			if (this._options.service === 'desk') {
				await this._work(headers, response, arrival);
			} else {
				this._admit(headers, response, arrival);
			}
		}
	}

	private _refuse(response: ServerResponse, arrival: Arrival, status: number): void {
		arrival.status = status;
		arrival.doneAtMs = this._options.record.nowMs();
		response.writeHead(status, {'x-pollenarch-not-executed': '1', 'x-pollenarch-server-load': this._load()}).end();
	}

	private _load(): string {
		return this._options.service === 'desk' ? `${this._plainRunning},${this._plainQueue.length},${PLAIN_SLOTS}` : `${this._running.length},${this._queue.length},${ENGINE_SLOTS}`;
	}

	private _order({opType, model, adapter, expected}: OrderBody): number {
		const copy = this._copies.find(({name}) => name === model);
		if (expected !== undefined && expected !== this._sequence) {
			return 409;
		}

		if (adapter !== undefined) {
			const position = copy?.adapters.indexOf(adapter) ?? -1;
			if (!copy || (position !== -1) === (opType === 'loading')) {
				return copy ? 200 : 409;
			}

			this._sequence++;
			if (opType === 'loading') {
				const coming = `${model}/${adapter}@1`;
				this._coming.push(coming);
				setTimeout(() => {
					this._coming.splice(this._coming.indexOf(coming), 1);
					copy.adapters.push(adapter);
				}, ADAPTER_MS);
				return 202;
			}

			copy.adapters.splice(position, 1);
			return 200;
		}

		if (this._isBusy) {
			return 409;
		}

		if ((copy !== undefined) === (opType === 'loading')) {
			return 200;
		}

		this._sequence++;
		this._isBusy = true;
		setTimeout(() => {
			this._isBusy = false;
			if (opType === 'loading') {
				this._copies.push({name: model, version: 1, adapters: []});
			} else {
				this._copies.splice(this._copies.findIndex(({name}) => name === model), 1);
			}

			this._register();
		}, opType === 'loading' ? models[model]!.loadTimeS * MS_PER_S : ADAPTER_MS);
		return 202;
	}

	/** Takes a stream in, behind those that wait. */
	private _admit(headers: IncomingMessage['headers'], response: ServerResponse, arrival: Arrival): void {
		const [model = '', adapter] = String(headers['x-pollenarch-model'] ?? '').split('/');
		const copy = this._copies.find(({name}) => name === model);
		if (!copy || (adapter !== undefined && !copy.adapters.includes(adapter))) {
			this._refuse(response, arrival, 421);
			return;
		}

		if (this._running.length >= ENGINE_SLOTS && this._queue.length >= ENGINE_QUEUE) {
			this._refuse(response, arrival, 503);
			return;
		}

		let prompt = 0;
		for (const part of String(headers['x-pollenarch-prompt-prefix'] ?? '').split(',')) {
			const [subject = '', tokens] = part.split(':');
			if (!this._kept.has(subject)) {
				prompt += Number(tokens);
				this._kept.add(subject);
			}
		}

		for (const subject of this._kept) {
			if (this._kept.size <= KEPT_SUBJECTS) {
				break;
			}

			this._kept.delete(subject);
		}

		this._queue.push({
			arrival, response, name: String(headers['x-soak-name']), events: Number(headers['x-soak-events']), nextEvent: Number(headers['last-event-id'] ?? 0) + 1, prefillMs: prompt / PREFILLED_PER_MS, pausedUntilMs: 0, hasHead: false,
		});
		response.on('close', () => {
			for (const list of [this._queue, this._running]) {
				const index = list.findIndex(run => run.arrival === arrival);
				if (index !== -1) {
					list.splice(index, 1);
				}
			}
		});
	}

	/** One step of the batch: an event for each run that has been read. */
	private _tick(): void {
		const nowMs = this._options.record.nowMs();
		if (nowMs < this._stepAtMs) {
			return;
		}

		while (this._running.length < ENGINE_SLOTS && this._queue.length > 0) {
			this._running.push(this._queue.shift()!);
		}

		if (this._running.length > 0 && nowMs > this._preemptsAtMs) {
			this._preemptsAtMs = nowMs + this._random.exponential(PREEMPTION_MEAN_MS);
			this._running.at(-1)!.pausedUntilMs = nowMs + (this._random.uniform() * PREEMPTION_MAX_MS);
		}

		let stepMs = STEPS_PER_EVENT * (STEP_MS + (STEP_PER_RUN_MS * this._running.length));
		for (const run of this._running) {
			if (nowMs < run.pausedUntilMs) {
				continue;
			}

			if (run.prefillMs > 0) {
				stepMs += run.prefillMs;
				run.prefillMs = 0;
				continue;
			}

			this._sendEvent(run, nowMs);
		}

		this._stepAtMs = nowMs + stepMs;
	}

	private _sendEvent(run: Run, nowMs: number): void {
		const {response, arrival, name, events} = run;
		if (!run.hasHead) {
			run.hasHead = true;
			arrival.ranAtMs = nowMs;
			arrival.status = 200;
			this._frame(response, 'stream');
			response.writeHead(200, {
				'content-type': 'text/event-stream', 'x-pollenarch-server-signature': `${this.id}.${arrival.key}`, 'x-pollenarch-weight-versions': '1', 'x-pollenarch-server-load': this._load(),
			});
		}

		if (run.nextEvent <= events) {
			response.write(`id: ${run.nextEvent}\ndata: ${`${name} ${run.nextEvent} `.padEnd(40, '.')}\n\n`);
			run.nextEvent++;
		}

		if (run.nextEvent > events) {
			arrival.doneAtMs = nowMs;
			this._running.splice(this._running.indexOf(run), 1);
			response.end();
		}
	}

	/** Chooses whether an answer has a length (true), comes in chunks or ends with its connection. */
	private _frame(response: ServerResponse, kind: keyof typeof framings): boolean {
		const [length, chunks, close] = framings[kind];
		const {unframedShare = close} = this._options;
		const framing = this._random.uniform() < unframedShare ? 2 : this._random.pick([length, chunks]);
		if (framing === 2) {
			response.removeHeader('Connection');
			response.useChunkedEncodingByDefault = false;
		}

		return framing === 0;
	}

	private async _work(headers: IncomingMessage['headers'], response: ServerResponse, arrival: Arrival): Promise<void> {
		const {record} = this._options;
		if (this._plainRunning >= PLAIN_SLOTS && this._plainQueue.length >= PLAIN_QUEUE) {
			this._refuse(response, arrival, 503);
			return;
		}

		if (this._plainRunning >= PLAIN_SLOTS) {
			await new Promise<void>(resolve => {
				this._plainQueue.push(resolve);
			});
		} else {
			this._plainRunning++;
		}

		if (!response.destroyed) {
			arrival.ranAtMs = record.nowMs();
			await delay(this._random.size(WORK));
			if (!response.destroyed) {
				const isFailed = this._random.uniform() < Number(headers['x-soak-failed'] ?? 0);
				arrival.status = isFailed ? 500 : 200;
				const body = `${arrival.key} ran`.padEnd(this._random.size(BODY), '.');
				if (this._frame(response, 'plain')) {
					response.setHeader('Content-Length', body.length);
				}

				arrival.doneAtMs = record.nowMs();
				response.writeHead(arrival.status, {'x-pollenarch-server-signature': `${this.id}.${arrival.key}`, 'x-pollenarch-server-load': this._load()});
				response.write(body.slice(0, body.length / 2));
				response.end(body.slice(body.length / 2));
			}
		}

		const next = this._plainQueue.shift();
		this._plainRunning -= next ? 0 : 1;
		next?.();
	}
}

type OrderBody = {readonly opType: string; readonly model: string; readonly adapter?: string; readonly expected?: number};
