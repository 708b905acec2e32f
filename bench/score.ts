/**
Scores a run by the share of requests answered in time, per accelerator, and by the
number of moves that it took.
*/
import {type Priority} from '../src/core/configuration/types.js';
import {type Trace} from './trace.js';

export type Score = {
	readonly trace: string;
	readonly policy: string;
	/** `attainment` divided by the number of accelerators. */
	readonly attainmentPerAccelerator: number;
	/** Share of requests answered before their deadline. */
	readonly attainment: number;
	readonly urgent: number;
	readonly normal: number;
	readonly batch: number;
	/** Number of loads and unloads after the initial placement. */
	readonly moves: number;
	readonly targetsLost: number;
};

export type Finished = {
	readonly id: string;
	readonly atMs: number;
};

export type RunTotals = {
	readonly policy: string;
	/** Time at which each answered request finished, in ms since the start of the trace, by request id. */
	readonly finished: ReadonlyMap<string, number>;
	readonly moves: number;
	readonly targetsLost: number;
};

const ROUNDING_FACTOR = 10_000;

export function scoreRun(trace: Trace, {policy, finished, moves, targetsLost}: RunTotals): Score {
	const total: Record<Priority, number> = {urgent: 0, normal: 0, batch: 0};
	const inTime: Record<Priority, number> = {urgent: 0, normal: 0, batch: 0};
	for (const request of trace.requests) {
		// A request that crashes its targets cannot be answered in time.
		if (request.crashesTargets) {
			continue;
		}

		total[request.priority]++;
		const finishedAtMs = finished.get(request.id);
		inTime[request.priority] += finishedAtMs !== undefined && finishedAtMs <= request.atMs + request.deadlineMs ? 1 : 0;
	}

	const share = (part: number, whole: number) => whole === 0 ? 1 : Math.round((part / whole) * ROUNDING_FACTOR) / ROUNDING_FACTOR;
	const attainment = share(inTime.urgent + inTime.normal + inTime.batch, total.urgent + total.normal + total.batch);
	return {
		trace: trace.name,
		policy,
		attainmentPerAccelerator: Math.round((attainment / trace.shape.engines) * ROUNDING_FACTOR) / ROUNDING_FACTOR,
		attainment,
		urgent: share(inTime.urgent, total.urgent),
		normal: share(inTime.normal, total.normal),
		batch: share(inTime.batch, total.batch),
		moves,
		targetsLost,
	};
}
