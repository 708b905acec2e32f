/**
Several entry instances on one virtual clock that share quotas. Datagrams between them
take a few milliseconds, may be lost, and stop at cuts; the lease is given to an instance
by the test. Targets answer each request at once. What they execute is recorded.
*/
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type EntryEffect} from '../../src/core/entry/effect.js';
import {type Untimed} from '../../src/core/entry/event.js';
import {type EntryBounds} from '../../src/core/entry/types.js';
import {type Workspace} from '../../src/core/entry/workspace.js';
import {
	configuration, EntryHarness, instance, targetEntry,
} from './entry-harness.js';

const STEP_MS = 10;
const TICK_MS = 50;
const RENEW_MS = 500;
export const quotaBounds = {windowMs: 8000, overShare: 0.1, slack: 7400};

export type Executed = {
	readonly atMs: number;
	readonly workspace: string;
	readonly units: number;
};

export type Refused = Executed & {readonly code: string; readonly retryAfterMs: number | undefined; readonly detail: string | undefined};

type Message = {
	readonly atMs: number;
	readonly from: string;
	readonly to: string;
	readonly event: Untimed;
};

export type Arrival = {
	readonly member: number;
	readonly workspace: string;
	readonly units: number;
	readonly path?: string;
	/** How the target's answer ends the try. */
	readonly outcome?: 'answered' | 'not-run' | 'pending';
};

export function workspace(name: string, perSecond: number, burst = perSecond): Workspace {
	return {
		name, keyHashes: [`key-${name}`], rank: undefined, quota: {
			unit: 'tokens', perSecond, burst, defaultTokens: 300,
		},
	};
}

export class QuotaGroup {
	nowMs = 100_000;
	readonly members: Array<EntryHarness | undefined> = [];
	readonly executed: Executed[] = [];
	readonly refused: Refused[] = [];
	readonly datagrams = {asks: 0, grants: 0, bytes: 0};
	/** Index of the instance that holds the lease. */
	holder: number | undefined;
	/** Instances that are suspended: they receive nothing and do nothing. */
	readonly frozen = new Set<number>();
	/** Share of datagrams that are lost. */
	lossShare = 0;
	/** Instances by the side of a cut they are on; datagrams do not cross. */
	sides = new Map<number, number>();
	private _epoch = 0;
	private _renewedAtMs = Number.NEGATIVE_INFINITY;
	private _messages: Message[] = [];
	private readonly _random;
	private _lastRequest = 0;
	private _version = 1;

	constructor(readonly size: number, private _workspaces: readonly Workspace[], {seed = 1, bounds = {}}: {readonly seed?: number; readonly bounds?: Partial<EntryBounds>} = {}) {
		this._random = xoroshiro128plus(seed);
		this._bounds = bounds;
		for (let index = 0; index < size; index++) {
			this.start(index);
		}
	}

	private readonly _bounds: Partial<EntryBounds>;

	random(): number {
		return uniformFloat64(this._random);
	}

	/** Starts an instance, or another process in the place of one that was killed. */
	start(index: number): EntryHarness {
		const self = {...instance(`i${index}`, `zone${index % 3}`), boot: `boot-${this.random()}`};
		const member = new EntryHarness(self, {startMs: this.nowMs});
		member.state.bounds = {...member.state.bounds, quota: quotaBounds, ...this._bounds};
		this.members[index] = member;
		member.configure({version: this._version, workspaces: this._workspaces});
		member.readRegistry([targetEntry('t0', {slots: 100_000})]);
		const all = Array.from({length: this.size}, (_, other) => instance(`i${other}`, `zone${other % 3}`));
		member.dispatch({kind: 'instances-read', instances: all});
		return member;
	}

	kill(index: number): void {
		this.members[index] = undefined;
		if (this.holder === index) {
			this.holder = undefined;
		}
	}

	/** Gives the lease to an instance. An earlier holder has lost it by then, as the lease's own rules see to. */
	takeLease(index: number): void {
		this._epoch++;
		this.holder = index;
		this._renewedAtMs = Number.NEGATIVE_INFINITY;
		const {lease} = this.members[index]!.state;
		lease.held = undefined;
	}

	reconfigure(workspaces: readonly Workspace[]): void {
		this._workspaces = workspaces;
		this._version++;
		for (const member of this.members) {
			member?.configure({version: this._version, workspaces});
		}
	}

	arrive({member: index, workspace: name, units, path = '/records/1', outcome = 'answered'}: Arrival): string {
		const member = this.members[index];
		this._lastRequest++;
		const id = `r${this._lastRequest}`;
		if (!member || this.frozen.has(index)) {
			return id;
		}

		this._outcomes.set(id, {name, units, outcome});
		member.nowMs = this.nowMs;
		this._handle(index, member.dispatch({
			kind: 'request-arrived',
			arrival: {
				id, host: 'a.example', path, contentHash: id, model: undefined, adapter: undefined, deadlineMs: 2000, promptTokens: units, outputTokens: 0, keyHash: `key-${name}`,
			},
		}));
		return id;
	}

	dispatch(index: number, event: Untimed): void {
		const member = this.members[index]!;
		member.nowMs = this.nowMs;
		this._handle(index, member.dispatch(event));
	}

	/** Advances the clock; `each` is called at every step. */
	advance(durationMs: number, each: () => void = () => undefined): void {
		for (const endMs = this.nowMs + durationMs; this.nowMs < endMs;) {
			this.nowMs += STEP_MS;
			this._renew();
			this._deliver();
			each();
			for (const [index, member] of this.members.entries()) {
				if (member && !this.frozen.has(index) && (this.nowMs + (index * STEP_MS)) % TICK_MS === 0) {
					member.nowMs = this.nowMs;
					if ((this.nowMs + (index * STEP_MS)) % 500 === 0) {
						member.confirmRegistry();
					}

					this._handle(index, member.dispatch({kind: 'tick'}));
				}
			}
		}
	}

	/** Sends requests at random times and places for a while. */
	load(durationMs: number, demands: ReadonlyArray<{readonly workspace: string; readonly perSecond: number; readonly units: () => number; readonly members?: readonly number[]}>): void {
		this.advance(durationMs, () => {
			for (const {workspace: name, perSecond, units, members = [...this.members.keys()]} of demands) {
				// Poisson arrivals: at most a few in a step.
				for (let chance = perSecond * STEP_MS / 1000; chance > 0; chance--) {
					if (this.random() < 1 - Math.exp(-Math.min(1, chance))) {
						this.arrive({member: members[Math.floor(this.random() * members.length)]!, workspace: name, units: Math.round(units())});
					}
				}
			}
		});
	}

	/** Units from 200 to 5,000, evenly spread on a logarithmic scale. */
	readonly mixedUnits = (): number => 200 * (25 ** this.random());

	executedUnits(name: string, fromMs = 0): number {
		return this.executed.filter(({workspace: other, atMs}) => other === name && atMs >= fromMs).reduce((sum, {units}) => sum + units, 0);
	}

	refusedByQuota(name: string, fromMs = 0): Refused[] {
		return this.refused.filter(({workspace: other, atMs, code}) => other === name && code === 'quota-exceeded' && atMs >= fromMs);
	}

	/** Largest sum over any window of the bound's length that begins at `fromMs` or later. */
	largestWindow(name: string, fromMs = 0): number {
		const list = this.executed.filter(({workspace: other, atMs}) => other === name && atMs >= fromMs);
		let largest = 0;
		let sum = 0;
		let first = 0;
		for (const {atMs, units} of list) {
			sum += units;
			while (list[first]!.atMs <= atMs - quotaBounds.windowMs) {
				sum -= list[first]!.units;
				first++;
			}

			largest = Math.max(largest, sum);
		}

		return largest;
	}

	private readonly _outcomes = new Map<string, {readonly name: string; readonly units: number; readonly outcome: NonNullable<Arrival['outcome']>}>();

	private _renew(): void {
		if (this.holder === undefined || this.frozen.has(this.holder) || this.nowMs - this._renewedAtMs < RENEW_MS) {
			return;
		}

		this._renewedAtMs = this.nowMs;
		const member = this.members[this.holder]!;
		member.state.lease.requestedEpoch = this._epoch;
		member.nowMs = this.nowMs;
		this._handle(this.holder, member.dispatch({
			kind: 'lease-request-completed', result: {kind: 'written', revision: this._epoch}, sentAtMs: this.nowMs, sentAtWallMs: this.nowMs + member.wallOffsetMs,
		}));
	}

	private _deliver(): void {
		const due = this._messages.filter(({atMs}) => atMs <= this.nowMs);
		this._messages = this._messages.filter(({atMs}) => atMs > this.nowMs);
		for (const {from, to, event} of due) {
			const index = Number(to.slice(1, to.indexOf(':')));
			const member = this.members[index];
			const isCut = this.sides.get(Number(from.slice(1))) !== this.sides.get(index);
			if (member && !isCut && !this.frozen.has(index)) {
				member.nowMs = this.nowMs;
				this._handle(index, member.dispatch(event));
			}
		}
	}

	private _send(from: string, addresses: readonly string[], event: Untimed): void {
		for (const to of addresses) {
			if (this.random() >= this.lossShare) {
				this._messages.push({
					atMs: this.nowMs + Math.ceil(this.random() * STEP_MS), from, to, event,
				});
			}
		}
	}

	private _handle(index: number, effects: readonly EntryEffect[]): void {
		const member = this.members[index]!;
		const from = member.self.id;
		for (const effect of effects) {
			switch (effect.kind) {
				case 'beacon': {
					this._send(from, effect.addresses, {kind: 'beacon-received', beacon: effect.beacon});
					break;
				}

				case 'ask-quota': {
					this.datagrams.asks++;
					this.datagrams.bytes += JSON.stringify(effect.ask).length;
					this._send(from, [effect.address], {kind: 'quota-asked', ask: effect.ask});
					break;
				}

				case 'grant-quota': {
					this.datagrams.grants++;
					this.datagrams.bytes += JSON.stringify(effect.grant).length;
					this._send(from, [effect.address], {kind: 'quota-granted', grant: effect.grant});
					break;
				}

				case 'send': {
					this._execute(index, effect.requestId, effect.tryNumber);
					break;
				}

				case 'refuse': {
					const {name, units} = this._outcomes.get(effect.requestId)!;
					this.refused.push({
						atMs: this.nowMs, workspace: name, units, code: effect.code, retryAfterMs: effect.retryAfterMs, detail: effect.detail,
					});
					break;
				}

				default:
			}
		}
	}

	private _execute(index: number, requestId: string, tryNumber: number): void {
		const {name, units, outcome} = this._outcomes.get(requestId)!;
		if (outcome !== 'not-run') {
			this.executed.push({atMs: this.nowMs, workspace: name, units});
		}

		if (outcome !== 'pending') {
			const member = this.members[index]!;
			this._handle(index, member.dispatch({
				kind: 'try-ended', requestId, tryNumber, outcome, delivered: 0, status: outcome === 'answered' ? 200 : 503,
			}));
		}
	}
}
