/**
Runs one try: receives the response from the gateway, forwards stream events to the
caller, and reports progress and the outcome to the core.
*/
import {type EffectOf} from '../core/effect.js';
import {type RecordedAnswer} from '../core/request/types.js';
import {type CallerExchange} from './caller-exchange.js';
import {type Daemon} from './daemon.js';
import {type TrySink, type BufferedResponse} from './gateways/types.js';
import {recordAnswer} from './recorded-answers.js';

/** Must be shorter than the core's shortest limit for a silent try, or a slow caller would look like a silent target. */
const BACKPRESSURE_PROGRESS_INTERVAL_MS = 1000;

export async function runTry(daemon: Daemon, effect: EffectOf<'send-try'>): Promise<void> {
	const {requestId, tryNumber, targetId, continuation} = effect;
	const exchange = daemon.exchanges.get(requestId);
	const gateway = daemon.targets.gateway(targetId);
	if (!exchange || !gateway) {
		// Dispatching at once would re-enter the reducer before the remaining effects of this event have run.
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
		// Progress is reported to the core at intervals; the exchange has the exact count.
		continuation: continuation.kind === 'resume' ? {kind: 'resume', from: exchange.delivered} : continuation,
		deliveredText: () => exchange.deliveredText(),
		signal,
	}, createSink(daemon, exchange, tryNumber));
}

/** Waits until a slow caller has drained the write buffer, and calls `onWaiting` at intervals meanwhile. */
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

	/** Reports progress at intervals, also while waiting for the caller to drain: it is not the target that is silent then. */
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

/** Removes the exchange of a request that closed without a final effect, because its caller already had a response or had left. */
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
