/**
Collecting the log records of a request.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createStory} from './story.js';

const logs = [
	'12.5 edge-1 {"level":30,"time":105,"instance":"one","event":206,"requestId":"r1","targetId":"t1","msg":"try-sent"}',
	'{"level":40,"time":130,"instance":"one","event":207,"requestId":"r1","outcome":"broken","msg":"try-ended"}',
	'{"level":30,"time":90,"instance":"two","event":200,"requestId":"r1","code":"no-target","msg":"request-refused"}',
	'{"level":30,"time":91,"instance":"two","event":200,"requestId":"r2","code":"no-target","msg":"request-refused"}',
	'{"level":30,"time":91,"inst',
	'a line without a log record',
].join('\n');

test('records of several instances are sorted by time', () => {
	const {lines, unreadable} = createStory(logs, 'r1');
	assert.deepEqual(lines.map(line => line.split(/\s{2,}/v).filter(Boolean)), [
		['+0 ms', 'two', 'request-refused', 'code=no-target'],
		['+15 ms', 'one', 'try-sent', 'targetId=t1'],
		['+40 ms', 'one', 'try-ended', 'outcome=broken'],
	]);
	assert.equal(unreadable, 1);
});

test('an unknown request id yields no lines', () => {
	assert.deepEqual(createStory(logs, 'r9').lines, []);
});
