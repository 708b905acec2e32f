/**
What it costs a target, for its selection, that a connection to it has to be opened.
*/
import {type EntryState} from './state.js';
import {type Target} from './target.js';

/**
In the unit of the load, a share of a target's slots: less than one request at an engine of 12 slots, so that only
targets of about equal cost are told apart. As each instance has idle connections to other targets, it does not bring
instances with the same view to the same target.
*/
const NEW_CONNECTION_COST = 0.07;

export function newConnectionCost(state: EntryState, target: Target): number {
	return state.hasIdleConnection(target.entry.address) ? 0 : NEW_CONNECTION_COST;
}
