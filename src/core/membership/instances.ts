/**
Tracks which instances are live, leaving or gone. The platform's list lags and may be
unreachable, so what instances announce to their peers takes precedence. A process
that has ended never comes back: a restarted instance has a new boot id.
*/
import {logEvent, type Context} from '../context.js';
import {type EventOf} from '../event.js';
import {publishFact} from '../peer/facts.js';
import {type Instance, type InstanceId, type InstanceState} from '../types.js';

/** Consecutive failed exchanges after which an instance that is leaving, or is no longer on the platform's list, counts as gone. */
const FAILURE_THRESHOLD = 3;

/** Time after which an instance that is missing from the platform's list counts as gone even without failed exchanges. */
const UNLISTED_TIMEOUT_MS = 60_000;

/** Within one boot the state of an instance only moves to a higher rank. */
const stateRank: Readonly<Record<InstanceState, number>> = {live: 0, leaving: 1, gone: 2};

const stateLogEvents = {
	live: 'instance-joined',
	leaving: 'instance-leaving',
	gone: 'instance-lost',
} as const;

/** Updates the member from its own announcement, received directly or relayed, or from the platform's list. */
export function updateMember(context: Context, instance: Instance): void {
	const {state} = context;
	if (instance.id === state.self.id) {
		return;
	}

	const member = state.membership.members.get(instance.id);
	if (!member) {
		state.membership.members.set(instance.id, {
			instance, failures: 0, listed: false, unlistedAtMs: undefined,
		});
		recordMemberChange(context, instance);
		return;
	}

	const isStale = member.instance.boot === instance.boot && stateRank[instance.state] <= stateRank[member.instance.state];
	if (isStale) {
		return;
	}

	member.instance = instance;
	member.failures = 0;
	recordMemberChange(context, instance);
}

function recordMemberChange(context: Context, instance: Instance): void {
	context.state.membership.invalidate();
	logEvent(context, stateLogEvents[instance.state], {instanceId: instance.id, zone: instance.zone});
}

/** Reconciles the members with the platform's list. */
export function handleInstancesListed(context: Context, event: EventOf<'instances-listed'>): void {
	const {members} = context.state.membership;
	const listed = new Set<InstanceId>();
	for (const instance of event.instances) {
		listed.add(instance.id);
		const known = members.get(instance.id);
		// The list lags: for a process already known it can only add that the process is leaving.
		if (!known || (known.instance.boot === instance.boot && instance.state === 'leaving')) {
			updateMember(context, instance);
		}

		const member = members.get(instance.id);
		if (member) {
			member.listed = true;
		}
	}

	for (const [id, member] of members) {
		if (!member.listed || listed.has(id) || member.instance.state === 'gone') {
			member.unlistedAtMs = undefined;
			continue;
		}

		member.unlistedAtMs ??= context.nowMs;
		if (member.failures >= FAILURE_THRESHOLD || context.nowMs - member.unlistedAtMs >= UNLISTED_TIMEOUT_MS) {
			member.instance = {...member.instance, state: 'gone'};
			recordMemberChange(context, member.instance);
		}
	}
}

export function resetFailures(context: Context, id: InstanceId): void {
	const member = context.state.membership.members.get(id);
	if (member) {
		member.failures = 0;
	}
}

export function handlePeerAnswered(context: Context, event: EventOf<'peer-answered'>): void {
	const member = context.state.membership.members.get(event.instanceId);
	if (!member) {
		return;
	}

	member.failures = event.reachable ? 0 : member.failures + 1;
	if (member.failures >= FAILURE_THRESHOLD && member.instance.state === 'leaving') {
		// It announced that it is leaving and no longer answers.
		member.instance = {...member.instance, state: 'gone'};
		recordMemberChange(context, member.instance);
	}
}

/** Sets the state of this instance and publishes it to all peers. */
export function publishSelf(context: Context, instanceState: InstanceState): void {
	const {state} = context;
	state.self = {...state.self, state: instanceState};
	publishFact(context, `instance/${state.self.id}`, {kind: 'instance', instance: state.self});
}
