/**
Tries that wait at a target that leaves: those whose path hangs are reset in time, those
that the target works on are left alone.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	effectsOfKind, EntryHarness, route, targetEntry, type EntryArrivalOverrides,
} from '../../../test/standins/entry-harness.js';
import {type EntryEffect} from './effect.js';
import {type ProbeOutcome} from './event.js';

const DRAIN_MS = 2000;
const PROBE_TIMEOUT_MS = 300;

const patient = {timeoutMs: 10_000, patienceMs: 10_000};
const routes = [
	route({...patient, objectiveMs: 5000}),
	route({
		...patient, name: 'sign', prefix: '/sign/', repeat: 'once', maxAttempts: 1,
	}),
];

/** An instance with a request in flight at its only target. */
function createCore(path = '/sign/1', overrides: EntryArrivalOverrides = {}): EntryHarness {
	const core = new EntryHarness().configure({routes}).readRegistry([targetEntry('t1')]);
	core.arrive('r', path, {deadlineMs: 10_000, ...overrides});
	core.advance(400);
	return core;
}

/** Lets time pass while the registry is read and probes end as scripted, the last outcome for all further ones. Returns the effects. */
function run(core: EntryHarness, durationMs: number, outcomes: readonly ProbeOutcome[]): EntryEffect[] {
	const effects: EntryEffect[] = [];
	const script = [...outcomes];
	for (const endMs = core.nowMs + durationMs; core.nowMs < endMs;) {
		const tick = core.advance(50);
		effects.push(...tick);
		for (const {targetId, incarnation} of effectsOfKind(tick, 'probe-target')) {
			const outcome = script.length > 1 ? script.shift()! : script[0]!;
			const delayMs = outcome === 'unanswered' ? PROBE_TIMEOUT_MS : 0;
			for (let passedMs = 0; passedMs < delayMs; passedMs += 50) {
				effects.push(...core.advance(50));
			}

			effects.push(...core.dispatch({
				kind: 'target-probed', targetId, incarnation, outcome,
			}));
		}

		core.confirmRegistry();
	}

	return effects;
}

const leaving = targetEntry('t1', {isLeaving: true});

// Guards against work that waits on a hung path while its target leaves, and still reaches it when the path heals.
test('the target leaves and answers no connection: the try is reset before the target may no longer get requests', () => {
	const core = createCore();
	core.readRegistry([leaving, targetEntry('t2')]);
	const sinceMs = core.nowMs;
	const effects = run(core, DRAIN_MS - 500, ['unanswered']);
	assert.ok(core.nowMs - sinceMs < DRAIN_MS);
	assert.deepEqual(effectsOfKind(effects, 'cancel').map(({requestId}) => requestId), ['r']);
	assert.deepEqual(effectsOfKind(effects, 'refuse').map(({code, retryAfterMs}) => [code, retryAfterMs]), [['target-timeout', undefined]], 'it may have run');
	assert.deepEqual(effectsOfKind(effects, 'send'), []);
});

test('the same where the entry is removed instead', () => {
	const core = createCore();
	core.readRegistry([targetEntry('t2')]);
	assert.equal(effectsOfKind(run(core, DRAIN_MS - 500, ['unanswered']), 'cancel').length, 1);
});

test('work that may repeat goes on at another target', () => {
	const core = createCore('/records/1');
	core.readRegistry([leaving, targetEntry('t2')]);
	const effects = run(core, DRAIN_MS - 500, ['unanswered']);
	assert.equal(effectsOfKind(effects, 'cancel').length, 1);
	assert.deepEqual(effectsOfKind(effects, 'send').map(({targetId}) => targetId), ['t2']);
});

// Guards against planned stops of targets that cut off what they still work on.
for (const outcomes of [['accepted'], ['unanswered', 'accepted'], ['refused']] as const) {
	test(`the target leaves and works for long, its probes are ${outcomes.join(', then ')}: the try is left alone`, () => {
		const core = createCore();
		core.readRegistry([leaving, targetEntry('t2')]);
		assert.deepEqual(effectsOfKind(run(core, 4000, outcomes), 'cancel'), []);
	});
}

test('a target that does not leave is neither probed nor given up', () => {
	const core = createCore();
	const effects = run(core, 4000, ['unanswered']);
	assert.deepEqual([...effectsOfKind(effects, 'probe-target'), ...effectsOfKind(effects, 'cancel')], []);
});

test('a stream that has begun at a target that leaves is left alone', () => {
	const core = new EntryHarness().configure().readRegistry([targetEntry('e1', {service: 'llm', copies: [{model: 'm0', version: 1, adapters: []}]})]);
	core.arrive('r', '/digest/1', {model: 'm0', deadlineMs: 10_000});
	core.dispatch({
		kind: 'try-progressed', requestId: 'r', tryNumber: 1, delivered: 1,
	});
	core.readRegistry([targetEntry('e1', {service: 'llm', copies: [{model: 'm0', version: 1, adapters: []}], isLeaving: true})]);
	assert.deepEqual(effectsOfKind(run(core, 1800, ['unanswered']), 'cancel'), []);
});
