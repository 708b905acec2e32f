/**
The public typings match the types in the code: an element of `equalities` fails the
type check if only one side changes.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {parseConfiguration} from '../../src/core/configuration/schema.js';
import {type Configuration} from '../../src/core/configuration/types.js';
import {type ExecutionStatus} from '../../src/core/result-codes.js';
import {createProblem} from '../../src/daemon/problem.js';
import {parseSettings, type Settings} from '../../src/daemon/settings.js';
import type * as published from '../../typings/pollenarch.js';

/** `true` if each type is assignable to the other, otherwise `never`. */
type MutuallyAssignable<A, B> = [A] extends [B] ? ([B] extends [A] ? true : never) : never;

type Mutable<Value> = Value extends readonly unknown[]
	? Array<Mutable<Value[number]>>
	: (Value extends object ? {-readonly [Key in keyof Value]: Mutable<Value[Key]>} : Value);

const equalities: [
	MutuallyAssignable<Mutable<Configuration>, published.Configuration>,
	MutuallyAssignable<ExecutionStatus, published.Ran>,
	// Parsed settings include all defaults and are assignable to the published type, but not the reverse.
	Settings extends published.Settings ? true : never,
] = [true, true, true];

test('the published types match those in the code', () => {
	assert.ok(equalities.every(Boolean));
});

const settings: published.Settings = {
	instance: {id: 'i1', zone: 'z'},
	listen: {callers: {port: 0}, operators: {host: '0.0.0.0', port: 0}, peers: {port: 0}},
	advertise: 'http://10.0.0.1:8070',
	platform: {table: 'http://10.0.0.2:1', objects: 'http://10.0.0.2:2', instances: 'http://10.0.0.2:3'},
	seeds: ['http://10.0.0.3:8070'],
	limits: {bodyBytes: 1},
	metrics: {enabled: true, host: '127.0.0.1', port: 8125},
	log: {level: 'warn'},
};

test('settings with every published member are accepted', () => {
	assert.ok(parseSettings(settings).isRight());
});

test('an unknown setting, a wrong type and a missing setting are each reported with the path', () => {
	const mistakes = parseSettings({
		...settings, instance: {id: 'i1'}, limits: {bodyBytes: 'much'}, other: 1,
	}).swap().orDefault([]);
	assert.deepEqual(mistakes.map(line => line.split(':')[0]).toSorted((a, b) => (a ?? '').localeCompare(b ?? '')), ['(top)', 'instance.zone', 'limits.bodyBytes']);
});

test('a configuration with every published member is accepted', () => {
	const configuration: published.Configuration = {
		services: {
			llm: {kind: 'engine', routes: [], notRunStatuses: [429]}, books: {
				kind: 'plain',
				routes: [{
					method: 'POST',
					path: '/',
					repeat: 'once',
					key: {from: 'body', pointer: '/order'},
					answerRetentionMs: 1000,
					priority: 'urgent',
				}],
				notRunStatuses: [],
			},
		},
		targets: {
			t: {
				service: 'llm',
				address: 'http://10.0.0.4:1',
				zone: 'z',
				gateway: 'engine-fenced',
				memoryMb: 10,
				accelerators: 1,
				slots: 8,
			},
		},
		models: {
			m: {
				service: 'llm',
				version: 1,
				memoryMb: 10,
				priority: 'batch',
				adapters: {a: {version: 1, memoryMb: 0}},
			},
		},
		callers: {c: {tokenSha256: 'a'.repeat(64), weight: 1, priority: 'normal'}},
		limits: {
			deadlineMs: {urgent: 1, normal: 1, batch: 1},
			weightLoadsPerSecond: 1.5,
			weightLoadsAtOnce: 6,
			adapterTransfersAtOnce: 50,
		},
	};
	assert.deepEqual(parseConfiguration(configuration).extract(), configuration);
});

test('problem bodies match the published type', () => {
	const problem = JSON.parse(createProblem('unknown-model', {ran: 'no', detail: 'd', requestId: 'r'}).body) as published.Problem;
	assert.equal(problem.code, 'PA-1003');
	assert.equal(problem.ran, 'no');
	assert.equal(problem.error.type, 'unknown-model');
});
