/**
Connections to one target, with what a failure on them proves. Idle connections
are closed early, because something between the two ends may have forgotten them.
*/
import {type Buffer} from 'node:buffer';
import {Client, Pool, type Dispatcher} from 'undici';
import {type ProbeResult} from '../../core/event.js';
import {type Failure} from '../../core/request/types.js';

const CONNECT_TIMEOUT_MS = 1500;
const IDLE_TIMEOUT_MS = 4000;
const MAX_CONNECTIONS = 256;

/** Errors that come before any byte of the request is written. */
const connectErrorCodes: ReadonlySet<string> = new Set([
	'ECONNREFUSED',
	'EHOSTUNREACH',
	'ENETUNREACH',
	'EADDRNOTAVAIL',
	'UND_ERR_CONNECT_TIMEOUT',
]);

export type HttpRequest = {
	readonly method: string;
	readonly path: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: Buffer | string;
	readonly signal?: AbortSignal;
	/** Whether to use a connection of its own. */
	readonly freshConnection?: boolean;
};

export class ConnectionPool {
	private readonly _pool: Pool;

	constructor(private readonly _address: string) {
		this._pool = new Pool(_address, {
			connections: MAX_CONNECTIONS,
			pipelining: 1,
			connect: {timeout: CONNECT_TIMEOUT_MS},
			keepAliveTimeout: IDLE_TIMEOUT_MS,
			keepAliveMaxTimeout: IDLE_TIMEOUT_MS,
			// Silence is judged by the core, from what the target has shown.
			headersTimeout: 0,
			bodyTimeout: 0,
		});
	}

	async request(request: HttpRequest): Promise<Dispatcher.ResponseData> {
		const {method, path, headers, body, signal} = request;
		const options = {
			method, path, headers, body, signal,
		};
		if (!request.freshConnection) {
			return this._pool.request(options);
		}

		const client = new Client(this._address, {connect: {timeout: CONNECT_TIMEOUT_MS}, headersTimeout: 0, bodyTimeout: 0});
		try {
			const response = await client.request(options);
			// Closes once the answer has been read to its end.
			void client.close();
			return response;
		} catch (error) {
			void client.destroy();
			throw error;
		}
	}

	async close(): Promise<void> {
		await this._pool.destroy();
	}
}

export function errorCode(error: unknown): string {
	const candidate = error as {code?: unknown; cause?: unknown; errors?: unknown[]} | undefined;
	if (typeof candidate?.code === 'string') {
		return candidate.code;
	}

	const inner = candidate?.cause ?? candidate?.errors?.[0];
	return inner === undefined ? '' : errorCode(inner);
}

export function isUnwritten(error: unknown): boolean {
	return connectErrorCodes.has(errorCode(error));
}

/** What an error during a request proves, before the answer's head came. */
export function classifyFailure(error: unknown, signal: AbortSignal): Failure {
	if (isUnwritten(error)) {
		return 'not-written';
	}

	return signal.aborted ? 'canceled' : 'reset';
}

export function classifyProbeError(error: unknown): ProbeResult {
	return errorCode(error) === 'ECONNREFUSED' ? 'refused' : 'silent';
}
