/**
Demand that instances tell the lease holder of.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	beacon, engineEntry, EntryHarness, effectsOfKind, instance,
} from '../../../test/standins/entry-harness.js';
import {createBeacon} from './beacon-sender.js';
import {type ModelDemand} from './peer-messages.js';
import {type TargetReport} from './target.js';

/** Time of absence after which a rare model outweighs hot ones (`plan.test.ts`). */
const ABSENT_MS = 15_000;

function demand(model: string, arrivalsPerSecond: number, overrides: Partial<ModelDemand> = {}): ModelDemand {
	return {
		service: 'llm', model, arrivalsPerSecond, busyShare: arrivalsPerSecond * 0.03, open: arrivalsPerSecond, waiting: 0, objectiveMs: 300, adapters: [], ...overrides,
	};
}

const models = [['m0', 'm1'], ['m0', 'm1'], ['m0', 'm2']];
const entries = models.map((held, index) => engineEntry(`e${index}`, held));

function report(held: readonly string[]): TargetReport {
	return {
		incarnation: 1, sequence: 0, isBusy: false, running: 0, waiting: 0, copies: held.map(model => ({model, version: 1, adapters: []})), adaptersInTransfer: [], inMemory: [], onDisk: [],
	};
}

// A new holder of the lease took each model for just missed, so rare ones waited for their turn anew with each change of the holder.
test('an instance tells for how long a model that it was asked for has had no copy', () => {
	const core = new EntryHarness().configure().readRegistry(entries);
	const tell = () => {
		const {demand: told} = createBeacon({
			state: core.state, nowMs: core.nowMs, wallMs: core.nowMs + core.wallOffsetMs, effects: [],
		});
		return new Map(told!.map(({model, missingMs}) => [model, missingMs]));
	};

	for (let elapsedMs = 0; elapsedMs < 6000; elapsedMs += 500) {
		for (const model of ['m0', 'm3']) {
			core.arrive(`${model}-${elapsedMs}`, '/ask/1', {model, deadlineMs: 20_000});
		}

		core.advance(500);
		core.confirmRegistry();
	}

	const told = tell();
	assert.equal(told.get('m0'), undefined);
	assert.ok((told.get('m3') ?? 0) >= 5000, `${told.get('m3')} ms`);
	core.readRegistry([...entries, engineEntry('e3', ['m3'])]);
	core.arrive('last', '/ask/1', {model: 'm3', deadlineMs: 20_000});
	core.advance(600);
	assert.equal(tell().get('m3'), undefined);
});

// As above, at the holder.
test('a new holder gives a rare model its turn by the time for which instances have missed it', () => {
	const core = new EntryHarness().configure().readRegistry(entries).holdLease();
	const planned = () => effectsOfKind(core.effects, 'log').some(({event, fields}) => event === 'move-planned' && fields.wanted === 'm3');
	for (let elapsedMs = 0; elapsedMs < 1000 && !planned(); elapsedMs += 100) {
		core.dispatch({
			kind: 'beacon-received',
			beacon: beacon({
				from: instance('b'),
				demand: [demand('m0', 10), demand('m1', 8), demand('m2', 5), demand('m3', 0.4, {
					open: 1, objectiveMs: 4000, missingMs: ABSENT_MS,
				})],
			}),
		});
		for (const {targetId} of effectsOfKind(core.advance(100), 'read-report')) {
			core.dispatch({kind: 'report-read', targetId, report: report(models[Number(targetId.slice(1))]!)});
		}
	}

	assert.ok(planned());
});
