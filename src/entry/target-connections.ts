/**
Connections to targets: a pool per target, and a fresh connection for each request that
must run at most once or is retried, or that finds all connections of the pool busy. A
stale pooled connection could lose a request of the former kinds or have it executed twice.
*/
import {type Buffer} from 'node:buffer';
import {connect} from 'node:net';
import {buildConnector, type Dispatcher, type Pool} from 'undici';
import {type ProbeOutcome} from '../core/entry/event.js';
import {errorCode} from '../daemon/gateways/connection-pool.js';
import {createGuardedPool, GuardedClient} from '../daemon/gateways/guarded-client.js';
import {type RawHeaders} from './deployment.js';

/** Several round trips between zones; a target that takes longer is down or unreachable. */
const CONNECT_TIMEOUT_MS = 300;
/** Short enough to close idle connections before targets do. */
const IDLE_TIMEOUT_MS = 2000;
/** Limits for the rest of a response that is only read to keep its connection. */
const DISCARDED_BYTES_MAX = 16 * 1024;
const DISCARD_TIMEOUT_MS = 200;

/** Error code of a connection that nobody listens for. */
export const REFUSED_CODE = 'ECONNREFUSED';

export type TargetRequest = {
	readonly method: string;
	readonly path: string;
	readonly headers: string[];
	readonly body: Buffer | undefined;
	readonly signal: AbortSignal;
	readonly usesFreshConnection: boolean;
	readonly maxConnections: number;
};

export type TargetResponse = {
	readonly status: number;
	readonly headers: RawHeaders;
	readonly body: Dispatcher.ResponseData['body'];
	/**
	Whether a connection of the same pool or client was reset after the response headers
	arrived. undici takes a reset for the regular end of a response without a length.
	*/
	readonly wasReset: () => boolean;
};

type ResetCounter = {
	count: number;
};

type TargetPool = {
	readonly pool: Pool;
	readonly resets: ResetCounter;
	/** Number of connections that the pool opens at most. */
	readonly connections: number;
};

export class TargetConnections {
	private readonly _pools = new Map<string, TargetPool>();

	async request(address: string, request: TargetRequest): Promise<TargetResponse> {
		if (request.usesFreshConnection) {
			return this._requestOnFreshConnection(address, request);
		}

		const {pool, resets, connections} = this._pool(address, request.maxConnections);
		// The pool would hold it back without telling anybody until one of its requests ends.
		return pool.stats.size >= connections ? this._requestOnFreshConnection(address, request) : send(pool, request, resets);
	}

	/** Opens a connection and closes it at once. */
	async probe(address: string): Promise<ProbeOutcome> {
		const {hostname, port} = new URL(`http://${address}`);
		return new Promise(resolve => {
			const socket = connect({host: hostname, port: Number(port)});
			const end = (outcome: ProbeOutcome) => {
				socket.destroy();
				resolve(outcome);
			};

			socket.setTimeout(CONNECT_TIMEOUT_MS, () => {
				end('unanswered');
			});
			socket.once('connect', () => {
				end('accepted');
			});
			socket.once('error', error => {
				end(errorCode(error) === REFUSED_CODE ? 'refused' : 'unanswered');
			});
		});
	}

	async close(): Promise<void> {
		const pools = [...this._pools.values()].map(({pool}) => pool);
		this._pools.clear();
		await Promise.all(pools.map(async pool => pool.destroy()));
	}

	private async _requestOnFreshConnection(address: string, request: TargetRequest): Promise<TargetResponse> {
		const resets = {count: 0};
		const client = new GuardedClient(`http://${address}`, {...clientOptions, connect: countingConnector(resets)});
		try {
			const response = await send(client, request, resets);
			// Closes once the response has been read completely.
			void client.close();
			return response;
		} catch (error) {
			void client.destroy();
			throw error;
		}
	}

	private _pool(address: string, connections: number): TargetPool {
		let entry = this._pools.get(address);
		if (!entry) {
			const resets = {count: 0};
			entry = {pool: createGuardedPool(`http://${address}`, {...clientOptions, connections, connect: countingConnector(resets)}), resets, connections};
			this._pools.set(address, entry);
		}

		return entry;
	}
}

const clientOptions = {
	pipelining: 1,
	keepAliveTimeout: IDLE_TIMEOUT_MS,
	keepAliveMaxTimeout: IDLE_TIMEOUT_MS,
	// The core detects silent targets, from the response times that each has shown.
	headersTimeout: 0,
	bodyTimeout: 0,
};

const connectSocket = buildConnector({timeout: CONNECT_TIMEOUT_MS});

/** Counts socket errors before undici handles them. */
function countingConnector(resets: ResetCounter): buildConnector.connector {
	return (options, callback) => {
		connectSocket(options, (...result) => {
			const [error, socket] = result;
			if (error === null) {
				// undici also destroys a connection that ended a response in the regular way with an error, which counts: a target that
				// goes down may close its connections in that way.
				socket.on('error', () => {
					resets.count++;
				});
			}

			callback(...result);
		});
	};
}

async function send(dispatcher: Dispatcher, request: TargetRequest, resets: ResetCounter): Promise<TargetResponse> {
	const {statusCode, headers, body} = await dispatcher.request({
		method: request.method,
		path: request.path,
		headers: request.headers,
		body: request.body,
		signal: request.signal,
		responseHeaders: 'raw',
	});
	const resetsBefore = resets.count;
	return {
		status: statusCode, headers: headers as unknown as string[], body, wasReset: () => resets.count > resetsBefore,
	};
}

/** Reads the rest of a response that is not needed, so that its connection can be used again; closes the connection if that takes long. */
export function discardBody(body: TargetResponse['body']): void {
	void (async () => {
		try {
			await body.dump({limit: DISCARDED_BYTES_MAX, signal: AbortSignal.timeout(DISCARD_TIMEOUT_MS)});
		} catch {
			// Its connection is closed.
		}
	})();
}

export {errorCode, isUnwritten} from '../daemon/gateways/connection-pool.js';
