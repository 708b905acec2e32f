/**
Whether this instance's copy of the registry is recent enough to choose targets by. An
instance whose event loop was behind reads requests before the news that arrived with
them: it waits for a few turns of the loop, in which that news is read, rather than send
work to a target that has left meanwhile. While the store gives no answers, requests go on
by the copy that there is.
*/
import {type EntryContext} from './state.js';

/** Time for a try to be connected and written after its target was chosen. */
const SEND_MARGIN_MS = 400;
/** Turns of the event loop, rather than a time, since a late loop reads everything that has arrived once a turn. */
const WAIT_TICKS = 6;

export function isCopyRecent({state: {registry, bounds}, nowMs}: Pick<EntryContext, 'state' | 'nowMs'>): boolean {
	return nowMs - registry.freshAtMs <= bounds.drainMs - SEND_MARGIN_MS || registry.failedAtMs > registry.restoredAtMs || registry.staleTicks > WAIT_TICKS;
}

/** Called every tick: counts how long the copy has been too old. */
export function watchRegistryAge({state: {registry, bounds}, nowMs}: EntryContext): void {
	registry.staleTicks = nowMs - registry.freshAtMs <= bounds.drainMs - SEND_MARGIN_MS ? 0 : registry.staleTicks + 1;
}
