/**
Kept connections to other instances. A connection whose call failed or ran out of time
is dropped, so that the next call opens a new one.
*/
import {Agent} from 'node:http';
import {type DescService} from '@bufbuild/protobuf';
import {createClient, type Client} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';

const IDLE_SOCKETS = 2;

type Connected<Service extends DescService> = {
	readonly client: Client<Service>;
	readonly agent: Agent;
};

export class PeerConnections<Service extends DescService> {
	private readonly _connected = new Map<string, Connected<Service>>();

	constructor(private readonly _service: Service) {}

	/** Runs a call against the base URL of a peer. Undefined when it failed, which callers take for a peer that is not reached. */
	async call<Value>(baseUrl: string, run: (client: Client<Service>) => Promise<Value>): Promise<Value | undefined> {
		const connected = this._connect(baseUrl);
		try {
			return await run(connected.client);
		} catch {
			connected.agent.destroy();
			if (this._connected.get(baseUrl) === connected) {
				this._connected.delete(baseUrl);
			}

			return undefined;
		}
	}

	close(): void {
		for (const {agent} of this._connected.values()) {
			agent.destroy();
		}

		this._connected.clear();
	}

	private _connect(baseUrl: string): Connected<Service> {
		const known = this._connected.get(baseUrl);
		if (known) {
			return known;
		}

		const agent = new Agent({keepAlive: true, maxFreeSockets: IDLE_SOCKETS});
		const transport = createConnectTransport({
			baseUrl, httpVersion: '1.1', useBinaryFormat: true, nodeOptions: {agent},
		});
		const connected = {client: createClient(this._service, transport), agent};
		this._connected.set(baseUrl, connected);
		return connected;
	}
}
