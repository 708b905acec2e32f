/**
Runs one try: sends the request, validates the response headers, and buffers the complete
response or forwards the events of a stream as they arrive. Only complete responses and
complete events that belong to this request are passed on.
*/
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {setTimeout as delay} from 'node:timers/promises';
import {type EntryEffectOf} from '../core/entry/effect.js';
import {type EntryEventOf, type Untimed} from '../core/entry/event.js';
import {type StatedRateLimit} from '../core/entry/target.js';
import {type TryOutcome} from '../core/entry/types.js';
import {bodilessStatuses, isFinalStatus} from '../daemon/gateways/final-status.js';
import {readChunks} from './body-chunks.js';
import {BufferBudget} from './buffer-budget.js';
import {mediaTypeOf, type Exchange, withoutHopByHopHeaders} from './exchange.js';
import {type ResponseMetadata, type HeaderCodec} from './deployment.js';
import {BODY_BYTES_MAX, HeldBody} from './held-body.js';
import {faultTexts, type AnswerFault} from './answer-faults.js';
import {EventSplitter, type StreamEvent} from './stream-events.js';
import {
	discardBody, errorCode, isUnwritten, REFUSED_CODE, type ConnectionUse, type TargetConnections, type TargetRequest, type TargetResponse,
} from './target-connections.js';

/** Limit for all responses together that wait in this process, a part of an instance's memory. */
const BUFFERED_BYTES_MAX = 24 * 1024 * 1024;
/** Bytes of a stream without an event that the caller lacks; a target that repeats more does not resume the stream. */
const REPEATED_BYTES_MAX = 1024 * 1024;
/** Responses that are not read for longer are told of to the core, well before it takes a target for silent. */
const HELD_REPORT_MS = 200;
/** Interval at which the progress of a stream is dispatched to the core; the first event is dispatched at once. */
const PROGRESS_INTERVAL_MS = 200;

/** Statuses of an instance's own responses that say nothing of whether a target ran the request; all others say that none did. */
const unknownOutcomeStatuses: ReadonlySet<number> = new Set([502, 504]);

/** Statuses by which callers are promised that a request has not run and never will. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Well above the time in which the connections of a process that ends are closed. */
const CLOSING_MS = 50;

/** Outcomes of tries that a target answered, which say nothing against other connections. */
const soundOutcomes: ReadonlySet<TryOutcome> = new Set(['answered', 'failed', 'not-run']);

export type TryRunnerOptions = {
	readonly headerCodec: HeaderCodec;
	readonly connections: TargetConnections;
	readonly monotonicMs: () => number;
	/** Whether a target has not been listed as another lifetime since a request was sent to it, as far as this instance knows. */
	readonly isSameLifetime: (targetId: string, requestId: string) => boolean;
	/** Called right before a try is written, or given up since the time for it has passed, which `leftMs` below 1 shows. */
	readonly onWrite?: (write: TryWrite) => void;
	readonly dispatch: (event: Untimed<EntryEventOf<'try-progressed'>> | Untimed<EntryEventOf<'try-held'>> | Untimed<EntryEventOf<'try-ended'>>) => void;
};

export type TryWrite = {
	readonly requestId: string;
	readonly tryNumber: number;
	/** Time since the try was decided on. */
	readonly waitedMs: number;
	readonly leftMs: number;
};

/** The time for a request passed before it was written. */
class ExpiredError extends Error {}

/** An answer that is not what it has to be. */
class FaultyAnswerError extends Error {
	constructor(readonly fault: AnswerFault) {
		super(faultTexts[fault]);
	}
}

type TryResult = {
	readonly outcome: TryOutcome;
	readonly status?: number;
	readonly load?: ResponseMetadata['load'];
	readonly rateLimit?: StatedRateLimit;
	readonly isLeaving?: boolean;
	readonly isMissing?: boolean;
	readonly isRefused?: boolean;
	readonly retryAfterMs?: number;
	readonly fault?: string;
	readonly reason?: string;
	readonly timing?: StreamTiming;
};

/** Arrival of the first event of a stream, and the longest pause between two events. */
type StreamTiming = {
	firstEventAtMs: number | undefined;
	longestPauseMs: number;
};

type TryName = {
	readonly requestId: string;
	readonly tryNumber: number;
};

type ReceivedResponse = {
	readonly response: TargetResponse;
	readonly metadata: ResponseMetadata;
	readonly signal: AbortSignal;
	readonly timing: StreamTiming;
};

export class TryRunner {
	private readonly _budget: BufferBudget;

	constructor(private readonly _options: TryRunnerOptions) {
		this._budget = new BufferBudget({maxBytes: BUFFERED_BYTES_MAX, monotonicMs: _options.monotonicMs});
	}

	async run(exchange: Exchange, effect: EntryEffectOf<'send'>): Promise<void> {
		const {tryNumber} = effect;
		const signal = exchange.beginTry(tryNumber);
		let ended: TryResult;
		let connection: ConnectionUse | undefined;
		const noteConnection = (use: ConnectionUse) => {
			connection = use;
		};

		try {
			ended = await this._sendAndRead(exchange, effect, {signal, onConnection: noteConnection});
		} catch (error) {
			ended = {outcome: 'broken', ...describeError(error)};
		}

		const {timing, ...result} = ended;
		exchange.endTry(tryNumber);
		if (soundOutcomes.has(result.outcome)) {
			exchange.soundTries++;
		}

		if (!signal.aborted) {
			this._options.dispatch({
				kind: 'try-ended', requestId: exchange.id, tryNumber, delivered: exchange.delivered, connection, ...result, ...timing,
			});
		}
	}

	private async _sendAndRead(exchange: Exchange, effect: EntryEffectOf<'send'>, {signal, onConnection}: Pick<TargetRequest, 'signal' | 'onConnection'>): Promise<TryResult> {
		const {headerCodec, connections} = this._options;
		const decidedAtMs = this._options.monotonicMs();
		let response: TargetResponse;
		try {
			response = await connections.request(effect.address, {
				method: exchange.method,
				path: exchange.path,
				headers: () => {
					const waitedMs = this._options.monotonicMs() - decidedAtMs;
					const remainingMs = Math.floor(effect.remainingMs - waitedMs);
					this._options.onWrite?.({
						requestId: exchange.id, tryNumber: effect.tryNumber, waitedMs, leftMs: remainingMs,
					});
					if (remainingMs < 1) {
						throw new ExpiredError();
					}

					return this._buildHeaders(exchange, {...effect, remainingMs});
				},
				body: exchange.body.length > 0 || hasLength(exchange.headers) ? exchange.body : undefined,
				signal,
				onConnection,
				requestId: exchange.id,
				usesFreshConnection: effect.usesFreshConnection,
				followsFailure: effect.relayed !== undefined || exchange.soundTries < effect.tryNumber - 1,
				maxConnections: effect.maxConnections,
				maxIdleConnections: effect.maxIdleConnections,
			});
		} catch (error) {
			if (error instanceof ExpiredError && !signal.aborted) {
				// The core ends the request at its deadline, which says nothing of the target.
				await once(signal, 'abort');
			}

			return {outcome: isUnwritten(error) ? 'not-sent' : 'broken', isRefused: errorCode(error) === REFUSED_CODE, ...describeError(error)};
		}

		const metadata = headerCodec.parseResponse(response.status, response.headers);
		const timing: StreamTiming = {firstEventAtMs: undefined, longestPauseMs: 0};
		const rateLimit = statedLimit(metadata);
		const {isLeaving} = metadata;
		try {
			return {
				rateLimit,
				isLeaving,
				...await this._readResponse(exchange, effect, {
					response, metadata, signal, timing,
				}),
				timing,
			};
		} catch (error) {
			return {
				outcome: 'broken', status: response.status, load: metadata.load, rateLimit, isLeaving, ...describeError(error), timing,
			};
		}
	}

	private _buildHeaders(exchange: Exchange, {targetId, remainingMs, rank, relayed, hidesKey, workspace}: EntryEffectOf<'send'>): string[] {
		const {headerCodec} = this._options;
		const headers = withoutHopByHopHeaders(exchange.headers, ['content-length']);
		const lastEventId = exchange.headersSent ? exchange.lastEventId : undefined;
		return relayed
			? headerCodec.buildRelayHeaders(headers, {
				relayed, remainingMs, hidesKey, lastEventId,
			})
			: headerCodec.buildTargetHeaders(headers, {
				targetId, remainingMs, rank, hidesKey, workspace, lastEventId,
			});
	}

	private async _readResponse(exchange: Exchange, effect: EntryEffectOf<'send'>, {response, metadata, signal, timing}: ReceivedResponse): Promise<TryResult> {
		const {status, headers, body} = response;
		const {load} = metadata;
		const fault = rejectionReason(exchange, response, metadata);
		if (fault) {
			body.on('error', () => undefined);
			body.destroy();
			// The response may have been read completely, and another one may follow it.
			response.drop();
			// What a response that may not be the target's own states about it does not count.
			return {
				outcome: 'broken', status, load, rateLimit: undefined, isLeaving: undefined, ...describeFault(fault),
			};
		}

		const isRefusal = effect.relayed !== undefined && metadata.isProblem && !unknownOutcomeStatuses.has(status);
		if (metadata.isNotRun || isRefusal) {
			// The refusal may come once more, ahead of the next response.
			response.retire();
			discardBody(body);
			return {
				outcome: 'not-run', status, load, isMissing: metadata.isMissing, retryAfterMs: metadata.retryAfterMs,
			};
		}

		if (status === 200 && effect.isStream) {
			const streamFault = await this._forwardStream(exchange, effect, {
				response, metadata, signal, timing,
			});
			return {
				outcome: streamOutcome(streamFault), status, load, ...describeFault(streamFault),
			};
		}

		const held = await this._readAll({requestId: exchange.id, tryNumber: effect.tryNumber}, response, exchange.method === 'HEAD' ? 0 : statedLength(headers));
		const hasTargetGone = await this._hasTargetGone(exchange, effect, response);
		if (signal.aborted) {
			held.release();
			return {outcome: 'canceled'};
		}

		if (notRunStatuses.has(status)) {
			// A target that does not state that the request has not run does not promise it either, and its status must not be changed.
			held.release();
			return {
				outcome: 'failed', status, load, ...describeFault('promise-unstated'),
			};
		}

		if (hasTargetGone) {
			held.release();
			return {
				outcome: 'unproven', status, load, ...describeFault('target-gone'),
			};
		}

		// A stream that has begun can only be completed by the rest of its events.
		const outcome = status >= 500 || exchange.headersSent ? 'failed' : 'answered';
		if (outcome === 'answered') {
			exchange.claim(effect.tryNumber);
		}

		exchange.keep({status, headers, body: held});
		return {outcome, status, load};
	}

	/**
	Whether the target of a response that ended with its connection has gone as well: the operating system closes the
	connections of a process that ends in the regular way, too. One that only accepts no more has others open.
	*/
	private async _hasTargetGone({id, method}: Exchange, {targetId, address, relayed}: EntryEffectOf<'send'>, response: TargetResponse): Promise<boolean> {
		if (relayed !== undefined || !endsWithConnection(method, response)) {
			return false;
		}

		const {isSameLifetime, connections} = this._options;
		if (!isSameLifetime(targetId, id)) {
			return true;
		}

		if (await connections.probe(address) !== 'refused') {
			return false;
		}

		await delay(CLOSING_MS);
		return !connections.hasOpen(address);
	}

	/** Reads a complete response into memory. */
	private async _readAll(tryOf: TryName, {body}: TargetResponse, statedBytes: number): Promise<HeldBody> {
		if (statedBytes > BODY_BYTES_MAX) {
			body.on('error', () => undefined);
			body.destroy();
			throw new FaultyAnswerError('answer-too-large');
		}

		const held = new HeldBody(this._budget, body, statedBytes);
		body.once('close', () => {
			held.stopWaiting();
		});
		try {
			await readChunks(body, chunk => {
				const until = held.append(chunk);
				if (held.length > BODY_BYTES_MAX) {
					throw new FaultyAnswerError('answer-too-large');
				}

				return until && {until: this._holdBack(tryOf, until)};
			});
			held.end();
			return held;
		} catch (error) {
			held.release();
			throw error;
		}
	}

	/** Tells the core of a wait that lasts, in which nothing of the response is read. */
	private async _holdBack(tryOf: TryName, until: Promise<void>): Promise<void> {
		let isHeld = false;
		const timer = setTimeout(() => {
			isHeld = true;
			this._options.dispatch({kind: 'try-held', ...tryOf, isHeld});
		}, HELD_REPORT_MS);
		try {
			await until;
		} finally {
			clearTimeout(timer);
			if (isHeld) {
				this._options.dispatch({kind: 'try-held', ...tryOf, isHeld: false});
			}
		}
	}

	/** Forwards a stream event by event. Returns why it is incomplete, or undefined if it is complete. */
	private async _forwardStream(exchange: Exchange, effect: EntryEffectOf<'send'>, {response, metadata, signal, timing}: ReceivedResponse): Promise<AnswerFault | undefined> {
		const splitter = new EventSplitter();
		const tryOf = {requestId: exchange.id, tryNumber: effect.tryNumber};
		const isRest = exchange.headersSent;
		if (isRest && mediaTypeOf(response.headers) !== exchange.mediaType) {
			response.body.on('error', () => undefined);
			response.body.destroy();
			return 'other-media-type';
		}

		const account = this._budget.open(error => {
			response.body.destroy(error);
		});
		// Also ends a wait for memory.
		response.body.once('close', () => {
			account.close();
		});
		let repeatedBytes = 0;
		let progressSentAtMs = Number.NEGATIVE_INFINITY;
		let lastEventAtMs: number | undefined;
		const fault = await readChunks<AnswerFault>(response.body, chunk => {
			const events = splitter.push(chunk);
			// An event that goes on takes twice the memory next.
			const room = account.resize(2 * splitter.heldBytes);
			if (signal.aborted) {
				return {stop: 'canceled'};
			}

			if (splitter.isTooLarge) {
				return {stop: 'event-too-large'};
			}

			if (isRest && splitter.hasForeignText) {
				return {stop: 'no-event'};
			}

			const undelivered = selectUndelivered(events, exchange.lastEventId);
			if (undelivered === undefined) {
				return {stop: 'event-missing'};
			}

			if (undelivered.length === 0) {
				repeatedBytes += chunk.length;
				if (repeatedBytes > REPEATED_BYTES_MAX) {
					return {stop: 'no-new-event'};
				}

				return room && {until: this._holdBack(tryOf, room)};
			}

			repeatedBytes = 0;
			const wasContested = exchange.claim(effect.tryNumber);
			if (!exchange.headersSent) {
				exchange.beginStream(response.status, response.headers);
			}

			exchange.delivered += undelivered.length;
			exchange.lastEventId = undelivered.findLast(({id}) => id !== undefined)?.id ?? exchange.lastEventId;
			const nowMs = this._options.monotonicMs();
			timing.firstEventAtMs ??= nowMs;
			timing.longestPauseMs = Math.max(timing.longestPauseMs, nowMs - (lastEventAtMs ?? nowMs));
			lastEventAtMs = nowMs;
			if (wasContested || nowMs - progressSentAtMs >= PROGRESS_INTERVAL_MS) {
				progressSentAtMs = nowMs;
				this._options.dispatch({
					kind: 'try-progressed', requestId: exchange.id, tryNumber: effect.tryNumber, delivered: exchange.delivered, load: metadata.load, rateLimit: statedLimit(metadata), isLeaving: metadata.isLeaving,
				});
			}

			const isFull = exchange.write(undelivered.length === 1 ? undelivered[0]!.bytes : Buffer.concat(undelivered.map(({bytes}) => bytes)));
			return isFull || room ? {until: this._holdBack(tryOf, all(room, isFull ? exchange.drained(signal) : undefined))} : undefined;
		});
		if (fault !== undefined) {
			return fault;
		}

		if (splitter.hasPartialEvent) {
			return 'event-cut';
		}

		const hasTargetGone = await this._hasTargetGone(exchange, effect, response);
		if (signal.aborted) {
			return 'canceled';
		}

		if (hasTargetGone) {
			return 'target-gone';
		}

		// A complete stream may have no events. After a broken one the caller may still get another response.
		if (!exchange.headersSent) {
			exchange.claim(effect.tryNumber);
			exchange.beginStream(response.status, response.headers);
		}

		const {trailingBlocks} = splitter;
		if (trailingBlocks.length > 0 && exchange.write(trailingBlocks)) {
			await this._holdBack(tryOf, exchange.drained(signal));
		}

		return undefined;
	}
}

/** Rejects with the first wait that is aborted, also while another one goes on. */
async function all(...waits: ReadonlyArray<Promise<void> | undefined>): Promise<void> {
	await Promise.all(waits.filter(wait => wait !== undefined));
}

function describeFault(fault: AnswerFault | undefined): {readonly fault?: string; readonly reason?: string} {
	return fault === undefined ? {} : {fault, reason: faultTexts[fault]};
}

function describeError(error: unknown): {readonly fault: string; readonly reason: string} {
	if (error instanceof FaultyAnswerError) {
		return {fault: error.fault, reason: error.message};
	}

	const code = errorCode(error);
	return {fault: code || 'error', reason: code || String(error)};
}

function statedLimit({requestsPerSecond, declinesPerSecond}: ResponseMetadata): StatedRateLimit {
	return {perSecond: requestsPerSecond, declinesPerSecond};
}

/** Returns the events after `lastEventId`, the last one that the caller has, or undefined if an event is missing in between. */
export function selectUndelivered(events: readonly StreamEvent[], lastEventId: number): StreamEvent[] | undefined {
	const undelivered: StreamEvent[] = [];
	let last = lastEventId;
	for (const event of events) {
		if (event.id === undefined) {
			undelivered.push(event);
			continue;
		}

		if (event.id <= last) {
			continue;
		}

		if (event.id > last + 1 && last > 0) {
			return undefined;
		}

		last = event.id;
		undelivered.push(event);
	}

	return undelivered;
}

/** Returns why a response is rejected as not the target's own response to this request, or undefined if it is accepted. */
function rejectionReason(exchange: Exchange, {status, headers, mustNameRequest}: TargetResponse, metadata: ResponseMetadata): AnswerFault | undefined {
	if (!isFinalStatus(status)) {
		return 'status-not-final';
	}

	if (metadata.requestId === undefined && mustNameRequest) {
		return 'request-unnamed';
	}

	if (metadata.requestId !== undefined && metadata.requestId !== exchange.id) {
		return 'request-other';
	}

	if (status < 300 && (metadata.requestId === undefined || !metadata.isSigned)) {
		return 'unsigned';
	}

	return hasEncoding(headers) ? 'encoded' : undefined;
}

/** The length that a response states; 0 if it states none. */
function statedLength(headers: readonly string[]): number {
	const index = headers.findIndex((name, position) => position % 2 === 0 && name.toLowerCase() === 'content-length');
	return index === -1 ? 0 : Number(headers[index + 1]);
}

/** Whether a response has a body with neither a length nor chunks, which ends with its connection (RFC 9112, section 6.3). */
function endsWithConnection(method: string, {status, headers}: TargetResponse): boolean {
	return method !== 'HEAD' && !bodilessStatuses.has(status) && !hasLength(headers);
}

function streamOutcome(fault: AnswerFault | undefined): TryOutcome {
	if (fault === undefined) {
		return 'answered';
	}

	return fault === 'target-gone' ? 'unproven' : 'broken';
}

function hasEncoding(headers: readonly string[]): boolean {
	return headers.some((name, index) => index % 2 === 0 && name.toLowerCase() === 'content-encoding');
}

function hasLength(headers: readonly string[]): boolean {
	return headers.some((name, index) => index % 2 === 0 && (name.toLowerCase() === 'content-length' || name.toLowerCase() === 'transfer-encoding'));
}
