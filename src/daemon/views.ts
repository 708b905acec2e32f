/**
Views of a process's state for operators, as plain data for the API and the CLI.
*/
import {pipe} from 'fp-ts/lib/function.js';
import * as ReadonlyArray from 'fp-ts/lib/ReadonlyArray.js';
import {committedMb} from '../core/placement/ledger.js';
import {estimatedLoad} from '../core/request/target.js';
import {type ClosedRequest} from '../core/request/types.js';
import {type State} from '../core/state.js';

/** Rates are rounded to two decimals. */
const RATE_PRECISION = 100;

export type ModelView = {
	readonly model: string;
	readonly service: string;
	readonly version: number;
	readonly memoryMb: number;
	readonly adapters: number;
	readonly copies: readonly string[];
	readonly waiting: number;
	readonly arrivalsPerSecond: number;
};

export type TargetView = {
	readonly target: string;
	readonly zone: string;
	readonly service: string;
	readonly health: string;
	readonly leaving: boolean;
	readonly inUse: number;
	readonly slots: number;
	readonly models: readonly string[];
	readonly memoryMb: number;
	/** Known only to the holder of the zone's lease; undefined elsewhere. */
	readonly committedMb: number | undefined;
	readonly isolated: boolean;
};

export type InstanceView = {
	readonly instance: string;
	readonly zone: string;
	readonly state: string;
	readonly address: string;
	readonly self: boolean;
};

export function viewModels({configuration, requests, residentTargets}: State): ModelView[] {
	return Object.entries(configuration.configuration.models).map(([name, model]) => {
		const route = requests.routes.get(`model:${name}`);
		return {
			model: name,
			service: model.service,
			version: model.version,
			memoryMb: model.memoryMb,
			adapters: Object.keys(model.adapters).length,
			copies: residentTargets.get(name) ?? [],
			waiting: route?.queue.waiting ?? 0,
			arrivalsPerSecond: Math.round((route?.arrivalRate ?? 0) * RATE_PRECISION) / RATE_PRECISION,
		};
	});
}

export function viewTargets({targets, placement}: State): TargetView[] {
	return [...targets.values()].map(target => {
		const ledger = placement.ledgers.get(target.id);
		return {
			target: target.id,
			zone: target.zone,
			service: target.service,
			health: target.health,
			leaving: target.leaving,
			inUse: estimatedLoad(target),
			slots: target.slots,
			models: [...target.resident],
			memoryMb: target.memoryMb,
			committedMb: ledger && committedMb(ledger.row),
			isolated: target.isolation !== undefined,
		};
	});
}

export function viewInstances({self, membership}: State): InstanceView[] {
	const peers = [...membership.members.values()].map(({instance}) => ({...instance, isSelf: false}));
	return [{...self, isSelf: true}, ...peers].map(({id, zone, state, address, isSelf}) => ({
		instance: id,
		zone,
		state,
		address,
		self: isSelf,
	}));
}

export function viewMoves({placement}: State): State['placement']['moves'] {
	return placement.moves;
}

export type StatusView = {
	readonly instance: string;
	readonly zone: string;
	readonly lifecycle: string;
	readonly configuration: {readonly version: number; readonly newestKnown: number};
	readonly platformReachable: boolean;
	readonly zones: ReadonlyArray<{readonly zone: string; readonly instances: number; readonly targets: number; readonly targetsUp: number}>;
	readonly models: {readonly configured: number; readonly reachable: number; readonly unreachable: readonly string[]};
	readonly requests: {readonly open: number; readonly waiting: number; readonly recent: number; readonly answeredShare: number | undefined};
	readonly leases: ReadonlyArray<{readonly group: string; readonly holder: string; readonly epoch: number; readonly held: boolean}>;
	readonly faults: readonly string[];
};

export function viewStatus(state: State): StatusView {
	const {self, configuration, requests, placement} = state;
	const models = viewModels(state);
	const unreachable = models.filter(({copies}) => copies.length === 0).map(({model}) => model);
	const closedRequests = [...requests.closed.values()];
	return {
		instance: self.id,
		zone: self.zone,
		lifecycle: state.lifecycle,
		configuration: {version: configuration.version, newestKnown: configuration.newestKnown},
		platformReachable: state.platformReachable,
		zones: viewZones(state),
		models: {configured: models.length, reachable: models.length - unreachable.length, unreachable},
		requests: {
			open: requests.open.size,
			waiting: [...requests.routes.values()].reduce((sum, {queue}) => sum + queue.waiting, 0),
			recent: closedRequests.length,
			answeredShare: answeredShare(closedRequests),
		},
		leases: [...placement.leases.values()].map(({group, row, held}) => ({
			group,
			holder: row?.holder ?? '',
			epoch: row?.epoch ?? 0,
			held,
		})),
		faults: listFaults(state, unreachable),
	};
}

function answeredShare(closedRequests: readonly ClosedRequest[]): number | undefined {
	const answered = closedRequests.filter(({outcome}) => outcome === 'answered' || outcome === 'replayed').length;
	return closedRequests.length === 0 ? undefined : answered / closedRequests.length;
}

function viewZones(state: State): StatusView['zones'] {
	const targets = [...state.targets.values()];
	const instances = viewInstances(state).filter(instance => instance.state === 'live');
	const zones = new Set([...targets.map(({zone}) => zone), ...instances.map(({zone}) => zone)]);
	return [...zones].toSorted((a, b) => a.localeCompare(b)).map(zone => ({
		zone,
		instances: instances.filter(instance => instance.zone === zone).length,
		targets: targets.filter(target => target.zone === zone).length,
		targetsUp: targets.filter(target => target.zone === zone && target.health === 'up').length,
	}));
}

function listFaults(state: State, unreachable: readonly string[]): string[] {
	const targets = [...state.targets.values()];
	return pipe(
		[
			state.platformReachable ? [] : ['the platform cannot be reached'],
			state.configuration.newestKnown > state.configuration.version
				? [`version ${state.configuration.newestKnown} is not in force here yet`]
				: [],
			unreachable.map(model => `model ${model} has no resident copy`),
			targets.filter(({health}) => health !== 'up').map(({id, health}) => `target ${id} is ${health}`),
			targets.filter(({isolation}) => isolation).map(({id}) => `target ${id} is reserved for a crash suspect`),
			[...state.requests.settlements.values()]
				.filter(({retries}) => retries > 0)
				.map(({settlement}) => `the answer for ${settlement.claimKey} is not recorded yet`),
		],
		ReadonlyArray.flatten,
		ReadonlyArray.toArray,
	);
}

/** The record of a closed request, or the current state of an open one; undefined if this process does not know the request. */
export function explainRequest(state: State, id: string): unknown {
	const closedRequest = state.requests.closed.get(id);
	if (closedRequest) {
		return closedRequest;
	}

	const open = state.requests.open.get(id);
	return open && {
		id,
		route: open.route,
		caller: open.caller,
		priority: open.priority,
		phase: open.phase,
		ran: open.ran,
		delivered: open.delivered,
		waitingAhead: state.requests.routes.get(open.route)?.queue.waitingAhead(open.priority),
		tries: open.tries,
	};
}
