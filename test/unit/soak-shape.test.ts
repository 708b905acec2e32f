/**
A short soak of the deployment's shape with a fixed seed and a part of its traffic; `npm run soak -- --scenario shape`
makes long ones by hand (docs/SOAK.md).
*/
import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {createReport} from '../soak/report.js';
import {createShapeJudges} from '../soak/shape/judges.js';
import {runShape} from '../soak/shape/soak.js';
import {type SoakResult} from '../soak/soak.js';
import {PlatformBundle} from '../standins/platform-process.js';

const bundle = new PlatformBundle();
let result: SoakResult;

before(async () => {
	await bundle.build();
	result = await runShape({
		seed: 1, seconds: 17, scale: 0.3, share: 1, bundle,
	});
}, {timeout: 120_000});

after(() => {
	bundle.remove();
});

function check(name: string): void {
	assert.ok(result.judges[name]!.count(result.record) > 0, 'the judge had nothing to look at');
	assert.deepEqual(result.findings[name], [], createReport(result));
}

for (const [name, {promise}] of Object.entries(createShapeJudges([]))) {
	// Guards against a break of the promise around stops in turn, releases, changes and SIGHUP.
	test(`${name}: ${promise}`, () => {
		check(name);
	});
}
