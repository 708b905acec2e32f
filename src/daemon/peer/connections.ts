/**
Keep-alive connections to other instances. An open connection can go silent for good while
new ones work: a call that may be repeated goes on over a new connection after a silence,
and the idle connections to a peer are closed once a call to it failed or was silent.
*/
import {Agent} from 'node:http';
import {type DescService} from '@bufbuild/protobuf';
import {createClient, type Client} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import {hedge} from '../hedged-call.js';

const MAX_IDLE_SOCKETS = 2;
/** Limit for a message, several times the whole state of a large deployment. */
export const PEER_MESSAGE_BYTES_MAX = 16 * 1024 * 1024;

type PeerConnection<Service extends DescService> = {
	readonly client: Client<Service>;
	readonly agent: Agent;
};

export type PeerCallOptions = {
	readonly timeoutMs: number;
	/** Silence after which the call is also made over a new connection; undefined if it must not be made twice. */
	readonly repeatAfterMs?: number;
};

/** Makes the RPC with the given options. */
type Invoke<Service extends DescService, Value> = (client: Client<Service>, options: {signal: AbortSignal}) => Promise<Value>;

export class PeerConnections<Service extends DescService> {
	private readonly _connections = new Map<string, PeerConnection<Service>>();
	private readonly _retired = new Set<Agent>();

	constructor(private readonly _service: Service) {}

	/** Makes an RPC to the peer at a base URL. Resolves to undefined if it fails; the peer then counts as unreachable. */
	async call<Value>(baseUrl: string, {timeoutMs, repeatAfterMs}: PeerCallOptions, invoke: Invoke<Service, Value>): Promise<Value | undefined> {
		const first = this._connect(baseUrl);
		let repeat: PeerConnection<Service> | undefined;
		const result = await hedge<{readonly value: Value} | undefined>({
			timeoutMs,
			repeatAfterMs,
			attempt: async (signal, isRepeat) => {
				if (isRepeat) {
					repeat = this._open(baseUrl);
				}

				const {client} = repeat ?? first;
				try {
					const value = await invoke(client, {signal});
					return {isDone: true, value: {value}};
				} catch {
					return {isDone: false, value: undefined};
				}
			},
			combineFailures: () => undefined,
			onSilent: () => {
				this._replace(baseUrl, first, repeat);
			},
		});
		if (!result) {
			this._replace(baseUrl, first);
		}

		if (repeat && this._connections.get(baseUrl) !== repeat) {
			this._retire(repeat.agent);
		}

		return result?.value;
	}

	close(): void {
		for (const agent of [...this._retired, ...[...this._connections.values()].map(({agent}) => agent)]) {
			agent.destroy();
		}

		this._retired.clear();
		this._connections.clear();
	}

	private _connect(baseUrl: string): PeerConnection<Service> {
		const existing = this._connections.get(baseUrl);
		if (existing) {
			return existing;
		}

		const connection = this._open(baseUrl);
		this._connections.set(baseUrl, connection);
		return connection;
	}

	private _open(baseUrl: string): PeerConnection<Service> {
		const agent = new Agent({keepAlive: true, maxFreeSockets: MAX_IDLE_SOCKETS});
		const transport = createConnectTransport({
			baseUrl, httpVersion: '1.1', useBinaryFormat: true, nodeOptions: {agent}, readMaxBytes: PEER_MESSAGE_BYTES_MAX,
		});
		return {client: createClient(this._service, transport), agent};
	}

	/** Stops using connections to a peer, unless others have replaced them already. */
	private _replace(baseUrl: string, old: PeerConnection<Service>, replacement?: PeerConnection<Service>): void {
		if (this._connections.get(baseUrl) !== old) {
			return;
		}

		this._retire(old.agent);
		if (replacement) {
			this._connections.set(baseUrl, replacement);
		} else {
			this._connections.delete(baseUrl);
		}
	}

	/** Closes the idle connections of an agent at once, and the others when their calls have ended. */
	private _retire(agent: Agent): void {
		agent.maxFreeSockets = 0;
		for (const socket of Object.values(agent.freeSockets).flat()) {
			socket?.destroy();
		}

		if (Object.keys(agent.sockets).length === 0) {
			return;
		}

		this._retired.add(agent);
		const forget = () => {
			if (Object.keys(agent.sockets).length === 0) {
				this._retired.delete(agent);
			}
		};

		for (const socket of Object.values(agent.sockets).flat()) {
			// After the agent's own listener, which removes the socket.
			socket?.once('close', forget);
		}
	}
}
