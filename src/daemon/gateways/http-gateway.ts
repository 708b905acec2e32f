/**
Common part of the gateways to engines and to plain services: forwarding requests over
HTTP, and reports, probes and orders as JSON.
*/
import {type TargetReport} from '../../core/event.js';
import {type Order, type OrderOutcome} from '../../core/placement/types.js';
import {type Failure} from '../../core/request/types.js';
import {isFinalStatus} from './final-status.js';
import {endsWithConnection, forwardEvents, readResponse} from './responses.js';
import {
	ConnectionPool, isUnwritten, classifyProbeError, classifyFailure, type HttpRequest,
} from './connection-pool.js';
import {
	type Gateway, type GatewayOptions, type ProbeOutcome, type TryRequest, type TrySink, type BufferedResponse,
} from './types.js';

const REPORT_TIMEOUT_MS = 1000;
const PROBE_TIMEOUT_MS = 1000;
const ORDER_TIMEOUT_MS = 120_000;

/** Paths and request format of a kind of target. */
export type TargetProtocol = {
	readonly reportPath: string;
	/** Undefined if the target takes no orders. */
	readonly orderPath: string | undefined;
	buildRequest(tryRequest: TryRequest): HttpRequest;
};

export class HttpGateway implements Gateway {
	private readonly _connectionPool: ConnectionPool;

	constructor(private readonly _protocol: TargetProtocol, {address}: GatewayOptions) {
		this._connectionPool = new ConnectionPool(address);
	}

	async send(tryRequest: TryRequest, sink: TrySink): Promise<void> {
		const {request, signal} = tryRequest;
		let hasResponseHeaders = false;
		try {
			const response = await this._connectionPool.request({...this._protocol.buildRequest(tryRequest), signal});
			hasResponseHeaders = true;
			if (!isFinalStatus(response.statusCode)) {
				response.body.on('error', () => undefined);
				response.body.destroy();
				sink.failed('target-error', undefined);
				return;
			}

			if (request.stream && response.statusCode === 200) {
				const isComplete = await forwardEvents(response.body, sink);
				endTry(sink, isComplete ? undefined : 'truncated', undefined);
				return;
			}

			const bufferedResponse = await readResponse(response, sink);
			if (endsWithConnection(request.method, response) && await this._hasGone()) {
				// The end of its process may have cut the response off.
				sink.failed('truncated', undefined);
				return;
			}

			endTry(sink, failureOfStatus(tryRequest, response.statusCode), bufferedResponse);
		} catch (error) {
			sink.failed(hasResponseHeaders && !signal.aborted ? 'truncated' : classifyFailure(error, signal), undefined);
		}
	}

	async report(): Promise<TargetReport | undefined> {
		try {
			const report = await this._readReport({mayReuse: true, timeoutMs: REPORT_TIMEOUT_MS});
			if (report) {
				return report;
			}
		} catch {
			// Asked again below.
		}

		// The failure may come from a stale connection, or a refusal of an earlier request may have come once more.
		return this._readReportOnFreshConnection();
	}

	async probe(): Promise<ProbeOutcome> {
		try {
			const report = await this._readReport({mayReuse: false, timeoutMs: PROBE_TIMEOUT_MS});
			return {result: 'answered', boot: report?.boot};
		} catch (error) {
			return {result: classifyProbeError(error)};
		}
	}

	async order(order: Order): Promise<OrderOutcome> {
		const {orderPath} = this._protocol;
		if (!orderPath) {
			return 'refused';
		}

		try {
			const response = await this._connectionPool.request({
				method: 'POST',
				path: orderPath,
				headers: {'content-type': 'application/json'},
				body: JSON.stringify(order),
				signal: AbortSignal.timeout(ORDER_TIMEOUT_MS),
			});
			await response.body.dump();
			return orderOutcome(response.statusCode);
		} catch (error) {
			return isUnwritten(error) ? 'not-sent' : 'lost';
		}
	}

	async close(): Promise<void> {
		await this._connectionPool.close();
	}

	/** Whether the target refuses connections. */
	private async _hasGone(): Promise<boolean> {
		const {result} = await this.probe();
		return result === 'refused';
	}

	private async _readReportOnFreshConnection(): Promise<TargetReport | undefined> {
		try {
			return await this._readReport({mayReuse: false, timeoutMs: REPORT_TIMEOUT_MS});
		} catch {
			return undefined;
		}
	}

	private async _readReport({mayReuse, timeoutMs}: {mayReuse: boolean; timeoutMs: number}): Promise<TargetReport | undefined> {
		const response = await this._connectionPool.request({
			method: 'GET',
			path: this._protocol.reportPath,
			signal: AbortSignal.timeout(timeoutMs),
			mayReuse,
		});
		const report = await response.body.json() as Partial<TargetReport>;
		return response.statusCode === 200
			? {
				boot: report.boot ?? '',
				running: report.running ?? 0,
				waiting: report.waiting ?? 0,
				models: report.models ?? [],
				adapters: report.adapters ?? [],
				leaving: report.leaving ?? false,
			}
			: undefined;
	}
}

function orderOutcome(status: number): OrderOutcome {
	if (status === 200) {
		return 'done';
	}

	// Any other status leaves open whether the engine carried out the order.
	return status === 409 ? 'refused' : 'lost';
}

function endTry(sink: TrySink, failure: Failure | undefined, response: BufferedResponse | undefined): void {
	if (failure) {
		sink.failed(failure, response);
	} else {
		sink.completed(response);
	}
}

/** Server errors that another target may not return. Other statuses are forwarded like any response. */
const retryableStatuses: ReadonlySet<number> = new Set([500, 502, 503, 504]);

function failureOfStatus({request}: TryRequest, status: number): Failure | undefined {
	if (request.notRunStatuses.includes(status)) {
		return 'refused';
	}

	return retryableStatuses.has(status) && !request.forwardsServerErrors ? 'target-error' : undefined;
}
