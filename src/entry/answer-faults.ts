/**
What can be wrong with the answer of a target, as log lines state it. Errors of connections
are stated by their codes.
*/
export const faultTexts = {
	'status-not-final': 'no final answer has this status',
	'request-unnamed': 'the answer on a reused connection names no request',
	'request-other': 'the answer belongs to another request',
	unsigned: 'the answer is not signed',
	encoded: 'the answer has an encoding that nobody asked for',
	'promise-unstated': 'the status promises what the target does not state',
	'answer-too-large': 'the answer is too large',
	'target-gone': 'the answer without a length ended with its connection, and its target has gone',
	'event-cut': 'the stream ended in the middle of an event',
	'event-missing': 'an event is missing',
	'event-too-large': 'an event, or what precedes it, is too large',
	'no-event': 'the rest of the stream contains what is no event',
	'no-new-event': 'the stream brings no new event',
	canceled: 'the try was canceled',
	'other-media-type': 'the rest of the stream has another media type',
} as const;

export type AnswerFault = keyof typeof faultTexts;
