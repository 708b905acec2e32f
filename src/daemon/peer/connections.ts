/**
Keep-alive connections to other instances. A connection on which a call failed or timed out
is closed, so that the next call opens a new one.
*/
import {Agent} from 'node:http';
import {type DescService} from '@bufbuild/protobuf';
import {createClient, type Client} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';

const MAX_IDLE_SOCKETS = 2;
/** Limit for a message, several times the whole state of a large deployment. */
export const PEER_MESSAGE_BYTES_MAX = 16 * 1024 * 1024;

type PeerConnection<Service extends DescService> = {
	readonly client: Client<Service>;
	readonly agent: Agent;
};

export class PeerConnections<Service extends DescService> {
	private readonly _connections = new Map<string, PeerConnection<Service>>();

	constructor(private readonly _service: Service) {}

	/** Makes an RPC to the peer at a base URL. Resolves to undefined if it fails; the peer then counts as unreachable. */
	async call<Value>(baseUrl: string, invoke: (client: Client<Service>) => Promise<Value>): Promise<Value | undefined> {
		const connection = this._connect(baseUrl);
		try {
			return await invoke(connection.client);
		} catch {
			connection.agent.destroy();
			if (this._connections.get(baseUrl) === connection) {
				this._connections.delete(baseUrl);
			}

			return undefined;
		}
	}

	close(): void {
		for (const {agent} of this._connections.values()) {
			agent.destroy();
		}

		this._connections.clear();
	}

	private _connect(baseUrl: string): PeerConnection<Service> {
		const existing = this._connections.get(baseUrl);
		if (existing) {
			return existing;
		}

		const agent = new Agent({keepAlive: true, maxFreeSockets: MAX_IDLE_SOCKETS});
		const transport = createConnectTransport({
			baseUrl, httpVersion: '1.1', useBinaryFormat: true, nodeOptions: {agent}, readMaxBytes: PEER_MESSAGE_BYTES_MAX,
		});
		const connection = {client: createClient(this._service, transport), agent};
		this._connections.set(baseUrl, connection);
		return connection;
	}
}
