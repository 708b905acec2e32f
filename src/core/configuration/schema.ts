/**
Validation of configuration documents: first the schema, then references between
parts of the document, then whether the models fit the accelerator memory. All
errors are reported, each with the path of the invalid member.
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

export type ValidationError = {
	/** Path of the invalid member, separated by dots. */
	readonly path: string;
	readonly message: string;
	readonly code: 'patch-invalid' | 'memory-exceeded';
};

/** Validates a document and fills in all defaults. Returns the errors if it is invalid. */
export function parseConfiguration(document: unknown): Either<ValidationError[], Configuration> {
	const parsed = configurationSchema.safeParse(document);
	if (!parsed.success) {
		return Left(parsed.error.issues.map(issue => ({
			path: issue.path.join('.'),
			message: issue.message,
			code: 'patch-invalid',
		})));
	}

	const errors = [...findReferenceErrors(parsed.data), ...findMemoryErrors(parsed.data)];
	return errors.length > 0 ? Left(errors) : Right(parsed.data);
}

function findReferenceErrors(configuration: Configuration): ValidationError[] {
	const errors: ValidationError[] = [];
	const requireService = (path: string, serviceId: string, kind: 'engine' | undefined) => {
		const referenced = Object.hasOwn(configuration.services, serviceId) ? configuration.services[serviceId] : undefined;
		if (!referenced) {
			errors.push({path, message: `service ${serviceId} is not configured`, code: 'patch-invalid'});
		} else if (kind && referenced.kind !== kind) {
			errors.push({path, message: `service ${serviceId} is not of kind ${kind}`, code: 'patch-invalid'});
		}
	};

	for (const [id, {service: serviceId}] of Object.entries(configuration.targets)) {
		requireService(`targets.${id}.service`, serviceId, undefined);
	}

	const modelByName = new Map<string, string>();
	for (const [id, {service: serviceId, adapters}] of Object.entries(configuration.models)) {
		requireService(`models.${id}.service`, serviceId, 'engine');
		for (const exposedName of [id, ...Object.keys(adapters)]) {
			const otherModel = modelByName.get(exposedName);
			if (otherModel) {
				errors.push({path: `models.${id}`, message: `the name ${exposedName} also belongs to model ${otherModel}`, code: 'patch-invalid'});
			}

			modelByName.set(exposedName, id);
		}
	}

	return errors;
}

/**
Checks that one copy of every model can be resident at the same time. It uses
first-fit decreasing because placement does, so any document that passes can be
placed.
*/
function findMemoryErrors(configuration: Configuration): ValidationError[] {
	const errors: ValidationError[] = [];
	for (const [service, models] of modelsByService(configuration)) {
		const freeMb = Object.values(configuration.targets)
			.filter(candidate => candidate.service === service)
			.map(candidate => candidate.memoryMb);
		const totalMb = freeMb.reduce((sum, memoryMb) => sum + memoryMb, 0);
		const neededMb = models.reduce((sum, [, {memoryMb}]) => sum + memoryMb, 0);
		for (const [id, {memoryMb}] of models.toSorted((a, b) => b[1].memoryMb - a[1].memoryMb)) {
			const index = freeMb.findIndex(availableMb => availableMb >= memoryMb);
			if (index === -1) {
				errors.push({
					path: `models.${id}.memoryMb`,
					message: `${memoryMb} MB find no room on service ${service}: ${neededMb} MB of models, ${totalMb} MB of memory, largest room left ${Math.max(0, ...freeMb)} MB`,
					code: 'memory-exceeded',
				});
				continue;
			}

			freeMb[index] = (freeMb[index] ?? 0) - memoryMb;
		}
	}

	return errors;
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
