/**
Structured log on standard output, bounded by construction: past a number of lines a
second those of requests that went well are left out, past a second one all are, and
what was left out is counted in a line of its own. Writing never waits for a reader.
*/
import {pino, type DestinationStream, type Logger} from 'pino';
import {logEvents, type LogEventName} from '../core/log-events.js';
import {type Clock} from '../core/clock.js';

/** Lines a second up to which all are written, and up to which those are that are not about a request that went well. */
const ROUTINE_LINES_PER_SECOND = 60;
const LINES_PER_SECOND = 150;
/** One or two for each request; everything else is a failure or a change of what the instance believes. */
const routineEvents: ReadonlySet<LogEventName> = new Set(['try-sent', 'request-answered']);
/** Bytes held for a reader that does not read; more are dropped. */
const BUFFERED_BYTES_MAX = 512 * 1024;
const BATCH_BYTES = 4096;

type Fields = Readonly<Record<string, unknown>>;

export type EntryLogOptions = {
	readonly level: string;
	readonly instanceId: string;
	readonly clock: Clock;
	readonly destination?: DestinationStream;
};

export class EntryLog {
	private readonly _logger: Logger;
	private readonly _clock: Clock;
	private readonly _flush: () => void;
	private _currentSecond = 0;
	private _linesThisSecond = 0;
	private _droppedUnreported = 0;
	private _droppedTotal = 0;
	private _observer: (event: LogEventName, fields: Fields) => void = () => undefined;

	constructor({level, instanceId, clock, destination}: EntryLogOptions) {
		const standardOutput = destination
			? undefined
			: pino.destination({
				fd: 1, sync: false, minLength: BATCH_BYTES, maxLength: BUFFERED_BYTES_MAX,
			});
		standardOutput?.on('error', () => {
			// Nobody reads the log any more; serving goes on without it.
		});
		this._logger = pino({level, base: {instance: instanceId}}, destination ?? standardOutput!);
		this._clock = clock;
		this._flush = () => {
			try {
				standardOutput?.flush();
			} catch {
				// Standard output is closed; serving goes on without a log.
			}
		};
	}

	/** Lines left out since the start. */
	get droppedLines(): number {
		return this._droppedTotal;
	}

	/** Has every event seen before lines are left out. */
	setObserver(observer: (event: LogEventName, fields: Fields) => void): void {
		this._observer = observer;
	}

	write(event: LogEventName, fields: Fields): void {
		this._observer(event, fields);
		const {number, level} = logEvents[event];
		if (!this._consumeLineQuota(routineEvents.has(event))) {
			this._droppedUnreported++;
			this._droppedTotal++;
			return;
		}

		this._logger[level]({event: number, ...fields}, event);
	}

	flush(): void {
		this._flush();
	}

	private _consumeLineQuota(isRoutine: boolean): boolean {
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

		if (this._linesThisSecond >= (isRoutine ? ROUTINE_LINES_PER_SECOND : LINES_PER_SECOND)) {
			return false;
		}

		this._linesThisSecond++;
		return true;
	}
}
