/**
Copies of the registry over random reads, beacons and pulls, lost or not, restarts and
removals, entries of earlier starts and restores of the store. What an instance's copy
lists at any moment is what the store listed at the revision that the copy names.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import * as fc from 'fast-check';
import {
	beacon as beaconOf, EntryHarness, effectsOfKind, engineEntry, instance,
} from '../../../test/standins/entry-harness.js';
import {type EntryEffect} from './effect.js';
import {knownVersions, transferFor} from './peer-sync.js';
import {type EntryContext} from './state.js';
import {type TargetEntry} from './target.js';

const zones = ['north', 'north', 'north', 'south'];
const TARGETS = 3;
const RUNS = 1000;
const MAX_STEPS = 60;
const BEACON_INTERVAL_MS = 300;
const ERA_REVISIONS = 2 ** 40;

/** Another writer may put back an entry of before the last start. */
const incarnationSteps = {same: 0, next: 1, earlier: -1} as const;

type Step =
	| {readonly kind: 'publish'; readonly target: number; readonly start: keyof typeof incarnationSteps}
	| {readonly kind: 'remove'; readonly target: number}
	| {readonly kind: 'write-elsewhere'}
	| {readonly kind: 'restore'; readonly lostChanges: number}
	| {readonly kind: 'read'; readonly member: number; readonly isWhole: boolean}
	| {readonly kind: 'pull'; readonly member: number; readonly from: number}
	| {readonly kind: 'beacons'; readonly from: readonly number[]; readonly to: readonly number[]; readonly isPullLost: boolean}
	| {readonly kind: 'restart'; readonly member: number};

type Change = {readonly revision: number; readonly id: string; readonly entry: TargetEntry | undefined};

/** The registry as the store keeps it, with all that it has ever listed. */
class History {
	revision = 1;
	/** Revisions below this one are from before the last restore. */
	eraRevision = 0;
	readonly changes: Change[] = [];

	write(id: string, entry: TargetEntry | undefined): void {
		this.revision++;
		this.changes.push({revision: this.revision, id, entry});
	}

	current(id: string): TargetEntry | undefined {
		return this.changes.findLast(change => change.id === id)?.entry;
	}

	/** The store comes back from a copy that lacks the last changes. */
	restore(lostChanges: number): void {
		const copy = this.changes.slice(0, Math.max(0, this.changes.length - lostChanges));
		const ids = new Set(this.changes.map(({id}) => id));
		this.eraRevision += ERA_REVISIONS;
		this.revision = this.eraRevision + (this.revision % ERA_REVISIONS);
		for (const id of ids) {
			this.changes.push({revision: this.revision, id, entry: copy.findLast(change => change.id === id)?.entry});
		}
	}

	/** The last change of each target in a range of revisions. */
	changedIn(afterRevision: number, untilRevision = this.revision): Change[] {
		const changes = this.changes.filter(({revision}) => revision > afterRevision && revision <= untilRevision);
		return [...new Map(changes.map(change => [change.id, change])).values()];
	}

	listedAt(revision: number): TargetEntry[] {
		return this.changedIn(0, revision).map(({entry}) => entry).filter(entry => entry !== undefined);
	}
}

type Member = {core: EntryHarness; starts: number; feedRevision: number};

class Fleet {
	readonly history = new History();
	readonly members: Member[];
	private _sequence = 0;

	constructor() {
		this.members = zones.map((_, index) => ({core: this._start(index, 1, 1000), starts: 1, feedRevision: 0}));
		this._introduce();
	}

	play(step: Step): void {
		this._handlers[step.kind](step as never);
	}

	/** What the copies list that the store did not list at their revisions, and the other way round. */
	faults(): string[] {
		return this.members.flatMap(({core: {self, state}}) => {
			const held = describe([...state.targets.values()].filter(({isInRegistry}) => isInRegistry).map(({listed}) => listed));
			const stored = describe(state.registry.revision === 0 ? [] : this.history.listedAt(state.registry.revision));
			const unlisted = [...state.targets.values()].filter(({unlistedFromMs, isInRegistry}) => unlistedFromMs === undefined && !isInRegistry);
			return held === stored && unlisted.length === 0 ? [] : [`${self.id} at revision ${state.registry.revision} lists [${held}], the store listed [${stored}], and [${describe(unlisted.map(({entry}) => entry))}] are in use unlisted`];
		});
	}

	private readonly _handlers: {readonly [Kind in Step['kind']]: (step: Extract<Step, {kind: Kind}>) => void} = {
		publish: ({target, start}) => {
			const id = `e${target}`;
			const last = this.history.changes.findLast(change => change.id === id && change.entry)?.entry?.incarnation ?? 1;
			this._sequence++;
			this.history.write(id, engineEntry(id, ['m0'], {incarnation: last + incarnationSteps[start], sequence: this._sequence}));
		},
		remove: ({target}) => {
			if (this.history.current(`e${target}`)) {
				this.history.write(`e${target}`, undefined);
			}
		},
		'write-elsewhere': () => {
			this.history.revision++;
		},
		restore: ({lostChanges}) => {
			this.history.restore(lostChanges);
		},
		read: ({member, isWhole}) => {
			const reader = this.members[member]!;
			const {core} = reader;
			const isFullSnapshot = isWhole || reader.feedRevision <= this.history.eraRevision;
			const changes = isFullSnapshot ? [] : this.history.changedIn(reader.feedRevision);
			reader.feedRevision = this.history.revision;
			core.dispatch({
				kind: 'registry-read',
				revision: this.history.revision,
				entries: isFullSnapshot ? this.history.listedAt(this.history.revision) : changes.map(({entry}) => entry).filter(entry => entry !== undefined),
				removed: changes.filter(({entry}) => !entry).map(({id}) => id),
				isFullSnapshot,
				eraRevision: this.history.eraRevision,
				sentAtMs: core.nowMs,
				storeMs: core.storeMs,
			});
		},
		pull: ({member, from}) => {
			this._pull(this.members[member]!.core, this.members[from]!.core);
		},
		beacons: ({from, to, isPullLost}) => {
			for (const [index, {core}] of this.members.entries()) {
				const effects = core.advance(BEACON_INTERVAL_MS);
				for (const {addresses, beacon} of from.includes(index) ? effectsOfKind(effects, 'beacon') : []) {
					for (const receiver of to.map(reached => this.members[reached]!.core).filter(({self}) => addresses.includes(self.beaconAddress))) {
						const reactions = receiver.dispatch({kind: 'beacon-received', beacon: structuredClone(beacon)});
						this._answerPulls(receiver, isPullLost ? [] : reactions);
					}
				}
			}
		},
		restart: ({member}) => {
			const {core, starts} = this.members[member]!;
			this.members[member] = {core: this._start(member, starts + 1, core.nowMs), starts: starts + 1, feedRevision: 0};
			this._introduce();
		},
	};

	private _start(index: number, starts: number, startMs: number): EntryHarness {
		return new EntryHarness({...instance(`i${index}`, zones[index]), boot: `i${index}-${starts}`}, {startMs}).configure();
	}

	private _introduce(): void {
		const instances = this.members.map(({core}) => core.self);
		for (const {core} of this.members) {
			core.dispatch({kind: 'instances-read', instances});
		}
	}

	private _pull(receiver: EntryHarness, sender: EntryHarness): void {
		const transfer = transferFor(contextOf(sender), knownVersions(contextOf(receiver)));
		this._answerPulls(receiver, receiver.dispatch({kind: 'pull-completed', transfer: structuredClone(transfer)}));
	}

	private _answerPulls(receiver: EntryHarness, effects: readonly EntryEffect[]): void {
		for (const {address} of effectsOfKind(effects, 'pull')) {
			this._pull(receiver, this.members.find(({core}) => core.self.address === address)!.core);
		}
	}
}

function describe(entries: readonly TargetEntry[]): string {
	return entries.map(({id, incarnation, sequence}) => `${id}/${incarnation}/${sequence}`).toSorted().join(' ');
}

function contextOf({state, nowMs, wallOffsetMs}: EntryHarness): EntryContext {
	return {
		state, nowMs, wallMs: nowMs + wallOffsetMs, effects: [],
	};
}

const member = fc.nat({max: zones.length - 1});
const target = fc.nat({max: TARGETS - 1});
const step: fc.Arbitrary<Step> = fc.oneof(
	{weight: 4, arbitrary: fc.record({kind: fc.constant('publish'), target, start: fc.constantFrom('same', 'next', 'earlier')})},
	{weight: 3, arbitrary: fc.record({kind: fc.constant('remove'), target})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('write-elsewhere')})},
	{weight: 6, arbitrary: fc.record({kind: fc.constant('read'), member, isWhole: fc.boolean()})},
	{weight: 3, arbitrary: fc.record({kind: fc.constant('pull'), member, from: member})},
	{
		weight: 6, arbitrary: fc.record({
			kind: fc.constant('beacons'), from: fc.uniqueArray(member), to: fc.uniqueArray(member), isPullLost: fc.boolean(),
		}),
	},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('restart'), member})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('restore'), lostChanges: fc.nat({max: 4})})},
);

function play(steps: readonly Step[]): void {
	const fleet = new Fleet();
	for (const [index, played] of steps.entries()) {
		fleet.play(played);
		assert.deepEqual(fleet.faults(), [], `after step ${index}: ${JSON.stringify(played)}`);
	}
}

// Guards against targets that have left and stay in use: one instance does not know of a removal, and what it passes on counts as all that has changed.
test('a copy of the registry lists what the store listed at its revision, whatever is read, pulled or lost and whoever restarts', () => {
	fc.assert(fc.property(fc.array(step, {minLength: 10, maxLength: MAX_STEPS, size: 'max'}), play), {numRuns: RUNS, seed: 76});
});

const publish = (index: number): Step => ({kind: 'publish', target: index, start: 'same'});
const read = (index: number, isWhole = false): Step => ({kind: 'read', member: index, isWhole});
const pull = (index: number, from: number): Step => ({kind: 'pull', member: index, from});
const beacon = (from: number, to: number): Step => ({
	kind: 'beacons', from: [from], to: [to], isPullLost: true,
});
/** All hear of each other, so that they send each other beacons from then on. */
const meet: Step = {
	kind: 'beacons', from: [...zones.keys()], to: [...zones.keys()], isPullLost: true,
};
const remove = (index: number): Step => ({kind: 'remove', target: index});

const paths: ReadonlyArray<readonly [name: string, steps: readonly Step[]]> = [
	['has started after the removal', [publish(0), publish(1), read(0), read(1), remove(0), {kind: 'restart', member: 0}, read(0), pull(1, 0)]],
	['has not known the target', [publish(1), read(0), publish(0), read(1), remove(0), read(0), pull(1, 0)]],
	['read the whole registry before and after the target was there', [publish(1), read(0), publish(0), read(1), remove(0), read(0, true), pull(1, 0)]],
	['has learned from a beacon that its copy is current', [publish(1), read(0), read(2), meet, publish(0), read(1), remove(0), read(2), beacon(2, 0), pull(1, 0)]],
	['has adopted the change that a beacon carried', [publish(1), read(0), read(2), meet, publish(0), read(1), remove(0), publish(2), read(2), beacon(2, 0), pull(1, 0)]],
];

for (const [name, steps] of paths) {
	// Guards against requests at a target that has left: each is a way to a copy whose holder knows nothing of a removal that the puller lacks.
	test(`an instance that pulls learns of a removal from one that ${name}`, () => {
		play(steps);
	});
}

/** Two instances that hold the same revision, of which one lists a target that the store did not list then. */
function createDiffering(idOfFaulty: 'a' | 'b'): {faulty: EntryHarness; other: EntryHarness} {
	const [a, b] = ['a', 'b'].map(id => new EntryHarness(instance(id)).configure());
	const [faulty, other] = idOfFaulty === 'a' ? [a!, b!] : [b!, a!];
	other.readRegistry([engineEntry('e0', ['m0'])]);
	faulty.readRegistry([engineEntry('e0', ['m0']), engineEntry('e1', ['m0'])]);
	return {faulty, other};
}

function hear(receiver: EntryHarness, sender: EntryHarness): EntryEffect[] {
	const {revision, digest, asOfStoreMs} = sender.state.registry;
	return receiver.dispatch({
		kind: 'beacon-received', beacon: beaconOf({
			from: sender.self, registry: {
				revision, digest, asOfStoreMs, isRead: true,
			},
		}),
	});
}

// Guards against two copies of one revision that differ for good, since a pull is asked for only where the other revision is later.
test('of two instances with different copies of one revision the one that reads for the other reads the whole registry, once in a while', () => {
	const {faulty, other} = createDiffering('a');
	assert.deepEqual(effectsOfKind(hear(faulty, other), 'pull'), []);
	const reads = effectsOfKind(faulty.advance(1000), 'read-registry');
	assert.equal(reads[0]?.isWhole, true);
	faulty.readRegistry([engineEntry('e0', ['m0'])]);
	assert.equal(faulty.state.registry.digest, other.state.registry.digest);
	assert.equal(effectsOfKind(faulty.advance(100), 'read-registry').length, 0);
	assert.equal(effectsOfKind(faulty.effects, 'log').filter(({event}) => event === 'registry-copies-differ').length, 1);
});

// Guards against the same, and against a pull of everything with each beacon while an entry is read differently.
test('of two instances with different copies of one revision the other one pulls the whole registry, but not with every beacon', () => {
	const {faulty, other} = createDiffering('b');
	const [pulled] = effectsOfKind(hear(faulty, other), 'pull');
	assert.equal(pulled?.known.registryRevision, 0);
	faulty.dispatch({kind: 'pull-completed', transfer: transferFor(contextOf(other), pulled.known)});
	assert.equal(faulty.state.registry.digest, other.state.registry.digest);
	faulty.readRegistry([engineEntry('e2', ['m0'])]);
	other.readRegistry([engineEntry('e0', ['m0'])]);
	faulty.advance(1000);
	assert.deepEqual(effectsOfKind(hear(faulty, other), 'pull'), []);
	faulty.advance(10_000);
	assert.equal(effectsOfKind(hear(faulty, other), 'pull').length, 1);
});

// Guards against a change that is taken from an instance of an earlier release, which passes on too little and no digest.
test('a change without a digest is not adopted: all entries are pulled', () => {
	const {faulty: receiver, other: sender} = createDiffering('b');
	sender.readRegistry([engineEntry('e0', ['m0'])]);
	receiver.dispatch({kind: 'instances-read', instances: [sender.self]});
	const {digest, ...registry} = transferFor(contextOf(sender), knownVersions(contextOf(receiver))).registry!;
	assert.notEqual(digest, undefined);
	const [pulled] = effectsOfKind(receiver.dispatch({kind: 'pull-completed', transfer: {instances: [sender.self], registry}}), 'pull');
	assert.equal(pulled?.known.registryRevision, 0);
	const {digest: _, ...whole} = transferFor(contextOf(sender), pulled.known).registry!;
	receiver.dispatch({kind: 'pull-completed', transfer: {instances: [sender.self], registry: whole}});
	assert.equal(receiver.state.registry.digest, sender.state.registry.digest);
});
