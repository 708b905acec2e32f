/**
Levels of lines that tell how requests ended, by their reason.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type LogEventName} from '../core/log-events.js';
import {EntryLog} from './entry-log.js';

const WARN = 40;
const INFO = 30;

function levelOf(event: LogEventName, fields: Readonly<Record<string, unknown>>): number {
	const lines: string[] = [];
	const log = new EntryLog({
		level: 'info', instanceId: 'a', clock: {now: () => new Date(0), monotonicMs: () => 0}, destination: {
			write(line: string) {
				lines.push(line);
			},
		},
	});
	log.write(event, fields, {isUrgent: true});
	return (JSON.parse(lines[0]!) as {level: number}).level;
}

const levels: Readonly<Record<string, number>> = {
	deadline: INFO,
	'attempts-used': INFO,
	'budget-used': INFO,
	'may-have-run': INFO,
	declined: INFO,
	'targets-full': INFO,
	'deadline-unreachable': INFO,
	'caller-left': INFO,
	'caller-ended': INFO,
	'answer-unconfirmed': INFO,
	'connection-error': INFO,
	'body-incomplete': INFO,
	'instance-stopped': WARN,
	'process-stopped': WARN,
	'instance-lost': WARN,
	'answer-unread': WARN,
	'answer-cut': WARN,
	exception: WARN,
	unknown: WARN,
	idle: WARN,
	stopping: WARN,
	'release-gone': WARN,
	'relay-refused': WARN,
	'a reason that is added': WARN,
};

// Guards against warnings that nobody has to act on, which fill records in place of those that name a cause.
test('the end of a request is a warning only if its reason is one on which an operator has to act', () => {
	for (const event of ['request-ended', 'request-unanswered', 'peer-request-cut'] as const) {
		for (const [reason, level] of Object.entries(levels)) {
			assert.equal(levelOf(event, {requestId: 'r', reason}), level, `${event} ${reason}`);
		}

		assert.equal(levelOf(event, {requestId: 'r'}), WARN);
	}

	assert.equal(levelOf('try-ended', {requestId: 'r', outcome: 'failed'}), INFO);
});

test('a reason does not change the level of other events', () => {
	assert.equal(levelOf('lease-lost', {reason: 'deadline'}), WARN);
	assert.equal(levelOf('clock-stepped', {reason: 'caller-left'}), WARN);
});
