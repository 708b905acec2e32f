/**
Callers of a faulty runner, in a process of their own so that they do not delay what their
test measures. Every second one reads nothing; the others send again as soon as an answer
has ended.
*/
import {Buffer} from 'node:buffer';
import {fork} from 'node:child_process';
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {isStreamForm, wholeBody, type FaultyForm} from './faulty-runner.js';

const RETURN_MS = 50;
const TIMEOUT_MS = 10_000;

export type FaultyCall = {
	readonly port: number;
	/** Taken in turn by pairs of callers. */
	readonly forms: readonly FaultyForm[];
	readonly callers: number;
};

/** How the answers ended that callers read. */
export type FaultyAnswers = {
	ended: number;
	/** Large sound answers that arrived whole. */
	whole: number;
	/** Large sound answers that broke off. */
	cut: number;
	/** Answers that look complete and are not what the runner sent for this request. */
	wrong: number;
};

export type FaultyCallers = {
	stop(): Promise<FaultyAnswers>;
};

export async function startFaultyCallers(call: FaultyCall): Promise<FaultyCallers> {
	const child = fork(fileURLToPath(import.meta.url), [], {execArgv: ['--import', 'tsx']});
	await once(child, 'message');
	child.send(call);
	return {
		async stop() {
			child.send('stop');
			const [answers] = await once(child, 'message') as [FaultyAnswers];
			child.kill('SIGKILL');
			await once(child, 'close');
			return answers;
		},
	};
}

let requests = 0;
const answers: FaultyAnswers = {
	ended: 0, whole: 0, cut: 0, wrong: 0,
};

function send(port: number, form: FaultyForm, reads: boolean): void {
	requests++;
	const id = `${process.pid}-${requests}`;
	const socket: Socket = connect(port, '127.0.0.1');
	const path = `/${isStreamForm(form) ? 'tell' : 'sign'}/${encodeURIComponent(form)}`;
	socket.write([
		`POST ${path} HTTP/1.1`,
		'Host: a.example',
		`X-Pollenarch-Request-Id: ${id}`,
		`X-Pollenarch-Request-Deadline: ${TIMEOUT_MS}`,
		'X-Pollenarch-Token-Usage: 10,10',
		'Content-Length: 4',
		'Connection: close',
		'',
		'body',
	].join('\r\n'));
	socket.on('error', () => undefined);
	const parts: Buffer[] = [];
	socket.once('close', () => {
		answers.ended++;
		if (form === 'whole') {
			answers[judge(Buffer.concat(parts), id)]++;
		}

		setTimeout(() => {
			send(port, form, reads);
		}, RETURN_MS);
	});
	if (reads) {
		socket.on('data', (data: Buffer) => {
			if (form === 'whole') {
				parts.push(data);
			}
		});
	}
}

/** An answer that states a failure ended in a regular way. */
function judge(answer: Buffer, id: string): 'ended' | 'whole' | 'cut' | 'wrong' {
	const end = answer.indexOf('\r\n\r\n');
	const head = answer.subarray(0, Math.max(0, end)).toString('latin1');
	const body = answer.subarray(end + 4);
	if (!head.startsWith('HTTP/1.1 200 ')) {
		return head === '' ? 'cut' : 'ended';
	}

	const length = Number(/^content-length: (?<length>\d+)$/imv.exec(head)?.groups?.length);
	if (body.length < length) {
		return 'cut';
	}

	return body.equals(wholeBody(id)) ? 'whole' : 'wrong';
}

if (process.send !== undefined && process.argv[1] === fileURLToPath(import.meta.url)) {
	process.on('message', (message: FaultyCall | 'stop') => {
		if (message === 'stop') {
			process.send!(answers);
			return;
		}

		for (let index = 0; index < message.callers; index++) {
			send(message.port, message.forms[Math.floor(index / 2) % message.forms.length]!, index % 2 === 0);
		}
	});
	process.send('ready');
}
