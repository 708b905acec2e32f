/**
Shares the event loop between connections whose peers send faster than the process can
handle. Node.js reads up to two megabytes from a socket in one round of the event loop, and
a parser handles all of it at once. Here each connection yields one chunk in a round, and
further ones only while the time for them lasts; the rest waits in its socket. A connection
that brings little, such as the events of a stream one by one, takes no turns.
*/
import {type Buffer} from 'node:buffer';
import {type Socket} from 'node:net';
import {performance} from 'node:perf_hooks';

/** Time for further chunks in a round of the event loop. */
const TURNS_MS = 5;
/** What a connection yields between two turns; a round costs processor time that each small chunk would need again. */
const FREE_BYTES = 4 * 1024;

type Turns = {
	/** Chunks that may be read. */
	granted: number;
	/** Number of the last round in which a turn was taken. */
	round: number;
	/** Bytes that were read since then. */
	freeBytes: number;
};

/** Connections whose next chunk waits, the oldest first. */
const waiting = new Map<Socket, Turns>();
let currentRound = 0;
let isRoundOpen = false;

function openRound(): void {
	if (!isRoundOpen) {
		isRoundOpen = true;
		setImmediate(endRound);
	}
}

/** Ends a round, and begins the next one with the chunks that have waited. */
function endRound(): void {
	isRoundOpen = false;
	currentRound++;
	const startedAtMs = performance.now();
	const candidates = [...waiting];
	for (const [socket, turns] of candidates) {
		if (performance.now() - startedAtMs > TURNS_MS) {
			break;
		}

		waiting.delete(socket);
		turns.granted = 1;
		socket.emit('readable');
		turns.granted = 0;
	}

	if (waiting.size > 0) {
		openRound();
	}
}

/** Has a socket yield its chunks in turns. `limitChunk` returns the size of the next one, and may destroy the socket. */
export function readInTurns(socket: Socket, limitChunk: () => number): void {
	const turns: Turns = {granted: 0, round: -1, freeBytes: 0};
	const read = socket.read.bind(socket) as (size?: number) => Buffer | null;
	socket.once('close', () => {
		waiting.delete(socket);
	});
	socket.read = size => {
		// A size is only given by Node.js itself, to have more read into the buffer.
		if (size !== undefined || socket.destroyed || socket.readableLength === 0) {
			return read(size);
		}

		if (turns.granted === 0 && turns.round === currentRound) {
			waiting.set(socket, turns);
			openRound();
			return null;
		}

		turns.granted = 0;
		const maxBytes = limitChunk() - turns.freeBytes;
		if (socket.destroyed) {
			return null;
		}

		const chunk = socket.readableLength > maxBytes ? read(maxBytes) : read();
		turns.freeBytes += chunk?.length ?? 0;
		if (turns.freeBytes >= FREE_BYTES) {
			turns.freeBytes = 0;
			turns.round = currentRound;
			openRound();
		}

		return chunk;
	};
}
