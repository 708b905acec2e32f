/**
The lease over random cuts from the store, lost and late calls, lost beacons, suspensions,
restarts and restores of the store, in series and at once. At every moment at most one
instance holds it, its epochs rise from holder to holder, and holders don't take turns
within its term.
*/
import assert from 'node:assert/strict';
import process from 'node:process';
import {test} from 'node:test';
import * as fc from 'fast-check';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {EntryHarness, instance} from '../../../test/standins/entry-harness.js';
import {type EntryEffect, type EntryEffectOf} from './effect.js';
import {type LeaseResult} from './event.js';
import {holdsLease} from './lease.js';
import {type LeaseRecord} from './types.js';

const TICK_MS = 50;
const DURATION_MS = 40_000;
const LEASE_MS = 3000;
/** The client of the store gives up a call after this time. */
const CALL_TIMEOUT_MS = 1500;
const RESTART_MS = 500;
const zones = ['north', 'north', 'south', 'west', 'east'];

type Trouble =
	| {readonly kind: 'cut' | 'suspend'; readonly atMs: number; readonly forMs: number; readonly index: number | 'holder'}
	| {readonly kind: 'restart'; readonly atMs: number; readonly index: number | 'holder' | 'all'}
	| {readonly kind: 'restore'; readonly atMs: number; readonly ageMs: number};

type StoreCall = {readonly effect: EntryEffectOf<'read-lease' | 'write-lease'>; readonly sentAtMs: number; readonly sentAtWallMs: number; answer: StoreAnswer | undefined; isEnded: boolean};

/** What the store answers, and the era that the answer states. */
type StoreAnswer = {readonly era: number; readonly result: LeaseResult};

type Member = {core: EntryHarness; starts: number; upAtMs: number; suspendedUntilMs: number; cutUntilMs: number; era: number; readonly calls: Set<StoreCall>};

type Hold = {readonly holder: string; readonly epoch: number; readonly fromMs: number; toMs: number};

type Row = {readonly version: number; readonly record: LeaseRecord | undefined};

const ERA_REVISIONS = 2 ** 40;

/** The row of the lease in a store that may come back from an older copy of itself. Its versions are given out again then. */
class RestorableRow {
	private _era = 0;
	private _version = 1;
	private _row: Row = {version: 0, record: undefined};
	private readonly _copies: Array<{readonly atMs: number; readonly version: number; readonly row: Row}> = [];

	copy(atMs: number): void {
		this._copies.push({atMs, version: this._version, row: this._row});
	}

	restore(atMs: number): void {
		const {version, row} = this._copies.findLast(copy => copy.atMs <= atMs) ?? this._copies[0]!;
		this._era++;
		this._version = version;
		this._row = row;
	}

	/** Executes a call of a client that has seen answers up to an era, which compares the versions of that era only. */
	execute(effect: StoreCall['effect'], clientEra: number): StoreAnswer {
		const eraRevision = this._era * ERA_REVISIONS;
		const current: LeaseResult = {
			kind: 'row', revision: this._row.version === 0 ? 0 : eraRevision + this._row.version, record: this._row.record, eraRevision,
		};
		if (effect.kind === 'read-lease') {
			return {era: this._era, result: current};
		}

		const isNew = effect.expectedRevision === 0;
		const expectedEra = isNew ? clientEra : Math.floor(effect.expectedRevision / ERA_REVISIONS);
		if (expectedEra !== clientEra || effect.expectedRevision % ERA_REVISIONS !== this._row.version) {
			return {era: this._era, result: current};
		}

		this._version++;
		this._row = {version: this._version, record: effect.record};
		const result: LeaseResult = isNew || expectedEra === this._era ? {kind: 'written', revision: eraRevision + this._version, eraRevision} : {kind: 'unknown'};
		return {era: this._era, result};
	}
}

class LeaseFleet {
	readonly holds: Hold[] = [];
	private readonly _row = new RestorableRow();
	private readonly _members: Member[];
	private _nowMs = 0;

	constructor(private readonly _troubles: readonly Trouble[], private readonly _random: () => number) {
		this._members = zones.map((zone, index) => ({
			core: this._start(index, 1), starts: 1, upAtMs: 0, suspendedUntilMs: 0, cutUntilMs: 0, era: 0, calls: new Set(),
		}));
	}

	run(): void {
		for (; this._nowMs < DURATION_MS; this._nowMs += TICK_MS) {
			this._row.copy(this._nowMs);
			for (const trouble of this._troubles.filter(({atMs}) => atMs >= this._nowMs && atMs < this._nowMs + TICK_MS)) {
				this._begin(trouble);
			}

			for (const member of this._members) {
				this._tick(member);
			}

			this._noteHolders();
		}
	}

	private _start(index: number, starts: number): EntryHarness {
		const self = {...instance(`n${index}`, zones[index]), boot: `n${index}-${starts}`};
		const core = new EntryHarness(self, {startMs: 1000 + this._nowMs, bounds: {leaseMs: LEASE_MS}});
		core.dispatch({kind: 'instances-read', instances: zones.map((zone, other) => instance(`n${other}`, zone))});
		return core;
	}

	private _chosen(index: number | 'holder' | 'all'): readonly Member[] {
		if (index === 'all') {
			return this._members;
		}

		const holder = this.holds.at(-1)?.holder;
		return this._members.filter(({core}, position) => index === 'holder' ? core.self.id === holder : position === index);
	}

	private _begin(trouble: Trouble): void {
		if (trouble.kind === 'restore') {
			this._row.restore(this._nowMs - trouble.ageMs);
			return;
		}

		for (const member of this._chosen(trouble.index)) {
			if (trouble.kind === 'cut') {
				member.cutUntilMs = this._nowMs + trouble.forMs;
			} else if (trouble.kind === 'suspend') {
				member.suspendedUntilMs = this._nowMs + trouble.forMs;
			} else {
				member.starts++;
				member.upAtMs = this._nowMs + RESTART_MS;
				member.calls.clear();
			}
		}
	}

	private _tick(member: Member): void {
		const index = this._members.indexOf(member);
		if (this._nowMs < member.upAtMs) {
			return;
		}

		if (member.core.self.boot !== `n${index}-${member.starts}`) {
			member.era = 0;
			member.core = this._start(index, member.starts);
		}

		const {core} = member;
		this._answer(member);
		if (this._nowMs < member.suspendedUntilMs) {
			core.suspend(TICK_MS);
			return;
		}

		core.advance(TICK_MS);
		for (const effect of core.effects.splice(0)) {
			this._perform(member, effect);
		}
	}

	private _perform({core, calls}: Member, effect: EntryEffect): void {
		if (effect.kind === 'read-lease' || effect.kind === 'write-lease') {
			calls.add({
				effect, sentAtMs: core.nowMs, sentAtWallMs: core.nowMs + core.wallOffsetMs, answer: undefined, isEnded: false,
			});
		} else if (effect.kind === 'beacon') {
			for (const {core: receiver, upAtMs, suspendedUntilMs} of this._members) {
				const isUp = this._nowMs >= upAtMs && this._nowMs >= suspendedUntilMs;
				if (isUp && effect.addresses.includes(receiver.self.beaconAddress) && this._random() < 0.9) {
					receiver.dispatch({kind: 'beacon-received', beacon: effect.beacon});
				}
			}
		}
	}

	/** A cut holds calls and answers back until it ends. A write that its sender has given up is executed late. */
	private _answer(member: Member): void {
		const {core, calls, cutUntilMs, suspendedUntilMs} = member;
		for (const call of calls) {
			if (this._nowMs >= cutUntilMs) {
				call.answer ??= this._row.execute(call.effect, member.era);
			}

			const isOverdue = core.nowMs - call.sentAtMs >= CALL_TIMEOUT_MS;
			if (this._nowMs >= suspendedUntilMs && !call.isEnded && (isOverdue || this._nowMs >= cutUntilMs)) {
				call.isEnded = true;
				const {sentAtMs, sentAtWallMs} = call;
				core.dispatch({
					kind: 'lease-request-completed', result: isOverdue ? {kind: 'unknown'} : receive(member, call.answer!), sentAtMs, sentAtWallMs,
				});
			}

			if (call.answer !== undefined && call.isEnded) {
				calls.delete(call);
			}
		}
	}

	private _noteHolders(): void {
		const holders = this._members.filter(({core, upAtMs, suspendedUntilMs}) => this._nowMs >= upAtMs && this._nowMs >= suspendedUntilMs && holdsLease({
			state: core.state, nowMs: core.nowMs, wallMs: core.nowMs + core.wallOffsetMs, effects: [],
		}) !== undefined);
		assert.ok(holders.length <= 1, `${holders.map(({core}) => core.self.id).join(' and ')} hold the lease at ${this._nowMs} ms`);
		for (const {core} of holders) {
			const {epoch} = core.state.lease.held!;
			const last = this.holds.at(-1);
			if (last?.holder === core.self.id && last.epoch === epoch) {
				last.toMs = this._nowMs;
			} else {
				this.holds.push({
					holder: core.self.id, epoch, fromMs: this._nowMs, toMs: this._nowMs,
				});
			}
		}
	}
}

/** An answer from before a restore that comes late proves nothing. */
function receive(member: Member, {era, result}: StoreAnswer): LeaseResult {
	const isOld = era < member.era;
	member.era = Math.max(member.era, era);
	return isOld ? {kind: 'unknown'} : result;
}

function assertOrder(holds: readonly Hold[]): void {
	for (const [index, {holder, epoch, fromMs}] of holds.entries()) {
		const previous = holds[index - 1];
		const ownBefore = holds.slice(0, index).findLast(hold => hold.holder === holder);
		assert.ok(previous === undefined || epoch > previous.epoch, `epoch ${epoch} of ${holder} after ${previous?.epoch} of ${previous?.holder} at ${fromMs} ms`);
		assert.ok(ownBefore === undefined || ownBefore === previous || fromMs - ownBefore.toMs >= LEASE_MS, `${holder} takes turns at ${fromMs} ms`);
	}
}

const momentMs = fc.integer({min: 4000, max: DURATION_MS - 5000});
const member = fc.oneof({weight: 3, arbitrary: fc.constant('holder' as const)}, {weight: 1, arbitrary: fc.nat(zones.length - 1)});
const singleTrouble: fc.Arbitrary<Trouble> = fc.oneof(
	{
		weight: 3, arbitrary: fc.record({
			kind: fc.constant('cut' as const), atMs: momentMs, forMs: fc.integer({min: 200, max: 5000}), index: member,
		}),
	},
	{
		weight: 1, arbitrary: fc.record({
			kind: fc.constant('suspend' as const), atMs: momentMs, forMs: fc.integer({min: 200, max: 5000}), index: member,
		}),
	},
	{
		weight: 1, arbitrary: fc.record({
			kind: fc.constant('restart' as const), atMs: momentMs, index: fc.oneof(member, fc.constant('all' as const)),
		}),
	},
);

const restore = fc.record({kind: fc.constant('restore' as const), atMs: momentMs, ageMs: fc.integer({min: 500, max: 8000})});
/** The store comes back from a copy while all instances are killed, or goes on serving them. */
const restores = fc.tuple(restore, fc.boolean(), fc.integer({min: -300, max: 300})).map(([restored, isBesideKill, shiftMs]): Trouble[] => [
	restored, ...(isBesideKill ? [{kind: 'restart' as const, atMs: restored.atMs + shiftMs, index: 'all' as const}] : []),
]);
/** The holder of the moment is cut off for a short while, again and again. */
const cutSeries = fc.record({
	fromMs: momentMs, times: fc.integer({min: 2, max: 6}), forMs: fc.integer({min: 800, max: 2200}), pauseMs: fc.integer({min: 1000, max: 4500}),
}).map(({fromMs, times, forMs, pauseMs}) => Array.from({length: times}, (_, index): Trouble => ({
	kind: 'cut', atMs: fromMs + (index * (forMs + pauseMs)), forMs, index: 'holder',
})));
const troubleLists = fc.array(fc.oneof(cutSeries, restores, singleTrouble.map(trouble => [trouble])), {minLength: 4, maxLength: 12});

// Guards against two holders at a time, and against epochs that are used twice or fall.
test('one instance at a time holds the lease, in rising epochs, whatever happens to instances and to their calls to the store', () => {
	fc.assert(fc.property(troubleLists, fc.integer(), (troubles, seed) => {
		const random = xoroshiro128plus(seed);
		const fleet = new LeaseFleet(troubles.flat(), () => uniformFloat64(random));
		fleet.run();
		assert.ok(fleet.holds.length > 0);
		assertOrder(fleet.holds);
	}), {numRuns: Number(process.env.LEASE_RUNS ?? 100), seed: Number(process.env.LEASE_SEED ?? 57)});
});
