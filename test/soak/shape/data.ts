/**
The shape of a deployment under planned work: how many instances each zone has, what its
callers ask for, how large and how long that is, and the plan of stops, releases and changes.
*/
import {createRandom} from '../seeded-random.js';

export type ZoneShape = {
	readonly name: string;
	readonly instances: number;
	readonly perSecond: number;
	readonly clients: number;
};

export const zoneShapes: readonly ZoneShape[] = [
	{
		name: 'north', instances: 7, perSecond: 61, clients: 29,
	},
	{
		name: 'middle', instances: 4, perSecond: 70.3, clients: 33,
	},
	{
		name: 'south', instances: 2, perSecond: 55.2, clients: 26,
	},
];

export type ShapeKind = 'briefing' | 'digest' | 'query' | 'order' | 'check';

export type KindShape = {
	readonly weight: number;
	readonly method: 'GET' | 'POST';
	readonly deadlineMs: number;
	readonly objectiveMs: number;
	/** Mean and limit of the request's body. */
	readonly bodyBytes: readonly [number, number];
	/** Whether the caller sends it again after any failure. */
	readonly isRepeatable: boolean;
	/** Absent for answers that are no streams. */
	readonly stream?: {readonly events: readonly [number, number, number]; readonly promptTokens: readonly [number, number, number]; readonly models: readonly string[]; readonly modelWeights: readonly number[]; readonly adapterShare: number; readonly subjects: number};
	/** Share of runs that end with a failure of the target's own. */
	readonly failedShare: number;
};

const commonModels = ['m0', 'm1', 'm2', 'm3', 'm4', 'm5'];
const commonWeights = [0.5, 0.27, 0.2, 0.01, 0.01, 0.01];
const rareModels = ['m6', 'm7', 'm8', 'm9', 'm10', 'm11', 'm12', 'm13'];

export const kindShapes: Readonly<Record<ShapeKind, KindShape>> = {
	briefing: {
		weight: 72.4, method: 'POST', deadlineMs: 12_000, objectiveMs: 300, bodyBytes: [1400, 8600], isRepeatable: true, failedShare: 0, stream: {
			events: [46.6, 0.7, 159], promptTokens: [543, 0.89, 2310], models: commonModels, modelWeights: commonWeights, adapterShare: 0.1, subjects: 136,
		},
	},
	digest: {
		weight: 5.63, method: 'POST', deadlineMs: 20_000, objectiveMs: 4000, bodyBytes: [1400, 8600], isRepeatable: false, failedShare: 0, stream: {
			events: [46.6, 0.7, 159], promptTokens: [543, 0.89, 2310], models: rareModels, modelWeights: rareModels.map(() => 1), adapterShare: 0, subjects: 2,
		},
	},
	query: {
		weight: 59, method: 'POST', deadlineMs: 4000, objectiveMs: 300, bodyBytes: [770, 4600], isRepeatable: true, failedShare: 0, stream: {
			events: [7.52, 1.4, 30], promptTokens: [291, 1.4, 1830], models: commonModels, modelWeights: commonWeights, adapterShare: 0.5, subjects: 74,
		},
	},
	order: {
		weight: 35.4, method: 'POST', deadlineMs: 1000, objectiveMs: 150, bodyBytes: [600, 3600], isRepeatable: false, failedShare: 0.004,
	},
	check: {
		weight: 14.1, method: 'GET', deadlineMs: 1000, objectiveMs: 150, bodyBytes: [0, 0], isRepeatable: true, failedShare: 0.14,
	},
};

export const kindNames = Object.keys(kindShapes) as ShapeKind[];

type ModelShape = {readonly weightsMb: number; readonly loadTimeS: number; readonly warmS: number; readonly diskS: number; readonly adapters: number; readonly adapterMb: number};

const large: ModelShape = {
	weightsMb: 72_700, loadTimeS: 5.8, warmS: 0.63, diskS: 1.2, adapters: 0, adapterMb: 66,
};
const small: ModelShape = {
	weightsMb: 42_700, loadTimeS: 3.4, warmS: 0.44, diskS: 0.68, adapters: 0, adapterMb: 66,
};
const fast: ModelShape = {
	weightsMb: 65_100, loadTimeS: 5, warmS: 0.6, diskS: 1, adapters: 0, adapterMb: 12,
};

export const models: Readonly<Record<string, ModelShape>> = {
	m0: {...large, adapters: 22}, m1: large, m2: {...large, adapters: 10}, m3: small, m4: {...large, adapters: 10}, m5: large, m6: small,
	m7: fast, m8: large, m9: large, m10: fast, m11: large, m12: fast, m13: fast,
};

/** What each of nine engines holds at the start: models that are asked for often at several. */
export const placement: ReadonlyArray<readonly string[]> = [
	['m0', 'm3', 'm6'], ['m0', 'm1'], ['m1', 'm7'], ['m0', 'm2'], ['m2', 'm8'], ['m4', 'm9'], ['m0', 'm10'], ['m1', 'm11'], ['m5', 'm12', 'm13'],
];
export const ENGINE_MEMORY_MB = 200_000;
export const ENGINE_SLOTS = 64;
export const ENGINE_QUEUE = 192;
export const ADAPTER_SLOTS = 5;
export const PLAIN_SLOTS = 6;
export const PLAIN_QUEUE = 24;
const LIMITS = {
	maxHeaderBytes: 16_384, maxBodyBytes: 1_000_000, headerTimeoutMs: 3000, idleTimeoutMs: 5000,
};
export const CONFIG_APPLY_MS = 2000;
/** Time-outs of routes vary by this share from version to version. */
const TIMEOUT_RANGE = 0.2;
const IDLE_ROUTES = 8;

export function hostOf(kind: ShapeKind): string {
	return kindShapes[kind].stream ? 'talk.example' : 'desk.example';
}

/** A version of the configuration: time-outs change, idle routes come and go, one kind's route moves to another service and back. */
export function createVersion(version: number, seed: number): {readonly document: object; readonly timeouts: Readonly<Record<ShapeKind, number>>} {
	const random = createRandom((seed * 10_000) + version);
	const timeouts = Object.fromEntries(kindNames.map(kind => [kind, Math.round(kindShapes[kind].deadlineMs * (version === 1 ? 1 : 1 + ((random.uniform() - 0.5) * 2 * TIMEOUT_RANGE)))])) as Record<ShapeKind, number>;
	const routes = kindNames.map(kind => {
		const {objectiveMs, stream, isRepeatable} = kindShapes[kind];
		return {
			name: `r-${kind}`, host: hostOf(kind), prefix: `/${kind}/`, timeoutMs: timeouts[kind], targetLatencyMs: objectiveMs, priority: kind === 'query' ? 0 : (stream ? 1 : 2), kind: stream ? 'streaming' : (isRepeatable ? 'idempotent' : 'non_idempotent'), service: stream ? 'assistant' : 'desk', maxAttempts: isRepeatable ? 2 : 1, ...(stream && {resumable: isRepeatable, gapAimMs: 150, sticky: true}),
		};
	});
	const idle = Array.from({length: IDLE_ROUTES + (version % 5)}, (_, index) => ({
		name: `idle-${index}`, host: 'talk.example', prefix: `/idle${index}-${version % 3}/`, timeoutMs: 1000 + (index * 100), targetLatencyMs: 150, priority: 2, kind: 'idempotent', service: (version + index) % 2 === 0 ? 'desk' : 'assistant', maxAttempts: 2,
	}));
	return {
		timeouts,
		document: {
			version, routes: [...routes, ...idle], limits: LIMITS, services: [
				{name: 'desk', maxConns: 208},
				{
					name: 'assistant', maxConns: 780, engine: {
						slots: ENGINE_SLOTS, weightsMb: ENGINE_MEMORY_MB, adapterSlots: ADAPTER_SLOTS, loadsPerS: 1.4, models: Object.entries(models).map(([name, model]) => ({name, ...model})),
					},
				},
			],
		},
	};
}

export type PlanKind = 'stop' | 'release' | 'move' | 'change' | 'hang-up';

export const planKinds: readonly PlanKind[] = ['stop', 'release', 'move', 'change', 'hang-up'];

/** What the plan does at what pace: the mean pause in milliseconds between two of a kind. */
export const paces: Readonly<Record<Exclude<PlanKind, 'stop'>, number>> = {
	release: 5000, move: 20_000, change: 1500, 'hang-up': 3000,
};

export type LinkKind = {
	readonly name: string;
	readonly delayMs: readonly [min: number, max: number];
	/** Whether it loses what it holds once the process of the instance is gone. */
	readonly isLossy: boolean;
};

/** By the number that is added to the first port. */
export const linkKinds: readonly LinkKind[] = [
	{name: 'near', delayMs: [0.5, 3], isLossy: false},
	{name: 'near, lossy', delayMs: [0.5, 3], isLossy: true},
	{name: 'far', delayMs: [40, 100], isLossy: false},
	{name: 'far, lossy', delayMs: [40, 100], isLossy: true},
];
export const FIRST_LINK_PORT = 8101;

/** What a caller does behind its request, or with its answer; `proxy`: some callers share connections. */
export const habits = ['half-close', 'half-close-later', 'empty-line', 'ahead', 'late-ending', 'split-ending', 'slow-reader', 'proxy'] as const;
export type Habit = typeof habits[number];
