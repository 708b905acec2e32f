/**
Callers outside the limits: each opens a connection, sends what its form says and stays,
whatever is answered, without reading it.
*/
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';

const BODY_BYTES = 1_000_000;
const PIECE_BYTES = 20_000;
const PIECE_PAUSE_MS = 30;
const CHUNKS = 300_000;
const REQUESTS_AHEAD = 20_000;
/** What a connection has yet to take is written in parts of this size. */
const PART_BYTES = 64 * 1024;

function head(id: string, framing: string): string {
	return `POST /sign/1 HTTP/1.1\r\nHost: a.example\r\nX-Pollenarch-Request-Id: ${id}\r\nX-Pollenarch-Request-Deadline: 600000\r\n${framing}\r\n\r\n`;
}

/** What each caller sends, and how much of it at once. */
type Form = {
	readonly bytes: (id: string) => Buffer;
	readonly partBytes?: number;
	readonly pauseMs?: number;
};

const shortBody = (id: string) => Buffer.concat([Buffer.from(head(id, `Content-Length: ${BODY_BYTES}`)), Buffer.alloc(BODY_BYTES - 1, 'x')]);
const smallChunks = Buffer.from('1\r\nx\r\n'.repeat(CHUNKS));

export const crowdForms = {
	'bodies with a length, short of their end': {bytes: shortBody},
	'bodies with a length in pieces, short of their end': {bytes: shortBody, partBytes: PIECE_BYTES, pauseMs: PIECE_PAUSE_MS},
	'bodies of one large chunk, short of their end': {
		bytes: id => Buffer.concat([Buffer.from(`${head(id, 'Transfer-Encoding: chunked')}${BODY_BYTES.toString(16)}\r\n`), Buffer.alloc(BODY_BYTES - 1, 'x')]),
	},
	'bodies of chunks of one byte, short of their end': {bytes: id => Buffer.concat([Buffer.from(head(id, 'Transfer-Encoding: chunked')), smallChunks])},
	'requests sent ahead for a path without a route, answers unread': {
		bytes: id => Buffer.from(Array.from({length: REQUESTS_AHEAD}, (_, index) => `GET /nowhere HTTP/1.1\r\nHost: a.example\r\nX-Pollenarch-Request-Id: ${id}-${index}\r\n\r\n`).join('')),
	},
	'heads short of their end': {bytes: id => Buffer.from(head(id, 'Content-Length: 1').slice(0, -2))},
} as const satisfies Record<string, Form>;

export type CrowdForm = keyof typeof crowdForms;

/** Until the connection takes more, or is closed. */
async function untilTaken(socket: Socket): Promise<void> {
	try {
		await Promise.race([once(socket, 'drain'), once(socket, 'close')]);
	} catch {
		// Reset by the process.
	}
}

export class CallerCrowd {
	private readonly _sockets: Socket[] = [];
	private _isOver = false;

	constructor(private readonly _port: number) {}

	/** Resolves once everything was sent that the process takes; `limitMs` ends the wait for what it does not take. */
	async send(form: CrowdForm, count: number, limitMs: number): Promise<void> {
		const {bytes, partBytes = PART_BYTES, pauseMs = 0}: Form = crowdForms[form];
		const sending = Array.from({length: count}, async (_, index) => {
			const socket = connect(this._port, '127.0.0.1');
			this._sockets.push(socket);
			socket.on('error', () => undefined);
			socket.pause();
			const all = bytes(`crowd-${process.pid}-${index}`);
			for (let from = 0; from < all.length && !socket.destroyed && !this._isOver; from += partBytes) {
				if (!socket.write(all.subarray(from, from + partBytes))) {
					await untilTaken(socket);
				}

				if (pauseMs > 0) {
					await delay(pauseMs);
				}
			}
		});
		await Promise.race([Promise.all(sending), delay(limitMs, undefined, {ref: false})]);
	}

	leave(): void {
		this._isOver = true;
		for (const socket of this._sockets) {
			socket.destroy();
		}
	}
}
