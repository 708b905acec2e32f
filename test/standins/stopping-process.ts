/**
A deployed process that is stopped while callers use it: two runners that take as long as
a request's path says, callers that keep their connections open until the process has
gone, and an account of how each request ended.
*/
import {type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {
	Agent, createServer, request as httpRequest, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {FakeStore} from './fake-store-and-runner.js';
import {
	createDaemonSettings, type DaemonSettings, type PlatformBundle, waitUntilReady,
} from './platform-process.js';

export const GRACE_MS = 8000;
const EVENT_INTERVAL_MS = 100;
/** Time to the first event of `late` streams, within their objective. */
const FIRST_EVENT_MS = 250;
const TIMEOUT_MS = 20_000;
/** Time-out of the route whose requests are answered at it. */
export const BRIEF_TIMEOUT_MS = 1000;

/** Lines that are not urgent are handed over in this interval, later by a process that is behind. */
const LINES_INTERVAL_MS = 1000;
const PEER_LINE_POLLS = 100;
/** End of what the process writes to standard error, to be told if it does not start. */
const ERROR_OUTPUT_MAX = 2000;

/** Answered at once; shows that the registry has been read. */
export const PROBE_PATH = '/read/0';

/** How a request ended for its caller. */
export type Outcome = {
	readonly id: string;
	readonly path: string;
	readonly sentAtMs: number;
	endedAtMs: number;
	/** Undefined without the head of a response. */
	status: number | undefined;
	isWhole: boolean;
	/** Error code of the connection; empty if there was none. */
	error: string;
	/** Events of a stream that have arrived. */
	events: number;
	/** Length of the body that has arrived. */
	bytes: number;
	retryAfter: string | undefined;
};

/** What runners saw of a request. */
export type Run = {
	readonly runner: string;
	readonly beganAtMs: number;
	/** When its response was whole, or its connection was closed. */
	endedAtMs: number;
};

/** Answers a request in place of what its path says. */
export type RunHandler = (request: IncomingMessage, response: ServerResponse, headers: Readonly<Record<string, string>>) => Promise<void> | void;

export type StoppingProcessOptions = {
	readonly nodeArguments?: readonly string[];
	readonly limits?: Partial<typeof configuration.limits>;
	/** By the id of a runner, `i-1` or `i-2`. */
	readonly handlers?: Readonly<Record<string, RunHandler>>;
	/** Time for which callers read nothing after the begin of a response. */
	readonly readPauseMs?: number;
	/** Ids of the runners. */
	readonly runnerIds?: readonly string[];
	readonly instanceId?: string;
	/** Other instances of the same deployment, which take no requests. */
	readonly peerIds?: readonly string[];
	/** How fast the log is read; at once if absent. */
	readonly logBytesPerSecond?: number;
};

export type LogLine = Readonly<Record<string, unknown>> & {readonly msg: string; readonly time: number};

const route = {
	host: 'a.example', service: 'records', timeoutMs: TIMEOUT_MS, targetLatencyMs: 300, priority: 1,
};

const configuration = {
	version: 3,
	routes: [
		{
			...route, name: 'read', prefix: '/read/', kind: 'idempotent', maxAttempts: 2,
		},
		{
			...route, name: 'brief', prefix: '/brief/', kind: 'idempotent', maxAttempts: 2, timeoutMs: BRIEF_TIMEOUT_MS,
		},
		{
			...route, name: 'sign', prefix: '/sign/', kind: 'non_idempotent', maxAttempts: 1,
		},
		{
			...route, name: 'ask', prefix: '/ask/', kind: 'streaming', maxAttempts: 2, resumable: true, gapAimMs: 150,
		},
		{
			...route, name: 'tell', prefix: '/tell/', kind: 'streaming', maxAttempts: 2, gapAimMs: 150,
		},
		{
			...route, name: 'late', prefix: '/late/', kind: 'streaming', maxAttempts: 2, resumable: true, gapAimMs: 150,
		},
	],
	services: [{name: 'records', maxConns: 1000}],
	limits: {
		maxHeaderBytes: 4096, maxBodyBytes: 10_000, headerTimeoutMs: 1000, idleTimeoutMs: 5000,
	},
};

export class StoppingProcess {
	readonly store = new FakeStore();
	readonly runs = new Map<string, Run[]>();
	readonly lines: LogLine[] = [];
	/** Lines of the other instances. */
	readonly peerLines = new Map<string, LogLine[]>();
	process!: ChildProcess;
	/** When the process had gone. */
	exitedAtMs = Number.POSITIVE_INFINITY;
	exitCode: number | undefined;
	callersPort = 0;
	private _settings!: DaemonSettings;
	private _requests = 0;
	private _errorOutput = '';
	private readonly _servers: Server[] = [];
	private readonly _peers: ChildProcess[] = [];
	private readonly _entries = new Map<string, object>();

	private constructor(private readonly _options: StoppingProcessOptions) {}

	static async start(bundle: PlatformBundle, options: StoppingProcessOptions = {}): Promise<StoppingProcess> {
		const stopping = new StoppingProcess(options);
		try {
			await stopping._start(bundle);
		} catch (error) {
			const {exitCode} = stopping;
			// What is left open would keep the test's process from ending.
			await stopping.close();
			throw new Error(`the process did not start; exit code ${exitCode ?? 'none'}: ${stopping._errorOutput}`, {cause: error});
		}

		return stopping;
	}

	async close(): Promise<void> {
		// Undefined if nothing of it was started.
		const started = this.process as ChildProcess | undefined;
		if (started && !Number.isFinite(this.exitedAtMs)) {
			this.process.kill('SIGCONT');
			this.process.kill('SIGKILL');
			await once(this.process, 'close');
		}

		for (const peer of this._peers) {
			peer.kill('SIGKILL');
		}

		this.store.stop();
		for (const server of this._servers) {
			server.closeAllConnections();
			server.close();
		}
	}

	/** Waits until the process has gone, and kills it after its grace period, as the platform does. */
	async exit(signalledAtMs: number): Promise<void> {
		const timer = setTimeout(() => {
			this.process.kill('SIGKILL');
		}, signalledAtMs + GRACE_MS - performance.now());
		if (!Number.isFinite(this.exitedAtMs)) {
			await once(this.process, 'close');
		}

		clearTimeout(timer);
	}

	/** Sends a request whose run takes as long as its path says, in milliseconds; `never` has no end. */
	async call(agent: Agent, path: string, bodyDelayMs = 0, deadlineMs = TIMEOUT_MS): Promise<Outcome> {
		this._requests++;
		const outcome: Outcome = {
			id: `r${this._requests}`, path, sentAtMs: performance.now(), endedAtMs: 0, status: undefined, isWhole: false, error: '', events: 0, bytes: 0, retryAfter: undefined,
		};
		return new Promise(resolve => {
			const end = (): void => {
				outcome.endedAtMs = performance.now();
				resolve(outcome);
			};

			const sent = httpRequest({
				agent, host: '127.0.0.1', port: this.callersPort, method: 'POST', path, headers: {
					host: 'a.example', 'x-pollenarch-request-id': outcome.id, 'x-pollenarch-request-deadline': String(deadlineMs), 'content-length': 4,
				},
			}, response => {
				outcome.status = response.statusCode;
				outcome.retryAfter = response.headers['retry-after'];
				response.setEncoding('utf8');
				response.on('data', (text: string) => {
					outcome.events += text.split('data:').length - 1;
					outcome.bytes += text.length;
				});
				if (this._options.readPauseMs !== undefined) {
					response.once('data', () => {
						response.pause();
						setTimeout(() => {
							response.resume();
						}, this._options.readPauseMs);
					});
				}

				response.on('error', () => undefined);
				response.on('close', () => {
					outcome.isWhole = response.complete;
					end();
				});
			});
			sent.on('error', (error: NodeJS.ErrnoException) => {
				outcome.error = error.code ?? error.message;
				end();
			});
			if (bodyDelayMs > 0) {
				sent.flushHeaders();
				setTimeout(() => {
					sent.end('body');
				}, bodyDelayMs);
			} else {
				sent.end('body');
			}
		});
	}

	/** Begins a stream without end on a connection of its own; resolves once its first bytes have arrived. */
	async beginStream(id: string, deadlineMs = TIMEOUT_MS): Promise<Socket> {
		const socket = connect(this.callersPort, '127.0.0.1');
		socket.on('error', () => undefined);
		socket.write(`POST /ask/never HTTP/1.1\r\nHost: a.example\r\nX-Pollenarch-Request-Id: ${id}\r\nX-Pollenarch-Request-Deadline: ${deadlineMs}\r\nContent-Length: 4\r\n\r\nbody`);
		await once(socket, 'data');
		return socket.resume();
	}

	/** Writes a newer version of the configuration, with a route more or less. */
	changeConfiguration(change: number): void {
		const more = {
			...route, name: 'more', prefix: '/more/', kind: 'idempotent', maxAttempts: 2,
		};
		this.store.put('op', 'config', {
			...configuration, version: configuration.version + change, routes: change % 2 === 0 ? configuration.routes : [...configuration.routes, more], limits: {...configuration.limits, ...this._options.limits},
		});
	}

	/** Writes the entry of a runner with another state. */
	setRunnerState(id: string, state: 'ready' | 'draining'): void {
		this.store.put('servers', id, {...this._entries.get(id), state});
	}

	/** Writes the entry of a runner as that of its next lifetime, at the same address. */
	listNextLifetime(id: string): void {
		const entry = this._entries.get(id) as {readonly born: number};
		this._entries.set(id, {...entry, born: entry.born + 1});
		this.setRunnerState(id, 'ready');
	}

	/** Removes the entry of a runner, which serves on. */
	removeRunner(id: string): void {
		this.store.deleteRow('servers', id);
	}

	/** A caller's line in the log by request and event. */
	linesOf(requestId: string): LogLine[] {
		return this.lines.filter(line => line.requestId === requestId);
	}

	/** Waits until each other instance has written a line of a request, and for another round of lines, which may hold a second one. */
	async waitForPeerLines(requestId: string): Promise<void> {
		const lacksLine = (): boolean => [...this.peerLines.values()].some(lines => !lines.some(line => line.requestId === requestId));
		for (let polls = 0; polls < PEER_LINE_POLLS && lacksLine(); polls++) {
			await delay(EVENT_INTERVAL_MS);
		}

		await delay(LINES_INTERVAL_MS);
	}

	private async _start(bundle: PlatformBundle): Promise<void> {
		const {limits, runnerIds = ['i-1', 'i-2']} = this._options;
		const storeAddress = await this.store.start();
		for (const id of runnerIds) {
			await this.addRunner(id);
		}

		this.store.put('op', 'config', {...configuration, limits: {...configuration.limits, ...limits}});
		for (const id of this._options.peerIds ?? []) {
			const {document, listen} = await createDaemonSettings(storeAddress, id);
			const peer = bundle.start(document);
			this._peers.push(peer);
			peer.stderr!.resume();
			this.peerLines.set(id, []);
			readLines(peer, lines => {
				this.peerLines.get(id)!.push(...lines);
			});
			await waitUntilReady(listen);
		}

		this._settings = await createDaemonSettings(storeAddress, this._options.instanceId);
		this.callersPort = Number(this._settings.listen.callers.split(':')[1]);
		this.startProcess(bundle);
		await waitUntilReady(this._settings.listen);
		// The first read of the registry follows the configuration.
		for (let status: number | undefined; status !== 200;) {
			({status} = await this.call(new Agent(), PROBE_PATH));
			await delay(EVENT_INTERVAL_MS);
		}
	}

	/** Starts the process, once the one before it has gone, at the same addresses. */
	startProcess(bundle: PlatformBundle): void {
		const {document} = this._settings;
		const started = bundle.start({...document, bounds: {...document.bounds as object, graceMs: GRACE_MS}}, this._options.nodeArguments);
		this.process = started;
		this.exitedAtMs = Number.POSITIVE_INFINITY;
		started.stderr!.setEncoding('utf8').on('data', (text: string) => {
			this._errorOutput = (this._errorOutput + text).slice(-ERROR_OUTPUT_MAX);
		});
		this._readLog(started);
		started.once('close', code => {
			this.exitedAtMs = performance.now();
			this.exitCode = code ?? undefined;
		});
	}

	/** Starts another process at the same addresses; the caller reads what it writes. */
	startSecond(bundle: PlatformBundle): ChildProcess {
		return bundle.start(this._settings.document);
	}

	/** Starts a runner that is ready. */
	async addRunner(id: string): Promise<void> {
		this._entries.set(id, {
			service: 'records', address: await this._startRunner(id), zone: 'north', version: 'v1', slots: 500, coldLeftMs: 0, seq: 0, born: 1, models: [],
		});
		this.setRunnerState(id, 'ready');
	}

	private _readLog(started: ChildProcess): void {
		readLines(started, (lines, text) => {
			this.lines.push(...lines);
			const {logBytesPerSecond} = this._options;
			if (logBytesPerSecond !== undefined) {
				this.process.stdout!.pause();
				setTimeout(() => {
					this.process.stdout!.resume();
				}, text.length / logBytesPerSecond * 1000);
			}
		});
	}

	private async _startRunner(id: string): Promise<string> {
		const server = createServer((request, response) => {
			void this._run(id, request, response);
		});
		this._servers.push(server);
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		return `127.0.0.1:${(server.address() as AddressInfo).port}`;
	}

	private async _run(id: string, request: IncomingMessage, response: ServerResponse): Promise<void> {
		request.resume();
		const [, name, duration] = (request.url ?? '').split('/');
		const requestId = String(request.headers['x-pollenarch-request-id'] ?? '');
		const run: Run = {runner: id, beganAtMs: performance.now(), endedAtMs: Number.POSITIVE_INFINITY};
		this.runs.set(requestId, [...this.runs.get(requestId) ?? [], run]);
		response.on('error', () => undefined);
		response.on('close', () => {
			run.endedAtMs = performance.now();
		});
		const headers = {'x-pollenarch-request-id': requestId, 'x-pollenarch-server-signature': `signed by ${id}`};
		const handler = this._options.handlers?.[id];
		if (handler && request.url !== PROBE_PATH) {
			await handler(request, response, headers);
			return;
		}

		const endsAtMs = duration === 'never' ? Number.POSITIVE_INFINITY : run.beganAtMs + Number(duration);
		if (name !== 'ask' && name !== 'late') {
			if (Number.isFinite(endsAtMs)) {
				await delay(endsAtMs - performance.now());
				response.writeHead(200, headers).end('done');
			}

			return;
		}

		if (name === 'late') {
			await delay(FIRST_EVENT_MS);
		}

		const from = Number(request.headers['last-event-id'] ?? 0);
		response.writeHead(200, {...headers, 'content-type': 'text/event-stream'});
		for (let event = from + 1; performance.now() < endsAtMs && !response.destroyed; event++) {
			response.write(`id: ${event}\ndata: x\n\n`);
			await delay(EVENT_INTERVAL_MS);
		}

		response.end();
	}
}

function readLines(started: ChildProcess, onLines: (lines: readonly LogLine[], text: string) => void): void {
	let rest = '';
	started.stdout!.setEncoding('utf8');
	started.stdout!.on('data', (text: string) => {
		const parts = (rest + text).split('\n');
		rest = parts.pop()!;
		onLines(parts.map(part => JSON.parse(part) as LogLine), text);
	});
}
