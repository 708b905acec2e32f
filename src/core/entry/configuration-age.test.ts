/**
The bound on how long a withdrawn API key may still be accepted: how old an instance takes
its configuration to be, and what it does when that is too old.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {
	beacon, configuration, effectsOfKind, EntryHarness, instance, route, targetEntry,
} from '../../../test/standins/entry-harness.js';
import {type EntryConfiguration} from './configuration.js';
import {configurationAgeMs} from './configuration-age.js';
import {type EntryEffect} from './effect.js';
import {transferFor} from './peer-sync.js';
import {queueOf} from './queues.js';
import {type EntryArrival, type EntryBounds, type EntryInstance} from './types.js';

const REVOKE_MS = 5000;
const MARGIN_MS = 300;
const strict: Partial<EntryBounds> = {revocation: {isStrict: true, withinMs: REVOKE_MS}};
const publicRoute = route({name: 'open', prefix: '/open/', isPublic: true});

function withKeys(version: number, ...keyHashes: string[]): EntryConfiguration {
	return configuration({
		version, routes: [...configuration().routes, publicRoute], workspaces: [{
			name: 'atlas', keyHashes, rank: undefined, quota: undefined,
		}],
	});
}

function start(bounds: Partial<EntryBounds> = strict): EntryHarness {
	const core = new EntryHarness(instance('a'), {bounds});
	core.configure(withKeys(1, 'hash-1')).readRegistry([targetEntry('t0', {slots: 100})]);
	return core.checkConfiguration();
}

function ageOf(core: EntryHarness): number {
	return configurationAgeMs({
		state: core.state, nowMs: core.nowMs, wallMs: core.nowMs + core.wallOffsetMs,
	});
}

let arrivals = 0;

/** What becomes of a request with a key: `sent`, `relayed` or the code of its refusal. */
function ask(core: EntryHarness, path = '/records/1', overrides: Partial<EntryArrival> = {}): string {
	arrivals++;
	const effects = core.arrive(`q${arrivals}`, path, {keyHash: 'hash-1', ...overrides});
	const [sent] = effectsOfKind(effects, 'send');
	return sent ? (sent.relayed ? 'relayed' : 'sent') : (effectsOfKind(effects, 'refuse')[0]?.code ?? 'waiting');
}

/** Advances without letting the copy of the registry age, and without an answer of the store to checks of the configuration. */
function advanceUnconfirmed(core: EntryHarness, durationMs: number): EntryEffect[] {
	const effects: EntryEffect[] = [];
	for (let passedMs = 0; passedMs < durationMs; passedMs += 100) {
		effects.push(...core.advance(100));
		core.confirmRegistry();
	}

	return effects;
}

// Guards against a withdrawn key that an instance out of touch with the store accepts for longer than is allowed.
test('without a confirmation, requests with a key are refused with 503 from the bound less the margin on; public ones are served', () => {
	const core = start();
	advanceUnconfirmed(core, REVOKE_MS - MARGIN_MS - 100);
	assert.equal(ask(core), 'sent');
	advanceUnconfirmed(core, 100);
	const effects = core.arrive('late', undefined, {keyHash: 'hash-1'});
	assert.deepEqual(effectsOfKind(effects, 'refuse').map(({code, retryAfterMs}) => [code, retryAfterMs]), [['configuration-outdated', 500]]);
	assert.equal(ask(core, '/records/1', {keyHash: 'hash-2'}), 'configuration-outdated', 'a newer version may have added the key');
	assert.equal(ask(core, '/records/1', {keyHash: undefined}), 'api-key-missing');
	assert.equal(ask(core, '/open/1'), 'sent');
	core.checkConfiguration();
	assert.equal(ask(core), 'sent');
});

test('where the bound is not strict, instances out of touch with the store go on serving', () => {
	for (const bounds of [{}, {revocation: {isStrict: false, withinMs: REVOKE_MS}}]) {
		const core = start(bounds);
		advanceUnconfirmed(core, REVOKE_MS * 3);
		assert.equal(ask(core), 'sent');
	}
});

test('an instance that has read no confirmation yet serves no request with a key', () => {
	const core = new EntryHarness(instance('a'), {bounds: strict});
	core.dispatch({kind: 'pull-completed', transfer: {instances: [], configuration: withKeys(1, 'hash-1')}});
	core.readRegistry([targetEntry('t0')]);
	assert.equal(ask(core), 'configuration-outdated');
	core.checkConfiguration();
	assert.equal(ask(core), 'sent');
});

// Guards against an answer that was on its way, or unread, for long and counts as fresh.
test('the age counts from the sending of the read, however late it was answered', () => {
	const core = start();
	advanceUnconfirmed(core, 4000);
	core.checkConfiguration(3000);
	assert.equal(ageOf(core), 3000);
	advanceUnconfirmed(core, 1700);
	assert.equal(ask(core), 'configuration-outdated');
});

// Guards against a machine that was suspended and goes on with keys that were withdrawn meanwhile.
test('time for which the monotonic clock stood still counts', () => {
	const core = start().suspend(REVOKE_MS);
	assert.equal(ask(core), 'configuration-outdated');
});

test('short suspensions, none of which counts as a step of the clocks, count together', () => {
	const core = start();
	for (let index = 0; index < 47; index++) {
		core.suspend(100);
		core.nowMs++;
		core.dispatch({kind: 'tick'});
	}

	assert.ok(ageOf(core) >= 4700);
	assert.equal(ask(core), 'configuration-outdated');
});

test('a read that was sent before a suspension and answered after it confirms nothing', () => {
	const core = start();
	advanceUnconfirmed(core, 1000);
	const sentAtMs = core.nowMs;
	const sentAtWallMs = core.nowMs + core.wallOffsetMs;
	const {storeMs} = core;
	core.suspend(3000);
	core.dispatch({
		kind: 'configuration-checked', sentAtMs, sentAtWallMs, storeMs,
	});
	assert.equal(ageOf(core), 4000);
	assert.equal(core.state.configurationAge.storeOffset, undefined);
});

// Guards against a clock that is set back and makes old confirmations look young again.
test('a step of the time of day back does not make the configuration younger, also after a suspension', () => {
	const core = start();
	advanceUnconfirmed(core, 2000);
	core.wallOffsetMs -= 2000;
	core.dispatch({kind: 'tick'});
	assert.equal(ageOf(core), 2000);
	core.suspend(2000);
	core.dispatch({kind: 'tick'});
	core.wallOffsetMs -= 2000;
	core.dispatch({kind: 'tick'});
	assert.equal(ageOf(core), 4000);
});

test('a step of the time of day forward is taken for a suspension until the next read, and the store is asked at once', () => {
	const core = start();
	advanceUnconfirmed(core, 1000);
	core.wallOffsetMs += 2000;
	const effects = core.advance(50);
	assert.equal(ageOf(core), 3050);
	assert.equal(effectsOfKind(effects, 'check-configuration').length, 1);
	assert.deepEqual(effectsOfKind(effects, 'log').filter(({event}) => event === 'clock-stepped').map(({fields}) => fields.stepMs), [2000]);
	core.checkConfiguration();
	assert.equal(ageOf(core), 0);
});

function confirmed(core: EntryHarness, agoMs: number, overrides: Partial<Parameters<typeof beacon>[0]> = {}): void {
	core.dispatch({
		kind: 'beacon-received', beacon: beacon({configurationAsOfStoreMs: core.storeMs - agoMs, from: {...instance('b'), callerAddress: 'b:3'}, ...overrides}),
	});
}

test('a peer confirms the version by the store\'s clock, with the age that it then has', () => {
	const core = start();
	advanceUnconfirmed(core, 4000);
	confirmed(core, 1500);
	assert.equal(ageOf(core), 1500);
	confirmed(core, 3000);
	assert.equal(ageOf(core), 1500, 'an older confirmation changes nothing');
	confirmed(core, 100, {configurationVersion: 2});
	assert.equal(ageOf(core), 1500, 'nor does one of a version that is not held here');
	confirmed(core, 100, {configurationAsOfStoreMs: undefined});
	assert.equal(ageOf(core), 1500);
	confirmed(core, 900, {configurationVersion: 0});
	assert.equal(ageOf(core), 900, 'no version newer than an older one means none newer than the one held');
});

// Guards against ages computed with an offset between clocks that no longer holds.
test('after a step of the clocks, what peers confirm counts only from this instance\'s next read on', () => {
	const core = start();
	advanceUnconfirmed(core, 1000);
	core.suspend(2500);
	core.dispatch({kind: 'tick'});
	confirmed(core, 0);
	assert.equal(ageOf(core), 3500);
	core.readRegistry([targetEntry('t0')]);
	confirmed(core, 500);
	assert.equal(ageOf(core), 500);
});

test('a confirmation that lies in the future shows that the offset is wrong', () => {
	const core = start();
	advanceUnconfirmed(core, 1000);
	confirmed(core, -400);
	assert.equal(ageOf(core), 1000);
	assert.equal(core.state.configurationAge.storeOffset, undefined);
	assert.equal(effectsOfKind(core.advance(50), 'check-configuration').length, 1);
});

// Guards against clocks that drift apart over days, in which an instance that is not its zone's reader makes no short read.
test('the offset to the store\'s clock is read anew every ten minutes, and corrected by the answers to long polls', () => {
	const core = start();
	core.state.configurationAge.storeOffset = {ms: core.state.configurationAge.storeOffset!.ms + 400, learnedAtMs: core.nowMs};
	core.nowMs += 20_000;
	core.checkConfiguration(20_000);
	assert.equal(core.state.configurationAge.storeOffset.ms, -core.storeClockOffsetMs, 'an answer cannot be from after its arrival');
	core.checkConfiguration();
	core.nowMs += 599_000;
	assert.equal(effectsOfKind(core.advance(900), 'check-configuration').length > 0, true);
	assert.ok(core.state.configurationAge.readSentAtMs < 0);
	core.advance(200);
	assert.ok(core.state.configurationAge.readSentAtMs > 0);
});

test('an instance that cannot confirm its configuration passes requests with a key to a peer that is in touch with the store', () => {
	const core = start();
	core.suspend(REVOKE_MS);
	core.dispatch({kind: 'tick'});
	confirmed(core, 0);
	const effects = core.arrive('r1', undefined, {keyHash: 'hash-1'});
	const [relay] = effectsOfKind(effects, 'send');
	assert.equal(relay?.targetId, 'b');
	assert.deepEqual([relay?.relayed?.workspace, relay?.relayed?.keyHash, relay?.hidesKey], ['atlas', 'hash-1', true]);
	assert.equal(ask(core, '/records/1', {
		relayed: {
			by: 'b', boot: 'b-1', service: 'records', configurationVersion: 1, release: undefined, workspace: 'atlas', keyHash: 'hash-1',
		},
	}), 'configuration-outdated', 'a request that was passed on is not passed on again');
	const refused = core.dispatch({
		kind: 'try-ended', requestId: 'r1', tryNumber: 1, outcome: 'not-run', status: 503, retryAfterMs: 500, delivered: 0,
	});
	assert.deepEqual(effectsOfKind(refused, 'refuse').map(({code}) => code), ['no-target']);
	confirmed(core, 0, {
		registry: {
			revision: 0, digest: 0, asOfStoreMs: 0, isRead: false,
		},
	});
	assert.equal(ask(core), 'configuration-outdated', 'the peer does not reach the store either');
});

// Guards against requests that run under a key which was withdrawn while they waited.
test('a waiting request whose key a newer version withdraws is refused before it is sent, and at the latest when its wait is checked', () => {
	const core = start();
	core.readRegistry([targetEntry('t0', {slots: 1})]);
	const ids = ['r1', 'r2', 'r3', 'r4', 'r5'];
	for (const id of ids) {
		core.arrive(id, undefined, {keyHash: 'hash-1'});
	}

	const waiting = ids.filter(id => core.state.open.get(id)?.phase === 'queued');
	assert.ok(waiting.length >= 2);
	core.dispatch({kind: 'configuration-read', configuration: withKeys(2, 'hash-2')});
	const effects = advanceUnconfirmed(core, 300);
	const refused = effectsOfKind(core.effects, 'refuse');
	assert.deepEqual(refused.map(({requestId, code}) => `${requestId} ${code}`).toSorted(), waiting.map(id => `${id} api-key-unknown`));
	assert.match(refused[0]?.detail ?? '', /version 2/v);
	assert.equal(effectsOfKind(effects, 'send').length, 0);
	assert.equal(queueOf(core.state, 'records').waiting, 0);
	assert.deepEqual(effectsOfKind(core.endTry('r1', 1, 'answered'), 'deliver').length, 1, 'what runs already is answered');
});

test('a request that may have run is not sent again once its key is withdrawn, and is not said to be unexecuted', () => {
	const core = start();
	core.readRegistry([targetEntry('t0'), targetEntry('t1')]);
	core.arrive('r1', undefined, {keyHash: 'hash-1'});
	core.dispatch({kind: 'configuration-read', configuration: withKeys(2, 'hash-2')});
	const effects = core.endTry('r1', 1, 'broken');
	assert.equal(effectsOfKind(effects, 'send').length, 0);
	assert.deepEqual(effectsOfKind(effects, 'refuse').map(({code}) => code), ['target-failed']);
});

test('a silent try is not moved to another target once its key is withdrawn', () => {
	const core = start();
	core.readRegistry([targetEntry('t0'), targetEntry('t1')]);
	core.arrive('r1', undefined, {keyHash: 'hash-1'});
	core.dispatch({kind: 'configuration-read', configuration: withKeys(2, 'hash-2')});
	assert.equal(effectsOfKind(advanceUnconfirmed(core, 1500), 'send').length, 0);
});

test('when a newer version contains no workspaces any more, requests are served without keys at any age', () => {
	const core = start();
	core.readRegistry([targetEntry('t0'), targetEntry('t1')]);
	core.arrive('r1', undefined, {keyHash: 'hash-1'});
	core.dispatch({kind: 'configuration-read', configuration: configuration({version: 2, workspaces: []})});
	core.suspend(REVOKE_MS);
	assert.equal(ask(core), 'sent');
	assert.equal(effectsOfKind(core.endTry('r1', 1, 'failed'), 'send').length, 1);
});

test('a request whose key has moved to another workspace is sent in the name of that one', () => {
	const core = start();
	core.readRegistry([targetEntry('t0'), targetEntry('t1')]);
	core.arrive('r1', undefined, {keyHash: 'hash-1'});
	core.dispatch({
		kind: 'configuration-read', configuration: configuration({
			version: 2, workspaces: [{
				name: 'borealis', keyHashes: ['hash-1'], rank: undefined, quota: undefined,
			}],
		}),
	});
	assert.deepEqual(effectsOfKind(core.endTry('r1', 1, 'failed'), 'send').map(({workspace}) => workspace), ['borealis']);
});

/** Instances with a store whose reads reach them or not, on one virtual time. Their own clocks may stand still or step. */
class Fleet {
	readonly members: EntryHarness[];
	version = 1;
	/** When the store acknowledged the version in force. */
	acknowledgedAtMs = 0;
	passedMs = 0;
	/** Members that the store refuses. */
	readonly refused = new Set<EntryHarness>();
	/** Members that no datagram or call of a member outside reaches. */
	readonly separated = new Set<EntryHarness>();
	/** Sends to targets, by the time at which they were sent. */
	readonly sentAtMs: number[] = [];
	/** Members that are suspended, and until when. */
	readonly suspendedUntilMs = new Map<EntryHarness, number>();
	private _arrivals = 0;
	private _delayed: Array<{readonly dueMs: number; readonly run: () => void}> = [];

	constructor(instances: readonly EntryInstance[], private readonly _delayMs: () => number = () => 0) {
		this.members = instances.map(self => {
			const core = new EntryHarness(self, {bounds: strict});
			core.configure(withKeys(1, 'hash-1')).readRegistry([targetEntry('t0', {slots: 10_000})]);
			return core.checkConfiguration();
		});
		for (const member of this.members) {
			member.dispatch({kind: 'instances-read', instances});
		}
	}

	withdraw(): void {
		this.version = 2;
		this.acknowledgedAtMs = this.passedMs;
	}

	/** Advances by 50 ms. Each instance gets a request with the key. */
	step(): void {
		this.passedMs += 50;
		for (const member of this.members) {
			if (this.passedMs < (this.suspendedUntilMs.get(member) ?? 0)) {
				member.suspend(50);
				continue;
			}

			const due = this._delayed.filter(({dueMs}) => dueMs <= this.passedMs);
			this._delayed = this._delayed.filter(({dueMs}) => dueMs > this.passedMs);
			for (const {run} of due) {
				run();
			}

			this._carryOut(member, member.advance(50));
			this._arrivals++;
			this._carryOut(member, member.arrive(`f${this._arrivals}`, undefined, {keyHash: 'hash-1'}));
		}
	}

	private _carryOut(from: EntryHarness, effects: readonly EntryEffect[]): void {
		for (const effect of effects) {
			this._later(from, () => {
				this._carryOutOne(from, effect);
			}, effect.kind === 'check-configuration' ? this._delayMs() : 0);
		}
	}

	private _later(from: EntryHarness, run: () => void, delayMs: number): void {
		if (delayMs === 0) {
			run();
		} else {
			const isSuspended = () => this.passedMs < (this.suspendedUntilMs.get(from) ?? 0);
			this._delayed.push({
				dueMs: this.passedMs + delayMs, run() {
					if (!isSuspended()) {
						run();
					}
				},
			});
		}
	}

	private _carryOutOne(from: EntryHarness, effect: EntryEffect): void {
		if (effect.kind === 'check-configuration' && !this.refused.has(from)) {
			if (this.version === 2) {
				from.dispatch({kind: 'configuration-read', configuration: withKeys(2, 'hash-2')});
			}

			from.checkConfiguration();
		} else {
			switch (effect.kind) {
				case 'read-registry': {
					if (this.refused.has(from)) {
						from.dispatch({kind: 'registry-read-failed'});
					} else {
						from.confirmRegistry();
					}

					break;
				}

				case 'beacon': {
					for (const to of this._reached(from, effect.addresses, 'beaconAddress')) {
						this._carryOut(to, to.dispatch({kind: 'beacon-received', beacon: structuredClone(effect.beacon)}));
					}

					break;
				}

				case 'pull': {
					for (const {state, nowMs} of this._reached(from, [effect.address], 'address')) {
						const transfer = transferFor({
							state, nowMs, wallMs: nowMs, effects: [],
						}, effect.known);
						from.dispatch({kind: 'pull-completed', transfer: structuredClone(transfer)});
					}

					break;
				}

				case 'send': {
					const {requestId, tryNumber, relayed} = effect;
					const [to] = relayed ? this.members.filter(({self}) => self.id === effect.targetId) : [];
					if (to && this._isReached(from, to)) {
						this._carryOut(to, to.arrive(`${requestId}-relayed`, undefined, {relayed}));
					} else if (!relayed) {
						this.sentAtMs.push(this.passedMs);
					}

					from.endTry(requestId, tryNumber, 'answered');

					break;
				}
 // No default
			}
		}
	}

	private _reached(from: EntryHarness, addresses: readonly string[], member: 'address' | 'beaconAddress'): EntryHarness[] {
		return this.members.filter(to => addresses.includes(to.self[member]) && this._isReached(from, to));
	}

	private _isReached(from: EntryHarness, to: EntryHarness): boolean {
		return this.separated.has(from) === this.separated.has(to) && this.passedMs >= (this.suspendedUntilMs.get(to) ?? 0);
	}
}

function instances(count: number, zones: number): EntryInstance[] {
	return Array.from({length: count}, (_, index) => ({...instance(`i${index}`, `zone-${index % zones}`), callerAddress: `i${index}:3`}));
}

// Guards against instances that refuse their callers although their peers know that the version is the newest.
test('while the store refuses a third of the instances, what peers confirm keeps the age of their configuration low', () => {
	const fleet = new Fleet(instances(9, 3));
	for (const member of fleet.members.slice(0, 3)) {
		fleet.refused.add(member);
	}

	let oldestMs = 0;
	for (let passedMs = 0; passedMs < 9000; passedMs += 50) {
		fleet.step();
		oldestMs = Math.max(oldestMs, ...fleet.members.map(member => ageOf(member)));
	}

	assert.ok(oldestMs < REVOKE_MS - MARGIN_MS, `the oldest copy was ${oldestMs} ms old`);
});

// Guards against confirmations that instances cut off from the store pass to each other as if they were new.
test('instances that are cut off from the store together do not confirm each other', () => {
	const fleet = new Fleet(instances(6, 2));
	const zone = fleet.members.filter(({self}) => self.zone === 'zone-0');
	for (const member of zone) {
		fleet.refused.add(member);
		fleet.separated.add(member);
	}

	for (let passedMs = 0; passedMs < REVOKE_MS; passedMs += 50) {
		fleet.step();
	}

	assert.deepEqual(zone.map(member => ask(member)), zone.map(() => 'configuration-outdated'));
	assert.deepEqual(fleet.members.filter(member => !zone.includes(member)).map(member => ask(member)), ['sent', 'sent', 'sent']);
	fleet.separated.clear();
	fleet.refused.clear();
	for (let passedMs = 0; passedMs < 3000; passedMs += 50) {
		fleet.step();
	}

	assert.deepEqual(zone.map(member => ask(member)), ['sent', 'sent', 'sent'], 'they serve again once they are back');
});

// Guards against any combination of the faults by which a withdrawn key is accepted for too long.
test('no request is sent under a key later than the bound after its withdrawal, under random faults of clocks, store and network', () => {
	let served = 0;
	for (let seed = 1; seed <= 30; seed++) {
		const random = xoroshiro128plus(seed);
		const fraction = () => uniformFloat64(random);
		const fleet = new Fleet(instances(6, 2), () => fraction() < 0.2 ? 50 * Math.ceil(fraction() * 60) : 0);
		const withdrawnAtMs = 2000 + (50 * Math.floor(fraction() * 80));
		for (let passedMs = 0; passedMs < withdrawnAtMs + 9000; passedMs += 50) {
			if (passedMs === withdrawnAtMs) {
				fleet.withdraw();
			}

			for (const member of fleet.members) {
				// A step back while the process is suspended looks like a shorter suspension; no clock of this machine could tell.
				const isSuspended = (fleet.suspendedUntilMs.get(member) ?? 0) + 50 > fleet.passedMs;
				if (!isSuspended && fraction() < 0.01) {
					member.wallOffsetMs += fraction() < 0.5 ? 2000 : -2000;
				} else if (!isSuspended && fraction() < 0.004) {
					fleet.suspendedUntilMs.set(member, fleet.passedMs + (50 * Math.ceil(fraction() * 100)));
				}

				if (fraction() < 0.02) {
					toggle(fleet.refused, member);
				}

				if (fraction() < 0.01) {
					toggle(fleet.separated, member);
				}
			}

			fleet.step();
		}

		const lastMs = fleet.sentAtMs.at(-1) ?? 0;
		served += fleet.sentAtMs.length;
		assert.ok(lastMs <= fleet.acknowledgedAtMs + REVOKE_MS, `seed ${seed}: sent ${lastMs - fleet.acknowledgedAtMs} ms after the withdrawal`);
	}

	assert.ok(served > 5000, `${served} requests were served before`);
});

function toggle<Item>(set: Set<Item>, item: Item): void {
	if (!set.delete(item)) {
		set.add(item);
	}
}
