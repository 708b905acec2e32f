/**
One daemon with the platform adapter, a fake store, and runners that respond with scripted
bytes, for tests of what callers receive on their connections.
*/
import {
	connect, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {documents} from '../../platform/documents.js';
import {createEngineClient} from '../../platform/engine-client.js';
import {headerCodec} from '../../platform/header-codec.js';
import {createRowStore} from '../../platform/row-store.js';
import {systemClock} from '../../src/core/clock.js';
import {type HeaderCodec} from '../../src/entry/deployment.js';
import {EntryDaemon} from '../../src/entry/entry-daemon.js';
import {EntryLog} from '../../src/entry/entry-log.js';
import {entrySettingsSchema} from '../../src/entry/settings.js';
import {FakeStore} from './fake-store-and-runner.js';
import {freePorts} from './free-ports.js';

const POLL_MS = 20;
const WAIT_MS_MAX = 10_000;

/** Responds to one request on its connection; `id` is the request's id, `index` the number of requests before it. */
export type Script = (socket: Socket, request: {readonly id: string; readonly index: number}) => void;

export type ScriptedDeploymentOptions = {
	readonly script: Script;
	readonly headerCodec?: HeaderCodec;
};

const route = {
	host: 'a.example', timeoutMs: 20_000, targetLatencyMs: 5000, service: 'records',
};

export const configuration = {
	version: 3,
	routes: [
		{
			...route, name: 'sign', prefix: '/sign/', kind: 'non_idempotent', priority: 1, maxAttempts: 1,
		},
		{
			...route, name: 'ask', prefix: '/ask/', kind: 'streaming', priority: 0, maxAttempts: 2, resumable: true, gapAimMs: 5000,
		},
	],
	services: [{name: 'records', maxConns: 100}],
	limits: {
		maxHeaderBytes: 4096, maxBodyBytes: 10_000, headerTimeoutMs: 1000, idleTimeoutMs: 5000,
	},
};

export class ScriptedDeployment {
	readonly store = new FakeStore();
	daemon!: EntryDaemon;
	/** Number of requests that reached runners. */
	received = 0;
	private readonly _runners: Server[] = [];
	private readonly _sockets = new Set<Socket>();
	callersPort = 0;

	private constructor(private readonly _options: ScriptedDeploymentOptions) {}

	static async start(options: ScriptedDeploymentOptions): Promise<ScriptedDeployment> {
		const deployment = new ScriptedDeployment(options);
		try {
			await deployment._open();
		} catch (error) {
			// Servers that are left open would keep the process of the tests from ending.
			await deployment.stop();
			throw error;
		}

		return deployment;
	}

	async stop(): Promise<void> {
		await this.daemon?.stop();
		this.store.stop();
		for (const socket of this._sockets) {
			socket.destroy();
		}

		for (const runner of this._runners) {
			runner.close();
		}
	}

	connect(): CallerConnection {
		const socket = connect(this.callersPort, '127.0.0.1');
		this._sockets.add(socket);
		return new CallerConnection(socket);
	}

	private async _open(): Promise<void> {
		const storeAddress = await this.store.start();
		for (const id of ['i-1', 'i-2']) {
			const address = await this._startRunner();
			this.store.put('servers', id, {
				service: 'records', address, zone: 'north', version: 'v1', slots: 8, state: 'ready', coldLeftMs: 0, seq: 0, born: 1, models: [],
			});
		}

		this.store.put('op', 'config', configuration);
		const [callers, readiness, peers, beacons] = await freePorts(4);
		this.callersPort = callers!;
		this.daemon = await EntryDaemon.start({
			settings: entrySettingsSchema.parse({
				instance: {id: 'one', zone: 'north'},
				listen: {
					callers: `127.0.0.1:${callers}`, readiness: `127.0.0.1:${readiness}`, peers: `127.0.0.1:${peers}`, beacons: `127.0.0.1:${beacons}`,
				},
				store: {address: storeAddress},
				bounds: {
					graceMs: 8000, leaseMs: 3000, repeatShare: 0.2, repeatWindowMs: 10_000, repeatSlack: 1000,
				},
			}),
			deployment: {
				store: createRowStore(storeAddress), documents, headerCodec: this._options.headerCodec ?? headerCodec, engines: createEngineClient(),
			},
			log: new EntryLog({level: 'silent', instanceId: 'one', clock: systemClock}),
		});
		await waitUntil(() => this.daemon.isReady && this.daemon.state.targets.size === 2);
	}

	private async _startRunner(): Promise<string> {
		const server = createServer(socket => {
			this._sockets.add(socket);
			let text = '';
			socket.on('error', () => undefined);
			socket.on('data', data => {
				text += data.toString('latin1');
				const id = /x-pollenarch-request-id: (?<id>\S+)/iv.exec(text)?.groups?.id;
				if (id !== undefined && text.includes('\r\n\r\n')) {
					text = '';
					this._options.script(socket, {id, index: this.received++});
				}
			});
		});
		this._runners.push(server);
		return new Promise(resolve => {
			server.listen(0, '127.0.0.1', () => {
				resolve(`127.0.0.1:${(server.address() as AddressInfo).port}`);
			});
		});
	}
}

/** A caller's connection, with everything that arrived on it. */
export class CallerConnection {
	text = '';
	isClosed = false;

	constructor(readonly socket: Socket) {
		socket.on('data', data => {
			this.text += data.toString('latin1');
		});
		socket.on('close', () => {
			this.isClosed = true;
		});
		socket.on('error', () => undefined);
	}

	/** Sends a request without a body. */
	send(path: string, id: string): void {
		this.socket.write(`POST ${path} HTTP/1.1\r\nHost: a.example\r\nX-Pollenarch-Request-Id: ${id}\r\nX-Pollenarch-Request-Deadline: 15000\r\nContent-Length: 0\r\n\r\n`);
	}

	/** Waits until the connection is closed or the text that arrived contains `end`. */
	async waitFor(end: string): Promise<void> {
		await waitUntil(() => this.isClosed || this.text.includes(end));
	}
}

/** Head of a signed response, up to and with the empty line. */
export function responseHead(id: string, ...lines: string[]): string {
	return ['HTTP/1.1 200 OK', `X-Pollenarch-Request-Id: ${id}`, 'X-Pollenarch-Server-Signature: signed', ...lines, '', ''].join('\r\n');
}

/** A part of a body in the chunked coding. */
export function chunk(text: string): string {
	return `${text.length.toString(16)}\r\n${text}\r\n`;
}

export async function waitUntil(condition: () => boolean): Promise<void> {
	for (let waitedMs = 0; !condition(); waitedMs += POLL_MS) {
		if (waitedMs >= WAIT_MS_MAX) {
			throw new Error('Timed out waiting for the condition');
		}

		await delay(POLL_MS);
	}
}
