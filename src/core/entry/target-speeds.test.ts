/**
The learned speed of targets: when it makes a service uneven, how instances share it, and
what it changes in the choice.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	beacon, effectsOfKind, engineEntry, EntryHarness, instance, targetEntry,
} from '../../../test/standins/entry-harness.js';
import {RandomSource} from '../../experiment/random-source.js';
import {expectedSlowness, isUneven} from './target-speeds.js';

const engines = ['e0', 'e1', 'e2', 'e3', 'e4', 'e5'];
const services = ['s1', 's2', 's3', 's4', 's5', 's6'];
/** A beacon interval, and time for the check of what was learned. */
const CHECK_MS = 1100;

function createCore(self = instance('a')): EntryHarness {
	const core = new EntryHarness(self).configure().readRegistry([...engines.map(id => engineEntry(id, ['m0'], {slots: 64})), ...services.map(id => targetEntry(id))]);
	core.dispatch({kind: 'beacon-received', beacon: beacon({from: instance('b')})});
	return core;
}

let counter = 0;

/** One request with 1,000 tokens to read, wherever it is sent; the response takes 60 ms at a usual target, give or take a third. */
function serve(core: EntryHarness, random: RandomSource, slowness: (id: string) => number): string {
	counter++;
	const id = `r${counter}`;
	const [sent] = effectsOfKind(core.arrive(id, '/ask/1', {model: 'm0', promptTokens: 1000}), 'send');
	assert.ok(sent);
	core.nowMs += 60 * slowness(sent.targetId) * (0.67 + (0.67 * random.uniform()));
	core.dispatch({
		kind: 'try-progressed', requestId: id, tryNumber: 1, delivered: 1,
	});
	core.endTry(id, 1, 'answered');
	return sent.targetId;
}

function serveMany(core: EntryHarness, number: number, slowness: (id: string) => number): Map<string, number> {
	const random = new RandomSource(5);
	const sent = new Map(engines.map(id => [id, 0]));
	for (let index = 0; index < number; index++) {
		const id = serve(core, random, slowness);
		sent.set(id, sent.get(id)! + 1);
		core.confirmRegistry();
		core.advance(50);
	}

	return sent;
}

// Guards against sending the same number of requests to a machine that takes 2.7 times as long.
test('a slow machine and a fast one: they are found out by their responses, and chosen accordingly', () => {
	const core = createCore();
	const slowness = (id: string) => id === 'e0' ? 1.67 : (id === 'e1' ? 0.62 : 1);
	serveMany(core, 500, slowness);
	core.advance(CHECK_MS);
	assert.ok(isUneven(core.state, 'llm'));
	const log = effectsOfKind(core.effects, 'log').find(({event}) => event === 'service-uneven');
	assert.equal(log?.fields.isStated, false);
	const found = engines.map(id => expectedSlowness(core.state.targets.get(id)!, core.nowMs));
	assert.ok(found[0]! > 1.4 && found[0]! < 2, `slow: ${found[0]}`);
	assert.ok(found[1]! > 0.5 && found[1]! < 0.75, `fast: ${found[1]}`);
	const sent = serveMany(core, 120, slowness);
	assert.ok(sent.get('e1')! > sent.get('e0')! * 1.5, JSON.stringify([...sent]));
});

// Guards against taking chance for speed.
test('machines that are alike stay so, however much single responses vary', () => {
	const core = createCore();
	serveMany(core, 1000, () => 1);
	core.advance(CHECK_MS);
	assert.ok(!isUneven(core.state, 'llm'));
	assert.deepEqual(effectsOfKind(core.effects, 'log').filter(({event}) => event === 'service-uneven'), []);
});

test('targets that state their slowness make their service uneven at once, and only theirs', () => {
	const core = createCore();
	core.arrive('p', '/ask/1', {model: 'm0'});
	core.dispatch({
		kind: 'try-progressed', requestId: 'p', tryNumber: 1, delivered: 1, load: {
			running: 1, waiting: 0, slots: 4, slowness: 1,
		},
	});
	core.advance(100);
	assert.ok(isUneven(core.state, 'llm'));
	assert.ok(!isUneven(core.state, 'records'));
});

// Guards against plain services whose speed nobody learns, since they state no prompts.
test('plain services are compared by the time of their responses', () => {
	const core = createCore();
	for (let index = 0; index < 1000; index++) {
		const [sent] = effectsOfKind(core.arrive(`p${index}`, '/records/1'), 'send');
		core.nowMs += sent?.targetId === 's1' ? 90 : 30;
		core.endTry(`p${index}`, 1, 'answered');
		core.confirmRegistry();
		core.advance(50);
	}

	assert.ok(isUneven(core.state, 'records'));
	assert.ok(expectedSlowness(core.state.targets.get('s1')!, core.nowMs) > 2);
});

// Guards against instances that each learn alone: each uses a target about once in ten seconds.
test('an instance adopts what its peers have learned, in beacons of bounded size, and not for another start of the target', () => {
	const core = createCore();
	serveMany(core, 500, id => id === 'e0' ? 1.67 : 1);
	const announced = effectsOfKind(core.effects, 'beacon').map(effect => effect.beacon.speeds).filter(speeds => speeds !== undefined);
	assert.ok(announced.length > 0 && announced.every(speeds => speeds.length <= 8));
	const ofSlow = announced.flat().findLast(([id]) => id === 'e0');
	assert.ok(ofSlow);
	const other = createCore(instance('b'));
	other.dispatch({kind: 'beacon-received', beacon: beacon({from: instance('a'), speeds: [ofSlow]})});
	assert.ok(expectedSlowness(other.state.targets.get('e0')!, other.nowMs) > 1.4);
	const restarted = createCore(instance('c')).readRegistry([engineEntry('e0', ['m0'], {incarnation: 2})]);
	restarted.dispatch({kind: 'beacon-received', beacon: beacon({from: instance('a'), speeds: [ofSlow]})});
	assert.equal(expectedSlowness(restarted.state.targets.get('e0')!, restarted.nowMs), 1);
});

// Guards against samples that gain weight by being passed back and forth.
test('what two instances tell each other again and again counts for no more samples', () => {
	const core = createCore();
	const {speed} = core.state.targets.get('e0')!;
	for (let index = 0; index < 50; index++) {
		core.dispatch({kind: 'beacon-received', beacon: beacon({speeds: [['e0', 1, 50, 3]]})});
	}

	assert.equal(speed.weight, 3);
});
