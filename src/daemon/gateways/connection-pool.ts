/**
HTTP connections to one address, and the classification of connection failures. Responses
name no request, so that a second copy of an earlier one, which a target may send late,
cannot be told from them: each request has a connection of its own, unless it says that a
response to an earlier one does no harm. Idle connections are closed early, because a
middlebox between the two ends may have dropped its state for them.
*/
import {type Buffer} from 'node:buffer';
import {type Dispatcher, type Pool} from 'undici';
import {type ProbeResult} from '../../core/event.js';
import {type Failure} from '../../core/request/types.js';
import {createGuardedPool, GuardedClient} from './guarded-client.js';

const CONNECT_TIMEOUT_MS = 1500;
const IDLE_TIMEOUT_MS = 4000;
const MAX_CONNECTIONS = 256;

/** Codes of system errors by which a connection fails to open. One that is open may end with them too. */
const connectErrorCodes: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL']);
const CONNECT_TIMEOUT_CODE = 'UND_ERR_CONNECT_TIMEOUT';

export type HttpRequest = {
	readonly method: string;
	readonly path: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: Buffer | string;
	readonly signal?: AbortSignal;
	/** Whether the request may use a connection that has carried others, which may bring a second copy of an earlier response. */
	readonly mayReuse?: boolean;
};

export class ConnectionPool {
	private readonly _pool: Pool;
	/** Clients of requests that have a connection of their own. */
	private readonly _clients = new Set<GuardedClient>();

	constructor(private readonly _address: string) {
		this._pool = createGuardedPool(_address, {
			connections: MAX_CONNECTIONS,
			pipelining: 1,
			connect: {timeout: CONNECT_TIMEOUT_MS},
			keepAliveTimeout: IDLE_TIMEOUT_MS,
			keepAliveMaxTimeout: IDLE_TIMEOUT_MS,
			// The core detects silent targets, from the response times that each has shown.
			headersTimeout: 0,
			bodyTimeout: 0,
		});
	}

	async request(request: HttpRequest): Promise<Dispatcher.ResponseData> {
		const {method, path, headers, body, signal} = request;
		const options = {
			method, path, headers, body, signal,
		};
		if (request.mayReuse) {
			return this._pool.request(options);
		}

		const client = new GuardedClient(this._address, {connect: {timeout: CONNECT_TIMEOUT_MS}, headersTimeout: 0, bodyTimeout: 0});
		this._clients.add(client);
		client.once('disconnect', () => {
			this._clients.delete(client);
		});
		try {
			const response = await client.request(options);
			// Closes once the response has been read to its end.
			void client.close();
			return response;
		} catch (error) {
			this._clients.delete(client);
			void client.destroy();
			throw error;
		}
	}

	async close(): Promise<void> {
		await Promise.all([this._pool, ...this._clients].map(async dispatcher => dispatcher.destroy()));
	}
}

/** The code of an error, of its cause, or of the first error of an aggregate; empty if there is none. */
export function errorCode(error: unknown): string {
	const candidate = error as {code?: unknown; cause?: unknown; errors?: unknown[]} | undefined;
	if (typeof candidate?.code === 'string') {
		return candidate.code;
	}

	const inner = candidate?.cause ?? candidate?.errors?.[0];
	return inner === undefined ? '' : errorCode(inner);
}

/** Whether an error proves that no byte of the request was written. */
export function isUnwritten(error: unknown): boolean {
	const {code, syscall, cause, errors} = (error ?? {}) as {code?: unknown; syscall?: unknown; cause?: unknown; errors?: unknown[]};
	if (errors && errors.length > 0) {
		// One for each address of the host.
		return errors.every(each => isUnwritten(each));
	}

	return typeof code === 'string'
		? code === CONNECT_TIMEOUT_CODE || (syscall === 'connect' && connectErrorCodes.has(code))
		: cause !== undefined && isUnwritten(cause);
}

/** Classifies an error that occurred before the response headers arrived. */
export function classifyFailure(error: unknown, signal: AbortSignal): Failure {
	if (isUnwritten(error)) {
		return 'not-written';
	}

	return signal.aborted ? 'canceled' : 'reset';
}

export function classifyProbeError(error: unknown): ProbeResult {
	return errorCode(error) === 'ECONNREFUSED' ? 'refused' : 'silent';
}
