
/**
Stand-in for the platform's metadata store: rows with versions, conditional transactions,
reads and feeds, as PROTOCOL.md describes them. It can return from an older copy of itself,
with `Store-Era` in all answers. Instances reach it through paths of their own, each of
which can be cut like a network path: open connections hold their bytes back, and new ones
get no answer; when the path is whole again, held bytes go on, except those of connections
that their sender has reset.
*/
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer as createHttpServer} from 'node:http';
import {connect, createServer} from 'node:net';
import {performance} from 'node:perf_hooks';

const HISTORY_MAX = 20_000;
const ANSWER_MS = 4;

export class Store {
	version = 1;
	era = 0;
	isAway = false;
	rows = new Map();
	feed = [];
	/** Called for each transaction of the system. */
	onTransaction = () => undefined;
	#pollers = new Set();
	#sendsEra;
	#server = createHttpServer((request, response) => {
		this.#serve(request, response);
	});

	constructor({sendsEra = false} = {}) {
		this.#sendsEra = sendsEra;
	}

	async start() {
		this.#server.listen(0, '127.0.0.1');
		await once(this.#server, 'listening');
		this.port = this.#server.address().port;
		return this;
	}

	stop() {
		this.#server.closeAllConnections();
		this.#server.close();
	}

	/** Writes of operators and runners. */
	put(table, key, value) {
		this.#write([{
			table, part: '', key, value: Buffer.from(JSON.stringify(value)).toString('base64'),
		}], []);
	}

	drop(table, key) {
		this.#write([], [{table, part: '', key}]);
	}

	read(table, key) {
		const row = this.rows.get(`${table}\0${key}`);
		return row && JSON.parse(Buffer.from(row.value, 'base64').toString('utf8'));
	}

	copy() {
		return {version: this.version, rows: new Map(this.rows), feed: [...this.feed]};
	}

	/** Comes back from an older copy: what was written since is gone, and versions are given out again. */
	restore({version, rows, feed}) {
		this.version = version;
		this.rows = new Map(rows);
		this.feed = [...feed];
		this.era++;
		this.#wake();
	}

	#write(puts, deletes) {
		this.version++;
		for (const {table, part, key, value} of puts) {
			const row = {
				table, part: part ?? '', key, value, ver: this.version,
			};
			this.rows.set(`${table}\0${key}`, row);
			this.feed.push(row);
		}

		for (const {table, part, key} of deletes) {
			this.rows.delete(`${table}\0${key}`);
			this.feed.push({
				table, part: part ?? '', key, ver: this.version, deleted: true,
			});
		}

		if (this.feed.length > HISTORY_MAX) {
			this.feed.splice(0, this.feed.length - HISTORY_MAX);
		}

		this.#wake();
	}

	#wake() {
		for (const wake of this.#pollers) {
			wake();
		}
	}

	#serve(request, response) {
		const chunks = [];
		request.on('data', chunk => {
			chunks.push(chunk);
		});
		request.on('end', () => {
			setTimeout(() => {
				this.#handle(request, response, Buffer.concat(chunks).toString('utf8'));
			}, ANSWER_MS);
		});
	}

	#handle(request, response, body) {
		if (this.isAway) {
			request.socket.destroy();
			return;
		}

		const url = new URL(request.url, 'http://store');
		switch (url.pathname) {
			case '/v1/rows-tx': {
				this.#transact(JSON.parse(body), response);

				break;
			}

			case '/v1/rows-get': {
				this.#get(url.searchParams, response);

				break;
			}

			case '/v1/rows-feed': {
				this.#follow(url.searchParams, response);

				break;
			}

			default: {
				response.writeHead(404).end();
			}
		}
	}

	#transact({expected = [], puts = [], deletes = []}, response) {
		const current = expected.map(({table, key}) => this.rows.get(`${table}\0${key}`));
		const isMet = expected.every(({ver}, index) => (current[index]?.ver ?? 0) === ver);
		this.onTransaction({
			expected, puts, deletes, isMet,
		});
		if (!isMet) {
			this.#answer(response, 412, {rows: current.filter(Boolean)});
			return;
		}

		this.#write(puts, deletes);
		this.#answer(response, 200, {});
	}

	#get(query, response) {
		const from = query.get('from') ?? '';
		const to = query.get('to');
		const rows = [...this.rows.values()]
			.filter(({table, key}) => table === query.get('table') && key >= from && (to === null || key < to))
			.sort((a, b) => a.key < b.key ? -1 : 1);
		const limit = Math.min(500, Number(query.get('limit') ?? 500));
		this.#answer(response, 200, {rows: rows.slice(0, limit), hasMore: rows.length > limit});
	}

	#follow(query, response) {
		const table = query.get('table');
		const after = Number(query.get('after'));
		const endMs = performance.now() + Math.min(30_000, Number(query.get('waitMs') ?? 0));
		const {era} = this;
		const attempt = () => {
			if (after > this.version || era !== this.era) {
				this.#answer(response, 410, {});
				return true;
			}

			const rows = this.feed.filter(row => row.table === table && row.ver > after);
			if (rows.length > 0 || performance.now() >= endMs) {
				this.#answer(response, 200, {rows, hasMore: false});
				return true;
			}

			return false;
		};

		if (attempt()) {
			return;
		}

		const end = () => {
			clearTimeout(timer);
			this.#pollers.delete(wake);
		};

		const wake = () => {
			if (attempt()) {
				end();
			}
		};

		const timer = setTimeout(wake, Math.max(1, endMs - performance.now() + 1));
		this.#pollers.add(wake);
		response.once('close', end);
	}

	#answer(response, status, document) {
		if (response.destroyed) {
			return;
		}

		response.writeHead(status, {'content-type': 'application/json', ...(this.#sendsEra && {'store-era': String(this.era)})});
		response.end(JSON.stringify({...document, ver: this.version, nowMs: Math.round(performance.now())}));
	}
}

/** A network path to a server. */
export class Path {
	isCut = false;
	#pairs = new Set();
	#port;
	#server = createServer({allowHalfOpen: true}, socket => {
		this.#accept(socket);
	});

	constructor(port) {
		this.#port = port;
	}

	async start() {
		this.#server.listen(0, '127.0.0.1');
		await once(this.#server, 'listening');
		this.address = `127.0.0.1:${this.#server.address().port}`;
		return this;
	}

	cut() {
		this.isCut = true;
	}

	heal() {
		this.isCut = false;
		for (const pair of this.#pairs) {
			for (const step of pair.held.splice(0)) {
				step();
			}
		}
	}

	stop() {
		this.#server.close();
		for (const {near, far} of this.#pairs) {
			near.destroy();
			far?.destroy();
		}
	}

	#accept(near) {
		const pair = {near, far: undefined, held: []};
		this.#pairs.add(pair);
		this.#pass(pair, () => {
			this.#connect(pair);
		});
		near.on('error', () => undefined);
		near.on('data', chunk => {
			this.#pass(pair, () => pair.far?.write(chunk));
		});
		near.on('end', () => {
			this.#pass(pair, () => pair.far?.end());
		});
		near.on('close', () => {
			// What was held back on a connection that its sender has closed or reset is lost.
			pair.far?.destroy();
			this.#pairs.delete(pair);
		});
	}

	/** Does a step of a connection now, or when the path is whole again. */
	#pass({held}, step) {
		if (this.isCut || held.length > 0) {
			held.push(step);
		} else {
			step();
		}
	}

	#connect(pair) {
		const {near} = pair;
		pair.far = connect({port: this.#port, host: '127.0.0.1', allowHalfOpen: true});
		pair.far.on('error', () => undefined);
		pair.far.on('data', chunk => {
			this.#pass(pair, () => near.write(chunk));
		});
		pair.far.on('end', () => {
			this.#pass(pair, () => near.end());
		});
		pair.far.on('close', () => {
			this.#pass(pair, () => near.destroy());
		});
	}
}
