/**
The set of observed crashes: joined by union in any order and any number of times, and
what it blames.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {CrashEvidence, type CrashRecord} from './crash-evidence.js';

const fingerprints = ['part:f', 'part:x', 'part:y', 'content:1', 'content:2'];
const recordArbitrary: fc.Arbitrary<CrashRecord> = fc.record({
	targetId: fc.constantFrom('t1', 't2', 't3', 't4'),
	incarnation: fc.integer({min: 1, max: 2}),
	agoMs: fc.integer({min: 0, max: 5000}),
	suspects: fc.subarray(fingerprints),
	cleared: fc.subarray(fingerprints, {maxLength: 2}),
});

function evidenceOf(records: readonly CrashRecord[]): CrashEvidence {
	const evidence = new CrashEvidence();
	for (const record of records) {
		evidence.add(record, 10_000);
	}

	return evidence;
}

function crash(targetId: string, ...suspects: string[]): CrashRecord {
	return {
		targetId, incarnation: 1, agoMs: 0, suspects, cleared: [],
	};
}

test('instances that learn of the same crashes in any order, some of them twice, blame the same', () => {
	fc.assert(fc.property(fc.array(recordArbitrary, {maxLength: 12}).chain(records => fc.tuple(
		fc.constant(records),
		fc.shuffledSubarray(records, {minLength: records.length}),
		fc.subarray(records),
	)), ([records, shuffled, again]) => {
		const one = evidenceOf(records);
		const other = evidenceOf([...again, ...shuffled]);
		assert.equal(one.digest, other.digest);
		for (const fingerprint of fingerprints) {
			assert.equal(one.blame(fingerprint), other.blame(fingerprint), fingerprint);
		}
	}), {numRuns: 300, seed: 34});
});

test('two instances that exchange their records know the same, and tell nothing new after that', () => {
	fc.assert(fc.property(fc.array(recordArbitrary, {maxLength: 8}), fc.array(recordArbitrary, {maxLength: 8}), (own, others) => {
		const one = evidenceOf(own);
		const other = evidenceOf(others);
		for (const record of one.records(10_000)) {
			other.add(record, 10_000);
		}

		for (const record of other.records(10_000)) {
			one.add(record, 10_000);
		}

		assert.equal(one.digest, other.digest);
		assert.ok(other.records(10_000).every(record => one.add(record, 10_000) === undefined));
	}), {numRuns: 300, seed: 34});
});

test('a fingerprint is at fault after three crashes, wherever they were seen, and not before', () => {
	const evidence = evidenceOf([crash('t1', 'part:x', 'content:1'), crash('t2', 'part:x', 'content:2'), crash('t1', 'part:x')]);
	assert.equal(evidence.culpritOf(['part:x']), undefined, 'a crash that was told of twice');
	evidence.add({...crash('t1', 'part:x'), incarnation: 2}, 10_000);
	assert.equal(evidence.culpritOf(['part:x', 'content:9']), 'part:x');
	assert.equal(evidence.culpritOf(['part:y', 'content:1']), undefined);
});

test('what a request lacks and what ran at all of its crashes explains them: it may be sent', () => {
	const evidence = evidenceOf(['t1', 't2', 't3'].map(id => crash(id, 'part:x', 'part:y')));
	assert.equal(evidence.culpritOf(['part:y']), undefined);
	assert.equal(evidence.culpritOf(['part:x', 'part:y']), 'part:x');
	evidence.add(crash('t4', 'part:x'), 10_000);
	assert.equal(evidence.culpritOf(['part:x']), 'part:x', 'a further crash without the other');
	assert.equal(evidence.culpritOf(['part:y']), undefined, 'the first one explains all of its crashes');
});

test('a survival clears of the crashes before it, and of none after it', () => {
	const evidence = evidenceOf(['t1', 't2', 't3'].map(id => crash(id, 'part:x')));
	assert.equal(evidence.clear('part:x').length, 3);
	assert.equal(evidence.blame('part:x'), 0);
	evidence.add(crash('t1', 'part:x'), 10_000);
	assert.equal(evidence.blame('part:x'), 0, 'a peer that has not heard of the survival');
	for (const incarnation of [2, 3, 4]) {
		evidence.add({...crash('t1', 'part:x'), incarnation}, 10_000);
	}

	assert.equal(evidence.culpritOf(['part:x']), 'part:x');
});

test('crashes are forgotten after an hour, also if a peer tells of them again, and there is a bound on their number', () => {
	const evidence = evidenceOf(['t1', 't2', 't3'].map(id => crash(id, 'part:x')));
	const records = evidence.records(10_000);
	const untilMs = evidence.blamedUntilMs('part:x');
	assert.equal(untilMs, 10_000 + (60 * 60 * 1000));
	evidence.expire(untilMs);
	assert.equal(evidence.digest, 0);
	for (const record of records) {
		assert.equal(evidence.add({...record, agoMs: untilMs - 10_000}, untilMs), undefined);
	}

	for (let index = 0; index < 1000; index++) {
		evidence.add(crash(`t${index}`, ...Array.from({length: 1000}, (_, part) => `part:${part}`)), untilMs + index);
	}

	const kept = evidence.records(untilMs + 1000);
	assert.ok(kept.length <= 64 && kept.every(({suspects}) => suspects.length <= 256));
	assert.ok(kept.some(({targetId}) => targetId === 't999'), 'the newest ones are kept');
});
