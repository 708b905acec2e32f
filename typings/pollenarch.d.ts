/**
The public interface of pollenarch: what users write and read. Internals may change
freely; this file changes with a note in the release.

Durations are milliseconds, memory is megabytes, times are milliseconds since the
epoch of the wall clock, unless a member says otherwise.
*/

/** Settings of one daemon, read from the YAML file that `pollenarchd --settings` names. */
export type Settings = {
	/** Who this process is. Ids are unique among the instances of a deployment. */
	instance: {id: string; zone: string};
	/** Listen addresses. Port 0 takes a free one, which event 104 tells. */
	listen?: {
		/** Default port 8080. */
		callers?: Listener;
		/** Default port 8090. */
		operators?: Listener;
		/** Default port 8070. */
		peers?: Listener;
	};
	/** Base URL under which peers reach this instance. Default: the peer listener's own. */
	advertise?: string;
	/** Base URLs of the platform's services. */
	platform: {table: string; objects: string; instances: string};
	/** Peers to ask when the platform's list cannot be had at the start. */
	seeds?: string[];
	/** Largest body of a caller's request; default 4 MiB. Larger ones get result 1002. */
	limits?: {bodyBytes?: number};
	/** StatsD; off by default. */
	metrics?: {enabled?: boolean; host?: string; port?: number};
	log?: {level?: 'debug' | 'info' | 'warn' | 'error' | 'silent'};
};

export type Listener = {
	/** Default 127.0.0.1. */
	host?: string;
	port: number;
};

/** `urgent` goes first and past what waits at an engine; `batch` waits for free slots. */
export type Priority = 'urgent' | 'normal' | 'batch';

/** Whether a request may be sent again after it may have run. */
export type RepeatRule = 'idempotent' | 'once';

/** Where a route's idempotency key stands: the `Idempotency-Key` header, or a JSON pointer (RFC 6901) into the body. */
export type KeySource = {from: 'header'} | {from: 'body'; pointer: string};

/**
How a target is spoken to. `engine-fenced` refuses an order whose fence is below the
highest it has seen since its start; `engine-unfenced` takes every order.
*/
export type GatewayKind = 'engine-fenced' | 'engine-unfenced' | 'plain';

/** The document that operators patch. Rejected patches list every mistake with its path (results 2002 and 2003). */
export type Configuration = {
	services: Record<string, Service>;
	targets: Record<string, Target>;
	models: Record<string, Model>;
	callers: Record<string, Caller>;
	limits: Limits;
};

export type Service = {
	kind: 'engine' | 'plain';
	/** The longest matching path rules. Without a match safe methods are idempotent, all others run once with a header key. */
	routes: RouteRule[];
	/** Statuses by which the service says for certain that it did not run a request. */
	notRunStatuses: number[];
};

export type RouteRule = {
	/** In capitals, or `*`. */
	method: string;
	/** Prefix of whole path segments below the service. */
	path: string;
	repeat: RepeatRule;
	key?: KeySource;
	/** How long a recorded answer is kept; default one day, at most 30. */
	answerRetentionMs?: number;
	priority?: Priority;
};

export type Target = {
	service: string;
	/** Base URL with an IP address. */
	address: string;
	zone: string;
	gateway: GatewayKind;
	/** Accelerator memory; 0 for plain services. */
	memoryMb: number;
	accelerators: number;
	/** Requests that the target runs at once. */
	slots: number;
};

export type Model = {
	service: string;
	/** A new version is loaded beside the old one, or in its place where there is no room. */
	version: number;
	/** Memory of one resident copy, adapters included. */
	memoryMb: number;
	/** Overrides the caller's priority. */
	priority?: Priority;
	/** Names are unique over all models and adapters. */
	adapters: Record<string, Adapter>;
};

export type Adapter = {version: number; memoryMb: number};

export type Caller = {
	/** Hexadecimal SHA-256 of the bearer token. The first caller without one owns requests that carry no token. */
	tokenSha256?: string;
	/** Share of a contended queue relative to others. */
	weight: number;
	priority: Priority;
};

export type Limits = {
	/** Time to the whole answer for requests without `X-Deadline-Ms`. */
	deadlineMs: Record<Priority, number>;
	weightLoadsPerSecond: number;
	weightLoadsAtOnce: number;
	adapterTransfersAtOnce: number;
};

/** Body of `POST /configuration/patches`. */
export type PatchSubmission = {
	/** Version that the patch was made against. */
	base: number;
	/** An object is a merge patch (RFC 7396), an array a JSON patch (RFC 6902). */
	patch: Record<string, unknown> | unknown[];
	operator?: string;
	/** Makes a repeated submission the same one. */
	patchId?: string;
};

/** Whether the work behind an answer ran. `no` is a promise. */
export type Ran = 'no' | 'yes' | 'unknown';

/** Body of every answer of pollenarch's own, `application/problem+json` (RFC 9457). */
export type Problem = {
	type: string;
	title: string;
	status: number;
	/** `PA-` and the number of the result code, see `docs/ERRORS.md`. */
	code: string;
	name: string;
	ran?: Ran;
	detail?: string;
	requestId?: string;
	/** Mistakes of a rejected patch. */
	mistakes?: Array<{path: string; message: string}>;
	/** The version in force, on answers to patches. */
	version?: number;
	/** The same for OpenAI clients. */
	error: {message: string; type: string; code: string};
};
