/**
Target selection: which targets can serve a request, and which of those with capacity
is the best one. Urgent requests are sent even when requests already wait at an engine,
since an engine serves its queue by rank. The others are sent only up to about the
number of slots and otherwise wait here, where they can still be sent elsewhere.
*/
import fnv1a from '@sindresorhus/fnv1a';
import {BRITTLE_FILL_FACTOR, isAtBrittleShare, isBrittle} from './brittle-services.js';
import {newConnectionCost} from './connection-cost.js';
import {failureRateOf} from './failure-rates.js';
import {countsAsHolder} from './holders.js';
import {paceAllows} from './pace.js';
import {canAskForPermit, maySend} from './rate-permits.js';
import {isCopyRecent} from './registry-age.js';
import {msPerToken, tokensToRead} from './reading-speed.js';
import {randomFraction, type EntryContext} from './state.js';
import {
	estimatedLoad, isLimited, isUsable, unreadTokens, type Target,
} from './target.js';
import {expectedSlowness, isUneven} from './target-speeds.js';
import {type EntryRequest} from './types.js';

/** Load, as a multiple of an engine's slots, up to which requests of each rank are sent. */
const ENGINE_FILL_FACTORS = [1.5, 1.25, 1];
/** The same for plain services. They serve requests in order, so a short queue there only covers the network latency. */
const PLAIN_FILL_FACTORS = [2, 1.7, 1.5];
/**
Share of the pause objective of streams that the prompts unread at an engine may take. An engine reads prompts between
the tokens of one event of a stream, several times, so each reading may take only a part of the pause.
*/
const READING_SHARE = 0.3;
/** Costs, in the same unit as the load: a share of a target's slots. Traffic between zones is billed; a copy in the same zone avoids it. */
const OTHER_ZONE_COST = 0.12;
const FAILURE_COST = 2;
const WARM_UP_COST = 0.4;
const TRIED_COST = 4;
/** Maximum random cost, which keeps instances with the same view from all choosing the same target. */
const JITTER_COST = 0.08;
/** Weight of the share of slots in use against the time to read prompts, where targets are of uneven speed: running requests delay a first event less than unread prompts. With 1, the 99th percentile fell 4 to 10 points less. */
const UNEVEN_LOAD_WEIGHT = 0.3;
/** Number, and share of the candidates, that a request is given to choose from where targets are of uneven speed. */
const MIN_SAMPLE = 3;
const SAMPLE_SHARE = 0.3;

export type Choice = (
	| {readonly kind: 'send'; readonly target: Target}
	/** The adapter has to be loaded on the target first. */
	| {readonly kind: 'fetch'; readonly target: Target}
	/** Targets could serve it, but none has capacity. */
	| {readonly kind: 'full'}
	/** No target can serve it now. */
	| {readonly kind: 'none'}
) & {
	/** A target that names a rate limit and would be the better choice with a permit. */
	readonly permitFrom?: Target;
};

export function chooseTarget(context: EntryContext, request: EntryRequest, candidates: readonly Target[]): Choice {
	if (!isCopyRecent(context)) {
		return {kind: 'full'};
	}

	const serving = candidates.filter(target => canServe(target, request, context.nowMs));
	// Probes show when one that is unreached accepts connections again. Where all are, a request may find out sooner.
	const reached = serving.filter(({unreachedSinceMs}) => unreachedSinceMs === undefined);
	const usable = reached.length > 0 ? reached : serving;
	if (usable.length === 0) {
		return {kind: 'none'};
	}

	const {adapter} = request.arrival;
	const inTurn = usable.filter(target => hasCapacity(context, target, request));
	// A model whose copies are all at targets that find their pace must not wait for this instance's turn.
	const withCapacity = inTurn.length > 0 ? inTurn : usable.filter(target => target.pace && hasCapacity(context, target, request, true));
	if (withCapacity.length === 0) {
		return {kind: 'full'};
	}

	const name = `${request.arrival.model}/${adapter}`;
	const holding = adapter === undefined ? withCapacity : withCapacity.filter(target => target.adapters.has(name));
	const best = cheapest(context, request, holding.filter(target => maySend(target, context.nowMs)));
	const permitFrom = targetToAsk(context, request, holding, best);
	if (best) {
		return {kind: 'send', target: best, permitFrom};
	}

	// A target that takes requests at any rate is worth loading the adapter on, even if limited ones hold it.
	const unlimited = withCapacity.filter(target => !isLimited(target));
	const loadable = unlimited.length > 0 ? unlimited : withCapacity;
	return adapter === undefined || loadable.some(target => holding.includes(target))
		? {kind: 'full', permitFrom}
		: {kind: 'fetch', target: rendezvousTarget(name, preferAccepting(context, loadable)), permitFrom};
}

/** The best target that lacks only a permit, if it is better than the one that the request can be sent to now. */
function targetToAsk(context: EntryContext, request: EntryRequest, targets: readonly Target[], best: Target | undefined): Target | undefined {
	const limited = targets.filter(target => isLimited(target) && !maySend(target, context.nowMs) && canAskForPermit(target, context.nowMs));
	const preferred = limited.length === 0 ? undefined : cheapest(context, request, best ? [best, ...limited] : limited);
	return preferred === best ? undefined : preferred;
}

/** The targets that take orders for adapters now; all of them if none does. */
function preferAccepting({state, nowMs}: EntryContext, targets: readonly Target[]): readonly Target[] {
	const accepting = targets.filter(({id}) => state.orderTracker.targets.get(id)?.moveDueMs === undefined && (state.comingCopies.get(id)?.atMs ?? 0) <= nowMs);
	return accepting.length > 0 ? accepting : targets;
}

/** Rendezvous hashing: instances that fetch the same adapter choose the same target, so that it takes only one adapter slot. */
function rendezvousTarget(name: string, targets: readonly Target[]): Target {
	const keyed = targets.map(target => ({target, key: fnv1a(`${name} ${target.id}`, {size: 32})}));
	return keyed.reduce((best, next) => next.key > best.key ? next : best).target;
}

export function canServe(target: Target, request: EntryRequest, nowMs: number): boolean {
	return isUsable(target, nowMs) && countsAsHolder(target, request, nowMs);
}

export function hasCapacity({state, nowMs}: Pick<EntryContext, 'state' | 'nowMs'>, target: Target, request: EntryRequest, isOnlyChoice = false): boolean {
	const fill = request.arrival.model === undefined ? PLAIN_FILL_FACTORS : ENGINE_FILL_FACTORS;
	const rankFactor = fill[Math.min(request.route.rank, fill.length - 1)] ?? 1;
	const factor = isBrittle(state, target, nowMs) ? Math.min(rankFactor, BRITTLE_FILL_FACTOR) : rankFactor;
	return !isAtBrittleShare(state, target, nowMs) && estimatedLoad(target, nowMs) < target.entry.slots * factor
		&& paceAllows({state, nowMs}, target, isOnlyChoice) && canReadInTime({state, nowMs}, target, request);
}

/** Whether the engine can read the request's prompt, after those that it has yet to read, without delaying its streams beyond their pause objective. */
function canReadInTime({state, nowMs}: Pick<EntryContext, 'state' | 'nowMs'>, target: Target, {service, queueKey, arrival, route}: EntryRequest): boolean {
	if (arrival.model === undefined || !state.mechanisms.has('reading-window')) {
		return true;
	}

	const unread = unreadTokens(target, nowMs);
	const slowness = isUneven(state, service) ? expectedSlowness(target, nowMs) : 1;
	const limitMs = Math.min(route.pauseMs, route.objectiveMs) * READING_SHARE;
	return unread === 0 || (unread + tokensToRead(arrival.promptTokens)) * msPerToken(state.readingSpeeds.get(queueKey)) * slowness <= limitMs;
}

function cheapest(context: EntryContext, request: EntryRequest, candidates: readonly Target[]): Target | undefined {
	const targets = isUneven(context.state, request.service) ? randomSample(context, candidates) : candidates;
	let [best] = targets;
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
	return (isUneven(state, request.service) ? expectedTimeCost(context, request, target) : loadCost(context, request, target))
		+ (entry.zone === state.self.zone ? 0 : OTHER_ZONE_COST)
		+ newConnectionCost(state, target)
		+ (failureRateOf(target, context.nowMs) * FAILURE_COST)
		+ (entry.slowLeftMs > 0 ? WARM_UP_COST : 0)
		+ (request.tries.some(({targetId}) => targetId === target.id) ? TRIED_COST : 0)
		+ (randomFraction(context) * JITTER_COST);
}

function loadCost({state, nowMs}: EntryContext, request: EntryRequest, target: Target): number {
	const readingMs = request.arrival.model === undefined || !state.mechanisms.has('unread-first') ? 0 : unreadTokens(target, nowMs) * msPerToken(state.readingSpeeds.get(request.queueKey));
	return (estimatedLoad(target, nowMs) / Math.max(1, target.entry.slots)) + (readingMs / request.route.objectiveMs);
}

/** Expected time to the first event: the work at the target with this request's own, and the prompts that it has to read, at its speed. */
function expectedTimeCost({state, nowMs}: EntryContext, request: EntryRequest, target: Target): number {
	const {arrival, queueKey, route} = request;
	const tokens = arrival.model === undefined ? 0 : unreadTokens(target, nowMs) + tokensToRead(arrival.promptTokens);
	const load = (estimatedLoad(target, nowMs) + 1) / Math.max(1, target.entry.slots);
	const readingMs = tokens * msPerToken(state.readingSpeeds.get(queueKey));
	return expectedSlowness(target, nowMs) * ((load * UNEVEN_LOAD_WEIGHT) + (readingMs / route.objectiveMs));
}

/** A random part of the targets. Instances have views of the same age, and must not all choose the one that looked best then. */
function randomSample(context: EntryContext, targets: readonly Target[]): readonly Target[] {
	const size = Math.max(MIN_SAMPLE, Math.ceil(targets.length * SAMPLE_SHARE));
	if (targets.length <= size) {
		return targets;
	}

	const sample = [...targets];
	for (let index = 0; index < size; index++) {
		const other = index + Math.floor(randomFraction(context) * (sample.length - index));
		[sample[index], sample[other]] = [sample[other]!, sample[index]!];
	}

	return sample.slice(0, size);
}
