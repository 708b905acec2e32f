/**
Several entry harnesses on one virtual clock that exchange datagrams and pulls with each
other, without loss and without delay.
*/
import {type EntryEffect} from '../../src/core/entry/effect.js';
import {transferFor} from '../../src/core/entry/peer-sync.js';
import {type TargetEntry} from '../../src/core/entry/target.js';
import {type EntryInstance} from '../../src/core/entry/types.js';
import {EntryHarness} from './entry-harness.js';

const TICK_INTERVAL_MS = 50;

export class EntryGroup {
	readonly members: EntryHarness[] = [];
	/** Instances whose datagrams and pulls reach nobody, and that nobody's reach. */
	readonly isolated = new Set<EntryHarness>();

	constructor(instances: readonly EntryInstance[], private readonly _entries: () => readonly TargetEntry[]) {
		for (const instance of instances) {
			this.join(instance);
		}
	}

	get nowMs(): number {
		return this.members[0]?.nowMs ?? 1000;
	}

	/** Starts an instance that knows the others from the store. */
	join(instance: EntryInstance): EntryHarness {
		const member = new EntryHarness(instance, {startMs: this.nowMs});
		this.members.push(member);
		member.configure().readRegistry(this._entries());
		for (const other of this.members) {
			other.dispatch({kind: 'instances-read', instances: this.members.map(({self}) => self)});
		}

		return member;
	}

	/** Replaces an instance by one that has lost its memory. */
	restart(member: EntryHarness): EntryHarness {
		this.members.splice(this.members.indexOf(member), 1);
		return this.join({...member.self, boot: `${member.self.boot}+`});
	}

	/** Advances all clocks tick by tick and delivers what the instances send each other. */
	advance(durationMs: number): void {
		for (let passedMs = 0; passedMs < durationMs; passedMs += TICK_INTERVAL_MS) {
			for (const member of this.members) {
				const effects = member.advance(TICK_INTERVAL_MS);
				this._deliver(member, effects);
			}
		}
	}

	readRegistry(entries: readonly TargetEntry[]): void {
		for (const member of this.members) {
			member.readRegistry(entries);
		}
	}

	/** Delivers what an instance has sent besides its ticks. */
	deliver(from: EntryHarness, effects: readonly EntryEffect[]): void {
		this._deliver(from, effects);
	}

	private _deliver(from: EntryHarness, effects: readonly EntryEffect[]): void {
		for (const effect of effects) {
			switch (effect.kind) {
				case 'beacon': {
					for (const to of this._reachable(from, effect.addresses, 'beaconAddress')) {
						this._deliver(to, to.dispatch({kind: 'beacon-received', beacon: structuredClone(effect.beacon)}));
					}

					break;
				}

				case 'announce-load': {
					for (const to of this._reachable(from, effect.addresses, 'beaconAddress')) {
						this._deliver(to, to.dispatch({kind: 'load-announced', announcement: structuredClone(effect.announcement)}));
					}

					break;
				}

				case 'announce-stop': {
					for (const to of this._reachable(from, effect.addresses, 'beaconAddress')) {
						this._deliver(to, to.dispatch({kind: 'stop-announced', announcement: structuredClone(effect.announcement)}));
					}

					break;
				}

				case 'pull': {
					for (const peer of this._reachable(from, [effect.address], 'address')) {
						const transfer = transferFor({
							state: peer.state, nowMs: peer.nowMs, wallMs: peer.nowMs, effects: [],
						}, effect.known);
						from.dispatch({kind: 'pull-completed', transfer: structuredClone(transfer)});
					}

					break;
				}
			// No default
			}
		}
	}

	private _reachable(from: EntryHarness, addresses: readonly string[], member: 'address' | 'beaconAddress'): EntryHarness[] {
		return this.members.filter(to => addresses.includes(to.self[member]) && !this.isolated.has(to) && !this.isolated.has(from));
	}
}
