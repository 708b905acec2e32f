/**
The account of one quota: what it lets pass and what it refuses.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {limitOf, QuotaBucket} from './quota-bucket.js';
import {UsageWindow} from './usage-window.js';
import {type Quota} from './workspace.js';

const bounds = {
	graceMs: 8000, drainMs: 2000, leaseMs: 3000, repeatShare: 0.2, repeatWindowMs: 10_000, repeatSlack: 0, quota: {windowMs: 8000, overShare: 0.1, slack: 7400},
};

function tokens(perSecond: number): Quota {
	return {
		unit: 'tokens', perSecond, burst: perSecond, defaultTokens: 300,
	};
}

/** Demand at random times; requests of 200 to 5,000 tokens, evenly spread on a logarithmic scale. */
function * demand({perSecond, count, seed}: {perSecond: number; count: number; seed: number}): Generator<{atMs: number; units: number}> {
	const random = xoroshiro128plus(seed);
	let atMs = 10_000;
	for (let index = 0; index < count; index++) {
		atMs -= Math.log(1 - uniformFloat64(random)) * 1000 * 1491 / perSecond;
		yield {atMs, units: Math.round(200 * (25 ** uniformFloat64(random)))};
	}
}

// Guards against a small quota that turns requests away because each is large, while its workspace sends its usual load.
test('a quota of 1,900 tokens a second, requests of 200 to 5,000, usual demand: at most 0.5 % are refused, none below the quota', () => {
	const bucket = new QuotaBucket(limitOf(tokens(1900), bounds), 0);
	const passed = new UsageWindow(bounds.quota.windowMs);
	let refused = 0;
	for (const {atMs, units} of demand({perSecond: 1900 / 1.8, count: 20_000, seed: 5})) {
		if (bucket.take(units, atMs, 1).isGranted) {
			passed.add(units, atMs);
		} else {
			refused++;
			assert.ok(passed.sum(atMs) + units > 1900 * 9, 'refused though the window has room');
		}
	}

	assert.ok(refused <= 100, `${refused} of 20000`);
});

// Guards against a surge after a quiet time that is refused before the window is used up.
test('a surge to 5.6 times the usual demand passes until the window holds what rate and window give', () => {
	const bucket = new QuotaBucket(limitOf(tokens(100_000), bounds), 0);
	const passed = new UsageWindow(bounds.quota.windowMs);
	for (const {atMs, units} of demand({perSecond: 100_000 / 1.8, count: 400, seed: 6})) {
		assert.ok(bucket.take(units, atMs, 1).isGranted);
		passed.add(units, atMs);
	}

	const startMs = 10_000 + (400 * 1491 * 1000 / (100_000 / 1.8));
	for (const {atMs, units} of demand({perSecond: 100_000 * 5.6 / 1.8, count: 1000, seed: 7})) {
		const nowMs = atMs - 10_000 + startMs;
		if (!bucket.take(units, nowMs, 1).isGranted) {
			assert.ok(passed.sum(nowMs) >= 0.9 * 100_000 * 8, `refused at ${Math.round(passed.sum(nowMs))} tokens in the window`);
			return;
		}

		passed.add(units, nowMs);
	}

	assert.fail('nothing was refused');
});

// Guards against a lowered quota that stays shut for a whole window, or lets the old one go on.
test('a lowered quota serves at its own rate at once', () => {
	const bucket = new QuotaBucket(limitOf(tokens(100_000), bounds), 0);
	let lowered = 0;
	for (const {atMs, units} of demand({perSecond: 150_000, count: 3000, seed: 8})) {
		const isLowered = atMs >= 25_000;
		bucket.setLimit(limitOf(tokens(isLowered ? 20_000 : 100_000), bounds), atMs);
		const {isGranted} = bucket.take(units, atMs, 1);
		lowered += isLowered && isGranted && atMs < 33_000 ? units : 0;
	}

	const bound = (20_000 * 9 * 1.1) + 7400;
	assert.ok(lowered >= 20_000 * 6 && lowered <= bound, `${lowered} tokens in the first window, bound ${bound}`);
});

// Guards against a request that no quota could ever let pass.
test('a request larger than the limit passes when nothing else was used, on behalf of most instances only', () => {
	const quota: Quota = {
		unit: 'requests', perSecond: 0.01, burst: 0.1, defaultTokens: 1,
	};
	const bucket = new QuotaBucket(limitOf(quota, bounds), 0);
	assert.equal(bucket.take(1, 1000, 0.4).isGranted, false);
	assert.equal(bucket.take(1, 1000, 1).isGranted, true);
	const {isGranted, inMs} = bucket.take(1, 2000, 1);
	assert.equal(isGranted, false);
	assert.ok(inMs > 6000);
});

// Guards against refunds that make more of a quota than there is.
test('units that are given back can be used again, once', () => {
	const limit = limitOf(tokens(1000), bounds);
	const bucket = new QuotaBucket(limit, 0);
	assert.ok(bucket.take(limit.paceCapacity, 1000, 1).isGranted);
	bucket.charge(-2000, 1100);
	assert.equal(bucket.take(4000, 1100, 1).isGranted, false);
	assert.equal(bucket.take(2000, 1100, 1).isGranted, true);
	assert.equal(bucket.take(2000, 1100, 1).isGranted, false);
});
