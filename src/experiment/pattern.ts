/**
A load pattern as data: the deployment, the kinds of request that callers send, how
demand moves, and what fails. Patterns are YAML files, checked completely before a run.
*/
import {readFileSync} from 'node:fs';
import {Left, Right, type Either} from 'purify-ts';
import * as yaml from 'yaml';
import * as z from 'zod';

const seconds = z.number().nonnegative();
const positive = z.number().positive();
const count = z.number().int().positive();

const sizeSchema = z.strictObject({mean: positive, spread: z.number().nonnegative().default(0.8), max: positive});

const engineSchema = z.strictObject({
	slots: count.default(64),
	stepMs: positive.default(9),
	stepMsPerRun: z.number().nonnegative().default(0.04),
	readTokensPerMs: positive.default(20),
	chunkTokens: count.default(2048),
	kvTokens: count.default(130_000),
	tokensPerEvent: count.default(3),
	reportLagMs: z.number().nonnegative().default(100),
	memoryMb: positive.default(220_000),
	adapterPlaces: z.number().int().nonnegative().default(8),
	adapterLoadMs: z.number().nonnegative().default(15),
	diskModels: count.default(6),
	hostModels: count.default(2),
	/** Speeds of the machines, in turn. */
	speeds: z.array(positive).min(1).default([1]),
	/** Machines that others slow down: the share of them at a time, how many times, and for how long. Loads state it. */
	noise: z.strictObject({share: z.number().min(0).max(0.9), times: positive, forMs: positive}).optional(),
});

const modelsSchema = z.strictObject({
	number: count,
	sizeMb: positive.default(70_000),
	adapterMb: positive.default(60),
	loadMs: positive.default(8000),
	diskLoadMs: positive.default(1600),
	memoryLoadMs: positive.default(800),
	loadsPerSecond: positive.default(1.2),
	/** Copies of the model that is in highest demand at the start; the others get one each while there is room. */
	firstCopies: count.default(3),
});

const kindSchema = z.strictObject({
	name: z.string().min(1),
	/** Requests a second, over all zones. */
	perSecond: positive,
	rank: z.number().int().min(0).max(9).default(1),
	objectiveMs: positive,
	pauseMs: positive.default(300),
	deadlineMs: positive,
	/** Time after which callers give up waiting for the first event. */
	patienceMs: positive,
	/** Times that a caller comes back after a refusal. */
	retries: z.number().int().nonnegative().default(1),
	repeat: z.enum(['once', 'idempotent']).default('once'),
	worth: positive.default(1),
	lateWorth: z.number().nonnegative().default(0.3),
	/** For requests to models; without it, a kind goes to the plain service. */
	prompt: z.strictObject({
		tokens: sizeSchema,
		sharedTokens: z.number().int().nonnegative().default(200),
		sharedParts: count.default(3),
		outputTokens: sizeSchema,
		/** Indexes of the models that it goes to. */
		models: z.tuple([z.number().int().nonnegative(), z.number().int().nonnegative()]),
		/** Shares of the models in order; the rest get what is left in equal parts. */
		shares: z.array(positive).default([]),
		adapters: z.number().int().nonnegative().default(0),
		adapterShare: z.number().min(0).max(1).default(0),
	}).optional(),
	workMs: sizeSchema.optional(),
});

const eventSchema = z.discriminatedUnion('kind', [
	/** Demand moves on: the second model of each kind becomes its first, and so on. */
	z.strictObject({kind: z.literal('shift'), atS: seconds, forS: seconds.default(4)}),
	z.strictObject({
		kind: z.literal('burst'), atS: seconds, forS: seconds, times: positive, of: z.string().optional(),
		/** Index of the zone whose callers send it; all without it. */
		zone: z.number().int().nonnegative().optional(),
	}),
	z.strictObject({
		kind: z.literal('engine-crash'), atS: seconds, forS: seconds, number: count.default(1),
	}),
	z.strictObject({
		kind: z.literal('engine-slow'), atS: seconds, forS: seconds, number: count.default(1), times: positive,
	}),
	/** Nothing reaches engines, and nothing comes from them. */
	z.strictObject({
		kind: z.literal('engine-dark'), atS: seconds, forS: seconds, number: count.default(1),
	}),
	/** Engines fall silent and then go on, as sound ones may. */
	z.strictObject({
		kind: z.literal('engine-pause'), atS: seconds, forS: seconds, number: count.default(1),
	}),
	/** Targets name a limit of that many requests a second from all instances together. */
	z.strictObject({
		kind: z.literal('named-limit'), atS: seconds, forS: seconds, number: count.default(1), perSecond: positive,
	}),
	/** Kills instances; `holder`: the one that holds the lease first. */
	z.strictObject({
		kind: z.literal('instance-kill'), atS: seconds, forS: seconds, number: count.default(1), holder: z.boolean().default(false),
	}),
	/** Engines are replaced one after the other, over that time, by others of a new release that hold the same models. */
	z.strictObject({
		kind: z.literal('release'), atS: seconds, forS: seconds, share: z.number().min(0).max(1).default(1), leaveS: seconds.default(1),
	}),
	/** The callers of a workspace send that many times what they usually do. */
	z.strictObject({
		kind: z.literal('hot-workspace'), atS: seconds, forS: seconds, workspace: z.number().int().nonnegative(), times: positive,
	}),
	z.strictObject({kind: z.literal('store-down'), atS: seconds, forS: seconds}),
	/** The store refuses the calls of a share of the instances. */
	z.strictObject({
		kind: z.literal('store-refuses'), atS: seconds, forS: seconds, share: z.number().min(0).max(1),
	}),
	/** A new version of the configuration withdraws the key of a workspace, whose callers go on sending it. */
	z.strictObject({kind: z.literal('withdraw-key'), atS: seconds, workspace: z.number().int().nonnegative()}),
	/** Messages between the first zone and the others are lost. */
	z.strictObject({kind: z.literal('zone-cut'), atS: seconds, forS: seconds}),
	z.strictObject({
		kind: z.literal('messages-lost'), atS: seconds, forS: seconds, share: z.number().min(0).max(1),
	}),
]);

export const patternSchema = z.strictObject({
	description: z.string().min(1),
	zones: count.default(3),
	instancesPerZone: count.default(4),
	enginesPerZone: count.default(2),
	servicesPerZone: count.default(1),
	/** Software versions that the engines run, in turn. */
	releases: count.default(1),
	/** One-way delays. */
	zoneMs: positive.default(0.2),
	crossZoneMs: positive.default(0.7),
	storeMs: positive.default(4),
	heartbeatMs: positive.default(1200),
	leadS: seconds.default(8),
	lengthS: positive.default(30),
	engine: engineSchema.prefault({}),
	serviceSlots: count.default(6),
	/** Workspaces, one key each, whose callers take turns; withdrawn keys must be refused in time by all instances. Without any, callers need no key. */
	workspaces: z.number().int().nonnegative().default(0),
	/** Quota of each workspace in tokens, which all instances have to keep to together. Without it, workspaces have none. */
	quota: z.strictObject({perSecond: positive, burst: positive, defaultTokens: positive.default(300)}).optional(),
	models: modelsSchema,
	kinds: z.array(kindSchema).min(1),
	events: z.array(eventSchema).default([]),
});

export type Pattern = z.output<typeof patternSchema>;
export type RequestKind = Pattern['kinds'][number];
export type PatternEvent = Pattern['events'][number];

/** Reads a pattern file. The left side says what is wrong with it, in one line. */
export function readPattern(file: string, settings: Readonly<Record<string, string>> = {}): Either<string, Pattern> {
	try {
		const document = yaml.parse(readFileSync(file, 'utf8')) as unknown;
		for (const [path, value] of Object.entries(settings)) {
			setPath(document, path.split('.'), yaml.parse(value));
		}

		const parsed = patternSchema.safeParse(document);
		return parsed.success
			? Right(parsed.data)
			: Left(`${file}: ${parsed.error.issues.map(issue => `${issue.path.join('.') || 'pattern'}: ${issue.message}`).join('; ')}`);
	} catch (error) {
		return Left(`${file}: ${error instanceof Error ? error.message.split('\n', 1)[0] : String(error)}`);
	}
}

/** Sets a member by its path; numbers in the path are indexes of lists. */
function setPath(document: unknown, [name, ...rest]: readonly string[], value: unknown): void {
	if (typeof document !== 'object' || document === null || name === undefined) {
		throw new Error(`no member ${name} to set`);
	}

	const members = document as Record<string, unknown>;
	if (rest.length === 0) {
		members[name] = value;
	} else {
		members[name] ??= {};
		setPath(members[name], rest, value);
	}
}
