/**
What the gateways to engines and to plain services have in common: sending work
over HTTP, and reports, probes and orders as JSON.
*/
import {type TargetReport} from '../../core/event.js';
import {type Order, type OrderOutcome} from '../../core/placement/types.js';
import {type Failure} from '../../core/request/types.js';
import {readEvents, readWhole} from './answers.js';
import {
	Connection, isUnwritten, probeResult, requestFailure, type Send,
} from './connection.js';
import {
	type Gateway, type GatewayOptions, type Probe, type TryRequest, type TrySink, type WholeAnswer,
} from './types.js';

const REPORT_TIMEOUT_MS = 1000;
const PROBE_TIMEOUT_MS = 1000;
const ORDER_TIMEOUT_MS = 120_000;

/** Where and how a kind of target is asked. */
export type Protocol = {
	readonly reportPath: string;
	readonly orderPath: string | undefined;
	toSend(attempt: TryRequest): Send;
};

export class HttpGateway implements Gateway {
	private readonly _connection: Connection;

	constructor(private readonly _protocol: Protocol, {address}: GatewayOptions) {
		this._connection = new Connection(address);
	}

	async send(attempt: TryRequest, sink: TrySink): Promise<void> {
		const {work, signal} = attempt;
		let hasHead = false;
		try {
			const response = await this._connection.request({...this._protocol.toSend(attempt), signal, fresh: attempt.freshConnection});
			hasHead = true;
			if (work.stream && response.statusCode === 200) {
				const isWhole = await readEvents(response.body, sink);
				finish(sink, isWhole ? undefined : 'truncated', undefined);
				return;
			}

			const answer = await readWhole(response, sink);
			finish(sink, statusFailure(attempt, response.statusCode), answer);
		} catch (error) {
			sink.failed(hasHead && !signal.aborted ? 'truncated' : requestFailure(error, signal), undefined);
		}
	}

	async report(): Promise<TargetReport | undefined> {
		try {
			return await this._readReport(false, REPORT_TIMEOUT_MS);
		} catch {
			// The pooled connection may be the one that went silent.
			return this._readFresh();
		}
	}

	async probe(): Promise<Probe> {
		try {
			const report = await this._readReport(true, PROBE_TIMEOUT_MS);
			return {result: 'answered', boot: report?.boot};
		} catch (error) {
			return {result: probeResult(error)};
		}
	}

	async order(order: Order): Promise<OrderOutcome> {
		const {orderPath} = this._protocol;
		if (!orderPath) {
			return 'refused';
		}

		try {
			const response = await this._connection.request({
				method: 'POST',
				path: orderPath,
				headers: {'content-type': 'application/json'},
				body: JSON.stringify(order),
				signal: AbortSignal.timeout(ORDER_TIMEOUT_MS),
				// A connection of its own: an order must not wait behind one that went silent.
				fresh: true,
			});
			await response.body.dump();
			return orderOutcome(response.statusCode);
		} catch (error) {
			return isUnwritten(error) ? 'not-sent' : 'lost';
		}
	}

	async close(): Promise<void> {
		await this._connection.close();
	}

	private async _readFresh(): Promise<TargetReport | undefined> {
		try {
			return await this._readReport(true, REPORT_TIMEOUT_MS);
		} catch {
			return undefined;
		}
	}

	private async _readReport(fresh: boolean, timeoutMs: number): Promise<TargetReport | undefined> {
		const response = await this._connection.request({
			method: 'GET',
			path: this._protocol.reportPath,
			signal: AbortSignal.timeout(timeoutMs),
			fresh,
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

	// Another status than these two does not say what the engine did.
	return status === 409 ? 'refused' : 'lost';
}

function finish(sink: TrySink, failure: Failure | undefined, answer: WholeAnswer | undefined): void {
	if (failure) {
		sink.failed(failure, answer);
	} else {
		sink.completed(answer);
	}
}

/** Server errors that another target may not give. Others are answers like any. */
const retryableStatuses: ReadonlySet<number> = new Set([500, 502, 503, 504]);

function statusFailure({work}: TryRequest, status: number): Failure | undefined {
	if (work.notRunStatuses.includes(status)) {
		return 'refused';
	}

	return retryableStatuses.has(status) && !work.keepsErrors ? 'target-error' : undefined;
}
