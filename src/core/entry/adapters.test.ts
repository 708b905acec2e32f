/**
Responses to requests whose adapter cannot be loaded.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	beacon, engineEntry, EntryHarness, effectsOfKind, instance,
} from '../../../test/standins/entry-harness.js';

function failFetches(core: EntryHarness, requestId: string): ReturnType<typeof effectsOfKind<'refuse'>> {
	for (let attempt = 0; attempt < 4 && core.state.open.get(requestId)?.phase === 'fetching'; attempt++) {
		core.dispatch({
			kind: 'adapter-resolved', targetId: 'e0', name: 'm0/a1', isHeld: false, sequence: 0,
		});
	}

	return effectsOfKind(core.effects, 'refuse');
}

test('a request whose adapter cannot be loaded is refused as not executed', () => {
	const core = new EntryHarness().configure().readRegistry([engineEntry('e0', ['m0'])]);
	core.arrive('r', '/ask/1', {model: 'm0', adapter: 'a1'});
	assert.deepEqual(failFetches(core, 'r').map(({code}) => code), ['no-target']);
});

test('a request that may have run before gets a target failure when its adapter cannot be loaded', () => {
	const core = new EntryHarness().configure().readRegistry([engineEntry('e0', ['m0'])]);
	core.state.targets.get('e0')!.adapters.set('m0/a1', 0);
	core.arrive('r', '/ask/1', {model: 'm0', adapter: 'a1'});
	core.state.targets.get('e0')!.adapters.delete('m0/a1');
	core.endTry('r', 1, 'broken');
	const refusals = failFetches(core, 'r');
	assert.deepEqual(refusals.map(({code, retryAfterMs}) => [code, retryAfterMs]), [['target-failed', undefined]]);
});

test('while the lease holder has stepped down, a request whose adapter no target holds is refused at once, with the time until there can be a new holder', () => {
	const core = new EntryHarness().configure().readRegistry([engineEntry('e0', ['m0'])]);
	core.dispatch({kind: 'beacon-received', beacon: beacon({lease: {holder: instance('b'), epoch: 1, ageMs: 0}})});
	core.arrive('before', '/ask/1', {model: 'm0', adapter: 'a1'});
	assert.equal(effectsOfKind(core.effects, 'ask-adapter').length, 1);
	core.dispatch({kind: 'beacon-received', beacon: beacon({endedEpoch: 1})});
	const [refusal] = effectsOfKind(core.arrive('r', '/ask/1', {model: 'm0', adapter: 'a2'}), 'refuse');
	assert.equal(refusal?.code, 'no-target');
	assert.ok((refusal?.retryAfterMs ?? 0) >= 3000, `${refusal?.retryAfterMs} ms`);
	assert.equal(effectsOfKind(core.arrive('plain', '/ask/1', {model: 'm0'}), 'send').length, 1);
});

// Guards against requests that are held for an adapter that cannot come while their callers wait, and told to return too soon.
test('a request whose only target loads a model for longer than its caller waits is refused at the first failure, with the time until then', () => {
	const core = new EntryHarness().configure().readRegistry([engineEntry('e0', ['m0'])]);
	core.dispatch({
		kind: 'beacon-received', beacon: beacon({
			lease: {holder: instance('b'), epoch: 1, ageMs: 0},
			comingCopies: [{
				targetId: 'e0', service: 'llm', model: 'm2', inMs: 5000,
			}],
		}),
	});
	core.arrive('r', '/ask/1', {model: 'm0', adapter: 'a1'});
	core.dispatch({
		kind: 'adapter-resolved', targetId: 'e0', name: 'm0/a1', isHeld: false, sequence: 0,
	});
	const [refusal] = effectsOfKind(core.effects, 'refuse');
	assert.equal(refusal?.code, 'no-target');
	assert.equal(refusal?.retryAfterMs, 5000);
});
