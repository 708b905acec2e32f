/**
The platform's transactional table as the core uses it: reads, and writes of
several rows that happen together or not at all. A row's revision is 0 while it
is absent and grows with every write.
*/

export type Row = {
	readonly key: string;
	readonly revision: number;
	readonly value: unknown;
};

export type Condition = {
	readonly key: string;
	/** Revision that the row must have; 0 requires its absence. */
	readonly revision: number;
};

export type Put = {
	readonly key: string;
	readonly value: unknown;
	/** Wall-clock time after which the platform may delete the row. */
	readonly expiresAtMs?: number;
};

export type TableOperation =
	| {readonly kind: 'read'; readonly keys: readonly string[]}
	| {readonly kind: 'scan'; readonly prefix: string}
	| {readonly kind: 'write'; readonly conditions: readonly Condition[]; readonly puts: readonly Put[]};

/**
`conflict` holds the rows whose conditions failed as they stand. `lost` means that
the operation may have taken effect; `unavailable` means that it certainly has not.
*/
export type TableAnswer =
	| {readonly kind: 'rows'; readonly rows: readonly Row[]}
	| {readonly kind: 'written'; readonly revisions: Readonly<Record<string, number>>}
	| {readonly kind: 'conflict'; readonly rows: readonly Row[]}
	| {readonly kind: 'lost'}
	| {readonly kind: 'unavailable'};
