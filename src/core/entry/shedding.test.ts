/**
What an instance that gets too little processor time refuses.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	EntryHarness, effectsOfKind, engineEntry, instance, targetEntry,
} from '../../../test/standins/entry-harness.js';
import {LATE_TARGET_MS} from './shedding.js';

const TICK_MS = 50;
const REQUESTS = 200;

function start(processorCores: number | undefined): EntryHarness {
	return new EntryHarness({...instance('a'), processorCores}).configure().readRegistry([engineEntry('e0', ['m0'], {slots: 1000}), targetEntry('t0', {slots: 1000})]);
}

/** Ticks of a process that is late by the same time in each round. */
function runLate(core: EntryHarness, durationMs: number, lateMs: number): void {
	for (const endMs = core.nowMs + durationMs; core.nowMs < endMs;) {
		core.nowMs += TICK_MS + lateMs;
		core.dispatch({kind: 'tick', lateMs});
		core.confirmRegistry();
	}
}

/** Sends requests and returns how many were refused at once. */
function refused(core: EntryHarness, path: string, overrides: Parameters<EntryHarness['arrive']>[2] = {}): number {
	const firstIndex = core.effects.length;
	for (let index = 0; index < REQUESTS; index++) {
		const id = `${path}-${core.nowMs}-${index}`;
		core.arrive(id, path, overrides);
		core.dispatch({kind: 'caller-left', requestId: id});
	}

	return effectsOfKind(core.effects.slice(firstIndex), 'refuse').filter(({code, retryAfterMs}) => code === 'deadline-unreachable' && (retryAfterMs ?? 0) > 0).length;
}

// Instances with more requests than processor time took them all, and answered each of them after its caller had given up.
test('a process that is behind refuses a part of the arrivals at once, less urgent ones first, and none once it is in time', () => {
	const core = start(0.12);
	assert.equal(refused(core, '/ask/1', {model: 'm0'}), 0);
	runLate(core, 4000, LATE_TARGET_MS * 3);
	const urgent = refused(core, '/ask/1', {model: 'm0'});
	const leisurely = refused(core, '/digest/1', {model: 'm0'});
	assert.ok(urgent > REQUESTS / 2, `${urgent} urgent ones refused`);
	assert.ok(leisurely > urgent, `${leisurely} and ${urgent} refused`);
	assert.ok(leisurely < REQUESTS, 'none was admitted');
	runLate(core, 8000, 0);
	assert.equal(refused(core, '/digest/1', {model: 'm0'}), 0);
});

// A single pause of a process is over when it is noticed.
test('a process that was held up once refuses nothing for that', () => {
	const core = start(0.12);
	core.nowMs += 400;
	core.dispatch({kind: 'tick', lateMs: 350});
	runLate(core, 100, 0);
	assert.ok(refused(core, '/ask/1', {model: 'm0'}) < REQUESTS / 4);
});

// Streams were cut short by an instance that had begun them or was asked to take them up.
test('a process that is behind goes on with streams that have begun', () => {
	const core = start(0.12);
	runLate(core, 4000, LATE_TARGET_MS * 3);
	assert.equal(refused(core, '/ask/1', {model: 'm0', lastEventId: 3}), 0);
});

// Demand that is refused has to reach the holder of the lease all the same, or a model that is asked for is never placed.
test('what a process refuses since it is behind counts as demand', () => {
	const core = start(0.12);
	runLate(core, 4000, LATE_TARGET_MS * 3);
	refused(core, '/ask/1', {model: 'm3'});
	assert.equal([...core.state.demand.values()].find(({model}) => model === 'm3')?.arrivals, REQUESTS);
});

// Where the share of a processor is not known, lateness may be the machine's, and no other instance would do better.
test('nothing is refused for lateness without a known share of a processor', () => {
	const core = start(undefined);
	runLate(core, 4000, LATE_TARGET_MS * 3);
	assert.equal(refused(core, '/ask/1', {model: 'm0'}), 0);
});
