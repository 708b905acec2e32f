/**
Public types of pollenarch: the documents that users write and read. Changes to this file
are listed in the release notes; everything else is internal and may change at any time.

Unless a member says otherwise, durations are in milliseconds, memory sizes in megabytes,
and times in milliseconds since the Unix epoch.
*/

/** Settings of one daemon, read from the YAML file that `pollenarchd --settings` names. */
export type Settings = {
	/** Identity of this process. The id must be unique among the instances of a deployment. */
	instance: {id: string; zone: string};
	/** Listen addresses. Port 0 selects a free port, which log event 104 reports. */
	listen?: {
		/** Default port 8080. */
		callers?: Listener;
		/** Default port 8090. */
		operators?: Listener;
		/** Default port 8070. */
		peers?: Listener;
	};
	/** Base URL at which peers reach this instance. Defaults to the address of the peer listener. */
	advertise?: string;
	/** Base URLs of the platform's services. */
	platform: {table: string; objects: string; instances: string};
	/** Base URLs of peers to contact at startup, in case the platform's list of instances cannot be read. */
	seeds?: string[];
	/** Maximum size of a request body; default 4 MiB. Larger requests are rejected with result code 1002. */
	limits?: {bodyBytes?: number};
	/** Metrics sent to a StatsD server; disabled by default. */
	metrics?: {enabled?: boolean; host?: string; port?: number};
	log?: {level?: 'debug' | 'info' | 'warn' | 'error' | 'silent'};
};

export type Listener = {
	/** Default 127.0.0.1. */
	host?: string;
	port: number;
};

/** `urgent` requests are sent first, also to engines that have a backlog; `batch` requests wait for free slots. */
export type Priority = 'urgent' | 'normal' | 'batch';

/** Whether a request that may already have been executed may be retried. */
export type RepeatRule = 'idempotent' | 'once';

/** Where the idempotency key of a request is found: the `Idempotency-Key` header, or a JSON pointer (RFC 6901) into the body. */
export type KeySource = {from: 'header'} | {from: 'body'; pointer: string};

/**
Protocol of a target. An `engine-fenced` target rejects an order whose fencing token is
below the highest one that it has received since it started; an `engine-unfenced` target
accepts every order.
*/
export type GatewayKind = 'engine-fenced' | 'engine-unfenced' | 'plain';

/** The configuration document, which operators change by patches. The response to a rejected patch lists every error with its path (result codes 2002 and 2003). */
export type Configuration = {
	services: Record<string, Service>;
	targets: Record<string, Target>;
	models: Record<string, Model>;
	callers: Record<string, Caller>;
	limits: Limits;
};

export type Service = {
	kind: 'engine' | 'plain';
	/** The rule with the longest matching path applies. If no rule matches, safe methods are idempotent and all other methods are `once` with the key in the header. */
	routes: RouteRule[];
	/** Status codes which guarantee that the service did not execute the request. */
	notRunStatuses: number[];
};

export type RouteRule = {
	/** HTTP method in upper case, or `*` for any. */
	method: string;
	/** Path prefix relative to the service; matches whole path segments only. */
	path: string;
	repeat: RepeatRule;
	key?: KeySource;
	/** How long a recorded answer is retained for replay; default one day, at most 30 days. */
	answerRetentionMs?: number;
	priority?: Priority;
};

export type Target = {
	service: string;
	/** Base URL with an IP address. */
	address: string;
	zone: string;
	gateway: GatewayKind;
	/** Accelerator memory; 0 for targets of plain services. */
	memoryMb: number;
	accelerators: number;
	/** Maximum number of requests that the target runs concurrently. */
	slots: number;
};

export type Model = {
	service: string;
	/** A new version is loaded next to the old one, or replaces it where memory does not suffice for both. */
	version: number;
	/** Accelerator memory of one resident copy, including its adapters. */
	memoryMb: number;
	/** Overrides the priority of the caller. */
	priority?: Priority;
	/** Adapters by name. Names must be unique among all models and adapters. */
	adapters: Record<string, Adapter>;
};

export type Adapter = {version: number; memoryMb: number};

export type Caller = {
	/** SHA-256 of the bearer token in hexadecimal. Requests without a token are attributed to the first caller that has no hash. */
	tokenSha256?: string;
	/** Weight in fair queueing, relative to other callers. */
	weight: number;
	priority: Priority;
};

export type Limits = {
	/** Default deadline for the complete response, for requests without an `X-Deadline-Ms` header. */
	deadlineMs: Record<Priority, number>;
	/** Maximum number of loads from the weight store started per second, over all zones. */
	weightLoadsPerSecond: number;
	/** Maximum number of concurrent loads from the weight store, over all zones. */
	weightLoadsAtOnce: number;
	/** Maximum number of concurrent adapter transfers, over all targets. */
	adapterTransfersAtOnce: number;
};

/** Request body of `POST /configuration/patches`. */
export type PatchSubmission = {
	/** Version that the patch is based on. */
	base: number;
	/** An object is a merge patch (RFC 7396), an array a JSON patch (RFC 6902). */
	patch: Record<string, unknown> | unknown[];
	operator?: string;
	/** Idempotency key: submissions with the same id count as one. */
	patchId?: string;
};

/** Whether a target executed the request behind a response. `no` is a guarantee. */
export type Ran = 'no' | 'yes' | 'unknown';

/** Body of every error response that pollenarch itself generates, as `application/problem+json` (RFC 9457). */
export type Problem = {
	type: string;
	title: string;
	status: number;
	/** `PA-` followed by the number of the result code; see `docs/ERRORS.md`. */
	code: string;
	name: string;
	ran?: Ran;
	detail?: string;
	requestId?: string;
	/** Errors in a rejected patch. */
	mistakes?: Array<{path: string; message: string}>;
	/** The current version, in responses to patches. */
	version?: number;
	/** The same information in the format that OpenAI clients expect. */
	error: {message: string; type: string; code: string};
};
