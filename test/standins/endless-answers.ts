/**
Answers without end: bytes that a faulty server sends until the other side closes the
connection, in the head, in the body, or in an event of a stream.
*/
import {Buffer} from 'node:buffer';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';

export type EndlessPart = {
	/** `headers` are the lines of a response that the other side accepts as an answer to its request. */
	readonly beginning: (headers: string) => string;
	readonly repeated: string;
};

const plainHead = (headers: string) => `HTTP/1.1 200 OK\r\n${headers}`;
const chunkedHead = (headers: string) => `${plainHead(headers)}Transfer-Encoding: chunked\r\n\r\n`;
const sizedHead = (headers: string) => `${plainHead(headers)}Content-Length: 1000000000000\r\n\r\n`;
const declinedHead = (headers: string) => `HTTP/1.1 503 Service Unavailable\r\n${headers}X-Pollenarch-Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n`;
const streamHead = (headers: string) => `${plainHead(headers)}Content-Type: text/event-stream\r\nConnection: close\r\n\r\n`;

export const endlessHeads = {
	'status line': {beginning: () => 'HTTP/1.1 200 ', repeated: 'O'},
	'header value': {beginning: () => 'HTTP/1.1 200 OK\r\nX-A: ', repeated: 'a'},
	'spaces before a header value': {beginning: () => 'HTTP/1.1 200 OK\r\nX-A:', repeated: ' '},
	'header lines': {beginning: () => 'HTTP/1.1 200 OK\r\n', repeated: 'X-A: a\r\n'},
	'interim responses': {beginning: () => '', repeated: 'HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n'},
	'empty lines before the status line': {beginning: () => '', repeated: '\r\n'},
} as const satisfies Readonly<Record<string, EndlessPart>>;

export const endlessBodies = {
	'body with a length': {beginning: sizedHead, repeated: 'a'},
	'body without a length': {beginning: headers => `${plainHead(headers)}Connection: close\r\n\r\n`, repeated: 'a'},
	'body in chunks of one byte': {beginning: chunkedHead, repeated: '1\r\na\r\n'},
	'body in chunks of three bytes': {beginning: chunkedHead, repeated: '3\r\naaa\r\n'},
	'chunk size': {beginning: headers => `${chunkedHead(headers)}5\r\nhello\r\n`, repeated: '0'},
	'chunk extension': {beginning: headers => `${chunkedHead(headers)}5;a=`, repeated: 'a'},
	trailers: {beginning: headers => `${chunkedHead(headers)}5\r\nhello\r\n0\r\n`, repeated: 'X-A: a\r\n'},
	'spaces in a trailer': {beginning: headers => `${chunkedHead(headers)}5\r\nhello\r\n0\r\nX-A:`, repeated: ' '},
} as const satisfies Readonly<Record<string, EndlessPart>>;

export const endlessStreams = {
	comment: {beginning: headers => `${streamHead(headers)}:`, repeated: 'a'},
	comments: {beginning: streamHead, repeated: ':\n\n'},
	'blank lines': {beginning: streamHead, repeated: '\n'},
	'fields without data': {beginning: streamHead, repeated: 'retry: 10\n\n'},
	event: {beginning: headers => `${streamHead(headers)}id: 1\ndata: `, repeated: 'a'},
	'event in chunks of one byte': {beginning: headers => `${chunkedHead(headers)}c\r\nid: 1\ndata: \r\n`, repeated: '1\r\na\r\n'},
	'first event again': {beginning: streamHead, repeated: 'id: 1\ndata: token 1\n\n'},
} as const satisfies Readonly<Record<string, EndlessPart>>;

export const otherEndlessAnswers = {
	'body of a declined request': {beginning: declinedHead, repeated: '8\r\ndeclined\r\n'},
	'body of an unsigned answer': {beginning: () => sizedHead(''), repeated: 'a'},
	'bytes after an answer': {beginning: headers => `${plainHead(headers)}Content-Length: 5\r\n\r\nhello`, repeated: 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother'},
	'empty lines after an answer': {beginning: headers => `${plainHead(headers)}Content-Length: 5\r\n\r\nhello`, repeated: '\r\n'},
} as const satisfies Readonly<Record<string, EndlessPart>>;

export const endlessAnswers = {
	...endlessHeads, ...endlessBodies, ...endlessStreams, ...otherEndlessAnswers,
};

export type EndlessKind = keyof typeof endlessAnswers;

/** `fast`: as fast as the other side reads. `slow`: one repetition in `SLOW_INTERVAL_MS`. `burst`: `BURST_BYTES`, then slow. */
export type Pace = 'fast' | 'slow' | 'burst';

const SLOW_INTERVAL_MS = 10;
const WRITE_BYTES = 16 * 1024;
const BURST_BYTES = 900 * 1024;
const fastBytesOf: Readonly<Record<Pace, number>> = {fast: Number.POSITIVE_INFINITY, slow: 0, burst: BURST_BYTES};

export type EndlessOptions = {
	readonly headers?: string;
	readonly pace?: Pace;
	/** Bytes of one write at the fast pace. */
	readonly writeBytes?: number;
};

/** Sends until the connection is closed. */
export async function sendWithoutEnd(socket: Socket, {beginning, repeated}: EndlessPart, {headers = '', pace = 'fast', writeBytes = WRITE_BYTES}: EndlessOptions = {}): Promise<void> {
	socket.on('error', () => undefined);
	socket.write(beginning(headers));
	const single = Buffer.from(repeated);
	const many = Buffer.from(repeated.repeat(Math.ceil(writeBytes / repeated.length)));
	let fastBytes = fastBytesOf[pace];
	while (!socket.destroyed && socket.writable) {
		if (fastBytes <= 0) {
			socket.write(single);
			await delay(SLOW_INTERVAL_MS);
			continue;
		}

		fastBytes -= many.length;
		if (!socket.write(many)) {
			await new Promise<void>(resolve => {
				socket.once('drain', resolve);
				socket.once('close', resolve);
			});
		}
	}
}

/** Answers everything that arrives on any connection with the same endless bytes. */
export class EndlessServer {
	address = '';
	/** Bytes that were handed to connections that are closed now. */
	closedBytes = 0;
	/** Number of connections on which it is sending. A client may have others, which are idle. */
	openConnections = 0;
	private readonly _sockets = new Set<Socket>();
	private readonly _server = createServer(socket => {
		this._sockets.add(socket);
		socket.on('error', () => undefined);
		socket.on('close', () => {
			this.closedBytes += socket.bytesWritten;
			this._sockets.delete(socket);
		});
		socket.once('data', () => {
			void this._answer(socket);
		});
	});

	constructor(private readonly _part: EndlessPart, private readonly _pace: Pace = 'fast') {}

	async start(): Promise<this> {
		await new Promise<void>(resolve => {
			this._server.listen(0, '127.0.0.1', resolve);
		});
		this.address = `127.0.0.1:${(this._server.address() as AddressInfo).port}`;
		return this;
	}

	stop(): void {
		for (const socket of this._sockets) {
			socket.destroy();
		}

		this._server.close();
	}

	private async _answer(socket: Socket): Promise<void> {
		this.openConnections++;
		await sendWithoutEnd(socket, this._part, {pace: this._pace});
		this.openConnections--;
	}
}
