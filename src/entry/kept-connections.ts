/**
HTTP connections to many addresses, kept open after a response for later requests. Each
request has a connection to itself: an idle one if the request may use it and there is
one, else a new one. Unlike undici's pool, it never makes a request wait for a connection
that is in use, states whether a connection has carried a response before, and can drop
one whose response was not sound.
*/
import {type Buffer} from 'node:buffer';
import {type Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {buildConnector, type Dispatcher} from 'undici';
import {GuardedClient} from '../daemon/gateways/guarded-client.js';
import {ABORTED_SILENCE_MS} from './call-times.js';
import {EventLoop} from './event-loop.js';

export type IdleRule = {
	/** How long a connection may be idle before it is used again, if the server states no time. */
	readonly defaultMs: number;
	/** Limit for the time that a server states with `Keep-Alive: timeout=N`. */
	readonly maxMs: number;
	/** How much sooner than the server a connection is closed. */
	readonly marginMs: number;
};

export type KeptConnectionsOptions = {
	readonly connectMs: number;
	readonly idle: IdleRule;
	readonly maxResponseBytes?: number;
	readonly eventLoop?: EventLoop;
};

export type KeptRequest = {
	readonly method: string;
	readonly path: string;
	/** A function is called right before the request is written; if it throws, nothing is. */
	readonly headers: string[] | (() => string[]);
	readonly body: Buffer | string | undefined;
	readonly signal: AbortSignal;
	/** Id that the server repeats in its response; absent if it repeats none. */
	readonly requestId?: string;
	/** Whether the request may be sent over a connection that has carried others. It is never sent over one that has carried a request of its id. */
	readonly mayReuse: boolean;
	/** Whether the connection may be kept after the response. */
	readonly mayKeep: boolean;
	/** Number of connections to the address, idle and in use, above which idle ones are closed. */
	readonly maxConnections: number;
	/** Number of idle connections to the address above which the oldest is closed. */
	readonly maxIdle: number;
	/** Called once the response has begun or the request has failed. */
	readonly onConnection?: (use: ConnectionUse) => void;
};

/** The connection of a request. */
export type ConnectionUse = {
	/** Tells connections apart; 0 if none was opened. */
	readonly number: number;
	/** Number of requests that it had carried before. */
	readonly carried: number;
};

export type KeptResponse = {
	readonly status: number;
	readonly headers: string[];
	readonly body: Dispatcher.ResponseData['body'];
	/** Whether the connection had carried another response before. */
	readonly isReused: boolean;
	/** Closes the connection, whatever has been read of the response. */
	readonly drop: () => void;
	/** Closes the connection once the response has been read. */
	readonly retire: () => void;
};

type Connection = {
	readonly client: GuardedClient;
	/** Number of the socket among all of this process, and of the requests that it has carried. */
	number: number;
	carried: number;
	/** Ids of the requests that it has carried. */
	readonly carriedIds: Set<string>;
	carriedIdChars: number;
	/** A socket that was opened for the first request and has not been given to the client yet. */
	unused: Socket | undefined;
	/** Number of sockets that the client has opened: one that was closed while it was idle is replaced before a request is written. */
	sockets: number;
	/** The socket that carried the last response, by its number. */
	usedSocket: number;
	idleSinceMs: number;
	idleLimitMs: number;
};

type Peer = {
	busy: number;
	/** The last one was used last. */
	readonly idle: Connection[];
};

/** A connection in use. */
type Usage = {
	readonly address: string;
	readonly peer: Peer;
	readonly connection: Connection;
};

type LearnedLimit = {
	readonly limitMs: number;
	readonly untilMs: number;
};

const MS_PER_S = 1000;
/** Bytes of a response that are read while its reader takes none. */
const READ_AHEAD_BYTES = 16 * 1024;
/** Part of the idle time after which a connection was found closed, up to which others to the same address are used. */
const LEARNED_SHARE = 0.5;
/** A connection that is closed sooner was not closed for being idle. */
const LEARNED_MIN_MS = 100;
/** How long that holds: the connection may have been closed for another reason, such as a restart. */
const LEARNED_FOR_MS = 30_000;
/** More than the addresses of a large deployment. */
const LEARNED_ADDRESSES_MAX = 2000;
/** Length of all ids that a connection has carried from which it is closed, since it remembers them. */
const CARRIED_ID_CHARS_MAX = 16 * 1024;
/** How much sooner than intended a timer of undici may close a connection. */
const OWN_CLOSE_MS = 50;

export class KeptConnections {
	private readonly _peers = new Map<string, Peer>();
	/** Idle times of addresses that close connections sooner than they state. */
	private readonly _learned = new Map<string, LearnedLimit>();
	private readonly _clients = new Set<GuardedClient>();
	private _lastNumber = 0;
	private readonly _connectSocket: buildConnector.connector;
	private readonly _eventLoop: EventLoop;

	constructor(private readonly _options: KeptConnectionsOptions) {
		this._eventLoop = _options.eventLoop ?? new EventLoop();
		this._connectSocket = buildConnector({timeout: _options.connectMs});
	}

	hasIdle(address: string): boolean {
		return this._peers.get(address)?.idle.some(connection => isUsable(connection)) ?? false;
	}

	/** Whether a connection is open, idle or with a response under way. */
	hasOpen(address: string): boolean {
		const peer = this._peers.get(address);
		return peer !== undefined && (peer.busy > 0 || peer.idle.some(({client}) => client.stats.connected));
	}

	async request(address: string, request: KeptRequest): Promise<KeptResponse> {
		const peer = this._peer(address);
		const kept = request.mayReuse ? takeIdle(peer, request) : undefined;
		const connection = kept ?? this._open(address, peer);
		noteCarried(connection, request);
		peer.busy++;
		this._closeSurplus(peer, request);
		const sentAtMs = performance.now();
		const idleMs = sentAtMs - connection.idleSinceMs;
		try {
			const {method, path, headers, body, signal} = request;
			if (!kept) {
				connection.unused = await this._connect(address, signal);
			}

			// What has arrived meanwhile is read before the request is written: that its caller has left, or that the server has closed a kept connection.
			const response = await this._eventLoop.afterRead(async () => {
				signal.throwIfAborted();
				return connection.client.request({
					method, path, headers: typeof headers === 'function' ? headers() : headers, body, signal, responseHeaders: 'raw', highWaterMark: READ_AHEAD_BYTES,
				});
			});
			request.onConnection?.(useOf(connection));
			return this._receive({address, peer, connection}, request, response);
		} catch (error) {
			request.onConnection?.(useOf(connection));
			peer.busy--;
			this._forgetUnused(address, peer);
			this._close(connection);
			if (isReused(connection) && !request.signal.aborted) {
				this._learn(address, idleMs);
			}

			if (kept && request.signal.aborted && performance.now() - sentAtMs >= ABORTED_SILENCE_MS) {
				this._dropIdle(address, sentAtMs);
			}

			throw error;
		}
	}

	async close(): Promise<void> {
		const clients = [...this._clients];
		this._peers.clear();
		await Promise.all(clients.map(async client => client.destroy()));
	}

	private _receive({address, peer, connection}: Usage, request: KeptRequest, {statusCode, headers: parsed, body}: Dispatcher.ResponseData): KeptResponse {
		const headers = parsed as unknown as string[];
		const wasUsed = isReused(connection);
		connection.usedSocket = connection.sockets;
		connection.carried++;
		let isRetired = false;
		let isEnded = false;
		const end = (isComplete: boolean) => {
			if (isEnded) {
				return;
			}

			isEnded = true;
			peer.busy--;
			if (isComplete && !isRetired && request.mayKeep) {
				this._keep({address, peer, connection}, request, headers);
			} else {
				this._close(connection);
			}

			this._forgetUnused(address, peer);
		};

		body.once('end', () => {
			end(true);
		});
		body.once('close', () => {
			end(false);
		});
		return {
			status: statusCode,
			headers,
			body,
			isReused: wasUsed,
			drop: () => {
				isRetired = true;
				this._close(connection);
			},
			retire() {
				isRetired = true;
			},
		};
	}

	/** Keeps a connection whose response is complete, unless the server closes it. */
	private _keep({address, peer, connection}: Usage, request: KeptRequest, headers: readonly string[]): void {
		connection.idleSinceMs = performance.now();
		connection.idleLimitMs = Math.min(idleLimitMs(this._options.idle, headers), this._learnedLimitMs(address));
		// undici has closed the connection by now if the response was not well formed or stated `Connection: close`.
		if (!isUsable(connection) || connection.carriedIdChars >= CARRIED_ID_CHARS_MAX) {
			this._close(connection);
			return;
		}

		peer.idle.push(connection);
		this._closeSurplus(peer, request);
	}

	/** Closes the idle connections that were used the longest ago, as far as there are too many. */
	private _closeSurplus({idle, busy}: Peer, {maxConnections, maxIdle}: KeptRequest): void {
		while (idle.length > Math.min(maxIdle, Math.max(0, maxConnections - busy))) {
			this._close(idle.shift()!);
		}
	}

	private _peer(address: string): Peer {
		let peer = this._peers.get(address);
		if (!peer) {
			peer = {busy: 0, idle: []};
			this._peers.set(address, peer);
		}

		return peer;
	}

	private _forgetUnused(address: string, peer: Peer): void {
		if (peer.busy === 0 && peer.idle.length === 0 && this._peers.get(address) === peer) {
			this._peers.delete(address);
		}
	}

	private _open(address: string, peer: Peer): Connection {
		const {idle, maxResponseBytes} = this._options;
		const client = new GuardedClient(`http://${address}`, {
			pipelining: 1,
			keepAliveTimeout: idle.defaultMs,
			keepAliveMaxTimeout: idle.maxMs,
			keepAliveTimeoutThreshold: idle.marginMs,
			// Silence is noticed by those who send requests, from the usual response times.
			headersTimeout: 0,
			bodyTimeout: 0,
			maxResponseSize: maxResponseBytes,
			connect: (options, callback) => {
				const {unused} = connection;
				connection.unused = undefined;
				const connect: buildConnector.connector = unused && !unused.destroyed
					? (_options, done) => {
						// The client does not go on after a connector that calls back at once.
						queueMicrotask(() => {
							done(null, unused);
						});
					}
					: this._connectSocket;
				connect(options, (...result) => {
					const [error] = result;
					if (error === null) {
						connection.sockets++;
						this._lastNumber++;
						connection.number = this._lastNumber;
						connection.carried = 0;
					}

					callback(...result);
				});
			},
		});
		const connection: Connection = {
			client, unused: undefined, number: 0, carried: 0, carriedIds: new Set(), carriedIdChars: 0, sockets: 0, usedSocket: 0, idleSinceMs: 0, idleLimitMs: 0,
		};
		this._clients.add(client);
		client.on('disconnect', () => {
			const index = peer.idle.indexOf(connection);
			if (index !== -1) {
				peer.idle.splice(index, 1);
				this._forgetUnused(address, peer);
				const idleMs = performance.now() - connection.idleSinceMs;
				if (idleMs < connection.idleLimitMs - OWN_CLOSE_MS) {
					this._learn(address, idleMs);
				}

				this._close(connection);
			}
		});
		return connection;
	}

	private async _connect(address: string, signal: AbortSignal): Promise<Socket> {
		const {host, hostname, port, protocol} = new URL(`http://${address}`);
		return new Promise((resolve, reject) => {
			const abort = () => {
				reject(signal.reason as Error);
			};

			signal.addEventListener('abort', abort, {once: true});
			this._connectSocket({
				host, hostname, port, protocol,
			}, (error, socket) => {
				signal.removeEventListener('abort', abort);
				if (error) {
					reject(error);
				} else if (signal.aborted) {
					socket.destroy();
				} else {
					resolve(socket);
				}
			});
		});
	}

	/** A connection was found closed after this idle time. */
	private _learn(address: string, idleMs: number): void {
		if (idleMs < LEARNED_MIN_MS) {
			return;
		}

		const limitMs = Math.min(idleMs * LEARNED_SHARE, this._learnedLimitMs(address));
		this._learned.delete(address);
		this._learned.set(address, {limitMs, untilMs: performance.now() + LEARNED_FOR_MS});
		if (this._learned.size > LEARNED_ADDRESSES_MAX) {
			this._learned.delete(this._learned.keys().next().value!);
		}
	}

	private _learnedLimitMs(address: string): number {
		const learned = this._learned.get(address);
		return learned && performance.now() < learned.untilMs ? learned.limitMs : Number.POSITIVE_INFINITY;
	}

	/** Closes the idle connections that have brought nothing since a time. */
	private _dropIdle(address: string, sinceMs: number): void {
		const peer = this._peers.get(address);
		if (!peer) {
			return;
		}

		for (const connection of peer.idle.filter(({idleSinceMs}) => idleSinceMs < sinceMs)) {
			peer.idle.splice(peer.idle.indexOf(connection), 1);
			this._close(connection);
		}

		this._forgetUnused(address, peer);
	}

	private _close({client, unused}: Connection): void {
		unused?.destroy();
		this._clients.delete(client);
		void client.destroy();
	}
}

function useOf({number, carried}: Connection): ConnectionUse {
	return {number, carried};
}

/** Whether the socket of a connection has carried a response. One that was closed while it was idle has been replaced. */
function isReused({sockets, usedSocket}: Connection): boolean {
	return usedSocket > 0 && sockets === usedSocket;
}

/**
Takes the idle connection that was used last, which the server keeps open the longest. A late second response to a request
cannot be told from the response to a request of the same id, so one that has carried the id is not taken.
*/
function takeIdle({idle}: Peer, {requestId}: KeptRequest): Connection | undefined {
	const index = idle.findLastIndex(connection => isUsable(connection) && (requestId === undefined || !connection.carriedIds.has(requestId)));
	return index === -1 ? undefined : idle.splice(index, 1)[0];
}

function noteCarried(connection: Connection, {requestId}: KeptRequest): void {
	if (requestId !== undefined) {
		connection.carriedIds.add(requestId);
		connection.carriedIdChars += requestId.length;
	}
}

function isUsable({client, idleSinceMs, idleLimitMs: limitMs}: Connection): boolean {
	return client.stats.connected && performance.now() - idleSinceMs < limitMs;
}

/** How long a connection may be idle after a response with these headers. */
function idleLimitMs({defaultMs, maxMs, marginMs}: IdleRule, headers: readonly string[]): number {
	const index = headers.findIndex((name, position) => position % 2 === 0 && name.toLowerCase() === 'keep-alive');
	const stated = index === -1 ? undefined : /(?:^|[\s,])timeout=(?<seconds>\d+)/iv.exec(headers[index + 1]!)?.groups?.seconds;
	return stated === undefined ? defaultMs : Math.min(maxMs, (Number(stated) * MS_PER_S) - marginMs);
}
