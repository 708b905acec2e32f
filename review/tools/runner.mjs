/* eslint-disable no-await-in-loop, no-void -- the steps of a play follow each other, and some go on beside them */
/**
Stand-ins for runners over HTTP/1.1 on raw sockets, as PROTOCOL.md describes them: a plain
service with slots and a short queue, and a model runner that takes orders for adapters.
They note each request and order that arrives, and when they begin to run it.
*/
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:net';

const HEARTBEAT_MS = 1200;
const HEAD_END = '\r\n\r\n';

/** Splits what arrives on a connection into requests with a length or without a body. */
class RequestReader {
	#buffer = Buffer.alloc(0);

	push(chunk) {
		this.#buffer = Buffer.concat([this.#buffer, chunk]);
		const requests = [];
		for (let request = this.#next(); request; request = this.#next()) {
			requests.push(request);
		}

		return requests;
	}

	#next() {
		const end = this.#buffer.indexOf(HEAD_END);
		if (end === -1) {
			return undefined;
		}

		const [first, ...lines] = this.#buffer.subarray(0, end).toString('latin1').split('\r\n');
		const [method, path] = first.split(' ');
		const headers = Object.fromEntries(lines.map(line => {
			const colon = line.indexOf(':');
			return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
		}));
		const length = Number(headers['content-length'] ?? 0);
		const total = end + HEAD_END.length + length;
		if (this.#buffer.length < total) {
			return undefined;
		}

		const body = this.#buffer.subarray(end + HEAD_END.length, total).toString('utf8');
		this.#buffer = this.#buffer.subarray(total);
		return {
			method, path, headers, body,
		};
	}
}

export function answerBytes(status, headers, body = '') {
	const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join('');
	return `HTTP/1.1 ${status} ${status === 200 ? 'OK' : 'Other'}\r\n${lines}Content-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`;
}

class Runner {
	state = 'ready';
	seq = 0;
	born = Date.now();
	arrivals = [];
	runs = [];
	sockets = new Set();
	#timer;
	#server = createServer({noDelay: true}, socket => {
		this.#accept(socket);
	});

	constructor({
		id, service, zone, slots, store, record,
	}) {
		Object.assign(this, {
			id, service, zone, slots, store, record,
		});
	}

	async start() {
		this.#server.listen(0, '127.0.0.1');
		await once(this.#server, 'listening');
		this.address = `127.0.0.1:${this.#server.address().port}`;
		this.register();
		this.#timer = setInterval(() => {
			this.register();
		}, HEARTBEAT_MS);
		return this;
	}

	stop() {
		clearInterval(this.#timer);
		this.#server.close();
		for (const socket of this.sockets) {
			socket.destroy();
		}
	}

	register() {
		if (this.store.isAway) {
			return;
		}

		this.store.put('servers', this.id, {
			service: this.service, address: this.address, zone: this.zone, version: 'v1', slots: this.slots, state: this.state, coldLeftMs: 0, seq: this.seq, born: this.born, ...this.description(),
		});
	}

	description() {
		return {};
	}

	#accept(socket) {
		const reader = new RequestReader();
		const connection = {
			socket, waiting: [], isBusy: false, number: this.sockets.size,
		};
		this.sockets.add(socket);
		socket.on('error', () => undefined);
		socket.on('close', () => {
			this.sockets.delete(socket);
			this.onClosed?.(connection);
		});
		socket.on('data', chunk => {
			connection.waiting.push(...reader.push(chunk));
			void this.#serve(connection);
		});
	}

	async #serve(connection) {
		if (connection.isBusy) {
			return;
		}

		connection.isBusy = true;
		while (connection.waiting.length > 0) {
			await this.handle(connection.waiting.shift(), connection);
		}

		connection.isBusy = false;
	}

	send({socket}, text) {
		if (!socket.destroyed) {
			socket.write(text);
		}
	}

	/** Answers a request that names another runner. */
	isMisdirected({headers}, connection) {
		const named = headers['x-pollenarch-target-instance'];
		if (named === undefined || named === this.id) {
			return false;
		}

		this.send(connection, answerBytes(421, {'X-Pollenarch-Instance-Id': this.id, 'X-Pollenarch-Request-Id': headers['x-pollenarch-request-id'] ?? ''}));
		return true;
	}
}

/** A plain service: runs `slots` requests at once, queues a few more and turns others away. */
export class PlainRunner extends Runner {
	queue = [];
	running = 0;
	/** Requests from elsewhere that take its slots and its queue, so that it is full. */
	isFull = false;
	/** Called for each answer with its bytes; may return bytes that are sent where the next answer on the connection is due. */
	extraAnswer = () => undefined;
	#extras = new Map();

	constructor({workMs = 40, queueLength = 24, ...options}) {
		super(options);
		this.workMs = workMs;
		this.queueLength = queueLength;
	}

	loadHeader() {
		const running = this.isFull ? this.slots : this.running;
		const waiting = this.isFull ? this.queueLength : this.queue.length;
		return `${running},${waiting},${this.slots}`;
	}

	async handle(request, connection) {
		const {headers, path} = request;
		const id = headers['x-pollenarch-request-id'] ?? '';
		if (this.isMisdirected(request, connection)) {
			return;
		}

		const late = this.#extras.get(connection);
		if (late !== undefined) {
			this.#extras.delete(connection);
			this.record.add('runner-late-copy', {runner: this.id, before: id});
			this.send(connection, late);
		}

		this.arrivals.push({id, path});
		this.record.add('runner-received', {
			runner: this.id, id, path, connection: connection.socket.remotePort,
		});
		if (this.isFull || (this.running >= this.slots && this.queue.length >= this.queueLength)) {
			this.record.add('runner-declined', {runner: this.id, id});
			this.answer(connection, answerBytes(503, {'X-Pollenarch-Request-Id': id, 'X-Pollenarch-Not-Executed': '1', 'X-Pollenarch-Server-Load': this.loadHeader()}));
			return;
		}

		if (this.running >= this.slots) {
			await new Promise(resolve => {
				this.queue.push(resolve);
			});
		}

		this.running++;
		this.runs.push({id, path});
		this.record.add('runner-ran', {runner: this.id, id, path});
		await new Promise(resolve => {
			setTimeout(resolve, this.workMs);
		});
		this.running--;
		this.queue.shift()?.();
		this.answer(connection, answerBytes(200, {'X-Pollenarch-Request-Id': id, 'X-Pollenarch-Server-Signature': `signed.${this.id}`, 'X-Pollenarch-Server-Load': this.loadHeader()}, `${this.id} ran ${id}`));
	}

	answer(connection, bytes) {
		this.send(connection, bytes);
		const extra = this.extraAnswer(bytes);
		if (extra !== undefined) {
			this.#extras.set(connection, extra);
		}
	}
}

/** A model runner that holds one model, with places for a few of its adapters. */
export class ModelRunner extends Runner {
	adapters = new Set();
	orders = [];
	inUse = new Map();

	constructor({model, adapterSlots, events = 4, ...options}) {
		super(options);
		Object.assign(this, {model, adapterSlots, events});
	}

	description() {
		return {stage: 'colocated', models: [{name: this.model, version: 1, adapters: [...this.adapters]}]};
	}

	async handle(request, connection) {
		const {method, path, headers, body} = request;
		if (this.isMisdirected(request, connection)) {
			return;
		}

		if (path === '/v1/report') {
			this.send(connection, answerBytes(200, {'Content-Type': 'application/json'}, JSON.stringify({
				...this.description(), busy: false, seq: this.seq, queued: 0, running: 0, kvUsed: 0, kvTotal: 90_000, handles: 0, coming: [], born: this.born,
			})));
		} else if (method === 'POST' && path === '/v1/order') {
			this.order(JSON.parse(body), connection);
		} else {
			await this.run(request, connection, headers);
		}
	}

	order(order, connection) {
		const status = this.take(order);
		this.orders.push({...order, status, atMs: this.record.nowMs()});
		this.record.add('runner-order', {runner: this.id, status, ...order});
		this.send(connection, answerBytes(status, {}));
	}

	take({opType, model, adapter, expected, holder, fencingToken}) {
		if (holder === undefined || fencingToken === undefined || model !== this.model || adapter === undefined) {
			return 400;
		}

		if (expected !== undefined && expected !== this.seq) {
			return 409;
		}

		if (opType === 'loading') {
			if (this.adapters.has(adapter)) {
				return 200;
			}

			this.seq++;
			this.adapters.add(adapter);
			if (this.adapters.size > this.adapterSlots) {
				this.record.add('runner-overloaded', {runner: this.id, adapters: this.adapters.size});
			}

			return 202;
		}

		if (!this.adapters.has(adapter)) {
			return 200;
		}

		this.seq++;
		this.adapters.delete(adapter);
		return 200;
	}

	async run({headers}, connection) {
		const id = headers['x-pollenarch-request-id'] ?? '';
		const [, adapter] = (headers['x-pollenarch-model'] ?? '').split('/');
		this.arrivals.push({id});
		if (adapter !== undefined && !this.adapters.has(adapter)) {
			this.send(connection, answerBytes(421, {'X-Pollenarch-Instance-Id': this.id, 'X-Pollenarch-Request-Id': id}));
			return;
		}

		this.runs.push({id});
		const first = Number(headers['last-event-id'] ?? 0) + 1;
		this.send(connection, `HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Pollenarch-Request-Id: ${id}\r\nX-Pollenarch-Server-Signature: signed.${this.id}\r\nTransfer-Encoding: chunked\r\n\r\n`);
		for (let event = first; event <= this.events; event++) {
			await new Promise(resolve => {
				setTimeout(resolve, 10);
			});
			const text = `id: ${event}\ndata: token\n\n`;
			this.send(connection, `${text.length.toString(16)}\r\n${text}\r\n`);
		}

		this.send(connection, '0\r\n\r\n');
	}
}
