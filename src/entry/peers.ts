/**
Pulls and questions between entry instances over connect-es: a listener and a client.
*/
import {Agent} from 'node:http';
import {createClient, type Client, type ConnectRouter} from '@connectrpc/connect';
import {fastifyConnectPlugin} from '@connectrpc/connect-fastify';
import {createConnectTransport} from '@connectrpc/connect-node';
import {fastify, type FastifyInstance} from 'fastify';
import {type Holdings, type Transfer} from '../core/entry/knowledge.js';
import {EntryPeerService} from '../daemon/peer/gen/entry_pb.js';
import {decodePeer, encodePeer} from './peer-codec.js';

/** Many round trips between zones; a connection that takes longer is given up. */
const PULL_TIMEOUT_MS = 800;
/** An order at the engine and the way there and back. */
const ADAPTER_TIMEOUT_MS = 1000;
const IDLE_SOCKETS = 2;

export type AdapterAnswer = {
	readonly isHeld: boolean;
	readonly sequence: number;
};

export type EntryPeerHandler = {
	/** What is newer here than what the asker holds. */
	transfer(holdings: Holdings): Transfer;
	ensureAdapter(targetId: string, model: string, adapter: string): Promise<AdapterAnswer>;
};

export async function createEntryPeerServer(handler: EntryPeerHandler): Promise<FastifyInstance> {
	const server = fastify({forceCloseConnections: true});
	await server.register(fastifyConnectPlugin, {
		routes(router: ConnectRouter) {
			router.service(EntryPeerService, {
				pull: ({holdings}) => ({transfer: encodePeer(handler.transfer(decodePeer<Holdings>(holdings)))}),
				async ensureAdapter({targetId, model, adapter}) {
					const {isHeld, sequence} = await handler.ensureAdapter(targetId, model, adapter);
					return {isHeld, sequence: BigInt(sequence)};
				},
			});
		},
	});
	return server;
}

type Connected = {
	readonly client: Client<typeof EntryPeerService>;
	readonly agent: Agent;
};

export class EntryPeers {
	private readonly _connected = new Map<string, Connected>();

	/** What is newer at the peer, undefined when it did not answer in time. */
	async pull(address: string, holdings: Holdings): Promise<Transfer | undefined> {
		return this._call(address, async client => {
			const {transfer} = await client.pull({holdings: encodePeer(holdings)}, {timeoutMs: PULL_TIMEOUT_MS});
			return decodePeer<Transfer>(transfer);
		});
	}

	async ensureAdapter(address: string, {targetId, model, adapter}: {targetId: string; model: string; adapter: string}): Promise<AdapterAnswer | undefined> {
		return this._call(address, async client => {
			const {isHeld, sequence} = await client.ensureAdapter({targetId, model, adapter}, {timeoutMs: ADAPTER_TIMEOUT_MS});
			return {isHeld, sequence: Number(sequence)};
		});
	}

	close(): void {
		for (const {agent} of this._connected.values()) {
			agent.destroy();
		}

		this._connected.clear();
	}

	private async _call<Value>(address: string, run: (client: Client<typeof EntryPeerService>) => Promise<Value>): Promise<Value | undefined> {
		const connected = this._connect(address);
		try {
			return await run(connected.client);
		} catch {
			// Beacons tell which peers live; the next call opens a new connection.
			connected.agent.destroy();
			if (this._connected.get(address) === connected) {
				this._connected.delete(address);
			}

			return undefined;
		}
	}

	private _connect(address: string): Connected {
		const known = this._connected.get(address);
		if (known) {
			return known;
		}

		const agent = new Agent({keepAlive: true, maxFreeSockets: IDLE_SOCKETS});
		const transport = createConnectTransport({
			baseUrl: `http://${address}`, httpVersion: '1.1', useBinaryFormat: true, nodeOptions: {agent},
		});
		const connected = {client: createClient(EntryPeerService, transport), agent};
		this._connected.set(address, connected);
		return connected;
	}
}
