/**
Periodic tasks: one that throws does not keep the others from being done.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	EntryHarness, effectsOfKind, instance, targetEntry,
} from '../../../test/standins/entry-harness.js';

// Guards against a single entry of the registry that ends the tick: the lease was not renewed, beacons stopped, and what waited was not sent.
test('after a task that throws the others are done, and what was done before it is kept', () => {
	const core = new EntryHarness().configure().readRegistry([targetEntry('t1')]).holdLease();
	core.dispatch({kind: 'instances-read', instances: [instance('b')]});
	Object.defineProperty(core.state, 'knownReleases', {
		get() {
			throw new Error('an odd entry');
		},
	});
	core.arrive('r1', '/records/1', {deadlineMs: 600});
	const effects = core.advance(700);
	for (const kind of ['refuse', 'read-registry', 'write-lease', 'beacon', 'fail-lost-requests'] as const) {
		assert.ok(effectsOfKind(effects, kind).length > 0, kind);
	}

	const logged = effectsOfKind(effects, 'log').find(({event}) => event === 'task-failed');
	assert.deepEqual(logged?.fields, {task: 'updateReleaseRecord', error: 'an odd entry'});
});
