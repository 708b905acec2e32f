/**
Rows that entry instances write to the platform's store, encoded as JSON: one per
instance, the lease whose holder may send orders to engines, and the record of releases.
*/
import {Buffer} from 'node:buffer';
import {Just, Nothing, type Maybe} from 'purify-ts';
import * as z from 'zod';
import {type ReleaseRecord} from '../core/entry/release-record.js';
import {type EntryInstance, type LeaseRecord} from '../core/entry/types.js';

export const INSTANCES_TABLE = 'pollenarch-instances';
export const LEASES_TABLE = 'pollenarch-leases';
export const ORDERS_LEASE_KEY = 'orders';
export const RELEASES_TABLE = 'pollenarch-releases';
export const RELEASES_KEY = 'services';

const instanceSchema = z.object({
	id: z.string(), boot: z.string(), zone: z.string(), address: z.string(), beaconAddress: z.string(), callerAddress: z.string().optional(), processorCores: z.number().optional(),
});

const leaseSchema = z.object({
	holder: z.string(), boot: z.string(), epoch: z.number().int(), isReleased: z.boolean(),
});

const releaseNames = z.array(z.string());

const releasesSchema = z.object({
	sinceMs: z.number(),
	eraRevision: z.number(),
	// `z.record` leaves out a service of the name `__proto__`.
	releases: z.custom<ReleaseRecord['releases']>(value => typeof value === 'object' && value !== null && Object.values(value).every(names => releaseNames.safeParse(names).success)),
});

export function encodeRow(record: EntryInstance | LeaseRecord | ReleaseRecord): Buffer {
	return Buffer.from(JSON.stringify(record));
}

export function decodeInstance(value: Buffer | undefined): Maybe<EntryInstance> {
	return decode(instanceSchema, value);
}

export function decodeLease(value: Buffer | undefined): Maybe<LeaseRecord> {
	return decode(leaseSchema, value);
}

export function decodeReleases(value: Buffer | undefined): Maybe<ReleaseRecord> {
	return decode(releasesSchema, value);
}

function decode<Row>(schema: z.ZodType<Row>, value: Buffer | undefined): Maybe<Row> {
	if (!value) {
		return Nothing;
	}

	try {
		return Just(schema.parse(JSON.parse(value.toString('utf8'))));
	} catch {
		// Another version of the software may have written a row that this one cannot read.
		return Nothing;
	}
}
