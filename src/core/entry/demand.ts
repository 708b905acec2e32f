/**
Demand for each model at this instance. Beacons carry it to peers, so that the lease
holder can place copies of models accordingly.
*/
import {openTries} from './open-tries.js';
import {type ModelDemand, type RunningAdapter} from './peer-messages.js';
import {queueKeyOf, queueOf} from './queues.js';
import {msPerToken, tokensToRead} from './reading-speed.js';
import {type EntryContext, type EntryState} from './state.js';
import {isUsable} from './target.js';
import {type EntryRequest} from './types.js';

const RATE_INTERVAL_MS = 500;
/** Weight of the newest interval in the smoothed rate. */
const RATE_SMOOTHING = 0.5;
/** When no request for a model has arrived for this long, its shortest objective starts anew. */
const OBJECTIVE_VALID_MS = 5000;
/** An adapter unused for longer than this may be evicted. */
const ADAPTER_IN_USE_MS = 2500;

export function recordArrival({state, nowMs}: EntryContext, request: EntryRequest): void {
	const {model, relayed} = request.arrival;
	// The instance that passed it on counts it.
	if (model === undefined || relayed) {
		return;
	}

	let record = state.demand.get(request.queueKey);
	if (!record) {
		record = {
			service: request.service,
			model,
			arrivals: 0,
			arrivalsPerSecond: 0,
			tokens: 0,
			tokensPerSecond: 0,
			objectiveMs: request.route.objectiveMs,
			rateUpdatedAtMs: nowMs,
			lastArrivalAtMs: nowMs,
			open: 0,
			missingSinceMs: undefined,
			adapters: new Map(),
		};
		state.demand.set(request.queueKey, record);
	}

	record.objectiveMs = nowMs - record.lastArrivalAtMs > OBJECTIVE_VALID_MS ? request.route.objectiveMs : Math.min(record.objectiveMs, request.route.objectiveMs);
	record.arrivals++;
	record.tokens += tokensToRead(request.arrival.promptTokens);
	record.open++;
	record.lastArrivalAtMs = nowMs;
	if (request.arrival.adapter !== undefined) {
		record.adapters.set(request.arrival.adapter, nowMs);
	}
}

export function recordClosed({state}: EntryContext, request: EntryRequest): void {
	const record = state.demand.get(request.queueKey);
	if (record && !request.arrival.relayed) {
		record.open--;
	}
}

export function updateDemandRates({state, nowMs}: EntryContext): void {
	let held: ReadonlySet<string> | undefined;
	for (const [key, record] of state.demand) {
		const elapsedMs = nowMs - record.rateUpdatedAtMs;
		if (elapsedMs >= RATE_INTERVAL_MS) {
			held ??= heldModels(state, nowMs);
			record.missingSinceMs = held.size === 0 || held.has(key) ? undefined : record.missingSinceMs ?? record.rateUpdatedAtMs;
			record.arrivalsPerSecond += ((record.arrivals * 1000 / elapsedMs) - record.arrivalsPerSecond) * RATE_SMOOTHING;
			record.tokensPerSecond += ((record.tokens * 1000 / elapsedMs) - record.tokensPerSecond) * RATE_SMOOTHING;
			record.arrivals = 0;
			record.tokens = 0;
			record.rateUpdatedAtMs = nowMs;
		}
	}
}

/** Queue keys of the models that usable targets hold. */
function heldModels({targets}: EntryState, nowMs: number): Set<string> {
	const held = new Set<string>();
	for (const target of targets.values()) {
		if (isUsable(target, nowMs)) {
			for (const {model} of target.entry.copies) {
				held.add(queueKeyOf(target.entry.service, model));
			}
		}
	}

	return held;
}

export function localDemand({state, nowMs}: EntryContext): ModelDemand[] {
	const running = runningAdapters(state);
	return [...state.demand].map(([key, record]) => ({
		service: record.service,
		model: record.model,
		arrivalsPerSecond: Math.round(record.arrivalsPerSecond * 10) / 10,
		busyShare: Math.round(record.tokensPerSecond * msPerToken(state.readingSpeeds.get(key))) / 1000,
		open: record.open,
		waiting: queueOf(state, key).waiting,
		objectiveMs: record.objectiveMs,
		adapters: [...record.adapters].filter(([, usedAtMs]) => nowMs - usedAtMs < ADAPTER_IN_USE_MS).map(([adapter]) => adapter),
		runningAdapters: running.get(key) ?? [],
		...(record.missingSinceMs !== undefined && {missingMs: Math.round(nowMs - record.missingSinceMs)}),
	}));
}

/** Adapters that requests in flight use, by queue key. */
function runningAdapters({open}: EntryState): Map<string, RunningAdapter[]> {
	const running = new Map<string, RunningAdapter[]>();
	for (const request of open.values()) {
		const {phase, queueKey, arrival: {adapter}} = request;
		if (phase === 'running' && adapter !== undefined) {
			running.set(queueKey, [...running.get(queueKey) ?? [], ...openTries(request).map(({targetId}): RunningAdapter => [targetId, adapter])]);
		}
	}

	return running;
}
