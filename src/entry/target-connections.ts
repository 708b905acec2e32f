/**
Connections to targets. By default, a fresh connection serves each request that must run
at most once or is retried, since a stale one could lose a request of the former kinds or
have it executed twice; the others use connections that earlier ones have left.
*/
import {type Buffer} from 'node:buffer';
import {connect} from 'node:net';
import {type ProbeOutcome} from '../core/entry/event.js';
import {errorCode} from '../daemon/gateways/connection-pool.js';
import {callTimes} from './call-times.js';
import {type RawHeaders} from './deployment.js';
import {KeptConnections, type IdleRule, type KeptResponse} from './kept-connections.js';

/** Short enough to close idle connections before targets do. */
const SHORT_IDLE: IdleRule = {defaultMs: 2000, maxMs: 2000, marginMs: 2000};
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

export type TargetResponse = Omit<KeptResponse, 'headers'> & {
	readonly headers: RawHeaders;
};

export class TargetConnections {
	private readonly _connections = new KeptConnections({connectMs: callTimes.targetRequest.connectMs, idle: SHORT_IDLE});

	async request(address: string, {usesFreshConnection, ...request}: TargetRequest): Promise<TargetResponse> {
		return this._connections.request(address, {...request, mayReuse: !usesFreshConnection, mayKeep: !usesFreshConnection});
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

			socket.setTimeout(callTimes.targetRequest.connectMs, () => {
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
		await this._connections.close();
	}
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
