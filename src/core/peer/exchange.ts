/**
Periodic exchange of facts with random peers, and what each kind of fact changes
in the other slices.
*/
import {type Context} from '../context.js';
import {noteNewestVersion} from '../configuration/adoption.js';
import {type EventOf} from '../event.js';
import {acceptInstance, noteReachable} from '../membership/instances.js';
import {recordClosedEpoch, applyPeerLease} from '../placement/lease.js';
import {
	admitCleared, applyPeerIsolation, quarantineContent, recordCrash, publishIfCleared,
} from '../request/crash-suspects.js';
import {applyPeerCopies} from '../request/reports.js';
import {type InstanceId} from '../types.js';
import {
	publishFact, RELAY_PEERS, sendUrgent, store, takeFacts,
} from './facts.js';
import {type Fact, type FactKind, type FactValue} from './types.js';

const EXCHANGE_INTERVAL_MS = 1000;
const EXCHANGE_PEERS = 2;

/** Above this number of members one exchange fills its bound, and a second one would not fit the node's budget. */
const MANY_MEMBERS = 60;

type FactHandlers = {
	readonly [Kind in FactKind]: (context: Context, fact: Fact, value: Extract<FactValue, {kind: Kind}>, from: InstanceId) => void;
};

const factHandlers: FactHandlers = {
	instance(context, _fact, {instance}) {
		acceptInstance(context, instance);
	},
	configuration(context, _fact, {version}, from) {
		noteNewestVersion(context, version, from);
	},
	condemned(context, _fact, {contentHash}) {
		quarantineContent(context, contentHash);
	},
	suspected(context, fact, {contentHash, targetId, boot}) {
		if (!publishIfCleared(context, contentHash)) {
			recordCrash(context, {
				contentHash, targetId, boot, tester: fact.origin,
			});
		}
	},
	cleared(context, _fact, {contentHash}) {
		admitCleared(context, contentHash);
	},
	isolated(context, fact, {targetId, contentHash, isExclusive}) {
		const target = context.state.targets.get(targetId);
		if (target) {
			applyPeerIsolation(context, target, {by: fact.origin, contentHash, isExclusive});
		}
	},
	copies(context, _fact, {targetId, models}) {
		applyPeerCopies(context, targetId, models);
	},
	'idle-zone'(context, _fact, {group, isIdle}) {
		context.state.placement.idleZones.set(group, {isIdle, atMs: context.nowMs});
	},
	'leaving-copy'(context, _fact, {targetId, model, leaving}) {
		const copies = context.state.targets.get(targetId)?.leavingCopies;
		if (leaving) {
			copies?.add(model);
		} else {
			copies?.delete(model);
		}
	},
	lease(context, _fact, {group, holder, epoch}) {
		applyPeerLease(context, group, holder, epoch);
	},
	'closed-epoch'(context, _fact, {group, epoch}) {
		recordClosedEpoch(context, group, epoch);
	},
	demand(context, fact, {demand}) {
		context.state.placement.peerDemand.set(fact.origin, {demand, receivedAtMs: context.nowMs});
	},
};

export function handleFacts(context: Context, event: EventOf<'facts-received'>): void {
	noteReachable(context, event.from);
	for (const fact of event.facts) {
		if (fact.origin !== context.state.self.id) {
			if (store(context, fact)) {
				acceptFact(context, fact, event.from);
				sendUrgent(context, fact, RELAY_PEERS);
			}

			continue;
		}

		answerEcho(context, fact);
	}
}

function acceptFact(context: Context, fact: Fact, from: InstanceId): void {
	const handler = factHandlers[fact.value.kind] as ((context: Context, fact: Fact, value: FactValue, from: InstanceId) => void) | undefined;
	// A fact of a kind that a newer release added is passed on but not understood.
	handler?.(context, fact, fact.value, from);
}

/** A fact of an earlier process with this instance's name: the present one says what is so now. */
function answerEcho(context: Context, fact: Fact): void {
	const held = context.state.peers.facts.get(fact.key);
	const {self} = context.state;
	if (fact.value.kind === 'instance' && fact.value.instance.boot !== self.boot && (!held || fact.version > held.fact.version)) {
		context.state.peers.version = Math.max(context.state.peers.version, fact.version);
		publishFact(context, `instance/${self.id}`, {kind: 'instance', instance: self});
	}
}

export function runExchange(context: Context): void {
	const {state, nowMs} = context;
	state.timers.set(nowMs + EXCHANGE_INTERVAL_MS, {kind: 'periodic', duty: 'exchange'});
	const peers = state.membership.size > MANY_MEMBERS ? 1 : EXCHANGE_PEERS;
	for (const peer of state.membership.pickPeers(context, peers)) {
		context.effects.push({kind: 'exchange', peer, facts: takeFacts(context)});
	}
}
