/**
Runs one try: takes what the gateway brings, passes stream events on to the
caller, and tells the core how the try went.
*/
import {type EffectOf} from '../core/effect.js';
import {type RecordedAnswer} from '../core/request/types.js';
import {type CallerExchange} from './caller-exchange.js';
import {type Daemon} from './daemon.js';
import {type TrySink, type BufferedResponse} from './gateways/types.js';
import {recordAnswer} from './recorded-answers.js';

/** Shorter than any limit by which a quiet try is taken for silent. */
const BACKPRESSURE_PROGRESS_INTERVAL_MS = 1000;

export async function runTry(daemon: Daemon, effect: EffectOf<'send-try'>): Promise<void> {
	const {requestId, tryNumber, targetId, continuation, freshConnection} = effect;
	const exchange = daemon.exchanges.get(requestId);
	const gateway = daemon.targets.gateway(targetId);
	if (!exchange || !gateway) {
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

	const signal = exchange.beginTry(tryNumber);
	await gateway.send({
		request: exchange.request,
		// The core hears of progress now and then; the exchange knows what was passed on to the last event.
		continuation: continuation.kind === 'resume' ? {kind: 'resume', from: exchange.delivered} : continuation,
		deliveredText: () => exchange.deliveredText(),
		freshConnection,
		signal,
	}, createSink(daemon, exchange, tryNumber));
}

/** Waits for a caller that reads slowly, and calls back every so often meanwhile. */
export async function waitForCaller(drained: Promise<void>, onWaiting: () => void, intervalMs = BACKPRESSURE_PROGRESS_INTERVAL_MS): Promise<void> {
	const timer = setInterval(onWaiting, intervalMs);
	try {
		await drained;
	} finally {
		clearInterval(timer);
	}
}

function createSink(daemon: Daemon, exchange: CallerExchange, tryNumber: number): TrySink {
	const requestId = exchange.id;
	const reportProgress = () => {
		daemon.dispatch({
			kind: 'try-progressed', requestId, tryNumber, delivered: exchange.delivered,
		});
	};

	/** Tells of progress now and then, and goes on telling while the caller, not the target, is what is slow. */
	const applyBackpressure = async (drained: Promise<void> | undefined) => {
		if (exchange.isProgressDue(daemon.clock.monotonicMs())) {
			reportProgress();
		}

		if (drained) {
			await waitForCaller(drained, reportProgress);
		}
	};

	return {
		async events(data) {
			if (exchange.isCurrentTry(tryNumber)) {
				await applyBackpressure(exchange.forwardEvents(data));
			}
		},
		async bytes(status, contentType, chunk) {
			if (exchange.isCurrentTry(tryNumber)) {
				await applyBackpressure(exchange.forwardBytes(status, contentType, chunk));
			}
		},
		completed(response) {
			if (exchange.isCurrentTry(tryNumber)) {
				exchange.endTry(tryNumber);
				exchange.bufferResponse(response);
				daemon.dispatch({
					kind: 'try-completed',
					requestId,
					tryNumber,
					status: response?.status ?? 200,
					answer: createRecordedAnswer(daemon, exchange, response),
				});
			}

			removeIfClosed(daemon, requestId);
		},
		failed(failure, response) {
			if (exchange.isCurrentTry(tryNumber)) {
				exchange.endTry(tryNumber);
				daemon.dispatch({
					kind: 'try-failed',
					requestId,
					tryNumber,
					failure,
					delivered: exchange.delivered,
					answer: response && {status: response.status, contentType: response.contentType},
				});
			}

			removeIfClosed(daemon, requestId);
		},
	};
}

/** Forgets a exchange whose request closed without a last effect, because its caller had its answer before or left. */
function removeIfClosed(daemon: Daemon, requestId: string): void {
	if (!daemon.state.requests.open.has(requestId)) {
		daemon.exchanges.delete(requestId);
	}
}

function createRecordedAnswer(daemon: Daemon, exchange: CallerExchange, response: BufferedResponse | undefined): RecordedAnswer | undefined {
	if (!exchange.recordsResponse) {
		return undefined;
	}

	return response
		? recordAnswer(daemon, exchange.id, response)
		: {status: 200, contentType: 'application/octet-stream', objectKey: `answers/${exchange.id}`};
}
