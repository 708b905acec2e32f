/**
Interfaces through which an entry instance uses the platform that it is deployed on.
Names and formats of the platform appear only in their implementations.
*/
import {type Buffer} from 'node:buffer';
import {type Either} from 'purify-ts';
import {type EntryConfiguration} from '../core/entry/configuration.js';
import {type TargetLoad, type TargetEntry, type TargetReport} from '../core/entry/target.js';
import {type EngineOrder, type EngineOrderOutcome, type Relayed} from '../core/entry/types.js';

/** Alternating header names and values, as on the wire. */
export type RawHeaders = readonly string[];

export type StoredRow = {
	readonly key: string;
	/** Undefined if the row was deleted. */
	readonly value: Buffer | undefined;
	readonly revision: number;
};

export type RowPage = {
	readonly rows: readonly StoredRow[];
	/** Latest revision of the store at the time of the response. Revisions also rise when the store is restored from an older copy. */
	readonly revision: number;
	/** Revisions below this one are from before the store was last restored; 0 if it never was. */
	readonly eraRevision: number;
	/** The store's monotonic clock at the time of the response. */
	readonly storeMs: number;
};

/**
- `not-done`: the store rejected the call without executing it, or was not reached.
- `unknown`: no usable response; a write may have been executed or may still be.
- `history-lost`: the store has compacted the changes since the revision.
*/
export type StoreFailure = 'not-done' | 'unknown' | 'history-lost';

export type RowWrite = {
	readonly table: string;
	readonly key: string;
	/** Undefined deletes the row. */
	readonly value: Buffer | undefined;
	/** Revision that the row must have, 0 if it must not exist. Absent: the write is unconditional. */
	readonly expectedRevision?: number;
};

/** `eraRevision` as in a page. */
export type WriteResult =
	| {readonly kind: 'written'; readonly revision: number; readonly eraRevision: number}
	/** The current row, undefined if there is none. */
	| {readonly kind: 'conflict'; readonly row: StoredRow | undefined; readonly eraRevision: number};

export type RowStore = {
	/** Reads all rows of a table, or those of one key. */
	read(table: string, key?: string): Promise<Either<StoreFailure, RowPage>>;
	/** Returns the changes since a revision in their order; waits up to `waitMs` for one if there is none. */
	pollChanges(table: string, afterRevision: number, waitMs: number): Promise<Either<StoreFailure, RowPage>>;
	write(write: RowWrite): Promise<Either<StoreFailure, WriteResult>>;
	close(): Promise<void>;
};

/** Location and decoding of the documents that the platform's operators and targets write to the store. */
export type PlatformDocuments = {
	readonly configurationTable: string;
	readonly configurationKey: string;
	readonly registryTable: string;
	/** The left side describes what is invalid. */
	decodeConfiguration(value: Buffer): Either<string, EntryConfiguration>;
	decodeTarget(id: string, value: Buffer): Either<string, TargetEntry>;
};

/** Content of a caller's request headers. */
export type RequestMetadata = {
	readonly requestId: string | undefined;
	readonly deadlineMs: number | undefined;
	readonly model: string | undefined;
	readonly adapter: string | undefined;
	/** Size of the prompt, undefined if the caller does not state it. */
	readonly promptTokens: number | undefined;
	/** Longest output that the caller asks for, undefined if it does not state it. */
	readonly outputTokens: number | undefined;
	/** The caller's API key. It is not kept beyond its hash. */
	readonly apiKey: string | undefined;
	/** Ids of the parts of the prompt in order, of which requests share all but the last; empty if the caller states none. */
	readonly promptParts: readonly string[];
	/** Last event that the caller received in an earlier response, 0 for none. */
	readonly lastEventId: number;
	/** The request that brought the first event of the stream that this one resumes. */
	readonly resumes: string | undefined;
	/** Present if another instance passed the request on. */
	readonly relayed: Relayed | undefined;
};

/** Content of the headers that are added to a request to a target. */
export type ForwardingMetadata = {
	readonly targetId: string;
	readonly remainingMs: number;
	readonly rank: number;
	/** Whether the caller's API key, and a workspace that it states itself, are removed. */
	readonly hidesKey: boolean;
	/** Name of the workspace that holds the key, undefined for none. */
	readonly workspace: string | undefined;
	/** Last event that the caller received, if a stream is resumed at this target. */
	readonly lastEventId: number | undefined;
};

/** Content of the headers that are added to a request to another instance. */
export type RelayMetadata = {
	readonly relayed: Relayed;
	readonly remainingMs: number;
	/** Whether the caller's API key, and a workspace that it states itself, are removed. */
	readonly hidesKey: boolean;
	/** Last event that the caller received, if the other instance is to continue a stream. */
	readonly lastEventId: number | undefined;
};

/** Content of a target's response headers and status. */
export type ResponseMetadata = {
	readonly requestId: string | undefined;
	/** Whether the target has signed the response. */
	readonly isSigned: boolean;
	/** Whether the target guarantees that it did not run the request. */
	readonly isNotRun: boolean;
	/** Whether it did not run it since it is not the target, or does not hold the model or adapter, that the request needs. */
	readonly isMissing: boolean;
	/** Whether another instance generated the response itself. A target's own response that it passed on, even one without a signature, is none. */
	readonly isProblem: boolean;
	/** When the sender may be asked again, undefined if it states none. */
	readonly retryAfterMs: number | undefined;
	readonly load: TargetLoad | undefined;
	/** Whether the target states that it leaves. */
	readonly isLeaving: boolean;
	/** Requests a second that the target takes from all instances together, undefined if it names no limit. */
	readonly requestsPerSecond: number | undefined;
	/** Requests a second that the target can turn away before it falls over, undefined if it states none. */
	readonly declinesPerSecond: number | undefined;
};

/** Decodes and encodes the headers of callers and targets. */
export type HeaderCodec = {
	parseRequest(headers: RawHeaders): RequestMetadata;
	buildTargetHeaders(headers: RawHeaders, metadata: ForwardingMetadata): string[];
	buildRelayHeaders(headers: RawHeaders, metadata: RelayMetadata): string[];
	parseResponse(status: number, headers: RawHeaders): ResponseMetadata;
	/** Returns the headers of a response that this instance generates itself; `isRelayed`: to another instance. */
	buildProblemHeaders(requestId: string | undefined, isRelayed: boolean): Readonly<Record<string, string>>;
};

/** Client of the engines that run in targets. */
export type EngineClient = {
	/** Resolves to undefined if the engine gives no valid report in time. */
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
