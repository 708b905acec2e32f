/**
`npm run measure`: compares pollenarch with the baseline policies by attainment per
accelerator and number of moves, on the same seeded traces. `--json` prints the scores,
`--seed N` generates other traces.
*/
import process from 'node:process';
import {Command} from 'commander';
import {formatTable} from '../src/cli/table.js';
import {runBaseline, type PlacementPolicy, type RoutingPolicy} from './baselines.js';
import {runPollenarch} from './pollenarch-run.js';
import {scoreRun, type Score} from './score.js';
import {
	createTrace, kita, petrov, type DeploymentShape, type Trace,
} from './trace.js';

const baselines: ReadonlyArray<readonly [RoutingPolicy, PlacementPolicy]> = [
	['round-robin', 'static'],
	['least-loaded', 'static'],
	['least-loaded', 'lru'],
	['least-loaded', 'proportional'],
];

/** Goals of the comparison. `docs/MEASURE.md` explains them. */
const ATTAINMENT_GOAL = 1.3;
const URGENT_GOAL = 0.99;
const MOVES_GOAL = 0.5;

function createTraces(shape: DeploymentShape, seed: number): Trace[] {
	return [
		createTrace({
			name: `${shape.name} calm`,
			shape,
			seed,
			load: 0.5,
		}),
		createTrace({
			name: `${shape.name} bursts and faults`,
			shape,
			seed: seed + 1,
			load: 0.65,
			burstFactor: 2.5,
			popularityShiftMs: 60_000,
			hasFaults: true,
		}),
		createTrace({
			name: `${shape.name} overload 2x`,
			shape,
			seed: seed + 2,
			load: 2,
			urgentShare: 0.35,
			batchShare: 0.3,
		}),
		createTrace({
			name: `${shape.name} overload 10x`,
			shape,
			seed: seed + 3,
			durationMs: 60_000,
			load: 10,
			urgentShare: 0.05,
			batchShare: 0.5,
		}),
	];
}

type GoalCheck = {
	readonly trace: string;
	readonly goal: string;
	readonly seen: string;
	readonly met: boolean;
};

function checkGoals(scores: readonly Score[]): GoalCheck[] {
	const verdicts: GoalCheck[] = [];
	for (const ownScore of scores.filter(({policy}) => policy === 'pollenarch')) {
		const baselineScores = scores.filter(({trace, policy}) => trace === ownScore.trace && policy !== 'pollenarch');
		const bestBaseline = baselineScores.toSorted((a, b) => b.attainmentPerAccelerator - a.attainmentPerAccelerator)[0]!;
		const attainmentRatio = ownScore.attainmentPerAccelerator / bestBaseline.attainmentPerAccelerator;
		const requiredRatio = ownScore.trace.endsWith('faults') ? ATTAINMENT_GOAL : 1;
		if (ownScore.trace.includes('overload')) {
			verdicts.push({
				trace: ownScore.trace,
				goal: `urgent work at least ${URGENT_GOAL} in time`,
				seen: ownScore.urgent.toFixed(4),
				met: ownScore.urgent >= URGENT_GOAL,
			});
		} else {
			verdicts.push({
				trace: ownScore.trace,
				goal: `attainment at least ${requiredRatio} times the best baseline's`,
				seen: `${attainmentRatio.toFixed(3)} times ${bestBaseline.policy}`,
				met: attainmentRatio >= requiredRatio - 0.001,
			}, {
				trace: ownScore.trace,
				goal: `moves at most ${MOVES_GOAL} times the best baseline's`,
				seen: `${ownScore.moves} against ${bestBaseline.moves} (best that moves models: ${movesOfBestDynamicPolicy(baselineScores)})`,
				met: ownScore.moves <= MOVES_GOAL * bestBaseline.moves,
			});
		}
	}

	return verdicts;
}

/** Moves of the best baseline that changes the placement of models at run time. */
function movesOfBestDynamicPolicy(baselineScores: readonly Score[]): number {
	const dynamicScores = baselineScores.filter(({policy}) => !policy.endsWith('static'));
	return dynamicScores.toSorted((a, b) => b.attainmentPerAccelerator - a.attainmentPerAccelerator)[0]?.moves ?? 0;
}

const program = new Command('measure')
	.option('--json', 'print JSON', false)
	.option('--seed <number>', 'seed of the traces', Number, 2026)
	.action(({json, seed}: {json: boolean; seed: number}) => {
		const traces = [petrov, kita].flatMap((shape, index) => createTraces(shape, seed + (index * 100)));
		const scores = traces.flatMap(trace => [
			scoreRun(trace, runPollenarch(trace)),
			...baselines.map(([routing, placement]) => scoreRun(trace, runBaseline(trace, routing, placement))),
		]);
		const verdicts = checkGoals(scores);
		process.stdout.write(json
			? `${JSON.stringify({seed, scores, verdicts})}\n`
			: `${formatTable(scores)}\n\n${formatTable(verdicts)}\n`);
	});

program.parse();
