/**
Selection of the target that a request is sent to.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {promptArrival, testConfiguration} from '../../../test/standins/configurations.js';
import {type Arrival} from '../event.js';
import {reduce} from '../reducer.js';
import {createState, type State} from '../state.js';

const SLOTS = 8;
const ZONES: Readonly<Record<string, string>> = {
	near0: 'here',
	near1: 'here',
	far0: 'there',
	far1: 'there',
};

type Core = {
	readonly state: State;
	report(id: string, running: number, options?: {adapters?: string[]; leaving?: boolean; boot?: string}): void;
	/** Sends a request and returns the target that it went to. */
	send(id: string, options?: Partial<Arrival>): string | undefined;
};

function createCore(): Core {
	const state = createState();
	let nowMs = 0;
	const targets = Object.entries(ZONES).map(([id, zone]) => ({
		id,
		zone,
		gateway: 'engine-unfenced' as const,
		memoryMb: 100,
		slots: SLOTS,
	}));
	const configuration = testConfiguration({targets, models: {m: 10}});
	const model = configuration.models.m;
	assert.ok(model);
	reduce(state, {
		kind: 'started',
		nowMs,
		self: {
			id: 'i',
			boot: 'b',
			zone: 'here',
			address: 'i',
			state: 'live',
		},
		seed: 3,
		wallMs: 0,
	});
	reduce(state, {
		kind: 'configuration-fetched', nowMs, numbered: {
			version: 1, configuration: {
				...configuration,
				models: {m: {...model, adapters: {clay: {version: 1, memoryMb: 0}}}},
			},
		},
	});
	const core: Core = {
		state,
		report(targetId, running, {adapters = [], leaving = false, boot = 'b'} = {}) {
			nowMs++;
			reduce(state, {
				kind: 'target-reported', nowMs, targetId, report: {
					boot,
					running,
					waiting: 0,
					models: ['m@1'],
					adapters,
					leaving,
				},
			});
		},
		send(id, options = {}) {
			nowMs++;
			const effects = reduce(state, {kind: 'request-arrived', nowMs, arrival: promptArrival(id, 'm', options)});
			return effects.find(effect => effect.kind === 'send-try')?.targetId;
		},
	};
	for (const id of Object.keys(ZONES)) {
		core.report(id, 0);
	}

	return core;
}

function sendMany(core: Core, count: number, options: Partial<Arrival> = {}): Array<string | undefined> {
	return Array.from({length: count}, (_, index) => core.send(`r${index}`, options));
}

test('targets in the instance\'s zone are preferred while lightly loaded; when they are full, requests go to other zones', () => {
	const core = createCore();
	const first = sendMany(core, 4);
	assert.ok(first.every(id => ZONES[id ?? ''] === 'here'), first.join(', '));
	core.report('near0', SLOTS);
	core.report('near1', SLOTS);
	assert.equal(ZONES[core.send('spilled') ?? ''], 'there');
});

test('requests sent since the last report count as load, so that an outdated report does not concentrate requests on one target', () => {
	const core = createCore();
	const sent = sendMany(core, 24);
	const perTarget = Object.keys(ZONES).map(id => sent.filter(target => target === id).length);
	assert.ok(Math.max(...perTarget) <= SLOTS, perTarget.join(', '));
});

test('requests with equal prefixes go to one target while it is lightly loaded, and to others when it is full', () => {
	const core = createCore();
	const light = new Set(sendMany(core, 3, {prefixHash: 'contract'}));
	assert.equal(light.size, 1);
	const [preferred = ''] = light;
	core.report(preferred, SLOTS);
	assert.notEqual(core.send('later', {prefixHash: 'contract'}), preferred);
});

test('a request for an adapter prefers a target that holds it', () => {
	const core = createCore();
	core.report('near1', 0, {adapters: ['clay']});
	const sent = Array.from({length: 4}, (_, index) => core.send(`a${index}`, {destination: {kind: 'model', name: 'clay', stream: false}}));
	assert.deepEqual(new Set(sent.slice(0, 1)), new Set(['near1']));
	assert.ok(sent.filter(id => id === 'near1').length >= 2, sent.join(', '));
});

test('leaving targets and targets that refuse connections get no requests; a restarted target does again', () => {
	const core = createCore();
	core.report('near0', 0, {leaving: true});
	reduce(core.state, {
		kind: 'probe-answered',
		nowMs: 100,
		targetId: 'near1',
		result: 'refused',
	});
	const sent = sendMany(core, 6);
	assert.ok(sent.every(id => ZONES[id ?? ''] === 'there'), sent.join(', '));
	core.report('near1', 0, {boot: 'b2'});
	assert.equal(core.send('back'), 'near1');
});
