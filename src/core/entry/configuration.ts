/**
The configuration of a deployment, kept by its operators in the platform's store:
routes matched by host and longest path prefix, services, and limits on what callers
may send. It is always read as a whole, has a monotonically increasing version, and is
indexed once when it is adopted.
*/
import {type Workspace} from './workspace.js';

/** A service that a route sends requests to. Several destinations share a route in proportion to their weights. */
export type Destination = {
	readonly service: string;
	readonly weight: number;
};

export type Route = {
	readonly name: string;
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly prefix: string;
	/** `idempotent` requests may be retried after any failure, `once` only if the target provably did not execute them. */
	readonly repeat: 'idempotent' | 'once';
	readonly isStream: boolean;
	/** Longest time until a request gets its final response. */
	readonly timeoutMs: number;
	/** Latency objective: time from arrival to the response, for streams to the first event. */
	readonly objectiveMs: number;
	/** Objective for the pause between two events of a stream. */
	readonly pauseMs: number;
	/** Time after which callers give up waiting for the response, for streams for the first or the next event. */
	readonly patienceMs: number;
	/** Priority; 0 is the most urgent. */
	readonly rank: number;
	/** Maximum number of tries of one request that may have been executed. */
	readonly maxAttempts: number;
	readonly destinations: readonly Destination[];
	/** Whether callers need no API key where the configuration has workspaces; absent: they do. */
	readonly isPublic?: boolean;
};

export type EngineModel = {
	readonly name: string;
	readonly sizeMb: number;
	/** Time to load from the weight store. */
	readonly loadMs: number;
	/** Time to load from the target's own disk or memory. */
	readonly diskLoadMs: number;
	readonly memoryLoadMs: number;
	readonly adapterMb: number;
	readonly adapters: number;
};

export type Engine = {
	readonly memoryMb: number;
	readonly adapterPlaces: number;
	/** Rate limit on loads from the weight store, over all targets of the service. */
	readonly loadsPerSecond: number;
	readonly models: ReadonlyMap<string, EngineModel>;
};

export type Service = {
	readonly name: string;
	/** Connections that a target accepts from all its clients together. */
	readonly maxConnections: number;
	readonly engine: Engine | undefined;
};

/** Limits on what callers may send. */
export type CallerLimits = {
	readonly headerBytes: number;
	readonly bodyBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
};

export type EntryConfiguration = {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: ReadonlyMap<string, Service>;
	readonly limits: CallerLimits;
	/** Empty if callers need no API key; absent in the configurations of instances of an earlier build. */
	readonly workspaces?: readonly Workspace[];
};

/** Routes by host, longest prefix first. */
export type RouteIndex = ReadonlyMap<string, readonly Route[]>;

export function indexRoutes(routes: readonly Route[]): RouteIndex {
	const byHost = new Map<string, Route[]>();
	for (const route of routes) {
		const host = normalizeHost(route.host);
		const list = byHost.get(host) ?? [];
		list.push(route);
		byHost.set(host, list);
	}

	for (const list of byHost.values()) {
		list.sort((a, b) => b.prefix.length - a.prefix.length);
	}

	return byHost;
}

export function findRoute(index: RouteIndex, host: string, path: string): Route | undefined {
	return index.get(normalizeHost(host))?.find(route => path.startsWith(route.prefix));
}

/** Host names are compared case-insensitively and without the port (RFC 9110, section 4.2.3). */
export function normalizeHost(host: string): string {
	return host.toLowerCase().replace(/:\d*$/v, '');
}

/** Picks a destination by weight; `random` is from 0 (inclusive) to 1 (exclusive). */
export function pickDestination(route: Route, random: number): string | undefined {
	const total = route.destinations.reduce((sum, {weight}) => sum + weight, 0);
	let remainingWeight = random * total;
	for (const {service, weight} of route.destinations) {
		remainingWeight -= weight;
		if (remainingWeight < 0) {
			return service;
		}
	}

	return route.destinations.at(-1)?.service;
}
