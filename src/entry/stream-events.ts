/**
Splits an event stream
(https://html.spec.whatwg.org/multipage/server-sent-events.html) into complete events,
so that a truncated event is never passed on. The bytes of complete events are passed
on unchanged, with those of comments and other blocks without an event before them.
*/
import {Buffer} from 'node:buffer';
import {GrowingBuffer} from './growing-buffer.js';

export type StreamEvent = {
	/** The event, after the blocks without one that precede it. */
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
/** Limit for blocks without an event in a row. */
const IDLE_BYTES_MAX = 64 * 1024;

export class EventSplitter {
	/** Blocks without an event, and the event that has begun. */
	private readonly _pending = new GrowingBuffer();
	/** Where the block that is not complete begins. */
	private _blockStart = 0;
	/** Index before which no further empty line begins. */
	private _searchedBytes = 0;

	/** Whether a block without an event contained other lines than comments and fields. */
	hasForeignText = false;

	/** Whether an event has begun and is not complete yet. */
	get hasPartialEvent(): boolean {
		return this._pending.length > this._blockStart;
	}

	get isTooLarge(): boolean {
		return this._pending.length > EVENT_BYTES_MAX || this._blockStart > IDLE_BYTES_MAX;
	}

	/** Memory that is taken. */
	get heldBytes(): number {
		return this._pending.capacity;
	}

	/** Blocks without an event that follow the last event. */
	get trailingBlocks(): Buffer {
		return Buffer.from(this._pending.bytes.subarray(0, this._blockStart));
	}

	push(chunk: Buffer): StreamEvent[] {
		this._pending.append(chunk);
		const {bytes} = this._pending;
		const events: StreamEvent[] = [];
		let start = 0;
		let end = findBlockEnd(bytes, this._searchedBytes);
		while (end !== undefined) {
			const block = bytes.subarray(this._blockStart, end);
			if (isEvent(block)) {
				const event = Buffer.from(bytes.subarray(start, end));
				events.push({bytes: event, id: parseEventId(event)});
				start = end;
			} else {
				this.hasForeignText ||= !isIdle(block);
			}

			this._blockStart = end;
			end = findBlockEnd(bytes, end);
		}

		this._searchedBytes = Math.max(this._blockStart, bytes.length - EMPTY_LINE_BYTES_MAX) - start;
		this._blockStart -= start;
		this._pending.dropFirst(start);
		return events;
	}
}

/** Whether a block dispatches an event or sets its id. Comments, other fields and empty lines alone do neither. */
function isEvent(block: Buffer): boolean {
	return /^(?:data|id)(?::|\r?$)/mv.test(block.toString('latin1'));
}

/** Whether a block consists of comments, empty lines and fields that dispatch nothing. */
function isIdle(block: Buffer): boolean {
	return block.toString('latin1').split('\n').every(line => /^(?::|(?:event|retry)(?::|\r?$)|\r?$)/v.test(line));
}

/** Returns the index after the first empty line at or after `from`, or undefined if there is none. */
function findBlockEnd(bytes: Buffer, from: number): number | undefined {
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
