/**
Facts known to this instance, and how often each is still to be sent.
*/
import {type Fact} from './types.js';

export type FactRecord = {
	readonly fact: Fact;
	/** Number of exchanges in which the fact is still to be sent as new. */
	sendsLeft: number;
	readonly receivedAtMs: number;
	/** Size of the fact in an exchange. */
	readonly bytes: number;
};

export class PeerState {
	readonly facts = new Map<string, FactRecord>();
	/** Queue of the keys of facts that are still to be sent as new. */
	readonly news: string[] = [];
	/** Position of the sweep, which resends old facts to repair losses and to reach new instances. */
	sweep: IterableIterator<string> | undefined;
	version = 0;

	toJSON(): unknown {
		return {
			facts: Object.fromEntries([...this.facts].map(([key, {fact}]) => [key, {origin: fact.origin, version: fact.version, value: fact.value}])),
			news: this.news.length,
		};
	}
}
