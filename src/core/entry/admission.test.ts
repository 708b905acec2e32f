/**
Requests refused on arrival, and what becomes of the queue that they did not enter.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	beacon, configuration, effectsOfKind, engineEntry, EntryHarness, modelNames, route, targetEntry,
} from '../../../test/standins/entry-harness.js';
import {queueOf} from './queues.js';
import {WaitingQueue} from './waiting-queue.js';

const PATIENCE_MS = 10_000;

/** An instance whose only target has served a backlog so slowly that a new request is refused on arrival; the backlog is gone. */
function afterRefusal(): EntryHarness {
	const patient = route({timeoutMs: PATIENCE_MS, patienceMs: PATIENCE_MS, rank: 2});
	const harness = new EntryHarness().configure(configuration({routes: [patient]})).readRegistry([targetEntry('t0', {slots: 1})]);
	const arrive = (id: string) => harness.arrive(id, '/records/1', {deadlineMs: PATIENCE_MS});
	for (let index = 0; index < 30; index++) {
		arrive(`r${index}`);
	}

	for (let index = 0; index < 6; index++) {
		harness.nowMs += 800;
		harness.confirmRegistry();
		harness.endTry(`r${index}`, 1, 'answered');
	}

	const [refusal] = effectsOfKind(arrive('refused'), 'refuse');
	assert.equal(refusal?.code, 'deadline-unreachable', 'the backlog is long enough for a refusal');
	for (let index = 6; index < 30; index++) {
		harness.endTry(`r${index}`, 1, 'answered');
	}

	return harness;
}

// Guards against requests that are never sent: one refused on arrival was subtracted from the queue that it had not entered.
test('a request was refused on arrival: a later one that waits alone is sent as soon as its target has room', () => {
	const harness = afterRefusal();
	harness.confirmRegistry();
	assert.equal(queueOf(harness.state, 'records').waiting, 0);
	assert.deepEqual(effectsOfKind(harness.arrive('alone', '/records/1', {deadlineMs: PATIENCE_MS}), 'send').map(({requestId}) => requestId), ['alone']);
});

// Guards against urgent requests that are refused for the wait of a backlog which they pass.
test('a long backlog of less urgent requests: an urgent one is not refused on arrival for it, and is sent next', () => {
	const routes = [
		route({
			name: 'leisurely', timeoutMs: PATIENCE_MS, patienceMs: PATIENCE_MS, rank: 2,
		}),
		route({name: 'urgent', prefix: '/urgent/', rank: 0}),
	];
	const harness = new EntryHarness().configure(configuration({routes})).readRegistry([targetEntry('t0', {slots: 1})]);
	for (let index = 0; index < 14; index++) {
		harness.arrive(`r${index}`, '/records/1', {deadlineMs: PATIENCE_MS});
	}

	for (let index = 0; index < 6; index++) {
		harness.nowMs += 800;
		harness.confirmRegistry();
		harness.endTry(`r${index}`, 1, 'answered');
	}

	harness.confirmRegistry();
	assert.equal(effectsOfKind(harness.arrive('urgent', '/urgent/1'), 'refuse').length, 0);
	harness.effects.length = 0;
	for (let index = 6; index < 8; index++) {
		harness.endTry(`r${index}`, 1, 'answered');
	}

	assert.equal(effectsOfKind(harness.effects, 'send')[0]?.requestId, 'urgent');
});

const newer = {version: 2, routes: [route(), route({name: 'added', prefix: '/added/'})]};

function refusalOf(core: EntryHarness, id: string, path: string): string | undefined {
	return effectsOfKind(core.arrive(id, path), 'refuse')[0]?.code;
}

// Guards against proper requests that are refused with 404, since their instance holds a version that is not the newest any more (DENIED).
test('404 is answered only by a configuration that is known to be the newest', () => {
	const core = new EntryHarness().configure().readRegistry([targetEntry('t0')]);
	assert.equal(refusalOf(core, 'known', '/added/1'), 'path-unknown');
	core.dispatch({kind: 'beacon-received', beacon: beacon({configurationVersion: 2})});
	assert.equal(refusalOf(core, 'behind', '/added/1'), 'configuration-outdated');
	core.configure(newer);
	assert.equal(refusalOf(core, 'added', '/added/1'), undefined);
	assert.equal(refusalOf(core, 'still-unknown', '/elsewhere/1'), 'path-unknown');
	core.nowMs += 4500;
	assert.equal(refusalOf(core, 'unconfirmed', '/elsewhere/1'), 'configuration-outdated');
	core.confirmConfiguration();
	assert.equal(refusalOf(core, 'confirmed', '/elsewhere/1'), 'path-unknown');
});

// Guards against proper requests that are refused with 401, since their instance holds a version without their key (DENIED).
test('401 for a key that is not known is answered only by a configuration that is known to be the newest', () => {
	const workspaces = [{
		name: 'atlas', keyHashes: ['hash-1'], rank: undefined, quota: undefined,
	}];
	const core = new EntryHarness().configure({workspaces}).readRegistry([targetEntry('t0')]);
	const codeOf = (id: string) => effectsOfKind(core.arrive(id, '/records/1', {keyHash: 'hash-2'}), 'refuse')[0]?.code;
	assert.equal(codeOf('known'), 'api-key-unknown');
	core.dispatch({kind: 'beacon-received', beacon: beacon({configurationVersion: 2})});
	assert.equal(codeOf('behind'), 'configuration-outdated');
	core.configure({version: 2, workspaces: [{...workspaces[0]!, keyHashes: ['hash-1', 'hash-2']}]});
	assert.equal(codeOf('added'), undefined);
});

// Instances without much processor time spent a twentieth of it, at each tick, on requests for models that no target held.
test('requests for models that no target holds are not looked at each tick, and are sent once one does', context => {
	const core = new EntryHarness().configure().readRegistry([engineEntry('e0', ['m0'])]);
	for (const model of modelNames.slice(1)) {
		core.arrive(model, '/digest/1', {model, deadlineMs: 20_000});
	}

	const waiting = [...core.state.open.values()].filter(({phase}) => phase === 'queued');
	assert.ok(waiting.length > 0);
	const peek = context.mock.method(WaitingQueue.prototype, 'peek');
	core.advance(50);
	assert.equal(peek.mock.callCount(), 0);
	const {id, arrival: {model}} = waiting[0]!;
	core.readRegistry([engineEntry('e0', ['m0', model!])]);
	core.advance(50);
	assert.equal(core.state.open.get(id)?.phase, 'running');
});

// Guards against streams that are broken off before the time of their callers has passed, which may count from the last byte of the request (LOST).
test('the time of a stream leaves out what reading its body took, up to a limit; that of other requests does not', () => {
	for (const [isStream, waitedMs, endsAfterMs] of [[true, 200, 2000], [true, 1000, 1300], [false, 200, 1800]] as const) {
		const core = new EntryHarness().configure({routes: [route({isStream, timeoutMs: 5000, patienceMs: 5000})]}).readRegistry([targetEntry('t0', {slots: 8})]);
		const [sent] = effectsOfKind(core.arrive('r', '/records/1', {deadlineMs: 2000, waitedMs}), 'send');
		assert.equal(sent?.remainingMs, endsAfterMs - 5);
		core.dispatch({
			kind: 'try-progressed', requestId: 'r', tryNumber: 1, delivered: 1,
		});
		const ended = (): number => effectsOfKind(core.effects, 'break-off').length;
		core.advance(endsAfterMs - 50);
		assert.equal(ended(), 0, `${waitedMs}`);
		core.advance(50);
		assert.equal(ended(), 1, `${waitedMs}`);
	}
});
