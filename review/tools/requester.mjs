/**
A requester: sends one request on a channel of its own, or on a kept one, and reads the answer.
*/
import {Buffer} from 'node:buffer';
import {Agent, request as httpRequest} from 'node:http';

export function createAgent() {
	return new Agent({keepAlive: true, maxSockets: Number.POSITIVE_INFINITY});
}

export async function send(port, {
	id, method = 'POST', host, path, headers = {}, body, deadlineMs, record, agent,
}) {
	record.add('request-sent', {
		id, port, path, ...(headers['X-Pollenarch-Model'] && {model: headers['X-Pollenarch-Model']}),
	});
	return new Promise(resolve => {
		const end = answer => {
			record.add('request-answered', {id, ...answer});
			resolve(answer);
		};

		const request = httpRequest({
			host: '127.0.0.1', port, method, path, agent: agent ?? false, timeout: deadlineMs, headers: {
				Host: host, 'X-Pollenarch-Request-Id': id, 'X-Pollenarch-Request-Deadline': String(deadlineMs), ...headers, ...(body !== undefined && {'Content-Length': String(Buffer.byteLength(body))}),
			},
		}, response => {
			const chunks = [];
			response.on('data', chunk => {
				chunks.push(chunk);
			});
			response.on('end', () => {
				const text = Buffer.concat(chunks).toString('utf8');
				end({
					status: response.statusCode, isWhole: response.complete, signature: response.headers['x-pollenarch-server-signature'] ?? 'none', retryAfter: response.headers['retry-after'] ?? 'none', ...(response.statusCode !== 200 && {body: text}),
				});
			});
			response.on('error', error => {
				end({status: 'broken', reason: error.code});
			});
		});
		request.on('timeout', () => request.destroy(new Error('the time limit passed')));
		request.on('error', error => {
			end({status: 'closed', reason: error.code ?? error.message});
		});
		request.end(body);
	});
}
