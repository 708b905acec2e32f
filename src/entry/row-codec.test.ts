/**
Rows of the store: what is encoded is decoded again, and what is no such row is none.
*/
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {decodeReleases, encodeRow} from './row-codec.js';

// Guards against services that are lost when the record is read back: it would be written again for ever, and prove too much.
test('a record of releases is decoded as it was encoded, whatever its services are called', () => {
	const record = {sinceMs: 5, eraRevision: 0, releases: Object.fromEntries(['constructor', '__proto__', 'llm'].map(name => [name, ['v1', name]]))};
	const decoded = decodeReleases(encodeRow(record)).extract();
	assert.deepEqual(Object.entries(decoded!.releases), Object.entries(record.releases));
});

test('a row that is no record of releases is none', () => {
	for (const releases of [undefined, null, 'v1', {llm: 'v1'}, {llm: [1]}]) {
		const row = Buffer.from(JSON.stringify({sinceMs: 5, eraRevision: 0, releases}));
		assert.equal(decodeReleases(row).extract(), undefined, JSON.stringify(releases));
	}
});
