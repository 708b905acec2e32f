/**
Callers of a faulty runner, in a process of their own so that they do not delay what their
test measures. Every second one reads nothing; the others send again as soon as an answer
has ended.
*/
import {fork} from 'node:child_process';
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {isStreamForm, type FaultyForm} from './faulty-runner.js';

const RETURN_MS = 50;
const TIMEOUT_MS = 10_000;

export type FaultyCall = {
	readonly port: number;
	/** Taken in turn by pairs of callers. */
	readonly forms: readonly FaultyForm[];
	readonly callers: number;
};

/** Number of answers that have ended. */
export type FaultyCallers = {
	stop(): Promise<number>;
};

export async function startFaultyCallers(call: FaultyCall): Promise<FaultyCallers> {
	const child = fork(fileURLToPath(import.meta.url), [], {execArgv: ['--import', 'tsx']});
	await once(child, 'message');
	child.send(call);
	return {
		async stop() {
			child.send('stop');
			const [ended] = await once(child, 'message') as [number];
			child.kill('SIGKILL');
			await once(child, 'close');
			return ended;
		},
	};
}

let requests = 0;
let ended = 0;

function send(port: number, form: FaultyForm, reads: boolean): void {
	requests++;
	const socket: Socket = connect(port, '127.0.0.1');
	const path = `/${isStreamForm(form) ? 'tell' : 'sign'}/${encodeURIComponent(form)}`;
	socket.write([
		`POST ${path} HTTP/1.1`,
		'Host: a.example',
		`X-Pollenarch-Request-Id: ${process.pid}-${requests}`,
		`X-Pollenarch-Request-Deadline: ${TIMEOUT_MS}`,
		'X-Pollenarch-Token-Usage: 10,10',
		'Content-Length: 4',
		'Connection: close',
		'',
		'body',
	].join('\r\n'));
	socket.on('error', () => undefined);
	socket.once('close', () => {
		ended++;
		setTimeout(() => {
			send(port, form, reads);
		}, RETURN_MS);
	});
	if (reads) {
		socket.resume();
	}
}

if (process.send !== undefined && process.argv[1] === fileURLToPath(import.meta.url)) {
	process.on('message', (message: FaultyCall | 'stop') => {
		if (message === 'stop') {
			process.send!(ended);
			return;
		}

		for (let index = 0; index < message.callers; index++) {
			send(message.port, message.forms[Math.floor(index / 2) % message.forms.length]!, index % 2 === 0);
		}
	});
	process.send('ready');
}
