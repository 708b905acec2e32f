/**
Splits the bytes of an event stream
(https://html.spec.whatwg.org/multipage/server-sent-events.html) into whole events,
so that an event which breaks off in its middle is never passed on. The bytes of
whole events are passed on unchanged.
*/
import {Buffer} from 'node:buffer';

export type StreamEvent = {
	readonly bytes: Buffer;
	/** The event's `id`, undefined when it has none or it is no number. */
	readonly id: number | undefined;
};

const LINE_FEED = 0x0A;
const CARRIAGE_RETURN = 0x0D;
/** Larger events are not of this protocol; the stream is taken for broken. */
const EVENT_BYTES_MAX = 1024 * 1024;

export class EventSplitter {
	private _partialEvent: Buffer = Buffer.alloc(0);

	/** Whether an event has begun and not ended. */
	get hasPartialEvent(): boolean {
		return this._partialEvent.length > 0;
	}

	get isTooLarge(): boolean {
		return this._partialEvent.length > EVENT_BYTES_MAX;
	}

	push(chunk: Buffer): StreamEvent[] {
		const bytes = this._partialEvent.length > 0 ? Buffer.concat([this._partialEvent, chunk]) : chunk;
		const events: StreamEvent[] = [];
		let start = 0;
		for (let end = findEventEnd(bytes, start); end !== -1; end = findEventEnd(bytes, start)) {
			const event = bytes.subarray(start, end);
			events.push({bytes: event, id: parseEventId(event)});
			start = end;
		}

		this._partialEvent = bytes.subarray(start);
		return events;
	}
}

/** Index after the empty line that ends the event which begins at `start`, -1 when it has not ended. */
function findEventEnd(bytes: Buffer, start: number): number {
	for (let at = bytes.indexOf(LINE_FEED, start); at !== -1; at = bytes.indexOf(LINE_FEED, at + 1)) {
		if (bytes[at + 1] === LINE_FEED) {
			return at + 2;
		}

		if (bytes[at + 1] === CARRIAGE_RETURN && bytes[at + 2] === LINE_FEED) {
			return at + 3;
		}
	}

	return -1;
}

function parseEventId(event: Buffer): number | undefined {
	const id = /^id: ?(?<id>\d+)\r?$/mv.exec(event.toString('latin1'))?.groups?.id;
	return id === undefined ? undefined : Number(id);
}
