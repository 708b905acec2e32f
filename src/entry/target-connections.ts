/**
Connections to targets. Work that may run again uses kept connections; work that must
not gets one of its own, so that no stale connection can lose its answer.
*/
import {type Buffer} from 'node:buffer';
import {Client, Pool, type Dispatcher} from 'undici';
import {type RawHeaders} from './services.js';

/** Several round trips between zones; a target that takes longer is down or cut off. */
const CONNECT_TIMEOUT_MS = 300;
/** Idle connections are closed before targets do. */
const IDLE_MS = 2000;

export type TargetRequest = {
	readonly method: string;
	readonly path: string;
	readonly headers: string[];
	readonly body: Buffer | undefined;
	readonly signal: AbortSignal;
	readonly isFresh: boolean;
	readonly maxConnections: number;
};

export type TargetResponse = {
	readonly status: number;
	readonly headers: RawHeaders;
	readonly body: Dispatcher.ResponseData['body'];
};

export class TargetConnections {
	private readonly _pools = new Map<string, Pool>();

	async request(address: string, request: TargetRequest): Promise<TargetResponse> {
		return request.isFresh ? this._requestFresh(address, request) : send(this._pool(address, request.maxConnections), request);
	}

	async close(): Promise<void> {
		const pools = [...this._pools.values()];
		this._pools.clear();
		await Promise.all(pools.map(async pool => pool.destroy()));
	}

	private async _requestFresh(address: string, request: TargetRequest): Promise<TargetResponse> {
		const client = new Client(`http://${address}`, clientOptions);
		try {
			const response = await send(client, request);
			// Closes once the answer has been read to its end.
			void client.close();
			return response;
		} catch (error) {
			void client.destroy();
			throw error;
		}
	}

	private _pool(address: string, connections: number): Pool {
		let pool = this._pools.get(address);
		if (!pool) {
			pool = new Pool(`http://${address}`, {...clientOptions, connections});
			this._pools.set(address, pool);
		}

		return pool;
	}
}

const clientOptions = {
	pipelining: 1,
	connect: {timeout: CONNECT_TIMEOUT_MS},
	keepAliveTimeout: IDLE_MS,
	keepAliveMaxTimeout: IDLE_MS,
	// Silence is judged by the core, from what the target has shown.
	headersTimeout: 0,
	bodyTimeout: 0,
};

async function send(dispatcher: Dispatcher, request: TargetRequest): Promise<TargetResponse> {
	const {statusCode, headers, body} = await dispatcher.request({
		method: request.method,
		path: request.path,
		headers: request.headers,
		body: request.body,
		signal: request.signal,
		responseHeaders: 'raw',
	});
	return {status: statusCode, headers: headers as unknown as string[], body};
}

export {errorCode, isUnwritten} from '../daemon/gateways/connection.js';
