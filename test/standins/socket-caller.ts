/**
A caller that writes its requests on a connection of its own, and whose sending side and
connection can be closed apart.
*/
import {connect, type Socket} from 'node:net';
import {performance} from 'node:perf_hooks';

export type Framing = 'length' | 'chunks';

const framings: Readonly<Record<Framing, string>> = {
	length: 'Content-Length: 4\r\n\r\nbody',
	chunks: 'Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n',
};

export type SocketRequest = {
	readonly path: string;
	readonly id: string;
	readonly framing?: Framing;
	readonly version?: '1.0' | '1.1';
	readonly headers?: readonly string[];
};

export class SocketCaller {
	readonly socket: Socket;
	text = '';
	leftAtMs = Number.POSITIVE_INFINITY;
	/** When the instance's side ended, or the connection closed. */
	endedAtMs = Number.POSITIVE_INFINITY;
	/** Code of the error by which the connection ended. */
	error = '';

	constructor(port: number) {
		this.socket = connect({
			port, host: '127.0.0.1', allowHalfOpen: true, noDelay: true,
		});
		this.socket.on('data', data => {
			this.text += data.toString('latin1');
		});
		this.socket.on('error', (error: NodeJS.ErrnoException) => {
			this.error = error.code ?? error.message;
		});
		for (const event of ['end', 'close']) {
			this.socket.once(event, () => {
				this.endedAtMs = Math.min(this.endedAtMs, performance.now());
			});
		}
	}

	send({path, id, framing = 'length', version = '1.1', headers = []}: SocketRequest): this {
		this.socket.write([
			`POST ${path} HTTP/${version}`, 'Host: a.example', `X-Pollenarch-Request-Id: ${id}`, 'X-Pollenarch-Request-Deadline: 20000', ...headers, framings[framing],
		].join('\r\n'));
		return this;
	}

	/** Closes the sending side only. */
	end(): void {
		this.socket.end();
	}

	/** Closes the connection. */
	leave(): void {
		this.leftAtMs = performance.now();
		this.socket.destroy();
	}

	/** Interim responses that have arrived. */
	get interims(): number {
		return this.text.split(/HTTP\/1\.1 1\d\d /v).length - 1;
	}

	/** Number of final responses that have arrived whole: with a length, or in chunks. */
	get answers(): number {
		let rest = this.text;
		let answers = 0;
		for (;;) {
			const headEnd = rest.indexOf('\r\n\r\n');
			if (headEnd === -1) {
				return answers;
			}

			const head = rest.slice(0, headEnd + 2);
			rest = rest.slice(headEnd + 4);
			if (head.startsWith('HTTP/1.1 1')) {
				continue;
			}

			const length = /\r\ncontent-length: (?<bytes>\d+)\r\n/iv.exec(head)?.groups?.bytes;
			const end = length === undefined ? rest.indexOf('0\r\n\r\n') + 5 : Number(length);
			if (end < 5 && length === undefined) {
				return answers;
			}

			if (rest.length < end) {
				return answers;
			}

			rest = rest.slice(end);
			answers++;
		}
	}
}
