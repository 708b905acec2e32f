import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {PassThrough} from 'node:stream';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {readChunks} from './body-chunks.js';

test('resolves at the end, after all chunks were taken in their order', async () => {
	const body = new PassThrough();
	const taken: string[] = [];
	const read = readChunks(body, chunk => {
		taken.push(chunk.toString());
		return undefined;
	});
	body.write('a');
	await nextTurn();
	body.write('b');
	body.end('c');
	assert.equal(await read, undefined);
	assert.equal(taken.join(''), 'abc');
});

// A caller that reads slowly must hold back the target, and not fill the memory.
test('takes no chunk while the one before it is held', async () => {
	const body = new PassThrough();
	const taken: string[] = [];
	let release!: () => void;
	const until = new Promise<void>(resolve => {
		release = resolve;
	});
	const read = readChunks(body, chunk => {
		taken.push(chunk.toString());
		return taken.length === 1 ? {until} : undefined;
	});
	body.write('a');
	await nextTurn();
	body.end('b');
	await nextTurn();
	await nextTurn();
	assert.deepEqual(taken, ['a']);
	release();
	await read;
	assert.deepEqual(taken, ['a', 'b']);
});

test('ends with the reason that a chunk gives, takes none after it and destroys the body', async () => {
	const body = new PassThrough();
	body.on('error', () => undefined);
	let count = 0;
	const read = readChunks(body, () => {
		count++;
		return {stop: 'foreign'};
	});
	body.write('a');
	await nextTurn();
	body.write('b');
	assert.equal(await read, 'foreign');
	assert.equal(count, 1);
	assert.ok(body.destroyed);
});

// A stream that breaks off must not pass for a complete one.
test('rejects if the body breaks off, with an error or without one', async () => {
	const failing = new PassThrough();
	const first = readChunks(failing, () => undefined);
	failing.write(Buffer.from('a'));
	failing.destroy(new Error('reset'));
	await assert.rejects(first, /reset/v);
	const closing = new PassThrough();
	const second = readChunks(closing, () => undefined);
	closing.write('a');
	closing.destroy();
	await assert.rejects(second, {code: 'ERR_STREAM_PREMATURE_CLOSE'});
});

// The wait of a canceled try rejects; the try must end with it and leave its connection.
test('rejects and destroys the body if a chunk fails, at once or while it is held', async () => {
	const body = new PassThrough();
	const read = readChunks(body, () => {
		throw new Error('too large');
	});
	body.write('a');
	await assert.rejects(read, /too large/v);
	assert.ok(body.destroyed);
	const held = new PassThrough();
	const second = readChunks(held, () => ({
		until: (async () => {
			await nextTurn();
			throw new Error('canceled');
		})(),
	}));
	held.write('a');
	await assert.rejects(second, /canceled/v);
	assert.ok(held.destroyed);
});
