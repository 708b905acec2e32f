/**
Lines of the log that tell how requests end without a whole answer: those that the core has decided on, with what only the
daemon knows of their connections, and those that close without a decision, with their connection or with the process.
*/
import {performance} from 'node:perf_hooks';
import {describeTry} from '../core/entry/closing.js';
import {type Untimed} from '../core/entry/event.js';
import {type AnnouncedOpen} from '../core/entry/peer-messages.js';
import {type EntryState} from '../core/entry/state.js';
import {MAX_OPEN_NAMED} from '../core/entry/stop-announcements.js';
import {type LogEventName} from '../core/log-events.js';
import {type CallerConnection, type LastAnswer} from './caller-connection.js';
import {type EntryLog} from './entry-log.js';
import {type EntryMetrics} from './entry-metrics.js';
import {type CutReason, type Exchange} from './exchange.js';

/** Interval at which a stopping instance names its open requests, and how many a line names. */
const NAMED_INTERVAL_MS = 1000;
const NAMED_PER_LINE = 10;

export type EndReportsOptions = {
	readonly log: EntryLog;
	readonly metrics: EntryMetrics;
	readonly state: EntryState;
	readonly exchanges: ReadonlyMap<string, Exchange>;
	readonly monotonicMs: () => number;
	readonly dispatch: (event: Untimed) => void;
};

export class EndReports {
	private readonly _log: EntryLog;
	private readonly _metrics: EntryMetrics;
	private readonly _state: EntryState;
	private readonly _exchanges: ReadonlyMap<string, Exchange>;
	private readonly _monotonicMs: () => number;
	private readonly _dispatch: (event: Untimed) => void;
	private _namedAtMs = Number.NEGATIVE_INFINITY;

	constructor({log, metrics, state, exchanges, monotonicMs, dispatch}: EndReportsOptions) {
		this._log = log;
		this._metrics = metrics;
		this._state = state;
		this._exchanges = exchanges;
		this._monotonicMs = monotonicMs;
		this._dispatch = dispatch;
	}

	/** For a request whose connection has closed, or whose response has been handed over. */
	reportClosed(exchange: Exchange): void {
		if (!exchange.isWhole && !exchange.isCutLogged) {
			this._logCut(exchange, exchange.cutReason);
		}
	}

	/** For a request that ends with the process. */
	reportStopped(exchange: Exchange): void {
		if (!exchange.isWhole && !exchange.isCutLogged) {
			this._logCut(exchange, 'process-stopped');
		}
	}

	/** For a request whose end without a whole answer no decision of the core tells. */
	private _logCut(exchange: Exchange, reason: CutReason): void {
		const {id, isFinished, arrivedAtMs, metadata: {deadlineMs}} = exchange;
		const nowMs = this._monotonicMs();
		const open = this._state.open.get(id);
		const facts = exchange.cutFacts;
		exchange.isCutLogged = true;
		this._countCut(exchange, reason);
		const tries = open?.tries.map(attempt => describeTry(attempt)) ?? exchange.tries;
		const openForMs = Math.round(nowMs - arrivedAtMs);
		this._tell(exchange, {reason, tries, tookMs: openForMs});
		this._log.write('request-unanswered', {
			requestId: id,
			reason,
			...this.describeStop(),
			openForMs,
			outcome: isFinished ? 'decided' : 'open',
			leftMs: open ? Math.round(open.deadlineAtMs - nowMs) : (deadlineMs === undefined ? undefined : Math.round(arrivedAtMs + deadlineMs - nowMs)),
			...facts,
			tries,
			delivered: exchange.delivered,
			lifecycle: this._state.lifecycle,
		}, {isUrgent: this._isUrgent(exchange)});
	}

	/**
	Whether a request's end without a whole answer must have a line. Each such line costs a run at a target, which bounds their number. A
	caller that leaves before its answer has begun gets nothing cut off, so that its line counts only while the instance stops.
	*/
	private _isUrgent({isPassedOn, isCutLogged, hasBegun}: Exchange): boolean {
		return isPassedOn && ((isCutLogged && hasBegun) || this._state.lifecycle !== 'serving');
	}

	/** Undefined while the instance serves. */
	describeStop(): {readonly sinceStopMs: number | undefined} {
		const {lifecycle, drainSinceMs} = this._state;
		const isStopping = lifecycle === 'draining' || lifecycle === 'stopped';
		return {sinceStopMs: isStopping ? Math.round(this._monotonicMs() - drainSinceMs) : undefined};
	}

	/** A process that is killed cannot name the requests that end with it. */
	nameOpenRequests(): void {
		const {lifecycle} = this._state;
		const nowMs = this._monotonicMs();
		if ((lifecycle !== 'draining' && lifecycle !== 'stopped') || nowMs < this._namedAtMs + NAMED_INTERVAL_MS) {
			return;
		}

		this._namedAtMs = nowMs;
		const open = [...this._exchanges.values()].filter(({isPassedOn, isWhole}) => isPassedOn && !isWhole);
		for (let from = 0; from < open.length; from += NAMED_PER_LINE) {
			this._log.write('requests-open', {
				...this.describeStop(),
				open: open.length,
				requests: open.slice(from, from + NAMED_PER_LINE).map(exchange => {
					const {requestId, state, openForMs, leftMs, tries} = this._describeOpen(exchange);
					return [requestId, state, openForMs, leftMs ?? '', tries].join(' ').trimEnd();
				}),
			});
		}

		const [begun, others] = [open.filter(({hasBegun}) => hasBegun), open.filter(({hasBegun}) => !hasBegun)];
		this._dispatch({kind: 'requests-open', open: [...begun, ...others].slice(0, MAX_OPEN_NAMED).map(exchange => this._describeOpen(exchange)), more: Math.max(0, open.length - MAX_OPEN_NAMED)});
	}

	/** Id of a request, its state, the time since its arrival and to its deadline, and its tries. */
	private _describeOpen({id, headersSent, isFinished, arrivedAtMs, tries}: Exchange): AnnouncedOpen {
		const nowMs = this._monotonicMs();
		const request = this._state.open.get(id);
		return {
			requestId: id,
			tries: (request?.tries.map(attempt => describeTry(attempt)) ?? tries ?? []).join(' '),
			state: isFinished ? 'decided' : (headersSent ? 'begun' : 'open'),
			openForMs: Math.round(nowMs - arrivedAtMs),
			leftMs: request && Math.round(request.deadlineAtMs - nowMs),
		};
	}

	/** Writes a line that the core has decided on, with what only this daemon knows. */
	writeDecision(event: LogEventName, fields: Readonly<Record<string, unknown>>): void {
		const exchange = event === 'request-ended' || event === 'request-answered' ? this._exchanges.get(String(fields.requestId)) : undefined;
		if (exchange) {
			exchange.tries = fields.tries as readonly string[];
		}

		const hasLeft = fields.reason === 'caller-left';
		if (event === 'request-ended' && exchange) {
			exchange.isCutLogged = hasLeft || fields.isBrokenOff === true;
		}

		if (event !== 'request-ended' || !exchange?.isPassedOn) {
			this._log.write(event, fields);
			return;
		}

		const {requestId, reason, tookMs, leftMs, ...rest} = fields;
		const endReason = hasLeft ? exchange.cutReason : String(reason);
		if (exchange.isCutLogged) {
			this._countCut(exchange, endReason);
		}

		this._tell(exchange, {reason: endReason, tries: exchange.tries, tookMs: Number(tookMs)});
		this._log.write(event, {
			requestId, reason: endReason, ...this.describeStop(), tookMs, leftMs, ...exchange.cutFacts, ...rest, lifecycle: this._state.lifecycle,
		}, {isUrgent: this._isUrgent(exchange)});
	}

	/** Has peers write a line as well while this instance stops. */
	private _tell({id, isPassedOn, cutFacts}: Exchange, {reason, tries = [], tookMs}: {readonly reason: string; readonly tries: readonly string[] | undefined; readonly tookMs: number}): void {
		if (isPassedOn) {
			const {closedBy, closeCode, unsentBytes, bodyMs, headSent} = cutFacts;
			this._dispatch({
				kind: 'request-cut',
				cut: {
					requestId: id, reason, tries: tries.join(' '), ...this.describeStop(), closedBy, closeCode, unsentBytes, bodyMs, headSent, tookMs,
				},
			});
		}
	}

	private _countCut({isPassedOn, cutFacts}: Exchange, reason: string): void {
		if (isPassedOn) {
			this._metrics.recordCut(reason, cutFacts.closedBy ?? '');
		}
	}

	/** The core has counted the request as answered. */
	reportLostAnswer({requestId, deadlineMs, atMs}: LastAnswer, {socket, closingReason}: CallerConnection): void {
		if (this._state.lifecycle === 'serving' && (socket.closedBy === 'caller' || socket.isUnconfirmed)) {
			// Callers may end with a reset what they have read, or keep their side open; the process goes on.
			return;
		}

		const reason = socket.isUnconfirmed ? 'answer-unconfirmed' : 'answer-cut';

		const sinceAnswerMs = Math.round(performance.now() - atMs);
		this._dispatch({
			kind: 'request-cut',
			cut: {
				requestId, reason, tries: '', ...this.describeStop(), sinceAnswerMs, closedBy: socket.closedBy, closeCode: socket.errorCode || undefined, unsentBytes: socket.unsentBytes,
			},
		});
		this._log.write('request-unanswered', {
			requestId,
			reason,
			...this.describeStop(),
			outcome: 'decided',
			sinceAnswerMs,
			deadlineMs,
			closedBy: socket.closedBy,
			closeCode: socket.errorCode || undefined,
			closingReason,
			headSent: true,
			unsentBytes: socket.unsentBytes,
			unreadBytes: socket.unreadBytes,
			lifecycle: this._state.lifecycle,
		}, {isUrgent: true});
	}
}
