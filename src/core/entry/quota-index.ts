/**
Quotas of the configuration in force by workspace, and what a request counts as.
*/
import {limitOf} from './quota-bucket.js';
import {type QuotaIndex, type ToldLevel} from './quota-state.js';
import {type EntryState} from './state.js';
import {type EntryArrival} from './types.js';
import {type Quota} from './workspace.js';

/** Built once for each configuration. */
export function quotaIndex({configuration, quotas, bounds}: EntryState): QuotaIndex['byWorkspace'] {
	if (quotas.index.configuration !== configuration) {
		const limited = (configuration?.workspaces ?? []).flatMap(({name, quota}) => quota && quota.perSecond > 0 ? [[name, {quota, limit: limitOf(quota, bounds)}] as const] : []);
		quotas.index = {configuration, byWorkspace: new Map(limited), names: limited.map(([name]) => name)};
		quotas.told = undefined;
	}

	return quotas.index.byWorkspace;
}

const TENTHS = 10;
const CLOSED_LEVELS = '0123456789';
const OPEN_LEVELS = 'abcdef';

/** One character for a workspace's level in an answer. */
export function formatLevel({isOpen, usedShare}: ToldLevel): string {
	const levels = isOpen ? OPEN_LEVELS : CLOSED_LEVELS;
	return levels[Math.min(levels.length - 1, Math.ceil(usedShare * TENTHS))]!;
}

export function parseLevel(level: string | undefined): ToldLevel | undefined {
	const open = level === undefined ? -1 : OPEN_LEVELS.indexOf(level);
	const closed = level === undefined ? -1 : CLOSED_LEVELS.indexOf(level);
	if (open < 0 && closed < 0) {
		return undefined;
	}

	const isFull = closed === CLOSED_LEVELS.length - 1;
	return {isOpen: open >= 0, usedShare: isFull ? 1 : Math.max(open, closed) / TENTHS};
}

export function unitsOf({promptTokens, outputTokens}: EntryArrival, {unit, defaultTokens}: Quota): number {
	if (unit === 'requests') {
		return 1;
	}

	return promptTokens === undefined && outputTokens === undefined ? defaultTokens : (promptTokens ?? 0) + (outputTokens ?? 0);
}
