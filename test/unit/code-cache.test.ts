import assert from 'node:assert/strict';
import {spawnSync} from 'node:child_process';
import path from 'node:path';
import process from 'node:process';
import {after, before, test} from 'node:test';
import {nodeOptions, PlatformBundle} from '../standins/platform-process.js';

const bundle = new PlatformBundle();

before(async () => {
	await bundle.build();
});

after(() => {
	bundle.remove();
});

function evaluate(script: string, flags: readonly string[]): string {
	const {stdout, stderr} = spawnSync(process.execPath, [...flags, '-e', script], {encoding: 'utf8'});
	assert.equal(stderr, '');
	return stdout;
}

// A flag that V8 counts among those that affect code made each start compile all built-in modules, 53 ms of processor time.
test('the flags of the deploy file keep the code cache of the built-in modules valid', () => {
	const script = 'process.stdout.write(String(require(\'node:v8\').cachedDataVersionTag()))';
	assert.equal(evaluate(script, nodeOptions), evaluate(script, []));
});

// A cache that is rejected, for example since the source is read with other characters than it was compiled with, costs 90 ms at each start and nothing else shows it.
test('the code cache of the bundle is accepted', () => {
	const file = (name: string) => JSON.stringify(path.join(bundle.folder, name));
	const script = `const {readFileSync} = require('node:fs');
		const script = new (require('node:vm').Script)(readFileSync(${file('pollenarch.source.js')}, 'latin1'), {
			filename: ${file('pollenarch.cjs')}, cachedData: readFileSync(${file('pollenarch.cache')}),
		});
		process.stdout.write(String(script.cachedDataRejected));`;
	assert.equal(evaluate(script, nodeOptions), 'false');
});
