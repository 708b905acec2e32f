/**
Generates traces of requests and faults from a seed, modelled on the stated sizes of two
deployments. All times are virtual.
*/
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type RandomGenerator} from 'pure-rand/types/RandomGenerator';
import {type Priority} from '../src/core/configuration/types.js';

export type DeploymentShape = {
	readonly name: string;
	readonly zones: readonly string[];
	readonly instances: number;
	readonly engines: number;
	readonly slots: number;
	readonly models: number;
	readonly weightLoadsPerSecond: number;
	readonly weightLoadsAtOnce: number;
};

export const petrov: DeploymentShape = {
	name: 'petrov',
	zones: ['plovdiv', 'stara-zagora', 'haskovo'],
	instances: 15,
	engines: 6,
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

/** Engine sizes are not stated for either deployment. All policies use the same ones. */
export const MODEL_MB = 1000;
export const ENGINE_MEMORY_MB = 5000;
export const MODEL_LOAD_MS = 4000;
const MEAN_SERVICE_MS = 1200;

export type TracedRequest = {
	readonly atMs: number;
	readonly id: string;
	readonly model: string;
	readonly priority: Priority;
	readonly deadlineMs: number;
	readonly serviceMs: number;
	/** Whether it crashes every target that runs it. */
	readonly crashesTargets: boolean;
	/** Whether the connection of its first try goes silent. */
	readonly isSilent: boolean;
	readonly content: string;
	/** Number from 0 to 1 that selects the instance. */
	readonly entryFraction: number;
};

export type Fault =
	| {readonly atMs: number; readonly kind: 'engine-crash'; readonly engine: number}
	| {readonly atMs: number; readonly kind: 'table-down' | 'table-up'}
	| {readonly atMs: number; readonly kind: 'instance-crash'; readonly instance: number}
	| {readonly atMs: number; readonly kind: 'partition-start' | 'partition-end'; readonly zone: number};

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
	/** Mean arrival rate relative to the capacity of the engines. */
	readonly load: number;
	/** Factor by which the arrival rate rises during bursts. */
	readonly burstFactor?: number;
	/** Interval at which the popularity of the models changes, by up to a factor of ten each. */
	readonly popularityShiftMs?: number;
	readonly hasFaults?: boolean;
	/** Shares of urgent and batch requests; all others are normal. */
	readonly urgentShare?: number;
	readonly batchShare?: number;
};

const BURST_INTERVAL_MS = 60_000;
const BURST_DURATION_MS = 15_000;
const CRASHING_REQUESTS = 5;
const CRASHING_REQUEST_INTERVAL_MS = 2500;

const deadlinesMs: Readonly<Record<Priority, number>> = {urgent: 6000, normal: 15_000, batch: 300_000};

export function modelName(index: number): string {
	return `m${String(index).padStart(2, '0')}`;
}

export function createTrace(options: TraceOptions): Trace {
	const {
		name, shape, seed, load, durationMs = 300_000, burstFactor = 1, popularityShiftMs = durationMs, hasFaults = false, urgentShare = 0.5, batchShare = 0.2,
	} = options;
	const random = xoroshiro128plus(seed);
	const draw = () => uniformFloat64(random);
	const arrivalsPerMs = (load * shape.engines * shape.slots) / MEAN_SERVICE_MS;
	const requests: TracedRequest[] = [];
	let popularity = drawCumulativePopularity(shape, random);
	let nextShiftAtMs = popularityShiftMs;
	let atMs = 0;
	while (atMs < durationMs) {
		const isBurst = atMs % BURST_INTERVAL_MS > BURST_INTERVAL_MS - BURST_DURATION_MS;
		atMs += -Math.log(1 - draw()) / (arrivalsPerMs * (isBurst ? burstFactor : 1));
		if (atMs >= nextShiftAtMs) {
			popularity = drawCumulativePopularity(shape, random);
			nextShiftAtMs += popularityShiftMs;
		}

		requests.push(drawRequest(requests.length, atMs, {
			random, popularity, urgentShare, batchShare, hasFaults,
		}));
	}

	const faults = hasFaults ? drawFaults(shape, durationMs, random) : [];
	const crashingRequests = hasFaults ? drawCrashingRequests(durationMs, popularity, random) : [];
	return {
		name,
		shape,
		durationMs,
		requests: [...requests, ...crashingRequests].toSorted((a, b) => a.atMs - b.atMs),
		faults: faults.toSorted((a, b) => a.atMs - b.atMs),
	};
}

/** Draws the cumulative popularity shares of the models. Their weights differ by up to a factor of ten. */
function drawCumulativePopularity(shape: DeploymentShape, random: RandomGenerator): number[] {
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
	const priorityDraw = draw();
	const priority = priorityDraw < options.urgentShare ? 'urgent' : (priorityDraw < options.urgentShare + options.batchShare ? 'batch' : 'normal');
	const modelDraw = draw();
	return {
		atMs,
		id: `r${index}`,
		model: modelName(options.popularity.findIndex(share => modelDraw <= share)),
		priority,
		deadlineMs: deadlinesMs[priority],
		serviceMs: MEAN_SERVICE_MS * (0.4 + (1.2 * draw())),
		crashesTargets: false,
		isSilent: options.hasFaults && draw() < 0.001,
		content: `c${index}`,
		entryFraction: draw(),
	};
}

/** Draws a request that crashes every target that runs it and that its caller sends repeatedly. */
function drawCrashingRequests(durationMs: number, popularity: readonly number[], random: RandomGenerator): TracedRequest[] {
	const startMs = durationMs * 0.4;
	return Array.from({length: CRASHING_REQUESTS}, (_, index) => ({
		...drawRequest(0, startMs + (index * CRASHING_REQUEST_INTERVAL_MS), {
			random,
			popularity,
			urgentShare: 1,
			batchShare: 0,
			hasFaults: false,
		}),
		id: `culprit-${index}`,
		model: modelName(0),
		crashesTargets: true,
		content: 'culprit',
	}));
}

function drawFaults(shape: DeploymentShape, durationMs: number, random: RandomGenerator): Fault[] {
	const drawIndex = (bound: number) => Math.floor(uniformFloat64(random) * bound);
	return [
		{atMs: durationMs * 0.15, kind: 'engine-crash', engine: drawIndex(shape.engines)},
		{atMs: durationMs * 0.7, kind: 'engine-crash', engine: drawIndex(shape.engines)},
		{atMs: durationMs * 0.25, kind: 'instance-crash', instance: drawIndex(shape.instances)},
		{atMs: durationMs * 0.3, kind: 'table-down'},
		{atMs: durationMs * 0.5, kind: 'table-up'},
		{atMs: durationMs * 0.8, kind: 'partition-start', zone: drawIndex(shape.zones.length)},
		{atMs: durationMs * 0.9, kind: 'partition-end', zone: 0},
	];
}
