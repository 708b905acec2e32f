/**
The state of a process as JSON for people. Maps and sets become plain objects and
arrays; bodies of answers and tokens of callers are left out.
*/
import {type State} from '../core/state.js';

const omittedMembers: ReadonlySet<string> = new Set(['tokenSha256', 'body', 'callersByToken', 'random', 'index', 'sweep']);

export function dumpState(state: State): string {
	return JSON.stringify(state, (key, value: unknown): unknown => {
		if (omittedMembers.has(key)) {
			return undefined;
		}

		if (value instanceof Map) {
			return Object.fromEntries(value as Map<string, unknown>);
		}

		return value instanceof Set ? [...value as Set<unknown>] as unknown : value;
	});
}
