/**
Structured log on standard output, bounded by construction: past a number of lines a
second those of requests that went well are left out, past a second one all are, and
what was left out is counted in a line of its own. Writing never waits for a reader.
*/
import {pino, type DestinationStream, type Logger} from 'pino';
import {logEvents, type LogEventName} from '../core/log-events.js';
import {type Clock} from '../core/clock.js';

/** Lines a second up to which all are written, and up to which those are that are not about a request that went well. */
const ALL_LINES = 60;
const IMPORTANT_LINES = 150;
/** One or two for each request; everything else is a failure or a change of what the instance believes. */
const routineEvents: ReadonlySet<LogEventName> = new Set(['try-sent', 'request-answered']);
/** Bytes held for a reader that does not read; more are dropped. */
const HELD_BYTES_MAX = 512 * 1024;
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
	private _second = 0;
	private _lines = 0;
	private _leftOut = 0;
	private _leftOutTotal = 0;
	private _observe: (event: LogEventName, fields: Fields) => void = () => undefined;

	constructor({level, instanceId, clock, destination}: EntryLogOptions) {
		const standardOutput = destination
			? undefined
			: pino.destination({
				fd: 1, sync: false, minLength: BATCH_BYTES, maxLength: HELD_BYTES_MAX,
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
	get leftOut(): number {
		return this._leftOutTotal;
	}

	/** Has every event seen before lines are left out. */
	observe(observer: (event: LogEventName, fields: Fields) => void): void {
		this._observe = observer;
	}

	write(event: LogEventName, fields: Fields): void {
		this._observe(event, fields);
		const {number, level} = logEvents[event];
		if (!this._admits(routineEvents.has(event))) {
			this._leftOut++;
			this._leftOutTotal++;
			return;
		}

		this._logger[level]({event: number, ...fields}, event);
	}

	flush(): void {
		this._flush();
	}

	private _admits(isRoutine: boolean): boolean {
		const second = Math.floor(this._clock.monotonicMs() / 1000);
		if (second !== this._second) {
			this._second = second;
			this._lines = 0;
			if (this._leftOut > 0) {
				const {number, level} = logEvents['lines-left-out'];
				this._logger[level]({event: number, lines: this._leftOut}, 'lines-left-out');
				this._leftOut = 0;
			}
		}

		if (this._lines >= (isRoutine ? ALL_LINES : IMPORTANT_LINES)) {
			return false;
		}

		this._lines++;
		return true;
	}
}
