/**
At most one instance may send orders at a time, also when processes are suspended,
responses are lost or the store cannot be reached.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	beacon, EntryHarness, instance, effectsOfKind, targetEntry,
} from '../../../test/standins/entry-harness.js';
import {createBeacon} from './beacon-sender.js';
import {type EntryEffectOf} from './effect.js';
import {holdsLease} from './lease.js';
import {type Beacon} from './peer-messages.js';
import {type LeaseRecord} from './types.js';

/** The lease's row in the store, changed by conditional writes only. */
class LeaseRow {
	revision = 0;
	record: LeaseRecord | undefined;
	/** Above 0 once the store was restored. */
	eraRevision = 0;

	/** Applies a conditional write; returns whether it was applied. */
	write({expectedRevision, record}: EntryEffectOf<'write-lease'>): boolean {
		if (expectedRevision !== this.revision) {
			return false;
		}

		this.revision++;
		this.record = record;
		return true;
	}

	/** Serves an instance's pending reads and writes. With `isLost` the response to a write that was applied is lost. */
	serve(core: EntryHarness, {isLost = false} = {}): void {
		for (const effect of core.effects.splice(0)) {
			const sent = {sentAtMs: core.nowMs, sentAtWallMs: core.nowMs + core.wallOffsetMs};
			if (effect.kind === 'write-lease' && this.write(effect)) {
				core.dispatch({kind: 'lease-request-completed', result: isLost ? {kind: 'unknown'} : {kind: 'written', revision: this.revision, eraRevision: this.eraRevision}, ...sent});
			} else if (effect.kind === 'write-lease' || effect.kind === 'read-lease') {
				core.dispatch({
					kind: 'lease-request-completed', result: {
						kind: 'row', revision: this.revision, record: this.record, eraRevision: this.eraRevision,
					}, ...sent,
				});
			}
		}
	}
}

function holds(core: EntryHarness): boolean {
	return holdsLease({
		state: core.state, nowMs: core.nowMs, wallMs: core.nowMs + core.wallOffsetMs, effects: [],
	}) !== undefined;
}

function beaconOf(core: EntryHarness): Beacon {
	return createBeacon({
		state: core.state, nowMs: core.nowMs, wallMs: core.nowMs + core.wallOffsetMs, effects: [],
	});
}

function run(cores: readonly EntryHarness[], row: LeaseRow, durationMs: number, onTick: () => void = () => undefined): void {
	for (let elapsed = 0; elapsed < durationMs; elapsed += 50) {
		for (const core of cores) {
			core.advance(50);
			row.serve(core);
		}

		onTick();
	}
}

test('exactly one of two instances acquires and keeps the lease', () => {
	const cores = [new EntryHarness(instance('a')), new EntryHarness(instance('b'))];
	const row = new LeaseRow();
	run(cores, row, 5000, () => {
		assert.ok(cores.filter(core => holds(core)).length <= 1);
	});
	assert.equal(cores.filter(core => holds(core)).length, 1);
});

test('a successor waits until the lease of an unreachable holder has expired and its last order has arrived', () => {
	const first = new EntryHarness(instance('a'));
	const second = new EntryHarness(instance('b'));
	const row = new LeaseRow();
	run([first], row, 1000);
	assert.ok(holds(first));
	let lastHeldMs = first.nowMs;
	second.nowMs = first.nowMs;
	for (let elapsed = 0; elapsed < 10_000 && !holds(second); elapsed += 50) {
		// The holder no longer reaches the store but still runs.
		first.advance(50);
		first.effects.length = 0;
		lastHeldMs = holds(first) ? first.nowMs : lastHeldMs;
		second.advance(50);
		row.serve(second);
	}

	assert.ok(holds(second));
	assert.ok(second.nowMs - lastHeldMs >= 3000, `${second.nowMs - lastHeldMs} ms between holders`);
	assert.equal(row.record?.epoch, 2);
});

test('a suspended holder does not rely on its monotonic clock, which was stopped', () => {
	const core = new EntryHarness(instance('a'));
	run([core], new LeaseRow(), 1000);
	assert.ok(holds(core));
	// Only the wall clock advanced during the suspension.
	core.wallOffsetMs += 4000;
	assert.ok(!holds(core));
});

test('a holder keeps the lease when the response to a renewal is lost but the row shows it', () => {
	const core = new EntryHarness(instance('a'));
	const row = new LeaseRow();
	run([core], row, 1000);
	core.advance(650);
	row.serve(core, {isLost: true});
	run([core], row, 700);
	assert.ok(holds(core));
	assert.equal(row.record?.epoch, 1);
});

test('a stopping holder releases the lease', () => {
	const core = new EntryHarness(instance('a'));
	const row = new LeaseRow();
	run([core], row, 1000);
	core.dispatch({kind: 'drain-requested'});
	run([core], row, 1000);
	assert.ok(!holds(core));
	assert.equal(row.record?.isReleased, true);
});

test('the lease expires while the row cannot be written', () => {
	const core = new EntryHarness(instance('a'));
	run([core], new LeaseRow(), 1000);
	const effects = core.advance(3000);
	assert.ok(!holds(core));
	assert.equal(effectsOfKind(effects, 'order').length, 0);
});

test('a holder that steps down because it cannot reach the store is succeeded after the minimum time between two holders, not later', () => {
	const first = new EntryHarness(instance('a'));
	const second = new EntryHarness(instance('b'));
	const row = new LeaseRow();
	run([first], row, 1000);
	second.nowMs = first.nowMs;
	second.dispatch({kind: 'beacon-received', beacon: beaconOf(first)});
	let steppedDownAtMs = 0;
	for (let elapsed = 0; elapsed < 8000 && !holds(second); elapsed += 50) {
		first.advance(50);
		first.effects.length = 0;
		if (!holds(first) && steppedDownAtMs === 0) {
			steppedDownAtMs = first.nowMs;
		}

		second.dispatch({kind: 'beacon-received', beacon: beaconOf(first)});
		second.advance(50);
		row.serve(second);
	}

	assert.ok(holds(second));
	const waitedMs = second.nowMs - steppedDownAtMs;
	assert.ok(waitedMs >= 3000 && waitedMs < 4500, `${waitedMs} ms`);
});

/** Two instances that hear each other and know the same targets, the first of which holds the lease. */
function createHolder(): {holder: EntryHarness; other: EntryHarness; row: LeaseRow; hear: (isHolderCutOff: boolean, isOtherCutOff: boolean) => void} {
	const holder = new EntryHarness({...instance('a'), callerAddress: 'a:3'});
	const other = new EntryHarness({...instance('b'), callerAddress: 'b:3'});
	const row = new LeaseRow();
	for (const core of [holder, other]) {
		core.configure().readRegistry([targetEntry('t1'), targetEntry('t2')]);
	}

	const hear = (isHolderCutOff: boolean, isOtherCutOff: boolean) => {
		const held = holdsLease({
			state: holder.state, nowMs: holder.nowMs, wallMs: holder.nowMs + holder.wallOffsetMs, effects: [],
		});
		other.dispatch({
			kind: 'beacon-received', beacon: beacon({
				from: holder.self, isCutOff: isHolderCutOff, ...(held ? {lease: {holder: holder.self, epoch: held.epoch, ageMs: 0}} : {}),
			}),
		});
		holder.dispatch({kind: 'beacon-received', beacon: beacon({from: other.self, isCutOff: isOtherCutOff})});
	};

	run([holder], row, 2000);
	assert.ok(holds(holder));
	return {
		holder, other, row, hear,
	};
}

function cutOff(core: EntryHarness): void {
	for (const targetId of ['t1', 't2']) {
		core.dispatch({
			kind: 'target-probed', targetId, incarnation: 1, outcome: 'unanswered',
		});
	}
}

// Guards against orders that stand still for as long as the lease holder is cut off from all engines.
test('a holder that reaches no target hands the lease to an instance that does, and does not take it back meanwhile', () => {
	const {holder, other, row, hear} = createHolder();
	cutOff(holder);
	run([holder, other], row, 8000, () => {
		hear(true, false);
		assert.ok([holder, other].filter(core => holds(core)).length <= 1);
	});
	assert.deepEqual([holds(holder), holds(other)], [false, true]);
});

test('a holder that reaches no target keeps the lease where no other instance is known to reach one', () => {
	const {holder, other, row, hear} = createHolder();
	cutOff(holder);
	cutOff(other);
	run([holder, other], row, 8000, () => {
		hear(true, true);
	});
	assert.ok(holds(holder));
});

// Guards against two holders after a restore: an earlier holder found its own old row again and took the lease at once.
test('an earlier holder that finds its own row again in a restored store waits for a later holder', () => {
	const [first, second] = [new EntryHarness(instance('a')), new EntryHarness(instance('b'))];
	const row = new LeaseRow();
	run([first], row, 3000);
	assert.ok(holds(first));
	const copy = {...row.record!};
	second.nowMs = first.nowMs;
	second.dispatch({
		kind: 'lease-request-completed', result: {kind: 'row', revision: row.revision, record: row.record}, sentAtMs: 0, sentAtWallMs: 0,
	});
	run([second], row, 8000);
	assert.ok(holds(second));
	first.nowMs = second.nowMs;
	first.dispatch({kind: 'tick'});
	first.effects.splice(0);
	first.dispatch({kind: 'beacon-received', beacon: beacon({from: second.self, lease: {holder: second.self, epoch: row.record!.epoch, ageMs: 0}})});
	const {epoch} = (row.record!);
	row.record = copy;
	row.revision = 2 ** 40;
	const restoredAtMs = first.nowMs;
	run([first], row, 8000, () => {
		assert.ok(!holds(first) || first.nowMs - restoredAtMs > 4900, `after ${first.nowMs - restoredAtMs} ms`);
	});
	assert.ok(holds(first));
	assert.ok(row.record.epoch > epoch, 'epochs go on rising');
});

// Guards against a holder that is too small for its work in a large deployment, only since its name comes first.
test('of the instances that may succeed a silent holder, a larger one goes first; where all are alike, the first by name', () => {
	for (const {cores: processorCores, successor} of [{cores: [0.2, 0.2, 1.3], successor: 'c'}, {cores: [0.2, 0.2, 0.2], successor: 'b'}, {cores: [undefined, undefined, undefined], successor: 'b'}]) {
		const instances = ['a', 'b', 'c'].map((id, index) => ({...instance(id), processorCores: processorCores[index]}));
		const cores = instances.map(self => new EntryHarness(self));
		const row = new LeaseRow();
		const tell = (senders: readonly EntryHarness[]) => {
			for (const sender of senders) {
				const held = holds(sender);
				for (const other of cores.filter(core => core !== sender)) {
					other.dispatch({
						kind: 'beacon-received', beacon: beacon({from: sender.state.self, ...(held && {lease: {holder: sender.state.self, epoch: sender.state.lease.held!.epoch, ageMs: 0}})}),
					});
				}
			}
		};

		run([cores[0]!], row, 1000);
		assert.ok(holds(cores[0]!));
		tell(cores);
		const others = cores.slice(1);
		run(others, row, 8000, () => {
			tell(others);
		});
		assert.deepEqual(cores.filter(core => holds(core)).map(({state}) => state.self.id).filter(id => id !== 'a'), [successor]);
	}
});

/** Withholds the answers of the store from an instance until it no longer holds the lease; returns its unanswered write and the time at which it was sent. */
function holdUpRenewal(core: EntryHarness): {effect: EntryEffectOf<'write-lease'>; sent: {sentAtMs: number; sentAtWallMs: number}} {
	let renewal: {effect: EntryEffectOf<'write-lease'>; sent: {sentAtMs: number; sentAtWallMs: number}} | undefined;
	while (holds(core)) {
		core.advance(50);
		const [effect] = effectsOfKind(core.effects.splice(0), 'write-lease');
		renewal ??= effect && {effect, sent: {sentAtMs: core.nowMs, sentAtWallMs: core.nowMs + core.wallOffsetMs}};
	}

	return renewal!;
}

// Guards against two holders after a short cut from the store: a renewal that was confirmed late revived a lease that peers knew as ended, and one of them took it over.
test('a renewal that is confirmed after the lease has ended does not revive it beside a successor', () => {
	const [first, second] = [new EntryHarness(instance('a')), new EntryHarness(instance('c', 'south'))];
	const row = new LeaseRow();
	run([first], row, 1000);
	second.nowMs = first.nowMs;
	second.dispatch({kind: 'beacon-received', beacon: beaconOf(first)});
	const {effect, sent} = holdUpRenewal(first);
	second.advance(first.nowMs - second.nowMs);
	row.serve(second);
	second.dispatch({kind: 'beacon-received', beacon: beaconOf(first)});
	row.write(effect);
	first.dispatch({kind: 'lease-request-completed', result: {kind: 'written', revision: row.revision}, ...sent});
	const held = new Map<EntryHarness, number>();
	run([first, second], row, 12_000, () => {
		// Instances of other zones learn of the holder from their peers.
		const {lease} = beaconOf(first);
		second.dispatch({kind: 'beacon-received', beacon: beacon({from: instance('b', 'south'), lease})});
		const holders = [first, second].filter(core => holds(core));
		assert.ok(holders.length <= 1, `both hold the lease at ${first.nowMs} ms`);
		for (const core of holders) {
			held.set(core, core.state.lease.held!.epoch);
		}
	});
	assert.deepEqual([...held.keys()], [first], 'the holder was away for less than a term');
});

// Guards against an epoch that is given out twice: after a restore beside a kill of all instances, only a row from before its first use is left.
test('after a restore of the store nobody gives orders in an epoch that was used before, nor beside a holder that it forgot', () => {
	const eraRevision = 2 ** 40;
	for (const copied of [undefined, holderRecord('a'), holderRecord('b')]) {
		const core = new EntryHarness(instance('a'));
		const startedMs = core.nowMs;
		const row = new LeaseRow();
		row.record = copied;
		row.revision = copied ? eraRevision + 90 : 0;
		row.eraRevision = eraRevision;
		run([core], row, 4850, () => {
			assert.ok(!holds(core), `after ${core.nowMs - startedMs} ms: a holder of the time after the copy may still be valid`);
		});
		run([core], row, 2000);
		assert.ok(holds(core));
		assert.ok(core.state.lease.held!.epoch > eraRevision, 'above all epochs of the era before');
	}
});

function holderRecord(holder: string): LeaseRecord {
	return {
		holder, boot: `${holder}-0`, epoch: 1, isReleased: false,
	};
}
