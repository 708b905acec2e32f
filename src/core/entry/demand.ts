/**
Demand for each model at this instance, told to peers so that the lease holder can
place copies by it.
*/
import {type ModelDemand} from './peer-messages.js';
import {queueOf} from './queues.js';
import {type EntryContext} from './state.js';
import {type EntryRequest} from './types.js';

const RATE_MS = 500;
const RATE_GAIN = 0.5;
/** An objective seen longer ago does not count any more. */
const OBJECTIVE_VALID_MS = 5000;
/** An adapter used longer ago may make way. */
const ADAPTER_IN_USE_MS = 2500;

export function noteArrival({state, nowMs}: EntryContext, request: EntryRequest): void {
	const {model} = request.arrival;
	if (model === undefined) {
		return;
	}

	let record = state.demand.get(request.queueKey);
	if (!record) {
		record = {
			service: request.service, model, arrivals: 0, perSecond: 0, objectiveMs: request.route.objectiveMs, ratedAtMs: nowMs, lastAtMs: nowMs, open: 0, adapters: new Map(),
		};
		state.demand.set(request.queueKey, record);
	}

	record.objectiveMs = nowMs - record.lastAtMs > OBJECTIVE_VALID_MS ? request.route.objectiveMs : Math.min(record.objectiveMs, request.route.objectiveMs);
	record.arrivals++;
	record.open++;
	record.lastAtMs = nowMs;
	if (request.arrival.adapter !== undefined) {
		record.adapters.set(request.arrival.adapter, nowMs);
	}
}

export function noteClosed({state}: EntryContext, request: EntryRequest): void {
	const record = state.demand.get(request.queueKey);
	if (record) {
		record.open--;
	}
}

export function rateDemand({state, nowMs}: EntryContext): void {
	for (const record of state.demand.values()) {
		const elapsedMs = nowMs - record.ratedAtMs;
		if (elapsedMs >= RATE_MS) {
			record.perSecond += ((record.arrivals * 1000 / elapsedMs) - record.perSecond) * RATE_GAIN;
			record.arrivals = 0;
			record.ratedAtMs = nowMs;
		}
	}
}

export function localDemand({state, nowMs}: EntryContext): ModelDemand[] {
	return [...state.demand].map(([key, record]) => ({
		service: record.service,
		model: record.model,
		arrivalsPerSecond: Math.round(record.perSecond * 10) / 10,
		open: record.open,
		waiting: queueOf(state, key).waiting,
		objectiveMs: record.objectiveMs,
		adapters: [...record.adapters].filter(([, usedAtMs]) => nowMs - usedAtMs < ADAPTER_IN_USE_MS).map(([adapter]) => adapter),
	}));
}
