/**
Facts held by this instance and how often each was passed on.
*/
import {type Fact} from './types.js';

export type FactRecord = {
	readonly fact: Fact;
	/** Exchanges in which the fact is still to be sent as news. */
	sendsLeft: number;
	readonly receivedAtMs: number;
	/** Size in an exchange. */
	readonly bytes: number;
};

export class PeerState {
	readonly facts = new Map<string, FactRecord>();
	/** Keys of facts that are news, oldest first. */
	readonly news: string[] = [];
	/** Position of the sweep that sends old facts again, against loss and to new instances. */
	sweep: IterableIterator<string> | undefined;
	version = 0;

	toJSON(): unknown {
		return {
			facts: Object.fromEntries([...this.facts].map(([key, {fact}]) => [key, {origin: fact.origin, version: fact.version, value: fact.value}])),
			news: this.news.length,
		};
	}
}
