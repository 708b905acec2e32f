/**
A short soak with a fixed seed; `npm run soak` makes long ones by hand (docs/SOAK.md).
*/
import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {createReport} from '../soak/report.js';
import {judges} from '../soak/judges.js';
import {drawSchedule} from '../soak/schedule.js';
import {runSoak, type SoakResult} from '../soak/soak.js';
import {PlatformBundle} from '../standins/platform-process.js';

const SEED = 1;
const SECONDS = 25;
const bundle = new PlatformBundle();
let result: SoakResult;

function check(name: string): void {
	assert.ok(judges[name]!.count(result.record) > 0, 'the judge had nothing to look at');
	assert.deepEqual(result.findings[name], [], createReport(result));
}

before(async () => {
	await bundle.build();
	result = await runSoak({
		seed: SEED, seconds: SECONDS, instances: 4, targets: 4, callers: 16, bundle,
	});
}, {timeout: 90_000});

after(() => {
	bundle.remove();
});

for (const [name, {promise}] of Object.entries(judges)) {
	// Guards against a break of the promise under kills, stops, freezes and refusals that are written once more.
	test(`${name}: ${promise}`, () => {
		check(name);
	});
}

test('a seed gives the same faults again, and another seed gives others', () => {
	const options = {seed: 7, lengthMs: 60_000};
	assert.deepEqual(drawSchedule(options), drawSchedule(options));
	assert.notDeepEqual(drawSchedule(options), drawSchedule({...options, seed: 8}));
});
