/**
Shares of limits that hold for all instances together, where each instance hears from
only a few of the others.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {readPattern} from './pattern.js';
import {runOnce} from './run.js';

// Guards against shares that are counted by the instances heard from: instances of other zones hear from each other too rarely.
test('many instances in several zones, also after a minute and a change of the holder: the shares of a common limit sum up to it at most', () => {
	const shipped = readPattern('src/experiment/patterns/named-limit.yaml').unsafeCoerce();
	const {violations} = runOnce({
		pattern: {
			...shipped,
			zones: 4,
			instancesPerZone: 14,
			enginesPerZone: 1,
			lengthS: 90,
			kinds: shipped.kinds.map(kind => ({...kind, perSecond: 1})),
			events: [{
				kind: 'instance-kill', atS: 75, forS: 60, number: 1, holder: true,
			}],
		},
		seed: 1,
		without: [],
	});
	assert.deepEqual(violations, []);
});
