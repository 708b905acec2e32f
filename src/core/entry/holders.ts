/**
Which targets hold what a request needs, regardless of whether this instance reaches
them.
*/
import {holdsModel, isListed, type Target} from './target.js';
import {type EntryRequest} from './types.js';

export function countsAsHolder(target: Target, {arrival: {model}, release}: EntryRequest, nowMs: number): boolean {
	if (!isListed(target, nowMs) || (release !== undefined && release !== target.entry.release)) {
		return false;
	}

	return model === undefined || (holdsModel(target, model) && nowMs >= (target.leavingCopies.get(model) ?? 0));
}
