/**
Stand-ins for targets on raw sockets: a plain service, and an engine that holds models,
takes orders and sends streams. They refuse, write refusals once more, fail, are killed,
come back, and stop reading, as the faults say, and note what arrives and what they run.
Sound ones may pause: what they run goes on when the pause is over.
*/
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type Server, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {type RandomSource} from '../../src/experiment/random-source.js';
import {type FakeStore} from '../standins/fake-store-and-runner.js';
import {chunk} from '../standins/scripted-deployment.js';
import {createRandom} from './seeded-random.js';
import {type Arrival, type SoakRecord} from './record.js';

export const EVENTS = 8;
export const modelNames = ['m0', 'm1'] as const;
const EVENT_INTERVAL_MS = 25;
const LOAD_MS = 300;
const HEARTBEAT_MS = 1200;
const IDLE_MS = 5000;
const SLOTS = 4;
const QUEUE_LENGTH = 8;
const WORK_MIN_MS = 10;
const WORK_RANGE_MS = 50;
/** Shares of requests that are refused during the fault and otherwise. */
const REFUSED_SHARE = 0.7;
const USUAL_REFUSED_SHARE = 0.15;
const COPIED_SHARE = 0.9;
/** Share of the answers that are lost, and of those that are failures. */
const FAILED_SHARE = 0.02;
/** The same during the fault; of streams, the share that breaks off inside an event. */
const FAILING_SHARE = 0.5;
const COPY_DELAY_MAX_MS = 50;
const HEAD_END = '\r\n\r\n';

/** When the copy of a refusal is written: ahead of the answer to the same id, to the next request as it arrives or as it is answered, or on its own. */
const copyTimes = ['same-id', 'arrival', 'answer', 'alone'] as const;
const copyWeights = [4, 2, 2, 1];
/** Statuses with which targets refuse. */
const refusalStatuses = [503, 503, 429] as const;

type Request = {
	readonly method: string;
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: string;
};

type PendingCopy = {
	readonly id: string;
	readonly bytes: string;
	readonly time: typeof copyTimes[number];
};

type Connection = {
	readonly number: number;
	readonly socket: Socket;
	/** What has arrived and is not handled yet. */
	buffer: Buffer;
	isBusy: boolean;
	current: string | undefined;
	/** Whether a part of an answer has been written. */
	isSending: boolean;
	copies: PendingCopy[];
};

/** Takes the next complete request from what has arrived on a connection. */
function takeRequest(connection: Connection): Request | undefined {
	const {buffer} = connection;
	const end = buffer.indexOf(HEAD_END);
	if (end === -1) {
		return undefined;
	}

	const [first = '', ...lines] = buffer.subarray(0, end).toString('latin1').split('\r\n');
	const [method = '', path = ''] = first.split(' ');
	const headers = Object.fromEntries(lines.map(line => {
		const colon = line.indexOf(':');
		return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
	}));
	const total = end + HEAD_END.length + Number(headers['content-length'] ?? 0);
	if (buffer.length < total) {
		return undefined;
	}

	connection.buffer = buffer.subarray(total);
	return {
		method, path, headers, body: buffer.subarray(end + HEAD_END.length, total).toString('utf8'),
	};
}

function head(status: number, lines: readonly string[]): string {
	return [`HTTP/1.1 ${status} Status`, `Keep-Alive: timeout=${IDLE_MS / 1000}`, ...lines, '', ''].join('\r\n');
}

function answer(status: number, lines: readonly string[], body = ''): string {
	return head(status, [...lines, `Content-Length: ${Buffer.byteLength(body)}`]) + body;
}

export type SoakTargetOptions = {
	readonly id: string;
	readonly service: 'records' | 'llm';
	readonly zone: string;
	readonly host: string;
	readonly seed: number;
	readonly store: FakeStore;
	readonly record: SoakRecord;
	/** Whether a request in its queue is dropped when its connection closes. */
	readonly dropsQueued: boolean;
};

export class SoakTarget {
	isUp = false;
	isRefusing = false;
	isFrozen = false;
	/** Whether half of what runs here fails. */
	isFailing = false;
	private _isLeaving = false;
	private _host: string;
	private _born = Date.now();
	private _sequence = 0;
	private _isLoading = false;
	private _running = 0;
	private _queue: Array<() => void> = [];
	private _models: string[] = [];
	private _pauseEndsAtMs = 0;
	/** Number of starts, which tells the runs of an earlier process from those of this one. */
	private _life = 0;
	private _connections = 0;
	private readonly _open = new Set<Connection>();
	private readonly _random: RandomSource;
	private _server: Server | undefined;
	private _heartbeat: NodeJS.Timeout | undefined;

	constructor(private readonly _options: SoakTargetOptions) {
		this._host = _options.host;
		this._random = createRandom(_options.seed);
	}

	get id(): string {
		return this._options.id;
	}

	get service(): string {
		return this._options.service;
	}

	async start(models: readonly string[] = [], host = this._host): Promise<void> {
		this._host = host;
		this._life++;
		this._born = Date.now();
		this._sequence = 0;
		this._isLeaving = false;
		this._isLoading = false;
		this._running = 0;
		this._queue = [];
		this._models = [...models];
		this._server = createServer({noDelay: true}, socket => {
			this._accept(socket);
		});
		this._server.listen(PORT, this._host);
		await once(this._server, 'listening');
		this.isUp = true;
		this._options.record.noteFault(this.id, 'start');
		this._register();
		this._heartbeat = setInterval(() => {
			this._register();
		}, HEARTBEAT_MS);
	}

	/** Ends as a killed process does: its connections are reset and what it ran is lost. */
	kill(): void {
		this._options.record.noteFault(this.id, 'kill');
		this.close();
	}

	close(): void {
		clearInterval(this._heartbeat);
		this.isUp = false;
		this.isFrozen = false;
		this._life++;
		this._server?.close();
		this._resetAll();
	}

	/** Announces that it leaves; it serves on until it is killed. */
	leave(): void {
		this._isLeaving = true;
		this._options.record.noteFault(this.id, 'leave');
		this._register();
	}

	resetConnections(): void {
		this._options.record.noteFault(this.id, 'reset');
		this._resetAll();
	}

	/** Reads nothing that arrives, as a process that is stopped; its kernel goes on accepting. */
	freeze(): void {
		this.isFrozen = true;
		this._options.record.noteFault(this.id, 'freeze');
		for (const {socket} of this._open) {
			socket.pause();
		}
	}

	thaw(): void {
		this.isFrozen = false;
		this._options.record.noteFault(this.id, 'thaw');
		for (const connection of this._open) {
			connection.socket.resume();
			void this._serve(connection);
		}
	}

	/** Brings nothing of what it runs for a while, as a sound target whose engine is busy; all else goes on. */
	pause(forMs: number): void {
		this._pauseEndsAtMs = this._options.record.nowMs() + forMs;
		this._options.record.noteFault(this.id, 'pause');
	}

	private async _workFor(ms: number): Promise<void> {
		const {record} = this._options;
		await delay(ms);
		while (record.nowMs() < this._pauseEndsAtMs) {
			await delay(this._pauseEndsAtMs - record.nowMs());
		}
	}

	private _resetAll(): void {
		for (const {socket} of this._open) {
			socket.resetAndDestroy();
		}
	}

	private _register(): void {
		if (this.isUp && !this.isFrozen) {
			const {service, zone, store} = this._options;
			store.put('servers', this.id, {
				service, address: `${this._host}:${PORT}`, zone, version: 'v1', slots: SLOTS, state: this._isLeaving ? 'draining' : 'ready', coldLeftMs: 0, seq: this._sequence, born: this._born, stage: 'colocated', models: this._modelEntries(),
			});
		}
	}

	private _modelEntries(): object[] {
		return this._models.map(name => ({name, version: 1, adapters: []}));
	}

	private _accept(socket: Socket): void {
		this._connections++;
		const connection: Connection = {
			number: this._connections, socket, buffer: Buffer.alloc(0), isBusy: false, current: undefined, isSending: false, copies: [],
		};
		this._open.add(connection);
		socket.setTimeout(IDLE_MS, () => {
			if (!connection.isBusy && !this.isFrozen) {
				socket.end();
			}
		});
		socket.on('error', () => undefined);
		socket.on('close', () => {
			this._open.delete(connection);
		});
		socket.on('data', data => {
			connection.buffer = Buffer.concat([connection.buffer, data]);
			void this._serve(connection);
		});
		if (this.isFrozen) {
			socket.pause();
		}
	}

	private async _serve(connection: Connection): Promise<void> {
		if (connection.isBusy) {
			return;
		}

		connection.isBusy = true;
		for (let request = takeRequest(connection); request && !this.isFrozen && this.isUp; request = takeRequest(connection)) {
			connection.current = request.headers['x-soak-attempt'];
			await this._handle(request, connection);
			connection.current = undefined;
		}

		connection.isBusy = false;
	}

	private _write({socket}: Connection, text: string): void {
		if (!socket.destroyed) {
			socket.write(text);
		}
	}

	private async _handle(request: Request, connection: Connection): Promise<void> {
		const {path, headers} = request;
		const named = headers['x-pollenarch-target-instance'];
		const id = headers['x-pollenarch-request-id'] ?? '';
		if (named !== undefined && named !== this.id) {
			this._write(connection, answer(421, [`X-Pollenarch-Request-Id: ${id}`, `X-Pollenarch-Instance-Id: ${this.id}`]));
		} else if (path === '/v1/report') {
			this._write(connection, answer(200, ['Content-Type: application/json'], JSON.stringify({
				stage: 'colocated', models: this._modelEntries(), busy: this._isLoading, seq: this._sequence, queued: this._queue.length, running: this._running, kvUsed: 0, kvTotal: 90_000, handles: 0, coming: [], born: this._born,
			})));
		} else if (path === '/v1/order') {
			this._write(connection, answer(this._order(JSON.parse(request.body) as {opType: string; model: string; expected?: number}), []));
		} else {
			await this._run(request, connection, id);
		}
	}

	private _order({opType, model, expected}: {opType: string; model: string; expected?: number}): number {
		if (this._isLoading || (expected !== undefined && expected !== this._sequence)) {
			return 409;
		}

		const isLoad = opType === 'loading';
		if (this._models.includes(model) === isLoad) {
			return 200;
		}

		this._sequence++;
		this._isLoading = true;
		const life = this._life;
		setTimeout(() => {
			if (life === this._life) {
				this._isLoading = false;
				this._models = isLoad ? [...this._models, model] : this._models.filter(name => name !== model);
				this._register();
			}
		}, LOAD_MS);
		return 202;
	}

	private async _run({headers}: Request, connection: Connection, id: string): Promise<void> {
		const {record, service, dropsQueued} = this._options;
		const key = headers['x-soak-attempt'] ?? '';
		const arrival: Arrival = {
			key, id, target: this.id, connection: connection.number, atMs: record.nowMs(), ranAtMs: undefined, status: undefined, isBrokenOff: false, cutAtMs: undefined,
		};
		record.arrivals.push(arrival);
		this._writeCopies(connection, ({id: copied, time}) => time === 'arrival' || time === 'alone' || (time === 'same-id' && copied === id));
		const isAbsent = service === 'llm' && !this._models.includes(headers['x-pollenarch-model'] ?? '');
		const isFull = this._running >= SLOTS && this._queue.length >= QUEUE_LENGTH;
		if (isAbsent || isFull || this._random.uniform() < (this.isRefusing ? REFUSED_SHARE : USUAL_REFUSED_SHARE)) {
			this._refuse(connection, arrival, isAbsent ? 421 : refusalStatuses[Math.floor(this._random.uniform() * refusalStatuses.length)]!);
			return;
		}

		const life = this._life;
		if (this._running >= SLOTS) {
			await new Promise<void>(resolve => {
				this._queue.push(resolve);
			});
		} else {
			this._running++;
		}

		if (life === this._life) {
			if (!connection.socket.destroyed || !dropsQueued) {
				arrival.ranAtMs = record.nowMs();
				const noteCut = () => {
					arrival.cutAtMs ??= record.nowMs();
				};

				connection.socket.once('close', noteCut);
				await (service === 'llm' ? this._sendStream(headers, connection, arrival, life) : this._sendAnswer(connection, arrival, life));
				connection.socket.off('close', noteCut);
			}

			if (life === this._life) {
				const next = this._queue.shift();
				this._running -= next ? 0 : 1;
				next?.();
			}
		}
	}

	private _refuse(connection: Connection, arrival: Arrival, status: number): void {
		const bytes = answer(status, [`X-Pollenarch-Request-Id: ${arrival.id}`, 'X-Pollenarch-Not-Executed: 1', `X-Pollenarch-Server-Load: ${this._load()}`]);
		arrival.status = status;
		this._write(connection, bytes);
		if (this._random.uniform() > COPIED_SHARE) {
			return;
		}

		const time = copyTimes[this._random.pick(copyWeights)]!;
		connection.copies.push({id: arrival.id, bytes, time});
		if (time === 'alone') {
			setTimeout(() => {
				this._writeCopies(connection, copy => copy.time === 'alone' && !connection.isSending);
			}, this._random.uniform() * COPY_DELAY_MAX_MS);
		}
	}

	private _writeCopies(connection: Connection, isDue: (copy: PendingCopy) => boolean): void {
		const {record} = this._options;
		for (const copy of connection.copies.filter(copy => isDue(copy))) {
			if (connection.socket.destroyed) {
				return;
			}

			connection.copies.splice(connection.copies.indexOf(copy), 1);
			record.copies.push({
				atMs: record.nowMs(), target: this.id, connection: connection.number, id: copy.id, aheadOf: connection.current,
			});
			this._write(connection, copy.bytes);
		}
	}

	private async _sendAnswer(connection: Connection, arrival: Arrival, life: number): Promise<void> {
		await this._workFor(WORK_MIN_MS + (this._random.uniform() * WORK_RANGE_MS));
		if (life === this._life) {
			this._writeCopies(connection, ({time}) => time === 'answer');
			const failure = this._random.uniform() / (this.isFailing ? FAILING_SHARE : FAILED_SHARE);
			if (failure < 1) {
				// Its answer is lost, or its end is.
				arrival.isBrokenOff = true;
				arrival.cutAtMs = this._options.record.nowMs();
				arrival.status = 200;
				connection.socket.end(failure < 0.5 ? '' : head(200, [`X-Pollenarch-Request-Id: ${arrival.id}`, `X-Pollenarch-Server-Signature: ${this.id}.${arrival.key}`, 'Content-Length: 100']));
				return;
			}

			arrival.status = failure < 2 ? 500 : 200;
			this._write(connection, answer(arrival.status, [`X-Pollenarch-Request-Id: ${arrival.id}`, `X-Pollenarch-Server-Signature: ${this.id}.${arrival.key}`, `X-Pollenarch-Server-Load: ${this._load()}`], `${arrival.key} ran`));
		}
	}

	private async _sendStream(headers: Request['headers'], connection: Connection, arrival: Arrival, life: number): Promise<void> {
		this._writeCopies(connection, ({time}) => time === 'answer');
		arrival.status = 200;
		this._write(connection, head(200, [`X-Pollenarch-Request-Id: ${arrival.id}`, `X-Pollenarch-Server-Signature: ${this.id}.${arrival.key}`, 'X-Pollenarch-Weight-Versions: 1', 'Content-Type: text/event-stream', 'Transfer-Encoding: chunked']));
		connection.isSending = true;
		for (let event = Number(headers['last-event-id'] ?? 0) + 1; event <= EVENTS; event++) {
			await this._workFor(EVENT_INTERVAL_MS);
			if (life !== this._life || connection.socket.destroyed) {
				return;
			}

			if (this.isFailing && this._random.uniform() < FAILING_SHARE) {
				arrival.isBrokenOff = true;
				arrival.cutAtMs = this._options.record.nowMs();
				this._write(connection, chunk(`id: ${event}\nda`));
				connection.socket.end();
				return;
			}

			this._write(connection, chunk(`id: ${event}\ndata: ${headers['x-soak-name']} ${event}\n\n`));
		}

		this._write(connection, '0\r\n\r\n');
		connection.isSending = false;
	}

	private _load(): string {
		return `${this._running},${this._queue.length},${SLOTS}`;
	}
}

const PORT = 8300;
