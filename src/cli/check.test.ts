/**
Files that `pollenarch check` reads, and what it prints for them.
*/
import assert from 'node:assert/strict';
import {
	mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {test} from 'node:test';
import {fileURLToPath} from 'node:url';
import {
	checkFile, exitCodeOf, formatFinding, type CheckResult,
} from './check.js';
import {embeddedForm} from './embedded-form.js';
import {exitCodes} from './exit-codes.js';

const folder = fileURLToPath(new URL('../../test/golden/check/', import.meta.url));

function check(text: string): CheckResult {
	const directory = mkdtempSync(join(tmpdir(), 'pollenarch-check-'));
	try {
		const file = join(directory, 'configuration.yaml');
		writeFileSync(file, text);
		return checkFile({file, forms: [embeddedForm]});
	} finally {
		rmSync(directory, {recursive: true});
	}
}

// Guards against findings that are lost, or that point to another line.
test('a patched configuration with entries that never match', () => {
	const result = checkFile({file: join(folder, 'embedded.yaml'), forms: [embeddedForm]});
	assert.equal(result.findings.map(finding => `${formatFinding(finding)}\n`).join(''), readFileSync(join(folder, 'embedded.txt'), 'utf8'));
	assert.equal(exitCodeOf(result), exitCodes.findings);
});

test('what the daemon refuses is an error with its line', () => {
	const result = check('services: {}\ntargets:\n  d1:\n    service: gone\n    address: http://127.0.0.1:1\n    zone: a\n    gateway: plain\n');
	assert.equal(exitCodeOf(result), exitCodes.rejected);
	assert.deepEqual(result.findings, [{
		kind: 'error', path: 'targets.d1.service', line: 4, message: 'service gone is not configured',
	}]);
});

test('text that is not YAML, and a document of no known form, are errors', () => {
	for (const text of ['services: {', '- a', 'routes: []\nservices: []\n']) {
		const result = check(text);
		assert.equal(exitCodeOf(result), exitCodes.rejected, text);
		assert.equal(result.findings[0]?.kind, 'error');
	}
});

test('a sound configuration prints nothing', () => {
	const result = check('services: {desk: {kind: plain}}\ntargets: {d1: {service: desk, address: "http://127.0.0.1:1", zone: a, gateway: plain}}\n');
	assert.deepEqual(result, {findings: [], exit: 'done'});
});

// Guards against hashes of tokens in what is printed.
test('a changed token is reported without its hash', () => {
	const directory = mkdtempSync(join(tmpdir(), 'pollenarch-check-'));
	try {
		const files = ['a', 'b'].map(digit => {
			const file = join(directory, digit);
			writeFileSync(file, `callers: {one: {tokenSha256: ${digit.repeat(64)}}}\n`);
			return file;
		});
		const result = checkFile({file: files[1]!, against: files[0], forms: [embeddedForm]});
		assert.equal(exitCodeOf(result), exitCodes.done);
		assert.equal(result.findings.length, 1);
		assert.doesNotMatch(JSON.stringify(result), /a{8}|b{8}/v);
	} finally {
		rmSync(directory, {recursive: true});
	}
});
