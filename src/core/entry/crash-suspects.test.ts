/**
A part of a prompt that crashes each target that begins to answer a request with it.
Requests with that part are no two alike; sound ones share their caller and their other
parts.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {EntryGroup} from '../../../test/standins/entry-group.js';
import {
	effectsOfKind, engineEntry, instance, route, type EntryArrivalOverrides, type EntryHarness,
} from '../../../test/standins/entry-harness.js';
import {type EntryEffect} from './effect.js';
import {type TargetEntry} from './target.js';

/** Shared by all requests of the route. */
const FIRST_PART = 'f0';
const CRASHING_PART = 'bad0';
const ask = route({
	name: 'ask', prefix: '/ask/', isStream: true, timeoutMs: 10_000, patienceMs: 2000, destinations: [{service: 'llm', weight: 1}], rank: 0,
});

/** Engines of which each can be crashed and starts again at once. */
class Engines {
	private readonly _incarnations = new Map<string, number>();

	constructor(private readonly _ids: readonly string[]) {}

	get entries(): TargetEntry[] {
		return this._ids.map(id => engineEntry(id, ['m0'], {incarnation: this._incarnations.get(id) ?? 1, slots: 16}));
	}

	crash(id: string): void {
		this._incarnations.set(id, (this._incarnations.get(id) ?? 1) + 1);
	}
}

type Deployment = {
	readonly engines: Engines;
	readonly group: EntryGroup;
};

function createDeployment(instances = [instance('a'), instance('b'), instance('c')]): Deployment {
	const engines = new Engines(['e1', 'e2', 'e3', 'e4', 'e5', 'e6']);
	const group = new EntryGroup(instances, () => engines.entries);
	for (const member of group.members) {
		member.configure({version: 2, routes: [ask]});
	}

	group.advance(1000);
	return {engines, group};
}

function arrive(core: EntryHarness, id: string, middleParts: readonly string[], overrides: EntryArrivalOverrides = {}): EntryEffect[] {
	return core.arrive(id, `/ask/${id}`, {
		model: 'm0', deadlineMs: 10_000, promptParts: [FIRST_PART, ...middleParts, `own ${id}`], ...overrides,
	});
}

/** Sends a sound request and lets it run to completion. Returns whether it was sent at once. */
function serve({group}: Deployment, core: EntryHarness, id: string, middleParts: readonly string[] = []): boolean {
	const [sent] = effectsOfKind(arrive(core, id, middleParts), 'send');
	if (!sent) {
		return false;
	}

	core.dispatch({
		kind: 'try-progressed', requestId: id, tryNumber: sent.tryNumber, delivered: 1,
	});
	group.advance(100);
	core.dispatch({
		kind: 'try-ended', requestId: id, tryNumber: sent.tryNumber, outcome: 'answered', status: 200, delivered: 8,
	});
	return true;
}

/** The target of a try goes down, and the registry shows its next start. All tries there break. */
function crashTarget({engines, group}: Deployment, targetId: string): void {
	engines.crash(targetId);
	for (const member of group.members) {
		const inFlight = new Map(member.state.targets.get(targetId)?.inFlight);
		for (const [requestId, tryNumber] of inFlight) {
			member.dispatch({
				kind: 'try-ended', requestId, tryNumber, outcome: 'broken', status: 200, delivered: 0, reason: 'ECONNRESET',
			});
		}
	}

	group.advance(200);
	group.readRegistry(engines.entries);
	group.advance(400);
}

/** Sends a request with the crashing part and crashes each target that it reaches. Returns how many it reached. */
function sendCrashing(deployment: Deployment, core: EntryHarness, id: string, middleParts: readonly string[] = [CRASHING_PART]): number {
	arrive(core, id, middleParts);
	let crashes = 0;
	for (let target = targetOf(core, id); target !== undefined; target = targetOf(core, id)) {
		crashes++;
		assert.ok(crashes <= 10, 'a request is sent without end');
		crashTarget(deployment, target);
	}

	return crashes;
}

function targetOf(core: EntryHarness, requestId: string): string | undefined {
	return [...core.state.targets.values()].find(({inFlight}) => inFlight.has(requestId))?.id;
}

function assertRefused(effects: readonly EntryEffect[], what: string): void {
	assert.deepEqual(effectsOfKind(effects, 'send'), [], what);
	assert.equal(effectsOfKind(effects, 'refuse')[0]?.code, 'content-quarantined', what);
}

// Guards against counting crashes by the whole content, by which requests that share only the part at fault are strangers.
test('requests that share one part of their prompts crash three targets: further ones are refused, no two of them alike', () => {
	const deployment = createDeployment();
	const [core] = deployment.group.members as [EntryHarness];
	let crashes = 0;
	for (let index = 0; index < 10; index++) {
		serve(deployment, core, `sound${index}`);
		crashes += sendCrashing(deployment, core, `bad${index}`);
	}

	assert.ok(crashes <= 4, `${crashes} targets crashed`);
	assertRefused(arrive(core, 'last', [CRASHING_PART]), 'the last one');
});

// Guards against blame that is too wide: what ran beside the request at fault, and the parts that it shares with sound ones.
test('sound requests that share their caller and their other parts with those that crash targets are served', () => {
	const deployment = createDeployment();
	const [core] = deployment.group.members as [EntryHarness];
	let served = 0;
	for (let index = 0; index < 10; index++) {
		arrive(core, `beside${index}`, ['subject0']);
		sendCrashing(deployment, core, `bad${index}`, ['subject0', CRASHING_PART]);
		core.dispatch({kind: 'caller-left', requestId: `beside${index}`});
		served += serve(deployment, core, `sound${index}`, ['subject0']) ? 1 : 0;
	}

	assert.equal(served, 10);
	assertRefused(arrive(core, 'last', ['subject0', CRASHING_PART]), 'the part at fault');
});

// Guards against merging the counts of two instances by their maximum: crashes that they saw one each counted as one.
test('three instances see one crash each: all of them refuse what has crashed three targets', () => {
	const deployment = createDeployment([instance('a'), instance('b', 'south'), instance('c', 'east')]);
	const {group} = deployment;
	for (const [index, core] of group.members.entries()) {
		arrive(core, `bad${index}`, [CRASHING_PART]);
		crashTarget(deployment, targetOf(core, `bad${index}`)!);
		core.dispatch({kind: 'caller-left', requestId: `bad${index}`});
	}

	group.advance(1000);
	for (const core of group.members) {
		assertRefused(arrive(core, `last ${core.self.id}`, [CRASHING_PART]), core.self.id);
	}
});

// Guards against telling of a crash only in the moment after it: an instance that starts later, or was cut off, knew nothing.
test('an instance that was cut off or starts later knows within a second what crashes targets', () => {
	const deployment = createDeployment();
	const {group} = deployment;
	const [first, second, third] = group.members as [EntryHarness, EntryHarness, EntryHarness];
	group.isolated.add(second);
	for (let index = 0; index < 3; index++) {
		sendCrashing(deployment, first, `bad${index}`);
	}

	group.advance(5000);
	group.isolated.delete(second);
	const restarted = group.restart(third);
	group.advance(2500);
	assertRefused(arrive(second, 'after the cut', [CRASHING_PART]), 'cut off');
	assertRefused(arrive(restarted, 'after the start', [CRASHING_PART]), 'restarted');
});

// Guards against the paths that send a request again without asking: retries, and requests that waited.
test('requests in flight or in a queue with a part that has just crashed its third target are not sent any more', () => {
	const deployment = createDeployment();
	const [core] = deployment.group.members as [EntryHarness];
	const crashing = ['bad0', 'bad1', 'bad2', 'bad3', 'bad4', 'bad5', 'bad6', 'bad7'];
	for (const id of crashing) {
		arrive(core, id, [CRASHING_PART]);
	}

	let crashes = 0;
	for (let id = crashing.find(each => targetOf(core, each)); id !== undefined; id = crashing.find(each => targetOf(core, each))) {
		crashes++;
		assert.ok(crashes <= 20, 'requests are sent without end');
		crashTarget(deployment, targetOf(core, id)!);
	}

	assert.ok(crashes <= 3, `${crashes} targets crashed`);
	assert.equal(core.state.open.size, 0);
});

/** Advances while one instance keeps the lease. */
function advanceWithHolder({group}: Deployment, holder: EntryHarness, durationMs: number): void {
	for (let passedMs = 0; passedMs < durationMs; passedMs += 500) {
		holder.holdLease();
		group.advance(500);
	}
}

/** All targets go down while many requests run there, of which none has begun to be answered. */
function crashAll(deployment: Deployment, core: EntryHarness, round: number): void {
	for (let index = 0; index < 12; index++) {
		arrive(core, `r${round}-${index}`, [`subject${index % 3}`], {contentHash: `content ${index % 4}`});
	}

	for (const {id} of deployment.engines.entries) {
		crashTarget(deployment, id);
	}

	for (const id of core.state.open.keys()) {
		core.dispatch({kind: 'caller-left', requestId: id});
	}
}

// Guards against blame for a crash of a whole service, at which all that ran there is suspected together.
test('all targets go down at once, shortly after answers: what ran there is served when they are back', () => {
	const deployment = createDeployment();
	const [core] = deployment.group.members as [EntryHarness];
	for (let subject = 0; subject < 3; subject++) {
		serve(deployment, core, `before ${subject}`, [`subject${subject}`]);
	}

	crashAll(deployment, core, 0);
	for (let subject = 0; subject < 3; subject++) {
		assert.ok(serve(deployment, core, `after ${subject}`, [`subject${subject}`]), `subject${subject}`);
	}
});

// Guards against a quarantine without end of what nearly all requests bring.
test('all targets go down several times, with no answer between: a trial finds that what ran there is sound', () => {
	const deployment = createDeployment();
	const {group} = deployment;
	const [core, peer] = group.members as [EntryHarness, EntryHarness];
	for (let round = 0; round < 5; round++) {
		crashAll(deployment, core, round);
	}

	advanceWithHolder(deployment, core, 16_000);
	assert.ok(serve(deployment, core, 'trial', ['subject0']), 'the lease holder tries');
	group.advance(600);
	assert.ok(serve(deployment, peer, 'after it', ['subject9']), 'another instance serves what shares only the first part');
	core.holdLease();
	assert.ok(serve(deployment, core, 'next trial', ['subject1']), 'each suspect has its own trial');
});

test('a part that still crashes targets costs one more target at each trial, at intervals that grow', () => {
	const deployment = createDeployment();
	const [core, peer] = deployment.group.members as [EntryHarness, EntryHarness];
	for (let index = 0; index < 3; index++) {
		sendCrashing(deployment, peer, `bad${index}`);
	}

	let crashes = 0;
	for (let second = 0; second < 120; second++) {
		advanceWithHolder(deployment, core, 1000);
		crashes += sendCrashing(deployment, core, `again${second}`) + sendCrashing(deployment, peer, `peer${second}`);
	}

	assert.ok(crashes >= 1 && crashes <= 3, `${crashes} crashes in two minutes`);
});

/** Answers all probes with one outcome. */
function answerProbes(core: EntryHarness, effects: readonly EntryEffect[], outcome: 'accepted' | 'refused'): void {
	for (const {targetId, incarnation} of effectsOfKind(effects, 'probe-target')) {
		core.dispatch({
			kind: 'target-probed', targetId, incarnation, outcome,
		});
	}
}

// Guards against taking this instance's own network partition for crashes of all targets.
test('an instance that reaches no target, with all connections reset and refused, blames nothing', () => {
	const {group, engines} = createDeployment();
	const [core] = group.members as [EntryHarness];
	for (let round = 0; round < 4; round++) {
		for (const {id} of engines.entries) {
			arrive(core, `r${round} ${id}`, ['subject0'], {contentHash: 'same'});
		}

		for (const [id, {tries}] of core.state.open) {
			core.dispatch({
				kind: 'try-ended', requestId: id, tryNumber: tries.length, outcome: 'broken', delivered: 0, reason: 'ECONNRESET',
			});
		}

		for (let tick = 0; tick < 20; tick++) {
			answerProbes(core, core.advance(50), 'refused');
			for (const [id, {tries, phase}] of core.state.open) {
				if (phase === 'running') {
					core.dispatch({
						kind: 'try-ended', requestId: id, tryNumber: tries.length, outcome: 'not-sent', isRefused: true, delivered: 0, reason: 'ECONNREFUSED',
					});
				}
			}
		}
	}

	assert.equal(core.state.crashEvidence.digest, 0);
});

// Guards against learning of a crash only from the registry, seconds after it.
test('a target that refuses connections while another one answers has crashed: peers know within 300 ms', () => {
	const {group} = createDeployment();
	const [core, peer] = group.members as [EntryHarness, EntryHarness];
	arrive(core, 'bad', [CRASHING_PART]);
	const targetId = targetOf(core, 'bad')!;
	core.endTry('bad', 1, 'broken');
	arrive(core, 'sound', []);
	const soundAt = targetOf(core, 'sound')!;
	for (let tick = 0; tick < 6; tick++) {
		group.advance(50);
		answerProbes(core, core.effects.splice(0), 'refused');
		core.dispatch({
			kind: 'try-progressed', requestId: 'sound', tryNumber: 1, delivered: tick + 1,
		});
	}

	assert.notEqual(soundAt, targetId);
	assert.equal(core.state.crashEvidence.blame(`part:${CRASHING_PART}`), 1);
	assert.equal(peer.state.crashEvidence.blame(`part:${CRASHING_PART}`), 1);
	assert.equal(core.state.crashEvidence.blame('part:own bad'), 0, 'the last part belongs to the request alone');
});

test('a target that accepts connections has not crashed, whatever its connections did', () => {
	const {group} = createDeployment();
	const [core] = group.members as [EntryHarness];
	arrive(core, 'broken', [CRASHING_PART]);
	core.endTry('broken', 1, 'broken');
	core.effects.length = 0;
	core.advance(100);
	const probes = effectsOfKind(core.effects, 'probe-target');
	assert.equal(probes.length, 1);
	answerProbes(core, probes, 'accepted');
	assert.deepEqual(effectsOfKind(core.advance(1000), 'probe-target'), [], 'nothing is left to learn');
});

// Guards against a path that gives up a silent try for another target without asking.
test('a silent try whose part turns out to crash targets does not move to another one', () => {
	const deployment = createDeployment();
	const {group} = deployment;
	const [core, peer] = group.members as [EntryHarness, EntryHarness];
	arrive(core, 'silent', [CRASHING_PART]);
	for (let index = 0; index < 2; index++) {
		sendCrashing(deployment, peer, `bad${index}`);
	}

	const effects = [...core.effects.splice(0), ...core.advance(3000)];
	const sent = effectsOfKind(effects, 'send').filter(({requestId}) => requestId === 'silent');
	assert.ok(sent.length <= 2, `${sent.length} tries`);
	assert.equal(core.state.open.has('silent'), false);
	assert.equal(effectsOfKind(effects, 'refuse').find(({requestId}) => requestId === 'silent')?.code, 'target-failed', 'it may have run');
});

test('a refusal states when the content may be sent again', () => {
	const deployment = createDeployment();
	const [core] = deployment.group.members as [EntryHarness];
	for (let index = 0; index < 3; index++) {
		sendCrashing(deployment, core, `bad${index}`);
	}

	const [refusal] = effectsOfKind(arrive(core, 'last', [CRASHING_PART]), 'refuse');
	assert.ok(refusal?.retryAfterMs !== undefined && refusal.retryAfterMs > 59 * 60 * 1000 && refusal.retryAfterMs <= 60 * 60 * 1000);
});
