/**
The table as this instance reaches it: directly, or through a peer that still
does. A cut between this zone and the platform thus does not stop claims as long
as another zone can be reached.
*/
import {type TableAnswer, type TableOperation} from '../../core/table.js';
import {type Table} from './types.js';

const RELAYS_TRIED = 2;
const FAILURES_TO_DOUBT = 2;

/** While the platform is unreachable, every so many operations one goes direct to find out whether it is back. */
const DIRECT_EVERY = 10;

export type RelayOptions = {
	readonly table: Table;
	/** Addresses of peers to try, best first. */
	readonly peers: () => readonly string[];
	readonly relay: (address: string, operation: TableOperation) => Promise<TableAnswer | undefined>;
	readonly onReachable: (reachable: boolean) => void;
};

export class RelayedTable implements Table {
	private _failures = 0;
	private _operations = 0;

	constructor(private readonly _options: RelayOptions) {}

	async run(operation: TableOperation): Promise<TableAnswer> {
		this._operations++;
		const isDoubted = this._failures >= FAILURES_TO_DOUBT;
		if (isDoubted && this._operations % DIRECT_EVERY !== 0) {
			const relayed = await this._relay(operation);
			if (relayed.kind !== 'unavailable') {
				return relayed;
			}
		}

		const answer = await this.runDirect(operation);
		return answer.kind === 'unavailable' && !isDoubted ? this._relay(operation) : answer;
	}

	/** Without peers, for operations that a peer relays to this instance. */
	async runDirect(operation: TableOperation): Promise<TableAnswer> {
		const answer = await this._options.table.run(operation);
		const isFailed = answer.kind === 'unavailable' || answer.kind === 'lost';
		this._failures = isFailed ? this._failures + 1 : 0;
		this._options.onReachable(this._failures < FAILURES_TO_DOUBT);
		return answer;
	}

	private async _relay(operation: TableOperation): Promise<TableAnswer> {
		for (const address of this._options.peers().slice(0, RELAYS_TRIED)) {
			const answer = await this._options.relay(address, operation);
			if (answer === undefined) {
				// The call may have got through before it broke.
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
