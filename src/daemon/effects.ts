/**
Carries out the reducer's effects. What comes of them returns as events.
*/
import {type Effect, type EffectOf} from '../core/effect.js';
import {type Settlement} from '../core/event.js';
import {type RecordedAnswer} from '../core/request/types.js';
import {type Instance} from '../core/types.js';
import {type Daemon} from './daemon.js';
import {readRecorded} from './recorded-answers.js';
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
			const call = daemon.exchanges.get(requestId);
			daemon.exchanges.delete(requestId);
			call?.deliver();
		},
		replay({requestId, answer}) {
			void replay(daemon, requestId, answer);
		},
		refuse({requestId, code, ran, retryAfterMs, detail}) {
			const call = daemon.exchanges.get(requestId);
			call?.refuse(code, {ran, retryAfterMs, detail});
			// A run whose answer is still to be recorded keeps its call.
			if (!daemon.state.requests.open.has(requestId)) {
				daemon.exchanges.delete(requestId);
			}
		},
		probe({targetId}) {
			void daemon.targets.probe(targetId);
		},
		order({targetId, order, validUntilMs}) {
			void daemon.targets.order(targetId, order, validUntilMs);
		},
		async table({operationId, operation}) {
			const answer = await daemon.table.run(operation);
			daemon.dispatch({kind: 'table-answered', operationId, answer});
		},
		'hold-write'({settlement, peers}) {
			for (const peer of peers) {
				void holdWrite(daemon, settlement, peer);
			}
		},
		exchange({peer, facts}) {
			void exchange(daemon, peer, facts);
		},
		'fetch-configuration'({peer, afterVersion}) {
			void fetchConfiguration(daemon, peer, afterVersion);
		},
		'adopt-configuration'({numbered}) {
			daemon.targets.configure(numbered.configuration);
		},
		'answer-patch'({operationId, outcome}) {
			daemon.patches.get(operationId)?.(outcome);
			daemon.patches.delete(operationId);
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
	const call = daemon.exchanges.get(requestId);
	daemon.exchanges.delete(requestId);
	if (!call) {
		return;
	}

	const body = await readRecorded(daemon, answer);
	if (body) {
		call.replay(answer, body);
	} else {
		call.refuse('outcome-unknown', {ran: 'yes', retryAfterMs: 1000, detail: 'the work ran; its recorded answer cannot be read now'});
	}
}

async function holdWrite(daemon: Daemon, settlement: Settlement, peer: Instance): Promise<void> {
	const isHeld = await daemon.peers.holdWrite(peer.address, settlement);
	if (isHeld) {
		daemon.dispatch({kind: 'write-held', claimKey: settlement.claimKey, instanceId: peer.id});
	}
}

async function exchange(daemon: Daemon, peer: Instance, facts: EffectOf<'exchange'>['facts']): Promise<void> {
	const answer = await daemon.peers.exchange(peer.address, facts);
	daemon.dispatch({kind: 'peer-answered', instanceId: peer.id, reachable: answer !== undefined});
	if (answer) {
		daemon.dispatch({kind: 'facts-received', from: answer.instanceId, facts: answer.facts});
	}
}

async function fetchConfiguration(daemon: Daemon, peer: Instance, afterVersion: number): Promise<void> {
	const numbered = await daemon.peers.fetchConfiguration(peer.address, afterVersion);
	if (numbered) {
		daemon.dispatch({kind: 'configuration-fetched', numbered});
	}
}
