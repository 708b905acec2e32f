/**
What requests are told that wait for an adapter.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {engineEntry, EntryCore, ofKind} from '../../../test/standins/entry-core.js';

function failFetches(core: EntryCore, requestId: string): ReturnType<typeof ofKind<'refuse'>> {
	for (let attempt = 0; attempt < 4 && core.state.open.get(requestId)?.phase === 'fetching'; attempt++) {
		core.dispatch({
			kind: 'adapter-told', targetId: 'e0', name: 'm0/a1', isHeld: false, sequence: 0,
		});
	}

	return ofKind(core.effects, 'refuse');
}

test('a request whose adapter cannot be brought is refused as not run', () => {
	const core = new EntryCore().configure().list([engineEntry('e0', ['m0'])]);
	core.arrive('r', '/ask/1', {model: 'm0', adapter: 'a1'});
	assert.deepEqual(failFetches(core, 'r').map(({code}) => code), ['no-target']);
});

test('one that may have run elsewhere before is not', () => {
	const core = new EntryCore().configure().list([engineEntry('e0', ['m0'])]);
	core.state.targets.get('e0')!.adapters.set('m0/a1', 0);
	core.arrive('r', '/ask/1', {model: 'm0', adapter: 'a1'});
	core.state.targets.get('e0')!.adapters.delete('m0/a1');
	core.end('r', 1, 'broken');
	const refusals = failFetches(core, 'r');
	assert.deepEqual(refusals.map(({code, retryAfterMs}) => [code, retryAfterMs]), [['target-failed', undefined]]);
});
