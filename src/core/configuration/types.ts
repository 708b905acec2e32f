/**
The configuration document, which operators change by patches. The platform stores
it in numbered versions. `docs/CONFIGURATION.md` is the reference.
*/

export type Priority = 'urgent' | 'normal' | 'batch';

/** Whether a request that may already have been executed may be retried. */
export type RepeatRule = 'idempotent' | 'once';

/** Where the idempotency key of a request is found. */
export type KeySource =
	| {readonly from: 'header'}
	| {readonly from: 'body'; readonly pointer: string};

export type GatewayKind = 'engine-fenced' | 'engine-unfenced' | 'plain';

export type Adapter = {
	readonly version: number;
	readonly memoryMb: number;
};

export type Model = {
	readonly service: string;
	readonly version: number;
	/** Accelerator memory of one resident copy, including its adapters. */
	readonly memoryMb: number;
	readonly priority?: Priority;
	readonly adapters: Readonly<Record<string, Adapter>>;
};

export type RouteRule = {
	/** HTTP method in upper case, or `*` for any. */
	readonly method: string;
	/** Path prefix relative to the service, starting with a slash. */
	readonly path: string;
	readonly repeat: RepeatRule;
	readonly key?: KeySource;
	/** How long a recorded answer is retained for replay. */
	readonly answerRetentionMs?: number;
	readonly priority?: Priority;
};

export type Service = {
	readonly kind: 'engine' | 'plain';
	readonly routes: readonly RouteRule[];
	/** Status codes which guarantee that the service did not execute the request. */
	readonly notRunStatuses: readonly number[];
};

export type Target = {
	readonly service: string;
	/** Base URL with an IP address. */
	readonly address: string;
	readonly zone: string;
	readonly gateway: GatewayKind;
	/** Accelerator memory; 0 for targets of plain services. */
	readonly memoryMb: number;
	readonly accelerators: number;
	/** Maximum number of requests that the target runs concurrently. */
	readonly slots: number;
};

export type Caller = {
	/** SHA-256 of the bearer token in hexadecimal. Requests without a token are attributed to the first caller that has no hash. */
	readonly tokenSha256?: string;
	/** Weight in fair queueing, relative to other callers. */
	readonly weight: number;
	readonly priority: Priority;
};

export type Limits = {
	readonly deadlineMs: Readonly<Record<Priority, number>>;
	/** Maximum number of loads from the weight store started per second, over all zones. */
	readonly weightLoadsPerSecond: number;
	/** Maximum number of concurrent loads from the weight store, over all zones. */
	readonly weightLoadsAtOnce: number;
	/** Maximum number of concurrent adapter transfers, over all targets. */
	readonly adapterTransfersAtOnce: number;
};

export type Configuration = {
	readonly services: Readonly<Record<string, Service>>;
	readonly targets: Readonly<Record<string, Target>>;
	readonly models: Readonly<Record<string, Model>>;
	readonly callers: Readonly<Record<string, Caller>>;
	readonly limits: Limits;
};

export type VersionedConfiguration = {
	readonly version: number;
	readonly configuration: Configuration;
};
