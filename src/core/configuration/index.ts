/**
Lookup tables for the current configuration, built once per version so that event
handlers never search the document.
*/
import {type RouteId, type TargetId} from '../types.js';
import {
	type Caller, type Configuration, type RouteRule, type Service,
} from './types.js';

export type ModelReference = {
	readonly model: string;
	readonly adapter: string | undefined;
};

export type ConfigurationIndex = {
	/** Models and adapters by the name that callers use. */
	readonly names: ReadonlyMap<string, ModelReference>;
	readonly callersByToken: ReadonlyMap<string, string>;
	/** The caller to which requests without a token are attributed. */
	readonly openCaller: string | undefined;
	/** Targets by service. */
	readonly targetsByService: ReadonlyMap<string, readonly TargetId[]>;
	/** Routing rules by service, longest path first. */
	readonly rules: ReadonlyMap<string, readonly RouteRule[]>;
};

export const emptyConfiguration: Configuration = {
	services: {},
	targets: {},
	models: {},
	callers: {},
	limits: {
		deadlineMs: {urgent: 10_000, normal: 60_000, batch: 1_800_000},
		weightLoadsPerSecond: 1.5,
		weightLoadsAtOnce: 6,
		adapterTransfersAtOnce: 50,
	},
};

export function indexConfiguration(configuration: Configuration): ConfigurationIndex {
	const names = new Map<string, ModelReference>();
	for (const [model, {adapters}] of Object.entries(configuration.models)) {
		names.set(model, {model, adapter: undefined});
		for (const adapter of Object.keys(adapters)) {
			names.set(adapter, {model, adapter});
		}
	}

	const callersByToken = new Map<string, string>();
	let openCaller: string | undefined;
	for (const [id, {tokenSha256}] of Object.entries(configuration.callers)) {
		if (tokenSha256) {
			callersByToken.set(tokenSha256, id);
		} else {
			openCaller ??= id;
		}
	}

	const targetsByService = new Map<string, TargetId[]>();
	for (const [id, {service}] of Object.entries(configuration.targets)) {
		const ids = targetsByService.get(service) ?? [];
		ids.push(id);
		targetsByService.set(service, ids);
	}

	const rules = new Map(Object.entries(configuration.services)
		.map(([id, service]) => [id, sortedRules(service)]));
	return {
		names, callersByToken, openCaller, targetsByService, rules,
	};
}

function sortedRules(service: Service): readonly RouteRule[] {
	return service.routes.toSorted((a, b) => b.path.length - a.path.length || Number(a.method === '*') - Number(b.method === '*'));
}

export function callerOrDefault(configuration: Configuration, id: string): Caller {
	// The id may be the name of a member that every object has.
	return Object.hasOwn(configuration.callers, id) ? configuration.callers[id]! : {weight: 1, priority: 'normal'};
}

export function modelRoute(model: string): RouteId {
	return `model:${model}`;
}

export function serviceRoute(service: string): RouteId {
	return `service:${service}`;
}
