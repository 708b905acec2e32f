/**
The form of configurations that operators change by patches: maps of services, targets,
models and callers by name.
*/
import {isDeepStrictEqual} from 'node:util';
import {type Finding} from '../core/check/finding.js';
import {parseConfiguration} from '../core/configuration/schema.js';
import {type Configuration} from '../core/configuration/types.js';
import {isRecord, type ConfigurationForm} from './configuration-form.js';

type Section = 'services' | 'targets' | 'models' | 'callers';

/** What it does to callers if an entry is added to a section or removed from it. */
const effects: Readonly<Record<Section, {readonly added: string; readonly removed: string; readonly changed: string}>> = {
	services: {added: 'its routes are served', removed: 'its routes get 404', changed: 'its routes are served by the new rules'},
	targets: {added: 'it gets requests', removed: 'it gets no more requests', changed: 'it is used by the new figures'},
	models: {added: 'it is loaded and served', removed: 'requests for it get 404', changed: 'copies are placed by the new figures'},
	callers: {added: 'it is accepted', removed: 'it gets 401', changed: 'its token, weight or priority is another'},
};

export const embeddedForm: ConfigurationForm = {
	name: 'patched configuration',
	recognizes: document => isRecord(document) && ['services', 'targets', 'models', 'callers'].every(section => document[section] === undefined || isRecord(document[section])),
	check: document => parseConfiguration(document).caseOf<Finding[]>({
		Left: errors => errors.map(({path, message}) => ({kind: 'error', path: path === '' ? [] : path.split('.'), message})),
		Right: configuration => findUnused(configuration),
	}),
	compare(before, after) {
		return parseConfiguration(before).chain(earlier => parseConfiguration(after).map(later => compareConfigurations(earlier, later))).orDefault([]);
	},
};

function findUnused({services, targets, models, limits}: Configuration): Finding[] {
	const findings: Finding[] = [];
	for (const [name, {routes, kind}] of Object.entries(services)) {
		if (!Object.values(targets).some(({service}) => service === name)) {
			findings.push({kind: 'never-matches', path: ['services', name], message: 'it has no target'});
		}

		if (kind === 'engine' && !Object.values(models).some(({service}) => service === name)) {
			findings.push({kind: 'never-matches', path: ['services', name], message: 'it has no model'});
		}

		for (const [index, route] of routes.entries()) {
			if (routes.findIndex(({method, path}) => path === route.path && (method === route.method || method === '*')) < index) {
				findings.push({kind: 'never-matches', path: ['services', name, 'routes', index], message: 'an earlier route matches the same requests'});
			}
		}
	}

	const {urgent, normal, batch} = limits.deadlineMs;
	if (urgent > normal || normal > batch) {
		findings.push({kind: 'contradiction', path: ['limits', 'deadlineMs'], message: `urgent requests (${urgent} ms) have more time than less urgent ones (${normal} and ${batch} ms)`});
	}

	return findings;
}

function compareConfigurations(before: Configuration, after: Configuration): Finding[] {
	const findings: Finding[] = [];
	for (const section of Object.keys(effects) as Section[]) {
		const [earlier, later]: ReadonlyArray<Readonly<Record<string, unknown>>> = [before[section], after[section]];
		for (const name of new Set([...Object.keys(earlier!), ...Object.keys(later!)])) {
			const change = changeOf(earlier![name], later![name]);
			if (change) {
				// Members of an entry are not printed: a caller's include the hash of its token.
				findings.push({
					kind: 'difference', path: [section, name], message: change, effect: effects[section][change],
				});
			}
		}
	}

	if (!isDeepStrictEqual(before.limits, after.limits)) {
		findings.push({
			kind: 'difference', path: ['limits'], message: 'changed', effect: 'deadlines and transfers follow the new limits',
		});
	}

	return findings;
}

function changeOf(before: unknown, after: unknown): 'added' | 'removed' | 'changed' | undefined {
	if (before === undefined) {
		return 'added';
	}

	if (after === undefined) {
		return 'removed';
	}

	return isDeepStrictEqual(before, after) ? undefined : 'changed';
}
