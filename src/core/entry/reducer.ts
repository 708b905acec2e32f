/**
The reducer of an entry instance whose configuration and targets are managed by the
platform: a table of handlers, one for each kind of event. It updates the state in
place and returns effects; it does no I/O and reads no clock.
*/
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {expireFetches, handleAdapterRequested, handleAdapterResolved} from './adapters.js';
import {handleArrival, handleCallerLeft} from './admission.js';
import {adoptConfiguration} from './configuration-adoption.js';
import {watchClocks} from './configuration-age.js';
import {handleConfigurationChecked, watchConfiguration} from './configuration-watch.js';
import {expireSuspects, handleTargetProbed} from './crash-suspects.js';
import {watchDarkTargets} from './dark-targets.js';
import {updateDemandRates} from './demand.js';
import {dispatchAll} from './dispatch.js';
import {beginDrain, runDrain} from './drain.js';
import {type EntryEffect} from './effect.js';
import {type EntryEvent, type EntryEventOf} from './event.js';
import {endHeldUpTries} from './held-up-tries.js';
import {handleLeaseResult, runLease} from './lease.js';
import {handleOrderAnswer, handleReport} from './order-answers.js';
import {allMechanisms} from './mechanisms.js';
import {runOrders} from './orders.js';
import {handlePatience} from './patience.js';
import {runPlacement} from './placement.js';
import {probeTargets} from './reachability.js';
import {handleReleasesRead, handleReleasesWritten, updateReleaseRecord} from './release-record.js';
import {watchRegistryAge} from './registry-age.js';
import {handleRegistryRead, handleRegistryReadFailure, refreshRegistry} from './registry.js';
import {announceLoads, handleLoadAnnouncement} from './load-announcements.js';
import {handlePermitGrant, handlePermitRequest} from './rate-permits.js';
import {
	handleQuotaAsk, handleQuotaGrant, handleQuotaTimeout, runQuotas,
} from './quotas.js';
import {handleBeacon, handlePullCompleted, addPeers} from './peer-sync.js';
import {sendBeacons} from './beacon-sender.js';
import {
	logEvent, type Timer, type EntryContext, type EntryState,
} from './state.js';
import {handleSilence} from './silence.js';
import {
	announceCuts, handleClosing, handleRequestCut, handleRequestsOpen, handleStopAnnouncement, watchPeerStops,
} from './stop-announcements.js';
import {checkSpeeds} from './target-speeds.js';
import {
	continueProven, continueResolved, handleOriginAsked, handleOriginsAnnounced, handleOriginTimeout,
} from './stream-origins.js';
import {
	handleDeadline, handleTryEnded, handleProgress, handleHeld, handleWritten,
} from './tries.js';

type Handlers = {
	readonly [Kind in EntryEvent['kind']]: (context: EntryContext, event: EntryEventOf<Kind>) => void;
};

const handlers: Handlers = {
	started(context, {self, bounds, seed, mechanisms = allMechanisms, paceMode = 'off'}) {
		const {state} = context;
		state.self = self;
		state.bounds = bounds;
		state.mechanisms = mechanisms;
		state.paceMode = paceMode;
		state.random = xoroshiro128plus(seed);
		state.lifecycle = 'serving';
		state.startedAtMs = context.nowMs;
		logEvent(context, 'daemon-started', {instanceId: self.id, zone: self.zone, boot: self.boot});
	},
	tick(context, {lateMs = 0, readUntilMs = context.nowMs}) {
		context.state.tickLateMs = lateMs;
		context.state.readUntilMs = readUntilMs;
		runPeriodicTasks(context);
	},
	'configuration-read'(context, {configuration}) {
		adoptConfiguration(context, configuration, 'store');
	},
	'configuration-checked': handleConfigurationChecked,
	'registry-read'(context, event) {
		handleRegistryRead(context, event);
		continueProven(context);
	},
	'registry-read-failed': handleRegistryReadFailure,
	'instances-read'(context, {instances}) {
		addPeers(context, instances);
	},
	'request-arrived': handleArrival,
	'caller-left': handleCallerLeft,
	'try-written': handleWritten,
	'try-held': handleHeld,
	'try-progressed': handleProgress,
	'try-ended': handleTryEnded,
	'target-probed': handleTargetProbed,
	'report-read': handleReport,
	'order-answered': handleOrderAnswer,
	'adapter-requested': handleAdapterRequested,
	'adapter-resolved': handleAdapterResolved,
	'lease-request-completed': handleLeaseResult,
	'releases-read'(context, event) {
		handleReleasesRead(context, event);
		continueProven(context);
	},
	'releases-written': handleReleasesWritten,
	'beacon-received': handleBeacon,
	'load-announced': handleLoadAnnouncement,
	'permits-requested': handlePermitRequest,
	'permits-granted': handlePermitGrant,
	'quota-asked': handleQuotaAsk,
	'quota-granted': handleQuotaGrant,
	'origins-announced'(context, event) {
		handleOriginsAnnounced(context, event);
		continueResolved(context);
	},
	'origin-asked': handleOriginAsked,
	'stop-announced': handleStopAnnouncement,
	'request-cut': handleRequestCut,
	'requests-open': handleRequestsOpen,
	closing: handleClosing,
	'pull-completed': handlePullCompleted,
	'drain-requested': beginDrain,
};

export function reduceEntry(state: EntryState, event: EntryEvent): EntryEffect[] {
	const context: EntryContext = {
		state, nowMs: event.nowMs, wallMs: event.wallMs, effects: [],
	};
	const handler = handlers[event.kind] as (context: EntryContext, event: EntryEvent) => void;
	watchClocks(context);
	handler(context, event);
	announceLoads(context);
	return context.effects;
}

/** Done every tick, in this order. */
const periodicTasks: ReadonlyArray<(context: EntryContext) => void> = [
	watchRegistryAge,
	fireTimers,
	expireFetches,
	expireSuspects,
	endHeldUpTries,
	watchDarkTargets,
	probeTargets,
	continueProven,
	dispatchAll,
	updateDemandRates,
	checkSpeeds,
	refreshRegistry,
	watchConfiguration,
	updateReleaseRecord,
	runLease,
	runOrders,
	runPlacement,
	sendBeacons,
	announceCuts,
	watchPeerStops,
	runQuotas,
	runDrain,
];

/** A task that throws is logged and does not keep the others from being done. */
function runPeriodicTasks(context: EntryContext): void {
	let hasFailed = false;
	for (const task of periodicTasks) {
		try {
			task(context);
		} catch (error) {
			hasFailed = true;
			logEvent(context, 'task-failed', {task: task.name, error: error instanceof Error ? error.message : String(error)});
		}
	}

	if (hasFailed) {
		context.effects.push({kind: 'fail-lost-requests'});
	}
}

const timerHandlers: Readonly<Record<Timer['kind'], (context: EntryContext, timer: Timer) => void>> = {
	deadline: handleDeadline,
	patience: handlePatience,
	silence: handleSilence,
	origin: handleOriginTimeout,
	quota: handleQuotaTimeout,
};

function fireTimers(context: EntryContext): void {
	const {timers} = context.state;
	for (let first = timers.peek(); first && first.atMs <= context.nowMs; first = timers.peek()) {
		timers.pop();
		timerHandlers[first.kind](context, first);
	}
}
