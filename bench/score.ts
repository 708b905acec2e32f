/**
What a run is judged by: the share of requests answered in time, per accelerator,
and the moves that it took.
*/
import {type Priority} from '../src/core/configuration/types.js';
import {type Trace} from './trace.js';

export type Score = {
	readonly trace: string;
	readonly policy: string;
	/** Share of requests answered in time, per accelerator used. */
	readonly attainmentPerAccelerator: number;
	readonly attainment: number;
	readonly urgent: number;
	readonly normal: number;
	readonly batch: number;
	/** Loads and unloads after the first placement. */
	readonly moves: number;
	readonly targetsLost: number;
};

export type Finished = {
	readonly id: string;
	readonly atMs: number;
};

export type RunTotals = {
	readonly policy: string;
	readonly finished: ReadonlyMap<string, number>;
	readonly moves: number;
	readonly targetsLost: number;
};

const DIGITS = 10_000;

export function scoreRun(trace: Trace, {policy, finished, moves, targetsLost}: RunTotals): Score {
	const asked: Record<Priority, number> = {urgent: 0, normal: 0, batch: 0};
	const met: Record<Priority, number> = {urgent: 0, normal: 0, batch: 0};
	for (const request of trace.requests) {
		// A culprit has no answer that could come in time.
		if (request.isCulprit) {
			continue;
		}

		asked[request.priority]++;
		const atMs = finished.get(request.id);
		met[request.priority] += atMs !== undefined && atMs <= request.atMs + request.deadlineMs ? 1 : 0;
	}

	const share = (part: number, whole: number) => whole === 0 ? 1 : Math.round((part / whole) * DIGITS) / DIGITS;
	const attainment = share(met.urgent + met.normal + met.batch, asked.urgent + asked.normal + asked.batch);
	return {
		trace: trace.name,
		policy,
		attainmentPerAccelerator: Math.round((attainment / trace.shape.runners) * DIGITS) / DIGITS,
		attainment,
		urgent: share(met.urgent, asked.urgent),
		normal: share(met.normal, asked.normal),
		batch: share(met.batch, asked.batch),
		moves,
		targetsLost,
	};
}
