/**
What an entry instance needs from the deployment that it runs in, as narrow
interfaces. Names and formats of a platform stand behind them and nowhere else.
*/
import {type Buffer} from 'node:buffer';
import {type Either} from 'purify-ts';
import {type EntryConfiguration} from '../core/entry/configuration.js';
import {type TargetLoad, type TargetEntry, type TargetReport} from '../core/entry/target.js';
import {type EngineOrder, type EngineOrderOutcome} from '../core/entry/types.js';

/** Header names and values by turns, as they came or go over the wire. */
export type RawHeaders = readonly string[];

export type StoredRow = {
	readonly key: string;
	/** Undefined when the row was deleted. */
	readonly value: Buffer | undefined;
	readonly revision: number;
};

export type RowPage = {
	readonly rows: readonly StoredRow[];
	/** Newest revision of the store when it answered. */
	readonly revision: number;
	/** The store's steady clock when it answered. */
	readonly storeMs: number;
};

/**
- `not-done`: the store says that it did nothing, or was not reached.
- `unknown`: no answer; a write may have been done or may still be.
- `history-lost`: changes since the revision are not kept any more.
*/
export type StoreFailure = 'not-done' | 'unknown' | 'history-lost';

export type RowWrite = {
	readonly table: string;
	readonly key: string;
	/** Undefined deletes the row. */
	readonly value: Buffer | undefined;
	/** Revision that the row must have, 0 for none. Absent: unconditional. */
	readonly expectedRevision?: number;
};

export type WriteResult =
	| {readonly kind: 'written'; readonly revision: number}
	/** The row as it stands, absent when there is none. */
	| {readonly kind: 'conflict'; readonly row: StoredRow | undefined};

export type RowStore = {
	/** All rows of a table, or those of one key. */
	read(table: string, key?: string): Promise<Either<StoreFailure, RowPage>>;
	/** Rows changed since a revision; waits for one if none has. */
	pollChanges(table: string, afterRevision: number, waitMs: number): Promise<Either<StoreFailure, RowPage>>;
	write(write: RowWrite): Promise<Either<StoreFailure, WriteResult>>;
	close(): Promise<void>;
};

/** Where the platform's operators and targets write, and how to read it. */
export type PlatformDocuments = {
	readonly configurationTable: string;
	readonly configurationKey: string;
	readonly registryTable: string;
	/** The left side says what cannot be read. */
	decodeConfiguration(value: Buffer): Either<string, EntryConfiguration>;
	decodeTarget(id: string, value: Buffer): Either<string, TargetEntry>;
};

/** What a caller's headers say. */
export type RequestMetadata = {
	readonly requestId: string | undefined;
	readonly deadlineMs: number | undefined;
	readonly model: string | undefined;
	readonly adapter: string | undefined;
	/** Last event that the caller has of an earlier answer, 0 for none. */
	readonly lastEventId: number;
};

export type ForwardingMetadata = {
	readonly targetId: string;
	readonly remainingMs: number;
	readonly rank: number;
	/** Last event that the caller has, when a stream goes on. */
	readonly lastEventId: number | undefined;
};

/** What a target's answer says beside its body. */
export type ResponseMetadata = {
	readonly requestId: string | undefined;
	/** Whether the target vouches for the answer as its own. */
	readonly isSigned: boolean;
	/** Whether the target promises that it did not run the request. */
	readonly isNotRun: boolean;
	readonly load: TargetLoad | undefined;
};

/** How callers and targets speak in headers. */
export type HeaderCodec = {
	parseRequest(headers: RawHeaders): RequestMetadata;
	buildTargetHeaders(headers: RawHeaders, metadata: ForwardingMetadata): string[];
	parseResponse(status: number, headers: RawHeaders): ResponseMetadata;
	/** Headers of an answer that this instance gives itself. */
	buildProblemHeaders(requestId: string | undefined): Readonly<Record<string, string>>;
};

/** Orders and reports of engines. */
export type EngineClient = {
	/** Undefined when the engine did not answer in time. */
	fetchReport(address: string, targetId: string): Promise<TargetReport | undefined>;
	sendOrder(address: string, targetId: string, order: EngineOrder): Promise<EngineOrderOutcome>;
	close(): Promise<void>;
};

export type Deployment = {
	readonly store: RowStore;
	readonly documents: PlatformDocuments;
	readonly headerCodec: HeaderCodec;
	readonly engines: EngineClient;
};
