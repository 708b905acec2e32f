import assert from 'node:assert/strict';
import {type Buffer} from 'node:buffer';
import {performance} from 'node:perf_hooks';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {type LogEventName} from '../core/log-events.js';
import {EntryLog} from './entry-log.js';
import {LogOutput, type LogSink} from './log-output.js';

/** A reader that takes some bytes and then none, until it is told to take more. */
class Reader {
	text = '';
	readonly sink: LogSink = {
		writeNow: bytes => {
			const taken = Math.min(this.room, bytes.length);
			if (taken === 0) {
				throw Object.assign(new Error('busy'), {code: 'EAGAIN'});
			}

			this.room -= taken;
			this.text += bytes.subarray(0, taken).toString();
			return taken;
		},
	};

	constructor(public room = Number.POSITIVE_INFINITY) {}

	get lines(): string[] {
		return this.text.split('\n').slice(0, -1);
	}
}

function createLog(reader: Reader): EntryLog {
	return new EntryLog({
		level: 'info', instanceId: 'a', clock: {now: () => new Date(0), monotonicMs: () => 0}, output: new LogOutput({sink: reader.sink}),
	});
}

// Guards against an end of a request that no line names, since others took all lines of its second.
test('a flood of other lines in the same second drops no urgent line', () => {
	const reader = new Reader();
	const log = createLog(reader);
	const flood: readonly LogEventName[] = ['request-answered', 'try-ended', 'request-refused', 'request-ended', 'request-unanswered'];
	for (let index = 0; index < 5000; index++) {
		for (const event of flood) {
			log.write(event, {requestId: `other-${index}`, tries: []});
		}

		if (index % 2 === 0) {
			log.write('request-unanswered', {requestId: `urgent-${index}`}, {isUrgent: true});
		}
	}

	const urgent = reader.lines.filter(line => line.includes('"urgent-'));
	assert.equal(urgent.length, 2500);
	assert.ok(reader.lines.length < 2500 + 600, `${reader.lines.length} lines`);
});

// Guards against an error of this instance, which may cut off several requests at once, that no line names since others took all lines of its second.
test('a flood of lines of tries in the same second drops no line of an error of this instance', () => {
	const reader = new Reader();
	const log = createLog(reader);
	for (let index = 0; index < 300; index++) {
		log.write('try-ended', {requestId: `other-${index}`});
	}

	log.write('effect-failed', {effect: 'uncaughtException'});
	log.write('task-failed', {task: 'some'});
	log.flushNow();
	assert.deepEqual(reader.lines.slice(-2).map(line => (JSON.parse(line) as {msg: string}).msg), ['effect-failed', 'task-failed']);
});

// Guards against an urgent line that waits behind others until the process is killed.
test('an urgent line is written before the call returns, in the order of time while the reader takes all', () => {
	const reader = new Reader();
	const log = createLog(reader);
	log.write('try-ended', {requestId: 'before'});
	assert.equal(reader.text, '');
	log.write('request-unanswered', {requestId: 'urgent'}, {isUrgent: true});
	assert.deepEqual(reader.lines.map(line => (JSON.parse(line) as {requestId: string}).requestId), ['before', 'urgent']);
});

// Guards against lines of ends that a slow reader's full pipe loses, or mixes up with others.
test('a slow reader gets every urgent line whole, ahead of what waited', async () => {
	const reader = new Reader(10_000);
	const log = createLog(reader);
	for (let index = 0; index < 140; index++) {
		log.write('try-ended', {requestId: `other-${index}`, reason: 'x'.repeat(200)});
	}

	log.flush();
	for (let index = 0; index < 1000; index++) {
		log.write('request-unanswered', {requestId: `urgent-${index}`, reason: 'x'.repeat(500)}, {isUrgent: true});
	}

	assert.equal(reader.room, 0);
	reader.room = 650_000;
	await delay(100);
	const urgentCount = () => reader.lines.filter(line => line.includes('"urgent-')).length;
	assert.equal(urgentCount(), 1000);
	assert.ok(reader.lines.length < 1140, `${reader.lines.length} lines`);
	reader.room = Number.POSITIVE_INFINITY;
	log.flushNow();
	const names = reader.lines.map(line => (JSON.parse(line) as {requestId: string}).requestId);
	assert.equal(new Set(names).size, 1140);
});

// Guards against memory that grows without bound, and a process that is held up, while nobody reads.
test('what nobody reads is bounded, and the end of the process waits for it only shortly', () => {
	const reader = new Reader(0);
	const output = new LogOutput({sink: reader.sink, bufferedBytes: 10_000, urgentBytes: 20_000});
	const line = `${'x'.repeat(99)}\n`;
	for (let index = 0; index < 1000; index++) {
		output.write(line);
		output.writeUrgent(line);
	}

	// The rest of what was being written counts no more.
	assert.ok(output.droppedLines >= 2000 - 300 - 100, `${output.droppedLines}`);
	const beganAtMs = performance.now();
	output.flushNow(50);
	assert.ok(performance.now() - beganAtMs < 500, 'waited for too long');
});

test('lines for a file are written in order, and those that are urgent at once', () => {
	const written: string[] = [];
	let finish: () => void = () => undefined;
	const output = new LogOutput({
		sink: {
			writeNow(bytes) {
				written.push(bytes.toString());
				return bytes.length;
			},
			writeLater(bytes: Buffer, done) {
				written.push(bytes.toString());
				finish = done;
			},
		},
	});
	output.write('one\n');
	output.flush();
	output.write('two\n');
	output.flush();
	assert.deepEqual(written, ['one\n']);
	output.writeUrgent('urgent\n');
	finish();
	output.flushNow(0);
	assert.deepEqual(written, ['one\n', 'urgent\n', 'two\n']);
});

test('a reader that has gone costs no memory', () => {
	const output = new LogOutput({
		sink: {
			writeNow() {
				throw Object.assign(new Error('closed'), {code: 'EPIPE'});
			},
		},
	});
	for (let index = 0; index < 100_000; index++) {
		output.write('x'.repeat(100));
	}

	assert.equal(output.droppedLines, 0);
});
