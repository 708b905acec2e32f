/**
Experiments: equal seeds give equal results, what must hold holds in runs with random
patterns and faults, and wrong patterns are named in one line.
*/
import assert from 'node:assert/strict';
import {spawnSync} from 'node:child_process';
import {readdirSync, readFileSync} from 'node:fs';
import process from 'node:process';
import {test} from 'node:test';
import fc from 'fast-check';
import {mechanismNames, mechanisms} from '../core/entry/mechanisms.js';
import {patternSchema, readPattern, type Pattern} from './pattern.js';
import {runOnce} from './run.js';
import {meanWithInterval, pairedDifference, rankCorrelation} from './statistics.js';

const PATTERNS = 'src/experiment/patterns';
const SHORT = {leadS: 4, lengthS: 6};

function shippedPattern(name: string): Pattern {
	return readPattern(`${PATTERNS}/${name}.yaml`).unsafeCoerce();
}

function smallPattern(overrides: Record<string, unknown> = {}): Pattern {
	return patternSchema.parse({
		description: 'two zones, few models',
		zones: 2,
		instancesPerZone: 2,
		enginesPerZone: 2,
		...SHORT,
		models: {
			number: 6, firstCopies: 2, loadMs: 2500, diskLoadMs: 700,
		},
		kinds: [
			{
				name: 'ask', perSecond: 12, objectiveMs: 500, deadlineMs: 6000, patienceMs: 2000, prompt: {
					tokens: {mean: 700, max: 3000}, outputTokens: {mean: 60, max: 200}, models: [0, 2], shares: [0.7, 0.2], adapters: 6, adapterShare: 0.3,
				},
			},
			{
				name: 'batch', perSecond: 2, objectiveMs: 5000, deadlineMs: 12_000, patienceMs: 10_000, repeat: 'idempotent', prompt: {
					tokens: {mean: 700, max: 3000}, outputTokens: {mean: 60, max: 200}, models: [3, 5],
				},
			},
			{
				name: 'book', perSecond: 6, rank: 2, objectiveMs: 190, deadlineMs: 1500, patienceMs: 1500, workMs: {mean: 30, spread: 0.5, max: 150},
			},
		],
		...overrides,
	});
}

test('the same seed gives the same bytes, another one other bytes', () => {
	const run = (seed: number) => JSON.stringify(runOnce({pattern: smallPattern(), seed, without: []}));
	assert.equal(run(3), run(3));
	assert.notEqual(run(3), run(4));
});

test('every shipped pattern is valid, and a short run of it serves most requests without a violation', () => {
	for (const file of readdirSync(PATTERNS)) {
		const pattern = shippedPattern(file.replace('.yaml', ''));
		if (pattern.enginesPerZone <= 3) {
			const {all, violations} = runOnce({pattern: {...pattern, ...SHORT}, seed: 1, without: []});
			assert.deepEqual(violations, []);
			assert.ok(all['in-time'] > 0.4, `${file}: ${all['in-time']} in time`);
		}
	}
});

// Guards against withdrawn keys that count for too long, and against callers with a key in force who are refused meanwhile.
test('withdrawn keys are refused in time while the store refuses instances, a zone is cut off and the store is away', () => {
	const {all, violations} = runOnce({pattern: {...shippedPattern('withdrawn-keys'), instancesPerZone: 4}, seed: 1, without: []});
	assert.deepEqual(violations, []);
	assert.ok(all['in-time'] > 0.7, `${all['in-time']} in time`);
});

// Guards against a quota that is exceeded when the instance that keeps the account dies or is cut off, and against neighbours of a hot workspace that wait for it.
test('a hot workspace among quiet ones keeps to its quota while the holder is killed and while a zone is cut off', () => {
	const {all, violations} = runOnce({pattern: {...shippedPattern('hot-workspace'), instancesPerZone: 4}, seed: 1, without: []});
	assert.deepEqual(violations, []);
	assert.ok(all['in-time'] > 0.7, `${all['in-time']} in time`);
});

test('each mechanism can be switched off without a violation', () => {
	for (const mechanism of mechanismNames) {
		assert.deepEqual(runOnce({pattern: smallPattern(), seed: 2, without: [mechanism]}).violations, [], mechanism);
	}
});

const seconds = (max: number) => fc.double({min: 0, max, noNaN: true});
const faults = fc.oneof(
	fc.record({
		kind: fc.constant('engine-crash'), atS: seconds(5), forS: seconds(3), number: fc.integer({min: 1, max: 3}),
	}),
	fc.record({
		kind: fc.constant('engine-slow'), atS: seconds(5), forS: seconds(3), number: fc.integer({min: 1, max: 2}), times: fc.integer({min: 2, max: 6}),
	}),
	fc.record({
		kind: fc.constant('engine-pause'), atS: seconds(5), forS: seconds(1.2), number: fc.integer({min: 1, max: 3}),
	}),
	fc.record({
		kind: fc.constant('instance-kill'), atS: seconds(5), forS: seconds(3), number: fc.integer({min: 1, max: 3}), holder: fc.boolean(),
	}),
	fc.record({kind: fc.constant('store-down'), atS: seconds(5), forS: seconds(4)}),
	fc.record({kind: fc.constant('zone-cut'), atS: seconds(5), forS: seconds(3)}),
	fc.record({
		kind: fc.constant('messages-lost'), atS: seconds(5), forS: seconds(4), share: fc.double({min: 0, max: 0.6, noNaN: true}),
	}),
	fc.record({
		kind: fc.constant('named-limit'), atS: seconds(4), forS: seconds(6), number: fc.integer({min: 1, max: 3}), perSecond: fc.double({min: 0.5, max: 8, noNaN: true}),
	}),
	fc.record({kind: fc.constant('shift'), atS: seconds(5), forS: seconds(3)}),
	fc.record({
		kind: fc.constant('release'), atS: seconds(5), forS: seconds(2), share: fc.double({min: 0.3, max: 1, noNaN: true}), leaveS: seconds(2),
	}),
	fc.record({
		kind: fc.constant('burst'), atS: seconds(5), forS: seconds(3), times: fc.integer({min: 2, max: 5}),
	}),
);

test('random faults: memory is never overcommitted, no work runs twice, no refusal is false, one instance orders at a time, named limits are kept, streams stay at one release', () => {
	fc.assert(fc.property(fc.array(faults, {maxLength: 4}), fc.integer({min: 1, max: 1_000_000}), fc.integer({min: 1, max: 3}), (events, seed, releases) => {
		assert.deepEqual(runOnce({pattern: smallPattern({events, releases}), seed, without: []}).violations, []);
	}), {numRuns: 12, seed: 20_261_204});
});

/** The shipped pattern of a kill of all instances, shorter. */
function wholeKill(seed: number, isReleased: boolean) {
	const pattern = shippedPattern('whole-kill');
	return runOnce({
		pattern: {...pattern, lengthS: 20, events: pattern.events.filter(({kind}) => isReleased || kind !== 'release')}, seed, without: [],
	});
}

// Guards against streams joined from two releases when all instances are killed while the engines of the old one leave.
test('after a kill of all instances no stream goes on at another release than the one that began it', () => {
	for (let seed = 1; seed <= 4; seed++) {
		const {violations, resumptions} = wholeKill(seed, true);
		assert.deepEqual(violations, []);
		assert.ok(resumptions.begun > 20, `${resumptions.begun} streams taken up`);
	}
});

test('after a kill of all instances 95 of 100 streams go on where one release serves throughout', () => {
	for (let seed = 1; seed <= 4; seed++) {
		const {violations, resumptions} = wholeKill(seed, false);
		assert.deepEqual(violations, []);
		assert.ok(resumptions.wentOn >= resumptions.begun * 0.95, JSON.stringify(resumptions));
	}
});

test('intervals and rank correlations are those of the textbook', () => {
	assert.deepEqual(meanWithInterval([2]), {mean: 2, halfWidth: 0});
	const {mean, halfWidth} = meanWithInterval([1, 2, 3]);
	assert.equal(mean, 2);
	assert.ok(Math.abs(halfWidth - 2.483) < 0.01, `${halfWidth}`);
	assert.equal(pairedDifference([2, 4], [1, 2]).mean, 1.5);
	assert.ok(Math.abs(rankCorrelation([1, 2, 3, 4], [10, 30, 20, 40]) - 0.8) < 1e-9);
});

test('an unknown pattern, a wrong member and an unknown mechanism give one clear line and exit code 2', () => {
	const run = (...args: string[]) => spawnSync(process.execPath, ['--import', 'tsx', 'src/experiment/main.ts', ...args], {encoding: 'utf8'});
	for (const [args, expected] of [
		[['no-such-pattern'], /no-such-pattern/v],
		[['hot-model', '--set', 'engine.slots=none'], /engine\.slots/v],
		[['hot-model', '--without', 'luck'], /reading-window/v],
		[['hot-model', '--seeds', '0'], /1 or more/v],
	] as const) {
		const {status, stderr} = run(...args);
		assert.equal(status, 2, stderr);
		assert.match(stderr, expected);
		assert.equal(stderr.trim().split('\n').length, 1, stderr);
	}
});

test('docs/EXPERIMENTS.md lists every mechanism and every shipped pattern', () => {
	const page = readFileSync('docs/EXPERIMENTS.md', 'utf8');
	for (const name of mechanismNames) {
		const {purpose, plain} = mechanisms[name];
		assert.ok(page.includes(`| \`${name}\` | ${purpose} | ${plain} |`), name);
	}

	for (const file of readdirSync(PATTERNS)) {
		assert.ok(page.includes(`| \`${file.replace('.yaml', '')}\` |`), file);
	}
});
