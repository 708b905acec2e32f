/**
Which of several targets of equal cost gets a request, and how many idle connections an
instance may keep, so that all instances together stay within a target's limit.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	beacon, EntryHarness, effectsOfKind, instance, targetEntry,
} from '../../../test/standins/entry-harness.js';

const INSTANCES = 100;
/** Connections that the service of the harness' configuration accepts from all instances. */
const CONNECTION_LIMIT = 200;

test('of targets of equal cost, the one with an idle connection gets the request', () => {
	let chosen = 0;
	const core = new EntryHarness().configure().readRegistry(Array.from({length: 10}, (_, index) => targetEntry(`t${index}`, {slots: 100})));
	core.state.hasIdleConnection = address => address === 't7:80';
	for (let count = 0; count < 100; count++) {
		const [sent] = effectsOfKind(core.arrive(`r${count}`), 'send');
		chosen += sent!.targetId === 't7' ? 1 : 0;
		core.endTry(`r${count}`, 1, 'answered');
	}

	assert.ok(chosen > 50, `${chosen} of 100, and a tenth without the preference`);
});

test('a target with an idle connection is not preferred to one with less load', () => {
	const core = new EntryHarness().configure().readRegistry(['t0', 't1'].map(id => targetEntry(id)));
	core.state.hasIdleConnection = address => address === 't1:80';
	for (let count = 0; count < 8; count++) {
		core.arrive(`r${count}`);
	}

	assert.equal(core.state.targets.get('t0')!.inFlight.size, 4);
});

// Guards against targets that refuse connections since idle ones of all instances have used up their limit.
test('the idle connections of all instances leave half of what the target accepts to requests', () => {
	const core = new EntryHarness().configure().readRegistry([targetEntry('t0')]);
	for (let index = 1; index < INSTANCES; index++) {
		core.dispatch({kind: 'beacon-received', beacon: beacon({from: instance(`peer-${index}`)})});
	}

	core.advance(1000);
	const [sent] = effectsOfKind(core.arrive('r1'), 'send');
	assert.ok(sent!.maxIdleConnections >= 1);
	assert.ok(sent!.maxIdleConnections * INSTANCES <= CONNECTION_LIMIT / 2);
});
