/**
Streams contain only complete events, without gaps or duplicates.
*/
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import * as fc from 'fast-check';
import {EventSplitter} from './stream-events.js';
import {selectUndelivered} from './try-runner.js';

test('events are split at empty lines, independent of chunk boundaries', () => {
	const text = 'id: 1\ndata: a\n\nversions: 2\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\nid: 4\nda';
	fc.assert(fc.property(fc.array(fc.integer({min: 1, max: 20}), {minLength: 1}), sizes => {
		const splitter = new EventSplitter();
		const bytes = Buffer.from(text);
		const events = [];
		let start = 0;
		for (let index = 0; start < bytes.length; index++) {
			const end = start + sizes[index % sizes.length]!;
			events.push(...splitter.push(bytes.subarray(start, end)));
			start = end;
		}

		assert.deepEqual(events.map(({id}) => id), [1, 2, 3]);
		assert.equal(Buffer.concat(events.map(event => event.bytes)).toString(), text.slice(0, text.indexOf('id: 4')));
		assert.ok(splitter.hasPartialEvent);
	}));
});

// Guards against a cost that grows with the square of an event that comes byte by byte: this one would take minutes.
test('an event that comes byte by byte costs no more than its length', {timeout: 20_000}, () => {
	const splitter = new EventSplitter();
	const bytes = Buffer.from(`id: 1\ndata: ${'a\r'.repeat(450 * 1024)}\n\n`);
	const startedAtMs = performance.now();
	let events = 0;
	for (let index = 0; index < bytes.length; index++) {
		events += splitter.push(bytes.subarray(index, index + 1)).length;
		assert.ok(performance.now() - startedAtMs < 15_000, `${index} bytes`);
	}

	assert.equal(events, 1);
});

test('events that the caller already has are dropped, and a gap is detected', () => {
	const events = [3, 4, 5].map(id => ({id, bytes: Buffer.from('')}));
	assert.deepEqual(selectUndelivered(events, 3)?.map(({id}) => id), [4, 5]);
	assert.equal(selectUndelivered(events, 1), undefined);
	assert.equal(selectUndelivered([4, 6].map(id => ({id, bytes: Buffer.from('')})), 3), undefined);
});
