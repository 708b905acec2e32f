/**
Each judge of the soak finds the break that it looks for, and none in a sound record.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {judges, type Seen} from '../soak/judges.js';
import {type Arrival, type Attempt, type FaultRecord} from '../soak/record.js';

function attempt(overrides: Partial<Attempt> = {}): Attempt {
	return {
		key: 'c1-1.1', id: 'c1-1-1', kind: 'once', caller: 'c1', instance: 'e-0', isKeptConnection: true, sentAtMs: 10_000, endedAtMs: 10_500, status: 200, isWhole: true, error: '', answeredId: 'c1-1-1', signature: 't-0.c1-1.1', mismatch: '', hasLeft: false, ...overrides,
	};
}

function arrival(overrides: Partial<Arrival> = {}): Arrival {
	return {
		key: 'c1-1.1', id: 'c1-1-1', target: 't-0', connection: 1, atMs: 10_100, ranAtMs: 10_100, status: 200, isBrokenOff: false, cutAtMs: undefined, ...overrides,
	};
}

function seen(overrides: Partial<Seen> = {}): Seen {
	return {
		attempts: [attempt()], arrivals: [arrival()], faults: [], fleetKill: undefined, ...overrides,
	};
}

const cutOff = {
	status: undefined, isWhole: false, error: 'ECONNRESET', answeredId: undefined, signature: undefined,
};
const fault = (subject: string, what: FaultRecord['what'], atMs: number): FaultRecord => ({subject, what, atMs});
const later = arrival({key: 'c1-1.2', atMs: 11_000, ranAtMs: 11_000});
/** Ten requests in the seconds before a kill of the fleet, all served, and ten after its return. */
function aroundKill(servedAfter: number): Partial<Seen> {
	const requests = Array.from({length: 20}, (_, index) => ({
		key: `c1-${index}.1`, id: `c1-${index}-1`, sentAtMs: index < 10 ? 9000 : 30_000, isServed: index < 10 + servedAfter,
	}));
	return {
		attempts: requests.map(({isServed, ...request}) => attempt({
			...request, endedAtMs: request.sentAtMs + 500, answeredId: request.id, ...(isServed ? {signature: `t-0.${request.key}`} : {status: 503, signature: undefined}),
		})),
		arrivals: requests.filter(({isServed}) => isServed).map(({key, id}) => arrival({key, id})),
		fleetKill: {killedAtMs: 10_000, backAtMs: 12_000},
	};
}

const broken: Readonly<Record<string, ReadonlyArray<readonly [string, Partial<Seen>]>>> = {
	REFUSED: [
		['it had run', {attempts: [attempt({status: 503})]}],
		['it runs later', {attempts: [attempt({status: 429, kind: 'stream-once'})], arrivals: [arrival({ranAtMs: 20_000})]}],
	],
	TWICE: [
		['at two targets', {arrivals: [arrival(), arrival({target: 't-1'})]}],
		['after a refusal', {attempts: [attempt({status: 503}), attempt({key: 'c1-1.2'})], arrivals: [arrival(), later]}],
	],
	RECOVER: [['two of ten are served', aroundKill(2)]],
	MIXED: [
		['of another request', {attempts: [attempt({answeredId: 'c2-1-1'})]}],
		['another body', {attempts: [attempt({mismatch: 'body ""'})]}],
		['without signature', {attempts: [attempt({signature: undefined})]}],
		['another status than the target gave', {arrivals: [arrival({status: 503})]}],
		['no answer in the protocol', {attempts: [attempt({...cutOff, error: 'HPE_INVALID_CONSTANT'})]}],
	],
	LOST: [
		['passed on', {attempts: [attempt(cutOff)]}],
		['broken off', {attempts: [attempt({isWhole: false})]}],
		['not passed on, by an instance that stops', {attempts: [attempt(cutOff)], arrivals: [], faults: [fault('e-0', 'stop', 9000)]}],
		['cut when nearly all of its time was used', {attempts: [attempt({...cutOff, endedAtMs: 12_900})]}],
		['at the end of the grace period', {attempts: [attempt({...cutOff, sentAtMs: 12_100, endedAtMs: 15_000})], arrivals: [arrival({ranAtMs: 12_200, atMs: 12_200, cutAtMs: 12_800})], faults: [fault('e-0', 'stop', 7000), fault('e-0', 'grace-end', 15_000)]}],
		['by the process that is back after a planned stop', {attempts: [attempt(cutOff)], faults: [fault('e-0', 'stop', 6000), fault('e-0', 'exit', 8000), fault('e-0', 'start', 9000)]}],
		['by its deadline, counted from its head', {attempts: [attempt({...cutOff, endedAtMs: 13_000, lastByteAtMs: 10_200})]}],
	],
	EARLY: [
		['a sound target is given up, and the next one fails', {attempts: [attempt({kind: 'stream-resumable', isWhole: false})], arrivals: [arrival({cutAtMs: 10_300}), arrival({target: 't-1', atMs: 10_300, isBrokenOff: true})]}],
		['with a failure of the next one', {attempts: [attempt({kind: 'repeatable', status: 500, signature: 't-1.c1-1.1'})], arrivals: [arrival({status: undefined, cutAtMs: 10_300}), arrival({target: 't-1', atMs: 10_300, status: 500})]}],
	],
	ENDED: [['by itself', {faults: [fault('e-0', 'own-end', 100)]}]],
};

const sound: Readonly<Record<string, Partial<Seen>>> = {
	'a refused request that ran when it came again': {
		attempts: [attempt({status: 503, signature: undefined}), attempt({key: 'c1-1.2', signature: 't-0.c1-1.2'})],
		arrivals: [arrival({ranAtMs: undefined, status: 503}), later],
	},
	'a repeatable request that ran twice': {attempts: [attempt({kind: 'repeatable'})], arrivals: [arrival(), arrival({target: 't-1'})]},
	'an answer that its target broke off': {attempts: [attempt({isWhole: false})], faults: [fault('t-0', 'kill', 10_200)]},
	'what its target still runs when the grace period ends': {
		attempts: [attempt({
			...cutOff, kind: 'stream-once', endedAtMs: 14_900, deadlineMs: 12_000,
		})],
		arrivals: [arrival({cutAtMs: 14_900})],
		faults: [fault('e-0', 'stop', 7000)],
	},
	'a request whose time is over': {attempts: [attempt({...cutOff, kind: 'stream-once', endedAtMs: 13_000})]},
	'a connection of an instance that was killed': {attempts: [attempt(cutOff)], faults: [fault('e-0', 'kill', 10_400)]},
	'a stream that a target takes up again and breaks off, when another was sent it meanwhile': {
		attempts: [attempt({kind: 'stream-resumable', isWhole: false})],
		arrivals: [arrival({cutAtMs: 10_400}), arrival({
			target: 't-1', atMs: 10_300, ranAtMs: 10_300, cutAtMs: 10_350,
		})],
		faults: [fault('t-0', 'kill', 10_400)],
	},
	'a repeatable request that is answered by the second of two targets': {
		attempts: [attempt({kind: 'repeatable', signature: 't-1.c1-1.1'})], arrivals: [arrival({status: undefined, cutAtMs: 10_400}), arrival({target: 't-1', atMs: 10_300})],
	},
	'a fleet that serves again': aroundKill(3),
};

for (const [name, cases] of Object.entries(broken)) {
	for (const [text, overrides] of cases) {
		// Guards against a judge that cannot fail.
		test(`${name} is found: ${text}`, () => {
			assert.equal(judges[name]!.find(seen(overrides)).length, 1);
		});
	}
}

test('every judge has a case that it finds', () => {
	assert.deepEqual(Object.keys(broken), Object.keys(judges));
});

for (const [text, overrides] of Object.entries(sound)) {
	for (const [name, {find}] of Object.entries(judges)) {
		// Guards against findings where a promise was kept.
		test(`${name} is not found: ${text}`, () => {
			assert.deepEqual(find(seen(overrides)), []);
		});
	}
}
