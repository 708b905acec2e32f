/**
A runner whose answers have no end or are large, in a process of its own so that it sends at
line speed whatever else its test does. The path of a request names the form of its answer.
*/
import {Buffer} from 'node:buffer';
import {fork} from 'node:child_process';
import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {endlessAnswers, sendWithoutEnd, type EndlessPart} from './endless-answers.js';

const WHOLE_BYTES = 7 * 1024 * 1024;
const EVENT_BYTES = 1024;

const plainHead = (headers: string) => `HTTP/1.1 200 OK\r\n${headers}`;
const streamHead = (headers: string) => `${plainHead(headers)}Content-Type: text/event-stream\r\nConnection: close\r\n\r\n`;

/** Forms without end, with what is sent in one write. */
const endlessForms = {
	'header value': {...endlessAnswers['header value'], repeated: 'a'.repeat(64 * 1024)},
	'header lines': {...endlessAnswers['header lines'], repeated: 'X-A: a\r\n'.repeat(512)},
	'body with a length': {...endlessAnswers['body with a length'], repeated: 'a'.repeat(64 * 1024)},
	'body without a length': {...endlessAnswers['body without a length'], repeated: 'a'.repeat(64 * 1024)},
	'body in chunks': {beginning: headers => `${plainHead(headers)}Transfer-Encoding: chunked\r\n\r\n`, repeated: `10000\r\n${'a'.repeat(64 * 1024)}\r\n`},
	'body of a refusal': {...endlessAnswers['body of a declined request'], repeated: `10000\r\n${'a'.repeat(64 * 1024)}\r\n`},
	'small events': {beginning: streamHead, repeated: `data: ${'a'.repeat(EVENT_BYTES)}\n\n`.repeat(60)},
	event: {...endlessAnswers.event, repeated: 'a'.repeat(64 * 1024)},
} as const satisfies Readonly<Record<string, EndlessPart>>;

export type FaultyForm = keyof typeof endlessForms | 'whole';

export const endlessFormNames = Object.keys(endlessForms) as Array<keyof typeof endlessForms>;

export const isStreamForm = (form: FaultyForm): boolean => form === 'small events' || form === 'event';

/** The body of a large sound answer. */
export const wholeBody = (requestId: string): Buffer => Buffer.alloc(WHOLE_BYTES, requestId);

export type FaultyRunner = {
	readonly address: string;
	stop(): Promise<void>;
};

export async function startFaultyRunner(): Promise<FaultyRunner> {
	const child = fork(fileURLToPath(import.meta.url), [], {execArgv: ['--import', 'tsx']});
	const [address] = await once(child, 'message') as [string];
	return {
		address,
		async stop() {
			child.kill('SIGKILL');
			await once(child, 'close');
		},
	};
}

function answer(socket: Socket, head: string): void {
	const [, path] = /^POST (?<path>\S+) /v.exec(head) ?? [];
	const [, requestId] = /x-pollenarch-request-id: *(?<id>\S+)/iv.exec(head) ?? [];
	const form = decodeURIComponent(path?.split('/')[2] ?? '') as FaultyForm;
	const headers = `X-Pollenarch-Request-Id: ${requestId}\r\nX-Pollenarch-Server-Signature: signed by i-1\r\n`;
	if (form === 'whole') {
		socket.write(`${plainHead(headers)}Content-Length: ${WHOLE_BYTES}\r\n\r\n`);
		socket.write(wholeBody(requestId ?? ''));
		return;
	}

	void sendWithoutEnd(socket, endlessForms[form], {headers, writeBytes: endlessForms[form].repeated.length});
}

function run(): void {
	const server = createServer(socket => {
		let text = '';
		socket.on('error', () => undefined);
		socket.on('data', data => {
			text += data.toString('latin1');
			const end = text.indexOf('\r\n\r\nbody');
			if (end !== -1) {
				answer(socket, text.slice(0, end));
				text = '';
			}
		});
	});
	server.listen(0, '127.0.0.1', () => {
		process.send!(`127.0.0.1:${(server.address() as AddressInfo).port}`);
	});
}

if (process.send !== undefined && process.argv[1] === fileURLToPath(import.meta.url)) {
	run();
}
