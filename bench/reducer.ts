/**
Cost per event at today's size and at the two-year size, measured alternately in one run.
*/
import {PopulatedCore, todaySize, twoYearSize} from './core-size.js';
import {median, type Figure} from './figure.js';

const ROUNDS = 9;
const CYCLES = 20_000;
const WARM_UP_CYCLES = 20_000;
const RATIO_GOAL = 1.5;
const EVENTS_GOAL = 50_000;

function eventsPerSecond(core: PopulatedCore): number {
	const before = core.eventCount;
	const startMs = performance.now();
	for (let cycle = 0; cycle < CYCLES; cycle++) {
		core.cycle();
	}

	return ((core.eventCount - before) * 1000) / (performance.now() - startMs);
}

export function benchReducer(): Figure[] {
	const small = new PopulatedCore(todaySize);
	const large = new PopulatedCore(twoYearSize);
	for (const core of [small, large]) {
		for (let cycle = 0; cycle < WARM_UP_CYCLES; cycle++) {
			core.cycle();
		}
	}

	const ratios: number[] = [];
	const rates: number[] = [];
	for (let round = 0; round < ROUNDS; round++) {
		const smallRate = eventsPerSecond(small);
		const largeRate = eventsPerSecond(large);
		ratios.push(smallRate / largeRate);
		rates.push(largeRate);
	}

	return [
		{
			bench: 'reducer',
			figure: 'cost per event, two-year size over today\'s',
			value: median(ratios),
			unit: 'ratio',
			goal: `at most ${RATIO_GOAL}`,
			met: median(ratios) <= RATIO_GOAL,
		},
		{
			bench: 'reducer',
			figure: 'events per second at the two-year size',
			value: median(rates),
			unit: '1/s',
			goal: `at least ${EVENTS_GOAL}`,
			met: median(rates) >= EVENTS_GOAL,
		},
	];
}
