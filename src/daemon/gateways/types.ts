/**
The interface between the daemon and a target. Nothing outside this folder depends on the
wire format of targets.
*/
import {type Buffer} from 'node:buffer';
import {type Continuation} from '../../core/effect.js';
import {type ProbeResult, type TargetReport} from '../../core/event.js';
import {type Order, type OrderOutcome} from '../../core/placement/types.js';
import {type Failure} from '../../core/request/types.js';

/** A caller's request as it is forwarded to a target. */
export type ForwardedRequest = {
	readonly requestId: string;
	readonly method: string;
	/** Path and query string at the target. */
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: Buffer | undefined;
	readonly stream: boolean;
	/** Response statuses that guarantee that the target did not run the request. */
	readonly notRunStatuses: readonly number[];
	/** Whether server errors go to the caller as the final response, because the request must not be sent again. */
	readonly forwardsServerErrors: boolean;
};

export type TryRequest = {
	readonly request: ForwardedRequest;
	readonly continuation: Continuation;
	/** Text of the response that the caller has received, for `continue-text`. */
	readonly deliveredText: () => string;
	readonly signal: AbortSignal;
};

export type BufferedResponse = {
	readonly status: number;
	readonly contentType: string;
	readonly body: Buffer;
};

/** Receives the response of a try. Every try ends with exactly one call of `completed` or `failed`. */
export type TrySink = {
	/** Data of complete stream events, in order. Resolves once the caller can take more. */
	events(data: readonly string[]): Promise<void>;
	/** Bytes of a response that is too large to be buffered, as they arrive. */
	bytes(status: number, contentType: string, chunk: Buffer): Promise<void>;
	/** The response is undefined if it was forwarded through `events` or `bytes`. */
	completed(response: BufferedResponse | undefined): void;
	failed(failure: Failure, response: BufferedResponse | undefined): void;
};

export type ProbeOutcome = {
	readonly result: ProbeResult;
	readonly boot?: string;
};

export type Gateway = {
	send(tryRequest: TryRequest, sink: TrySink): Promise<void>;
	/** The target's report of its state; undefined if none arrived in time. */
	report(): Promise<TargetReport | undefined>;
	/** Tests over a new connection whether the target answers. */
	probe(): Promise<ProbeOutcome>;
	order(order: Order): Promise<OrderOutcome>;
	close(): Promise<void>;
};

export type GatewayOptions = {
	readonly address: string;
};
