/**
What control costs: bytes between instances and operations on the table, per node
and second, as the number of instances grows; and the time of a control second.
*/
import {type Effect} from '../src/core/effect.js';
import {testConfiguration} from '../test/standins/configurations.js';
import {planMoves, type PlanInput} from '../src/core/placement/plan.js';
import {Simulation} from '../test/standins/simulation.js';
import {
	FilledCore, todaySize, twoYearSize, type CoreSize,
} from './core-size.js';
import {median, type Figure} from './figure.js';

const SETTLE_MS = 20_000;
const MEASURE_MS = 30_000;
const BYTES_GOAL = 9000;
const CONTROL_SECONDS = 200;
const REPORTS_PER_SECOND = 12;
const CPU_GOAL = 0.012;
const PLAN_ROUNDS = 30;

type Traffic = {
	readonly exchangeBytes: number;
	readonly tableReads: number;
	readonly tableWrites: number;
};

/** Instances with a target and a model each five, all talking to each other and the table. */
function trafficOf(instances: number, zones: number): Traffic {
	let isMeasuring = false;
	let bytes = 0;
	let reads = 0;
	let writes = 0;
	const world = new Simulation({
		seed: 4, record(_node, _event, effects: readonly Effect[]) {
			for (const effect of isMeasuring ? effects : []) {
				if (effect.kind === 'exchange') {
				// Sent by one node and received by another; newcomers are answered with two small facts.
					const isAnswered = effect.facts.some(({value}) => value.kind === 'instance');
					bytes += 2 * (JSON.stringify(effect.facts).length + CALL_BYTES + (isAnswered ? ANSWER_BYTES : 0));
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
		world.addTarget({id, checksFencing: true});
	}

	for (let index = 0; index < instances; index++) {
		world.addNode(`i${index}`, `z${index % zones}`);
	}

	const models = Object.fromEntries(targets.map(({id}) => [`m-${id}`, 200]));
	world.configure({version: 1, configuration: testConfiguration({targets, models, limits: {weightLoadsPerSecond: 100, weightLoadsAtOnce: 100}})});
	world.run(SETTLE_MS);
	isMeasuring = true;
	world.run(MEASURE_MS);
	const nodeSeconds = (instances * MEASURE_MS) / 1000;
	return {exchangeBytes: bytes / nodeSeconds, tableReads: reads / nodeSeconds, tableWrites: writes / nodeSeconds};
}

const ANSWER_BYTES = 350;

/** HTTP heads of a call and its answer on a kept connection. */
const CALL_BYTES = 300;

/** Processor time of one second of ticks, reports and exchanges without any request. */
function controlShare(size: CoreSize): number {
	const core = new FilledCore({...size, openRequests: 0});
	const shares: number[] = [];
	for (let second = 0; second < CONTROL_SECONDS; second++) {
		const startMs = performance.now();
		for (let step = 0; step < 20; step++) {
			core.nowMs += 50;
			core.dispatch({kind: 'tick', nowMs: core.nowMs});
		}

		for (let report = 0; report < REPORTS_PER_SECOND; report++) {
			core.report(((second * REPORTS_PER_SECOND) + report) % size.targets);
		}

		shares.push((performance.now() - startMs) / 1000);
	}

	return median(shares);
}

/** Time of one plan for a zone of the two-year size in which all is well. */
function planMs(): number {
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
	const today = trafficOf(15, 3);
	const larger = trafficOf(120, 10);
	const share = controlShare(twoYearSize);
	return [
		{
			bench: 'control',
			figure: 'plan of a zone, two-year size, once a second',
			value: planMs(),
			unit: 'ms',
		},
		{
			bench: 'control',
			figure: 'exchange bytes per node and second, 15 instances',
			value: today.exchangeBytes,
			unit: 'bytes/s',
			goal: `at most ${BYTES_GOAL}`,
			met: today.exchangeBytes <= BYTES_GOAL,
		},
		{
			bench: 'control',
			figure: 'exchange bytes per node and second, 120 instances',
			value: larger.exchangeBytes,
			unit: 'bytes/s',
			goal: `at most ${BYTES_GOAL}`,
			met: larger.exchangeBytes <= BYTES_GOAL,
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
			value: controlShare(todaySize) * 100,
			unit: '% of a core',
		},
		{
			bench: 'control',
			figure: 'reducer time for control, two-year size',
			value: share * 100,
			unit: '% of a core',
			goal: `at most ${CPU_GOAL * 100}`,
			met: share <= CPU_GOAL,
		},
	];
}
