/**
Quotas of workspaces over several instances: who is refused and who is not, what is
charged, and what happens while the instance that keeps the account is away.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	beacon, effectsOfKind, EntryHarness, instance, route, targetEntry,
} from '../../../test/standins/entry-harness.js';
import {QuotaGroup, quotaBounds, workspace} from '../../../test/standins/quota-group.js';
import {deputyAccount, holderAccount} from './quota-account.js';

const SIZE = 8;
/** Windows and the introduction of all instances to the holder are over by then. */
const SETTLED_MS = 9000;
const MEAN_UNITS = 1491;

function boundOf(perSecond: number): number {
	return (((perSecond * quotaBounds.windowMs / 1000) + perSecond) * (1 + quotaBounds.overShare)) + quotaBounds.slack;
}

/** Requests a second that use a quota up to this share. */
function rate(perSecond: number, share: number): number {
	return perSecond * share / MEAN_UNITS;
}

const USUAL = 1 / 1.8;
const HOT = 5.6 / 1.8;

type Options = Partial<{quotas: Record<string, number>; size: number; seed: number}>;

function createGroup({quotas = {large: 60_000, quiet: 20_000}, size = SIZE, seed = 3}: Options = {}): QuotaGroup {
	const group = new QuotaGroup(size, Object.entries(quotas).map(([name, perSecond]) => workspace(name, perSecond)), {seed});
	group.advance(500);
	group.takeLease(0);
	group.advance(SETTLED_MS);
	return group;
}

function demandOf(group: QuotaGroup, name: string, perSecond: number, share: number) {
	return {workspace: name, perSecond: rate(perSecond, share), units: group.mixedUnits};
}

function shareRefused(group: QuotaGroup, name: string, fromMs: number): number {
	const refused = group.refusedByQuota(name, fromMs).length;
	const executed = group.executed.filter(({workspace: other, atMs}) => other === name && atMs >= fromMs).length;
	return refused / (refused + executed);
}

function assertWithinBound(group: QuotaGroup, name: string, perSecond: number): void {
	const largest = group.largestWindow(name);
	assert.ok(largest <= boundOf(perSecond), `${name}: ${Math.round(largest)} in a window, bound ${boundOf(perSecond)}`);
}

// Guards against a workspace at its quota that takes room from others, and against one that gets less than its quota.
test('a hot workspace among quiet ones: it gets its quota and the others are not refused', () => {
	const group = createGroup();
	group.load(8000, [demandOf(group, 'large', 60_000, USUAL), demandOf(group, 'quiet', 20_000, USUAL)]);
	const fromMs = group.nowMs;
	group.load(16_000, [demandOf(group, 'large', 60_000, HOT), demandOf(group, 'quiet', 20_000, USUAL)]);
	assertWithinBound(group, 'large', 60_000);
	assert.ok(group.executedUnits('large', fromMs) >= 60_000 * 16 * 0.95);
	assert.deepEqual(group.refused.filter(({atMs, workspace: name}) => atMs >= fromMs && name === 'quiet'), []);
	assert.ok(group.refusedByQuota('large').every(({retryAfterMs = 0}) => retryAfterMs > 0));
});

// Guards against hot traffic at a single instance, which has only a part of the limit at hand.
test('a workspace whose callers all use one instance gets its quota there', () => {
	const group = createGroup();
	const fromMs = group.nowMs;
	group.load(16_000, [{...demandOf(group, 'large', 60_000, USUAL), members: [5]}]);
	assert.equal(shareRefused(group, 'large', fromMs), 0);
	group.load(16_000, [{...demandOf(group, 'large', 60_000, HOT), members: [5]}]);
	assertWithinBound(group, 'large', 60_000);
	assert.ok(group.executedUnits('large', fromMs + 16_000) >= 60_000 * 16 * 0.95);
});

// Guards against usual traffic that is refused, and against a datagram for every request.
test('usual demand: nothing is refused, and one ask covers several requests', () => {
	const group = createGroup({quotas: {large: 300_000, quiet: 20_000}});
	const fromMs = group.nowMs;
	const before = group.datagrams.asks;
	group.load(10_000, [demandOf(group, 'large', 300_000, USUAL), demandOf(group, 'quiet', 20_000, USUAL)]);
	assert.equal(group.refused.filter(({atMs}) => atMs >= fromMs).length, 0);
	const executed = group.executed.filter(({atMs}) => atMs >= fromMs).length;
	assert.ok(group.datagrams.asks - before < executed / 3, `${group.datagrams.asks - before} asks for ${executed} requests`);
});

// Guards against an overshoot where demand is far above a quota, and against a quota of which little is given out.
test('a quota far below demand is kept to and used', () => {
	const group = createGroup({quotas: {large: 8000}});
	const fromMs = group.nowMs;
	group.load(24_000, [demandOf(group, 'large', 8000, 12)]);
	assertWithinBound(group, 'large', 8000);
	assert.ok(group.executedUnits('large', fromMs) >= 8000 * 24 * 0.95);
});

test('the holder is killed: instances go on, and neither the time without a holder nor the next one breaks the bound', () => {
	const group = createGroup();
	const usual = [demandOf(group, 'large', 60_000, USUAL), demandOf(group, 'quiet', 20_000, USUAL)];
	group.load(9000, usual);
	const fromMs = group.nowMs;
	group.kill(0);
	group.load(5000, usual);
	assert.ok(shareRefused(group, 'large', fromMs) <= 0.05, `${shareRefused(group, 'large', fromMs)}`);
	group.takeLease(2);
	group.load(4000, usual);
	const settledMs = group.nowMs;
	group.load(8000, usual);
	assert.equal(shareRefused(group, 'large', settledMs), 0);
	for (const [name, perSecond] of [['large', 60_000], ['quiet', 20_000]] as const) {
		assertWithinBound(group, name, perSecond);
	}
});

// Guards against units that are granted before a kill and again after it.
test('the holder is killed between grants and their use, under a surge: the bound holds', () => {
	const group = createGroup();
	const surge = [demandOf(group, 'large', 60_000, HOT)];
	group.load(3000, surge);
	group.kill(0);
	group.load(5000, surge);
	group.takeLease(1);
	group.load(10_000, surge);
	assertWithinBound(group, 'large', 60_000);
});

test('the store is away and the lease stays vacant: half of the quota or more is served in each zone, within the bound', () => {
	const group = createGroup({size: 9});
	const demand = [demandOf(group, 'large', 60_000, 1)];
	group.load(6000, demand);
	group.holder = undefined;
	group.load(4000, demand);
	const fromMs = group.nowMs;
	group.load(20_000, demand);
	assertWithinBound(group, 'large', 60_000);
	assert.ok(group.executedUnits('large', fromMs) >= 60_000 * 20 * 0.5, `${Math.round(group.executedUnits('large', fromMs))}`);
});

test('the holder is suspended and comes back, and another has taken over meanwhile: the bound holds', () => {
	const group = createGroup();
	const surge = [demandOf(group, 'large', 60_000, HOT)];
	group.load(4000, surge);
	group.frozen.add(0);
	group.holder = undefined;
	group.load(4000, surge);
	group.takeLease(3);
	group.load(1000, surge);
	group.frozen.clear();
	group.load(8000, surge);
	assertWithinBound(group, 'large', 60_000);
});

// Guards against a holder that has lost the lease without knowing it yet and still grants.
test('two instances hold a lease for a moment: grants of the earlier one are of no use to those that know the later one', () => {
	const group = createGroup();
	const earlier = group.members[0]!.state;
	group.load(2000, [demandOf(group, 'large', 60_000, USUAL)]);
	const name = holderAccount(earlier.quotas.epoch);
	group.takeLease(1);
	group.load(3000, [demandOf(group, 'large', 60_000, USUAL)]);
	const late = group.members[4]!.state.quotas;
	const asked = late.uses.get('large')!;
	const before = {total: asked.total, granted: new Map(asked.granted)};
	group.dispatch(4, {
		kind: 'quota-granted',
		grant: {
			grantNumber: late.lastAskNumber, account: name, quotas: [{workspace: 'large', inMs: [0]}], levels: {configurationVersion: 1, levels: 'aa'},
		},
	});
	assert.deepEqual({total: asked.total, granted: new Map(asked.granted)}, before);
	assert.notEqual(late.told?.account, name);
	assertWithinBound(group, 'large', 60_000);
});

test('a zone is cut off: it goes on, the bound holds, and the use of both sides counts when it is back', () => {
	const group = createGroup({size: 9});
	const usual = [demandOf(group, 'large', 60_000, USUAL)];
	group.load(9000, usual);
	group.sides = new Map([1, 4, 7].map(index => [index, 1]));
	const fromMs = group.nowMs;
	group.load(5000, usual);
	assert.ok(shareRefused(group, 'large', fromMs) <= 0.05, `${shareRefused(group, 'large', fromMs)}`);
	group.sides = new Map();
	group.load(1500, usual);
	const surge = [demandOf(group, 'large', 60_000, HOT)];
	group.load(8000, surge);
	assertWithinBound(group, 'large', 60_000);
});

test('a surge while a zone is cut off: the bound holds', () => {
	const group = createGroup({size: 9});
	group.load(6000, [demandOf(group, 'large', 60_000, USUAL)]);
	const surge = [demandOf(group, 'large', 60_000, HOT)];
	group.load(2000, surge);
	group.sides = new Map([1, 4, 7].map(index => [index, 1]));
	group.load(12_000, surge);
	assertWithinBound(group, 'large', 60_000);
});

// Guards against lost datagrams that lose requests or count units twice.
test('three datagrams in a hundred are lost: at most one request in two hundred is refused, and the use is known to the holder', () => {
	const group = createGroup();
	group.lossShare = 0.03;
	const fromMs = group.nowMs;
	group.load(20_000, [demandOf(group, 'large', 60_000, USUAL), demandOf(group, 'quiet', 20_000, USUAL)]);
	const refused = group.refused.filter(({atMs}) => atMs >= fromMs).length;
	const served = group.executed.filter(({atMs}) => atMs >= fromMs).length;
	assert.ok(refused / (refused + served) <= 0.005, `${refused} refused, ${served} executed`);
	group.lossShare = 0;
	group.advance(2000);
	const bucket = group.members[0]!.state.quotas.accounts.get(holderAccount(1))!.buckets.get('large')!;
	const window = (60_000 * 9 * 1.03) + quotaBounds.slack;
	const executed = group.executedUnits('large', group.nowMs - 8500);
	assert.ok(Math.abs((bucket.usedShare(group.nowMs) * window) - executed) <= executed * 0.15, `${bucket.usedShare(group.nowMs) * window} counted, ${executed} executed`);
});

test('all instances are killed at once: the window that spans the kill stays within the bound, and traffic is served again', () => {
	const group = createGroup();
	const surge = [demandOf(group, 'large', 60_000, HOT)];
	group.load(9000, surge);
	for (let index = 0; index < SIZE; index++) {
		group.kill(index);
	}

	group.advance(1500);
	for (let index = 0; index < SIZE; index++) {
		group.start(index);
	}

	group.load(500, surge);
	group.takeLease(4);
	group.load(8000, surge);
	assertWithinBound(group, 'large', 60_000);
	const fromMs = group.nowMs;
	group.load(8000, [demandOf(group, 'large', 60_000, USUAL)]);
	assert.equal(shareRefused(group, 'large', fromMs + 4000), 0);
});

// Guards against a lowered quota that the old level, here or at the holder, goes on to exceed.
test('a quota is lowered far below demand: the next window keeps to it, and it is served meanwhile', () => {
	const group = createGroup();
	const demand = [demandOf(group, 'large', 60_000, 1)];
	group.load(9000, demand);
	group.reconfigure([workspace('large', 6000), workspace('quiet', 20_000)]);
	const fromMs = group.nowMs;
	group.load(16_000, demand);
	const largest = group.largestWindow('large', fromMs);
	assert.ok(largest <= boundOf(6000), `${Math.round(largest)}`);
	assert.ok(group.executedUnits('large', fromMs) >= 6000 * 16 * 0.8);
});

/** One instance that keeps the account itself. */
function createAlone(workspaces = [workspace('large', 1000)]): EntryHarness {
	const core = new EntryHarness();
	core.state.bounds = {...core.state.bounds, quota: quotaBounds};
	core.configure({workspaces, routes: [route(), route({name: 'open', prefix: '/open/', isPublic: true})]}).readRegistry([targetEntry('t0')]);
	core.advance(10_000);
	core.confirmRegistry();
	core.holdLease();
	core.advance(100);
	return core;
}

function charged(core: EntryHarness): number {
	return core.state.quotas.uses.get('large')?.window.sum(core.nowMs) ?? 0;
}

test('a request over the quota gets 429 at once, with the time at which there will be room', () => {
	const core = createAlone([workspace('large', 1000, 0)]);
	const paceCapacity = 14_800;
	core.arrive('r1', '/records/1', {keyHash: 'key-large', promptTokens: 10_000, outputTokens: paceCapacity - 10_000});
	const [refusal] = effectsOfKind(core.arrive('r2', '/records/1', {keyHash: 'key-large', promptTokens: 5000}), 'refuse');
	assert.equal(refusal?.code, 'quota-exceeded');
	assert.ok(refusal.retryAfterMs! > 8000 && refusal.retryAfterMs! < 9500, `${refusal.retryAfterMs}`);
	assert.equal(core.state.open.has('r2'), false);
});

// Guards against a second charge for the same work.
test('a retry and a relay are not charged again', () => {
	const core = createAlone();
	core.dispatch({kind: 'beacon-received', beacon: beacon({from: instance('b')})});
	core.arrive('r1', '/records/1', {keyHash: 'key-large', promptTokens: 700, outputTokens: 50});
	core.endTry('r1', 1, 'broken');
	assert.equal(charged(core), 750);
	core.endTry('r1', 2, 'answered');
	assert.equal(charged(core), 750);
	core.arrive('r2', '/records/1', {
		promptTokens: 700,
		relayed: {
			by: 'b', boot: 'b-1', service: 'records', configurationVersion: 1, release: undefined, workspace: 'large', keyHash: 'key-large',
		},
	});
	assert.ok(core.state.open.has('r2'));
	assert.equal(charged(core), 750);
});

test('a request that was refused without having been executed is refunded, one that may have run is not', () => {
	const core = createAlone();
	core.arrive('r1', '/records/1', {keyHash: 'key-large', promptTokens: 600});
	core.endTry('r1', 1, 'not-run');
	// Its only target is full, and the caller leaves while the request waits.
	core.dispatch({kind: 'caller-left', requestId: 'r1'});

	assert.equal(charged(core), 0);
	const other = createAlone();
	assert.equal(effectsOfKind(other.arrive('r2', '/records/1', {keyHash: 'key-large', promptTokens: 600}), 'send').length, 1);
	other.dispatch({kind: 'caller-left', requestId: 'r2'});
	assert.equal(charged(other), 600);
	other.arrive('r3', '/records/1', {keyHash: 'key-large', promptTokens: 400});
	other.endTry('r3', 1, 'answered');
	assert.equal(charged(other), 1000);
});

test('a request counts as its tokens, as the plain figure without them, or as one where requests are counted', () => {
	const core = createAlone([workspace('large', 1000), {
		name: 'counted', keyHashes: ['key-counted'], rank: undefined, quota: {
			unit: 'requests', perSecond: 5, burst: 5, defaultTokens: 1,
		},
	}]);
	core.arrive('r1', '/records/1', {keyHash: 'key-large', promptTokens: 40, outputTokens: 2});
	assert.equal(charged(core), 42);
	core.arrive('r2', '/records/1', {keyHash: 'key-large'});
	assert.equal(charged(core), 342);
	core.arrive('r3', '/records/1', {keyHash: 'key-counted', promptTokens: 900});
	assert.equal(core.state.quotas.uses.get('counted')?.window.sum(core.nowMs), 1);
});

test('requests of public routes and of workspaces without a quota are not charged and wait for nothing', () => {
	const core = createAlone([{...workspace('large', 1000), quota: undefined}]);
	assert.equal(effectsOfKind(core.arrive('r1', '/records/1', {keyHash: 'key-large', promptTokens: 9_000_000}), 'send').length, 1);
	assert.equal(effectsOfKind(core.arrive('r2', '/open/1'), 'send').length, 1);
	assert.equal(core.state.quotas.uses.size, 0);
});

// Guards against work and datagrams for quotas in deployments that have none.
test('without workspaces nothing is asked, kept or announced', () => {
	const core = new EntryHarness().configure().readRegistry([targetEntry('t0')]);
	core.dispatch({kind: 'beacon-received', beacon: beacon({lease: {holder: instance('b'), epoch: 1, ageMs: 0}})});
	core.arrive('r1');
	core.advance(3000);
	core.holdLease();
	core.advance(1000);
	assert.deepEqual(effectsOfKind(core.effects, 'ask-quota'), []);
	assert.equal(core.state.quotas.accounts.size, 0);
	assert.ok(effectsOfKind(core.effects, 'beacon').every(({beacon: {lease}}) => lease?.quotas === undefined));
});

// Guards against a lost answer that makes a request wait until its caller gives up.
test('no answer comes: the request is decided after 250 ms, and the ask is repeated before that', () => {
	const core = new EntryHarness();
	core.state.bounds = {...core.state.bounds, quota: quotaBounds};
	core.configure({workspaces: [workspace('large', 300_000)]}).readRegistry([targetEntry('t0')]);
	core.dispatch({kind: 'beacon-received', beacon: beacon({lease: {holder: instance('b'), epoch: 1, ageMs: 0}})});
	core.advance(10_000);
	core.confirmRegistry();
	core.dispatch({kind: 'beacon-received', beacon: beacon({lease: {holder: instance('b'), epoch: 1, ageMs: 0}})});
	core.effects.length = 0;
	assert.deepEqual(effectsOfKind(core.arrive('r1', '/records/1', {keyHash: 'key-large', promptTokens: 500}), 'send'), []);
	assert.deepEqual(effectsOfKind(core.advance(200), 'send'), []);
	assert.equal(effectsOfKind(core.advance(100), 'send').length, 1);
	assert.ok(effectsOfKind(core.effects, 'ask-quota').some(({address, ask}) => address === 'b:2' && ask.account === holderAccount(1) && ask.quotas[0]?.needs[0] === 500));
});

// Guards against instances of a zone that share out nothing because each is alone with its part.
test('the holder is gone for longer: the instances of a zone ask the same deputy', () => {
	const group = createGroup({size: 9});
	const usual = [demandOf(group, 'large', 60_000, USUAL)];
	group.load(4000, usual);
	group.kill(0);
	group.load(5000, usual);
	const first = group.members[1]!.self;
	assert.deepEqual([1, 4, 7].map(index => group.members[index]!.state.quotas.deputy?.name), [first, first, first].map(self => deputyAccount(self)));
	group.takeLease(2);
	group.load(6000, usual);
	assert.ok(group.members.every(member => member?.state.quotas.deputy === undefined), 'back at the holder');
});
