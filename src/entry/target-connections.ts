/**
Connections to targets. By default, a fresh connection serves each request that must run
at most once or is retried, since a stale one could lose a request of the former kind or
have it executed twice; the others use connections that earlier ones have left. Where all
requests reuse connections, only those open one that follow a failure of their own.
docs/design/0013-connection-reuse.md gives the reasons.
*/
import {type Buffer} from 'node:buffer';
import {connect} from 'node:net';
import {type ProbeOutcome} from '../core/entry/event.js';
import {errorCode} from '../daemon/gateways/connection-pool.js';
import {startLoopTimer} from '../daemon/loop-timer.js';
import {callTimes} from './call-times.js';
import {type RawHeaders} from './deployment.js';
import {type EventLoop} from './event-loop.js';
import {isServerAddress} from './server-address.js';
import {
	KeptConnections, type ConnectionUse, type IdleRule, type KeptResponse,
} from './kept-connections.js';

/** Short enough to close idle connections before targets do. */
const SHORT_IDLE: IdleRule = {defaultMs: 2000, maxMs: 2000, marginMs: 2000};
/** For requests of all kinds: as long as the target states, less a second for what is under way and for timers that fire early. */
export const STATED_IDLE: IdleRule = {defaultMs: 2000, maxMs: 15_000, marginMs: 1000};
/** Limits for the rest of a response that is only read to keep its connection. */
const DISCARDED_BYTES_MAX = 16 * 1024;
const DISCARD_TIMEOUT_MS = 200;

/** Error code of a connection that nobody listens for. */
export const REFUSED_CODE = 'ECONNREFUSED';

export type TargetRequest = {
	readonly method: string;
	readonly path: string;
	/** A function is called right before the request is written; if it throws, nothing is. */
	readonly headers: string[] | (() => string[]);
	readonly body: Buffer | undefined;
	readonly signal: AbortSignal;
	/** Id that the target repeats in its response; absent if it repeats none. */
	readonly requestId?: string;
	/** Whether the request opens a connection unless all requests reuse them. */
	readonly usesFreshConnection: boolean;
	/** Whether the request opens a connection in any case, since an earlier try of it failed or went to another instance. */
	readonly followsFailure?: boolean;
	readonly maxConnections: number;
	/** Where all requests reuse connections; without limit if absent. */
	readonly maxIdleConnections?: number;
	/** Called once the response has begun or the request has failed. */
	readonly onConnection?: (use: ConnectionUse) => void;
};

export type ReuseMode = 'repeatable' | 'all';

/** Why a connection was opened. */
export type OpeningReason = 'none-idle' | 'must-run-once' | 'retry' | 'probe';

export type TargetConnectionsOptions = {
	readonly reuse?: ReuseMode;
	readonly eventLoop?: EventLoop;
	/** Called for each request that is given a connection, and for each probe. */
	readonly onConnection?: (use: 'reused' | OpeningReason) => void;
};

export type TargetResponse = Omit<KeptResponse, 'headers'> & {
	readonly headers: RawHeaders;
	/** Whether the connection may bring a second response to a request that it carried before, so that a response has to name its request. */
	readonly mustNameRequest: boolean;
};

export class TargetConnections {
	private readonly _connections: KeptConnections;

	constructor(private readonly _options: TargetConnectionsOptions = {}) {
		this._connections = new KeptConnections({
			connectMs: callTimes.targetRequest.connectMs, idle: this._reusesAll ? STATED_IDLE : SHORT_IDLE, eventLoop: _options.eventLoop,
		});
	}

	private get _reusesAll(): boolean {
		return this._options.reuse === 'all';
	}

	/** Whether a request that follows no failure would use a connection that is open. */
	hasIdle(address: string): boolean {
		return this._connections.hasIdle(address);
	}

	/** Whether a connection is open, idle or in use. */
	hasOpen(address: string): boolean {
		return this._connections.hasOpen(address);
	}

	async request(address: string, {usesFreshConnection, followsFailure = false, maxIdleConnections = Number.POSITIVE_INFINITY, ...request}: TargetRequest): Promise<TargetResponse> {
		const reusesAll = this._reusesAll;
		const mayReuse = reusesAll ? !followsFailure : !usesFreshConnection;
		const reason = mayReuse ? 'none-idle' : (followsFailure ? 'retry' : 'must-run-once');
		const response = await this._connections.request(address, {
			...request,
			mayReuse,
			mayKeep: reusesAll || !usesFreshConnection,
			maxIdle: reusesAll ? maxIdleConnections : request.maxConnections,
			onConnection: use => {
				request.onConnection?.(use);
				this._options.onConnection?.(use.carried > 0 ? 'reused' : reason);
			},
		});
		return {...response, mustNameRequest: response.isReused};
	}

	/** Opens a connection and closes it at once. */
	async probe(address: string): Promise<ProbeOutcome> {
		this._options.onConnection?.('probe');
		if (!isServerAddress(address)) {
			// Instances of an earlier release pass such addresses on.
			return 'unanswered';
		}

		const [host, port] = address.split(':');
		return new Promise(resolve => {
			const socket = connect({host, port: Number(port)});
			const timer = startLoopTimer(callTimes.targetRequest.connectMs, () => {
				end('unanswered');
			});
			const end = (outcome: ProbeOutcome) => {
				timer.cancel();
				socket.destroy();
				resolve(outcome);
			};

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

export {type ConnectionUse} from './kept-connections.js';
export {errorCode, isUnwritten} from '../daemon/gateways/connection-pool.js';
