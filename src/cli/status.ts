/**
Formats the response of `GET /status` as the output of `pollenarch status`.
*/
import {formatTable, type TableRow} from './table.js';

type StatusView = {
	readonly instance: string;
	readonly zone: string;
	readonly lifecycle: string;
	readonly configuration: {readonly version: number; readonly newestKnown: number};
	readonly platformReachable: boolean;
	readonly zones: readonly TableRow[];
	readonly models: {readonly configured: number; readonly reachable: number};
	readonly requests: {readonly open: number; readonly waiting: number; readonly recent: number; readonly answeredShare?: number};
	readonly leases: readonly TableRow[];
	readonly faults: readonly string[];
};

export function formatStatus(value: unknown): string {
	const status = value as StatusView;
	const share = status.requests.answeredShare;
	return [
		`instance   ${status.instance} (${status.zone}), ${status.lifecycle}`,
		`version    ${status.configuration.version} in force, newest known ${status.configuration.newestKnown}`,
		`platform   ${status.platformReachable ? 'reachable' : 'OUT OF REACH'}`,
		`models     ${status.models.reachable} of ${status.models.configured} reachable`,
		`requests   ${status.requests.open} open, ${status.requests.waiting} waiting; of the last ${status.requests.recent}, ${share === undefined ? '-' : `${(share * 100).toFixed(1)} %`} answered`,
		'',
		formatTable(status.zones),
		'',
		'LEASES',
		formatTable(status.leases),
		'',
		status.faults.length === 0 ? 'no open faults' : `FAULTS\n${status.faults.map(fault => `  ${fault}`).join('\n')}`,
	].join('\n');
}
