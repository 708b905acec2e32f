/**
Stand-in for the platform's store, after the users' page PROTOCOL.md: rows with versions,
conditional transactions, a feed of changes with long polls. Each instance is given an
address of its own, so that a test can decide by caller how a call is answered.
*/
/* eslint-disable no-await-in-loop -- the steps follow one another */
/* eslint-disable no-void -- the promise is not awaited on purpose */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';

const USUAL_ANSWER_MS = 4;

export class Store {
	rows = new Map();
	version = 1;
	/** Decides how a call is answered: `undefined` as usual, or `busy`, `silent`, `reset`, `lost` (done and not answered), or a delay in milliseconds. */
	fault = () => undefined;
	calls = [];
	/** Rows that were written by transactions. */
	writes = [];
	#servers = [];
	#waiting = new Set();
	#isClosed = false;

	/** Opens a further address; `caller` names who is given it. */
	async listen(caller) {
		const server = createServer((request, response) => {
			void this.#serve(caller, request, response);
		});
		server.keepAliveTimeout = 60_000;
		this.#servers.push(server);
		await new Promise(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		return `127.0.0.1:${server.address().port}`;
	}

	close() {
		this.#isClosed = true;
		this.#wake();
		for (const server of this.#servers) {
			server.close();
			server.closeAllConnections();
		}
	}

	put(table, key, value) {
		this.version++;
		this.rows.set(`${table}/${key}`, {
			table, part: '', key, value: Buffer.from(JSON.stringify(value)).toString('base64'), ver: this.version,
		});
		this.#wake();
	}

	drop(table, key) {
		this.version++;
		this.rows.set(`${table}/${key}`, {
			table, part: '', key, ver: this.version, deleted: true,
		});
		this.#wake();
	}

	read(table, key) {
		const row = this.rows.get(`${table}/${key}`);
		return row?.value === undefined ? undefined : JSON.parse(Buffer.from(row.value, 'base64').toString('utf8'));
	}

	async #serve(caller, request, response) {
		const chunks = [];
		try {
			for await (const chunk of request) {
				chunks.push(chunk);
			}
		} catch {
			return;
		}

		const url = new URL(request.url, 'http://store');
		const call = url.pathname.slice('/v1/'.length);
		const body = chunks.length > 0 ? JSON.parse(Buffer.concat(chunks).toString('utf8')) : undefined;
		this.calls.push({
			atMs: performance.now(), caller, call, table: url.searchParams.get('table') ?? body?.puts[0]?.table ?? body?.deletes[0]?.table,
		});
		const fault = this.fault({
			caller, call, url, body,
		});
		if (fault === 'silent') {
			return;
		}

		if (fault === 'reset') {
			request.socket.resetAndDestroy();
			return;
		}

		if (fault === 'busy') {
			response.writeHead(503).end();
			return;
		}

		await delay(typeof fault === 'number' ? fault : USUAL_ANSWER_MS);
		const [status, answer] = await this.#execute(call, url, body, response);
		if (call === 'rows-tx' && status === 200) {
			this.writes.push(...body.puts.map(({table, key, value}) => ({
				atMs: performance.now(), caller, call, table, key, value: Buffer.from(value, 'base64').toString('utf8'),
			})));
		}

		if (fault === 'lost' || response.destroyed) {
			return;
		}

		response.writeHead(status, {'content-type': 'application/json'}).end(JSON.stringify({...answer, ver: this.version, nowMs: performance.now()}));
	}

	async #execute(call, url, body, response) {
		if (call === 'rows-tx') {
			return this.#transact(body);
		}

		const table = url.searchParams.get('table');
		const rows = () => [...this.rows.values()].filter(row => row.table === table);
		if (call === 'rows-get') {
			const from = url.searchParams.get('from') ?? '';
			const to = url.searchParams.get('to');
			return [200, {rows: rows().filter(({key, deleted}) => !deleted && key >= from && (to === null || key < to)).sort((a, b) => (a.key < b.key ? -1 : 1)), hasMore: false}];
		}

		const after = Number(url.searchParams.get('after'));
		const untilMs = performance.now() + Number(url.searchParams.get('waitMs') ?? 0);
		const changed = () => rows().filter(({ver}) => ver > after).sort((a, b) => a.ver - b.ver);
		while (changed().length === 0 && performance.now() < untilMs && !response.destroyed && !this.#isClosed) {
			await new Promise(resolve => {
				const wake = () => {
					clearTimeout(timer);
					this.#waiting.delete(wake);
					resolve();
				};

				const timer = setTimeout(wake, Math.max(1, untilMs - performance.now()));
				this.#waiting.add(wake);
			});
		}

		return [200, {rows: changed()}];
	}

	#transact({expected, puts, deletes}) {
		const current = expected.map(({table, key}) => this.rows.get(`${table}/${key}`)).map(row => (row?.deleted ? undefined : row));
		if (expected.some(({ver}, index) => (current[index]?.ver ?? 0) !== ver)) {
			return [412, {rows: current.filter(row => row !== undefined)}];
		}

		this.version++;
		for (const row of puts) {
			this.rows.set(`${row.table}/${row.key}`, {...row, ver: this.version});
		}

		for (const row of deletes) {
			this.rows.set(`${row.table}/${row.key}`, {...row, deleted: true, ver: this.version});
		}

		this.#wake();
		return [200, {}];
	}

	#wake() {
		for (const wake of this.#waiting) {
			wake();
		}
	}
}
