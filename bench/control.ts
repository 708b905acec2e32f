/**
Cost of control traffic: bytes exchanged between instances and table operations, per instance
and second, for a growing number of instances; and processor time per second of control
events.
*/
import {type Effect} from '../src/core/effect.js';
import {testConfiguration} from '../test/standins/configurations.js';
import {planMoves, type PlanInput} from '../src/core/placement/plan.js';
import {Simulation} from '../test/standins/simulation.js';
import {
	PopulatedCore, todaySize, twoYearSize, type CoreSize,
} from './core-size.js';
import {median, type Figure} from './figure.js';

const SETTLE_MS = 20_000;
const MEASURE_MS = 30_000;
const EXCHANGE_BYTES_GOAL = 9000;
const SIMULATED_SECONDS = 200;
const REPORTS_PER_SECOND = 12;
const CPU_SHARE_GOAL = 0.012;
const PLAN_ROUNDS = 30;

type Traffic = {
	readonly exchangeBytes: number;
	readonly tableReads: number;
	readonly tableWrites: number;
};

/** Simulates instances that exchange facts with each other and access the table, with one target and one model for every five of them. */
function measureTraffic(instances: number, zones: number): Traffic {
	let isMeasuring = false;
	let bytes = 0;
	let reads = 0;
	let writes = 0;
	const simulation = new Simulation({
		seed: 4, record(_instance, _event, effects: readonly Effect[]) {
			for (const effect of isMeasuring ? effects : []) {
				if (effect.kind === 'exchange') {
					// Counted at the sender and at the receiver. An instance that joins is answered with two small facts.
					const isAnswered = effect.facts.some(({value}) => value.kind === 'instance');
					bytes += 2 * (JSON.stringify(effect.facts).length + HTTP_HEADER_BYTES + (isAnswered ? JOIN_ANSWER_BYTES : 0));
				} else if (effect.kind === 'table') {
					reads += effect.operation.kind === 'write' ? 0 : 1;
					writes += effect.operation.kind === 'write' ? 1 : 0;
				}
			}
		},
	});
	const targets = Array.from({length: Math.ceil(instances / 5)}, (_, index) => ({
		id: `t${index}`,
		zone: `z${index % zones}`,
		gateway: 'engine-fenced' as const,
		memoryMb: 1000,
	}));
	for (const {id} of targets) {
		simulation.addTarget({id, checksFencing: true});
	}

	for (let index = 0; index < instances; index++) {
		simulation.addInstance(`i${index}`, `z${index % zones}`);
	}

	const models = Object.fromEntries(targets.map(({id}) => [`m-${id}`, 200]));
	simulation.configure({version: 1, configuration: testConfiguration({targets, models, limits: {weightLoadsPerSecond: 100, weightLoadsAtOnce: 100}})});
	simulation.run(SETTLE_MS);
	isMeasuring = true;
	simulation.run(MEASURE_MS);
	const instanceSeconds = (instances * MEASURE_MS) / 1000;
	return {exchangeBytes: bytes / instanceSeconds, tableReads: reads / instanceSeconds, tableWrites: writes / instanceSeconds};
}

const JOIN_ANSWER_BYTES = 350;

/** Size of the HTTP headers of a request and its response on a persistent connection. */
const HTTP_HEADER_BYTES = 300;

/** Median share of a processor core that ticks, reports and exchanges take when there are no requests. */
function measureControlShare(size: CoreSize): number {
	const core = new PopulatedCore({...size, openRequests: 0});
	const shares: number[] = [];
	for (let second = 0; second < SIMULATED_SECONDS; second++) {
		const startMs = performance.now();
		for (let step = 0; step < 20; step++) {
			core.nowMs += 50;
			core.dispatch({kind: 'tick', nowMs: core.nowMs});
		}

		for (let report = 0; report < REPORTS_PER_SECOND; report++) {
			core.dispatchReport(((second * REPORTS_PER_SECOND) + report) % size.targets);
		}

		shares.push((performance.now() - startMs) / 1000);
	}

	return median(shares);
}

/** Median time to plan a zone of the two-year size in steady state. */
function measurePlanMs(): number {
	const {models, targets, zones} = twoYearSize;
	const ownTargets = targets / zones;
	const input: PlanInput = {
		zones,
		ownershipAgeMs: 60_000,
		models: Array.from({length: models}, (_, index) => ({
			name: `m${index}`,
			model: {
				service: 'llm',
				version: 1,
				memoryMb: 10 + (index % 7),
				adapters: {},
			},
			copies: 2,
			otherVersionCopies: 0,
			zones: 2,
			residentInZone: index % 5 === 0,
			zoneRank: index % zones,
			absentMs: 0,
			rate: index % 11,
			waiting: index % 50 === 0 ? 3 : 0,
			utilisation: 0.9,
			consecutivePressuredPlans: 0,
		})),
		targets: Array.from({length: ownTargets}, (_, index) => ({
			id: `t${index}`,
			service: 'llm',
			memoryMb: 100,
			committedMb: 95,
			slots: 8,
			utilisation: 0.5,
			entries: Array.from({length: 6}, (__, entry) => ({
				model: `m${(index + (entry * ownTargets)) % models}`,
				version: 1,
				memoryMb: 15,
				resident: true,
				removable: true,
			})),
			refused: new Set<string>(),
		})),
	};
	const times: number[] = [];
	for (let round = 0; round < PLAN_ROUNDS; round++) {
		const startMs = performance.now();
		planMoves(input);
		times.push(performance.now() - startMs);
	}

	return median(times);
}

export function benchControl(): Figure[] {
	const today = measureTraffic(15, 3);
	const larger = measureTraffic(120, 10);
	const twoYearShare = measureControlShare(twoYearSize);
	return [
		{
			bench: 'control',
			figure: 'plan of a zone, two-year size, once a second',
			value: measurePlanMs(),
			unit: 'ms',
		},
		{
			bench: 'control',
			figure: 'exchange bytes per node and second, 15 instances',
			value: today.exchangeBytes,
			unit: 'bytes/s',
			goal: `at most ${EXCHANGE_BYTES_GOAL}`,
			met: today.exchangeBytes <= EXCHANGE_BYTES_GOAL,
		},
		{
			bench: 'control',
			figure: 'exchange bytes per node and second, 120 instances',
			value: larger.exchangeBytes,
			unit: 'bytes/s',
			goal: `at most ${EXCHANGE_BYTES_GOAL}`,
			met: larger.exchangeBytes <= EXCHANGE_BYTES_GOAL,
		},
		{
			bench: 'control',
			figure: 'table reads per node and second, 15 instances',
			value: today.tableReads,
			unit: '1/s',
		},
		{
			bench: 'control',
			figure: 'table writes per node and second, 15 instances',
			value: today.tableWrites,
			unit: '1/s',
		},
		{
			bench: 'control',
			figure: 'table reads per node and second, 120 instances',
			value: larger.tableReads,
			unit: '1/s',
		},
		{
			bench: 'control',
			figure: 'table writes per node and second, 120 instances',
			value: larger.tableWrites,
			unit: '1/s',
		},
		{
			bench: 'control',
			figure: 'reducer time for control, today\'s size',
			value: measureControlShare(todaySize) * 100,
			unit: '% of a core',
		},
		{
			bench: 'control',
			figure: 'reducer time for control, two-year size',
			value: twoYearShare * 100,
			unit: '% of a core',
			goal: `at most ${CPU_SHARE_GOAL * 100}`,
			met: twoYearShare <= CPU_SHARE_GOAL,
		},
	];
}
