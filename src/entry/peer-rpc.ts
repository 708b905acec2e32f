/**
Remote procedure calls between entry instances over connect-es: server and client.
*/
import {type ConnectRouter} from '@connectrpc/connect';
import {fastifyConnectPlugin} from '@connectrpc/connect-fastify';
import {type FastifyInstance} from 'fastify';
import {Headers} from 'undici';
import {type KnownVersions, type StateTransfer} from '../core/entry/peer-messages.js';
import {PEER_MESSAGE_BYTES_MAX, PeerConnections} from '../daemon/peer/connections.js';
import {EntryPeerService} from '../daemon/peer/gen/entry_pb.js';
import {callTimes} from './call-times.js';
import {createHttpServer} from './http-server.js';
import {decodePeerMessage, encodePeerMessage} from './peer-codec.js';

// The first use of the built-in class loads all of the built-in fetch, which takes 40 ms of processor time.
globalThis.Headers = Headers as unknown as typeof globalThis.Headers;

export type AdapterResult = {
	readonly isHeld: boolean;
	readonly sequence: number;
};

export type EntryPeerHandler = {
	/** Returns what is newer here than the versions that the requesting peer has. */
	createTransfer(known: KnownVersions): StateTransfer;
	ensureAdapter(targetId: string, model: string, adapter: string): Promise<AdapterResult>;
};

export async function createEntryPeerServer(handler: EntryPeerHandler): Promise<FastifyInstance> {
	const server = createHttpServer({forceCloseConnections: true});
	await server.register(fastifyConnectPlugin, {
		readMaxBytes: PEER_MESSAGE_BYTES_MAX,
		routes(router: ConnectRouter) {
			router.service(EntryPeerService, {
				pull: ({holdings}) => ({transfer: encodePeerMessage(handler.createTransfer(decodePeerMessage<KnownVersions>(holdings)))}),
				async ensureAdapter({targetId, model, adapter}) {
					const {isHeld, sequence} = await handler.ensureAdapter(targetId, model, adapter);
					return {isHeld, sequence: BigInt(sequence)};
				},
			});
		},
	});
	return server;
}

export class EntryPeerClient {
	private readonly _connections = new PeerConnections(EntryPeerService);

	/** Returns what is newer at the peer, or undefined when the call fails or times out. */
	async pull(address: string, known: KnownVersions): Promise<StateTransfer | undefined> {
		return this._connections.call(`http://${address}`, callTimes.peerPull, async (client, options) => {
			const {transfer} = await client.pull({holdings: encodePeerMessage(known)}, options);
			return decodePeerMessage<StateTransfer>(transfer);
		});
	}

	async ensureAdapter(address: string, {targetId, model, adapter}: {targetId: string; model: string; adapter: string}): Promise<AdapterResult | undefined> {
		return this._connections.call(`http://${address}`, callTimes.peerAdapter, async (client, options) => {
			const {isHeld, sequence} = await client.ensureAdapter({targetId, model, adapter}, options);
			return {isHeld, sequence: Number(sequence)};
		});
	}

	close(): void {
		this._connections.close();
	}
}
