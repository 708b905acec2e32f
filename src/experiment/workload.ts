/**
Generates the requests of a pattern: Poisson arrivals of each kind, whose models follow
shares that shift during the run.
*/
import {type Pattern, type PatternEvent, type RequestKind} from './pattern.js';
import {type RandomSource} from './random-source.js';

export type GeneratedRequest = {
	readonly kind: RequestKind;
	readonly atMs: number;
	/** Index of the zone of its caller. */
	readonly zone: number;
	readonly model: number | undefined;
	readonly adapter: string | undefined;
	readonly parts: ReadonlyArray<{readonly id: string; readonly tokens: number}>;
	readonly outputTokens: number;
	readonly workMs: number;
	/** Index of the workspace of its caller; undefined where there are none. */
	readonly workspace: number | undefined;
};

/** Interval in which rates are taken as constant. */
const SLICE_MS = 50;

export function generateRequests(pattern: Pattern, random: RandomSource): GeneratedRequest[] {
	const requests: Array<Omit<GeneratedRequest, 'workspace'>> = [];
	for (const kind of pattern.kinds) {
		for (let fromMs = 0; fromMs < pattern.lengthS * 1000; fromMs += SLICE_MS) {
			const perSlice = kind.perSecond * burstFactor(pattern, kind, fromMs) * SLICE_MS / 1000;
			for (let atMs = fromMs + random.exponential(SLICE_MS / perSlice); atMs < fromMs + SLICE_MS; atMs += random.exponential(SLICE_MS / perSlice)) {
				requests.push(generateRequest(pattern, kind, {atMs, random}));
			}
		}

		requests.push(...zoneBursts(pattern, kind, random));
	}

	const hot = generateHot(pattern, random);
	// Callers of all workspaces take turns, without a random number, so that patterns without workspaces are as before.
	const usual = requests.sort((a, b) => a.atMs - b.atMs).map((request, index) => ({...request, workspace: pattern.workspaces === 0 ? undefined : index % pattern.workspaces}));
	return hot.length === 0 ? usual : [...usual, ...hot].sort((a, b) => a.atMs - b.atMs);
}

/** What the callers of a hot workspace send beyond the usual. */
function generateHot(pattern: Pattern, random: RandomSource): GeneratedRequest[] {
	return pattern.events.flatMap(event => event.kind === 'hot-workspace' ? pattern.kinds.flatMap(kind => generateExtra(pattern, kind, {event, random})) : []);
}

type HotWorkspace = Extract<PatternEvent, {kind: 'hot-workspace'}>;

function generateExtra(pattern: Pattern, kind: RequestKind, {event, random}: {event: HotWorkspace; random: RandomSource}): GeneratedRequest[] {
	const {atS, forS, workspace, times} = event;
	const meanMs = 1000 * Math.max(1, pattern.workspaces) / (kind.perSecond * Math.max(Number.MIN_VALUE, times - 1));
	const requests: GeneratedRequest[] = [];
	for (let atMs = (atS * 1000) + random.exponential(meanMs); atMs < (atS + forS) * 1000; atMs += random.exponential(meanMs)) {
		requests.push({...generateRequest(pattern, kind, {atMs, random}), workspace});
	}

	return requests;
}

function burstFactor({events}: Pattern, {name}: RequestKind, atMs: number): number {
	let factor = 1;
	for (const event of events) {
		if (event.kind === 'burst' && event.zone === undefined && (event.of === undefined || event.of === name) && atMs >= event.atS * 1000 && atMs < (event.atS + event.forS) * 1000) {
			factor *= event.times;
		}
	}

	return factor;
}

/** What the callers of one zone send in its bursts beyond their usual requests. */
function zoneBursts(pattern: Pattern, kind: RequestKind, random: RandomSource): Array<Omit<GeneratedRequest, 'workspace'>> {
	const requests: Array<Omit<GeneratedRequest, 'workspace'>> = [];
	for (const event of pattern.events) {
		if (event.kind === 'burst' && event.zone !== undefined && (event.of === undefined || event.of === kind.name)) {
			const meanMs = 1000 * pattern.zones / (kind.perSecond * Math.max(Number.MIN_VALUE, event.times - 1));
			for (let atMs = event.atS * 1000; atMs < (event.atS + event.forS) * 1000; atMs += random.exponential(meanMs)) {
				requests.push({...generateRequest(pattern, kind, {atMs, random}), zone: event.zone});
			}
		}
	}

	return requests;
}

function generateRequest(pattern: Pattern, kind: RequestKind, {atMs, random}: {atMs: number; random: RandomSource}): Omit<GeneratedRequest, 'workspace'> {
	const zone = Math.floor(random.uniform() * pattern.zones);
	const {prompt} = kind;
	if (!prompt) {
		return {
			kind, atMs, zone, model: undefined, adapter: undefined, parts: [], outputTokens: 0, workMs: random.size(kind.workMs ?? {mean: 30, spread: 0.5, max: 200}),
		};
	}

	const tokens = random.size(prompt.tokens);
	const shared = Math.min(prompt.sharedTokens, tokens - 1);
	const model = pickModel(pattern, prompt, atMs, random);
	return {
		kind,
		atMs,
		zone,
		model,
		adapter: prompt.adapters > 0 && random.uniform() < prompt.adapterShare ? `a${1 + Math.floor(random.uniform() * prompt.adapters)}` : undefined,
		parts: [{id: `${kind.name}-${Math.floor(random.uniform() * prompt.sharedParts)}`, tokens: shared}, {id: `own-${random.uniform()}`, tokens: tokens - shared}],
		outputTokens: random.size(prompt.outputTokens),
		workMs: 0,
	};
}

function pickModel(pattern: Pattern, {models: [first, last], shares}: NonNullable<RequestKind['prompt']>, atMs: number, random: RandomSource): number {
	const number = last - first + 1;
	const named = shares.slice(0, number);
	const rest = Math.max(0, 1 - named.reduce((sum, share) => sum + share, 0)) / Math.max(1, number - named.length);
	const weights = Array.from({length: number}, (_, index) => named[index] ?? rest);
	let position = random.pick(weights);
	if (shares.length > 0) {
		// While demand moves, a growing part of the requests follows the order after the shift.
		position += shiftsAt(pattern, atMs, random);
	}

	return first + (position % number);
}

function shiftsAt({events}: Pattern, atMs: number, random: RandomSource): number {
	let shifts = 0;
	for (const event of events) {
		if (event.kind === 'shift') {
			const done = Math.min(1, Math.max(0, (atMs - (event.atS * 1000)) / Math.max(1, event.forS * 1000)));
			shifts += random.uniform() < done ? 1 : 0;
		}
	}

	return shifts;
}
