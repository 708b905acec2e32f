/**
Limits that targets name at one instance: when it sends, asks and refuses, and how the
lease holder spreads permits.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
	beacon, EntryHarness, effectsOfKind, instance, targetEntry,
} from '../../../test/standins/entry-harness.js';
import {type PermitPurpose, type PermitRequest} from './peer-messages.js';

const holder = instance('b');

/** An instance whose lease holder is `b`, with targets of which the first names a limit. */
function limitedHarness({targets = ['t0'], perSecond = 2}: {targets?: string[]; perSecond?: number} = {}): EntryHarness {
	const harness = new EntryHarness().configure().readRegistry(targets.map(id => targetEntry(id)));
	harness.dispatch({
		kind: 'beacon-received', beacon: beacon({
			lease: {holder, epoch: 1, ageMs: 0}, rateLimits: [{
				targetId: 't0', incarnation: 1, perSecond, statedAgoMs: 0,
			}],
		}),
	});
	harness.effects.length = 0;
	return harness;
}

function grant(harness: EntryHarness, inMs: number[], freeInMs = 500): string[] {
	return effectsOfKind(harness.dispatch({kind: 'permits-granted', grant: {targetId: 't0', inMs, freeInMs}}), 'send').map(({requestId}) => requestId);
}

function answer(harness: EntryHarness, requestId: string, perSecond: number | undefined): void {
	harness.dispatch({
		kind: 'try-ended', requestId, tryNumber: 1, outcome: 'answered', delivered: 0, rateLimit: {perSecond},
	});
}

// Guards against requests to a target that has named a limit without a share in it.
test('a request for a limited target waits for a permit of the lease holder, and each permit is good for one request', () => {
	const harness = limitedHarness();
	harness.arrive('r1');
	harness.arrive('r2');
	assert.equal(effectsOfKind(harness.effects, 'send').length, 0);
	assert.deepEqual(effectsOfKind(harness.effects, 'ask-permits').map(({address, request}) => [address, request.targetId, request.perSecond]), [[holder.beaconAddress, 't0', 2]]);
	assert.deepEqual(grant(harness, [0]), ['r1']);
	assert.equal(effectsOfKind(harness.advance(300), 'send').length, 0);
	assert.deepEqual(grant(harness, [100]), []);
	assert.deepEqual(effectsOfKind(harness.advance(150), 'send').map(({requestId}) => requestId), ['r2']);
});

// Guards against a limit that makes requests wait although another target takes them.
test('another target has room: the request goes there at once', () => {
	const harness = limitedHarness({targets: ['t0', 't1']});
	assert.deepEqual(effectsOfKind(harness.arrive('r1'), 'send').map(({targetId}) => targetId), ['t1']);
});

// Guards against requests that are held until their deadline though the limit is known to keep them out.
test('the limit lets a request pass only after its caller has given up: it is refused at once, with the time at which it passes', () => {
	const harness = limitedHarness({perSecond: 0.4});
	harness.arrive('r1');
	grant(harness, [], 2500);
	const [refusal] = effectsOfKind(harness.arrive('r2'), 'refuse');
	assert.equal(refusal?.detail, 'its targets limit the rate of requests');
	assert.ok(refusal.retryAfterMs! > 0);
});

// Guards against a late response to an older request that ends a limit too soon.
test('a limit is lifted by a response to a request that was sent after it was last named, not by an older one', () => {
	const harness = new EntryHarness().configure().readRegistry([targetEntry('t0')]);
	harness.arrive('old');
	harness.nowMs += 10;
	harness.arrive('named');
	harness.nowMs += 10;
	answer(harness, 'named', 3);
	answer(harness, 'old', undefined);
	const {rateLimit} = harness.state.targets.get('t0')!;
	assert.equal(rateLimit?.perSecond, 3);
	harness.holdLease();
	harness.nowMs += 10;
	harness.arrive('new');
	harness.nowMs += 10;
	answer(harness, 'new', undefined);
	assert.equal(harness.state.targets.get('t0')!.rateLimit?.perSecond, undefined);
});

// Guards against an instance that sends nothing, or all, while it hears of no holder.
test('no holder answers: the instance keeps to an equal share of the limit', () => {
	const harness = limitedHarness({perSecond: 4});
	for (const id of ['c', 'd', 'e']) {
		harness.dispatch({kind: 'instances-read', instances: [instance(id)]});
	}

	let sent = 0;
	for (let index = 0; index < 200; index++) {
		harness.arrive(`r${index}`, '/records/1', {deadlineMs: 60_000});
		harness.advance(50);
		for (const {requestId, tryNumber} of effectsOfKind(harness.effects.splice(0), 'send')) {
			sent++;
			harness.endTry(requestId, tryNumber, 'answered');
		}
	}

	// Four requests a second for five instances, over ten seconds.
	assert.ok(sent >= 6 && sent <= 9, `${sent} requests`);
});

// Guards against permits that sum up to more than the limit, whoever asks when.
test('the holder\'s permits in any four seconds stay within one and a half times the limit and five more', () => {
	const asks = fc.array(fc.record({afterMs: fc.integer({min: 0, max: 900}), wanted: fc.integer({min: 1, max: 8})}), {minLength: 20, maxLength: 150});
	fc.assert(fc.property(asks, fc.double({min: 0.3, max: 20, noNaN: true}), (steps, perSecond) => {
		const harness = new EntryHarness().configure().readRegistry([targetEntry('t0')]);
		const usableAtMs: number[] = [];
		for (const [index, {afterMs, wanted}] of steps.entries()) {
			harness.nowMs += afterMs;
			harness.holdLease();
			const request: PermitRequest = {
				from: `i${index}`, replyTo: `i${index}:2`, targetId: 't0', incarnation: 1, perSecond, statedAgoMs: 0, wanted, purpose: 'needed',
			};
			const [granted] = effectsOfKind(harness.dispatch({kind: 'permits-requested', request}), 'grant-permits');
			usableAtMs.push(...granted!.grant.inMs.map(inMs => harness.nowMs + inMs));
		}

		for (const fromMs of usableAtMs) {
			const count = usableAtMs.filter(atMs => atMs >= fromMs && atMs <= fromMs + 4000).length;
			assert.ok(count <= (perSecond * 6) + 5, `${count} permits in 4 s at ${perSecond} a second`);
		}
	}), {seed: 24, numRuns: 60});
});

// Guards against requests with another target that use up the permits of those without.
test('the holder gives permits ahead only to requests without another target', () => {
	const harness = new EntryHarness().configure().readRegistry([targetEntry('t0')]).holdLease();
	const ask = (from: string, purpose: PermitPurpose) => effectsOfKind(harness.dispatch({
		kind: 'permits-requested',
		request: {
			from, replyTo: `${from}:2`, targetId: 't0', incarnation: 1, perSecond: 2, statedAgoMs: 0, wanted: 1, purpose,
		},
	}), 'grant-permits')[0]?.grant.inMs.length;
	assert.deepEqual([ask('b', 'spare'), ask('c', 'spare'), ask('d', 'needed'), ask('e', 'spare')], [1, 0, 1, 0]);
});
