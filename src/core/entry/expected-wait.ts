/**
How long a waiting request is expected to wait: for the copy of its model that is being
loaded or has to be, and for the requests before it. Decides whether it is refused at
once, and tells its caller when to come back.
*/
import {comingCopies} from './beacon-sender.js';
import {loadTimeMs} from './engine-memory.js';
import {countsAsHolder} from './holders.js';
import {holdsLease} from './lease.js';
import {queueOf} from './queues.js';
import {liveInstances} from './peers.js';
import {permitWaitMs} from './rate-permits.js';
import {msPerToken, tokensToRead} from './reading-speed.js';
import {canServe} from './selection.js';
import {type EntryContext} from './state.js';
import {
	isLimited, isListed, isUsable, unreadTokens, type Target,
} from './target.js';
import {type EntryRequest} from './types.js';
import {targetsOf} from './targets.js';

/** Time until the lease holder knows of the demand and has freed memory for the model. */
const PLACEMENT_MS = 1500;
/** Time until a target that has failed or restarted is back, where no load can bring it sooner. */
const TARGET_RETURN_MS = 1500;
/** Share of its time that a busy engine reads prompts; in the rest it generates. */
const READING_TIME_SHARE = 0.7;

export type ExpectedWait = {
	readonly waitMs: number;
	/** When a caller that is refused now should return: once its targets are relieved by the next copy, if one is on its way. */
	readonly returnMs: number;
	readonly reason: 'no target holds what it needs' | 'its targets are full' | 'its targets limit the rate of requests' | 'its targets have named a time';
	/** Whether the time is known from a load under way or the queue's rate, not only assumed. */
	readonly isKnown: boolean;
};

export function expectedWait(context: EntryContext, request: EntryRequest): ExpectedWait {
	const {state, nowMs} = context;
	const serving = targetsOf(state, request.service).filter(target => canServe(target, request, nowMs));
	const limitMs = rateLimitMs(context, request, serving);
	const queueMs = Math.max(queueOf(state, request.queueKey).expectedWaitOfMs(request), readingQueueMs(context, request, serving), limitMs);
	const comingMs = comingCopyMs(context, request);
	if (serving.length > 0) {
		return {
			waitMs: queueMs, returnMs: Math.max(queueMs, comingMs ?? 0), reason: limitMs > 0 ? 'its targets limit the rate of requests' : 'its targets are full', isKnown: true,
		};
	}

	const namedMs = namedTimeMs(context, request);
	if (namedMs !== undefined && namedMs < (comingMs ?? Number.POSITIVE_INFINITY)) {
		return {
			waitMs: namedMs + queueMs, returnMs: namedMs + queueMs, reason: 'its targets have named a time', isKnown: true,
		};
	}

	const waitMs = (comingMs ?? assumedLoadMs(context, request)) + queueMs;
	return {
		waitMs, returnMs: waitMs, reason: 'no target holds what it needs', isKnown: comingMs !== undefined,
	};
}

/** Time that engines take to read the prompts that they were sent and those that wait at all instances. */
function readingQueueMs({state, nowMs}: EntryContext, request: EntryRequest, serving: readonly Target[]): number {
	const {arrival: {model}, queueKey} = request;
	const demand = state.demand.get(queueKey);
	if (model === undefined || !demand || serving.length === 0) {
		return 0;
	}

	const unread = serving.reduce((sum, target) => sum + unreadTokens(target, nowMs), 0);
	const meanTokens = demand.arrivalsPerSecond > 0 ? demand.tokensPerSecond / demand.arrivalsPerSecond : tokensToRead(undefined);
	// Callers are spread over the instances, so their queues are about as long as this one.
	const waiting = queueOf(state, queueKey).waitingUpToRequest(request) * liveInstances(state, nowMs).length;
	return (unread + (waiting * meanTokens)) * msPerToken(state.readingSpeeds.get(queueKey)) / (serving.length * READING_TIME_SHARE);
}

/** Time until the rate limits of all targets that serve it let the request and those before it pass; 0 if one has no limit. */
function rateLimitMs({state, nowMs}: EntryContext, request: EntryRequest, serving: readonly Target[]): number {
	if (serving.length === 0 || serving.some(target => !isLimited(target))) {
		return 0;
	}

	const perSecond = serving.reduce((sum, {rateLimit}) => sum + (rateLimit?.perSecond ?? 0), 0);
	const nextMs = Math.min(...serving.map(target => permitWaitMs(target, nowMs)));
	const before = Math.max(0, queueOf(state, request.queueKey).waitingUpToRequest(request) - 1);
	return nextMs + (before * 1000 / Math.max(perSecond, Number.MIN_VALUE));
}

/** Time until the first target that holds what the request needs takes requests again; undefined if none has named a time. */
function namedTimeMs({state, nowMs}: EntryContext, request: EntryRequest): number | undefined {
	const times = targetsOf(state, request.service)
		.filter(target => isListed(target, nowMs) && nowMs < target.closedUntilMs && countsAsHolder(target, request, nowMs))
		.map(({closedUntilMs}) => closedUntilMs - nowMs);
	return times.length === 0 ? undefined : Math.min(...times);
}

/** Time until a copy that is being loaded serves, undefined if none is known. */
function comingCopyMs(context: EntryContext, {service, arrival: {model}}: EntryRequest): number | undefined {
	const {state, nowMs} = context;
	const coming = holdsLease(context) ? comingCopies(context) : [...state.comingCopies.values()].map(copy => ({...copy, inMs: Math.max(0, copy.atMs - nowMs)}));
	const times = coming.filter(copy => copy.service === service && copy.model === model).map(({inMs}) => inMs);
	return times.length === 0 ? undefined : Math.min(...times);
}

/** Time for placing a copy, from the fastest source of its weights. */
function assumedLoadMs({state, nowMs}: EntryContext, {service, arrival}: EntryRequest): number {
	const model = state.configuration?.services.get(service)?.engine?.models.get(arrival.model ?? '');
	if (!model) {
		return TARGET_RETURN_MS;
	}

	const loads = targetsOf(state, service).filter(target => isUsable(target, nowMs)).map(({entry}) => loadTimeMs(entry, model));
	return PLACEMENT_MS + Math.min(model.loadMs, ...loads);
}
