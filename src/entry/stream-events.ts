/**
Splits an event stream
(https://html.spec.whatwg.org/multipage/server-sent-events.html) into complete events,
so that a truncated event is never passed on. The bytes of complete events are passed
on unchanged.
*/
import {Buffer} from 'node:buffer';
import {GrowingBuffer} from './growing-buffer.js';

export type StreamEvent = {
	readonly bytes: Buffer;
	/** The event's `id` field, undefined if it is absent or not a number. */
	readonly id: number | undefined;
};

const LINE_FEED = 0x0A;
const CARRIAGE_RETURN = 0x0D;
/** Line feed, carriage return and line feed. */
const EMPTY_LINE_BYTES_MAX = 3;
/** Targets send no larger events; a stream with one counts as broken. */
const EVENT_BYTES_MAX = 1024 * 1024;

export class EventSplitter {
	private readonly _partialEvent = new GrowingBuffer();
	/** Index before which no empty line begins. */
	private _searchedBytes = 0;

	/** Whether an event has begun and is not complete yet. */
	get hasPartialEvent(): boolean {
		return this._partialEvent.length > 0;
	}

	get isTooLarge(): boolean {
		return this._partialEvent.length > EVENT_BYTES_MAX;
	}

	push(chunk: Buffer): StreamEvent[] {
		this._partialEvent.append(chunk);
		const {bytes} = this._partialEvent;
		const events: StreamEvent[] = [];
		let start = 0;
		let end = findEventEnd(bytes, this._searchedBytes);
		while (end !== undefined) {
			const event = Buffer.from(bytes.subarray(start, end));
			events.push({bytes: event, id: parseEventId(event)});
			start = end;
			end = findEventEnd(bytes, start);
		}

		this._partialEvent.dropFirst(start);
		this._searchedBytes = Math.max(0, this._partialEvent.length - EMPTY_LINE_BYTES_MAX);
		return events;
	}
}

/** Returns the index after the first empty line at or after `from`, or undefined if there is none. */
function findEventEnd(bytes: Buffer, from: number): number | undefined {
	for (let at = bytes.indexOf(LINE_FEED, from); at !== -1; at = bytes.indexOf(LINE_FEED, at + 1)) {
		if (bytes[at + 1] === LINE_FEED) {
			return at + 2;
		}

		if (bytes[at + 1] === CARRIAGE_RETURN && bytes[at + 2] === LINE_FEED) {
			return at + 3;
		}
	}

	return undefined;
}

function parseEventId(event: Buffer): number | undefined {
	const id = /^id: ?(?<id>\d+)\r?$/mv.exec(event.toString('latin1'))?.groups?.id;
	return id === undefined ? undefined : Number(id);
}
