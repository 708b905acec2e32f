/**
The retry budgets of this instance, one for each service.
*/
import {countInstances} from './peers.js';
import {RetryBudget} from './retry-budget.js';
import {type EntryContext, type EntryState} from './state.js';

export function retryBudget(state: EntryState, service: string): RetryBudget {
	let budget = state.retryBudgets.get(service);
	if (!budget) {
		budget = new RetryBudget(state.bounds.repeatWindowMs);
		state.retryBudgets.set(service, budget);
	}

	return budget;
}

/** Takes one retry from the budget of the service; returns false when fewer than `reserve` would be left. */
export function takeRetry({state, nowMs}: EntryContext, service: string, {reserve = 0}: {readonly reserve?: number} = {}): boolean {
	const {repeatShare, repeatSlack} = state.bounds;
	return retryBudget(state, service).take(nowMs, repeatShare, repeatSlack / countInstances(state, nowMs), reserve);
}
