/**
The metrics match their documentation, and count also the events whose log lines are dropped.
*/
import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {test} from 'node:test';
import {createEntryState} from '../core/entry/state.js';
import {EntryLog} from './entry-log.js';
import {EntryMetrics} from './entry-metrics.js';

function setUp(): {log: EntryLog; metrics: EntryMetrics; lines: string[]; advance: (milliseconds: number) => void} {
	let nowMs = 0;
	const lines: string[] = [];
	const log = new EntryLog({
		level: 'info',
		instanceId: 'a',
		clock: {now: () => new Date(nowMs), monotonicMs: () => nowMs},
		destination: {
			write(line: string) {
				lines.push(line);
			},
		},
	});
	const metrics = new EntryMetrics({
		state: createEntryState(), monotonicMs: () => nowMs, wallMs: () => nowMs, droppedLines: () => log.droppedLines,
	});
	log.setObserver((event, fields) => {
		metrics.recordEvent(event, fields);
	});
	return {
		log, metrics, lines, advance(milliseconds) {
			nowMs += milliseconds;
		},
	};
}

test('docs/METRICS.md lists exactly the exported metrics, each once', () => {
	const {metrics} = setUp();
	const documented = readFileSync(new URL('../../docs/METRICS.md', import.meta.url), 'utf8').matchAll(/^\| (?<name>pollenarch_\w+) /gmv);
	const names = [...documented].map(match => match.groups?.name ?? '');
	assert.deepEqual(new Set(names), new Set(metrics.registry.getMetricsAsArray().map(({name}) => name)));
	assert.equal(names.length, new Set(names).size);
});

test('log rate far above the limit; routine lines are dropped first, warnings stay, dropped lines are counted', async () => {
	const {log, metrics, lines, advance} = setUp();
	for (let second = 0; second < 3; second++) {
		for (let index = 0; index < 1000; index++) {
			log.write(index % 20 === 0 ? 'request-ended' : 'request-answered', {
				route: 'r', outcome: 'no-target', tookMs: 1, tries: [],
			});
		}

		advance(1000);
	}

	log.write('daemon-stopped', {});
	assert.ok(lines.length <= 3 * 152, `${lines.length} lines`);
	assert.ok(lines.some(line => line.includes('lines-left-out')));
	assert.ok(lines.filter(line => line.includes('request-ended')).length >= 3);
	assert.match(await metrics.registry.metrics(), /pollenarch_requests_total\{outcome="answered",route="r"\} 2850/v);
});

test('many responses per second; state changes of targets and copies are still logged', () => {
	const {log, lines} = setUp();
	for (let index = 0; index < 200; index++) {
		log.write('try-sent', {requestId: `r${index}`, waitedMs: 0});
		log.write('request-answered', {requestId: `r${index}`, tookMs: 1, tries: []});
	}

	log.write('target-leaving', {targetId: 't1'});
	assert.ok(lines.some(line => line.includes('target-leaving')));
	assert.ok(lines.length <= 61, `${lines.length} lines`);
});

// Guards against failures of targets that are not counted since no line of their own tells of them.
test('a failed try is counted once, whether its own line or that of its request tells of it', async () => {
	const {log, metrics} = setUp();
	const failed = {outcome: 'failed', targetId: 't1'};
	log.write('try-ended', {requestId: 'r', ...failed});
	log.write('request-ended', {
		requestId: 'r', route: 'r', outcome: 'target-error', tookMs: 1, tries: [], lastTry: failed,
	});
	log.write('request-ended', {
		requestId: 'other', route: 'r', outcome: 'target-timeout', tookMs: 1, tries: [],
	});
	assert.match(await metrics.registry.metrics(), /pollenarch_failed_tries_total\{outcome="failed",target="t1"\} 2/v);
});
