/**
Bytes kept in blocks: their content, and the memory that they take.
*/
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import fastCheck from 'fast-check';
import {BlockList} from './block-list.js';

const BLOCK_BYTES = 64 * 1024;

test('pieces of any size come back byte for byte, and take at most two blocks more than their length', () => {
	fastCheck.assert(fastCheck.property(fastCheck.array(fastCheck.nat({max: 150_000}), {maxLength: 12}), sizes => {
		const pieces = sizes.map((size, index) => Buffer.alloc(size, index + 1));
		const list = new BlockList();
		for (const piece of pieces) {
			list.append(piece);
		}

		assert.ok(list.toBuffer().equals(Buffer.concat(pieces)));
		assert.ok(list.capacity >= list.length && list.capacity <= list.length + (2 * BLOCK_BYTES));
	}), {seed: 67, numRuns: 50});
});

// Guards against lists of pieces that take a hundred times their length.
test('pieces of one byte take about their length', () => {
	const list = new BlockList();
	for (let index = 0; index < 100_000; index++) {
		list.append(Buffer.from('x'));
	}

	assert.ok(list.capacity <= 100_000 + BLOCK_BYTES);
});
