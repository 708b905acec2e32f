/**
Quotas of the configuration in force by workspace, and what a request counts as.
*/
import {limitOf} from './quota-bucket.js';
import {type QuotaIndex} from './quota-state.js';
import {type EntryState} from './state.js';
import {type EntryArrival} from './types.js';
import {type Quota} from './workspace.js';

/** Built once for each configuration. */
export function quotaIndex({configuration, quotas, bounds}: EntryState): QuotaIndex['byWorkspace'] {
	if (quotas.index.configuration !== configuration) {
		const limited = (configuration?.workspaces ?? []).flatMap(({name, quota}) => quota && quota.perSecond > 0 ? [[name, {quota, limit: limitOf(quota, bounds)}] as const] : []);
		quotas.index = {configuration, byWorkspace: new Map(limited)};
	}

	return quotas.index.byWorkspace;
}

export function unitsOf({promptTokens, outputTokens}: EntryArrival, {unit, plainTokens}: Quota): number {
	if (unit === 'requests') {
		return 1;
	}

	return promptTokens === undefined && outputTokens === undefined ? plainTokens : (promptTokens ?? 0) + (outputTokens ?? 0);
}
