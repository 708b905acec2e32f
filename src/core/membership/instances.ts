/**
Which instances live, leave or are gone. The platform's list lags and may be out
of reach; peers' own words are newer. A process that ended never comes back: a
restarted instance has a new boot.
*/
import {log, type Context} from '../context.js';
import {type EventOf} from '../event.js';
import {publishFact} from '../peer/facts.js';
import {type Instance, type InstanceId, type InstanceState} from '../types.js';

/** Failed exchanges in a row after which an instance that the platform no longer lists counts as gone. */
const FAILURES_TO_DOUBT = 3;

/** Time off the platform's list after which an instance counts as gone without any exchange. */
const UNLISTED_GONE_MS = 60_000;

/** A state may only be followed by one of higher rank while the boot stays the same. */
const stateRank: Readonly<Record<InstanceState, number>> = {live: 0, leaving: 1, gone: 2};

const stateEvents = {
	live: 'instance-joined',
	leaving: 'instance-leaving',
	gone: 'instance-lost',
} as const;

/** Takes in what an instance says of itself, at first hand or passed on. */
export function acceptInstance(context: Context, instance: Instance): void {
	const {state} = context;
	if (instance.id === state.self.id) {
		return;
	}

	const member = state.membership.members.get(instance.id);
	if (!member) {
		state.membership.members.set(instance.id, {
			instance, failures: 0, listed: false, unlistedAtMs: undefined,
		});
		noteChange(context, instance);
		return;
	}

	const isOlder = member.instance.boot === instance.boot && stateRank[instance.state] <= stateRank[member.instance.state];
	if (isOlder) {
		return;
	}

	member.instance = instance;
	member.failures = 0;
	noteChange(context, instance);
}

function noteChange(context: Context, instance: Instance): void {
	context.state.membership.invalidate();
	log(context, stateEvents[instance.state], {instanceId: instance.id, zone: instance.zone});
}

/** Compares the members with the platform's list. */
export function handleInstancesListed(context: Context, event: EventOf<'instances-listed'>): void {
	const {members} = context.state.membership;
	const listed = new Set<InstanceId>();
	for (const instance of event.instances) {
		listed.add(instance.id);
		const known = members.get(instance.id);
		// The list lags: of a process that peers speak of, it only adds that it leaves.
		if (!known || (known.instance.boot === instance.boot && instance.state === 'leaving')) {
			acceptInstance(context, instance);
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
		if (member.failures >= FAILURES_TO_DOUBT || context.nowMs - member.unlistedAtMs >= UNLISTED_GONE_MS) {
			member.instance = {...member.instance, state: 'gone'};
			noteChange(context, member.instance);
		}
	}
}

export function noteReachable(context: Context, id: InstanceId): void {
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
	if (member.failures >= FAILURES_TO_DOUBT && member.instance.state === 'leaving') {
		// It said that it leaves, and now it is no more.
		member.instance = {...member.instance, state: 'gone'};
		noteChange(context, member.instance);
	}
}

/** Tells everybody about a change of this instance. */
export function announceSelf(context: Context, instanceState: InstanceState): void {
	const {state} = context;
	state.self = {...state.self, state: instanceState};
	publishFact(context, `instance/${state.self.id}`, {kind: 'instance', instance: state.self});
}
