/**
Access to the table, directly or relayed by a peer. Claims thus keep working during a
network partition between this zone and the platform, as long as another zone can be
reached.
*/
import {type TableAnswer, type TableOperation} from '../../core/table.js';
import {type Table} from './types.js';

const MAX_RELAY_ATTEMPTS = 2;

/** Consecutive failures of direct operations after which the platform counts as unreachable. */
const FAILURE_THRESHOLD = 2;

/** While the platform is unreachable, one of this many operations is run directly, to notice when it is reachable again. */
const OPERATIONS_PER_DIRECT_PROBE = 10;

export type RelayedTableOptions = {
	readonly table: Table;
	/** Addresses of peers that can relay, best first. */
	readonly relayAddresses: () => readonly string[];
	/** Runs an operation through a peer; undefined if the call failed. */
	readonly relay: (address: string, operation: TableOperation) => Promise<TableAnswer | undefined>;
	/** Called with the state of the platform after every direct operation. */
	readonly reportReachability: (reachable: boolean) => void;
};

export class RelayedTable implements Table {
	private _consecutiveFailures = 0;
	private _operationCount = 0;

	constructor(private readonly _options: RelayedTableOptions) {}

	async run(operation: TableOperation): Promise<TableAnswer> {
		this._operationCount++;
		const isUnreachable = this._consecutiveFailures >= FAILURE_THRESHOLD;
		if (isUnreachable && this._operationCount % OPERATIONS_PER_DIRECT_PROBE !== 0) {
			const relayed = await this._relay(operation);
			if (relayed.kind !== 'unavailable') {
				return relayed;
			}
		}

		const answer = await this.runDirect(operation);
		return answer.kind === 'unavailable' && !isUnreachable ? this._relay(operation) : answer;
	}

	/** Runs an operation without a relay, also for operations that a peer relays to this instance. */
	async runDirect(operation: TableOperation): Promise<TableAnswer> {
		const answer = await this._options.table.run(operation);
		const isFailed = answer.kind === 'unavailable' || answer.kind === 'lost';
		this._consecutiveFailures = isFailed ? this._consecutiveFailures + 1 : 0;
		this._options.reportReachability(this._consecutiveFailures < FAILURE_THRESHOLD);
		return answer;
	}

	private async _relay(operation: TableOperation): Promise<TableAnswer> {
		for (const address of this._options.relayAddresses().slice(0, MAX_RELAY_ATTEMPTS)) {
			const answer = await this._options.relay(address, operation);
			if (answer === undefined) {
				// The write may have reached the table before the call failed.
				if (operation.kind === 'write') {
					return {kind: 'lost'};
				}
			} else if (answer.kind !== 'unavailable') {
				return answer;
			}
		}

		return {kind: 'unavailable'};
	}
}
