/**
Settings of an entry instance on a platform: a YAML file, checked whole before
anything starts. `docs/SETTINGS.md` is the reference.
*/
import * as z from 'zod';

const endpoint = z.string().regex(/^[\w.\-]+:\d{1,5}$/v, 'must be HOST:PORT');
const milliseconds = z.number().nonnegative();

const entrySettingsSchema = z.strictObject({
	instance: z.strictObject({
		id: z.string().min(1).max(64),
		zone: z.string().min(1).max(64),
	}),
	listen: z.strictObject({
		callers: endpoint,
		readiness: endpoint,
		peers: endpoint,
		/** Datagrams between instances; the port is the same on all of them. */
		beacons: endpoint,
		metrics: endpoint.optional(),
	}),
	/** Peers to contact first. They may be stale or down. */
	seeds: z.array(endpoint).default([]),
	store: z.strictObject({
		address: endpoint,
	}),
	bounds: z.strictObject({
		graceMs: milliseconds,
		leaseMs: milliseconds,
		repeatShare: z.number().min(0).max(10),
		repeatWindowMs: z.number().positive(),
		repeatSlack: z.number().nonnegative(),
	}),
	log: z.strictObject({
		level: z.enum(['debug', 'info', 'warn', 'error', 'silent']).default('info'),
	}).prefault({}),
});

export type EntrySettings = z.output<typeof entrySettingsSchema>;

export {entrySettingsSchema};
