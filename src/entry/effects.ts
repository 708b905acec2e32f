/**
Carries out the effects of the entry reducer. What comes of them returns as events.
*/
import {type EntryEffect, type EntryEffectOf} from '../core/entry/effect.js';
import {type EntryDaemon} from './entry-daemon.js';

export type EntryEffects = {
	readonly [Kind in EntryEffect['kind']]: (effect: EntryEffectOf<Kind>) => void;
};

export function createEntryEffects(daemon: EntryDaemon): EntryEffects {
	const {deployment, log, exchanges} = daemon;
	return {
		send(effect) {
			const exchange = exchanges.get(effect.requestId);
			if (exchange) {
				void daemon.tries.run(exchange, effect);
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
			exchanges.get(requestId)?.breakOff();
		},
		'read-registry'() {
			void daemon.watcher.readRegistry();
		},
		'read-report'({targetId, address}) {
			void (async () => {
				const report = await deployment.engines.report(address, targetId);
				daemon.dispatch({kind: 'report-read', targetId, report});
			})();
		},
		order({targetId, address, orderNumber, order}) {
			void (async () => {
				const outcome = await deployment.engines.order(address, targetId, order);
				daemon.dispatch({
					kind: 'order-answered', targetId, orderNumber, outcome,
				});
			})();
		},
		'ask-adapter'({holder, targetId, model, adapter}) {
			void (async () => {
				const answer = await daemon.peers.ensureAdapter(holder.address, {targetId, model, adapter});
				daemon.dispatch({
					kind: 'adapter-told', targetId, name: `${model}/${adapter}`, isHeld: answer?.isHeld ?? false, sequence: answer?.sequence ?? 0,
				});
			})();
		},
		'tell-adapter'({callId, targetId, name, isHeld, sequence, delayMs}) {
			setTimeout(() => {
				if (callId === undefined) {
					daemon.dispatch({
						kind: 'adapter-told', targetId, name, isHeld, sequence,
					});
				} else {
					daemon.tickets.get(callId)?.({isHeld, sequence});
					daemon.tickets.delete(callId);
				}
			}, delayMs);
		},
		'read-lease'() {
			void daemon.watcher.readLease();
		},
		'write-lease'({expectedRevision, record}) {
			void daemon.watcher.writeLease(expectedRevision, record);
		},
		beacon({addresses, beacon}) {
			daemon.beacons.send(addresses, beacon);
		},
		pull({address, holdings}) {
			void daemon.pull(address, holdings);
		},
		'adopt-configuration'({configuration}) {
			daemon.limits = configuration.limits;
			daemon.front.applyLimits();
		},
		log({event, fields}) {
			log.write(event, fields);
		},
		'set-readiness'({isReady}) {
			daemon.isReady = isReady;
		},
		'close-front'() {
			daemon.front.closeIdle();
			void daemon.watcher.withdraw(daemon.state.self.id);
		},
		stop() {
			void daemon.finish();
		},
	};
}
