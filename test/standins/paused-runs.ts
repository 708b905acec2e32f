/**
Handlers of runners that are sound and pause, and of runners that do not take over what is
moved to them. A path names the kind of request, the events before the pause, and the pause
in milliseconds: `/ask/3/1500`.
*/
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {type RunHandler} from './stopping-process.js';

export const EVENTS = 8;
const EVENT_INTERVAL_MS = 40;
const EVENT_STREAM = {'content-type': 'text/event-stream'} as const;

type PausedRun = {
	readonly isStream: boolean;
	readonly eventsBefore: number;
	readonly pauseMs: number;
};

function parsePath({url = ''}: IncomingMessage): PausedRun {
	const [, name, eventsBefore, pauseMs] = url.split('/');
	return {isStream: name !== 'read', eventsBefore: Number(eventsBefore), pauseMs: Number(pauseMs)};
}

async function writeEvents(response: ServerResponse, from: number, to: number): Promise<void> {
	for (let event = from; event <= to && !response.destroyed; event++) {
		response.write(`id: ${event}\ndata: x\n\n`);
		await delay(EVENT_INTERVAL_MS);
	}
}

/** Sound: pauses once, and goes on to a whole answer. */
export const pause: RunHandler = async (request, response, headers) => {
	const {isStream, eventsBefore, pauseMs} = parsePath(request);
	if (!isStream) {
		await delay(pauseMs);
		response.writeHead(200, headers).end('done');
		return;
	}

	const from = Number(request.headers['last-event-id'] ?? 0) + 1;
	response.writeHead(200, {...headers, ...EVENT_STREAM});
	await writeEvents(response, from, eventsBefore);
	await delay(pauseMs);
	await writeEvents(response, Math.max(from, eventsBefore + 1), EVENTS);
	response.end();
};

/** What may become of a request that is moved to a runner. */
export type MoveResult = 'fails' | 'is reset' | 'is reset inside an event' | 'is declined' | 'is never answered' | 'is served';

export const moveHandlers: Readonly<Record<MoveResult, RunHandler>> = {
	fails(_request, response, headers) {
		response.writeHead(500, headers).end('failed');
	},
	'is reset'(request) {
		request.socket.resetAndDestroy();
	},
	async 'is reset inside an event'(request, response, headers) {
		const last = Number(request.headers['last-event-id'] ?? 0);
		response.writeHead(200, {...headers, ...EVENT_STREAM});
		response.write(`id: ${last + 1}\nda`);
		await delay(EVENT_INTERVAL_MS);
		request.socket.resetAndDestroy();
	},
	'is declined'(_request, response, headers) {
		response.writeHead(503, {'x-pollenarch-request-id': headers['x-pollenarch-request-id'], 'x-pollenarch-not-executed': '1'}).end();
	},
	'is never answered'() {
		// Its connection stays open.
	},
	async 'is served'(request, response, headers) {
		const {isStream} = parsePath(request);
		if (!isStream) {
			response.writeHead(200, headers).end('done');
			return;
		}

		response.writeHead(200, {...headers, ...EVENT_STREAM});
		await writeEvents(response, Number(request.headers['last-event-id'] ?? 0) + 1, EVENTS);
		response.end();
	},
};
