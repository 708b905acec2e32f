/**
The repeat budget of each service, shared out among the instances.
*/
import {countRecentInstances} from './peers.js';
import {RetryBudget} from './retry-budget.js';
import {type EntryContext, type EntryState} from './state.js';

export function repeatBudget(state: EntryState, service: string): RetryBudget {
	let budget = state.budgets.get(service);
	if (!budget) {
		budget = new RetryBudget(state.bounds.repeatWindowMs);
		state.budgets.set(service, budget);
	}

	return budget;
}

/** Takes one repeat from the service's budget, false when it is used up. */
export function takeRepeat({state, nowMs}: EntryContext, service: string): boolean {
	const {repeatShare, repeatSlack} = state.bounds;
	return repeatBudget(state, service).take(nowMs, repeatShare, repeatSlack / countRecentInstances(state, nowMs));
}
