/**
Targets that leave. What a target has said of its leaving counts until it restarts: an
entry that is older, or was restored with the store, does not take it back.
*/
import {logEvent, type EntryContext} from './state.js';
import {type Target} from './target.js';

/** `source`: where the target said so. */
export function markLeaving(context: EntryContext, target: Target, source: 'registry' | 'answer'): void {
	if (target.leavingSinceMs === undefined) {
		target.leavingSinceMs = context.nowMs;
		logEvent(context, 'target-leaving', {targetId: target.id, source, revision: context.state.registry.revision});
	}
}
