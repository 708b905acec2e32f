/**
Lines of the log that tell how requests end without a whole answer: those that the core has decided on, with what only the
daemon knows of their connections, and those that close without a decision, with their connection or with the process.
*/
import {performance} from 'node:perf_hooks';
import {describeTry} from '../core/entry/closing.js';
import {type EntryState} from '../core/entry/state.js';
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
};

export class EndReports {
	private readonly _log: EntryLog;
	private readonly _metrics: EntryMetrics;
	private readonly _state: EntryState;
	private readonly _exchanges: ReadonlyMap<string, Exchange>;
	private readonly _monotonicMs: () => number;
	private _namedAtMs = Number.NEGATIVE_INFINITY;

	constructor({log, metrics, state, exchanges, monotonicMs}: EndReportsOptions) {
		this._log = log;
		this._metrics = metrics;
		this._state = state;
		this._exchanges = exchanges;
		this._monotonicMs = monotonicMs;
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
		this._log.write('request-unanswered', {
			requestId: id,
			reason,
			...this.describeStop(),
			openForMs: Math.round(nowMs - arrivedAtMs),
			outcome: isFinished ? 'decided' : 'open',
			leftMs: open ? Math.round(open.deadlineAtMs - nowMs) : (deadlineMs === undefined ? undefined : Math.round(arrivedAtMs + deadlineMs - nowMs)),
			...facts,
			tries: open?.tries.map(attempt => describeTry(attempt)) ?? exchange.tries,
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
				requests: open.slice(from, from + NAMED_PER_LINE).map(exchange => this._describeOpen(exchange)),
			});
		}
	}

	/** Id of a request, its state, the time since its arrival and to its deadline, and its tries. */
	private _describeOpen({id, headersSent, isFinished, arrivedAtMs, tries}: Exchange): string {
		const nowMs = this._monotonicMs();
		const request = this._state.open.get(id);
		const state = isFinished ? 'decided' : (headersSent ? 'begun' : 'open');
		return [id, state, Math.round(nowMs - arrivedAtMs), request ? Math.round(request.deadlineAtMs - nowMs) : '', ...request?.tries.map(attempt => describeTry(attempt)) ?? tries ?? []].join(' ');
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

		this._log.write(event, {
			requestId, reason: endReason, ...this.describeStop(), tookMs, leftMs, ...exchange.cutFacts, ...rest, lifecycle: this._state.lifecycle,
		}, {isUrgent: this._isUrgent(exchange)});
	}

	private _countCut({isPassedOn, cutFacts}: Exchange, reason: string): void {
		if (isPassedOn) {
			this._metrics.recordCut(reason, cutFacts.closedBy ?? '');
		}
	}

	/** The core has counted the request as answered. */
	reportLostAnswer({requestId, deadlineMs, atMs}: LastAnswer, {socket, closingReason}: CallerConnection): void {
		if (this._state.lifecycle === 'serving' && socket.closedBy === 'caller') {
			// Callers may end with a reset what they have read.
			return;
		}

		this._log.write('request-unanswered', {
			requestId,
			reason: 'answer-cut',
			...this.describeStop(),
			outcome: 'decided',
			sinceAnswerMs: Math.round(performance.now() - atMs),
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
