/**
Which copies of which models the engines of one service should hold, as a pure
function of what they hold, what is asked for and what fits. Free memory goes to what gains
most. Copies make way only if that pays: what a move gains, for as long as demand
usually lasts after it is done, against what is missed from then on. Models that do
not all fit thus take turns where the ones asked for most leave room.
*/
import {isCached} from './engine-memory.js';
import {type PlanInput, type PlannedMove, type PlannedTarget} from './plan-input.js';
import {loadAfterEviction, loadIntoFreeMemory, type MoveCandidate} from './plan-moves.js';
import {
	isHeldWithoutDemand, maxGainOf, copyReason, type PlanContext, type DesiredCopy,
} from './desired-copies.js';
import {LoadEstimator} from './load-estimator.js';

/** Models, those that could gain most, and targets, those with the model at hand and the least loaded, that one plan looks at: its cost then grows little with the deployment. */
const MAX_MODELS_CONSIDERED = 16;
const MAX_TARGETS_CONSIDERED = 24;

/** The next move worth making, undefined when there is none. */
export function planMove(input: PlanInput): PlannedMove | undefined {
	const planContext: PlanContext = {input, estimator: new LoadEstimator(input.targets, input.demand)};
	const desiredCopies = [...input.engine.models.values()]
		.map(model => ({model, reason: copyReason(planContext, model), maxGain: maxGainOf(planContext, model)}))
		.filter((desired): desired is DesiredCopy => desired.reason !== undefined)
		.sort((a, b) => b.maxGain - a.maxGain)
		.slice(0, MAX_MODELS_CONSIDERED);
	return bestMove(planContext, desiredCopies, loadIntoFreeMemory)
		?? bestMove(planContext, desiredCopies.filter(({model}) => !isHeldWithoutDemand(planContext, model)), loadAfterEviction);
}

type ProposeMove = (planContext: PlanContext, desired: DesiredCopy, target: PlannedTarget) => MoveCandidate | undefined;

function bestMove(planContext: PlanContext, desiredCopies: readonly DesiredCopy[], propose: ProposeMove): PlannedMove | undefined {
	let best: MoveCandidate | undefined;
	for (const desired of desiredCopies) {
		for (const target of eligibleTargets(planContext, desired)) {
			const candidate = propose(planContext, desired, target);
			if (candidate && candidate.netGain > (best?.netGain ?? 0)) {
				best = candidate;
			}
		}
	}

	return best?.move;
}

function eligibleTargets({input: {targets, storeLoads}, estimator}: PlanContext, {model: {name}}: DesiredCopy): PlannedTarget[] {
	const eligible = targets.filter(target => target.isIdle && target.leaving.length === 0 && !estimator.holders(name).includes(target)
		&& (storeLoads >= 1 || isCached(target, name)));
	return eligible.length <= MAX_TARGETS_CONSIDERED
		? eligible
		: eligible
			.sort((a, b) => Number(isCached(b, name)) - Number(isCached(a, name)) || estimator.loadOf(a.id, 'now') - estimator.loadOf(b.id, 'now'))
			.slice(0, MAX_TARGETS_CONSIDERED);
}
