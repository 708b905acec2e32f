/**
Streams: whole events only, none missing, none twice.
*/
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import * as fc from 'fast-check';
import {EventSplitter} from './stream-events.js';
import {selectUndelivered} from './try-runner.js';

test('events are split at empty lines, whatever the chunks are', () => {
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

test('events that the caller has are dropped, and a missing one is noticed', () => {
	const events = [3, 4, 5].map(id => ({id, bytes: Buffer.from('')}));
	assert.deepEqual(selectUndelivered(events, 3)?.map(({id}) => id), [4, 5]);
	assert.equal(selectUndelivered(events, 1), undefined);
	assert.equal(selectUndelivered([4, 6].map(id => ({id, bytes: Buffer.from('')})), 3), undefined);
});
