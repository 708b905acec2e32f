/**
Applies target reports and probe results to the state: load, resident copies, restarts
and health.
*/
import {logEvent, type Context} from '../context.js';
import {type EventOf} from '../event.js';
import {publishFact} from '../peer/facts.js';
import {holdsLease} from '../placement/lease.js';
import {type ModelName, type TargetId} from '../types.js';
import {dispatchTarget} from './dispatch.js';
import {sendIsolated} from './crash-suspects.js';
import {createTarget, estimatedLoad, type Target} from './target.js';
import {resolveSilentTries} from './silence.js';
import {resolveBrokenTries} from './tries.js';

const UTILISATION_SMOOTHING = 0.2;

/** Creates, updates and removes targets to match the current configuration. A removed target stays until its requests end. */
export function reconcileTargets(context: Context): void {
	const {state} = context;
	const configuredTargets = state.configuration.configuration.targets;
	for (const [id, configured] of Object.entries(configuredTargets)) {
		const target = state.targets.get(id);
		if (target) {
			const {zone, service, gateway, memoryMb, accelerators, slots} = configured;
			Object.assign(target, {
				zone, service, gateway, memoryMb, accelerators, slots,
			});
		} else {
			state.targets.set(id, createTarget(id, configured));
		}
	}

	for (const [id, target] of state.targets) {
		if (!configuredTargets[id]) {
			target.leaving = true;
			if (target.inFlight.size === 0) {
				setResident(context, target, new Set());
				state.targets.delete(id);
			}
		}
	}

	for (const target of state.targets.values()) {
		refreshResidentModels(context, target);
	}
}

export function handleReport(context: Context, event: EventOf<'target-reported'>): void {
	const target = context.state.targets.get(event.targetId);
	if (!target) {
		return;
	}

	const {report} = event;
	const hasRestarted = target.boot !== '' && report.boot !== '' && report.boot !== target.boot;
	if (hasRestarted) {
		logEvent(context, 'target-restarted', {targetId: target.id});
		target.earlierBootSeenMs = target.reportedAtMs;
		resolveBrokenTries(context, target, true);
	}

	target.boot = report.boot;
	target.reportedAtMs = context.nowMs;
	target.reportedTotal = report.running + report.waiting;
	target.ownAtReport = target.inFlight.size;
	target.adapters = new Set(report.adapters);
	target.leaving = report.leaving ?? false;
	target.utilisation += UTILISATION_SMOOTHING * ((estimatedLoad(target) / target.slots) - target.utilisation);
	setHealth(context, target, 'up');
	setResident(context, target, new Set(report.models));
	sendIsolated(context, target);
	dispatchTarget(context, target);
}

/** Demotes a target from which no report came, not even on new connections: first to `suspect`, then to `down`. */
export function handleTargetSilent(context: Context, event: EventOf<'target-silent'>): void {
	const target = context.state.targets.get(event.targetId);
	if (target) {
		setHealth(context, target, target.health === 'up' ? 'suspect' : 'down');
	}
}

/**
A probe on a new connection distinguishes a connection failure from a target failure: a
target that answers is not demoted, one that refuses connections is taken for crashed.
*/
export function handleProbe(context: Context, event: EventOf<'probe-answered'>): void {
	const target = context.state.targets.get(event.targetId);
	if (!target) {
		return;
	}

	target.probing = false;
	const hasRestarted = event.boot !== undefined && target.boot !== '' && event.boot !== target.boot;
	const hasCrashed = event.result === 'refused' || hasRestarted;
	if (event.result !== 'answered') {
		setHealth(context, target, event.result === 'refused' ? 'down' : 'suspect');
	}

	resolveBrokenTries(context, target, hasCrashed);
	resolveSilentTries(context, target, event.result === 'answered');
	dispatchTarget(context, target);
}

function setHealth(context: Context, target: Target, health: Target['health']): void {
	if (target.health === health) {
		return;
	}

	logEvent(context, health === 'up' ? 'target-recovered' : 'target-suspected', {targetId: target.id, health});
	target.health = health;
}

/** Adds the copy of a confirmed order, which can serve requests before the next report lists it. */
export function addResidentCopy(context: Context, targetId: TargetId, name: string): void {
	const target = context.state.targets.get(targetId);
	if (target && !target.resident.has(name)) {
		setResident(context, target, new Set([...target.resident, name]));
		dispatchTarget(context, target);
	}
}

function setResident(context: Context, target: Target, resident: ReadonlySet<string>): void {
	const previous = target.resident;
	if (previous.size === resident.size && [...resident].every(name => previous.has(name))) {
		return;
	}

	target.resident = resident;
	refreshResidentModels(context, target, previous);
	if (target.zone === context.state.self.zone && holdsLease(context)) {
		publishFact(context, `copies/${target.id}`, {kind: 'copies', targetId: target.id, models: [...resident]});
	}
}

/** Recomputes the targets of every model that is or was resident on a target. */
function refreshResidentModels(context: Context, target: Target, previous: ReadonlySet<string> = new Set()): void {
	for (const name of new Set([...previous, ...target.resident])) {
		refreshModelTargets(context, name.slice(0, name.lastIndexOf('@')), target.id);
	}
}

/**
Recomputes the targets that serve a model: those with the configured version or, if there
is none, those with any version. Only known holders and the changed target are checked.
*/
function refreshModelTargets({state}: Context, model: ModelName, changed: TargetId): void {
	const version = state.configuration.configuration.models[model]?.version;
	const holders = state.holders.get(model) ?? new Set();
	state.holders.set(model, holders);
	const current: TargetId[] = [];
	const other: TargetId[] = [];
	for (const id of holders.add(changed)) {
		const resident = state.targets.get(id)?.resident;
		if (resident?.has(`${model}@${version}`)) {
			current.push(id);
		} else if (resident && [...resident].some(name => name.startsWith(`${model}@`))) {
			other.push(id);
		} else {
			holders.delete(id);
		}
	}

	state.residentTargets.set(model, (current.length > 0 ? current : other).toSorted((a, b) => a.localeCompare(b)));
}

/**
Applies the resident copies of a target in another zone, as that zone's lease holder
publishes them; reports from there arrive too rarely to route by.
*/
export function applyPeerCopies(context: Context, targetId: TargetId, models: readonly string[]): void {
	const target = context.state.targets.get(targetId);
	if (target && target.zone !== context.state.self.zone) {
		setResident(context, target, new Set(models));
		dispatchTarget(context, target);
	}
}
