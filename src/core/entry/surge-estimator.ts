/**
Estimates what is lost when the largest demand moves to another model: the requests that
are late until that model has enough copies. Copies and weights at hand that are there
beforehand make this time shorter.
*/
import {
	hasTimeForLoad, lateShare, LOAD_START_MS, REFUSED_COST,
} from './lateness.js';
import {type PlanInput, type PlannedTarget} from './plan-input.js';

/** Rate at which the largest demand moves to another model. */
const SURGES_PER_SECOND = 0.1;
/** Share of these surges that go to the models with urgent requests, in proportion to their requests; the others go to any model. */
const DEMANDED_SURGE_SHARE = 0.6;
/** Surges to a model whose callers are known to have time, relative to other models. */
const LEISURELY_SURGE_SHARE = 0.1;

export class SurgeEstimator {
	/** Number of targets that can load a model without the weight store and hold no copy, by model. */
	private readonly _cachedWithoutCopy = new Map<string, number>();
	/** The two models with the largest demand, either of which may move. */
	private readonly _largest: readonly string[];
	/** Number of models whose callers are not known to have time for a load. */
	private readonly _modelsWithoutTime: number;
	/** Urgent requests a second for the models but the one with the largest demand. */
	private readonly _otherUrgentPerSecond: number;

	constructor(private readonly _input: PlanInput, holders: (model: string) => readonly PlannedTarget[]) {
		const {targets, demand, engine} = _input;
		for (const target of targets) {
			for (const model of new Set([...target.inMemory, ...target.onDisk])) {
				if (!holders(model).includes(target)) {
					this._cachedWithoutCopy.set(model, (this._cachedWithoutCopy.get(model) ?? 0) + 1);
				}
			}
		}

		this._largest = [...demand].sort(([, a], [, b]) => b.busyShare - a.busyShare).slice(0, 2).map(([model]) => model);
		this._modelsWithoutTime = Math.max(1, [...engine.models.keys()].filter(model => !this._hasTime(model)).length);
		let otherUrgentPerSecond = 0;
		for (const [model, {perSecond}] of demand) {
			otherUrgentPerSecond += this._hasTime(model) || model === this._largest[0] ? 0 : perSecond;
		}

		this._otherUrgentPerSecond = otherUrgentPerSecond;
	}

	/**
	Expected requests a second that are not served in time since the largest demand may move to a model with that many
	copies. `moreCached`: change of the number of engines without a copy that have its weights at hand; they serve it
	sooner than those that load it from the weight store.
	*/
	costWith(name: string, copies: number, moreCached = 0): number {
		const {demand, engine, mechanisms} = this._input;
		const moved = demand.get(this._largest.find(model => model !== name) ?? '');
		const model = engine.models.get(name);
		if (!moved || !model || !mechanisms.has('surge-copies')) {
			return 0;
		}

		const lateWith = (serving: number) => serving === 0 ? REFUSED_COST : lateShare(moved.busyShare / serving);
		const untilDiskLoadMs = LOAD_START_MS + model.diskLoadMs;
		const untilStoreLoadMs = Math.max(0, model.loadMs - model.diskLoadMs);
		const lateMs = (lateWith(copies) * untilDiskLoadMs) + (lateWith(copies + (this._cachedWithoutCopy.get(name) ?? 0) + moreCached) * untilStoreLoadMs);
		return SURGES_PER_SECOND * this._shareOf(name) * moved.perSecond * lateMs / 1000;
	}

	/** Probability that the next surge goes to a model. */
	private _shareOf(name: string): number {
		const anyModel = (1 - DEMANDED_SURGE_SHARE) / this._modelsWithoutTime;
		if (this._hasTime(name)) {
			return anyModel * LEISURELY_SURGE_SHARE;
		}

		const perSecond = this._input.demand.get(name)?.perSecond ?? 0;
		return anyModel + (this._otherUrgentPerSecond > 0 ? DEMANDED_SURGE_SHARE * Math.min(1, perSecond / this._otherUrgentPerSecond) : 0);
	}

	private _hasTime(model: string): boolean {
		return hasTimeForLoad(this._input.engine.models.get(model), this._input.demand.get(model));
	}
}
