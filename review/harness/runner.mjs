/**
Stand-in for a runner of the platform, after the users' page PROTOCOL.md. It registers
itself in the store, runs as many requests at once as it has slots, queues a few more, and
drops a request whose channel closes. Everything that reaches it is noted.
*/
/* eslint-disable no-void -- the promise is not awaited on purpose */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {performance} from 'node:perf_hooks';

const HEARTBEAT_MS = 1200;

export class Runner {
	arrivals = [];
	orders = [];
	/** Called for each request that begins to run; what it returns replaces the usual way to answer. */
	behaviour = () => undefined;
	state = 'ready';
	born = Date.now();
	sequence = 0;
	busy = false;
	#running = 0;
	#queue = [];
	#server;
	#timer;
	#sockets = new Set();

	constructor({
		id, store, service, zone = 'one', slots = 8, queue = 24, workMs = 20, events = 20, pauseMs = 30, version = '1', models = [], loadMs = 840,
	}) {
		Object.assign(this, {
			id, store, service, zone, slots, queue, workMs, events, pauseMs, version, models, loadMs,
		});
		this.onDisk = models.map(({name}) => name);
	}

	async start(port = 0) {
		this.#server = createServer((request, response) => {
			void this.#serve(request, response);
		});
		this.#server.keepAliveTimeout = 5000;
		this.#server.on('connection', socket => {
			this.#sockets.add(socket);
			socket.on('close', () => this.#sockets.delete(socket));
			socket.on('error', () => undefined);
		});
		await new Promise((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(port, '127.0.0.1', resolve);
		});
		this.address = `127.0.0.1:${this.#server.address().port}`;
		this.publishedAddress ??= this.address;
		this.register();
		this.#timer = setInterval(() => {
			this.register();
		}, HEARTBEAT_MS);
		return this;
	}

	register() {
		if (this.hasLeft) {
			return;
		}

		this.store.put('servers', this.id, {
			service: this.service, address: this.publishedAddress, zone: this.zone, version: this.version, slots: this.slots, state: this.state, coldLeftMs: 0, seq: this.sequence, born: this.born, models: this.models, atHand: {inMemory: [], onDisk: this.onDisk},
		});
	}

	/** Its entry is removed, and it goes on serving. */
	leave() {
		clearInterval(this.#timer);
		this.hasLeft = true;
		this.store.drop('servers', this.id);
	}

	/** Ends at once; all channels are reset or, with `isQuiet`, closed in the regular way. */
	crash({isQuiet = false} = {}) {
		clearInterval(this.#timer);
		this.#server.close();
		for (const socket of this.#sockets) {
			if (isQuiet) {
				socket.destroy();
			} else {
				socket.resetAndDestroy();
			}
		}

		this.#running = 0;
		this.#queue = [];
	}

	/** Starts again at its address as a new lifetime, with nothing of before but its disk. */
	async restart({sameId = true, version = this.version} = {}) {
		this.born = Date.now();
		this.sequence = 0;
		this.models = [];
		this.busy = false;
		this.state = 'ready';
		this.version = version;
		this.id = sameId ? this.id : `${this.id}-again`;
		await this.start(Number(this.address.split(':')[1]));
	}

	close() {
		clearInterval(this.#timer);
		this.#server.close();
		this.#server.closeAllConnections();
	}

	#note(kind, request, more = {}) {
		const entry = {
			atMs: performance.now(), kind, runner: this.id, id: request.headers['x-pollenarch-request-id'], path: request.url, ...more,
		};
		this.arrivals.push(entry);
		return entry;
	}

	async #serve(request, response) {
		const chunks = [];
		try {
			for await (const chunk of request) {
				chunks.push(chunk);
			}
		} catch {
			return;
		}

		const body = Buffer.concat(chunks);
		if (request.url === '/v1/report') {
			response.writeHead(200, {'content-type': 'application/json'}).end(JSON.stringify({
				stage: 'colocated', models: this.models, busy: this.busy, seq: this.sequence, queued: this.#queue.length, running: this.#running, kvUsed: 0, kvTotal: 159_020, handles: 0, born: this.born, atHand: {inMemory: [], onDisk: this.onDisk},
			}));
			return;
		}

		const target = request.headers['x-pollenarch-target-instance'];
		if (target !== undefined && target !== this.id) {
			response.writeHead(421, this.#headers(request)).end();
			return;
		}

		if (request.url === '/v1/order') {
			this.#order(JSON.parse(body.toString('utf8')), response);
			return;
		}

		this.#note('arrive', request, {deadlineMs: request.headers['x-pollenarch-request-deadline']});
		const model = request.headers['x-pollenarch-model'];
		if (model !== undefined && !this.models.some(({name}) => name === model)) {
			response.writeHead(421, this.#headers(request)).end();
			return;
		}

		if (this.#running < this.slots) {
			void this.#run(request, response, body);
		} else if (this.#queue.length < this.queue) {
			this.#queue.push({request, response, body});
		} else {
			response.writeHead(503, {...this.#headers(request), 'x-pollenarch-not-executed': '1'}).end();
		}
	}

	#headers(request) {
		return {
			'x-pollenarch-request-id': request.headers['x-pollenarch-request-id'] ?? '', 'x-pollenarch-server-signature': `${this.id}.${this.born}`, 'x-pollenarch-server-load': `${this.#running},${this.#queue.length},${this.slots}`,
		};
	}

	#order(order, response) {
		const status = this.#accept(order);
		this.orders.push({
			atMs: performance.now(), runner: this.id, ...order, status,
		});
		response.writeHead(status).end();
	}

	#accept({opType, model, adapter, expected}) {
		const holds = this.models.some(({name}) => name === model);
		if (this.busy || (expected !== undefined && expected !== this.sequence)) {
			return 409;
		}

		if (adapter !== undefined || (opType === 'unloading' && !holds)) {
			return 400;
		}

		if (opType === 'loading' && holds) {
			return 200;
		}

		this.sequence++;
		this.busy = true;
		const {born} = this;
		setTimeout(() => {
			if (this.born !== born) {
				return;
			}

			this.busy = false;
			this.models = opType === 'loading' ? [...this.models, {name: model, version: 1, adapters: []}] : this.models.filter(({name}) => name !== model);
			this.register();
		}, opType === 'loading' ? this.loadMs : 0);
		return 202;
	}

	async #run(request, response, body) {
		this.#running++;
		const bornThen = this.born;
		let isOver = false;
		const end = kind => {
			if (isOver) {
				return;
			}

			isOver = true;
			this.#note(kind, request);
			if (bornThen === this.born) {
				this.#running--;
				this.#next();
			}
		};

		this.#note('run', request, {body: body.length});
		response.on('close', () => {
			end(response.writableFinished ? 'end' : 'drop');
		});
		const headers = this.#headers(request);
		if (await this.behaviour({
			request, response, body, headers, runner: this,
		}) === 'handled' || response.destroyed) {
			return;
		}

		if (request.headers.accept === 'text/event-stream') {
			this.#stream(request, response, headers);
			return;
		}

		setTimeout(() => {
			const text = `answer to ${request.headers['x-pollenarch-request-id']} ${request.method} ${request.url} ${body.length}`;
			response.writeHead(200, {...headers, 'content-type': 'text/plain', 'content-length': text.length}).end(text);
		}, this.workMs);
	}

	#stream(request, response, headers) {
		let id = Number(request.headers['last-event-id'] ?? 0);
		response.writeHead(200, {...headers, 'content-type': 'text/event-stream'});
		const timer = setInterval(() => {
			id++;
			response.write(`id: ${id}\ndata: ${this.version} ${request.url} event ${id}\n\n`);
			if (id >= this.events) {
				clearInterval(timer);
				response.end();
			}
		}, this.pauseMs);
		response.on('close', () => {
			clearInterval(timer);
		});
	}

	#next() {
		for (let next = this.#queue.shift(); next; next = this.#queue.shift()) {
			if (!next.response.destroyed) {
				void this.#run(next.request, next.response, next.body);
				return;
			}
		}
	}
}
