/**
Settings of one daemon: a YAML file that is validated completely before anything starts.
Every error is reported on one line with its path. `docs/SETTINGS.md` is the reference.
*/
import {readFileSync} from 'node:fs';
import {Left, Right, type Either} from 'purify-ts';
import * as yaml from 'yaml';
import * as z from 'zod';

const DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024;

const listenerSchema = z.strictObject({
	host: z.string().default('127.0.0.1'),
	port: z.number().int().min(0).max(65_535),
});

const settingsSchema = z.strictObject({
	instance: z.strictObject({
		id: z.string().min(1).max(64),
		zone: z.string().min(1).max(64),
	}),
	listen: z.strictObject({
		callers: listenerSchema.prefault({port: 8080}),
		operators: listenerSchema.prefault({port: 8090}),
		peers: listenerSchema.prefault({port: 8070}),
	}).prefault({}),
	/** Base URL at which peers reach this instance. Defaults to the address of the peer listener. */
	advertise: z.url({protocol: /^https?$/v}).optional(),
	platform: z.strictObject({
		table: z.url({protocol: /^https?$/v}),
		objects: z.url({protocol: /^https?$/v}),
		instances: z.url({protocol: /^https?$/v}),
	}),
	/** Base URLs of peers to contact at startup, in case the platform's list of instances cannot be read. */
	seeds: z.array(z.url({protocol: /^https?$/v})).default([]),
	limits: z.strictObject({
		bodyBytes: z.number().int().positive().default(DEFAULT_MAX_BODY_BYTES),
	}).prefault({}),
	metrics: z.strictObject({
		enabled: z.boolean().default(false),
		host: z.string().default('127.0.0.1'),
		port: z.number().int().min(1).max(65_535).default(8125),
	}).prefault({}),
	log: z.strictObject({
		level: z.enum(['debug', 'info', 'warn', 'error', 'silent']).default('info'),
	}).prefault({}),
});

export type Settings = z.output<typeof settingsSchema>;

/** Validates settings. The left side holds one line per error. */
export function parseSettings(document: unknown): Either<string[], Settings> {
	const parsed = settingsSchema.safeParse(document);
	return parsed.success
		? Right(parsed.data)
		: Left(parsed.error.issues.map(issue => `${issue.path.join('.') || '(top)'}: ${issue.message}`));
}

export function readSettings(file: string): Either<string[], Settings> {
	try {
		return parseSettings(yaml.parse(readFileSync(file, 'utf8')));
	} catch (error) {
		const message = error instanceof Error ? error.message.split('\n')[0] : undefined;
		return Left([`${file}: ${message ?? 'cannot be read'}`]);
	}
}
