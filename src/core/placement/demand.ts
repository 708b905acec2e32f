/**
Demand for models: each instance estimates the rate of its own arrivals and publishes
it to its peers; the holder of a zone's lease adds up the rates of all instances.
*/
import {type Context} from '../context.js';
import {publishFact} from '../peer/facts.js';
import {type ModelName} from '../types.js';
import {type Demand} from './types.js';

const DEMAND_INTERVAL_MS = 2000;
const ARRIVAL_RATE_SMOOTHING = 0.3;
const PEER_DEMAND_VALID_MS = 15_000;

/** Estimates this instance's demand and publishes it to peers. */
export function runDemand(context: Context): void {
	const {state, nowMs} = context;
	state.timers.set(nowMs + DEMAND_INTERVAL_MS, {kind: 'periodic', duty: 'demand'});
	const demand: Demand[] = [];
	for (const [id, route] of state.requests.routes) {
		const perSecond = (route.arrivals * 1000) / DEMAND_INTERVAL_MS;
		route.arrivalRate += ARRIVAL_RATE_SMOOTHING * (perSecond - route.arrivalRate);
		route.arrivals = 0;
		const {waiting} = route.queue;
		if (id.startsWith('model:') && (route.arrivalRate > 0.01 || waiting > 0)) {
			demand.push({model: id.slice('model:'.length), rate: Math.round(route.arrivalRate * 100) / 100, waiting});
		}
	}

	const previous = state.placement.peerDemand.get(state.self.id)?.demand ?? [];
	state.placement.peerDemand.set(state.self.id, {demand, receivedAtMs: nowMs});
	if (demand.length > 0 || previous.length > 0) {
		publishFact(context, `demand/${state.self.id}`, {kind: 'demand', demand});
	}
}

export function totalDemand({state, nowMs}: Context): Map<ModelName, {rate: number; waiting: number}> {
	const totals = new Map<ModelName, {rate: number; waiting: number}>();
	for (const [instanceId, {demand, receivedAtMs}] of state.placement.peerDemand) {
		if (nowMs - receivedAtMs > PEER_DEMAND_VALID_MS) {
			state.placement.peerDemand.delete(instanceId);
			continue;
		}

		for (const {model, rate, waiting} of demand) {
			const total = totals.get(model) ?? {rate: 0, waiting: 0};
			total.rate += rate;
			total.waiting += waiting;
			totals.set(model, total);
		}
	}

	return totals;
}
