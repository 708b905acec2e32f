/**
Runs one try: sends the request, judges the answer's head, and collects the whole
answer or passes a stream's events on as they come. What is not the target's whole
answer to this very request is never passed on.
*/
import {Buffer} from 'node:buffer';
import {type EntryEffectOf} from '../core/entry/effect.js';
import {type EntryEventOf} from '../core/entry/event.js';
import {type TryOutcome} from '../core/entry/types.js';
import {type Exchange, withoutConnectionHeaders} from './exchange.js';
import {type AnswerHead, type Dialect} from './services.js';
import {EventSplitter, type StreamEvent} from './stream-events.js';
import {
	errorCode, isUnwritten, type TargetConnections, type TargetResponse,
} from './target-connections.js';

/** Whole answers are held in memory; larger ones are none that these services give. */
const ANSWER_BYTES_MAX = 8 * 1024 * 1024;
/** Progress of a stream is told to the core this often, its first event at once. */
const PROGRESS_INTERVAL_MS = 200;

type Untimed<Event> = Omit<Event, 'nowMs' | 'wallMs'>;

export type TryRunnerOptions = {
	readonly dialect: Dialect;
	readonly connections: TargetConnections;
	readonly monotonicMs: () => number;
	readonly dispatch: (event: Untimed<EntryEventOf<'try-progressed'>> | Untimed<EntryEventOf<'try-ended'>>) => void;
};

type Ended = {
	readonly outcome: TryOutcome;
	readonly status?: number;
	readonly load?: AnswerHead['load'];
	readonly reason?: string;
	readonly pace?: StreamPace;
};

/** When the first event of a stream came, and the longest pause between two. */
type StreamPace = {
	firstEventAtMs: number | undefined;
	longestPauseMs: number;
};

type Answering = {
	readonly response: TargetResponse;
	readonly head: AnswerHead;
	readonly signal: AbortSignal;
	readonly pace: StreamPace;
};

export class TryRunner {
	constructor(private readonly _options: TryRunnerOptions) {}

	async run(exchange: Exchange, effect: EntryEffectOf<'send'>): Promise<void> {
		const {tryNumber} = effect;
		const signal = exchange.beginTry(tryNumber);
		const {pace, ...ended} = await this._attempt(exchange, effect, signal);
		exchange.endTry(tryNumber);
		if (!signal.aborted) {
			this._options.dispatch({
				kind: 'try-ended', requestId: exchange.id, tryNumber, delivered: exchange.delivered, ...ended, ...pace,
			});
		}
	}

	private async _attempt(exchange: Exchange, effect: EntryEffectOf<'send'>, signal: AbortSignal): Promise<Ended> {
		const {dialect, connections} = this._options;
		let response: TargetResponse;
		try {
			response = await connections.request(effect.address, {
				method: exchange.method,
				path: exchange.path,
				headers: dialect.toTarget(withoutConnectionHeaders(exchange.headers, ['content-length']), {
					targetId: effect.targetId,
					remainingMs: effect.remainingMs,
					rank: effect.rank,
					lastEventId: exchange.hasHead ? exchange.lastEventId : undefined,
				}),
				body: exchange.body.length > 0 || hasLength(exchange.headers) ? exchange.body : undefined,
				signal,
				isFresh: effect.usesFreshConnection,
				maxConnections: effect.maxConnections,
			});
		} catch (error) {
			return {outcome: isUnwritten(error) ? 'not-sent' : 'broken', reason: errorCode(error) || String(error)};
		}

		const head = dialect.readAnswer(response.status, response.headers);
		const pace: StreamPace = {firstEventAtMs: undefined, longestPauseMs: 0};
		try {
			return {
				...await this._readAnswer(exchange, effect, {
					response, head, signal, pace,
				}), pace,
			};
		} catch (error) {
			return {
				outcome: 'broken', status: response.status, load: head.load, reason: errorCode(error) || String(error), pace,
			};
		}
	}

	private async _readAnswer(exchange: Exchange, effect: EntryEffectOf<'send'>, {response, head, signal, pace}: Answering): Promise<Ended> {
		const {status, headers, body} = response;
		const {load} = head;
		const fault = faultOf(exchange, response, head);
		if (fault) {
			body.on('error', () => undefined);
			body.destroy();
			return {
				outcome: 'broken', status, load, reason: fault,
			};
		}

		if (head.isNotRun) {
			await readAll(body);
			return {outcome: 'not-run', status, load};
		}

		if (status === 200 && effect.isStream) {
			const reason = await this._passOn(exchange, effect, {
				response, head, signal, pace,
			});
			return {
				outcome: reason === undefined ? 'answered' : 'broken', status, load, reason,
			};
		}

		const bytes = await readAll(body);
		if (isCutShort(response)) {
			return {
				outcome: 'broken', status, load, reason: 'an answer without length was reset',
			};
		}

		if (signal.aborted) {
			return {outcome: 'canceled'};
		}

		exchange.answer = {status, headers, body: bytes};
		return {outcome: status >= 500 ? 'failed' : 'answered', status, load};
	}

	/** Passes a stream on event by event. Returns why it is not complete, undefined when it is. */
	private async _passOn(exchange: Exchange, effect: EntryEffectOf<'send'>, {response, head, signal, pace}: Answering): Promise<string | undefined> {
		const splitter = new EventSplitter();
		let toldAtMs = Number.NEGATIVE_INFINITY;
		let eventAtMs: number | undefined;
		for await (const chunk of response.body) {
			const events = splitter.push(chunk as Buffer);
			if (signal.aborted) {
				return 'canceled';
			}

			if (splitter.isTooLarge) {
				return 'an event is too large';
			}

			const fresh = selectFresh(events, exchange.lastEventId);
			if (fresh === undefined) {
				return 'an event is missing';
			}

			if (fresh.length === 0) {
				continue;
			}

			if (!exchange.hasHead) {
				exchange.beginStream(response.status, response.headers);
			}

			exchange.delivered += fresh.length;
			exchange.lastEventId = fresh.findLast(({id}) => id !== undefined)?.id ?? exchange.lastEventId;
			const nowMs = this._options.monotonicMs();
			pace.firstEventAtMs ??= nowMs;
			pace.longestPauseMs = Math.max(pace.longestPauseMs, nowMs - (eventAtMs ?? nowMs));
			eventAtMs = nowMs;
			if (nowMs - toldAtMs >= PROGRESS_INTERVAL_MS) {
				toldAtMs = nowMs;
				this._options.dispatch({
					kind: 'try-progressed', requestId: exchange.id, tryNumber: effect.tryNumber, delivered: exchange.delivered, load: head.load,
				});
			}

			await exchange.write(Buffer.concat(fresh.map(({bytes}) => bytes)), signal);
		}

		if (!exchange.hasHead) {
			exchange.beginStream(response.status, response.headers);
		}

		if (isCutShort(response)) {
			return 'a stream without length was reset';
		}

		return splitter.isInEvent ? 'the stream ended in the middle of an event' : undefined;
	}
}

/** Events after the last one that the caller has, undefined when one is missing in between. */
export function selectFresh(events: readonly StreamEvent[], lastEventId: number): StreamEvent[] | undefined {
	const fresh: StreamEvent[] = [];
	let last = lastEventId;
	for (const event of events) {
		if (event.id === undefined) {
			fresh.push(event);
			continue;
		}

		if (event.id <= last) {
			continue;
		}

		if (event.id > last + 1 && last > 0) {
			return undefined;
		}

		last = event.id;
		fresh.push(event);
	}

	return fresh;
}

/** Why an answer cannot be the target's own whole answer to this request. */
function faultOf(exchange: Exchange, {status, headers}: TargetResponse, head: AnswerHead): string | undefined {
	if (head.requestId !== undefined && head.requestId !== exchange.id) {
		return 'the answer belongs to another request';
	}

	if (status < 300 && (head.requestId === undefined || !head.isSigned)) {
		return 'the answer is not signed';
	}

	return hasEncoding(headers) ? 'the answer has an encoding that nobody asked for' : undefined;
}

/** An answer without length ends with its connection (RFC 9112, section 6.3), whole only if that was not reset. */
function isCutShort({headers, wasReset}: TargetResponse): boolean {
	return !hasLength(headers) && wasReset();
}

function hasEncoding(headers: readonly string[]): boolean {
	return headers.some((name, index) => index % 2 === 0 && name.toLowerCase() === 'content-encoding');
}

function hasLength(headers: readonly string[]): boolean {
	return headers.some((name, index) => index % 2 === 0 && (name.toLowerCase() === 'content-length' || name.toLowerCase() === 'transfer-encoding'));
}

async function readAll(body: TargetResponse['body']): Promise<Buffer> {
	const chunks: Buffer[] = [];
	let length = 0;
	for await (const chunk of body) {
		length += (chunk as Buffer).length;
		if (length > ANSWER_BYTES_MAX) {
			throw new Error('the answer is too large');
		}

		chunks.push(chunk as Buffer);
	}

	return Buffer.concat(chunks);
}
