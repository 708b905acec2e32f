/**
The configuration of a deployment whose operators keep it in the platform's store:
routes by host and longest prefix, services, and what callers may send. It arrives
whole, under a version that only grows, and is indexed once on adoption.
*/

/** Where requests of a route go. Several share the route in proportion to their weights. */
export type Destination = {
	readonly service: string;
	readonly weight: number;
};

export type Route = {
	readonly name: string;
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly prefix: string;
	/** `idempotent` work may run again after any failure, `once` only after proof that it did not run. */
	readonly repeat: 'idempotent' | 'once';
	readonly isStream: boolean;
	/** Longest time that a request may be kept without its final answer. */
	readonly timeoutMs: number;
	/** Time from arrival to the answer, for streams to the first event, that callers hope for. */
	readonly objectiveMs: number;
	/** Longest pause between two events of a stream that is still on time. */
	readonly pauseMs: number;
	/** Longest time that callers wait for the answer, for streams for the first or the next event. */
	readonly patienceMs: number;
	/** 0 is the most urgent. */
	readonly rank: number;
	/** Targets on which one request may run. */
	readonly maxAttempts: number;
	readonly destinations: readonly Destination[];
};

export type EngineModel = {
	readonly name: string;
	readonly sizeMb: number;
	/** Load from the weight store. */
	readonly loadMs: number;
	/** Load from the target's own disk or memory. */
	readonly diskLoadMs: number;
	readonly memoryLoadMs: number;
	readonly adapterMb: number;
	readonly adapters: number;
};

export type Engine = {
	readonly memoryMb: number;
	readonly adapterPlaces: number;
	/** Loads from the weight store, over all targets of the service. */
	readonly loadsPerSecond: number;
	readonly models: ReadonlyMap<string, EngineModel>;
};

export type Service = {
	readonly name: string;
	/** Connections that a target accepts from all callers together. */
	readonly maxConnections: number;
	readonly engine: Engine | undefined;
};

/** Bounds on what callers may send. */
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

/** Host names are compared without case and port (RFC 9110, section 4.2.3). */
function normalizeHost(host: string): string {
	return host.toLowerCase().replace(/:\d*$/v, '');
}

/** Picks a destination by weight with a random number from 0 up to but not including 1. */
export function pickDestination(route: Route, random: number): string | undefined {
	const total = route.destinations.reduce((sum, {weight}) => sum + weight, 0);
	let point = random * total;
	for (const {service, weight} of route.destinations) {
		point -= weight;
		if (point < 0) {
			return service;
		}
	}

	return route.destinations.at(-1)?.service;
}
