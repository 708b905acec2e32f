/**
RPC server for other instances.
*/
import {type ConnectRouter} from '@connectrpc/connect';
import {fastifyConnectPlugin} from '@connectrpc/connect-fastify';
import {fastify, type FastifyInstance} from 'fastify';
import {type VersionedConfiguration} from '../../core/configuration/types.js';
import {type Settlement} from '../../core/event.js';
import {type Fact} from '../../core/peer/types.js';
import {type TableAnswer, type TableOperation} from '../../core/table.js';
import {PeerService} from './gen/peer_pb.js';
import {decodeFact, encodeFact} from './fact-codec.js';

/** Implemented by the daemon to serve its peers' calls. */
export type PeerHandler = {
	readonly instanceId: string;
	/** Takes facts from a peer and returns the facts to send back. */
	exchange(from: string, facts: readonly Fact[]): readonly Fact[];
	currentConfiguration(): VersionedConfiguration;
	/** Runs an operation that the peer relays, directly against the table. */
	runTableOperation(operation: TableOperation): Promise<TableAnswer>;
	/** Keeps a replica of a settlement. */
	holdWrite(settlement: Settlement): void;
};

export async function createPeerServer(handler: PeerHandler): Promise<FastifyInstance> {
	const server = fastify({forceCloseConnections: true});
	await server.register(fastifyConnectPlugin, {
		routes(router: ConnectRouter) {
			router.service(PeerService, {
				exchange({instanceId, facts}) {
					const responseFacts = handler.exchange(instanceId, facts.map(fact => decodeFact(fact)));
					return {instanceId: handler.instanceId, facts: responseFacts.map(fact => encodeFact(fact))};
				},
				fetchConfiguration({afterVersion}) {
					const {version, configuration} = handler.currentConfiguration();
					return version > Number(afterVersion)
						? {document: JSON.stringify(configuration), version: BigInt(version)}
						: {document: '', version: 0n};
				},
				async relayTable({operation}) {
					const answer = await handler.runTableOperation(JSON.parse(operation) as TableOperation);
					return {answer: JSON.stringify(answer)};
				},
				holdWrite({operation}) {
					handler.holdWrite(JSON.parse(operation) as Settlement);
					return {};
				},
			});
		},
	});
	return server;
}
