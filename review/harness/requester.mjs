/**
Stand-in for requesters: sends one request over a new or a kept channel and notes what
comes back, byte by byte as far as it matters.
*/
import {Buffer} from 'node:buffer';
import {Agent, request as httpRequest} from 'node:http';
import {performance} from 'node:perf_hooks';

let lastId = 0;

export function newAgent() {
	return new Agent({keepAlive: true, maxSockets: 1});
}

/** Resolves to the outcome of one requester attempt; never rejects. */
export async function send({
	front, host, path, method = 'GET', body, headers = {}, deadlineMs = 2500, agent = false, id, isStream = false, leaveAfterMs,
}) {
	lastId++;
	const requestId = id ?? `r${lastId.toString(16).padStart(12, '0')}`;
	const [address, port] = front.split(':');
	const outcome = {
		id: requestId, method, path, front, sentAtMs: performance.now(), status: undefined, body: '', events: [], isComplete: false,
	};
	return new Promise(resolve => {
		const end = reason => {
			clearTimeout(timer);
			outcome.endedAtMs ??= performance.now();
			outcome.reason ??= reason;
			resolve(outcome);
		};

		const call = httpRequest({
			host: address, port, path, method, agent, headers: {
				host, 'x-pollenarch-request-id': requestId, 'x-pollenarch-request-deadline': String(deadlineMs), ...(isStream && {accept: 'text/event-stream'}), ...(body !== undefined && {'content-length': Buffer.byteLength(body)}), ...headers,
			},
		}, response => {
			outcome.status = response.statusCode;
			outcome.headers = response.headers;
			outcome.headAtMs = performance.now();
			response.setEncoding('utf8');
			response.on('data', text => {
				outcome.body += text;
				outcome.lastAtMs = performance.now();
			});
			response.on('end', () => {
				outcome.isComplete = response.complete;
				end(response.complete ? 'answered' : 'cut');
			});
			response.on('error', error => {
				end(`cut: ${error.code ?? error.message}`);
			});
			response.on('close', () => {
				end('cut');
			});
		});
		const timer = setTimeout(() => {
			end(leaveAfterMs === undefined ? 'time limit' : 'left');
			call.destroy();
		}, leaveAfterMs ?? deadlineMs + 1000);
		call.on('error', error => {
			end(`closed: ${error.code ?? error.message}`);
		});
		call.end(body);
	});
}

/** Ids of the events that an answer brought, and whether they are those of one run. */
export function eventIds({body}) {
	return [...body.matchAll(/^id: (?<id>\d+)$/gmv)].map(({groups}) => Number(groups.id));
}
