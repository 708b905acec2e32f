/**
The momentary slowness that targets state with their load: how long it is used, and how
peers learn of it.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	beacon, effectsOfKind, engineEntry, EntryHarness, instance, targetEntry,
} from '../../../test/standins/entry-harness.js';
import {slownessOf} from './slowness.js';

const load = {running: 1, waiting: 0, slots: 4};

function createCore(): EntryHarness {
	const core = new EntryHarness().configure().readRegistry([engineEntry('e1', ['m0']), targetEntry('s1')]);
	core.dispatch({kind: 'beacon-received', beacon: beacon({from: instance('b')})});
	core.effects.length = 0;
	return core;
}

function slowness(core: EntryHarness, id: string): number {
	return slownessOf(core.state.targets.get(id)!, core.nowMs);
}

// Guards against choosing targets by a figure that was true a second ago.
test('a stated slowness counts for 300 ms, and one that is not stated is 1', () => {
	const core = createCore();
	core.arrive('r', '/ask/1', {model: 'm0'});
	assert.equal(slowness(core, 'e1'), 1);
	core.dispatch({
		kind: 'try-progressed', requestId: 'r', tryNumber: 1, delivered: 1, load: {...load, slowness: 2.5},
	});
	assert.equal(slowness(core, 'e1'), 2.5);
	core.advance(250);
	assert.equal(slowness(core, 'e1'), 2.5);
	core.advance(50);
	assert.equal(slowness(core, 'e1'), 1);
});

// Guards against taking the load in the head of a stream, which is repeated when the stream ends, for a new one.
test('the end of a stream does not renew what its head stated, the answer of a plain service states it', () => {
	const core = createCore();
	core.arrive('r', '/ask/1', {model: 'm0'});
	core.dispatch({
		kind: 'try-progressed', requestId: 'r', tryNumber: 1, delivered: 1, load: {...load, slowness: 2.5},
	});
	core.advance(1000);
	core.dispatch({
		kind: 'try-ended', requestId: 'r', tryNumber: 1, outcome: 'answered', delivered: 9, status: 200, load: {...load, slowness: 2.5},
	});
	assert.equal(slowness(core, 'e1'), 1);
	core.arrive('p', '/records/1');
	core.dispatch({
		kind: 'try-ended', requestId: 'p', tryNumber: 1, outcome: 'answered', delivered: 0, status: 200, load: {...load, slowness: 3},
	});
	assert.equal(slowness(core, 's1'), 3);
});

// Guards against instances that know only what they hear themselves, about once every ten seconds for each target.
test('peers learn of it from load announcements and beacons, with its age; an older figure does not replace a newer one', () => {
	const core = createCore();
	core.arrive('r', '/ask/1', {model: 'm0'});
	core.effects.length = 0;
	core.dispatch({
		kind: 'try-progressed', requestId: 'r', tryNumber: 1, delivered: 1, load: {...load, slowness: 2.5},
	});
	const [announced] = effectsOfKind(core.effects, 'announce-load');
	assert.deepEqual(announced?.announcement.slowness, [['e1', 250, 0]]);
	core.advance(100);
	const beacons = effectsOfKind(core.effects, 'beacon').map(effect => effect.beacon.slowness).filter(stated => stated !== undefined);
	assert.ok(beacons.length > 0 && beacons.every(([stated]) => stated?.[0] === 'e1' && stated[1] === 250 && stated[2] > 0));

	const other = new EntryHarness(instance('b')).configure().readRegistry([engineEntry('e1', ['m0'])]);
	other.dispatch({kind: 'load-announced', announcement: announced.announcement});
	assert.equal(slowness(other, 'e1'), 2.5);
	other.dispatch({kind: 'beacon-received', beacon: beacon({from: instance('a'), slowness: [['e1', 100, 200], ['unknown', 300, 0]]})});
	assert.equal(slowness(other, 'e1'), 2.5);
	other.advance(150);
	other.dispatch({kind: 'beacon-received', beacon: beacon({from: instance('a'), slowness: [['e1', 100, 0]]})});
	assert.equal(slowness(other, 'e1'), 1);
});

test('a target that states no slowness adds nothing to messages', () => {
	const core = createCore();
	core.arrive('r', '/ask/1', {model: 'm0'});
	core.dispatch({
		kind: 'try-progressed', requestId: 'r', tryNumber: 1, delivered: 1, load,
	});
	core.advance(400);
	assert.ok(effectsOfKind(core.effects, 'announce-load').every(({announcement}) => announcement.slowness === undefined));
	assert.ok(effectsOfKind(core.effects, 'beacon').every(effect => effect.beacon.slowness === undefined));
});
