/**
Models and adapters that are asked for throughout a run: under bursts, while demand
moves, and while more rare models than fit take turns.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {readPattern} from './pattern.js';
import {runOnce} from './run.js';

/** Models and adapters that a run may leave without service: some, and a share of those that are asked for. */
const UNSERVED_MAX = 1;
const UNSERVED_SHARE_MAX = 0.1;

// Guards against models and adapters that are never served although targets have room, such as those whose requests wait in a queue that counts as empty.
test('a burst, a shift, and rare models taking turns: nearly every model and adapter that is asked for throughout is served, and queues count what waits', () => {
	for (const name of ['burst', 'hot-model', 'swap-storm']) {
		for (const seed of [1, 2, 3]) {
			const {violations, names: {asked, neverServed}} = runOnce({pattern: readPattern(`src/experiment/patterns/${name}.yaml`).unsafeCoerce(), seed, without: []});
			assert.deepEqual(violations, [], `${name}, seed ${seed}`);
			assert.ok(neverServed.length <= UNSERVED_MAX + (asked * UNSERVED_SHARE_MAX), `${name}, seed ${seed}: ${neverServed.join(', ')} of ${asked}`);
		}
	}
});
