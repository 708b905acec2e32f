/**
The daemon's reducer: every event goes through `reduce`, which updates the state in
place and returns effects as data. It does no I/O, reads no clock and takes all
randomness from the seed in the `started` event, so that replaying a recorded event
log yields the same effects.
*/
import {
	handleConfigurationFetched, handleHeadRead, handleRowsRead, runConfigurationPoll,
} from './configuration/adoption.js';
import {
	handlePatch, handlePatchRead, handlePatchRetry, handlePatchWrite,
} from './configuration/patch-operations.js';
import {logEvent, type Context} from './context.js';
import {type Effect} from './effect.js';
import {type Event, type EventOf} from './event.js';
import {runDrain, beginDrain} from './membership/drain.js';
import {handleInstancesListed, handlePeerAnswered, publishSelf} from './membership/instances.js';
import {runHousekeeping} from './housekeeping.js';
import {handleFacts, runExchange} from './peer/exchange.js';
import {runDemand} from './placement/demand.js';
import {runPlacement} from './placement/reconciler.js';
import {handleLedgerScan, handleLedgerWrite} from './placement/ledger-store.js';
import {handleLeaseRead, handleLeaseWrite, runLease} from './placement/lease.js';
import {handleOrderAnswered} from './placement/orders.js';
import {handleArrival, handleQueueTimeout} from './request/admission.js';
import {
	handleClaimInsert, handleClaimJoin, handleClaimRead, handleClaimRetry,
} from './request/claims.js';
import {handleProbe, handleReport, handleTargetSilent} from './request/reports.js';
import {
	handleSettleRead, handleSettleRetry, handleSettleWrite, handleWriteHeld, startSettlement,
} from './request/settlements.js';
import {sendIsolated} from './request/crash-suspects.js';
import {handleCallerLeft, handleDeadline} from './request/deadlines.js';
import {handleSilence} from './request/silence.js';
import {handleCompleted, handleFailed, handleProgress} from './request/tries.js';
import {seedRandom, type State} from './state.js';
import {type TableStep, type TableStepOf} from './table-steps.js';
import {type PeriodicTask, type Timer} from './timers.js';

type EventHandlers = {
	readonly [Kind in Event['kind']]: (context: Context, event: EventOf<Kind>) => void;
};

type TimerHandlers = {
	readonly [Kind in Timer['kind']]: (context: Context, timer: Extract<Timer, {kind: Kind}>) => void;
};

type StepHandlers = {
	readonly [Kind in TableStep['kind']]: (context: Context, step: TableStepOf<Kind>, event: EventOf<'table-answered'>) => void;
};

const eventHandlers: EventHandlers = {
	started: handleStarted,
	tick: fireTimers,
	'request-arrived': handleArrival,
	'caller-left'(context, {requestId}) {
		handleCallerLeft(context, requestId);
	},
	'try-progressed': handleProgress,
	'try-completed': handleCompleted,
	'try-failed': handleFailed,
	'probe-answered': handleProbe,
	'target-reported': handleReport,
	'target-silent': handleTargetSilent,
	'table-answered': handleTableAnswer,
	'order-answered': handleOrderAnswered,
	'patch-submitted': handlePatch,
	'configuration-fetched': handleConfigurationFetched,
	'instances-listed': handleInstancesListed,
	'facts-received': handleFacts,
	'peer-answered': handlePeerAnswered,
	'write-held': handleWriteHeld,
	'hold-requested'(context, {settlement}) {
		startSettlement(context, settlement);
	},
	'drain-requested'(context, {reason}) {
		beginDrain(context, reason);
	},
	'platform-state'(context, {reachable}) {
		if (context.state.platformReachable !== reachable) {
			context.state.platformReachable = reachable;
			logEvent(context, reachable ? 'platform-reachable' : 'platform-unreachable', {});
		}
	},
};

const stepHandlers: StepHandlers = {
	'claim-insert': handleClaimInsert,
	'claim-read': handleClaimRead,
	'claim-join': handleClaimJoin,
	'settle-read': handleSettleRead,
	'settle-write': handleSettleWrite,
	'configuration-head': handleHeadRead,
	'configuration-read': handleRowsRead,
	'patch-write': handlePatchWrite,
	'patch-read': handlePatchRead,
	'lease-read': handleLeaseRead,
	'lease-write': handleLeaseWrite,
	'ledger-scan': handleLedgerScan,
	'ledger-write': handleLedgerWrite,
};

const periodicTasks: Readonly<Record<PeriodicTask, (context: Context) => void>> = {
	exchange: runExchange,
	configuration: runConfigurationPoll,
	lease: runLease,
	placement: runPlacement,
	demand: runDemand,
	housekeeping: runHousekeeping,
	drain: runDrain,
};

const timerHandlers: TimerHandlers = {
	request(context, {requestId, sequence}) {
		const request = context.state.requests.open.get(requestId);
		if (request?.timerSequence === sequence) {
			handleQueueTimeout(context, request);
		}
	},
	deadline(context, {requestId}) {
		const request = context.state.requests.open.get(requestId);
		if (request) {
			handleDeadline(context, request);
		}
	},
	silence(context, {requestId, tryNumber}) {
		handleSilence(context, requestId, tryNumber);
	},
	'claim-retry'(context, {requestId, sequence}) {
		const request = context.state.requests.open.get(requestId);
		if (request?.timerSequence === sequence) {
			handleClaimRetry(context, request);
		}
	},
	'settle-retry'(context, {token}) {
		handleSettleRetry(context, token);
	},
	'patch-retry'(context, {operationId}) {
		handlePatchRetry(context, operationId);
	},
	isolation(context, {targetId}) {
		const target = context.state.targets.get(targetId);
		if (target) {
			sendIsolated(context, target);
		}
	},
	periodic(context, {duty}) {
		periodicTasks[duty](context);
	},
};

const initialTasks: readonly PeriodicTask[] = ['configuration', 'exchange', 'lease', 'placement', 'demand', 'housekeeping'];

/** Handles one event and returns the effects to carry out. Fires timers that are due first. */
export function reduce(state: State, event: Event): Effect[] {
	const context: Context = {state, nowMs: event.nowMs, effects: []};
	if (event.kind !== 'tick' && event.kind !== 'started') {
		fireTimers(context);
	}

	const handler = eventHandlers[event.kind] as (context: Context, event: Event) => void;
	handler(context, event);
	return context.effects;
}

function handleStarted(context: Context, event: EventOf<'started'>): void {
	const {state, nowMs} = context;
	state.self = event.self;
	state.wallOffsetMs = event.wallMs - event.nowMs;
	state.lifecycle = 'serving';
	seedRandom(state, event.seed);
	logEvent(context, 'daemon-started', {instanceId: event.self.id, zone: event.self.zone});
	publishSelf(context, 'live');
	for (const duty of initialTasks) {
		state.timers.set(nowMs, {kind: 'periodic', duty});
	}

	context.effects.push({kind: 'set-readiness', ready: true});
}

function fireTimers(context: Context): void {
	for (;;) {
		const timer = context.state.timers.takeDue(context.nowMs);
		if (!timer) {
			return;
		}

		const handler = timerHandlers[timer.kind] as (context: Context, timer: Timer) => void;
		handler(context, timer);
	}
}

function handleTableAnswer(context: Context, event: EventOf<'table-answered'>): void {
	const step = context.state.tableSteps.get(event.operationId);
	context.state.tableSteps.delete(event.operationId);
	if (step) {
		const handler = stepHandlers[step.kind] as (context: Context, step: TableStep, event: EventOf<'table-answered'>) => void;
		handler(context, step, event);
	}
}
