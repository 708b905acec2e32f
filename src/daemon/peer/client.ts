/**
Calls to other instances. Every call has a short limit; a connection whose call
ran out of time is dropped, so that the next call opens a new one.
*/
import {Agent} from 'node:http';
import {createClient, type Client} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import {type NumberedConfiguration} from '../../core/configuration/types.js';
import {type Settlement} from '../../core/event.js';
import {type Fact} from '../../core/peer/types.js';
import {type TableAnswer, type TableOperation} from '../../core/table.js';
import {PeerService} from './gen/peer_pb.js';
import {fromWire, toWire} from './wire.js';

const CALL_TIMEOUT_MS = 1000;
const CONFIGURATION_TIMEOUT_MS = 5000;
const IDLE_SOCKETS = 2;

type Connected = {
	readonly client: Client<typeof PeerService>;
	readonly agent: Agent;
};

export type Exchanged = {
	readonly instanceId: string;
	readonly facts: Fact[];
};

export class PeerClient {
	private readonly _connected = new Map<string, Connected>();

	constructor(private readonly _instanceId: string) {}

	async exchange(address: string, facts: readonly Fact[]): Promise<Exchanged | undefined> {
		return this._call(address, async client => {
			const answer = await client.exchange(
				{instanceId: this._instanceId, facts: facts.map(fact => toWire(fact))},
				{timeoutMs: CALL_TIMEOUT_MS},
			);
			return {instanceId: answer.instanceId, facts: answer.facts.map(fact => fromWire(fact))};
		});
	}

	async fetchConfiguration(address: string, afterVersion: number): Promise<NumberedConfiguration | undefined> {
		return this._call(address, async client => {
			const answer = await client.fetchConfiguration({afterVersion: BigInt(afterVersion)}, {timeoutMs: CONFIGURATION_TIMEOUT_MS});
			return answer.document === ''
				? undefined
				: {version: Number(answer.version), configuration: JSON.parse(answer.document) as NumberedConfiguration['configuration']};
		});
	}

	/** The peer's answer from the table. A call that broke may have reached the table. */
	async relayTable(address: string, operation: TableOperation): Promise<TableAnswer | undefined> {
		return this._call(address, async client => {
			const {answer} = await client.relayTable({operation: JSON.stringify(operation)}, {timeoutMs: CALL_TIMEOUT_MS * 3});
			return JSON.parse(answer) as TableAnswer;
		});
	}

	async holdWrite(address: string, settlement: Settlement): Promise<boolean> {
		const held = await this._call(address, async client => {
			await client.holdWrite({operation: JSON.stringify(settlement)}, {timeoutMs: CALL_TIMEOUT_MS});
			return true;
		});
		return held ?? false;
	}

	close(): void {
		for (const {agent} of this._connected.values()) {
			agent.destroy();
		}

		this._connected.clear();
	}

	private async _call<Value>(address: string, run: (client: Client<typeof PeerService>) => Promise<Value>): Promise<Value | undefined> {
		const connected = this._connect(address);
		try {
			return await run(connected.client);
		} catch {
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
			baseUrl: address,
			httpVersion: '1.1',
			useBinaryFormat: true,
			nodeOptions: {agent},
		});
		const connected = {client: createClient(PeerService, transport), agent};
		this._connected.set(address, connected);
		return connected;
	}
}
