/**
Which copies of which models the engines of one service should hold, as a pure
function of what they hold, what is asked for and what fits. Free memory goes to what gains
most. Copies make way only if that pays: what a move gains, for as long as demand
usually lasts after it is done, against what is missed from then on. Models that do
not all fit thus take turns where the ones asked for most leave room.
*/
import {isStaged} from './engine-room.js';
import {type PlanInput, type PlannedMove, type PlannedTarget} from './plan-input.js';
import {afterClearing, intoFreeMemory, type Candidate} from './plan-moves.js';
import {
	isUnasked, mostGain, wantOf, type Planning, type Want,
} from './plan-wants.js';
import {Pressure} from './pressure.js';

/** Models, those that could gain most, and targets, those with the model at hand and the least loaded, that one plan looks at: its cost then grows little with the deployment. */
const WANTS_CONSIDERED = 16;
const TARGETS_CONSIDERED = 24;

/** The next move worth making, undefined when there is none. */
export function planMove(input: PlanInput): PlannedMove | undefined {
	const planning: Planning = {input, pressure: new Pressure(input.targets, input.demand)};
	const wants = [...input.engine.models.values()]
		.map(model => ({model, reason: wantOf(planning, model), most: mostGain(planning, model)}))
		.filter((want): want is Want => want.reason !== undefined)
		.sort((a, b) => b.most - a.most)
		.slice(0, WANTS_CONSIDERED);
	return bestOf(planning, wants, intoFreeMemory)
		?? bestOf(planning, wants.filter(({model}) => !isUnasked(planning, model)), afterClearing);
}

type Place = (planning: Planning, want: Want, target: PlannedTarget) => Candidate | undefined;

function bestOf(planning: Planning, wants: readonly Want[], place: Place): PlannedMove | undefined {
	let best: Candidate | undefined;
	for (const want of wants) {
		for (const target of targetsFor(planning, want)) {
			const candidate = place(planning, want, target);
			if (candidate && candidate.net > (best?.net ?? 0)) {
				best = candidate;
			}
		}
	}

	return best?.move;
}

function targetsFor({input: {targets, storeLoads}, pressure}: Planning, {model: {name}}: Want): PlannedTarget[] {
	const able = targets.filter(target => target.isIdle && target.leaving.length === 0 && !pressure.holders(name).includes(target)
		&& (storeLoads >= 1 || isStaged(target, name)));
	return able.length <= TARGETS_CONSIDERED
		? able
		: able
			.sort((a, b) => Number(isStaged(b, name)) - Number(isStaged(a, name)) || pressure.load(a.id, 'now') - pressure.load(b.id, 'now'))
			.slice(0, TARGETS_CONSIDERED);
}
