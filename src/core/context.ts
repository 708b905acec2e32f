/**
What a handler gets besides its event: the state, the current time and the list to
which it appends effects. A context is created for each event.
*/
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {type Effect} from './effect.js';
import {type LogEventName} from './log-events.js';
import {type State} from './state.js';

export type Context = {
	readonly state: State;
	readonly nowMs: number;
	readonly effects: Effect[];
};

export function logEvent(context: Context, event: LogEventName, fields: Readonly<Record<string, unknown>>): void {
	context.effects.push({kind: 'log', event, fields});
}

export function count(context: Context, metric: string, tags: Readonly<Record<string, string>> = {}): void {
	context.effects.push({kind: 'count', metric, tags});
}

/** Returns a random integer from 0 to `bound - 1`. */
export function randomBelow(context: Context, bound: number): number {
	return bound <= 1 ? 0 : uniformInt(context.state.random, 0, bound - 1);
}

/** Randomizes a delay between 0.5 and 1.5 times its length, so that retries of many instances do not coincide. */
export function jitter(context: Context, delayMs: number): number {
	return delayMs * (0.5 + uniformFloat64(context.state.random));
}

/** Returns a token that is unique across all processes: instance id, boot id and a counter. */
export function uniqueToken(context: Context): string {
	const {self} = context.state;
	context.state.tokenCounter++;
	return `${self.id}/${self.boot}/${context.state.tokenCounter}`;
}
