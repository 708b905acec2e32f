/**
Where a request goes: the targets that can serve it, and the best one with room.
Urgent work is sent past what waits at an engine, which honours ranks; the rest keeps
the places filled and waits here, where it can still go elsewhere.
*/
import fnv1a from '@sindresorhus/fnv1a';
import {randomFraction, type EntryContext} from './state.js';
import {
	estimatedLoad, holdsModel, isUsable, type Target,
} from './target.js';
import {type EntryRequest} from './types.js';

/** Places, as multiples of an engine's slots, up to which requests of each rank are sent. */
const ENGINE_FILL = [1.5, 1.25, 1];
/** A plain service runs its requests in order, so a short queue there only bridges the way. */
const PLAIN_FILL = [2, 1.7, 1.5];
/** Costs, in shares of a target's slots. Bytes between zones are priced; a copy next door spares them. */
const OTHER_ZONE_COST = 0.12;
const FAILURE_COST = 2;
const COLD_COST = 0.4;
const TRIED_COST = 4;
/** Random part that keeps instances with the same view from choosing the same target. */
const SPREAD_COST = 0.08;

export type Choice =
	| {readonly kind: 'send'; readonly target: Target}
	/** The adapter has to be brought to the target first. */
	| {readonly kind: 'fetch'; readonly target: Target}
	/** Targets could serve it, but none has room. */
	| {readonly kind: 'full'}
	/** No target can serve it now. */
	| {readonly kind: 'none'};

export function chooseTarget(context: EntryContext, request: EntryRequest, candidates: readonly Target[]): Choice {
	const usable = candidates.filter(target => canServe(target, request, context.nowMs));
	if (usable.length === 0) {
		return {kind: 'none'};
	}

	const {adapter} = request.arrival;
	const withRoom = usable.filter(target => hasRoom(target, request, context.nowMs));
	if (withRoom.length === 0) {
		return {kind: 'full'};
	}

	if (adapter === undefined) {
		return {kind: 'send', target: cheapest(context, request, withRoom)};
	}

	const name = `${request.arrival.model}/${adapter}`;
	const holding = withRoom.filter(target => target.adapters.has(name));
	return holding.length > 0
		? {kind: 'send', target: cheapest(context, request, holding)}
		: {kind: 'fetch', target: placeFor(name, withRoom)};
}

/** Instances that fetch the same adapter choose the same target, so that it takes one place. */
function placeFor(name: string, targets: readonly Target[]): Target {
	const keyed = targets.map(target => ({target, key: fnv1a(`${name} ${target.id}`, {size: 32})}));
	return keyed.reduce((best, next) => next.key > best.key ? next : best).target;
}

export function canServe(target: Target, request: EntryRequest, nowMs: number): boolean {
	const {model} = request.arrival;
	if (!isUsable(target, nowMs)) {
		return false;
	}

	return model === undefined || (holdsModel(target, model) && nowMs >= (target.leavingCopies.get(model) ?? 0));
}

export function hasRoom(target: Target, request: EntryRequest, nowMs: number): boolean {
	const fill = request.arrival.model === undefined ? PLAIN_FILL : ENGINE_FILL;
	const factor = fill[Math.min(request.route.rank, fill.length - 1)] ?? 1;
	return estimatedLoad(target, nowMs) < target.entry.slots * factor;
}

function cheapest(context: EntryContext, request: EntryRequest, targets: readonly Target[]): Target {
	let best = targets[0]!;
	let bestCost = Number.POSITIVE_INFINITY;
	for (const target of targets) {
		const cost = costOf(context, request, target);
		if (cost < bestCost) {
			best = target;
			bestCost = cost;
		}
	}

	return best;
}

function costOf(context: EntryContext, request: EntryRequest, target: Target): number {
	const {state, nowMs} = context;
	const {entry} = target;
	return (estimatedLoad(target, nowMs) / Math.max(1, entry.slots))
		+ (entry.zone === state.self.zone ? 0 : OTHER_ZONE_COST)
		+ (target.failureShare * FAILURE_COST)
		+ (entry.slowLeftMs > 0 ? COLD_COST : 0)
		+ (request.tries.some(({targetId}) => targetId === target.id) ? TRIED_COST : 0)
		+ (randomFraction(context) * SPREAD_COST);
}
