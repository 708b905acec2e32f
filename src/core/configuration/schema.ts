/**
Validation of a configuration document: shape first, then references between its
parts, then whether the models fit the accelerator memory. Every mistake is
reported with the path of the member that is wrong.
*/
import {Left, Right, type Either} from 'purify-ts';
import * as z from 'zod';
import {type Configuration, type Model} from './types.js';

const MINUTE_MS = 60_000;
const MAX_RETENTION_MS = 30 * 24 * 60 * MINUTE_MS;

const priority = z.enum(['urgent', 'normal', 'batch']);
const name = z.string().regex(/^[\w.\-]{1,64}$/v, 'letters, digits, dots, dashes, at most 64');
const megabytes = z.number().int().min(0).max(16_000_000);

const keySource = z.discriminatedUnion('from', [
	z.strictObject({from: z.literal('header')}),
	z.strictObject({from: z.literal('body'), pointer: z.string().startsWith('/')}),
]);

const routeRule = z.strictObject({
	method: z.string().regex(/^(?:\*|[A-Z]+)$/v),
	path: z.string().startsWith('/'),
	repeat: z.enum(['idempotent', 'once']),
	key: keySource.optional(),
	answerRetentionMs: z.number().int().positive().max(MAX_RETENTION_MS).optional(),
	priority: priority.optional(),
});

const service = z.strictObject({
	kind: z.enum(['engine', 'plain']),
	routes: z.array(routeRule).default([]),
	notRunStatuses: z.array(z.number().int().min(400).max(599)).default([429]),
});

const target = z.strictObject({
	service: name,
	address: z.url({protocol: /^https?$/v}),
	zone: name,
	gateway: z.enum(['engine-fenced', 'engine-unfenced', 'plain']),
	memoryMb: megabytes.default(0),
	accelerators: z.number().int().min(0).default(0),
	slots: z.number().int().min(1).max(10_000).default(8),
});

const adapter = z.strictObject({
	version: z.number().int().min(1).default(1),
	memoryMb: megabytes.default(0),
});

const model = z.strictObject({
	service: name,
	version: z.number().int().min(1).default(1),
	memoryMb: megabytes.min(1),
	priority: priority.optional(),
	adapters: z.record(name, adapter).default({}),
});

const caller = z.strictObject({
	tokenSha256: z.string().regex(/^[\da-f]{64}$/v).optional(),
	weight: z.number().positive().default(1),
	priority: priority.default('normal'),
});

const deadlines = z.strictObject({
	urgent: z.number().int().positive().default(10_000),
	normal: z.number().int().positive().default(MINUTE_MS),
	batch: z.number().int().positive().default(30 * MINUTE_MS),
});

const limits = z.strictObject({
	deadlineMs: deadlines.prefault({}),
	weightLoadsPerSecond: z.number().positive().default(1.5),
	weightLoadsAtOnce: z.number().int().positive().default(6),
	adapterTransfersAtOnce: z.number().int().positive().default(50),
});

const configurationSchema = z.strictObject({
	services: z.record(name, service).default({}),
	targets: z.record(name, target).default({}),
	models: z.record(name, model).default({}),
	callers: z.record(name, caller).default({}),
	limits: limits.prefault({}),
});

export type Mistake = {
	/** Dotted path of the member. */
	readonly path: string;
	readonly message: string;
	readonly code: 'patch-invalid' | 'memory-exceeded';
};

/** Parses an unknown document. All defaults are filled in. */
export function parseConfiguration(document: unknown): Either<Mistake[], Configuration> {
	const parsed = configurationSchema.safeParse(document);
	if (!parsed.success) {
		return Left(parsed.error.issues.map(issue => ({
			path: issue.path.join('.'),
			message: issue.message,
			code: 'patch-invalid',
		})));
	}

	const mistakes = [...referenceMistakes(parsed.data), ...memoryMistakes(parsed.data)];
	return mistakes.length > 0 ? Left(mistakes) : Right(parsed.data);
}

function referenceMistakes(configuration: Configuration): Mistake[] {
	const mistakes: Mistake[] = [];
	const requireService = (path: string, wanted: string, kind: 'engine' | undefined) => {
		const found = configuration.services[wanted];
		if (!found) {
			mistakes.push({path, message: `service ${wanted} is not configured`, code: 'patch-invalid'});
		} else if (kind && found.kind !== kind) {
			mistakes.push({path, message: `service ${wanted} is not of kind ${kind}`, code: 'patch-invalid'});
		}
	};

	for (const [id, {service: wanted}] of Object.entries(configuration.targets)) {
		requireService(`targets.${id}.service`, wanted, undefined);
	}

	const seen = new Map<string, string>();
	for (const [id, {service: wanted, adapters}] of Object.entries(configuration.models)) {
		requireService(`models.${id}.service`, wanted, 'engine');
		for (const reachable of [id, ...Object.keys(adapters)]) {
			const earlier = seen.get(reachable);
			if (earlier) {
				mistakes.push({path: `models.${id}`, message: `the name ${reachable} also belongs to model ${earlier}`, code: 'patch-invalid'});
			}

			seen.set(reachable, id);
		}
	}

	return mistakes;
}

/**
Checks that one copy of every model can be resident at once. First-fit by
decreasing size is the test, because placement uses the same order: a document
that passes can be placed.
*/
function memoryMistakes(configuration: Configuration): Mistake[] {
	const mistakes: Mistake[] = [];
	for (const [service, models] of modelsByService(configuration)) {
		const free = Object.values(configuration.targets)
			.filter(candidate => candidate.service === service)
			.map(candidate => candidate.memoryMb);
		const total = free.reduce((sum, memoryMb) => sum + memoryMb, 0);
		const needed = models.reduce((sum, [, {memoryMb}]) => sum + memoryMb, 0);
		for (const [id, {memoryMb}] of models.toSorted((a, b) => b[1].memoryMb - a[1].memoryMb)) {
			const index = free.findIndex(available => available >= memoryMb);
			if (index === -1) {
				mistakes.push({
					path: `models.${id}.memoryMb`,
					message: `${memoryMb} MB find no room on service ${service}: ${needed} MB of models, ${total} MB of memory, largest room left ${Math.max(0, ...free)} MB`,
					code: 'memory-exceeded',
				});
				continue;
			}

			free[index] = (free[index] ?? 0) - memoryMb;
		}
	}

	return mistakes;
}

function modelsByService(configuration: Configuration): Map<string, Array<[string, Model]>> {
	const grouped = new Map<string, Array<[string, Model]>>();
	for (const entry of Object.entries(configuration.models)) {
		const group = grouped.get(entry[1].service);
		if (group) {
			group.push(entry);
		} else {
			grouped.set(entry[1].service, [entry]);
		}
	}

	return grouped;
}
