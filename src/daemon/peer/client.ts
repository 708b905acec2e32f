/**
RPC client for other instances. Every call has a short timeout.
*/
import {type VersionedConfiguration} from '../../core/configuration/types.js';
import {type Settlement} from '../../core/event.js';
import {type Fact} from '../../core/peer/types.js';
import {type TableAnswer, type TableOperation} from '../../core/table.js';
import {PeerConnections} from './connections.js';
import {PeerService} from './gen/peer_pb.js';
import {decodeFact, encodeFact} from './fact-codec.js';

const CALL_TIMEOUT_MS = 1000;
const CONFIGURATION_TIMEOUT_MS = 5000;

export type ExchangeResult = {
	readonly instanceId: string;
	readonly facts: Fact[];
};

export class PeerClient {
	private readonly _connections = new PeerConnections(PeerService);

	constructor(private readonly _instanceId: string) {}

	/** Sends facts to a peer. Resolves to the facts that it returns; undefined if the call failed. */
	async exchange(address: string, facts: readonly Fact[]): Promise<ExchangeResult | undefined> {
		return this._connections.call(address, {timeoutMs: CALL_TIMEOUT_MS}, async (client, options) => {
			const response = await client.exchange({instanceId: this._instanceId, facts: facts.map(fact => encodeFact(fact))}, options);
			return {instanceId: response.instanceId, facts: response.facts.map(fact => decodeFact(fact))};
		});
	}

	/** The peer's configuration if it is newer than `afterVersion`; undefined if it is not or the call failed. */
	async fetchConfiguration(address: string, afterVersion: number): Promise<VersionedConfiguration | undefined> {
		return this._connections.call(address, {timeoutMs: CONFIGURATION_TIMEOUT_MS}, async (client, options) => {
			const response = await client.fetchConfiguration({afterVersion: BigInt(afterVersion)}, options);
			return response.document === ''
				? undefined
				: {version: Number(response.version), configuration: JSON.parse(response.document) as VersionedConfiguration['configuration']};
		});
	}

	/** Runs a table operation through a peer; undefined if the call failed, in which case the operation may still have reached the table. */
	async relayTable(address: string, operation: TableOperation): Promise<TableAnswer | undefined> {
		return this._connections.call(address, {timeoutMs: CALL_TIMEOUT_MS * 3}, async (client, options) => {
			const {answer} = await client.relayTable({operation: JSON.stringify(operation)}, options);
			return JSON.parse(answer) as TableAnswer;
		});
	}

	/** Asks a peer to keep a replica of a settlement. Resolves to whether it does. */
	async holdWrite(address: string, settlement: Settlement): Promise<boolean> {
		const isStored = await this._connections.call(address, {timeoutMs: CALL_TIMEOUT_MS}, async (client, options) => {
			await client.holdWrite({operation: JSON.stringify(settlement)}, options);
			return true;
		});
		return isStored ?? false;
	}

	close(): void {
		this._connections.close();
	}
}
