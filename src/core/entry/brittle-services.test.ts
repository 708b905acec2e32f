/**
Targets that fall over when they have to turn too many requests away.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	beacon, effectsOfKind, EntryHarness, instance, targetEntry,
} from '../../../test/standins/entry-harness.js';

const SLOTS = 6;
const INSTANCES = 13;
const DECLINES_PER_SECOND = 6;

function createCore(): EntryHarness {
	const core = new EntryHarness().configure().readRegistry([targetEntry('t1', {slots: SLOTS})]);
	for (let index = 1; index < INSTANCES; index++) {
		core.dispatch({kind: 'beacon-received', beacon: beacon({from: instance(`peer${index}`)})});
	}

	return core;
}

/** A request whose response states brittleness, or none. */
function exchange(core: EntryHarness, id: string, declinesPerSecond: number | undefined): void {
	core.arrive(id);
	core.nowMs += 10;
	core.dispatch({
		kind: 'try-ended', requestId: id, tryNumber: 1, outcome: 'answered', status: 200, delivered: 0, rateLimit: {perSecond: undefined, declinesPerSecond},
	});
}

/** Offers a request every 20 ms to a target that is full for everybody. Returns how many it turned away in each second. */
function overload(core: EntryHarness, seconds: number): number[] {
	const declined = Array.from({length: seconds}, () => 0);
	const startMs = core.nowMs;
	for (let index = 0; core.nowMs < startMs + (seconds * 1000); index++) {
		core.arrive(`r${core.nowMs}`, '/records/1', {deadlineMs: 1000});
		for (const [requestId, tryNumber] of core.state.targets.get('t1')!.inFlight) {
			declined[Math.min(seconds - 1, Math.floor((core.nowMs - startMs) / 1000))]!++;
			core.dispatch({
				kind: 'try-ended', requestId, tryNumber, outcome: 'not-run', delivered: 0, status: 503, rateLimit: {perSecond: undefined, declinesPerSecond: DECLINES_PER_SECOND},
			});
		}

		if (index % 5 === 4) {
			core.advance(50);
		}

		core.nowMs += 20;
	}

	return declined;
}

// Guards against instances that each find out for themselves how full a brittle target is, until it falls over.
test('13 instances together are turned away no more often than a brittle target can bear', () => {
	const core = createCore();
	exchange(core, 'first', DECLINES_PER_SECOND);
	const declined = overload(core, 12);
	const mean = declined.reduce((sum, count) => sum + count, 0) / declined.length;
	assert.ok(mean * INSTANCES <= DECLINES_PER_SECOND + 1, `${mean} a second by each instance`);
	assert.ok(Math.max(...declined) <= 1, declined.join(' '));
	assert.ok(mean > 0, 'it still asks');
});

test('a brittle target is not filled beyond its slots, and an instance has one request without an answer there', () => {
	const core = createCore();
	core.dispatch({kind: 'beacon-received', beacon: beacon({from: instance('peer1'), brittle: [{service: 'records', declinesPerSecond: DECLINES_PER_SECOND, statedAgoMs: 100}]})});
	assert.equal(effectsOfKind(core.arrive('r1'), 'send').length, 1, 'known from a peer');
	assert.equal(effectsOfKind(core.arrive('r2'), 'send').length, 0);
	core.dispatch({kind: 'beacon-received', beacon: beacon({from: instance('peer2'), loads: [['t1', SLOTS]]})});
	assert.equal(effectsOfKind(core.endTry('r1', 1, 'answered'), 'send').length, 0, 'it is full');
	core.dispatch({kind: 'beacon-received', beacon: beacon({from: instance('peer2'), loads: []})});
	assert.equal(effectsOfKind(core.advance(100), 'send').length, 1);
});

test('a response to a later request that names nothing ends it, one to an earlier request does not', () => {
	const core = createCore();
	core.arrive('early');
	exchange(core, 'brittle', DECLINES_PER_SECOND);
	core.dispatch({
		kind: 'try-ended', requestId: 'early', tryNumber: 1, outcome: 'answered', status: 200, delivered: 0, rateLimit: {perSecond: undefined, declinesPerSecond: undefined},
	});
	assert.ok(core.state.brittleServices.has('records'));
	core.nowMs += 10;
	exchange(core, 'late', undefined);
	assert.ok(!core.state.brittleServices.has('records'));
});

test('what nobody has stated for three seconds no longer holds', () => {
	const core = createCore();
	exchange(core, 'brittle', DECLINES_PER_SECOND);
	core.advance(3100);
	for (let index = 0; index < SLOTS; index++) {
		assert.equal(effectsOfKind(core.arrive(`r${index}`), 'send').length, 1);
	}
});
