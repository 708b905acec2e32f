/**
Seeded arrivals and faults shaped on the two deployments' stated sizes. All times
are virtual.
*/
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type RandomGenerator} from 'pure-rand/types/RandomGenerator';
import {type Priority} from '../src/core/configuration/types.js';

export type DeploymentShape = {
	readonly name: string;
	readonly zones: readonly string[];
	readonly instances: number;
	readonly runners: number;
	readonly slots: number;
	readonly models: number;
	readonly weightLoadsPerSecond: number;
	readonly weightLoadsAtOnce: number;
};

export const petrov: DeploymentShape = {
	name: 'petrov',
	zones: ['plovdiv', 'stara-zagora', 'haskovo'],
	instances: 15,
	runners: 6,
	slots: 8,
	models: 14,
	weightLoadsPerSecond: 1.5,
	weightLoadsAtOnce: 6,
};

export const kita: DeploymentShape = {
	...petrov,
	name: 'kita',
	zones: ['funka-bay', 'nemuro-strait', 'okhotsk-coast'],
	instances: 13,
	weightLoadsAtOnce: 7,
};

/** Neither letter gives engine sizes; all policies get the same ones. */
export const MODEL_MB = 1000;
export const RUNNER_MB = 5000;
export const LOAD_MS = 4000;
const SERVICE_MEAN_MS = 1200;

export type TracedRequest = {
	readonly atMs: number;
	readonly id: string;
	readonly model: string;
	readonly priority: Priority;
	readonly deadlineMs: number;
	readonly serviceMs: number;
	/** Crashes every target that runs it. */
	readonly isCulprit: boolean;
	/** Its first connection goes silent. */
	readonly isSilent: boolean;
	readonly content: string;
	/** A number from 0 to 1 by which an instance is chosen. */
	readonly entry: number;
};

export type Fault =
	| {readonly atMs: number; readonly kind: 'crash'; readonly runner: number}
	| {readonly atMs: number; readonly kind: 'table-down' | 'table-up'}
	| {readonly atMs: number; readonly kind: 'instance-dies'; readonly instance: number}
	| {readonly atMs: number; readonly kind: 'zone-cut' | 'zone-joined'; readonly zone: number};

export type Trace = {
	readonly name: string;
	readonly shape: DeploymentShape;
	readonly durationMs: number;
	readonly requests: readonly TracedRequest[];
	readonly faults: readonly Fault[];
};

export type TraceOptions = {
	readonly name: string;
	readonly shape: DeploymentShape;
	readonly seed: number;
	readonly durationMs?: number;
	/** Mean arrivals relative to what the runners can serve. */
	readonly load: number;
	/** Factor of arrivals during bursts. */
	readonly burst?: number;
	/** Time between two changes of the models' popularity, up to tenfold each. */
	readonly shiftMs?: number;
	readonly hasFaults?: boolean;
	/** Shares of urgent and batch work. */
	readonly urgentShare?: number;
	readonly batchShare?: number;
};

const BURST_EVERY_MS = 60_000;
const BURST_MS = 15_000;
const RESENDS = 5;
const RESEND_MS = 2500;

const deadlinesMs: Readonly<Record<Priority, number>> = {urgent: 6000, normal: 15_000, batch: 300_000};

export function modelName(index: number): string {
	return `m${String(index).padStart(2, '0')}`;
}

export function createTrace(options: TraceOptions): Trace {
	const {
		name, shape, seed, load, durationMs = 300_000, burst = 1, shiftMs = durationMs, hasFaults = false, urgentShare = 0.5, batchShare = 0.2,
	} = options;
	const random = xoroshiro128plus(seed);
	const draw = () => uniformFloat64(random);
	const perMs = (load * shape.runners * shape.slots) / SERVICE_MEAN_MS;
	const requests: TracedRequest[] = [];
	let popularity = drawPopularity(shape, random);
	let shiftAtMs = shiftMs;
	let atMs = 0;
	while (atMs < durationMs) {
		const isBurst = atMs % BURST_EVERY_MS > BURST_EVERY_MS - BURST_MS;
		atMs += -Math.log(1 - draw()) / (perMs * (isBurst ? burst : 1));
		if (atMs >= shiftAtMs) {
			popularity = drawPopularity(shape, random);
			shiftAtMs += shiftMs;
		}

		requests.push(drawRequest(requests.length, atMs, {
			random, popularity, urgentShare, batchShare, hasFaults,
		}));
	}

	const faults = hasFaults ? drawFaults(shape, durationMs, random) : [];
	const culprits = hasFaults ? drawCulprits(durationMs, popularity, random) : [];
	return {
		name,
		shape,
		durationMs,
		requests: [...requests, ...culprits].toSorted((a, b) => a.atMs - b.atMs),
		faults: faults.toSorted((a, b) => a.atMs - b.atMs),
	};
}

/** Cumulative shares of the models. Weights spread over a factor of ten. */
function drawPopularity(shape: DeploymentShape, random: RandomGenerator): number[] {
	const weights = Array.from({length: shape.models}, () => 10 ** uniformFloat64(random));
	const total = weights.reduce((sum, weight) => sum + weight, 0);
	let sum = 0;
	return weights.map(weight => {
		sum += weight / total;
		return sum;
	});
}

type DrawOptions = {
	readonly random: RandomGenerator;
	readonly popularity: readonly number[];
	readonly urgentShare: number;
	readonly batchShare: number;
	readonly hasFaults: boolean;
};

function drawRequest(index: number, atMs: number, options: DrawOptions): TracedRequest {
	const draw = () => uniformFloat64(options.random);
	const kind = draw();
	const priority = kind < options.urgentShare ? 'urgent' : (kind < options.urgentShare + options.batchShare ? 'batch' : 'normal');
	const model = draw();
	return {
		atMs,
		id: `r${index}`,
		model: modelName(options.popularity.findIndex(share => model <= share)),
		priority,
		deadlineMs: deadlinesMs[priority],
		serviceMs: SERVICE_MEAN_MS * (0.4 + (1.2 * draw())),
		isCulprit: false,
		isSilent: options.hasFaults && draw() < 0.001,
		content: `c${index}`,
		entry: draw(),
	};
}

/** One request that crashes its targets, sent again by its caller. */
function drawCulprits(durationMs: number, popularity: readonly number[], random: RandomGenerator): TracedRequest[] {
	const startMs = durationMs * 0.4;
	return Array.from({length: RESENDS}, (_, index) => ({
		...drawRequest(0, startMs + (index * RESEND_MS), {
			random,
			popularity,
			urgentShare: 1,
			batchShare: 0,
			hasFaults: false,
		}),
		id: `culprit-${index}`,
		model: modelName(0),
		isCulprit: true,
		content: 'culprit',
	}));
}

function drawFaults(shape: DeploymentShape, durationMs: number, random: RandomGenerator): Fault[] {
	const pick = (bound: number) => Math.floor(uniformFloat64(random) * bound);
	return [
		{atMs: durationMs * 0.15, kind: 'crash', runner: pick(shape.runners)},
		{atMs: durationMs * 0.7, kind: 'crash', runner: pick(shape.runners)},
		{atMs: durationMs * 0.25, kind: 'instance-dies', instance: pick(shape.instances)},
		{atMs: durationMs * 0.3, kind: 'table-down'},
		{atMs: durationMs * 0.5, kind: 'table-up'},
		{atMs: durationMs * 0.8, kind: 'zone-cut', zone: pick(shape.zones.length)},
		{atMs: durationMs * 0.9, kind: 'zone-joined', zone: 0},
	];
}
