/**
What a handler gets beside its event: the state, the time and the list of effects
that it adds to. One context lives as long as one event.
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

export function log(context: Context, event: LogEventName, fields: Readonly<Record<string, unknown>>): void {
	context.effects.push({kind: 'log', event, fields});
}

export function count(context: Context, metric: string, tags: Readonly<Record<string, string>> = {}): void {
	context.effects.push({kind: 'count', metric, tags});
}

/** A whole number from 0 up to but not including `bound`. */
export function randomBelow(context: Context, bound: number): number {
	return bound <= 1 ? 0 : uniformInt(context.state.random, 0, bound - 1);
}

/** Spreads a delay over half to one and a half times its length, so that retries of many instances part. */
export function jitter(context: Context, delayMs: number): number {
	return delayMs * (0.5 + uniformFloat64(context.state.random));
}

/** A token that no other process draws: instance, boot and a counter. */
export function uniqueToken(context: Context): string {
	const {self} = context.state;
	context.state.tokenCounter++;
	return `${self.id}/${self.boot}/${context.state.tokenCounter}`;
}
