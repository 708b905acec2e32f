/**
Requests that come again under the id that they had, after a refusal, at the same instance.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {effectsOfKind, EntryHarness, targetEntry} from '../standins/entry-harness.js';

const KNOWN_RED = {todo: 'KNOWN-RED.txt, issue 64'};

for (const path of ['/records/1', '/sign/1']) {
	// Guards against answers that are broken off, and requests that are refused, at the deadline of an earlier request with the same id.
	test(`a request that comes again under its id has the whole of its own time: ${path}`, KNOWN_RED, () => {
		const harness = new EntryHarness().configure().readRegistry([targetEntry('t')]);
		harness.arrive('x', path);
		harness.dispatch({kind: 'caller-left', requestId: 'x'});
		harness.advance(1500);
		harness.readRegistry([targetEntry('t')]);
		assert.equal(effectsOfKind(harness.arrive('x', path), 'send').length, 1);
		const effects = harness.advance(1000);
		assert.deepEqual(effects.filter(({kind}) => kind === 'refuse' || kind === 'cancel'), []);
		assert.equal(harness.state.open.get('x')?.phase, 'running');
	});
}
