/**
The narrow interface between the daemon and a target. Nothing outside this folder
knows a target's wire format.
*/
import {type Buffer} from 'node:buffer';
import {type Continuation} from '../../core/effect.js';
import {type ProbeResult, type TargetReport} from '../../core/event.js';
import {type Order, type OrderOutcome} from '../../core/placement/types.js';
import {type Failure} from '../../core/request/types.js';

/** A caller's request as gateways see it. */
export type ForwardedRequest = {
	readonly requestId: string;
	readonly method: string;
	/** Path and query at the target. */
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: Buffer | undefined;
	readonly stream: boolean;
	/** Statuses that say for certain that the work did not run. */
	readonly notRunStatuses: readonly number[];
	/** Whether server errors are final answers because the work may not be sent again. */
	readonly forwardsServerErrors: boolean;
};

export type TryRequest = {
	readonly request: ForwardedRequest;
	readonly continuation: Continuation;
	/** Text of the answer that reached the caller, for `continue-text`. */
	readonly deliveredText: () => string;
	readonly freshConnection: boolean;
	readonly signal: AbortSignal;
};

export type BufferedResponse = {
	readonly status: number;
	readonly contentType: string;
	readonly body: Buffer;
};

/** Takes what a try brings. Every try ends with exactly one of `completed` and `failed`. */
export type TrySink = {
	/** Data of whole stream events, in order. Resolves once the caller took them in. */
	events(data: readonly string[]): Promise<void>;
	/** Bytes of an answer too large to be held; passed on as they come. */
	bytes(status: number, contentType: string, chunk: Buffer): Promise<void>;
	completed(response: BufferedResponse | undefined): void;
	failed(failure: Failure, response: BufferedResponse | undefined): void;
};

export type ProbeOutcome = {
	readonly result: ProbeResult;
	readonly boot?: string;
};

export type Gateway = {
	send(tryRequest: TryRequest, sink: TrySink): Promise<void>;
	/** The target's own report, undefined when none came in time. */
	report(): Promise<TargetReport | undefined>;
	/** Asks on a new connection. */
	probe(): Promise<ProbeOutcome>;
	order(order: Order): Promise<OrderOutcome>;
	close(): Promise<void>;
};

export type GatewayOptions = {
	readonly address: string;
};
