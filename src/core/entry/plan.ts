/**
Plans which copies of which models the engines of one service should hold, as a pure
function of what they hold, the demand and the memory. Free memory goes to the model
with the largest gain. A copy is evicted only if that pays: the gain of the move, for
as long as demand usually lasts after it is complete, must exceed the loss from then
on and what is lost while it is made. Models that do not all fit therefore take turns
in the memory that the models in highest demand leave.
*/
import {isCached} from './engine-memory.js';
import {type PlanInput, type PlannedMove, type PlannedTarget} from './plan-input.js';
import {loadAfterEviction, loadIntoFreeMemory, type MoveCandidate} from './plan-moves.js';
import {
	createPlanMemo, desiredCopyOf, type PlanContext, type DesiredCopy,
} from './desired-copies.js';
import {LoadEstimator} from './load-estimator.js';

/** Limits on the models (largest possible gain first) and targets (cached weights, then least load first) that one plan considers, so that its cost grows little with the deployment. */
const MAX_MODELS_CONSIDERED = 16;
const MAX_TARGETS_CONSIDERED = 24;

/** The move with the largest net gain, undefined when none has any. */
export function planMove(input: PlanInput): PlannedMove | undefined {
	const planContext: PlanContext = {input, estimator: new LoadEstimator(input), memo: createPlanMemo()};
	const desiredCopies = [...input.engine.models.values()]
		.map(model => desiredCopyOf(planContext, model))
		.filter(desired => desired !== undefined)
		.sort((a, b) => b.maxGain - a.maxGain)
		.slice(0, MAX_MODELS_CONSIDERED);
	// The copies that the platform placed are a better sign of what will be requested than a model that nobody has requested.
	const load = bestMove(planContext, desiredCopies, loadIntoFreeMemory);
	const swap = bestMove(planContext, desiredCopies.filter(({model: {name}}) => input.demand.has(name)), loadAfterEviction);
	return (swap?.netGain ?? 0) > (load?.netGain ?? 0) ? swap?.move : load?.move;
}

type ProposeMove = (planContext: PlanContext, desired: DesiredCopy, target: PlannedTarget) => MoveCandidate | undefined;

function bestMove(planContext: PlanContext, desiredCopies: readonly DesiredCopy[], propose: ProposeMove): MoveCandidate | undefined {
	let best: MoveCandidate | undefined;
	for (const desired of desiredCopies) {
		for (const target of eligibleTargets(planContext, desired)) {
			const candidate = propose(planContext, desired, target);
			if (candidate && candidate.netGain > (best?.netGain ?? 0)) {
				best = candidate;
			}
		}
	}

	return best;
}

function eligibleTargets({input: {targets, storeLoads}, estimator}: PlanContext, {model: {name}}: DesiredCopy): PlannedTarget[] {
	const eligible = targets.filter(target => target.isIdle && target.leaving.length === 0 && !estimator.holders(name).includes(target)
		&& (storeLoads >= 1 || isCached(target, name)));
	return eligible.length <= MAX_TARGETS_CONSIDERED
		? eligible
		: eligible
			.sort((a, b) => Number(isCached(b, name)) - Number(isCached(a, name)) || estimator.busyShareOf(a) - estimator.busyShareOf(b))
			.slice(0, MAX_TARGETS_CONSIDERED);
}
