/**
Which targets are probed when connections to one cannot be opened. Probing all others cost
thousands of connections for one dead engine, in a deployment of 100 instances.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {EntryHarness, effectsOfKind, targetEntry} from '../../../test/standins/entry-harness.js';
import {type EntryEffect} from './effect.js';

const TARGETS = 78;
const zones = ['north', 'south', 'west'];
/** Probes are sent at ticks, and an unreached target is probed again after half a second. */
const ROUND_MS = 100;

/** Target 0 to 77, of which every third one is in the instance's own zone. */
function createCore(): EntryHarness {
	return new EntryHarness().configure().readRegistry(Array.from({length: TARGETS}, (_, index) => targetEntry(`t${index}`, {zone: zones[index % zones.length]!})));
}

/** One request whose connection to its target is not opened; returns the target's id. */
function meetDeadTarget(core: EntryHarness): string {
	const [sent] = effectsOfKind(core.arrive('r1'), 'send');
	core.nowMs += 300;
	core.endTry('r1', 1, 'not-sent');
	return sent!.targetId;
}

function probed(effects: readonly EntryEffect[], except: string): string[] {
	return effectsOfKind(effects, 'probe-target').map(({targetId}) => targetId).filter(id => id !== except);
}

function endProbes(core: EntryHarness, ids: readonly string[], outcome: 'accepted' | 'unanswered'): void {
	for (const targetId of ids) {
		core.dispatch({
			kind: 'target-probed', targetId, incarnation: 1, outcome,
		});
	}
}

test('a dead target among 78 makes an instance probe three others, of its own zone', () => {
	const core = createCore();
	const dead = meetDeadTarget(core);
	const sample = probed(core.advance(ROUND_MS), dead);
	assert.equal(sample.length, 3);
	assert.deepEqual(sample.map(id => core.state.targets.get(id)!.entry.zone), ['north', 'north', 'north']);
	endProbes(core, sample, 'accepted');
	core.endTry('r1', 2, 'answered');
	assert.deepEqual(probed(core.advance(2000), dead), []);
	assert.equal(core.state.unreachedServices.size, 0);
});

test('one answer of the sample is enough', () => {
	const core = createCore();
	const dead = meetDeadTarget(core);
	const sample = probed(core.advance(ROUND_MS), dead);
	endProbes(core, sample.slice(0, 1), 'unanswered');
	endProbes(core, sample.slice(1, 2), 'accepted');
	endProbes(core, sample.slice(2), 'unanswered');
	assert.deepEqual(probed(core.advance(ROUND_MS), dead).filter(id => !sample.includes(id)), []);
});

test('targets that were heard longest ago are probed first', () => {
	const core = createCore();
	for (const [index, target] of [...core.state.targets.values()].entries()) {
		target.heardAtMs = core.nowMs - 60_000 + (index * 100);
	}

	const dead = meetDeadTarget(core);
	const oldest = [...core.state.targets.keys()].filter((id, index) => index % zones.length === 0 && id !== dead).slice(0, 3);
	assert.deepEqual(probed(core.advance(ROUND_MS), dead).toSorted(), oldest.toSorted());
});

// Guards against an instance that is cut off and takes its whole service for reachable.
test('an instance that reaches none of the sample probes the rest, and knows that it is cut off', () => {
	const core = createCore();
	const dead = meetDeadTarget(core);
	const sample = probed(core.advance(ROUND_MS), dead);
	core.nowMs += 300;
	endProbes(core, sample, 'unanswered');
	const rest = probed(core.advance(ROUND_MS), dead).filter(id => !sample.includes(id));
	assert.equal(rest.length, TARGETS - 4);
	core.nowMs += 300;
	endProbes(core, rest, 'unanswered');
	assert.deepEqual([...core.state.unreachedServices], ['records']);
	endProbes(core, rest.slice(0, 1), 'accepted');
	assert.deepEqual([...core.state.unreachedServices], []);
});

test('a target that was heard since the connection was begun makes probes needless', () => {
	const core = createCore();
	const [sent] = effectsOfKind(core.arrive('r1'), 'send');
	core.nowMs += 200;
	const other = [...core.state.targets.values()].find(({id}) => id !== sent!.targetId)!;
	other.heardAtMs = core.nowMs;
	core.nowMs += 100;
	core.endTry('r1', 1, 'not-sent');
	assert.deepEqual(probed(core.advance(ROUND_MS), sent!.targetId), []);
});
