/**
Targets that turn requests away and name a time: they get nothing from this instance until
then, and callers who need them are told that time at once.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
	effectsOfKind, EntryHarness, route, targetEntry,
} from '../../../test/standins/entry-harness.js';
import {currentTry} from './open-tries.js';

const NAMED_MS = 3000;
/** A request that was sent before the answer came may still arrive. */
const IN_FLIGHT_MS = 500;
const MAX_SENT = 2;

function turnAway(core: EntryHarness, requestId: string, retryAfterMs: number | undefined, tryNumber = 1) {
	return core.dispatch({
		kind: 'try-ended', requestId, tryNumber, outcome: 'not-run', delivered: 0, status: 503, retryAfterMs,
	});
}

// Guards against work that goes on arriving at a target that has said when it wants some again.
test('a target that names a time gets nothing until then, and something afterwards', () => {
	const core = new EntryHarness().configure().readRegistry([targetEntry('t1')]);
	core.arrive('r1', '/records/1', {deadlineMs: 60_000});
	turnAway(core, 'r1', NAMED_MS);
	for (let passedMs = 0; passedMs < NAMED_MS - 100; passedMs += 100) {
		core.arrive(`s${passedMs}`);
		core.advance(100);
		core.confirmRegistry();
	}

	assert.equal(effectsOfKind(core.effects, 'send').length, 1);
	assert.ok(effectsOfKind(core.advance(150), 'send').length > 0);
});

test('another target gets the request at once', () => {
	const core = new EntryHarness().configure().readRegistry([targetEntry('t1'), targetEntry('t2')]);
	const first = effectsOfKind(core.arrive('r1'), 'send')[0]!.targetId;
	const second = effectsOfKind(turnAway(core, 'r1', NAMED_MS), 'send')[0]?.targetId;
	assert.ok(second !== undefined && second !== first);
	assert.ok(Array.from({length: 10}, (_, index) => effectsOfKind(core.arrive(`s${index}`), 'send')[0]?.targetId).every(id => id !== first));
});

test('a caller whose only targets have named times is refused at once with the earliest of them', () => {
	const core = new EntryHarness().configure({routes: [route({timeoutMs: 60_000, patienceMs: 4000})]}).readRegistry([targetEntry('t1'), targetEntry('t2')]);
	core.arrive('r1', '/records/1', {deadlineMs: 60_000});
	turnAway(core, 'r1', 9000);
	turnAway(core, 'r1', 5000, 2);
	const [refusal] = effectsOfKind(core.arrive('r2', '/records/1', {deadlineMs: 60_000}), 'refuse');
	assert.equal(refusal?.code, 'no-target');
	assert.match(refusal.detail ?? '', /named a time/v);
	assert.ok(refusal.retryAfterMs! >= 5000 && refusal.retryAfterMs! < 9000, `${refusal.retryAfterMs} ms`);
});

test('a target that restarts takes requests again, and a 503 without a time closes nothing', () => {
	const core = new EntryHarness().configure().readRegistry([targetEntry('t1')]);
	core.arrive('r1');
	turnAway(core, 'r1', NAMED_MS);
	core.readRegistry([targetEntry('t1', {incarnation: 2})]);
	assert.equal(effectsOfKind(core.arrive('r2'), 'send').length, 1);
	turnAway(core, 'r2', undefined);
	assert.equal(core.state.targets.get('t1')?.closedUntilMs, Number.NEGATIVE_INFINITY);
});

test('whatever targets answer, none gets more than two requests between half a second after it has named a time and its end', () => {
	const answers = fc.record({
		afterMs: fc.integer({min: 0, max: 400}), outcome: fc.constantFrom('not-run', 'answered', 'broken', 'not-sent'), retryAfterMs: fc.option(fc.integer({min: 0, max: 4000}), {nil: undefined}),
	});
	fc.assert(fc.property(fc.array(answers, {minLength: 5, maxLength: 60}), fc.integer({min: 1, max: 3}), (steps, targets) => {
		const core = new EntryHarness().configure().readRegistry(Array.from({length: targets}, (_, index) => targetEntry(`t${index}`)));
		const closed: Array<{targetId: string; fromMs: number; untilMs: number}> = [];
		const sent: Array<{targetId: string; atMs: number}> = [];
		let seen = 0;
		const note = () => {
			for (const {targetId} of effectsOfKind(core.effects.slice(seen), 'send')) {
				sent.push({targetId, atMs: core.nowMs});
			}

			seen = core.effects.length;
		};

		for (const [index, {afterMs, outcome, retryAfterMs}] of steps.entries()) {
			core.arrive(`r${index}`);
			note();
			core.advance(afterMs);
			core.confirmRegistry();
			note();
			const open = [...core.state.open.values()].find(({phase}) => phase === 'running');
			const attempt = open && currentTry(open);
			if (open !== undefined && attempt !== undefined) {
				const isClosing = outcome === 'not-run' && retryAfterMs !== undefined && retryAfterMs > 0;
				if (isClosing) {
					closed.push({targetId: attempt.targetId, fromMs: core.nowMs + IN_FLIGHT_MS, untilMs: core.nowMs + retryAfterMs});
				}

				core.dispatch({
					kind: 'try-ended',
					requestId: open.id,
					tryNumber: attempt.number,
					outcome: outcome as 'not-run',
					delivered: 0,
					status: outcome === 'not-run' ? 503 : 200,
					retryAfterMs: isClosing ? retryAfterMs : undefined,
				});
				note();
			}
		}

		for (const {targetId, fromMs, untilMs} of closed) {
			const late = sent.filter(({targetId: to, atMs}) => to === targetId && atMs > fromMs && atMs < untilMs);
			assert.ok(late.length <= MAX_SENT, JSON.stringify({
				targetId, fromMs, untilMs, late,
			}));
		}
	}), {numRuns: 200, seed: 20_261_204});
});
