/**
Gossip of facts: the periodic exchange with random peers, and the handlers that apply
each kind of fact to the other parts of the state.
*/
import {type Context} from '../context.js';
import {observePeerVersion} from '../configuration/adoption.js';
import {type EventOf} from '../event.js';
import {resetFailures, updateMember} from '../membership/instances.js';
import {recordClosedEpoch, applyPeerLease} from '../placement/lease.js';
import {
	admitCleared, applyPeerIsolation, quarantineContent, recordCrash, recordPrefixCrash, publishIfCleared,
} from '../request/crash-suspects.js';
import {applyPeerCopies} from '../request/reports.js';
import {type InstanceId} from '../types.js';
import {
	mergeFact, publishFact, RELAY_FANOUT, sendUrgent, takeFacts,
} from './facts.js';
import {type Fact, type FactKind, type FactValue} from './types.js';

const EXCHANGE_INTERVAL_MS = 1000;
const EXCHANGE_FANOUT = 2;

/** Above this number of members every exchange is filled up to its size limit, and a second peer would exceed the traffic budget of the node. */
const SINGLE_PEER_MEMBER_THRESHOLD = 60;

type FactHandlers = {
	readonly [Kind in FactKind]: (context: Context, fact: Fact, value: Extract<FactValue, {kind: Kind}>, from: InstanceId) => void;
};

const factHandlers: FactHandlers = {
	instance(context, _fact, {instance}) {
		updateMember(context, instance);
	},
	configuration(context, _fact, {version}, from) {
		observePeerVersion(context, version, from);
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
	crashed(context, _fact, crash) {
		recordPrefixCrash(context, crash);
	},
	cleared(context, _fact, {contentHash}) {
		context.state.requests.crashEvidence.clear(contentHash);
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
	resetFailures(context, event.from);
	for (const fact of event.facts) {
		if (fact.origin !== context.state.self.id) {
			if (mergeFact(context, fact)) {
				applyFact(context, fact, event.from);
				sendUrgent(context, fact, RELAY_FANOUT);
			}

			continue;
		}

		refuteStaleFact(context, fact);
	}
}

function applyFact(context: Context, fact: Fact, from: InstanceId): void {
	const handler = factHandlers[fact.value.kind] as ((context: Context, fact: Fact, value: FactValue, from: InstanceId) => void) | undefined;
	// A kind of fact added by a newer release has no handler: it is relayed but not applied.
	handler?.(context, fact, fact.value, from);
}

/** Overrides a fact about an earlier process with this instance's id, by publishing the current process under a higher version. */
function refuteStaleFact(context: Context, fact: Fact): void {
	const known = context.state.peers.facts.get(fact.key);
	const {self} = context.state;
	if (fact.value.kind === 'instance' && fact.value.instance.boot !== self.boot && (!known || fact.version > known.fact.version)) {
		context.state.peers.version = Math.max(context.state.peers.version, fact.version);
		publishFact(context, `instance/${self.id}`, {kind: 'instance', instance: self});
	}
}

export function runExchange(context: Context): void {
	const {state, nowMs} = context;
	state.timers.set(nowMs + EXCHANGE_INTERVAL_MS, {kind: 'periodic', duty: 'exchange'});
	const peers = state.membership.size > SINGLE_PEER_MEMBER_THRESHOLD ? 1 : EXCHANGE_FANOUT;
	for (const peer of state.membership.pickPeers(context, peers)) {
		context.effects.push({kind: 'exchange', peer, facts: takeFacts(context)});
	}
}
