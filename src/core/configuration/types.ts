/**
The configuration document that operators patch. The platform holds it as
numbered versions. `docs/CONFIGURATION.md` is its reference.
*/

export type Priority = 'urgent' | 'normal' | 'batch';

/** Whether a request may be sent again after it may have run. */
export type RepeatRule = 'idempotent' | 'once';

/** Where the idempotency key of a request stands. */
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
	/** Accelerator memory of one resident copy, adapters included. */
	readonly memoryMb: number;
	readonly priority?: Priority;
	readonly adapters: Readonly<Record<string, Adapter>>;
};

export type RouteRule = {
	/** HTTP method in capitals, or `*`. */
	readonly method: string;
	/** Path prefix below the service, beginning with a slash. */
	readonly path: string;
	readonly repeat: RepeatRule;
	readonly key?: KeySource;
	/** How long a recorded answer is kept. */
	readonly answerRetentionMs?: number;
	readonly priority?: Priority;
};

export type Service = {
	readonly kind: 'engine' | 'plain';
	readonly routes: readonly RouteRule[];
	/** Statuses by which the service says for certain that it did not run the request. */
	readonly notRunStatuses: readonly number[];
};

export type Target = {
	readonly service: string;
	/** Base URL with an IP address. */
	readonly address: string;
	readonly zone: string;
	readonly gateway: GatewayKind;
	/** Accelerator memory, zero for plain services. */
	readonly memoryMb: number;
	readonly accelerators: number;
	/** Requests that the target runs at once. */
	readonly slots: number;
};

export type Caller = {
	/** Hexadecimal SHA-256 of the caller's bearer token; absent admits requests without a token. */
	readonly tokenSha256?: string;
	/** Share of a contended queue relative to other callers. */
	readonly weight: number;
	readonly priority: Priority;
};

export type Limits = {
	readonly deadlineMs: Readonly<Record<Priority, number>>;
	/** Weight-store loads started per second over all zones. */
	readonly weightLoadsPerSecond: number;
	/** Weight-store loads in progress at once over all zones. */
	readonly weightLoadsAtOnce: number;
	/** Adapter transfers in transit at once over all targets. */
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
