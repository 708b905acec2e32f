/**
Fakes of the platform's store and of its runners over HTTP, for tests of the platform
adapter and of complete daemons.
*/
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type AddressInfo, type Socket} from 'node:net';
import {
	endlessAnswers, sendWithoutEnd, type EndlessKind, type Pace,
} from './endless-answers.js';

type Row = {
	table: string;
	part: string;
	key: string;
	value?: string;
	ver: number;
	deleted?: boolean;
};

async function readText(request: IncomingMessage): Promise<string> {
	const chunks: Buffer[] = [];
	for await (const chunk of request) {
		chunks.push(chunk as Buffer);
	}

	return Buffer.concat(chunks).toString('utf8');
}

async function listen(server: Server, port = 0): Promise<string> {
	return new Promise(resolve => {
		server.listen(port, '127.0.0.1', () => {
			resolve(`127.0.0.1:${(server.address() as AddressInfo).port}`);
		});
	});
}

export class FakeStore {
	readonly rows = new Map<string, Row>();
	/** Simulated outage: `busy` responds with 503, `silent` does not respond. */
	fault: 'none' | 'busy' | 'silent' = 'none';
	/** Long polls get no answer, as on connections that have gone silent; other calls do. */
	arePollsSilent = false;
	/** Makes the next feed request fail with 410, as if its history was compacted. */
	isCompacted = false;
	calls = 0;
	private _version = 1;
	private readonly _pendingPolls = new Set<() => void>();
	private readonly _server = createServer((request, response) => {
		void this._serve(request, response);
	});

	async start(): Promise<string> {
		return listen(this._server);
	}

	stop(): void {
		this._server.closeAllConnections();
		this._server.close();
	}

	put(table: string, key: string, value: unknown): void {
		this._version++;
		this.rows.set(`${table}/${key}`, {
			table, part: '', key, value: Buffer.from(typeof value === 'string' ? value : JSON.stringify(value)).toString('base64'), ver: this._version,
		});
		this._wakePolls();
	}

	deleteRow(table: string, key: string): void {
		this._version++;
		this.rows.set(`${table}/${key}`, {
			table, part: '', key, ver: this._version, deleted: true,
		});
		this._wakePolls();
	}

	private _wakePolls(): void {
		for (const wake of this._pendingPolls) {
			wake();
		}
	}

	private async _serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
		this.calls++;
		const url = new URL(request.url ?? '/', 'http://store');
		const body = await readText(request);
		if (this.fault === 'silent') {
			return;
		}

		if (this.fault === 'busy') {
			response.writeHead(503).end();
			return;
		}

		const table = url.searchParams.get('table') ?? '';
		if (url.pathname === '/v1/rows-tx') {
			this._transact(JSON.parse(body) as {expected: Row[]; puts: Row[]; deletes: Row[]}, response);
		} else if (url.pathname === '/v1/rows-get') {
			const from = url.searchParams.get('from') ?? '';
			const to = url.searchParams.get('to') ?? '\u{10FFFF}';
			this._answer(response, 200, {rows: this._rowsOf(table).filter(row => !row.deleted && row.key >= from && row.key < to), hasMore: false});
		} else {
			await this._feed(url, table, response);
		}
	}

	private async _feed(url: URL, table: string, response: ServerResponse): Promise<void> {
		if (this.arePollsSilent && Number(url.searchParams.get('waitMs') ?? 0) > 0) {
			return;
		}

		const after = Number(url.searchParams.get('after'));
		if (this.isCompacted) {
			this.isCompacted = false;
			response.writeHead(410).end('{}');
			return;
		}

		const endMs = Date.now() + Number(url.searchParams.get('waitMs') ?? 0);
		let rows = this._rowsOf(table).filter(({ver}) => ver > after);
		while (rows.length === 0 && Date.now() < endMs && !response.destroyed) {
			await new Promise<void>(resolve => {
				const wake = () => {
					clearTimeout(timer);
					this._pendingPolls.delete(wake);
					resolve();
				};

				const timer = setTimeout(wake, Math.max(1, endMs - Date.now()));
				this._pendingPolls.add(wake);
			});
			rows = this._rowsOf(table).filter(({ver}) => ver > after);
		}

		this._answer(response, 200, {rows});
	}

	private _transact({expected, puts, deletes}: {expected: Row[]; puts: Row[]; deletes: Row[]}, response: ServerResponse): void {
		const current = expected.map(({table, key}) => this.rows.get(`${table}/${key}`)).map(row => row?.deleted ? undefined : row);
		if (expected.some(({ver}, index) => (current[index]?.ver ?? 0) !== ver)) {
			this._answer(response, 412, {rows: current.filter(row => row !== undefined)});
			return;
		}

		this._version++;
		for (const row of puts) {
			this.rows.set(`${row.table}/${row.key}`, {...row, ver: this._version});
		}

		for (const row of deletes) {
			this.rows.set(`${row.table}/${row.key}`, {...row, deleted: true, ver: this._version});
		}

		this._wakePolls();
		this._answer(response, 200, {});
	}

	private _rowsOf(table: string): Row[] {
		return [...this.rows.values()].filter(row => row.table === table).toSorted((a, b) => a.ver - b.ver);
	}

	private _answer(response: ServerResponse, status: number, document: object): void {
		response.writeHead(status, {'content-type': 'application/json'}).end(JSON.stringify({...document, ver: this._version, nowMs: Date.now()}));
	}
}

/** Pause of a sound runner between two events. */
const PAUSE_MS = 1100;

/**
How a runner handles one request; `answer` sends a complete response, `pause` one with a long pause after its first event,
`close-delimited` one that ends with its connection, `close-inside` a stream that ends so inside an event, `close-down` a part of an
answer, or some whole events, with which the runner ends; `close-listener` as `close-delimited`, at a runner that accepts no more connections. `decline-twice` turns the request away and writes that response once more where the next one on the connection is due. `408`, `429` and `503`
run the request and answer with that status, without a statement that it did not run.
*/
export type RunnerBehaviour = 'answer' | 'decline' | 'decline-twice' | '408' | '429' | '503' | 'error' | 'unsigned-error' | 'nameless-error' | 'reset' | 'truncate' | 'foreign' | 'unsigned' | 'break-event' | 'unframed' | 'close-delimited' | 'close-inside' | 'close-down' | 'close-listener' | 'hang' | 'pause' | 'comment-stream' | EndlessKind;

const connectionEnds: ReadonlySet<RunnerBehaviour> = new Set(['close-delimited', 'close-inside', 'close-down', 'close-listener']);

export type ReceivedRequest = {
	readonly method: string;
	readonly path: string;
	readonly headers: Readonly<Record<string, string | string[] | undefined>>;
	readonly body: string;
	/** Tells connections apart. */
	readonly remotePort: number | undefined;
};

export class FakeRunner {
	readonly receivedRequests: ReceivedRequest[] = [];
	/** Behaviours of the next requests, one each; further requests are answered. */
	behaviours: RunnerBehaviour[] = [];
	readonly orders: Array<Record<string, unknown>> = [];
	models: Array<{name: string; version: number; adapters: string[]}> = [];
	events = 5;
	/** Version of its software. */
	version = 'v1';
	/** Rate limit that its responses name. */
	requestsPerSecond: number | undefined;
	sequence = 0;
	/** Number of requests whose connection was closed before the response was complete. */
	abortedRequests = 0;
	/** Speed of answers without end. */
	pace: Pace = 'fast';
	/** Number of connections on which an answer without end is being sent. */
	openEndless = 0;
	address = '';
	/** Changes with every start. */
	born = 1;
	/** A part of a prompt on which it crashes when it begins to answer. */
	crashesOn: string | undefined;
	onCrash: () => void = () => undefined;
	/** Second copies of responses, by the connection on which they are due. */
	private readonly _lateCopies = new WeakMap<Socket, string>();
	private readonly _server = createServer((request, response) => {
		void this._serve(request, response);
	});

	constructor(readonly id: string) {}

	async start(): Promise<this> {
		this.address = await listen(this._server);
		return this;
	}

	stop(): void {
		this._server.closeAllConnections();
		this._server.close();
	}

	/** Closes all connections and accepts none until it is started again. */
	crash(): void {
		if (this._server.listening) {
			this._server.close();
			this._server.closeAllConnections();
			this.onCrash();
		}
	}

	/** Starts again at the same address. */
	async restart(): Promise<void> {
		if (this._server.listening) {
			return;
		}

		this.born++;
		await listen(this._server, Number(this.address.split(':')[1]));
	}

	entry(service: string, zone: string): Record<string, unknown> {
		return {
			service, address: this.address, zone, version: this.version, slots: 8, state: 'ready', coldLeftMs: 0, seq: this.sequence, born: this.born, models: this.models,
		};
	}

	private async _serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const body = await readText(request);
		const path = request.url ?? '/';
		if (path === '/v1/report') {
			response.writeHead(200, {'content-type': 'application/json'}).end(JSON.stringify({
				stage: 'colocated', models: this.models, busy: false, seq: this.sequence, queued: 0, running: 0, born: this.born,
			}));
			return;
		}

		if (path === '/v1/order') {
			this._order(JSON.parse(body) as Record<string, unknown>, response);
			return;
		}

		this.receivedRequests.push({
			method: request.method ?? '', path, headers: request.headers, body, remotePort: request.socket.remotePort,
		});
		response.on('close', () => {
			this.abortedRequests += response.writableFinished ? 0 : 1;
		});
		const parts = String(request.headers['x-pollenarch-prompt-prefix'] ?? '').split(',').map(part => part.split(':')[0]);
		if (this.crashesOn !== undefined && parts.includes(this.crashesOn)) {
			this.crash();
			return;
		}

		const lateCopy = this._lateCopies.get(request.socket);
		if (lateCopy !== undefined) {
			this._lateCopies.delete(request.socket);
			request.socket.write(lateCopy);
		}

		this._respond(this.behaviours.shift() ?? 'answer', request, response);
	}

	private _order(order: Record<string, unknown>, response: ServerResponse): void {
		this.orders.push(order);
		if (order.expected !== this.sequence) {
			response.writeHead(409).end();
			return;
		}

		this.sequence++;
		const model = this.models.find(({name}) => name === order.model);
		if (typeof order.adapter === 'string') {
			model?.adapters.push(order.adapter);
		}

		response.writeHead(202).end();
	}

	private _respond(behaviour: RunnerBehaviour, request: IncomingMessage, response: ServerResponse): void {
		const {socket} = request;
		const headers = {
			'x-pollenarch-request-id': behaviour === 'foreign' ? 'another' : request.headers['x-pollenarch-request-id'] ?? '',
			...(this.requestsPerSecond === undefined ? {} : {'server-limit': String(this.requestsPerSecond)}),
			...(behaviour === 'unsigned' ? {} : {'x-pollenarch-server-signature': `signed by ${this.id}`}),
		};
		switch (behaviour) {
			case 'decline': {
				response.writeHead(503, {...headers, 'x-pollenarch-not-executed': '1'}).end();

				break;
			}

			case 'decline-twice': {
				const id = String(headers['x-pollenarch-request-id']);
				this._lateCopies.set(socket, `HTTP/1.1 503 Service Unavailable\r\nX-Pollenarch-Request-Id: ${id}\r\nX-Pollenarch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n`);
				response.writeHead(503, {...headers, 'x-pollenarch-not-executed': '1'}).end();

				break;
			}

			case '408':
			case '429':
			case '503': {
				response.writeHead(Number(behaviour), headers).end(`ran at ${this.id}`);

				break;
			}

			case 'error': {
				response.writeHead(500, headers).end(`error of ${this.id}`);

				break;
			}

			case 'unsigned-error': {
				response.writeHead(500, {'x-pollenarch-request-id': String(headers['x-pollenarch-request-id'])}).end('failed');

				break;
			}

			case 'nameless-error': {
				response.writeHead(500).end('of another request');

				break;
			}

			case 'reset': {
				socket.resetAndDestroy();

				break;
			}

			case 'unframed': {
				const lines = Object.entries(headers).map(([name, value]) => `${name}: ${String(value)}\r\n`).join('');
				socket.write(`HTTP/1.1 200 OK\r\nConnection: close\r\n${lines}\r\npart of the an`, () => {
					setTimeout(() => {
						socket.resetAndDestroy();
					}, 20);
				});
				break;
			}

			case 'hang': {
				break;
			}

			case 'comment-stream': {
				response.writeHead(200, {...headers, 'content-type': 'text/event-stream'});
				response.end(':\n\n: waiting\n\nid: 1\ndata: a\n\n:\n\nid: 2\ndata: b\n\n:\n\n');

				break;
			}

			default: {
				if (connectionEnds.has(behaviour)) {
					this._answerUntilClose(behaviour, {request, socket, headers});
					break;
				}

				if (behaviour in endlessAnswers) {
					void this._sendWithoutEnd(socket, behaviour as EndlessKind, headers);
					break;
				}

				this._answer(behaviour, {request, response, headers});
			}
		}
	}

	/** Sends a response with neither a length nor chunks. */
	private _answerUntilClose(behaviour: RunnerBehaviour, {request, socket, headers}: {request: IncomingMessage; socket: Socket; headers: Record<string, string | string[]>}): void {
		const isStream = request.headers['x-pollenarch-token-usage'] !== undefined;
		const first = Number(request.headers['last-event-id'] ?? 0) + 1;
		const isWhole = behaviour === 'close-delimited' || behaviour === 'close-listener';
		const last = isWhole ? this.events : first + 1;
		const events = Array.from({length: Math.max(0, last - first + 1)}, (_, index) => `id: ${first + index}\ndata: token ${first + index}\n\n`).join('');
		const body = isStream ? events + (behaviour === 'close-inside' ? `id: ${last + 1}\ndata: tok` : '') : `answer of ${this.id} to ${String(headers['x-pollenarch-request-id'])}`;
		const lines = Object.entries(headers).map(([name, value]) => `${name}: ${String(value)}\r\n`).join('');
		const answer = `HTTP/1.1 200 OK\r\nConnection: close\r\n${isStream ? 'Content-Type: text/event-stream\r\n' : ''}${lines}\r\n`;
		if (behaviour === 'close-down') {
			socket.write(answer + (isStream ? body : body.slice(0, 6)), () => {
				this.crash();
			});
			return;
		}

		if (behaviour === 'close-listener') {
			this._server.close();
		}

		socket.end(answer + body);
	}

	private async _sendWithoutEnd(socket: Socket, kind: EndlessKind, headers: Readonly<Record<string, string | string[]>>): Promise<void> {
		this.openEndless++;
		await sendWithoutEnd(socket, endlessAnswers[kind], {
			headers: Object.entries(headers).map(([name, value]) => `${name}: ${String(value)}\r\n`).join(''), pace: this.pace,
		});
		this.openEndless--;
	}

	private _answer(behaviour: RunnerBehaviour, {request, response, headers}: {request: IncomingMessage; response: ServerResponse; headers: Record<string, string | string[]>}): void {
		if (request.headers['x-pollenarch-token-usage'] === undefined) {
			const body = `answer of ${this.id} to ${String(headers['x-pollenarch-request-id'])}`;
			response.writeHead(200, {...headers, 'content-length': body.length});
			if (behaviour === 'truncate') {
				response.write(body.slice(0, 5), () => response.destroy());
				return;
			}

			response.end(body);
			return;
		}

		response.writeHead(200, {...headers, 'content-type': 'text/event-stream'});
		const first = Number(request.headers['last-event-id'] ?? 0) + 1;
		if (behaviour === 'pause') {
			response.write(`id: ${first}\ndata: token ${first}\n\n`);
			setTimeout(() => {
				this._sendEvents(response, first + 1);
			}, PAUSE_MS);
			return;
		}

		const isBroken = behaviour === 'truncate' || behaviour === 'break-event';
		if (!isBroken) {
			this._sendEvents(response, first);
			return;
		}

		for (let id = first; id <= first + 1; id++) {
			response.write(`id: ${id}\ndata: token ${id}\n\n`);
		}

		response.write(behaviour === 'break-event' ? `id: ${first + 2}\nda` : ':\n\n', () => {
			setTimeout(() => socketOf(response)?.destroy(), 20);
		});
	}

	private _sendEvents(response: ServerResponse, first: number): void {
		for (let id = first; id <= this.events; id++) {
			response.write(`id: ${id}\ndata: token ${id}\n\n`);
		}

		response.end();
	}
}

function socketOf(response: ServerResponse): Socket | null {
	return response.socket;
}
