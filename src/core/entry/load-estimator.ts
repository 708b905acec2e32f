/**
Estimates the load of targets and the cost of copies, in requests that are not served
in time: an engine beyond the load that it can sustain delays its streams, the more
the higher the load, and requests for a model without a copy are refused. The cost of
a move is the change in this sum, a pure function of current and recent demand.
*/
import {type TargetId} from '../types.js';
import {type PlannedDemand, type PlannedTarget} from './plan-input.js';

/**
Share of an engine's slots up to which streams keep within their pause limit: below it one stream in thirty is late,
at half of the slots one in four.
*/
const IN_TIME_SHARE = 0.3;
/** Load beyond that share, as a multiple of it, at which all streams would be late if their share grew linearly. */
const LATE_SPAN = 3;
/** Requests for a model without a copy are refused, which is worse than being late. */
const NO_COPY_WEIGHT = 2;
/** Minimum open requests as a share of the arrivals per second, since instances may not have announced theirs yet. */
const MIN_OPEN_SHARE = 0.3;

/** Current demand, or current and recent demand, whichever is larger. */
export type DemandView = 'now' | 'recent';

/** Models whose copies one target gains and loses. */
export type CopyChange = {
	readonly add?: string;
	readonly remove: readonly string[];
};

export class LoadEstimator {
	private readonly _holders = new Map<string, PlannedTarget[]>();
	private readonly _loads: Readonly<Record<DemandView, Map<TargetId, number>>> = {now: new Map(), recent: new Map()};

	constructor(targets: readonly PlannedTarget[], private readonly _demand: ReadonlyMap<string, PlannedDemand>) {
		for (const target of targets) {
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
			for (const view of ['now', 'recent'] as const) {
				const share = this.openRequests(model, view) / holders.length;
				for (const {id} of holders) {
					this._loads[view].set(id, this.loadOf(id, view) + share);
				}
			}
		}
	}

	/** Targets that hold a copy or are loading one, except those whose copy is about to be unloaded. */
	holders(model: string): readonly PlannedTarget[] {
		return this._holders.get(model) ?? [];
	}

	/** Number of targets that hold a copy which stays; a copy that is still loading does not serve. */
	servingCopies(model: string): number {
		return this.holders(model).filter(({copies}) => copies.some(copy => copy.model === model)).length;
	}

	/** Requests for a model that run or are queued. */
	openRequests(model: string, view: DemandView): number {
		const demand = this._demand.get(model);
		if (!demand) {
			return 0;
		}

		const open = Math.max(demand.open, demand.perSecond * MIN_OPEN_SHARE);
		return view === 'now' ? open : Math.max(open, demand.recentOpen);
	}

	/** Requests at a target if those of each model are spread evenly over its copies. */
	loadOf(id: TargetId, view: DemandView): number {
		return this._loads[view].get(id) ?? 0;
	}

	/** Whether the load is beyond what the target's engine can sustain without delaying streams. */
	isOverloaded({id, slots}: PlannedTarget): boolean {
		return this.loadOf(id, 'now') > slots * IN_TIME_SHARE;
	}

	/** Requests not served in time that a change of one target's copies adds; negative if it removes some. */
	costOfChange(target: PlannedTarget, {add, remove}: CopyChange, view: DemandView): number {
		const loadDeltas = new Map<PlannedTarget, number>([[target, 0]]);
		const addDelta = (at: PlannedTarget, by: number) => {
			loadDeltas.set(at, (loadDeltas.get(at) ?? 0) + by);
		};

		let cost = 0;
		for (const model of remove) {
			const open = this.openRequests(model, view);
			const others = this.holders(model).filter(holder => holder !== target);
			addDelta(target, -open / (others.length + 1));
			cost += others.length === 0 ? this.unservedCost(model, view) : 0;
			for (const other of others) {
				addDelta(other, (open / others.length) - (open / (others.length + 1)));
			}
		}

		if (add !== undefined) {
			const open = this.openRequests(add, view);
			const others = this.holders(add);
			addDelta(target, open / (others.length + 1));
			cost -= others.length === 0 ? this.unservedCost(add, view) : 0;
			for (const other of others) {
				addDelta(other, (open / (others.length + 1)) - (open / others.length));
			}
		}

		for (const [{id, slots}, by] of loadDeltas) {
			const load = this.loadOf(id, view);
			cost += lateRequests(load + by, slots) - lateRequests(load, slots);
		}

		return cost;
	}

	/** Cost of the requests that are not served while a model has no copy. */
	unservedCost(model: string, view: DemandView): number {
		return NO_COPY_WEIGHT * Math.max(this.openRequests(model, view), this._demand.get(model)?.perSecond ?? 0);
	}
}

/** Number of late requests among those that run at an engine at once. */
function lateRequests(load: number, slots: number): number {
	const inTime = slots * IN_TIME_SHARE;
	return load * Math.max(0, load - inTime) / (LATE_SPAN * inTime);
}
