/**
Limits that targets name, kept by all instances together: few and many instances, low
and high limits, and faults meanwhile.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {readPattern, type Pattern, type PatternEvent} from './pattern.js';
import {runOnce} from './run.js';

const LENGTH_S = 20;

function run({seed = 1, events, ...sizes}: {seed?: number; events?: PatternEvent[]; instancesPerZone?: number; enginesPerZone?: number}) {
	const shipped = readPattern('src/experiment/patterns/named-limit.yaml').unsafeCoerce();
	const pattern: Pattern = {
		...shipped, lengthS: LENGTH_S, ...sizes, events: events ?? shipped.events,
	};
	return runOnce({pattern, seed, without: []});
}

// Guards against instances that ignore a target's limit, or each keep it for themselves, so that their sum is a multiple of it.
test('a target names how many requests a second it takes: all instances together keep to it, and the others serve the rest', () => {
	for (const seed of [1, 2, 3]) {
		const {violations, all} = run({seed});
		assert.deepEqual(violations, [], `seed ${seed}`);
		assert.ok(all['in-time'] > 0.5, `seed ${seed}: ${all['in-time']} in time`);
	}
});

// Guards against a sum that grows with the number of instances, as equal shares with a request at hand each would.
test('many instances, few requests each: their sum keeps to the limit', () => {
	for (const instancesPerZone of [16, 45]) {
		assert.deepEqual(run({instancesPerZone}).violations, [], `${instancesPerZone} instances a zone`);
	}
});

// Guards against a limit that only holds while there is a holder, or while messages arrive.
test('the lease holder dies, the store is away, messages are lost or a zone is cut off: the limit is kept', () => {
	const limits: PatternEvent = {
		kind: 'named-limit', atS: 6, forS: 12, number: 2, perSecond: 2.5,
	};
	const faults: PatternEvent[][] = [
		[{
			kind: 'instance-kill', atS: 9, forS: 4, number: 1, holder: true,
		}],
		[{
			kind: 'instance-kill', atS: 9, forS: 4, number: 1, holder: true,
		}, {kind: 'store-down', atS: 8, forS: 8}],
		[{
			kind: 'messages-lost', atS: 5, forS: 14, share: 0.3,
		}],
		[{kind: 'zone-cut', atS: 8, forS: 6}],
	];
	for (const fault of faults) {
		for (const seed of [1, 2, 3]) {
			assert.deepEqual(run({seed, events: [limits, ...fault]}).violations, [], `${fault[0]!.kind}, seed ${seed}`);
		}
	}
});

// Guards against a limit that stays in force here after the target has lifted it.
test('a limit is lifted: the load afterwards is served as if there had been none', () => {
	const inTime = (events: PatternEvent[]) => {
		const {inTimeBySecond} = run({events});
		return inTimeBySecond.slice(14).reduce((sum, share) => sum + share, 0) / inTimeBySecond.slice(14).length;
	};

	const limited = inTime([{
		kind: 'named-limit', atS: 5, forS: 5, number: 2, perSecond: 2.5,
	}]);
	const plain = inTime([]);
	assert.ok(limited >= plain * 0.95, `${limited} of the requests after it in time, ${plain} without a limit`);
});
