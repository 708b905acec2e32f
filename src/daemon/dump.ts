/**
Dump of a process's state as JSON for operators. Maps become plain objects and sets become
arrays; response bodies, hashes of caller tokens and internal members are omitted.
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
