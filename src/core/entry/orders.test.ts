/**
Orders to engines: memory is never overcommitted when orders or answers are lost or
delayed, adapters are loaded on demand, and loads stay within the weight store's rate.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	beacon, configuration, engineEntry, EntryHarness, effectsOfKind, instance,
} from '../../../test/standins/entry-harness.js';
import {type EntryEffect, type EntryEffectOf} from './effect.js';
import {type LeaseResult} from './event.js';
import {OrderTracker} from './order-tracker.js';
import {type TargetReport} from './target.js';
import {type LeaseRecord} from './types.js';

/** Engine in memory that executes conditional orders and accounts for its memory. */
class InMemoryEngine {
	sequence = 0;
	readonly models: Set<string>;
	readonly adapters = new Set<string>();
	/** Adapters in transfer. They occupy places, but an unload finds them absent and answers `holds`. */
	readonly incoming = new Set<string>();
	hasSlowTransfers = false;
	loading: string | undefined;
	/** The model that is unloaded once nothing runs on it; immediately unless unloads are slow. */
	unloading: string | undefined;
	hasSlowUnloads = false;
	/** Whether another engine has taken its address, and declines orders to it. */
	isReplaced = false;
	conflicts = 0;
	declined = 0;
	/** Orders that are executed later. */
	readonly delayed: Array<EntryEffectOf<'order'>> = [];

	constructor(models: readonly string[]) {
		this.models = new Set(models);
	}

	/** Whether it executes an order for a model and accepts no other. */
	get isBusy(): boolean {
		return this.loading !== undefined || this.unloading !== undefined;
	}

	get usedMb(): number {
		return (new Set([...this.models, ...(this.loading ? [this.loading] : [])]).size * 400) + (this.adapters.size * 10);
	}

	handleOrder({order}: EntryEffectOf<'order'>): 'accepted' | 'holds' | 'conflict' | 'declined' {
		const name = `${order.model}/${order.adapter}`;
		if (this.isReplaced) {
			this.declined++;
			return 'declined';
		}

		if (order.expectedSequence !== this.sequence || this.isBusy) {
			this.conflicts++;
			return 'conflict';
		}

		if (this.incoming.has(name)) {
			return 'holds';
		}

		const isHeld = order.adapter === undefined ? this.models.has(order.model) : this.adapters.has(name);
		if (isHeld === (order.kind === 'load')) {
			return 'holds';
		}

		this.sequence++;
		if (order.adapter !== undefined) {
			this.adapters.delete(name);
			if (order.kind === 'unload') {
				return 'holds';
			}

			(this.hasSlowTransfers ? this.incoming : this.adapters).add(name);
		} else if (order.kind === 'load') {
			this.loading = order.model;
		} else if (this.hasSlowUnloads) {
			this.unloading = order.model;
		} else {
			this.models.delete(order.model);
		}

		return 'accepted';
	}

	/** Completes the load or unload that is in progress. */
	completeMove(): void {
		if (this.loading !== undefined) {
			this.models.add(this.loading);
		} else if (this.unloading !== undefined) {
			this.models.delete(this.unloading);
		}

		this.loading = undefined;
		this.unloading = undefined;
	}

	completeTransfers(): void {
		for (const name of this.incoming) {
			this.adapters.add(name);
		}

		this.incoming.clear();
	}

	report(): TargetReport {
		return {
			incarnation: this.isReplaced ? 2 : 1,
			sequence: this.sequence,
			isBusy: this.isBusy,
			running: 0,
			waiting: 0,
			copies: [...this.models].map(model => ({model, version: 1, adapters: [...this.adapters].filter(name => name.startsWith(`${model}/`)).map(name => name.split('/')[1]!)})),
			adaptersInTransfer: [...this.incoming],
			inMemory: [],
			onDisk: [],
		};
	}
}

type DeploymentOptions = {
	/** Decides the fate of an order: answered, answer lost, or answer lost and order executed later. */
	readonly orderFate?: () => 'answered' | 'lost' | 'late';
};

function serve(core: EntryHarness, engines: ReadonlyMap<string, InMemoryEngine>, {orderFate = () => 'answered'}: DeploymentOptions = {}): void {
	for (const effect of core.effects.splice(0)) {
		if (effect.kind === 'read-report') {
			core.dispatch({kind: 'report-read', targetId: effect.targetId, report: engines.get(effect.targetId)?.report()});
		} else if (effect.kind === 'order') {
			const engine = engines.get(effect.targetId)!;
			const fate = orderFate();
			if (fate === 'late') {
				engine.delayed.push(effect);
			}

			const outcome = fate === 'late' ? 'lost' : engine.handleOrder(effect);
			core.dispatch({
				kind: 'order-answered', targetId: effect.targetId, orderNumber: effect.orderNumber, outcome: fate === 'answered' ? outcome : 'lost',
			});
		} else if (effect.kind === 'tell-adapter' && effect.callId === undefined) {
			core.dispatch({
				kind: 'adapter-resolved', targetId: effect.targetId, name: effect.name, isHeld: effect.isHeld, sequence: effect.sequence,
			});
		} else if (effect.kind === 'write-lease') {
			core.dispatch({
				kind: 'lease-request-completed', result: {kind: 'written', revision: effect.expectedRevision + 1}, sentAtMs: core.nowMs, sentAtWallMs: core.nowMs + core.wallOffsetMs,
			});
		}
	}
}

function createDeployment(models: ReadonlyArray<readonly string[]>): {core: EntryHarness; engines: Map<string, InMemoryEngine>} {
	const core = new EntryHarness().configure().readRegistry(models.map((held, index) => engineEntry(`e${index}`, held)));
	core.holdLease();
	return {core, engines: new Map(models.map((held, index) => [`e${index}`, new InMemoryEngine(held)]))};
}

function run({core, engines}: ReturnType<typeof createDeployment>, durationMs: number, options: DeploymentOptions = {}, onTick: () => void = () => undefined): void {
	for (let elapsed = 0; elapsed < durationMs; elapsed += 50) {
		core.advance(50);
		for (let round = 0; round < 5; round++) {
			serve(core, engines, options);
		}

		onTick();
	}
}

test('an adapter that no target holds is loaded before the request is sent', () => {
	const deployment = createDeployment([['m0', 'm1'], ['m2', 'm3']]);
	run(deployment, 1000);
	deployment.core.arrive('r', '/ask/1', {model: 'm0', adapter: 'a1'});
	assert.equal(deployment.core.state.targets.get('e0')?.inFlight.size, 0);
	run(deployment, 100);
	assert.deepEqual([...deployment.engines.get('e0')!.adapters], ['m0/a1']);
	assert.equal(deployment.core.state.targets.get('e0')?.inFlight.size, 1);
});

test('the least recently used adapters are evicted, and an engine never holds more than it has places', () => {
	const deployment = createDeployment([['m0', 'm1'], ['m2', 'm3']]);
	run(deployment, 1000);
	for (const adapter of ['a1', 'a2', 'a3', 'a4']) {
		deployment.core.arrive(adapter, '/ask/1', {model: 'm0', adapter});
		run(deployment, 400, {}, () => {
			assert.ok(deployment.engines.get('e0')!.adapters.size <= 2);
		});
		deployment.core.endTry(adapter, 1, 'answered');
	}

	assert.ok(deployment.engines.get('e0')!.adapters.has('m0/a4'));
});

test('an adapter still in transfer does not count as unloaded, so no place is assigned twice', () => {
	const deployment = createDeployment([['m0', 'm1'], ['m2', 'm3']]);
	run(deployment, 1000);
	const engine = deployment.engines.get('e0')!;
	engine.hasSlowTransfers = true;
	let requestCount = 0;
	run(deployment, 6000, {}, () => {
		assert.ok(engine.adapters.size + engine.incoming.size <= 2, [...engine.adapters, ...engine.incoming].join(', '));
		if (deployment.core.nowMs % 150 === 0) {
			engine.completeTransfers();
		}

		requestCount++;
		const adapter = `a${(requestCount % 5) + 1}`;
		const id = `r${requestCount}`;
		deployment.core.arrive(id, '/ask/1', {model: 'm0', adapter});
		deployment.core.dispatch({kind: 'caller-left', requestId: id});
	});
	assert.ok(deployment.core.state.orderTracker.lastOrderNumber > 20, `${deployment.core.state.orderTracker.lastOrderNumber} orders`);
});

test('models without a copy are loaded into free memory on both engines', () => {
	const deployment = createDeployment([['m0'], ['m1']]);
	run(deployment, 500);
	for (const engine of deployment.engines.values()) {
		assert.ok(engine.loading === undefined || engine.loading === 'm2' || engine.loading === 'm3');
	}

	assert.equal([...deployment.engines.values()].filter(({loading}) => loading).length, 2);
});

// What a holder keeps over the loss of its lease must not let it give out memory twice.
for (const lapseShare of [0, 0.02]) {
	test(`memory is never overcommitted when orders are lost or executed late${lapseShare > 0 ? ' and the holder loses its lease and takes it again' : ''}`, () => {
		checkMemory(lapseShare);
	});
}

/** `lapseShare`: share of the ticks before which the holder is held up until its lease has ended. */
function checkMemory(lapseShare: number): void {
	for (let seed = 1; seed <= 30; seed++) {
		let state = seed;
		const random = () => {
			state = (state * 48_271) % 2_147_483_647;
			return state / 2_147_483_647;
		};

		const deployment = createDeployment([['m0'], ['m1'], ['m2']]);
		const orderFate = () => {
			const share = random();
			return share < 0.3 ? 'late' : (share < 0.5 ? 'lost' : 'answered');
		};

		run(deployment, 12_000, {orderFate}, () => {
			if (lapseShare > 0 && random() < lapseShare) {
				deployment.core.nowMs += 1600;
			}

			for (const engine of deployment.engines.values()) {
				assert.ok(engine.usedMb <= 1000, `seed ${seed}: ${engine.usedMb} MB`);
				if (engine.delayed.length > 0 && random() < 0.1) {
					engine.handleOrder(engine.delayed.shift()!);
				}

				if (engine.loading && random() < 0.05) {
					engine.models.add(engine.loading);
					engine.loading = undefined;
				}
			}

			const ids = ['m0', 'm1', 'm2', 'm3'];
			const id = ids[Math.floor(random() * 4)]!;
			const name = `r${deployment.core.nowMs}`;
			deployment.core.arrive(name, '/ask/1', {model: id});
			deployment.core.dispatch({kind: 'caller-left', requestId: name});
		});
		const held = new Set([...deployment.engines.values()].flatMap(({models}) => [...models]));
		assert.ok(held.has('m0') && held.has('m1') && held.has('m2'), `seed ${seed}: the last copy of a model was unloaded`);
		assert.ok(lapseShare === 0 || deployment.core.state.lease.endedEpoch > 0, `seed ${seed}: the lease was never lost`);
	}
}

test('loads from the weight store stay within its rate', () => {
	const deployment = createDeployment([[], [], [], [], [], [], [], []]);
	const started: number[] = [];
	run(deployment, 8000, {}, () => {
		for (const engine of deployment.engines.values()) {
			if (engine.loading && !engine.models.has(engine.loading)) {
				started.push(deployment.core.nowMs);
				engine.models.add(engine.loading);
				engine.loading = undefined;
			}
		}
	});
	for (const from of started) {
		const inWindow = started.filter(at => at >= from && at < from + 5000).length;
		assert.ok(inWindow <= (2 * 5 * 1.1) + 3, `${inWindow} loads in a window`);
	}
});

test('no orders are sent without the lease', () => {
	const core = new EntryHarness().configure().readRegistry([engineEntry('e0', ['m0'])]);
	core.arrive('r', '/ask/1', {model: 'm0', adapter: 'a1'});
	const effects = core.advance(400);
	assert.equal(effectsOfKind(effects, 'order').length, 0);
});

test('all pending adapter requests of peers are answered when the lease is lost', () => {
	const core = new EntryHarness().configure().readRegistry([engineEntry('e0', ['m0'])]).holdLease();
	for (const callId of [1, 2]) {
		core.dispatch({
			kind: 'adapter-requested', callId, targetId: 'e0', model: 'm0', adapter: 'a1',
		});
	}

	const replies = effectsOfKind(core.advance(2500), 'tell-adapter');
	assert.deepEqual(replies.map(({callId, isHeld}) => [callId, isHeld]), [[1, false], [2, false]]);
	assert.deepEqual([...core.state.orderTracker.targets.values()].map(({adapterLoads}) => adapterLoads.length), [0]);
	core.dispatch({kind: 'beacon-received', beacon: beacon({lease: {holder: instance('b'), epoch: 2, ageMs: 0}})});
	core.advance(50);
	assert.equal(core.state.orderTracker.targets.size, 0);
});

test('adapters are ordered all the time; a planned swap of models is still ordered soon, and memory is never overcommitted', () => {
	const deployment = createDeployment([['m0', 'm1']]);
	const {core, engines} = deployment;
	const engine = engines.get('e0')!;
	run(deployment, 1000);
	const beganAtMs = core.nowMs;
	let unloadedAtMs: number | undefined;
	for (let step = 0; core.nowMs < beganAtMs + 4000; step++) {
		core.dispatch({
			kind: 'adapter-requested', callId: step, targetId: 'e0', model: 'm0', adapter: `a${step % 5}`,
		});
		core.arrive(`w${step}`, '/ask/1', {model: 'm3', deadlineMs: 20_000});
		run(deployment, 100);
		unloadedAtMs ??= engine.models.size < 2 ? core.nowMs : undefined;
		assert.ok(engine.usedMb <= 1000);
	}

	assert.ok(unloadedAtMs !== undefined && unloadedAtMs - beganAtMs <= 1500, `the copy that makes way was unloaded after ${(unloadedAtMs ?? Number.POSITIVE_INFINITY) - beganAtMs} ms`);
});

// Guards against orders that an engine cannot accept: each one took what was known of the engine, and kept requests waiting that were refused in the end.
test('no adapter is ordered from an engine that loads a model: whoever asks for one is told at once, and it is loaded once the model is', () => {
	const deployment = createDeployment([['m0'], ['m1']]);
	const {core, engines} = deployment;
	const engine = engines.get('e0')!;
	run(deployment, 500);
	assert.ok(engine.loading !== undefined);
	for (const callId of [1, 2, 3]) {
		core.dispatch({
			kind: 'adapter-requested', callId, targetId: 'e0', model: 'm0', adapter: 'a1',
		});
		const replies = effectsOfKind(core.effects, 'tell-adapter').filter(reply => reply.callId === callId);
		assert.deepEqual(replies.map(({isHeld}) => isHeld), [false], `call ${callId}`);
		run(deployment, 100);
	}

	engine.completeMove();
	run(deployment, 3000);
	core.dispatch({
		kind: 'adapter-requested', callId: 4, targetId: 'e0', model: 'm0', adapter: 'a1',
	});
	run(deployment, 200);
	assert.deepEqual([...engine.adapters], ['m0/a1']);
	assert.equal(engine.conflicts, 0, 'orders that the engine could not accept');
});

// Guards against swaps of models that wait for the answers to orders for adapters, and against orders for adapters during an unload.
test('adapters that are asked for during an unload are ordered after it, before the load that follows', () => {
	const deployment = createDeployment([['m0', 'm1']]);
	const {core, engines} = deployment;
	const engine = engines.get('e0')!;
	engine.hasSlowUnloads = true;
	run(deployment, 1000);
	for (let step = 0; step < 20 && engine.unloading === undefined; step++) {
		core.arrive(`w${step}`, '/ask/1', {model: 'm3', deadlineMs: 20_000});
		run(deployment, 100);
	}

	assert.ok(engine.unloading !== undefined);
	run(deployment, 1000);
	const model = [...engine.models].find(name => name !== engine.unloading)!;
	core.dispatch({
		kind: 'adapter-requested', callId: 1, targetId: 'e0', model, adapter: 'a1',
	});
	run(deployment, 300);
	assert.equal(engine.adapters.size, 0);
	engine.completeMove();
	run(deployment, 600);
	assert.deepEqual([...engine.adapters], [`${model}/a1`]);
	assert.equal(engine.loading, 'm3');
	assert.equal(engine.conflicts, 0, 'orders that the engine could not accept');
});

// Guards against requests that are refused shortly before an engine takes orders again, instead of waiting that long.
test('an adapter that is asked for shortly before a load is complete is ordered after it', () => {
	const deployment = createDeployment([['m0'], ['m1']]);
	const {core, engines} = deployment;
	const engine = engines.get('e0')!;
	run(deployment, 1500);
	assert.ok(engine.loading !== undefined);
	core.dispatch({
		kind: 'adapter-requested', callId: 1, targetId: 'e0', model: 'm0', adapter: 'a1',
	});
	assert.equal(effectsOfKind(core.effects, 'tell-adapter').length, 0, 'declined at once');
	run(deployment, 1400);
	engine.completeMove();
	core.dispatch({
		kind: 'adapter-requested', callId: 2, targetId: 'e0', model: 'm0', adapter: 'a1',
	});
	run(deployment, 1000);
	assert.deepEqual([...engine.adapters], ['m0/a1']);
});

// Guards against evictions that are ordered again as fast as they are declined, 130 times in 0.6 s, from an engine that has been replaced.
test('an engine that declines the eviction of an adapter is asked for its report before the next order', () => {
	const deployment = createDeployment([['m0', 'm1']]);
	const {core, engines} = deployment;
	const engine = engines.get('e0')!;
	run(deployment, 1000);
	for (const [callId, adapter] of ['a1', 'a2', 'a3', 'a4'].entries()) {
		engine.isReplaced = adapter === 'a3' || adapter === 'a4';
		core.dispatch({
			kind: 'adapter-requested', callId, targetId: 'e0', model: 'm0', adapter,
		});
		run(deployment, 500);
	}

	assert.ok(engine.declined > 0 && engine.declined <= 4, `${engine.declined} declined orders in a second`);
});

// Guards against evictions of adapters in use: the engine accepts no other order until their streams have ended, 10 s in one case.
test('adapters that requests of any instance use are not evicted; the next one gets the first place that none uses', () => {
	const deployment = createDeployment([['m0', 'm1']]);
	const {core, engines} = deployment;
	const engine = engines.get('e0')!;
	const announcePeer = () => {
		core.dispatch({
			kind: 'beacon-received', beacon: beacon({
				demand: [{
					service: 'llm', model: 'm0', arrivalsPerSecond: 0, busyShare: 0, open: 1, waiting: 0, objectiveMs: 200, adapters: [], runningAdapters: [['e0', 'a2']],
				}],
			}),
		});
	};

	run(deployment, 1000);
	core.arrive('own', '/ask/1', {model: 'm0', adapter: 'a1', deadlineMs: 20_000});
	core.dispatch({
		kind: 'adapter-requested', callId: 1, targetId: 'e0', model: 'm0', adapter: 'a2',
	});
	run(deployment, 500, {}, announcePeer);
	core.dispatch({
		kind: 'adapter-requested', callId: 2, targetId: 'e0', model: 'm0', adapter: 'a3',
	});
	run(deployment, 500, {}, announcePeer);
	assert.deepEqual([...engine.adapters], ['m0/a1', 'm0/a2']);
	core.endTry('own', 1, 'answered');
	run(deployment, 200, {}, announcePeer);
	assert.deepEqual([...engine.adapters], ['m0/a2', 'm0/a3']);
});

test('the weight store\'s rate holds for each service by itself', () => {
	const tracker = new OrderTracker();
	for (const service of ['small', 'large']) {
		tracker.refillStoreLoads(service, 0, 0.6);
	}

	assert.deepEqual([tracker.takeStoreLoad('small'), tracker.takeStoreLoad('small')], [true, false]);
	assert.equal(tracker.takeStoreLoad('large'), true, 'loads of another service are not taken from its rate');
});

// An engine that loaded a model when the lease changed hands was left out of the plan until a request needed an adapter there, so rare models had no engine to go to.
test('an engine that executes an order of an earlier holder is planned for once it is idle', () => {
	const deployment = createDeployment([[], ['m0', 'm1']]);
	const engine = deployment.engines.get('e0')!;
	engine.sequence = 1;
	engine.loading = 'm2';
	run(deployment, 1000);
	engine.completeMove();
	run(deployment, 2000);
	assert.equal(engine.loading, 'm3');
});

/** Has a holder renew too late and take the lease again, where the row shows `before` until then; returns the effects of the next half second. With `isLost` the answer to the first write, which is applied, is lost. */
function retakeLease(core: EntryHarness, before: LeaseRecord, {isLost = false} = {}): EntryEffect[] {
	const answer = (result: LeaseResult) => {
		core.dispatch({
			kind: 'lease-request-completed', result, sentAtMs: core.nowMs, sentAtWallMs: core.nowMs + core.wallOffsetMs,
		});
	};

	core.nowMs += 2000;
	core.advance(50);
	answer({kind: 'row', revision: 6, record: before});
	const [write] = effectsOfKind(core.advance(6000), 'write-lease');
	assert.ok(write);
	if (isLost) {
		answer({kind: 'unknown'});
		core.advance(1000);
		answer({kind: 'row', revision: 7, record: write.record});
		core.advance(1000);
	}

	answer({kind: 'written', revision: 8});
	return core.advance(500);
}

// A holder that was late lost its lease every two seconds, and forgot each time for how long models had been missing, so rare ones never had their turn.
test('a holder that takes its own lease again goes on with what it knew', () => {
	const {core, ...deployment} = createDeployment([['m0', 'm1'], ['m0', 'm2']]);
	run({core, ...deployment}, 1000);
	core.effects.length = 0;
	assert.equal(core.state.orderTracker.missingForMs('llm m3', false, core.nowMs), 0);
	const missingSinceMs = core.nowMs;
	const effects = retakeLease(core, {
		holder: 'a', boot: 'a-1', epoch: 1, isReleased: false,
	});
	assert.equal(effectsOfKind(effects, 'read-report').length, 0);
	assert.equal(core.state.orderTracker.missingForMs('llm m3', false, core.nowMs), core.nowMs - missingSinceMs);
});

// As above: a late holder also gets the answers to its writes too late.
test('a holder goes on with what it knew when the answer to taking its own lease again is lost', () => {
	const {core, ...deployment} = createDeployment([['m0', 'm1'], ['m0', 'm2']]);
	run({core, ...deployment}, 1000);
	core.effects.length = 0;
	const effects = retakeLease(core, {
		holder: 'a', boot: 'a-1', epoch: 1, isReleased: false,
	}, {isLost: true});
	assert.equal(core.state.lease.held?.epoch, 3);
	assert.equal(effectsOfKind(effects, 'read-report').length, 0);
});

// Copies that were still being unloaded took up all loads that may start from the weight store now, so two swaps at a time were under way in the whole deployment.
test('swaps are begun at the weight store\'s rate while earlier ones wait for their unloads, and loads stay within it', () => {
	const names = Array.from({length: 10}, (_, index) => `m${index}`);
	const {services} = configuration();
	const llm = services.get('llm')!;
	const models = new Map(names.map(name => [name, {...llm.engine!.models.get('m0')!, name}]));
	const perSecond = 8;
	const held = Array.from({length: 8}, () => ['m0', 'm1']);
	const core = new EntryHarness()
		.configure({services: new Map([...services, ['llm', {...llm, engine: {...llm.engine!, loadsPerSecond: perSecond, models}}]])})
		.readRegistry(held.map((copies, index) => engineEntry(`e${index}`, copies)))
		.holdLease();
	const engines = new Map(held.map((copies, index) => [`e${index}`, new InMemoryEngine(copies)]));
	for (const engine of engines.values()) {
		engine.hasSlowUnloads = true;
	}

	run({core, engines}, 500);
	for (const name of names.slice(2)) {
		core.arrive(name, '/digest/1', {model: name, deadlineMs: 20_000});
	}

	run({core, engines}, 1500);
	const unloading = [...engines.values()].filter(engine => engine.unloading !== undefined);
	// At the store's rate, six loads may start in the 0.8 s that an unload takes at least.
	assert.ok(unloading.length >= 6, `${unloading.length} unloads`);
	for (const engine of unloading) {
		engine.completeMove();
	}

	run({core, engines}, 300);
	const begun = [...engines.values()].filter(({loading}) => loading !== undefined).length;
	assert.ok(begun <= (perSecond * 0.3) + 3, `${begun} loads in 0.3 s`);
	run({core, engines}, 1500);
	assert.ok([...engines.values()].filter(({loading}) => loading !== undefined).length >= 6);
});

// What an engine holds is not known once another instance may have sent it orders: memory was overcommitted.
test('a holder that takes the lease after another one reads all reports anew', () => {
	const {core, ...deployment} = createDeployment([['m0', 'm1'], ['m0', 'm2']]);
	run({core, ...deployment}, 1000);
	core.effects.length = 0;
	const effects = retakeLease(core, {
		holder: 'b', boot: 'b-1', epoch: 2, isReleased: true,
	});
	assert.equal(effectsOfKind(effects, 'read-report').length, 2);
});
