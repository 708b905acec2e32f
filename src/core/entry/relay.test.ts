/**
Requests at an instance that is cut off from all targets: passed on to an instance that
reaches them, once, and never claimed not to have run when they may have.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	beacon, effectsOfKind, engineEntry, EntryHarness, instance, route, targetEntry, type EntryArrivalOverrides,
} from '../../../test/standins/entry-harness.js';
import {type EntryEffect} from './effect.js';
import {retryBudget} from './retry-budgets.js';
import {type Relayed} from './types.js';

const targetIds = ['t1', 't2', 't3'];
const near = {...instance('b'), callerAddress: 'b:3'};
const far = {...instance('c', 'south'), callerAddress: 'c:3'};

function createCore(peers = [near, far]): EntryHarness {
	const core = new EntryHarness().configure().readRegistry(targetIds.map(id => targetEntry(id)));
	for (const from of peers) {
		core.dispatch({kind: 'beacon-received', beacon: beacon({from})});
	}

	return core;
}

/** All connections to targets that are open or opened fail, and all probes. Returns the effects. */
function failTargets(core: EntryHarness, effects: readonly EntryEffect[], outcome: 'refused' | 'unanswered'): EntryEffect[] {
	const seen: EntryEffect[] = [];
	const pending = [...effects];
	for (let effect = pending.shift(); effect; effect = pending.shift()) {
		seen.push(effect);
		if (effect.kind === 'send' && effect.relayed === undefined) {
			pending.push(...core.dispatch({
				kind: 'try-ended', requestId: effect.requestId, tryNumber: effect.tryNumber, outcome: 'not-sent', isRefused: outcome === 'refused', delivered: 0,
			}));
		} else if (effect.kind === 'probe-target') {
			pending.push(...core.dispatch({
				kind: 'target-probed', targetId: effect.targetId, incarnation: effect.incarnation, outcome,
			}));
		}
	}

	return seen;
}

/** An instance that has found out that it reaches no target. */
function createCutOff(peers = [near, far]): EntryHarness {
	const core = createCore(peers);
	failTargets(core, core.arrive('first'), 'refused');
	failTargets(core, core.advance(100), 'refused');
	core.dispatch({kind: 'caller-left', requestId: 'first'});
	return core;
}

function relaysOf(effects: readonly EntryEffect[]) {
	return effectsOfKind(effects, 'send').filter(({relayed}) => relayed !== undefined);
}

type RelayOutcome = 'broken' | 'not-run' | 'not-sent' | 'answered';
type RelayDetails = {isMissing?: boolean; retryAfterMs?: number; status?: number};

function endRelay(core: EntryHarness, requestId: string, outcome: RelayOutcome, details: RelayDetails = {}): EntryEffect[] {
	return core.dispatch({
		kind: 'try-ended', requestId, tryNumber: core.state.open.get(requestId)!.tries.length, outcome, delivered: 0, ...details,
	});
}

// Guards against finding out target by target, each of which costs every request a connection timeout.
test('connections hang: one request finds one target unreached, and probes show the others before it has tried them', () => {
	const core = createCore();
	const [sent] = effectsOfKind(core.arrive('r', '/records/1', {deadlineMs: 5000}), 'send');
	core.nowMs += 300;
	core.endTry('r', 1, 'not-sent');
	assert.equal(core.state.targets.get(sent!.targetId)!.unreachedSinceMs, 1000);
	const probed = effectsOfKind(failTargets(core, core.advance(50), 'unanswered'), 'probe-target').map(({targetId}) => targetId);
	assert.deepEqual(probed.toSorted(), targetIds);
	failTargets(core, core.endTry('r', 2, 'not-sent'), 'unanswered');
	assert.deepEqual(relaysOf(core.effects).map(({requestId}) => requestId), ['r'], 'passed on after 0.65 s at most');
	assert.equal(relaysOf(core.arrive('next')).length, 1, 'at once');
});

// Guards against finding out service by service, each of which costs its first requests their time, and against peers that do not learn that nothing is reached.
test('no target of one service is reached: a few of each other service are probed, and the first request there is passed on at once', () => {
	const core = createCore().readRegistry([...targetIds.map(id => targetEntry(id)), ...Array.from({length: 12}, (_, index) => engineEntry(`e${index}`, ['m0']))]);
	failTargets(core, core.arrive('first'), 'unanswered');
	const probed = effectsOfKind(failTargets(core, core.advance(100), 'unanswered'), 'probe-target').map(({targetId}) => targetId);
	assert.equal(probed.filter(id => id.startsWith('e')).length, 3);
	failTargets(core, core.advance(600), 'unanswered');
	assert.equal(relaysOf(core.arrive('r', '/ask/1', {model: 'm0'})).length, 1);
	const beacons = effectsOfKind(core.advance(400), 'beacon');
	assert.ok(beacons.at(-1)?.beacon.isCutOff, 'told to peers');
});

test('no target of one service is reached, those of another are: nothing more is probed there', () => {
	const core = createCore().readRegistry([...targetIds.map(id => targetEntry(id)), ...Array.from({length: 12}, (_, index) => engineEntry(`e${index}`, ['m0']))]);
	failTargets(core, core.arrive('first'), 'unanswered');
	const probed: string[] = [];
	for (const {targetId, incarnation} of effectsOfKind(core.advance(2000), 'probe-target')) {
		probed.push(targetId);
		const outcome = targetId.startsWith('e') ? 'accepted' : 'unanswered';
		core.dispatch({
			kind: 'target-probed', targetId, incarnation, outcome,
		});
	}

	assert.ok(probed.filter(id => id.startsWith('e')).length <= 3, probed.join(' '));
	assert.equal(relaysOf(core.arrive('r', '/ask/1', {model: 'm0'})).length, 0);
});

// Guards against requests that wait for connections to targets that are known to be unreached, although others are reached.
test('one target of a service is reached: requests go there, not to those that probes find unreached, also once these are tried again', () => {
	const core = createCore();
	const answer = (effects: readonly EntryEffect[]) => {
		for (const effect of effects) {
			if (effect.kind === 'probe-target') {
				core.dispatch({
					kind: 'target-probed', targetId: effect.targetId, incarnation: effect.incarnation, outcome: effect.targetId === 't3' ? 'accepted' : 'unanswered',
				});
			} else if (effect.kind === 'send') {
				answer(core.endTry(effect.requestId, effect.tryNumber, effect.targetId === 't3' ? 'answered' : 'not-sent'));
			}
		}
	};

	answer(core.arrive('first'));
	answer(core.advance(100));
	const sent: string[] = [];
	for (let index = 0; index < 40; index++) {
		answer(core.advance(100));
		const effects = core.arrive(`r${index}`, '/sign/1');
		sent.push(...effectsOfKind(effects, 'send').map(({targetId}) => targetId));
		answer(effects);
	}

	assert.deepEqual([...new Set(sent)], ['t3'], sent.join(' '));
});

test('a request is passed on to an instance of the own zone as the caller sent it, with the time that is left', () => {
	const core = createCutOff();
	const [relay] = relaysOf(core.arrive('r', '/sign/1', {deadlineMs: 800}));
	assert.equal(relay?.address, near.callerAddress);
	assert.ok(relay.remainingMs > 700 && relay.remainingMs < 800);
	assert.ok(relay.usesFreshConnection);
	assert.deepEqual(relay.relayed, {
		by: 'a', boot: 'a-1', service: 'records', release: undefined, configurationVersion: 1, route: undefined,
	});
	assert.equal(effectsOfKind(endRelay(core, 'r', 'answered', {status: 200}), 'deliver').length, 1);
	assert.equal(core.state.peers.get('b')!.relays.size, 0);
});

test('the instance of the own zone is cut off too: one of another zone gets it', () => {
	const core = createCutOff();
	core.dispatch({kind: 'beacon-received', beacon: beacon({from: near, isCutOff: true})});
	assert.equal(relaysOf(core.arrive('r'))[0]?.address, far.callerAddress);
	core.dispatch({kind: 'beacon-received', beacon: beacon({from: far, unreached: targetIds})});
	assert.equal(relaysOf(core.arrive('nobody')).length, 0, 'no instance reaches them');
});

// Guards against a second run after a connection between instances broke, and against calling such a request "not run".
test('the connection to the other instance breaks: work that may not repeat gets 502, nothing more is sent', () => {
	const core = createCutOff();
	core.arrive('r', '/sign/1');
	const effects = endRelay(core, 'r', 'broken');
	assert.deepEqual(effectsOfKind(effects, 'send'), []);
	const [refusal] = effectsOfKind(effects, 'refuse');
	assert.equal(refusal?.code, 'target-failed');
	assert.equal(refusal?.retryAfterMs, undefined);
});

test('the other instance does not reach the targets or is gone: the next one gets it, also work that may not repeat', () => {
	for (const [outcome, isMissing] of [['not-run', true], ['not-sent', false]] as const) {
		const core = createCutOff();
		core.arrive('r', '/sign/1');
		assert.equal(relaysOf(endRelay(core, 'r', outcome, {isMissing}))[0]?.address, far.callerAddress, outcome);
		assert.equal(relaysOf(core.arrive('next'))[0]?.address, far.callerAddress, 'it is avoided for a while');
	}
});

// Guards against refusing requests while most instances of a zone are cut off, and have not said so yet.
test('several instances do not reach the targets either: others are asked, up to a limit', () => {
	const peers = Array.from({length: 20}, (_, index) => ({...instance(`p${index}`), callerAddress: `p${index}:3`}));
	const core = createCutOff(peers);
	core.arrive('r', '/sign/1');
	const asked = new Set<string>();
	for (let declined = 1; declined <= 8; declined++) {
		const [next] = relaysOf(endRelay(core, 'r', 'not-run', {isMissing: true}));
		assert.ok(next, `${declined} have declined`);
		asked.add(next.address);
	}

	assert.equal(asked.size, 8, 'none is asked twice');
	const effects = endRelay(core, 'r', 'not-run', {isMissing: true});
	assert.deepEqual(relaysOf(effects), []);
	assert.equal(effectsOfKind(effects, 'refuse')[0]?.code, 'no-target');
});

test('the other instance refuses it: the caller gets the refusal with its time, and no third instance is asked', () => {
	const core = createCutOff();
	core.arrive('r');
	const effects = endRelay(core, 'r', 'not-run', {retryAfterMs: 700});
	assert.deepEqual(effectsOfKind(effects, 'send'), []);
	assert.deepEqual(effectsOfKind(effects, 'refuse').map(({code, retryAfterMs}) => [code, retryAfterMs]), [['no-target', 700]]);
});

test('runs at other instances count as attempts: a repeatable request gets no more than its route allows', () => {
	const core = createCutOff();
	core.arrive('r');
	assert.equal(relaysOf(endRelay(core, 'r', 'broken')).length, 1);
	const effects = endRelay(core, 'r', 'broken');
	assert.deepEqual(effectsOfKind(effects, 'send'), []);
	assert.equal(effectsOfKind(effects, 'refuse')[0]?.code, 'target-failed');
});

test('targets are reached again: the next request goes there', () => {
	const core = createCutOff();
	for (const {targetId, incarnation} of effectsOfKind(core.advance(600), 'probe-target')) {
		core.dispatch({
			kind: 'target-probed', targetId, incarnation, outcome: 'accepted',
		});
	}

	core.advance(1500);
	const [sent] = effectsOfKind(core.arrive('r'), 'send');
	assert.equal(sent?.relayed, undefined);
	assert.ok(targetIds.includes(sent!.targetId));
});

function relayedBy(details: Partial<Relayed> = {}): EntryArrivalOverrides {
	return {
		relayed: {
			by: 'b', boot: 'b-1', service: 'records', release: undefined, configurationVersion: 1, ...details,
		},
	};
}

const relayed = relayedBy();

// Guards against requests that go in circles between instances that are cut off.
test('a request that was passed on is not passed on again: the instance that sent it asks another one', () => {
	const core = createCutOff();
	const effects = core.arrive('r', '/records/1', relayed);
	assert.deepEqual(effectsOfKind(effects, 'send'), []);
	assert.equal(effectsOfKind(effects, 'refuse')[0]?.code, 'targets-unreached');
});

// Guards against callers of a cut-off instance that are refused since the instance that was asked has just started or stops.
test('a request that was passed on to an instance that knows no configuration, or stops, is left to others', () => {
	const starting = new EntryHarness();
	const stopping = createCore();
	stopping.dispatch({kind: 'drain-requested', noticedWithinMs: 0});
	stopping.advance(4000);
	for (const [core, code] of [[starting, 'no-configuration'], [stopping, 'stopping']] as const) {
		assert.deepEqual(effectsOfKind(core.arrive('r', '/sign/1', relayed), 'refuse').map(refusal => refusal.code), ['targets-unreached']);
		assert.deepEqual(effectsOfKind(core.arrive('own', '/sign/1'), 'refuse').map(refusal => refusal.code), [code]);
	}
});

test('an instance that has just said that it knows no configuration gets nothing, for as long as it has said nothing else', () => {
	const core = createCutOff();
	core.dispatch({kind: 'beacon-received', beacon: beacon({from: near, configurationVersion: 0})});
	assert.equal(relaysOf(core.arrive('r'))[0]?.address, far.callerAddress);
	core.dispatch({kind: 'beacon-received', beacon: beacon({from: near})});
	assert.equal(relaysOf(core.arrive('later'))[0]?.address, near.callerAddress);
});

// Guards against counting a request at two instances, each of which would allow retries for it.
test('a request that was passed on runs once here and counts in no budget or demand', () => {
	const core = createCore();
	const {bounds} = core.state;
	const before = retryBudget(core.state, 'records').remaining(core.nowMs, bounds.repeatShare, 0);
	assert.equal(effectsOfKind(core.arrive('r', '/records/1', relayed), 'send').length, 1);
	assert.equal(retryBudget(core.state, 'records').remaining(core.nowMs, bounds.repeatShare, 0), before);
	assert.deepEqual(effectsOfKind(core.endTry('r', 1, 'broken'), 'send'), [], 'further attempts are the other instance\'s');
});

test('a caller cannot make its request count as passed on', () => {
	const core = createCore();
	for (const forged of [relayedBy({by: 'stranger'}), relayedBy({boot: 'guessed'})]) {
		core.arrive('r', '/records/1', forged);
		assert.equal(effectsOfKind(core.endTry('r', 1, 'broken'), 'send').length, 1);
		core.endTry('r', 2, 'answered');
	}
});

test('a stream that has begun goes on at another instance, bound to the release that began it', () => {
	const core = new EntryHarness().configure().readRegistry([
		targetEntry('t1', {service: 'llm', copies: [{model: 'm0', version: 1, adapters: []}], release: 'v1'}),
		targetEntry('t2', {service: 'llm', copies: [{model: 'm0', version: 1, adapters: []}], release: 'v2'}),
	]);
	core.dispatch({kind: 'beacon-received', beacon: beacon({from: near})});
	const [sent] = effectsOfKind(core.arrive('r', '/ask/1', {model: 'm0'}), 'send');
	core.dispatch({
		kind: 'try-progressed', requestId: 'r', tryNumber: 1, delivered: 3,
	});
	core.endTry('r', 1, 'broken');
	failTargets(core, core.effects.splice(0), 'refused');
	failTargets(core, core.advance(400), 'refused');
	const [relay] = relaysOf(core.effects);
	assert.equal(relay?.relayed?.release, core.state.targets.get(sent!.targetId)!.entry.release);
});

// Guards against streams joined from two releases: the other instance may know a release that this one, which is cut off, has not seen.
test('a stream that another instance began here goes on only at the release that it has told', () => {
	for (const told of ['v2', undefined]) {
		const entries = [...targetIds.map(id => targetEntry(id)), engineEntry('e1', ['m0'], {release: 'v1'})];
		const core = createCore().readRegistry(entries);
		core.dispatch({kind: 'beacon-received', beacon: beacon({from: near})});
		const cutOff = (effects: readonly EntryEffect[]) => failTargets(core, effects, 'refused');
		cutOff(core.arrive('r', '/ask/1', {model: 'm0', deadlineMs: 8000}));
		cutOff(core.advance(400));
		const [relay] = relaysOf(core.effects.splice(0));
		assert.equal(relay?.relayed?.release, undefined);
		core.dispatch({
			kind: 'try-progressed', requestId: 'r', tryNumber: relay!.tryNumber, delivered: 2,
		});
		if (told !== undefined) {
			core.dispatch({kind: 'origins-announced', announcement: {origins: [['r', 'llm', told]]}});
		}

		cutOff(core.readRegistry([...entries, engineEntry('e2', ['m0'], {release: 'v2'})]).effects.splice(0));
		cutOff(core.endTry('r', relay!.tryNumber, 'broken'));
		cutOff(core.advance(400));
		assert.deepEqual(relaysOf(core.effects).map(({relayed}) => relayed?.release), told === undefined ? [] : [told]);
		assert.equal(effectsOfKind(core.effects, 'break-off').length, told === undefined ? 1 : 0);
	}
});

test('an instance tells who passed a stream on to it which release began it', () => {
	const core = createCore().readRegistry([engineEntry('e1', ['m0'], {release: 'v2'})]);
	const [sent] = effectsOfKind(core.arrive('r', '/ask/1', {model: 'm0', ...relayedBy({service: 'llm'})}), 'send');
	assert.equal(sent?.targetId, 'e1');
	const effects = core.dispatch({
		kind: 'try-progressed', requestId: 'r', tryNumber: 1, delivered: 1,
	});
	assert.deepEqual(effectsOfKind(effects, 'announce-origins'), [{kind: 'announce-origins', addresses: ['b:2'], announcement: {origins: [['r', 'llm', 'v2']]}}]);
});

const added = route({
	name: 'added', prefix: '/added/', timeoutMs: 700, destinations: [{service: 'other', weight: 1}],
});

// Guards against callers who see an older configuration because their instance, which is cut off, passes them on to one that is behind.
test('an instance that is behind serves what is passed on to it by the newer configuration', () => {
	const core = createCore().readRegistry([...targetIds.map(id => targetEntry(id)), targetEntry('t4', {service: 'other'})]);
	const effects = core.arrive('new', '/added/1', relayedBy({service: 'other', configurationVersion: 2, route: added}));
	assert.deepEqual(effectsOfKind(effects, 'send').map(({targetId}) => targetId), ['t4']);
	assert.equal(core.state.open.get('new')!.deadlineAtMs, core.nowMs + 700);
	assert.deepEqual(effectsOfKind(effects, 'pull').map(({address}) => address), [near.address], 'it learns the version');

	const moved = route({destinations: [{service: 'other', weight: 1}]});
	assert.deepEqual(effectsOfKind(core.arrive('moved', '/records/1', relayedBy({service: 'other', configurationVersion: 2, route: moved})), 'send').map(({targetId}) => targetId), ['t4']);
});

test('an instance that is behind and has not been told the route refuses at once, as not run', () => {
	const core = createCore();
	const effects = core.arrive('r', '/records/1', relayedBy({configurationVersion: 2}));
	assert.deepEqual(effectsOfKind(effects, 'refuse').map(({code}) => code), ['no-configuration']);
	assert.equal(effectsOfKind(effects, 'pull').length, 1);
});

test('an instance that is ahead serves what is passed on to it by its own configuration', () => {
	const core = createCore().configure({version: 3, routes: [route({destinations: [{service: 'other', weight: 1}]})]}).readRegistry([targetEntry('t1'), targetEntry('t4', {service: 'other'})]);
	assert.deepEqual(effectsOfKind(core.arrive('r', '/records/1', relayedBy({configurationVersion: 2, route: route()})), 'send').map(({targetId}) => targetId), ['t4']);
	assert.equal(effectsOfKind(core.arrive('dropped', '/added/1', relayedBy({service: 'other', configurationVersion: 2, route: added})), 'refuse')[0]?.code, 'path-unknown');
});

test('the route goes along only to an instance that has not said that it holds the version', () => {
	const core = createCutOff();
	core.configure({version: 2, routes: [added]});
	core.readRegistry([targetEntry('t1', {service: 'other'})]);
	const found = failTargets(core, core.arrive('first', '/added/1'), 'refused');
	failTargets(core, core.advance(100), 'refused');
	core.dispatch({kind: 'caller-left', requestId: 'first'});
	assert.equal(effectsOfKind(found, 'send').length, 1);
	assert.deepEqual(relaysOf(core.arrive('r', '/added/1'))[0]?.relayed?.route, added);
	for (const from of [near, far]) {
		core.dispatch({kind: 'beacon-received', beacon: beacon({from, configurationVersion: 2})});
	}

	assert.equal(relaysOf(core.arrive('next', '/added/1'))[0]?.relayed?.route, undefined);
});
