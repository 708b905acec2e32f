/**
A connection of a caller: the requests on it whose responses are not flushed, and whether
more has been received than these requests.
*/
import {type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';

export class CallerConnection {
	/** Requests whose heads have been read. */
	requests = 0;
	/** Requests whose responses are not flushed yet. */
	open = 0;
	/** Bytes that had been received when the last response was flushed; more mean that another request has begun. */
	private _answeredBytes = 0;

	constructor(readonly socket: Socket) {}

	/** Whether nothing is under way, as far as this process has read. */
	get isIdle(): boolean {
		return this.open === 0 && this.socket.bytesRead === this._answeredBytes;
	}

	/** Bytes of a request whose head is not complete. */
	get unansweredBytes(): number {
		return this.open === 0 ? this.socket.bytesRead - this._answeredBytes : 0;
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
