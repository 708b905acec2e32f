/**
One run of an experiment, reduced to what is compared and plotted.
*/
import {mechanismsWithout, type Mechanism} from '../core/entry/mechanisms.js';
import {type Resumptions} from './callers.js';
import {Fleet, type FleetSample} from './fleet.js';
import {
	answerTimes, inTimeBySecond, servedNames, sharesOf, type ServedNames, type Shares,
} from './outcomes.js';
import {type Pattern} from './pattern.js';

export type RunTask = {
	readonly pattern: Pattern;
	readonly seed: number;
	readonly without: readonly Mechanism[];
};

export type RunSummary = {
	readonly seed: number;
	readonly all: Shares;
	readonly byKind: Readonly<Record<string, Shares>>;
	readonly byZone: readonly Shares[];
	readonly worstSecond: number;
	readonly inTimeBySecond: readonly number[];
	readonly medianMs: number;
	readonly p99Ms: number;
	readonly moves: number;
	readonly storeLoads: number;
	readonly preemptions: number;
	readonly readTokens: number;
	readonly keptTokens: number;
	readonly events: number;
	readonly messageBytes: number;
	readonly resumptions: Resumptions;
	readonly names: ServedNames;
	readonly samples: readonly FleetSample[];
	readonly violations: readonly string[];
};

export function runOnce({pattern, seed, without}: RunTask): RunSummary {
	const result = new Fleet({pattern, seed, mechanisms: mechanismsWithout(without)}).run();
	const {outcomes} = result;
	const bySecond = inTimeBySecond(outcomes, Math.ceil(pattern.lengthS));
	const times = answerTimes(outcomes);
	return {
		seed,
		all: sharesOf(outcomes),
		byKind: Object.fromEntries(pattern.kinds.map(kind => [kind.name, sharesOf(outcomes.filter(outcome => outcome.kind === kind))])),
		byZone: Array.from({length: pattern.zones}, (_, zone) => sharesOf(outcomes.filter(outcome => outcome.zone === zone))),
		worstSecond: Math.min(...bySecond),
		inTimeBySecond: bySecond,
		medianMs: times.getValueAtPercentile(50),
		p99Ms: times.getValueAtPercentile(99),
		moves: result.moves,
		storeLoads: result.storeLoads,
		preemptions: result.preemptions,
		readTokens: result.readTokens,
		keptTokens: result.keptTokens,
		events: result.events,
		messageBytes: result.messageBytes,
		resumptions: result.resumptions,
		names: servedNames(outcomes),
		samples: result.samples,
		violations: result.violations,
	};
}
