/**
Structured log on standard output with a limited rate. Above a first limit of lines per
second, lines about successful requests are dropped; above a second one, all lines are but those
that alone tell why a request got no answer or an error of this instance, which have a limit of their own.
A line of its own reports how many were dropped. Urgent lines, which tell how requests that were passed on ended
without a whole answer and what a stop does, are written at once whatever else is. Writing never blocks on the reader.
*/
import {pino, type DestinationStream, type Logger} from 'pino';
import {needsOperator} from '../core/entry/end-reasons.js';
import {logEvents, type LogEvent, type LogEventName} from '../core/log-events.js';
import {type Clock} from '../core/clock.js';
import {LogOutput} from './log-output.js';

/** Line rate up to which routine events are written, and up to which all other events are. */
const ROUTINE_LINES_PER_SECOND = 60;
const LINES_PER_SECOND = 150;
/** Line rate of the events that say why a request was refused or not answered. */
const ESSENTIAL_LINES_PER_SECOND = 500;
/** Written once or twice per request. All other events are failures or changes in what the instance knows. */
const routineEvents: ReadonlySet<LogEventName> = new Set(['try-sent', 'request-answered']);
const essentialEvents: ReadonlySet<LogEventName> = new Set(['request-refused', 'request-ended', 'request-unanswered', 'relay-unrecognized', 'effect-failed', 'task-failed', 'peer-request-cut', 'peer-requests-unnamed']);
/** Each written some times in a process, or a few times a second. */
const urgentEvents: ReadonlySet<LogEventName> = new Set(['daemon-started', 'daemon-draining', 'daemon-stopped', 'daemon-closed', 'requests-open', 'process-late', 'first-request', 'first-seconds']);
/** How long the end of the process waits for a reader that is slow. */
const LAST_FLUSH_MS = 100;

type Fields = Readonly<Record<string, unknown>>;

export type EntryLogOptions = {
	readonly level: string;
	readonly instanceId: string;
	readonly clock: Clock;
	readonly destination?: DestinationStream;
	readonly output?: LogOutput;
};

export type LineOptions = {
	/** Whether the line is written at once and no limit of the rate of lines drops it. The number of such lines has to be bounded by their cause. */
	readonly isUrgent?: boolean;
};

export class EntryLog {
	private readonly _logger: Logger;
	private readonly _clock: Clock;
	private readonly _output: LogOutput | undefined;
	private _isUrgent = false;
	private _currentSecond = 0;
	private _linesThisSecond = 0;
	private _droppedUnreported = 0;
	private _droppedTotal = 0;
	private _observer: (event: LogEventName, fields: Fields) => void = () => undefined;

	constructor({level, instanceId, clock, destination, output}: EntryLogOptions) {
		const written = output ?? (destination ? undefined : new LogOutput());
		this._output = written;
		this._logger = pino({level, base: {instance: instanceId}}, written
			? {
				write: line => {
					if (this._isUrgent) {
						written.writeUrgent(line);
					} else {
						written.write(line);
					}
				},
			}
			: destination!);
		this._clock = clock;
	}

	/** Number of lines dropped since the start. */
	get droppedLines(): number {
		return this._droppedTotal + (this._output?.droppedLines ?? 0);
	}

	/** Sets the observer, which receives every event, also those whose lines are dropped. */
	setObserver(observer: (event: LogEventName, fields: Fields) => void): void {
		this._observer = observer;
	}

	write(event: LogEventName, fields: Fields, {isUrgent = urgentEvents.has(event)}: LineOptions = {}): void {
		this._observer(event, fields);
		const {number, level, levelOfOthers = level}: LogEvent = logEvents[event];
		if (!isUrgent && !this._consumeLineQuota(event)) {
			this._droppedUnreported++;
			this._droppedTotal++;
			return;
		}

		this._isUrgent = isUrgent;
		const needsNobody = typeof fields.reason === 'string' && !needsOperator(fields.reason);
		this._logger[needsNobody ? levelOfOthers : level]({event: number, ...fields}, event);
		this._isUrgent = false;
	}

	/** Hands over what has been written, as far as the reader takes it. */
	flush(): void {
		this._output?.flush();
	}

	/** The same for a process that is about to end: waits for a reader that is slow, for a short time. */
	flushNow(): void {
		this._output?.flushNow(LAST_FLUSH_MS);
	}

	private _consumeLineQuota(event: LogEventName): boolean {
		const second = Math.floor(this._clock.monotonicMs() / 1000);
		if (second !== this._currentSecond) {
			this._currentSecond = second;
			this._linesThisSecond = 0;
			if (this._droppedUnreported > 0) {
				const {number, level} = logEvents['lines-left-out'];
				this._logger[level]({event: number, lines: this._droppedUnreported}, 'lines-left-out');
				this._droppedUnreported = 0;
			}
		}

		if (this._linesThisSecond >= linesPerSecond(event)) {
			return false;
		}

		this._linesThisSecond++;
		return true;
	}
}

function linesPerSecond(event: LogEventName): number {
	if (routineEvents.has(event)) {
		return ROUTINE_LINES_PER_SECOND;
	}

	return essentialEvents.has(event) ? ESSENTIAL_LINES_PER_SECOND : LINES_PER_SECOND;
}
