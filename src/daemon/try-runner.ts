/**
Runs one try: takes what the gateway brings, passes stream events on to the
caller, and tells the core how the try went.
*/
import {type EffectOf} from '../core/effect.js';
import {type RecordedAnswer} from '../core/request/types.js';
import {type CallerExchange} from './caller-exchange.js';
import {type Daemon} from './daemon.js';
import {type TrySink, type WholeAnswer} from './gateways/types.js';
import {recordAnswer} from './recorded-answers.js';

/** Shorter than any limit by which a quiet try is taken for silent. */
const HELD_PROGRESS_MS = 1000;

export async function runTry(daemon: Daemon, effect: EffectOf<'send-try'>): Promise<void> {
	const {requestId, tryNumber, targetId, continuation, freshConnection} = effect;
	const call = daemon.exchanges.get(requestId);
	const gateway = daemon.targets.gateway(targetId);
	if (!call || !gateway) {
		// The failure must come after the effect that asked for the try has been handled.
		queueMicrotask(() => {
			daemon.dispatch({
				kind: 'try-failed',
				requestId,
				tryNumber,
				failure: 'not-written',
				delivered: 0,
			});
		});
		return;
	}

	const signal = call.beginTry(tryNumber);
	await gateway.send({
		work: call.work,
		// The core hears of progress now and then; the call knows what was passed on to the last event.
		continuation: continuation.kind === 'resume' ? {kind: 'resume', from: call.delivered} : continuation,
		deliveredText: () => call.deliveredText(),
		freshConnection,
		signal,
	}, createSink(daemon, call, tryNumber));
}

/** Waits for a caller that reads slowly, and calls back every so often meanwhile. */
export async function whileHeld(held: Promise<void>, onHeld: () => void, intervalMs = HELD_PROGRESS_MS): Promise<void> {
	const timer = setInterval(onHeld, intervalMs);
	try {
		await held;
	} finally {
		clearInterval(timer);
	}
}

function createSink(daemon: Daemon, call: CallerExchange, tryNumber: number): TrySink {
	const requestId = call.id;
	const tellProgress = () => {
		daemon.dispatch({
			kind: 'try-progressed', requestId, tryNumber, delivered: call.delivered,
		});
	};

	/** Tells of progress now and then, and goes on telling while the caller, not the target, is what is slow. */
	const follow = async (held: Promise<void> | undefined) => {
		if (call.isProgressDue(daemon.clock.monotonicMs())) {
			tellProgress();
		}

		if (held) {
			await whileHeld(held, tellProgress);
		}
	};

	return {
		async events(data) {
			if (call.isCurrent(tryNumber)) {
				await follow(call.passEvents(data));
			}
		},
		async bytes(status, contentType, chunk) {
			if (call.isCurrent(tryNumber)) {
				await follow(call.passBytes(status, contentType, chunk));
			}
		},
		completed(answer) {
			if (call.isCurrent(tryNumber)) {
				call.endTry(tryNumber);
				call.hold(answer);
				daemon.dispatch({
					kind: 'try-completed',
					requestId,
					tryNumber,
					status: answer?.status ?? 200,
					answer: toRecord(daemon, call, answer),
				});
			}

			forgetClosed(daemon, requestId);
		},
		failed(failure, answer) {
			if (call.isCurrent(tryNumber)) {
				call.endTry(tryNumber);
				daemon.dispatch({
					kind: 'try-failed',
					requestId,
					tryNumber,
					failure,
					delivered: call.delivered,
					answer: answer && {status: answer.status, contentType: answer.contentType},
				});
			}

			forgetClosed(daemon, requestId);
		},
	};
}

/** Forgets a call whose request closed without a last effect, because its caller had its answer before or left. */
function forgetClosed(daemon: Daemon, requestId: string): void {
	if (!daemon.state.requests.open.has(requestId)) {
		daemon.exchanges.delete(requestId);
	}
}

function toRecord(daemon: Daemon, call: CallerExchange, answer: WholeAnswer | undefined): RecordedAnswer | undefined {
	if (!call.records) {
		return undefined;
	}

	return answer
		? recordAnswer(daemon, call.id, answer)
		: {status: 200, contentType: 'application/octet-stream', objectKey: `answers/${call.id}`};
}
