/**
Settings of an entry instance on a platform. They come from a YAML file that is
validated completely before anything starts. `docs/SETTINGS.md` is the reference.
*/
import * as z from 'zod';
import {mechanismNames} from '../core/entry/mechanisms.js';

const endpoint = z.string().regex(/^[\w.\-]+:\d{1,5}$/v, 'must be HOST:PORT');
const milliseconds = z.number().nonnegative();

const entrySettingsSchema = z.strictObject({
	instance: z.strictObject({
		id: z.string().min(1).max(64),
		zone: z.string().min(1).max(64),
		/** Processor time of the instance, in cores. Larger instances are preferred for the lease over orders. */
		processorCores: z.number().positive().optional(),
	}),
	listen: z.strictObject({
		callers: endpoint,
		readiness: endpoint,
		peers: endpoint,
		/** UDP socket for beacons; all instances use the same port. */
		beacons: endpoint,
		metrics: endpoint.optional(),
	}),
	/** Peer addresses for the first contact. They may be outdated or down. */
	seeds: z.array(endpoint).default([]),
	store: z.strictObject({
		address: endpoint,
	}),
	bounds: z.strictObject({
		graceMs: milliseconds,
		drainMs: milliseconds.default(2000),
		leaseMs: milliseconds,
		repeatShare: z.number().min(0).max(10),
		repeatWindowMs: z.number().positive(),
		repeatSlack: z.number().nonnegative(),
		revocation: z.strictObject({
			isStrict: z.boolean(),
			withinMs: milliseconds,
		}).optional(),
		quota: z.strictObject({
			windowMs: z.number().positive(),
			overShare: z.number().nonnegative(),
			slack: z.number().nonnegative(),
		}).optional(),
	}),
	connections: z.strictObject({
		/** Which requests may use pooled connections to targets: those that may be repeated, or all. */
		reuse: z.enum(['repeatable', 'all']).default('repeatable'),
	}).prefault({}),
	callers: z.strictObject({
		/** Limit for the memory of all connections of callers together, in bytes. */
		memoryBytes: z.int().positive().default(32 * 1024 * 1024),
		/** Limit for connections of callers; descriptors have to be left for those to targets, peers and the store. */
		maxConnections: z.int().positive().default(1024),
		/** Bodies in chunks of under five bytes that may arrive at once. */
		fragmentedBodies: z.int().nonnegative().default(16),
	}).prefault({}),
	pace: z.strictObject({
		/** Whether targets that have just started or recovered get a limit that follows how they answer. */
		mode: z.enum(['off', 'adaptive']).default('off'),
	}).prefault({}),
	policy: z.strictObject({
		/** Mechanisms that are switched off, for experiments. */
		without: z.array(z.enum(mechanismNames)).default([]),
	}).prefault({}),
	log: z.strictObject({
		level: z.enum(['debug', 'info', 'warn', 'error', 'silent']).default('info'),
	}).prefault({}),
});

export type EntrySettings = z.output<typeof entrySettingsSchema>;

export {entrySettingsSchema};
