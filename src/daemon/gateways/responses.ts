/**
Reads responses of targets: bodies are buffered up to a limit, event streams are forwarded
event by event, so that a stream which breaks inside an event can be resumed.
*/
import {Buffer} from 'node:buffer';
import {type Dispatcher} from 'undici';
import {createParser} from 'eventsource-parser';
import {bodilessStatuses} from './final-status.js';
import {type TrySink, type BufferedResponse} from './types.js';

/** Responses up to this size are buffered until they are complete, so that the caller sees nothing of a failed try. */
const MAX_BUFFERED_BYTES = 1024 * 1024;

/** Terminator of an OpenAI event stream (https://platform.openai.com/docs/api-reference/streaming). */
const STREAM_TERMINATOR = '[DONE]';

type Body = Dispatcher.ResponseData['body'];

export function contentTypeOf(headers: Dispatcher.ResponseData['headers']): string {
	const value = headers['content-type'];
	return (Array.isArray(value) ? value[0] : value) ?? 'application/octet-stream';
}

/** Whether a response has a body with neither a length nor chunks, which ends with its connection (RFC 9112, section 6.3). */
export function endsWithConnection(method: string, {statusCode, headers}: Dispatcher.ResponseData): boolean {
	return method !== 'HEAD' && !bodilessStatuses.has(statusCode) && headers['content-length'] === undefined && headers['transfer-encoding'] === undefined;
}

/** Reads a response to its end. One above the limit is forwarded to the sink as it arrives, and the result is undefined. */
export async function readResponse(response: Dispatcher.ResponseData, sink: TrySink): Promise<BufferedResponse | undefined> {
	const contentType = contentTypeOf(response.headers);
	const chunks: Buffer[] = [];
	let bufferedBytes = 0;
	let isForwarding = false;
	for await (const chunk of response.body as AsyncIterable<Buffer>) {
		if (isForwarding) {
			await sink.bytes(response.statusCode, contentType, chunk);
			continue;
		}

		chunks.push(chunk);
		bufferedBytes += chunk.length;
		if (bufferedBytes > MAX_BUFFERED_BYTES) {
			isForwarding = true;
			await sink.bytes(response.statusCode, contentType, Buffer.concat(chunks));
			chunks.length = 0;
		}
	}

	return isForwarding ? undefined : {status: response.statusCode, contentType, body: Buffer.concat(chunks)};
}

/** Forwards complete events to the sink. Resolves to whether the stream ended with its terminator. */
export async function forwardEvents(body: Body, sink: TrySink): Promise<boolean> {
	let events: string[] = [];
	let hasTerminator = false;
	const parser = createParser({
		onEvent({data}) {
			if (data === STREAM_TERMINATOR) {
				hasTerminator = true;
			} else if (!hasTerminator) {
				events.push(data);
			}
		},
	});
	const decoder = new TextDecoder();
	for await (const chunk of body as AsyncIterable<Buffer>) {
		parser.feed(decoder.decode(chunk, {stream: true}));
		if (events.length > 0) {
			const batch = events;
			events = [];
			await sink.events(batch);
		}
	}

	return hasTerminator;
}
