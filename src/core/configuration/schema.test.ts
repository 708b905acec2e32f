/**
Configurations whose names are those of members that every object has.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {parseConfiguration} from './schema.js';
import {callerOrDefault} from './index.js';

// Guards against a function of every object that is taken for a configured service or caller.
test('a service or a caller counts as configured only if the configuration names it', () => {
	const document = {
		targets: {
			t1: {
				service: 'constructor', address: 'http://127.0.0.1:1', gateway: 'plain', zone: 'a',
			},
		},
	};
	const errors = parseConfiguration(document).swap().extract();
	assert.ok(Array.isArray(errors) && errors.some(({path, message}) => path === 'targets.t1.service' && message.includes('not configured')), JSON.stringify(errors));
	const configuration = parseConfiguration({}).unsafeCoerce();
	assert.deepEqual(callerOrDefault(configuration, 'toString'), {weight: 1, priority: 'normal'});
});
