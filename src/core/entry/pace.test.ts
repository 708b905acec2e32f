/**
The pace of targets that have just started or come back: where a limit starts, what moves
it, how instances share it, and that nothing changes while it is off.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	beacon, effectsOfKind, EntryHarness, instance, targetEntry,
} from '../../../test/standins/entry-harness.js';
import {ownShare, type PaceMode} from './pace.js';
import {type TargetEntry} from './target.js';

const SLOTS = 24;
const LOAD_OF_OTHERS = 10;
/** Half-seconds for which all instances of the test count each other. */
const TURNS = 50;
const old = ['s1', 's2', 's3'].map(id => targetEntry(id, {slots: SLOTS}));

/** An instance at which three targets carry load, and a fourth has just appeared. */
function createCore({mode = 'adaptive', self = instance('a'), peers = 0, entry = {}}: {readonly mode?: PaceMode; readonly self?: ReturnType<typeof instance>; readonly peers?: number; readonly entry?: Partial<TargetEntry>} = {}): EntryHarness {
	const core = new EntryHarness(self);
	core.state.paceMode = mode;
	core.state.startedAtMs = core.nowMs - 20_000;
	core.configure().readRegistry(old);
	for (let index = 0; index < peers; index++) {
		core.dispatch({kind: 'beacon-received', beacon: beacon({from: instance(`p${index}`)})});
	}

	for (const {id} of old) {
		core.state.targets.get(id)!.peerLoads.set('filler', {inFlight: LOAD_OF_OTHERS, unreadTokens: 0, atMs: core.nowMs});
	}

	core.readRegistry([...old, targetEntry('new', {slots: SLOTS, ...entry})]);
	// Peers count for 30 s after a start.
	core.state.startedAtMs = core.nowMs;
	return core;
}

function limitOf(core: EntryHarness): number | undefined {
	return core.state.targets.get('new')!.pace?.limit;
}

let counter = 0;

/** Sends a request to the new target, which is idle and so the best choice, and ends it. */
function use(core: EntryHarness, outcome: 'answered' | 'failed' | 'not-run', tookMs = 40): void {
	counter++;
	const id = `r${counter}`;
	const [sent] = effectsOfKind(core.arrive(id), 'send');
	assert.equal(sent?.targetId, 'new');
	core.nowMs += tookMs;
	core.endTry(id, 1, outcome);
	core.dispatch({kind: 'caller-left', requestId: id});
}

test('a target that appears starts at a share of what the others carry; off, it has no limit', () => {
	const core = createCore();
	assert.ok(limitOf(core)! > 0 && limitOf(core)! < LOAD_OF_OTHERS);
	const log = effectsOfKind(core.effects, 'log').find(({event}) => event === 'pace-begun');
	assert.equal(log?.fields.meanLoad, LOAD_OF_OTHERS);
	assert.equal(limitOf(createCore({mode: 'off'})), undefined);
});

// Guards against limiting all targets of a deployment when an instance starts.
test('to an instance that starts, no target is new', () => {
	const core = new EntryHarness();
	core.state.paceMode = 'adaptive';
	core.configure().readRegistry(old);
	assert.ok([...core.state.targets.values()].every(({pace}) => pace === undefined));
	core.advance(3000);
	core.readRegistry([...old, targetEntry('late', {slots: SLOTS})]);
	assert.equal(core.state.targets.get('late')?.pace, undefined, 'entries come with several reads');
});

// Guards against a limit of one request for a whole deployment, since nothing is sent to the others yet, and against a model whose only copy waits for an instance's turn.
test('where the others carry nothing, a limit starts at a quarter of the slots; the only target of a request takes one out of turn', () => {
	const core = new EntryHarness();
	core.state.paceMode = 'adaptive';
	core.state.startedAtMs = core.nowMs - 20_000;
	core.configure().readRegistry(old);
	for (let index = 0; index < 99; index++) {
		core.dispatch({kind: 'beacon-received', beacon: beacon({from: instance(`p${index}`)})});
	}

	core.readRegistry([...old, targetEntry('new', {slots: SLOTS})]);
	assert.equal(limitOf(core), SLOTS / 4);
	core.readRegistry([targetEntry('new', {slots: SLOTS})]);
	assert.ok(limitOf(core) !== undefined);
	for (let turn = 0; turn < 10; turn++) {
		core.nowMs += 500;
		core.confirmRegistry();
		counter++;
		assert.equal(effectsOfKind(core.arrive(`o${counter}`), 'send')[0]?.targetId, 'new');
		core.endTry(`o${counter}`, 1, 'answered');
		core.state.targets.get('new')!.pace!.limit = SLOTS / 4;
	}
});

test('a limit holds requests back, and off as many are sent as there are slots', () => {
	for (const [mode, isLimited] of [['adaptive', true], ['off', false]] as const) {
		const core = createCore({mode});
		let sent = 0;
		while (effectsOfKind(core.arrive(`n${mode}${sent}`), 'send')[0]?.targetId === 'new') {
			sent++;
		}

		assert.equal(sent < LOAD_OF_OTHERS, isLimited, `${sent} sent`);
	}
});

// Guards against a target that is left idle for long though it answers well.
test('good responses raise the limit above the load of the others within eight, and then end it', () => {
	const core = createCore();
	for (let index = 0; index < 6; index++) {
		use(core, 'answered');
	}

	assert.ok(limitOf(core) === undefined || limitOf(core)! >= LOAD_OF_OTHERS * 0.8);
	for (let index = 0; index < 8 && limitOf(core) !== undefined; index++) {
		use(core, 'answered');
	}

	assert.equal(limitOf(core), undefined);
	assert.equal(effectsOfKind(core.effects, 'log').filter(({event}) => event === 'pace-ended').length, 1);
});

test('failures, shed requests and slow responses lower it, and a second failure lowers it more than the first', () => {
	for (const outcome of ['failed', 'not-run'] as const) {
		const core = createCore();
		const first = limitOf(core)!;
		core.state.targets.get('new')!.pace!.limit = first * 4;
		use(core, outcome);
		const second = limitOf(core)!;
		assert.equal(second, first * 2);
		core.nowMs += 1000;
		core.dispatch({kind: 'tick'});
		core.state.targets.get('new')!.loadReceivedAtMs = Number.NEGATIVE_INFINITY;
		core.state.targets.get('new')!.pace!.limit = first * 4;
		core.confirmRegistry();
		use(core, outcome);
		assert.equal(limitOf(core), first);
	}
});

test('a response that takes several times as long as those of the others lowers it', () => {
	const core = createCore();
	// The usual time is learned at the others.
	core.state.targetSpeeds.common.set('records', {logMs: Math.log(40), samples: 20});
	const before = limitOf(core)!;
	use(core, 'answered', 41);
	assert.ok(limitOf(core)! > before);
	core.nowMs += 1000;
	core.confirmRegistry();
	const raised = limitOf(core)!;
	use(core, 'answered', 200);
	assert.ok(limitOf(core)! < raised);
	const log = effectsOfKind(core.effects, 'log').find(({event}) => event === 'pace-shrunk');
	assert.equal(log?.fields.cause, 'slow');
});

test('it is lower while the entry says that the target warms up', () => {
	const warm = createCore({entry: {slowLeftMs: 3000}});
	const core = createCore();
	warm.state.targets.get('new')!.pace!.limit = 12;
	core.state.targets.get('new')!.pace!.limit = 12;
	assert.equal(ownShare(core.state, core.state.targets.get('new')!, core.nowMs), 12);
	assert.equal(ownShare(warm.state, warm.state.targets.get('new')!, warm.nowMs), 6);
});

// Guards against limits that each instance takes for its own, and against limits too small for any instance to try.
test('the shares of 100 instances add up to about the whole limit, and each gets its turn', () => {
	const cores = Array.from({length: 100}, (_, index) => createCore({self: instance(`i${index}`), peers: 99}));
	for (const limit of [1, 4, 20]) {
		let total = 0;
		const turns = new Set<EntryHarness>();
		for (let turn = 0; turn < TURNS; turn++) {
			for (const core of cores) {
				const target = core.state.targets.get('new')!;
				target.pace!.limit = limit;
				const share = ownShare(core.state, target, core.nowMs + (turn * 500));
				total += share;
				if (share > 0) {
					turns.add(core);
				}
			}
		}

		assert.ok(Math.abs((total / TURNS) - limit) <= limit * 0.2, `${total / TURNS} instead of ${limit}`);
		assert.ok(turns.size > Math.min(60, limit * TURNS / 2), `${turns.size} instances had a turn`);
	}
});

test('peers adopt the larger of two limits, and the one after more failures; one that has ended stays over', () => {
	const core = createCore();
	const tell = (epoch: number, limit: number) => core.dispatch({kind: 'load-announced', announcement: {from: 'b', loads: [], paces: [['new', 1, epoch, limit]]}});
	tell(1, 9);
	assert.equal(limitOf(core), 9);
	tell(1, 6);
	assert.equal(limitOf(core), 9);
	tell(2, 2);
	assert.equal(limitOf(core), 2);
	tell(2, SLOTS);
	assert.equal(limitOf(core), undefined);
	tell(2, 5);
	assert.equal(limitOf(core), undefined);
	tell(3, 5);
	assert.equal(limitOf(core), 5);
});

// Guards against a message for each request.
test('peers are told of a limit when it has changed by a fifth, not of each response', () => {
	const core = createCore({peers: 2});
	core.effects.length = 0;
	const target = core.state.targets.get('new')!;
	target.pace!.limit = 4;
	target.pace!.announcedLimit = 4.5;
	target.pace!.hasFailed = true;
	use(core, 'answered');
	assert.equal(effectsOfKind(core.effects, 'announce-load').length, 0, 'from 4.5 to 5 it has not');
	use(core, 'answered');
	assert.equal(effectsOfKind(core.effects, 'announce-load').length, 1);
});

test('a target that comes back from being unreachable finds its pace', () => {
	const core = createCore();
	const target = core.state.targets.get('s1')!;
	target.unreachedSinceMs = core.nowMs - 1000;
	core.state.probedTargets.add('s1');
	core.dispatch({
		kind: 'target-probed', targetId: 's1', incarnation: 1, outcome: 'accepted',
	});
	assert.ok(target.pace);
});

/** Requests that a target which sheds all beyond two at a time got, shed, and left unserved, out of 300 in 6 s that each take 200 ms. */
function serveBesideShedding(mode: PaceMode): {readonly got: number; readonly shed: number; readonly refused: number} {
	const core = createCore({mode});
	for (const {id} of old) {
		core.state.targets.get(id)!.peerLoads.clear();
	}

	const running: Array<{readonly id: string; readonly number: number; readonly targetId: string; readonly endsAtMs: number}> = [];
	let got = 0;
	let shed = 0;
	for (let index = 0; index < 300; index++) {
		core.nowMs += 20;
		core.confirmRegistry();
		const sends = effectsOfKind([...core.dispatch({kind: 'tick'}), ...core.arrive(`x${index}`)], 'send');
		for (let sent = sends.shift(); sent; sent = sends.shift()) {
			const {requestId, tryNumber, targetId} = sent;
			got += targetId === 'new' ? 1 : 0;
			if (targetId === 'new' && running.filter(other => other.targetId === 'new').length >= 2) {
				shed++;
				sends.push(...effectsOfKind(core.endTry(requestId, tryNumber, 'not-run'), 'send'));
			} else {
				running.push({
					id: requestId, number: tryNumber, targetId, endsAtMs: core.nowMs + 200,
				});
			}
		}

		for (const ended of running.filter(({endsAtMs}) => endsAtMs <= core.nowMs)) {
			running.splice(running.indexOf(ended), 1);
			core.endTry(ended.id, ended.number, 'answered');
		}
	}

	return {got, shed, refused: effectsOfKind(core.effects, 'refuse').length};
}

// Guards against a target that starts badly and is flooded all the same.
test('a target that sheds what it cannot take gets less, and costs under 1 % of the requests', () => {
	const off = serveBesideShedding('off');
	const adaptive = serveBesideShedding('adaptive');
	const found = JSON.stringify({off, adaptive});
	assert.ok(adaptive.shed <= off.shed && adaptive.got < 300 / 4, found);
	assert.ok(adaptive.refused - off.refused < 300 * 0.01, found);
});
