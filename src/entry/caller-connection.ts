/**
A connection of a caller: the requests on it whose responses are not flushed, and whether
more has been received than these requests.
*/
import {type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';

/** Callers send as soon as their connection is open. */
const FIRST_REQUEST_MS = 250;

export class CallerConnection {
	/** Requests whose heads have been read. */
	requests = 0;
	/** Requests whose responses are not flushed yet. */
	open = 0;
	/** Bytes that had been received when the last response was flushed; more mean that another request has begun. */
	private _answeredBytes = 0;

	/** `acceptedAtMs`: by the clock that {@link isUsed} is given. */
	constructor(readonly socket: Socket, private readonly _acceptedAtMs: number) {}

	/** Whether nothing is under way, as far as this process has read. */
	get isIdle(): boolean {
		return this.open === 0 && this.socket.bytesRead === this._answeredBytes;
	}

	/** Bytes of a request whose head is not complete. */
	get unansweredBytes(): number {
		return this.open === 0 ? this.socket.bytesRead - this._answeredBytes : 0;
	}

	/** Whether its caller may be about to send its first request, or has something under way. */
	isUsed(nowMs: number): boolean {
		return !this.isIdle || (this.requests === 0 && nowMs - this._acceptedAtMs < FIRST_REQUEST_MS);
	}

	beginRequest(response: ServerResponse): void {
		this.requests++;
		this.open++;
		response.once('close', () => {
			this.open--;
			this._answeredBytes = this.socket.bytesRead;
		});
	}
}
