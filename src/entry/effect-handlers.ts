/**
Executes the effects of the entry reducer. Their results are dispatched as events.
*/
import {type EntryEffect, type EntryEffectOf} from '../core/entry/effect.js';
import {type EntryDaemon} from './entry-daemon.js';

export type EntryEffectHandlers = {
	readonly [Kind in EntryEffect['kind']]: (effect: EntryEffectOf<Kind>) => void;
};

export function createEffectHandlers(daemon: EntryDaemon): EntryEffectHandlers {
	const {deployment, exchanges} = daemon;
	return {
		send(effect) {
			const exchange = exchanges.get(effect.requestId);
			if (exchange) {
				void daemon.tryRunner.run(exchange, effect);
			}
		},
		cancel({requestId, tryNumber}) {
			exchanges.get(requestId)?.cancelTry(tryNumber);
		},
		deliver({requestId}) {
			exchanges.get(requestId)?.deliver();
		},
		refuse({requestId, code, retryAfterMs, detail}) {
			exchanges.get(requestId)?.refuse(code, {retryAfterMs, detail});
		},
		'break-off'({requestId}) {
			exchanges.get(requestId)?.abortResponse();
		},
		'fail-lost-requests'() {
			daemon.failLostRequests();
		},
		'read-registry'({isWhole}) {
			void daemon.storeWatcher.readRegistry({isWhole});
		},
		'check-configuration'() {
			void daemon.storeWatcher.checkConfiguration();
		},
		'probe-target'({targetId, address, incarnation}) {
			void (async () => {
				const outcome = await daemon.connections.probe(address);
				daemon.dispatch({
					kind: 'target-probed', targetId, incarnation, outcome,
				});
			})();
		},
		'read-report'({targetId, address}) {
			void (async () => {
				const report = await deployment.engines.fetchReport(address, targetId);
				daemon.dispatch({kind: 'report-read', targetId, report});
			})();
		},
		order({targetId, address, orderNumber, order}) {
			void (async () => {
				const outcome = await deployment.engines.sendOrder(address, targetId, order);
				daemon.dispatch({
					kind: 'order-answered', targetId, orderNumber, outcome,
				});
			})();
		},
		'ask-adapter'({holder, targetId, model, adapter}) {
			void (async () => {
				const result = await daemon.peerClient.ensureAdapter(holder.address, {targetId, model, adapter});
				daemon.dispatch({
					kind: 'adapter-resolved', targetId, name: `${model}/${adapter}`, isHeld: result?.isHeld ?? false, sequence: result?.sequence ?? 0,
				});
			})();
		},
		'tell-adapter'({callId, targetId, name, isHeld, sequence, delayMs}) {
			setTimeout(() => {
				if (callId === undefined) {
					daemon.dispatch({
						kind: 'adapter-resolved', targetId, name, isHeld, sequence,
					});
				} else {
					daemon.pendingAdapterCalls.get(callId)?.({isHeld, sequence});
					daemon.pendingAdapterCalls.delete(callId);
				}
			}, delayMs);
		},
		'read-lease'() {
			void daemon.storeWatcher.readLease();
		},
		'write-lease'({expectedRevision, record}) {
			void daemon.storeWatcher.writeLease(expectedRevision, record);
		},
		'read-releases'() {
			void daemon.storeWatcher.readReleases();
		},
		'write-releases'({expectedRevision, record}) {
			void daemon.storeWatcher.writeReleases(expectedRevision, record);
		},
		beacon({addresses, beacon}) {
			daemon.datagramSocket.send(addresses, beacon);
		},
		'announce-load'({addresses, announcement}) {
			daemon.datagramSocket.send(addresses, announcement);
		},
		'ask-permits'({address, request}) {
			daemon.datagramSocket.send([address], request);
		},
		'grant-permits'({address, grant}) {
			daemon.datagramSocket.send([address], grant);
		},
		'ask-quota'({address, ask}) {
			daemon.datagramSocket.send([address], ask);
		},
		'grant-quota'({address, grant}) {
			daemon.datagramSocket.send([address], grant);
		},
		'announce-origins'({addresses, announcement}) {
			daemon.datagramSocket.send(addresses, announcement);
		},
		'ask-origin'({addresses, query}) {
			daemon.datagramSocket.send(addresses, query);
		},
		'announce-stop'({addresses, announcement}) {
			daemon.datagramSocket.send(addresses, announcement);
		},
		pull({address, known}) {
			void daemon.pull(address, known);
		},
		'adopt-configuration'({configuration}) {
			daemon.limits = configuration.limits;
			daemon.callerListener.applyLimits();
		},
		log({event, fields}) {
			daemon.writeDecision(event, fields);
		},
		'set-readiness'({isReady}) {
			daemon.isReady = isReady;
		},
		'close-front'() {
			daemon.callerListener.stopAccepting();
			void daemon.storeWatcher.deregisterInstance(daemon.state.self.id);
		},
		stop() {
			void daemon.stopAfterFlush();
		},
	};
}
