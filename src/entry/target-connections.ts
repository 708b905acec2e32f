/**
Connections to targets: a pool per target, and a fresh connection for each request that
must run at most once or is retried. A stale pooled connection could lose such a request
or have it executed twice.
*/
import {type Buffer} from 'node:buffer';
import {
	buildConnector, Client, Pool, type Dispatcher,
} from 'undici';
import {type RawHeaders} from './deployment.js';

/** Several round trips between zones; a target that takes longer is down or unreachable. */
const CONNECT_TIMEOUT_MS = 300;
/** Short enough to close idle connections before targets do. */
const IDLE_TIMEOUT_MS = 2000;

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
	readonly connections: number;
};

export class TargetConnections {
	private readonly _pools = new Map<string, TargetPool>();
	/** Pools that a larger one has replaced, until their last responses have been read. */
	private readonly _replaced = new Set<Pool>();

	async request(address: string, request: TargetRequest): Promise<TargetResponse> {
		if (request.usesFreshConnection) {
			return this._requestOnFreshConnection(address, request);
		}

		const {pool, resets} = this._pool(address, request.maxConnections);
		return send(pool, request, resets);
	}

	async close(): Promise<void> {
		const pools = [...[...this._pools.values()].map(({pool}) => pool), ...this._replaced];
		this._pools.clear();
		await Promise.all(pools.map(async pool => pool.destroy()));
	}

	private async _requestOnFreshConnection(address: string, request: TargetRequest): Promise<TargetResponse> {
		const resets = {count: 0};
		const client = new Client(`http://${address}`, {...clientOptions, connect: countingConnector(resets)});
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

	/** A pool cannot grow, so it is replaced when the target accepts more connections than it was created for. */
	private _pool(address: string, connections: number): TargetPool {
		const known = this._pools.get(address);
		if (known && known.connections >= connections) {
			return known;
		}

		const resets = {count: 0};
		const entry = {pool: new Pool(`http://${address}`, {...clientOptions, connections, connect: countingConnector(resets)}), resets, connections};
		this._pools.set(address, entry);
		if (known) {
			void this._retire(known.pool);
		}

		return entry;
	}

	private async _retire(pool: Pool): Promise<void> {
		this._replaced.add(pool);
		try {
			// Waits for the responses that are still read.
			await pool.close();
		} catch {
			// It was destroyed meanwhile.
		} finally {
			this._replaced.delete(pool);
		}
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

export {errorCode, isUnwritten} from '../daemon/gateways/connection-pool.js';
