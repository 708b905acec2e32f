/**
Grey and flapping targets, and those whose health lies: they get traffic by what they
serve, as several instances find out together.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {EntryGroup} from '../../../test/standins/entry-group.js';
import {
	effectsOfKind, EntryHarness, instance, targetEntry,
} from '../../../test/standins/entry-harness.js';
import {RandomSource} from '../../experiment/random-source.js';
import {adoptFailureRates, failureRateOf} from './failure-rates.js';
import {mechanismsWithout} from './mechanisms.js';

const INSTANCES = 4;
const TARGETS = ['s1', 's2', 's3', 's4', 's5', 's6'];
const TICK_MS = 50;
const ANSWER_MS = 200;
/** As many slots as keep the targets about half full. */
const SLOTS = 6;
const GREY_SHARE = 0.4;

type Behavior = (nowMs: number, random: RandomSource) => 'answered' | 'failed';

/** Requests that each target got from all instances, between two times, where the first of them behaves as told. Its stated load is always that of an idle target. */
function traffic(behave: Behavior, {fromMs, toMs}: {readonly fromMs: number; readonly toMs: number}): Map<string, number> {
	const group = new EntryGroup(Array.from({length: INSTANCES}, (_, index) => instance(`i${index}`)), () => TARGETS.map(id => targetEntry(id, {slots: SLOTS})));
	const random = new RandomSource(3);
	const got = new Map(TARGETS.map(id => [id, 0]));
	const running: Array<{readonly member: number; readonly id: string; readonly number: number; readonly targetId: string; readonly endsAtMs: number}> = [];
	for (let passedMs = 0; passedMs < toMs; passedMs += TICK_MS) {
		for (const [index, member] of group.members.entries()) {
			const effects = member.arrive(`r${index}-${passedMs}`);
			for (const ended of running.filter(({member: other, endsAtMs}) => other === index && endsAtMs <= passedMs)) {
				running.splice(running.indexOf(ended), 1);
				effects.push(...member.dispatch({
					kind: 'try-ended',
					requestId: ended.id,
					tryNumber: ended.number,
					outcome: ended.targetId === TARGETS[0] ? behave(passedMs, random) : 'answered',
					delivered: 0,
					status: 200,
					load: {running: ended.targetId === TARGETS[0] ? 0 : 1, waiting: 0, slots: SLOTS},
				}));
			}

			for (const {requestId, tryNumber, targetId} of effectsOfKind(effects, 'send')) {
				running.push({
					member: index, id: requestId, number: tryNumber, targetId, endsAtMs: passedMs + ANSWER_MS,
				});
				if (passedMs >= fromMs) {
					got.set(targetId, got.get(targetId)! + 1);
				}
			}

			member.confirmRegistry();
		}

		group.advance(TICK_MS);
	}

	return got;
}

/** Traffic of the first target, as a multiple of the mean of the others. */
function shareOfFirst(got: ReadonlyMap<string, number>): number {
	const [first = 0, ...others] = got.values();
	return first * others.length / others.reduce((sum, number) => sum + number, 0);
}

// Guards against a target that fails two in five requests and gets as many as the others, and against one that is never tried again.
test('a grey target gets no more than its share of what it serves, and some', () => {
	const share = shareOfFirst(traffic((_, random) => random.uniform() < GREY_SHARE ? 'failed' : 'answered', {fromMs: 5000, toMs: 40_000}));
	assert.ok(share > 0 && share <= 1 - GREY_SHARE, `${share}`);
});

test('a target that fails every other second gets at most half', () => {
	const share = shareOfFirst(traffic(nowMs => nowMs % 2000 < 1000 ? 'failed' : 'answered', {fromMs: 5000, toMs: 40_000}));
	assert.ok(share > 0 && share <= 0.5, `${share}`);
});

// Guards against health that is stated and not shown: an idle target attracts requests.
test('a target that says that it is idle and fails all gets next to nothing', () => {
	const share = shareOfFirst(traffic(() => 'failed', {fromMs: 5000, toMs: 40_000}));
	assert.ok(share <= 0.1, `${share}`);
});

test('a target that has recovered gets its share again', () => {
	const share = shareOfFirst(traffic(nowMs => nowMs < 10_000 ? 'failed' : 'answered', {fromMs: 60_000, toMs: 80_000}));
	assert.ok(share >= 0.8, `${share}`);
});

// Guards against a change for deployments that do not judge the health of targets together.
test('without shared failures, a rate neither fades nor comes from peers', () => {
	const core = new EntryHarness(instance('a'));
	core.state.mechanisms = mechanismsWithout(['shared-failures']);
	core.configure().readRegistry([targetEntry('s1')]);
	core.arrive('r1');
	core.endTry('r1', 1, 'failed');
	const target = core.state.targets.get('s1')!;
	const rate = failureRateOf(target, core.nowMs);
	assert.ok(rate > 0);
	adoptFailureRates(core.state, [['s1', target.entry.incarnation, 90]], core.nowMs);
	assert.equal(failureRateOf(target, core.nowMs + 60_000), rate);
	assert.equal(target.hasUnannouncedFailures, false);
});
