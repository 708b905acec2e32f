/**
What differs between two configurations of a deployment, by meaning: entries are matched
by name, and their order and spelling do not count. Each difference says what it does to
callers.
*/
import {
	normalizeHost, type EntryConfiguration, type Route, type Service,
} from '../entry/configuration.js';
import {type Quota, type Workspace} from '../entry/workspace.js';
import {type Finding, type PathPart} from './finding.js';

type Report = (path: readonly PathPart[], message: string, effect?: string) => void;

export function compareEntryConfigurations(before: EntryConfiguration, after: EntryConfiguration): Finding[] {
	const findings: Finding[] = [];
	const report: Report = (path, message, effect) => {
		findings.push({
			kind: 'difference', path, message, effect,
		});
	};

	if (after.version <= before.version) {
		report(['version'], `${after.version} is not above the ${before.version} in force`, 'instances ignore the document');
	}

	compareEntries({
		section: 'routes', before: byName(before.routes), after: byName(after.routes), report, compare: compareRoute,
		addedEffect: ({host, prefix}) => `requests to ${host}${prefix} are served by it`,
		removedEffect: ({host, prefix}) => `requests to ${host}${prefix} go to a shorter prefix or get 404`,
	});
	compareEntries({
		section: 'services', before: before.services, after: after.services, report, compare: compareService,
		addedEffect: () => 'its targets may be sent requests',
		removedEffect: () => 'its targets get no more requests',
	});
	compareEntries({
		section: 'workspaces', before: byName(before.workspaces ?? []), after: byName(after.workspaces ?? []), report, compare: compareWorkspace,
		addedEffect: ({keyHashes}) => `API keys that are accepted: ${keyHashes.length}`,
		removedEffect: ({keyHashes}) => `API keys that get 401: ${keyHashes.length}`,
	});
	if ((before.workspaces ?? []).length === 0 && (after.workspaces ?? []).length > 0) {
		report(['workspaces'], 'there were none', 'callers without an API key get 401 except on public routes');
	}

	for (const member of Object.keys(after.limits) as Array<keyof EntryConfiguration['limits']>) {
		reportChange(['limits', member], before.limits[member], after.limits[member], report);
	}

	return findings;
}

type EntryComparison<Entry> = {
	readonly section: string;
	readonly before: ReadonlyMap<string, Entry>;
	readonly after: ReadonlyMap<string, Entry>;
	readonly report: Report;
	readonly compare: (path: readonly PathPart[], before: Entry, after: Entry, report: Report) => void;
	readonly addedEffect: (entry: Entry) => string;
	readonly removedEffect: (entry: Entry) => string;
};

function compareEntries<Entry>({section, before, after, report, compare, addedEffect, removedEffect}: EntryComparison<Entry>): void {
	for (const [name, entry] of before) {
		const path = [section, {named: name}];
		const changed = after.get(name);
		if (changed === undefined) {
			report(path, 'removed', removedEffect(entry));
		} else {
			compare(path, entry, changed, report);
		}
	}

	for (const [name, entry] of after) {
		if (!before.has(name)) {
			report([section, {named: name}], 'added', addedEffect(entry));
		}
	}
}

const repeatEffects: Readonly<Record<Route['repeat'], string>> = {
	once: 'a request is sent again only if it was provably not executed',
	idempotent: 'a request is sent again after any failure',
};

function compareRoute(path: readonly PathPart[], before: Route, after: Route, report: Report): void {
	const address = ({host, prefix}: Route) => `${normalizeHost(host)}${prefix}`;
	reportChange([...path, 'prefix'], address(before), address(after), report, 'requests to the earlier address go to a shorter prefix or get 404');
	const destinations = (route: Route) => shares(route).map(({service, share}) => `${service} ${Math.round(share * 100)} %`).join(', ');
	reportChange([...path, 'destinations'], destinations(before), destinations(after), report, 'requests move between services');
	reportChange([...path, 'isPublic'], before.isPublic ?? false, after.isPublic ?? false, report, after.isPublic ? 'callers need no API key' : 'callers without an API key get 401');
	reportChange([...path, 'repeat'], before.repeat, after.repeat, report, repeatEffects[after.repeat]);
	reportChange([...path, 'timeoutMs'], before.timeoutMs, after.timeoutMs, report, after.timeoutMs < before.timeoutMs ? 'slow requests end sooner, with 504' : 'slow requests may take longer');
	reportChange([...path, 'objectiveMs'], before.objectiveMs, after.objectiveMs, report, 'when a request counts as late');
	reportChange([...path, 'rank'], before.rank, after.rank, report, after.rank < before.rank ? 'its requests go before more others' : 'its requests go after more others');
	reportChange([...path, 'maxAttempts'], before.maxAttempts, after.maxAttempts, report, 'how many targets are tried before a request fails');
	reportChange([...path, 'isStream'], before.isStream, after.isStream, report);
	reportChange([...path, 'pauseMs'], before.pauseMs, after.pauseMs, report);
}

/** Destinations that get requests, with their share of them. */
function shares({destinations}: Route): Array<{service: string; share: number}> {
	const total = destinations.reduce((sum, {weight}) => sum + weight, 0);
	return destinations.filter(({weight}) => weight > 0)
		.map(({service, weight}) => ({service, share: weight / total}))
		.toSorted((a, b) => a.service < b.service ? -1 : 1);
}

function compareService(path: readonly PathPart[], before: Service, after: Service, report: Report): void {
	reportChange([...path, 'maxConnections'], before.maxConnections, after.maxConnections, report);
	if (before.engine === undefined || after.engine === undefined) {
		reportChange([...path, 'engine'], before.engine !== undefined, after.engine !== undefined, report);
		return;
	}

	const {models: modelsBefore, ...limitsBefore} = before.engine;
	const {models: modelsAfter, ...limitsAfter} = after.engine;
	for (const member of Object.keys(limitsAfter) as Array<keyof typeof limitsAfter>) {
		reportChange([...path, 'engine', member], limitsBefore[member], limitsAfter[member], report);
	}

	compareEntries({
		section: 'models', before: modelsBefore, after: modelsAfter,
		report(modelPath, message, effect) {
			report([...path, 'engine', ...modelPath], message, effect);
		},
		compare(modelPath, earlier, later, reportModel) {
			// The decoder gives the members of all models the same order.
			if (JSON.stringify(earlier) !== JSON.stringify(later)) {
				reportModel(modelPath, 'changed', 'copies are placed by the new figures');
			}
		},
		addedEffect: () => 'it is loaded once it is asked for',
		removedEffect: () => 'requests for it are refused',
	});
}

function compareWorkspace(path: readonly PathPart[], before: Workspace, after: Workspace, report: Report): void {
	const withdrawn = before.keyHashes.filter(hash => !after.keyHashes.includes(hash)).length;
	const added = after.keyHashes.filter(hash => !before.keyHashes.includes(hash)).length;
	if (withdrawn > 0) {
		report([...path, 'keyHashes'], `${withdrawn} withdrawn`, 'callers that use them get 401');
	}

	if (added > 0) {
		report([...path, 'keyHashes'], `${added} added`, 'callers may use them');
	}

	reportChange([...path, 'rank'], before.rank, after.rank, report, 'the rank of its requests');
	const quotaEffect = quotaRate(after.quota) < quotaRate(before.quota) ? 'requests beyond it get 429' : 'more of its requests are admitted';
	reportChange([...path, 'quota'], describeQuota(before.quota), describeQuota(after.quota), report, quotaEffect);
}

function quotaRate(quota: Quota | undefined): number {
	return quota?.perSecond ?? Number.POSITIVE_INFINITY;
}

function describeQuota(quota: Quota | undefined): string {
	return quota ? `${quota.perSecond} ${quota.unit} a second, burst ${quota.burst}, ${quota.defaultTokens} for a request without tokens` : 'none';
}

function reportChange(path: readonly PathPart[], before: unknown, after: unknown, report: Report, effect?: string): void {
	if (before !== after) {
		report(path, `${String(before)} becomes ${String(after)}`, effect);
	}
}

function byName<Entry extends {readonly name: string}>(entries: readonly Entry[]): ReadonlyMap<string, Entry> {
	return new Map(entries.map(entry => [entry.name, entry]));
}
