/**
Runs the effects that the reducer returns. Their results come back as events.
*/
import {type Effect, type EffectOf} from '../core/effect.js';
import {type Settlement} from '../core/event.js';
import {type RecordedAnswer} from '../core/request/types.js';
import {type Instance} from '../core/types.js';
import {type Daemon} from './daemon.js';
import {readRecordedAnswer} from './recorded-answers.js';
import {runTry} from './try-runner.js';

export type EffectHandlers = {
	readonly [Kind in Effect['kind']]: (effect: EffectOf<Kind>) => void;
};

export function createEffectHandlers(daemon: Daemon): EffectHandlers {
	return {
		'send-try'(effect) {
			void runTry(daemon, effect);
		},
		'cancel-try'({requestId, tryNumber}) {
			daemon.exchanges.get(requestId)?.cancelTry(tryNumber);
		},
		deliver({requestId}) {
			const callerExchange = daemon.exchanges.get(requestId);
			daemon.exchanges.delete(requestId);
			callerExchange?.deliver();
		},
		replay({requestId, answer}) {
			void replay(daemon, requestId, answer);
		},
		refuse({requestId, code, ran, retryAfterMs, detail}) {
			const callerExchange = daemon.exchanges.get(requestId);
			callerExchange?.refuse(code, {ran, retryAfterMs, detail});
			// A detached request, whose response is still to be recorded, keeps its exchange.
			if (!daemon.state.requests.open.has(requestId)) {
				daemon.exchanges.delete(requestId);
			}
		},
		probe({targetId}) {
			void daemon.targets.probe(targetId);
		},
		order({targetId, order, validUntilMs}) {
			void daemon.targets.sendOrder(targetId, order, validUntilMs);
		},
		async table({operationId, operation}) {
			const answer = await daemon.table.run(operation);
			daemon.dispatch({kind: 'table-answered', operationId, answer});
		},
		'hold-write'({settlement, peers}) {
			for (const peer of peers) {
				void replicateSettlement(daemon, settlement, peer);
			}
		},
		exchange({peer, facts}) {
			void exchangeFacts(daemon, peer, facts);
		},
		'fetch-configuration'({peer, afterVersion}) {
			void fetchConfiguration(daemon, peer, afterVersion);
		},
		'adopt-configuration'({numbered}) {
			daemon.targets.configure(numbered.configuration);
		},
		'answer-patch'({operationId, outcome}) {
			daemon.pendingPatches.get(operationId)?.resolve(outcome);
			daemon.pendingPatches.delete(operationId);
		},
		log({event, fields}) {
			daemon.log(event, fields);
		},
		count({metric, tags, value}) {
			daemon.metrics.count(metric, tags, value);
		},
		'set-readiness'({ready}) {
			daemon.isReady = ready;
		},
		stop() {
			void daemon.stop();
		},
	};
}

async function replay(daemon: Daemon, requestId: string, answer: RecordedAnswer): Promise<void> {
	const callerExchange = daemon.exchanges.get(requestId);
	daemon.exchanges.delete(requestId);
	if (!callerExchange) {
		return;
	}

	const body = await readRecordedAnswer(daemon, answer);
	if (body) {
		callerExchange.replay(answer, body);
	} else {
		callerExchange.refuse('outcome-unknown', {ran: 'yes', retryAfterMs: 1000, detail: 'the work ran; its recorded answer cannot be read now'});
	}
}

async function replicateSettlement(daemon: Daemon, settlement: Settlement, peer: Instance): Promise<void> {
	const isStored = await daemon.peers.holdWrite(peer.address, settlement);
	if (isStored) {
		daemon.dispatch({kind: 'write-held', claimKey: settlement.claimKey, instanceId: peer.id});
	}
}

async function exchangeFacts(daemon: Daemon, peer: Instance, facts: EffectOf<'exchange'>['facts']): Promise<void> {
	const response = await daemon.peers.exchange(peer.address, facts);
	daemon.dispatch({kind: 'peer-answered', instanceId: peer.id, reachable: response !== undefined});
	if (response) {
		daemon.dispatch({kind: 'facts-received', from: response.instanceId, facts: response.facts});
	}
}

async function fetchConfiguration(daemon: Daemon, peer: Instance, afterVersion: number): Promise<void> {
	const versioned = await daemon.peers.fetchConfiguration(peer.address, afterVersion);
	if (versioned) {
		daemon.dispatch({kind: 'configuration-fetched', numbered: versioned});
	}
}
