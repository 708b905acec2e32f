/**
The platform's transactional table as the core uses it: reads, and atomic writes of
several rows. A row's revision is 0 while the row is absent and increases with every
write.
*/

export type Row = {
	readonly key: string;
	readonly revision: number;
	readonly value: unknown;
};

export type Condition = {
	readonly key: string;
	/** Revision that the row must have; 0 requires that it is absent. */
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
`conflict` carries the current rows whose conditions failed. `lost` means that the
operation may have taken effect, `unavailable` that it definitely has not.
*/
export type TableAnswer =
	| {readonly kind: 'rows'; readonly rows: readonly Row[]}
	| {readonly kind: 'written'; readonly revisions: Readonly<Record<string, number>>}
	| {readonly kind: 'conflict'; readonly rows: readonly Row[]}
	| {readonly kind: 'lost'}
	| {readonly kind: 'unavailable'};
