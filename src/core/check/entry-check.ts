/**
Checks a decoded configuration of a deployment whose operators keep it in the platform's
store: entries that can never match, and limits that contradict each other. Such a
configuration is valid, and daemons adopt it.
*/
import {
	normalizeHost, type Engine, type EntryConfiguration, type Route, type Service,
} from '../entry/configuration.js';
import {type Workspace} from '../entry/workspace.js';
import {type Finding, type PathPart} from './finding.js';

/** What the parser of the callers' listener takes at most; a configured limit above it has no effect. */
const PARSER_HEADER_BYTES = 64 * 1024;

type Report = (kind: 'never-matches' | 'contradiction', path: readonly PathPart[], message: string) => void;

export function checkEntryConfiguration(configuration: EntryConfiguration): Finding[] {
	const findings: Finding[] = [];
	const report: Report = (kind, path, message) => {
		findings.push({kind, path, message});
	};

	checkNames(configuration, report);
	checkRoutes(configuration, report);
	for (const service of configuration.services.values()) {
		checkService(service, configuration.routes, report);
	}

	checkWorkspaces(configuration, report);
	checkCallerLimits(configuration, report);
	return findings;
}

function checkNames({routes, workspaces = []}: EntryConfiguration, report: Report): void {
	for (const [section, entries] of [['routes', routes], ['workspaces', workspaces]] as const) {
		const seen = new Set<string>();
		for (const {name} of entries) {
			if (seen.has(name)) {
				report('never-matches', [section, {named: name}], 'the name is used twice');
			}

			seen.add(name);
		}
	}
}

function checkRoutes({routes, services}: EntryConfiguration, report: Report): void {
	const firstByKey = new Map<string, Route>();
	for (const route of routes) {
		const path = ['routes', {named: route.name}] as const;
		const key = `${normalizeHost(route.host)} ${route.prefix}`;
		const first = firstByKey.get(key);
		if (first) {
			report('never-matches', path, `route ${first.name} has the same host and prefix and comes first`);
		} else {
			firstByKey.set(key, route);
		}

		if (!route.prefix.startsWith('/') || !route.prefix.endsWith('/')) {
			report('never-matches', [...path, 'prefix'], 'a prefix begins and ends with a slash');
		}

		checkDestinations(route, services, report);
		checkRouteLimits(route, report);
	}
}

function checkDestinations({name, destinations}: Route, services: EntryConfiguration['services'], report: Report): void {
	const path = ['routes', {named: name}, 'destinations'] as const;
	if (destinations.every(({weight}) => weight <= 0)) {
		report('never-matches', path, 'no service takes its requests: they are refused');
	}

	for (const [index, {service, weight}] of destinations.entries()) {
		if (weight <= 0) {
			report('never-matches', [...path, index], `service ${service} has the weight ${weight} and gets no request`);
		}

		if (!services.has(service)) {
			report('never-matches', [...path, index], `service ${service} does not exist`);
		}
	}
}

function checkRouteLimits({
	name, timeoutMs, objectiveMs, maxAttempts, isStream, patienceMs,
}: Route, report: Report): void {
	const path = ['routes', {named: name}] as const;
	if (timeoutMs <= 0) {
		report('contradiction', [...path, 'timeoutMs'], 'its requests have no time');
	} else if (timeoutMs < objectiveMs) {
		report('contradiction', [...path, 'timeoutMs'], `the time limit of ${timeoutMs} ms ends before the latency objective of ${objectiveMs} ms`);
	}

	if (isStream && patienceMs < objectiveMs) {
		report('contradiction', [...path, 'objectiveMs'], `callers give up after ${patienceMs} ms, before the latency objective of ${objectiveMs} ms`);
	}

	if (maxAttempts < 1) {
		report('contradiction', [...path, 'maxAttempts'], 'no target may be tried');
	}
}

function checkService({name, engine, maxConnections}: Service, routes: readonly Route[], report: Report): void {
	const path = ['services', {named: name}] as const;
	if (!routes.some(({destinations}) => destinations.some(({service, weight}) => service === name && weight > 0))) {
		report('never-matches', path, 'no route leads to it');
	}

	if (maxConnections < 1) {
		report('contradiction', [...path, 'maxConnections'], 'its targets accept no connection');
	}

	if (engine) {
		checkEngine(engine, path, report);
	}
}

function checkEngine({models, memoryMb, adapterPlaces, loadsPerSecond}: Engine, path: readonly PathPart[], report: Report): void {
	if (loadsPerSecond <= 0 && models.size > 0) {
		report('contradiction', [...path, 'engine', 'loadsPerSecond'], 'no model may be loaded');
	}

	for (const model of models.values()) {
		const modelPath = [...path, 'engine', 'models', {named: model.name}];
		if (model.sizeMb > memoryMb) {
			report('contradiction', [...modelPath, 'sizeMb'], `${model.sizeMb} MB exceed the ${memoryMb} MB of a target`);
		} else if (model.adapters > 0 && model.sizeMb + model.adapterMb > memoryMb) {
			report('contradiction', [...modelPath, 'adapterMb'], `${model.sizeMb + model.adapterMb} MB with one adapter exceed the ${memoryMb} MB of a target`);
		}

		if (model.adapters > 0 && adapterPlaces < 1) {
			report('contradiction', [...modelPath, 'adapters'], 'targets have no place for adapters');
		}
	}
}

function checkWorkspaces({workspaces = [], routes}: EntryConfiguration, report: Report): void {
	const ownerByHash = new Map<string, Workspace>();
	for (const workspace of workspaces) {
		const path = ['workspaces', {named: workspace.name}] as const;
		if (workspace.keyHashes.length === 0) {
			report('never-matches', path, 'it has no API key');
		}

		for (const [index, hash] of workspace.keyHashes.entries()) {
			const owner = ownerByHash.get(hash);
			if (owner) {
				report('never-matches', [...path, 'keyHashes', index], owner === workspace ? 'the API key is listed twice' : `the API key belongs to workspace ${owner.name}, which comes first`);
			} else {
				ownerByHash.set(hash, workspace);
			}
		}

		const {quota} = workspace;
		if (quota && quota.burst <= 0) {
			report('contradiction', [...path, 'burst'], 'a quota without a burst admits no request');
		} else if (quota?.unit === 'tokens' && quota.defaultTokens > quota.burst) {
			report('contradiction', [...path, 'defaultTokens'], `a request without tokens counts as ${quota.defaultTokens}, more than the burst of ${quota.burst}`);
		}
	}

	if (workspaces.length > 0 && ownerByHash.size === 0 && routes.some(({isPublic}) => isPublic !== true)) {
		report('contradiction', ['workspaces'], 'no API key exists, so that only public routes are served');
	}
}

function checkCallerLimits({limits}: EntryConfiguration, report: Report): void {
	if (limits.headerBytes > PARSER_HEADER_BYTES) {
		report('contradiction', ['limits', 'headerBytes'], `${limits.headerBytes} bytes exceed the ${PARSER_HEADER_BYTES} that are read at most`);
	}

	for (const member of ['headerBytes', 'headerTimeoutMs', 'idleTimeoutMs'] as const) {
		if (limits[member] <= 0) {
			report('contradiction', ['limits', member], 'no request can be sent');
		}
	}
}
