/**
Estimates what an assignment of copies costs: the requests a second that are not served
in time. Engines that read prompts most of the time delay the streams that they
generate, the more the busier they are, and requests for a model without a copy wait
for a load or are refused. The cost of a move is the change in this sum, a pure
function of demand.
*/
import {type EngineModel} from './configuration.js';
import {isCached} from './engine-memory.js';
import {hasTimeForLoad, lateShare} from './lateness.js';
import {type EnabledMechanisms} from './mechanisms.js';
import {SurgeEstimator} from './surge-estimator.js';
import {type PlanInput, type PlannedDemand, type PlannedTarget} from './plan-input.js';

/** Engines busier than this delay noticeably many streams. */
const OVERLOADED_SHARE = 0.25;
/** Share of the requests that are late while their model has to be loaded first, where their objective leaves time for that. */
const LATE_SHARE_AFTER_LOAD = 0.2;
/** Cost of a model without a copy beyond its known demand: demand may shift to it at any time, and most of it is lost until a copy serves. */
const UNAVAILABLE_COST_PER_SECOND = 1;
/** The same for a model whose callers are known to have time for a load. */
const UNAVAILABLE_LEISURELY_COST_PER_SECOND = 0.05;
/** Cost of loading the only copy of a model on a busy engine rather than on an idle one. */
const BUSY_TARGET_COST = 0.05;

/** Models whose copies one target gains and loses. */
export type CopyChange = {
	readonly add?: string;
	readonly remove: readonly string[];
};

/** Requests a second, and the share of time that reading their prompts takes. */
type Load = {
	perSecond: number;
	busyShare: number;
};

export class LoadEstimator {
	private readonly _demand: ReadonlyMap<string, PlannedDemand>;
	private readonly _models: ReadonlyMap<string, EngineModel>;
	private readonly _mechanisms: EnabledMechanisms;
	private readonly _holders = new Map<string, PlannedTarget[]>();
	private readonly _loads = new Map<PlannedTarget, Load>();
	private readonly _surge: SurgeEstimator;
	private readonly _removalCosts = new Map<PlannedTarget, Map<string, number>>();

	constructor(input: PlanInput) {
		const {targets, demand, engine, mechanisms} = input;
		this._demand = demand;
		this._models = engine.models;
		this._mechanisms = mechanisms;
		for (const target of targets) {
			this._loads.set(target, {perSecond: 0, busyShare: 0});
			for (const model of new Set([...target.copies.map(copy => copy.model), ...target.loading])) {
				if (!target.leaving.includes(model)) {
					const holders = this._holders.get(model);
					if (holders) {
						holders.push(target);
					} else {
						this._holders.set(model, [target]);
					}
				}
			}
		}

		for (const [model, holders] of this._holders) {
			const share = this._loadOf(model, holders.length);
			for (const target of holders) {
				add(this._loads.get(target)!, share);
			}
		}

		this._surge = new SurgeEstimator(input, model => this.holders(model));
	}

	/** Targets that hold a copy or are loading one, except those whose copy is about to be unloaded. */
	holders(model: string): readonly PlannedTarget[] {
		return this._holders.get(model) ?? [];
	}

	/** Number of targets that hold a copy which stays; a copy that is still loading does not serve. */
	servingCopies(model: string): number {
		return this.holders(model).filter(({copies}) => copies.some(copy => copy.model === model)).length;
	}

	/** Share of its time that a target's engine reads prompts, if the requests of each model are spread evenly over its copies. */
	busyShareOf(target: PlannedTarget): number {
		return this._loads.get(target)?.busyShare ?? 0;
	}

	isOverloaded(target: PlannedTarget): boolean {
		return this.busyShareOf(target) > OVERLOADED_SHARE;
	}

	/** Requests for a model that are late each second because its copies are busy. */
	lateRequestsPerSecond(model: string): number {
		const holders = this.holders(model);
		const {perSecond} = this._loadOf(model, Math.max(1, holders.length));
		return holders.reduce((sum, target) => sum + (perSecond * lateShare(this.busyShareOf(target))), 0);
	}

	/** The same for one copy that is removed. It is worked out once. */
	costOfRemoval(target: PlannedTarget, model: string): number {
		let costs = this._removalCosts.get(target);
		if (!costs) {
			costs = new Map();
			this._removalCosts.set(target, costs);
		}

		let cost = costs.get(model);
		if (cost === undefined) {
			cost = this.costOfChange(target, {remove: [model]});
			costs.set(model, cost);
		}

		return cost;
	}

	/** Requests a second not served in time that a change of one target's copies adds; negative if it removes some. */
	costOfChange(target: PlannedTarget, {add: added, remove}: CopyChange): number {
		const deltas = new Map<PlannedTarget, Load>();
		const change = (at: PlannedTarget, load: Load, sign: number) => {
			const delta = deltas.get(at) ?? {perSecond: 0, busyShare: 0};
			add(delta, load, sign);
			deltas.set(at, delta);
		};

		let cost = 0;
		for (const model of remove) {
			const holders = this.holders(model);
			const others = holders.filter(holder => holder !== target);
			cost += this._surge.costWith(model, others.length, 1) - this._surge.costWith(model, holders.length);
			if (others.length === 0) {
				// Requests that are refused are no relief.
				cost += this.costWithoutCopy(model);
				continue;
			}

			change(target, this._loadOf(model, holders.length), -1);
			for (const other of others) {
				change(other, this._loadOf(model, holders.length), -1);
				change(other, this._loadOf(model, others.length), 1);
			}
		}

		if (added !== undefined) {
			const others = this.holders(added).filter(holder => holder !== target);
			cost += this._surge.costWith(added, others.length + 1, isCached(target, added) ? -1 : 0) - this._surge.costWith(added, others.length);
			if (others.length === 0) {
				// Requests for a model without a copy are refused. Avoiding that comes before the latency of what the engine already serves.
				cost -= this.costWithoutCopy(added) - (this.busyShareOf(target) * BUSY_TARGET_COST);
			} else {
				change(target, this._loadOf(added, others.length + 1), 1);
			}

			for (const other of others) {
				change(other, this._loadOf(added, others.length), -1);
				change(other, this._loadOf(added, others.length + 1), 1);
			}
		}

		for (const [at, delta] of deltas) {
			const load = this._loads.get(at) ?? {perSecond: 0, busyShare: 0};
			cost += lateRequests({perSecond: load.perSecond + delta.perSecond, busyShare: load.busyShare + delta.busyShare}) - lateRequests(load);
		}

		return cost;
	}

	/** Requests a second that are not served in time while a model has no copy. */
	costWithoutCopy(name: string): number {
		const perSecond = this._demand.get(name)?.perSecond ?? 0;
		return hasTimeForLoad(this._models.get(name), this._demand.get(name)) || (perSecond === 0 && !this._mechanisms.has('kept-unknown'))
			? UNAVAILABLE_LEISURELY_COST_PER_SECOND + (perSecond * LATE_SHARE_AFTER_LOAD)
			: UNAVAILABLE_COST_PER_SECOND + perSecond;
	}

	/** What one more copy of a model saves each second by being there when demand moves to it. */
	surgeGain(model: string): number {
		const copies = this.holders(model).length;
		return this._surge.costWith(model, copies) - this._surge.costWith(model, copies + 1);
	}

	private _loadOf(model: string, copies: number): Load {
		const demand = this._demand.get(model);
		return demand ? {perSecond: demand.perSecond / copies, busyShare: demand.busyShare / copies} : {perSecond: 0, busyShare: 0};
	}
}

function add(to: Load, load: Load, sign = 1): void {
	to.perSecond += load.perSecond * sign;
	to.busyShare += load.busyShare * sign;
}

function lateRequests({perSecond, busyShare}: Load): number {
	return Math.max(0, perSecond) * lateShare(busyShare);
}
