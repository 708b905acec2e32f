/**
What an instance learns from its peers while one of them is silent.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	beacon, effectsOfKind, EntryHarness, instance, targetEntry,
} from '../../../test/standins/entry-harness.js';

/** A pull is given up after this time. */
const PULL_TIMEOUT_MS = 800;

// Guards against an instance that goes by an old configuration (CONFIG): beacons of sound peers came to nothing while a silent one was asked, and the next ones come 1.5 to 2 s later.
test('a newer configuration is pulled from another peer that has told of it, once the one that was asked first has not answered', () => {
	const core = new EntryHarness().configure().readRegistry([targetEntry('t0')]);
	const tell = (id: string) => core.dispatch({kind: 'beacon-received', beacon: beacon({from: instance(id), configurationVersion: 2})});
	tell('silent');
	core.advance(200);
	tell('silent');
	assert.deepEqual(effectsOfKind(core.effects, 'pull').map(({address}) => address), [instance('silent').address]);
	core.advance(300);
	tell('sound');
	core.advance(PULL_TIMEOUT_MS - 300);
	core.dispatch({kind: 'pull-completed', transfer: undefined});
	core.advance(400);
	assert.ok(effectsOfKind(core.effects, 'pull').some(({address}) => address === instance('sound').address));
});
