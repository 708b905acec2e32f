/**
What each outcome of a try proves about the execution of its request, and what it says of
its target.
*/
import {type ResultName} from '../result-codes.js';
import {addSuspect, recordRefusal} from './crash-suspects.js';
import {failureRateOf, recordOutcome} from './failure-rates.js';
import {beginPace, recordPaceFailure} from './pace.js';
import {recordUnreached} from './reachability.js';
import {avoidRelay} from './relay.js';
import {type EntryContext} from './state.js';
import {recordLoad, type Target} from './target.js';
import {type EntryRequest, type EntryTry, type TryOutcome} from './types.js';

export type FailedOutcome = Exclude<TryOutcome, 'answered'>;

export type FailureDetails = {
	/** Whether a target that did not run the request lacks its model or adapter. */
	readonly wasMissing?: boolean;
	/** Whether the target has started anew since the try was sent. */
	readonly wasFormerLifetime?: boolean;
	/** Whether a target that was not reached refused the connection. */
	readonly wasRefused?: boolean;
	/** When another instance that refused the request would take it. */
	readonly retryAfterMs?: number;
	readonly status?: number;
};

export type FailedTry = {
	readonly request: EntryRequest;
	readonly attempt: EntryTry;
	readonly outcome: FailedOutcome;
	readonly details?: FailureDetails;
};

export type OutcomeRule = {
	/** Whether the target may have executed the request. */
	readonly mayHaveRun: boolean;
	/** Whether the next try counts against the retry budget. */
	readonly isRetry: boolean;
	readonly code: ResultName;
	/** Updates what this instance knows of the target, beside its rate of failures. */
	readonly updateTarget?: (context: EntryContext, target: Target, failed: FailedTry) => void;
};

/** Exponential backoff for a target that could not be reached: the base is doubled with each consecutive failure, up to the maximum. */
const BACKOFF_BASE_MS = 150;
const MAX_BACKOFF_MS = 1500;
/** Smoothed share of failed tries from which a target has to find its pace again. */
const PACED_FAILURE_RATE = 0.4;
/** A target's heartbeat reaches the registry within about this time. */
const MISSING_COPY_MS = 1000;

export const outcomeRules: Readonly<Record<FailedOutcome, OutcomeRule>> = {
	'not-sent': {
		mayHaveRun: false, isRetry: false, code: 'no-target',
		updateTarget(context, target, {attempt, details}) {
			backOff(context, target);
			const isRefused = details?.wasRefused === true;
			recordUnreached(context, target, {sinceMs: attempt.startedAtMs, isRefused});
			if (isRefused) {
				recordRefusal(context, target);
			}
		},
	},
	'not-run': {
		mayHaveRun: false, isRetry: true, code: 'no-target',
		updateTarget({nowMs}, target, {request, details}) {
			const {model, adapter} = request.arrival;
			const wasMissing = details?.wasMissing === true;
			if (wasMissing && adapter !== undefined) {
				target.adapters.delete(`${model}/${adapter}`);
			} else if (wasMissing && model !== undefined) {
				// The copy has been unloaded, or its load is not complete; the registry shows which with the target's next heartbeat.
				target.leavingCopies.set(model, Math.max(target.leavingCopies.get(model) ?? 0, nowMs + MISSING_COPY_MS));
			} else {
				// A target that declines is full, whatever load it sent last, until it sends a new one.
				recordLoad(target, {running: target.entry.slots, waiting: target.entry.slots, slots: target.entry.slots}, nowMs);
			}
		},
	},
	failed: {
		mayHaveRun: true, isRetry: true, code: 'target-failed',
	},
	broken: {
		mayHaveRun: true, isRetry: true, code: 'target-failed',
		updateTarget(context, target, {request}) {
			addSuspect(context, target, request);
		},
	},
	unproven: {
		mayHaveRun: true, isRetry: true, code: 'target-failed',
		updateTarget(context, target, {request}) {
			addSuspect(context, target, request);
		},
	},
	canceled: {
		mayHaveRun: true, isRetry: true, code: 'target-timeout',
		updateTarget(context, target, {request}) {
			addSuspect(context, target, request);
		},
	},
};

function backOff({nowMs}: EntryContext, target: Target): void {
	target.failures++;
	target.backoffUntilMs = nowMs + Math.min(MAX_BACKOFF_MS, BACKOFF_BASE_MS * (2 ** (target.failures - 1)));
}

/** Records what a try says of its target, or of the instance that it was passed on to. */
export function recordAgainstTarget(context: EntryContext, failed: FailedTry): void {
	const {attempt, outcome, details} = failed;
	const rule = outcomeRules[outcome];
	if (attempt.isRelay && outcome !== 'failed') {
		avoidRelay(context, attempt);
	}

	const target = context.state.targets.get(attempt.targetId);
	// A target that leaves as announced is gone in the end.
	const hasLeft = outcome === 'unproven' && target?.leavingSinceMs !== undefined;
	if (!target || details?.wasFormerLifetime === true || hasLeft) {
		return;
	}

	rule.updateTarget?.(context, target, failed);
	if (attempt.wasSilent) {
		// Its silence has counted.
		return;
	}

	if (rule.mayHaveRun) {
		recordOutcome(context, target, true);
	}

	pace(context, target, {outcome, wasMissing: details?.wasMissing ?? false});
}

/** Failures and shed requests slow a target's pace; one that fails often begins to have one. */
function pace(context: EntryContext, target: Target, {outcome, wasMissing}: {readonly outcome: FailedOutcome; readonly wasMissing: boolean}): void {
	if (outcome === 'not-sent' || wasMissing) {
		return;
	}

	if (failureRateOf(target, context.nowMs) >= PACED_FAILURE_RATE) {
		beginPace(context, target, 'failing');
	}

	recordPaceFailure(context, target, outcome);
}

/** Number of ended tries that may have executed the request. */
export function countRuns({tries}: EntryRequest): number {
	return tries.filter(({outcome}) => outcome !== undefined && outcome !== 'answered' && outcomeRules[outcome].mayHaveRun).length;
}
