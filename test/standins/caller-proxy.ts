/**
Stands for a proxy before an instance: it keeps a few connections, on which it sends the
requests of many callers one after the other, and sends a request once more on a new
connection if the one that it had kept closes before any byte of the answer.
*/
import {Buffer} from 'node:buffer';
import {connect, type Socket} from 'node:net';
import {performance} from 'node:perf_hooks';

const DEADLINE_MS = 20_000;
const LINE_END = '\r\n';
const HEAD_END = '\r\n\r\n';
const BODY = 'a body that a proxy passes on';

/** How a proxy writes a request. */
export type Form = {
	readonly version?: '1.0' | '1.1';
	/** Whether the target of the request is a whole URL. */
	readonly isAbsolute?: boolean;
	readonly headers?: readonly string[];
	/** Lengths of the chunks of the body, the rest in a last one; a body with a length if absent. */
	readonly chunkBytes?: readonly number[];
	readonly trailers?: readonly string[];
	/** Whether the body waits for `100 Continue`. */
	readonly expectsContinue?: boolean;
	/** Whether the proxy asks for the connection to be closed after the answer. */
	readonly closes?: boolean;
	/** Time between the pieces of the body. */
	readonly pieceGapMs?: number;
};

/** The same request as proxies write it. */
export const forms: Readonly<Record<string, Form>> = {
	'with a length': {},
	'in chunks of other lengths': {chunkBytes: [1, 7, 3]},
	'in chunks that arrive one after the other': {chunkBytes: [5, 5, 5], pieceGapMs: 20},
	'with trailers': {chunkBytes: [9], headers: ['Trailer: X-Checksum'], trailers: ['X-Checksum: 1']},
	'with Expect: 100-continue': {expectsContinue: true},
	'with Connection: keep-alive': {headers: ['Connection: keep-alive', 'Keep-Alive: timeout=5']},
	'with Connection: close': {closes: true},
	'in HTTP/1.0 with Connection: keep-alive': {version: '1.0', headers: ['Connection: keep-alive']},
	'in HTTP/1.0': {version: '1.0', closes: true},
	'with an absolute target': {isAbsolute: true},
	'with the headers of proxies': {
		headers: [
			'Via: 1.1 proxy.example, 1.0 other.example', 'X-Forwarded-For: 192.0.2.7, 198.51.100.1', 'X-Forwarded-Proto: https', 'Forwarded: for=192.0.2.7;proto=https',
		],
	},
};

/** How a request ended for its caller. */
export type ProxiedOutcome = {
	/** Of the last try. */
	id: string;
	readonly path: string;
	readonly form: string;
	readonly sentAtMs: number;
	endedAtMs: number;
	status: number | undefined;
	isWhole: boolean;
	body: string;
	error: string;
	/** Ids of the tries that ended before any byte of the answer on a connection that was kept. Each try has an id of its own. */
	readonly unanswered: string[];
	/** Whether the answer says that the connection closes. */
	saysClose: boolean;
};

export type CallerProxyOptions = {
	readonly port: number;
	readonly connections: number;
	/** Time after which it closes a connection on which nothing is sent; never if absent. */
	readonly idleTimeoutMs?: number;
	/** Of its callers. */
	readonly deadlineMs?: number;
	/** Of the ids of its requests. */
	readonly idPrefix?: string;
};

export class CallerProxy {
	private readonly _connections = new Set<ProxyConnection>();
	private readonly _waiting: Array<() => void> = [];
	private _requests = 0;

	constructor(private readonly _options: CallerProxyOptions) {}

	/** Resolves to the time after which the other side closes a connection on which nothing is sent after an answer. */
	async measureIdleTimeout(path: string): Promise<number> {
		const {endedAtMs} = await this.call(path);
		const [connection] = this._connections;
		return new Promise(resolve => {
			connection!.socket.once('end', () => {
				resolve(performance.now() - endedAtMs);
			});
		});
	}

	/** Opens connections on which nothing is sent yet. */
	openAhead(count: number): void {
		for (let opened = 0; opened < count; opened++) {
			this._open().isAhead = true;
		}
	}

	close(): void {
		for (const connection of this._connections) {
			connection.socket.destroy();
		}
	}

	/** Sends a request in a form of `forms`, on a connection that is free. */
	async call(path: string, form = 'with a length'): Promise<ProxiedOutcome> {
		this._requests++;
		const id = `${this._options.idPrefix ?? 'p'}${this._requests}`;
		const outcome: ProxiedOutcome = {
			id, path, form, sentAtMs: performance.now(), endedAtMs: 0, status: undefined, isWhole: false, body: '', error: '', unanswered: [], saysClose: false,
		};
		for (;;) {
			const connection = await this._take();
			const wasKept = connection.answers > 0 || connection.isAhead;
			connection.isAhead = false;
			await connection.send(outcome, forms[form]!, this._options.deadlineMs);
			connection.isBusy = false;
			if (connection.isClosed) {
				this._connections.delete(connection);
			} else if (this._options.idleTimeoutMs !== undefined) {
				connection.closeIdle(this._options.idleTimeoutMs);
			}

			this._waiting.shift()?.();
			if (outcome.status !== undefined || !wasKept) {
				outcome.endedAtMs = performance.now();
				return outcome;
			}

			outcome.unanswered.push(outcome.id);
			outcome.id = `${id}.${outcome.unanswered.length}`;
		}
	}

	/** The connection that was used least recently is taken first, so that all are kept in use. */
	private async _take(): Promise<ProxyConnection> {
		for (;;) {
			for (const connection of this._connections) {
				if (connection.isClosed) {
					this._connections.delete(connection);
				}
			}

			const free = [...this._connections].find(({isBusy}) => !isBusy);
			if (free ?? this._connections.size < this._options.connections) {
				const taken = free ?? this._open();
				taken.isBusy = true;
				this._connections.delete(taken);
				this._connections.add(taken);
				return taken;
			}

			await new Promise<void>(resolve => {
				this._waiting.push(resolve);
			});
		}
	}

	private _open(): ProxyConnection {
		const connection = new ProxyConnection(this._options.port);
		this._connections.add(connection);
		return connection;
	}
}

class ProxyConnection {
	readonly socket: Socket;
	isBusy = false;
	/** Opened before there was a request for it. */
	isAhead = false;
	isClosed = false;
	answers = 0;
	private _errorCode = '';
	private _input = Buffer.alloc(0);
	private _hasEnded = false;
	private _onInput: () => void = () => undefined;
	private _idleTimer: NodeJS.Timeout | undefined;

	constructor(port: number) {
		this.socket = connect({port, host: '127.0.0.1', noDelay: true});
		this.socket.on('error', (error: NodeJS.ErrnoException) => {
			this._errorCode = error.code ?? error.message;
		});
		this.socket.on('data', bytes => {
			this._input = Buffer.concat([this._input, bytes]);
			this._onInput();
		});
		for (const event of ['end', 'close'] as const) {
			this.socket.on(event, () => {
				this._hasEnded = true;
				this.isClosed = true;
				this._onInput();
			});
		}
	}

	closeIdle(afterMs: number): void {
		this._idleTimer = setTimeout(() => {
			this.isClosed = true;
			this.socket.end();
		}, afterMs);
	}

	/** Sends a request and reads its answer; `status` stays undefined if the connection closes before any byte of it. */
	async send(outcome: ProxiedOutcome, form: Form, deadlineMs = DEADLINE_MS): Promise<void> {
		clearTimeout(this._idleTimer);
		const {version = '1.1', isAbsolute = false, headers = [], chunkBytes, trailers = [], expectsContinue = false, closes = false} = form;
		const lines = [
			`POST ${isAbsolute ? 'http://a.example' : ''}${outcome.path} HTTP/${version}`,
			'Host: a.example',
			`X-Pollenarch-Request-Id: ${outcome.id}`,
			`X-Pollenarch-Request-Deadline: ${deadlineMs}`,
			...headers,
			...(closes ? ['Connection: close'] : []),
			...(expectsContinue ? ['Expect: 100-continue'] : []),
			chunkBytes ? 'Transfer-Encoding: chunked' : `Content-Length: ${BODY.length}`,
		];
		this.socket.write(lines.join(LINE_END) + HEAD_END);
		if (expectsContinue) {
			const head = await this._readHead();
			if (head === undefined) {
				outcome.error = this._errorCode;
				return;
			}

			if (!head.startsWith('HTTP/1.1 100')) {
				await this._readAnswer(outcome, head);
				return;
			}
		}

		for (const piece of chunkBytes ? [...chunksOf(BODY, chunkBytes), `0${LINE_END}${trailers.map(line => line + LINE_END).join('')}${LINE_END}`] : [BODY]) {
			if (form.pieceGapMs !== undefined) {
				await new Promise(resolve => {
					setTimeout(resolve, form.pieceGapMs);
				});
			}

			this.socket.write(piece);
		}

		const head = await this._readHead();
		if (head === undefined) {
			outcome.error = this._errorCode;
			return;
		}

		await this._readAnswer(outcome, head);
	}

	private async _readAnswer(outcome: ProxiedOutcome, head: string): Promise<void> {
		outcome.status = Number(head.split(' ', 2)[1]);
		const headers = new Map(head.split(LINE_END).slice(1).map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]));
		outcome.saysClose = headers.get('connection')?.toLowerCase() === 'close';
		const length = headers.get('content-length');
		if (length !== undefined) {
			const bytes = await this._readBytes(Number(length));
			outcome.body = bytes?.toString() ?? '';
			outcome.isWhole = bytes !== undefined;
		} else if (headers.get('transfer-encoding') === 'chunked') {
			outcome.isWhole = await this._readChunks(outcome);
		} else {
			while (!this._hasEnded) {
				await this._more();
			}

			outcome.body = this._input.toString();
			// Nothing but the end of the connection ends it; only what its target ended has this last event.
			outcome.isWhole = this._errorCode === '';
		}

		outcome.error = this._errorCode;
		this.answers++;
		if (outcome.saysClose || !outcome.isWhole || (head.startsWith('HTTP/1.0') && headers.get('connection') !== 'keep-alive')) {
			this.isClosed = true;
			this.socket.end();
		}
	}

	private async _readChunks(outcome: ProxiedOutcome): Promise<boolean> {
		for (;;) {
			const line = await this._readUntil(LINE_END);
			if (line === undefined) {
				return false;
			}

			const length = Number.parseInt(line, 16);
			const bytes = await this._readBytes(length + LINE_END.length);
			if (bytes === undefined) {
				return false;
			}

			if (length === 0) {
				return true;
			}

			outcome.body += bytes.subarray(0, length).toString();
		}
	}

	private async _readHead(): Promise<string | undefined> {
		return this._readUntil(HEAD_END);
	}

	private async _readUntil(end: string): Promise<string | undefined> {
		for (;;) {
			const index = this._input.indexOf(end);
			if (index !== -1) {
				const text = this._input.toString('latin1', 0, index);
				this._input = this._input.subarray(index + end.length);
				return text;
			}

			if (this._hasEnded) {
				return undefined;
			}

			await this._more();
		}
	}

	private async _readBytes(count: number): Promise<Buffer | undefined> {
		while (this._input.length < count) {
			if (this._hasEnded) {
				return undefined;
			}

			await this._more();
		}

		const bytes = this._input.subarray(0, count);
		this._input = this._input.subarray(count);
		return bytes;
	}

	private async _more(): Promise<void> {
		return new Promise(resolve => {
			this._onInput = resolve;
		});
	}
}

function chunksOf(body: string, lengths: readonly number[]): string[] {
	const chunks: string[] = [];
	let from = 0;
	for (const length of [...lengths, body.length]) {
		const text = body.slice(from, from + length);
		from += text.length;
		if (text !== '') {
			chunks.push(`${text.length.toString(16)}${LINE_END}${text}${LINE_END}`);
		}
	}

	return chunks;
}
