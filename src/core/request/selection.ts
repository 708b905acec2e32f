/**
Chooses the target of a try from a random sample of candidates. Sampling bounds the cost
per request and keeps instances that share the same outdated reports from all choosing
the same target.
*/
import fnv1a from '@sindresorhus/fnv1a';
import {randomBelow, type Context} from '../context.js';
import {type State} from '../state.js';
import {type TargetId} from '../types.js';
import {canStartTransfer, needsTransfer} from './adapter-transfers.js';
import {estimatedLoad, hasRoom, type Target} from './target.js';
import {type OpenRequest} from './types.js';

/** Candidates checked before the best one with room is chosen. */
const MIN_CANDIDATES = 3;

/** Candidates checked before a request is left in the queue, however many serve its route. */
const MAX_CANDIDATES = 8;

/**
Costs and discount as shares of a target's slots: the difference in load that outweighs
the drawback or benefit.
*/
const OTHER_ZONE_COST = 0.25;
const SUSPECT_COST = 1;
const ADAPTER_TRANSFER_COST = 0.15;
const PREFIX_DISCOUNT = 0.3;

/** Share of slots in use above which a target gets no discount for its prefix cache. */
const MAX_PREFIX_DISCOUNT_LOAD = 0.75;

const noTargets: readonly TargetId[] = [];

/** The ids of the targets that serve the request's route. */
export function routeTargets(state: State, request: OpenRequest): readonly TargetId[] {
	const targetIds = request.model === undefined
		? state.configuration.index.targetsByService.get(request.route.slice('service:'.length))
		: state.residentTargets.get(request.model);
	return targetIds ?? noTargets;
}

/**
The candidate with room and the lowest cost, undefined if none of the sample has room.
A target where an earlier try of the request ended, other than by a silent connection,
carries a high cost, so it is chosen only if no clearly better one has room.
*/
export function selectTarget(context: Context, request: OpenRequest): Target | undefined {
	const candidates = routeTargets(context.state, request);
	let best: Target | undefined;
	let bestCost = Number.POSITIVE_INFINITY;
	const consider = (index: number, discount: number) => {
		const target = context.state.targets.get(candidates[index] ?? '');
		if (!target || !canAccept(context, target, request)) {
			return;
		}

		const cost = targetCost(context, target, request) - (isLightlyLoaded(target) ? discount : 0);
		if (cost < bestCost) {
			best = target;
			bestCost = cost;
		}
	};

	if (request.prefixHash !== undefined && candidates.length > 0) {
		consider(Number(fnv1a(request.prefixHash, {size: 32})) % candidates.length, PREFIX_DISCOUNT);
	}

	const offset = randomBelow(context, candidates.length);
	const candidateCount = Math.min(candidates.length, MAX_CANDIDATES);
	for (let step = 0; step < candidateCount; step++) {
		// A request with an adapter continues up to the maximum to find a target that holds it.
		if (step >= MIN_CANDIDATES && best && !needsTransfer(best, request)) {
			break;
		}

		consider((offset + step) % candidates.length, 0);
	}

	return best;
}

export function canAccept(context: Context, target: Target, request: OpenRequest): boolean {
	const waitedShare = (context.nowMs - request.arrivedAtMs) / (request.deadlineAtMs - request.arrivedAtMs);
	return hasRoom(target, request.priority, waitedShare)
		&& (!needsTransfer(target, request) || canStartTransfer(context.state))
		&& (request.model === undefined || !target.leavingCopies.has(request.model));
}

function targetCost({state}: Context, target: Target, request: OpenRequest): number {
	let cost = (estimatedLoad(target) + 1) / target.slots;
	if (target.zone !== state.self.zone) {
		cost += OTHER_ZONE_COST;
	}

	if (target.health === 'suspect') {
		cost += SUSPECT_COST;
	}

	if (needsTransfer(target, request)) {
		cost += ADAPTER_TRANSFER_COST;
	}

	if (request.tries.some(earlier => earlier.targetId === target.id && earlier.ended !== 'silent')) {
		cost += SUSPECT_COST;
	}

	return cost;
}

function isLightlyLoaded(target: Target): boolean {
	return estimatedLoad(target) / target.slots <= MAX_PREFIX_DISCOUNT_LOAD;
}
