/**
Checks what must hold between the instances of a modelled deployment and inside each of
them, and reports what does not.
*/
import {type EngineOrder} from '../core/entry/types.js';
import {countInstances} from '../core/entry/peers.js';
import {type EntryState} from '../core/entry/state.js';
import {type Simulation} from './simulation.js';

/** Time after which no request may be sent under a withdrawn key, as for the deployments. */
export const REVOKE_MS = 5000;
/** How quotas are measured, as for the deployments. */
export const QUOTA_BOUNDS = {windowMs: 8000, overShare: 0.1, slack: 7400};
/** Sum of the shares of a common limit, with a tolerance for instances that have just joined. */
const MAX_SHARES = 1.1;

export type InvariantOptions = {
	readonly simulation: Simulation;
	readonly onViolation: (text: string) => void;
};

export class Invariants {
	private readonly _sentUnits = new Map<number, {list: Array<{atMs: number; units: number}>; sum: number}>();
	private readonly _holderByEngine = new Map<string, {holder: string; epoch: number}>();

	constructor(private readonly _options: InvariantOptions) {}

	/** One instance at a time gives orders to an engine, and epochs only grow. */
	checkHolder(targetId: string, {holder, epoch}: Pick<EngineOrder, 'holder' | 'epoch'>): void {
		const known = this._holderByEngine.get(targetId);
		if (known && (epoch < known.epoch || (epoch === known.epoch && holder !== known.holder))) {
			this._report(`${holder} orders ${targetId} in epoch ${epoch} after ${known.holder} in epoch ${known.epoch}`);
		}

		this._holderByEngine.set(targetId, {holder, epoch});
	}

	/** Instances divide a common limit, such as that of retries, so that their shares sum up to no more than it. */
	checkShares(states: readonly EntryState[]): void {
		const {nowMs} = this._options.simulation;
		const shares = states.reduce((sum, state) => sum + (1 / countInstances(state, nowMs)), 0);
		if (shares > MAX_SHARES) {
			this._report(`the shares of a common limit sum up to ${shares.toFixed(2)} of it`);
		}
	}

	/** A queue counts the requests that wait in it; one with a count of 0 is not looked at. */
	checkQueues({self, queues, open}: EntryState): void {
		for (const [key, {waiting}] of queues) {
			const queued = [...open.values()].filter(({queueKey, phase}) => queueKey === key && phase === 'queued').length;
			if (waiting !== queued) {
				this._report(`${self.id} counts ${waiting} waiting requests for ${key} where there are ${queued}`);
			}
		}
	}

	/** No instance sends a request under a withdrawn key later than the bound. */
	checkKeySent(requestId: string, withdrawnAtMs: number | undefined): void {
		const sinceMs = this._options.simulation.nowMs - (withdrawnAtMs ?? Number.POSITIVE_INFINITY);
		if (sinceMs > REVOKE_MS) {
			this._report(`${requestId} was sent ${Math.round(sinceMs)} ms after its key was withdrawn`);
		}
	}

	/** What targets get of a workspace in any window stays within its quota, by the bound of the deployments. */
	checkQuotaSent(workspace: number, units: number, {perSecond, burst}: {readonly perSecond: number; readonly burst: number}): void {
		const {nowMs} = this._options.simulation;
		const sent = this._sentUnits.get(workspace) ?? {list: [], sum: 0};
		this._sentUnits.set(workspace, sent);
		sent.list.push({atMs: nowMs, units});
		sent.sum += units;
		while (sent.list[0]!.atMs <= nowMs - QUOTA_BOUNDS.windowMs) {
			sent.sum -= sent.list.shift()!.units;
		}

		const bound = (((perSecond * QUOTA_BOUNDS.windowMs / 1000) + burst) * (1 + QUOTA_BOUNDS.overShare)) + QUOTA_BOUNDS.slack;
		if (sent.sum > bound) {
			this._report(`workspace ${workspace} has used ${Math.round(sent.sum)} units in a window, bound ${Math.round(bound)}`);
		}
	}

	/** Callers whose key is in force are not told that it is unknown. */
	checkKeyRefused(requestId: string, withdrawnAtMs: number | undefined): void {
		if (withdrawnAtMs === undefined) {
			this._report(`${requestId} was refused for its key, which is in force`);
		}
	}

	private _report(text: string): void {
		this._options.onViolation(`${Math.round(this._options.simulation.nowMs)} ms: ${text}`);
	}
}
