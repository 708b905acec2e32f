/**
Stories of requests from logs.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {tellStory} from './story.js';

const logs = [
	'12.5 edge-1 {"level":30,"time":105,"instance":"one","event":206,"requestId":"r1","targetId":"t1","msg":"try-sent"}',
	'{"level":40,"time":130,"instance":"one","event":207,"requestId":"r1","outcome":"broken","msg":"try-ended"}',
	'{"level":30,"time":90,"instance":"two","event":200,"requestId":"r1","code":"no-target","msg":"request-refused"}',
	'{"level":30,"time":91,"instance":"two","event":200,"requestId":"r2","code":"no-target","msg":"request-refused"}',
	'{"level":30,"time":91,"inst',
	'not a line of ours',
].join('\n');

test('lines of several instances are told in order of time', () => {
	const {lines, unreadable} = tellStory(logs, 'r1');
	assert.deepEqual(lines.map(line => line.split(/\s{2,}/v).filter(Boolean)), [
		['+0 ms', 'two', 'request-refused', 'code=no-target'],
		['+15 ms', 'one', 'try-sent', 'targetId=t1'],
		['+40 ms', 'one', 'try-ended', 'outcome=broken'],
	]);
	assert.equal(unreadable, 1);
});

test('an unknown id has no lines', () => {
	assert.deepEqual(tellStory(logs, 'r9').lines, []);
});
