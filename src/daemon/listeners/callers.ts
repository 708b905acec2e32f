/**
The listener for callers: OpenAI-style paths for models, plain HTTP below
`/services/` for services.
*/
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {
	fastify, type FastifyInstance, type FastifyReply, type FastifyRequest,
} from 'fastify';
import {type Priority} from '../../core/configuration/types.js';
import {type Arrival} from '../../core/event.js';
import {findRule, repeatRule} from '../../core/request/resolve.js';
import {type ResultName} from '../../core/result-codes.js';
import {CallerExchange} from '../caller-exchange.js';
import {type Daemon} from '../daemon.js';
import {type Work} from '../gateways/types.js';
import {createProblem} from '../problem.js';

const PREFIX_CHARACTERS = 1024;
const MAX_DEADLINE_MS = 24 * 60 * 60 * 1000;

/** Headers that are passed on to targets. */
const passedHeaders = ['content-type', 'accept', 'traceparent', 'tracestate', 'priority', 'idempotency-key'] as const;

/** Priority of each urgency of RFC 9218 (https://www.rfc-editor.org/rfc/rfc9218), 0 the most urgent. */
const urgencies: readonly Priority[] = ['urgent', 'urgent', 'normal', 'normal', 'normal', 'batch', 'batch', 'batch'];

type Received = {
	readonly request: FastifyRequest;
	readonly reply: FastifyReply;
	readonly body: Buffer | undefined;
};

export function createCallerListener(daemon: Daemon): FastifyInstance {
	const server = fastify({
		bodyLimit: daemon.settings.limits.bodyBytes,
		forceCloseConnections: true,
		routerOptions: {maxParamLength: 2000},
	});
	server.removeAllContentTypeParsers();
	server.addContentTypeParser('*', {parseAs: 'buffer'}, (_request, body, done) => {
		done(null, body);
	});
	server.setErrorHandler(async (error, request, reply) => {
		const code: ResultName = (error as {code?: string}).code === 'FST_ERR_CTP_BODY_TOO_LARGE' ? 'body-too-large' : 'header-invalid';
		return sendProblem(reply, code, error instanceof Error ? error.message : undefined);
	});
	server.setNotFoundHandler(async (request, reply) => sendProblem(reply, 'path-unknown', `${request.method} ${request.url}`));
	server.get('/v1/models', async () => listModels(daemon));
	for (const path of ['/v1/chat/completions', '/v1/completions']) {
		server.post(path, async (request, reply) => handleModel(daemon, {request, reply, body: bodyOf(request)}));
	}

	server.all('/services/:service/*', async (request, reply) => handleService(daemon, {request, reply, body: bodyOf(request)}));
	return server;
}

function bodyOf(request: FastifyRequest): Buffer | undefined {
	return Buffer.isBuffer(request.body) && request.body.length > 0 ? request.body : undefined;
}

async function sendProblem(reply: FastifyReply, code: ResultName, detail?: string): Promise<FastifyReply> {
	const problem = createProblem(code, {ran: 'no', detail});
	return reply.code(problem.status).headers(problem.headers).send(problem.body);
}

function listModels({state}: Daemon): unknown {
	const data = [...state.configuration.index.names].map(([id, {model}]) => ({
		id,
		object: 'model',
		created: 0,
		owned_by: state.configuration.configuration.models[model]?.service ?? '',
	}));
	return {object: 'list', data};
}

type ModelBody = {
	readonly model?: unknown;
	readonly stream?: unknown;
	readonly messages?: unknown;
	readonly prompt?: unknown;
};

async function handleModel(daemon: Daemon, received: Received): Promise<FastifyReply> {
	const {request, reply, body} = received;
	const parsed = parseJson(body) as ModelBody | undefined;
	if (typeof parsed !== 'object' || parsed === null) {
		return sendProblem(reply, 'bad-json');
	}

	if (typeof parsed.model !== 'string') {
		return sendProblem(reply, 'body-invalid', 'the member model is missing');
	}

	if (!Array.isArray(parsed.messages) && parsed.prompt === undefined) {
		return sendProblem(reply, 'body-invalid', 'the member messages or prompt is missing');
	}

	const prefix = JSON.stringify(parsed.messages ?? parsed.prompt).slice(0, PREFIX_CHARACTERS);
	return accept(daemon, received, {
		destination: {kind: 'model', name: parsed.model, stream: parsed.stream === true},
		path: request.url,
		prefixHash: digest(parsed.model, prefix).slice(0, 16),
	});
}

async function handleService(daemon: Daemon, received: Received): Promise<FastifyReply> {
	const {request} = received;
	const {service} = request.params as {service: string};
	const path = request.url.slice(`/services/${encodeURIComponent(service)}`.length);
	return accept(daemon, received, {
		destination: {
			kind: 'service', service, method: request.method, path,
		},
		path,
	});
}

function parseJson(body: Buffer | undefined): unknown {
	try {
		return JSON.parse(body?.toString('utf8') ?? '');
	} catch {
		return undefined;
	}
}

type Wanted = {
	readonly destination: Arrival['destination'];
	readonly path: string;
	readonly prefixHash?: string;
};

async function accept(daemon: Daemon, {request, reply, body}: Received, wanted: Wanted): Promise<FastifyReply> {
	const deadlineMs = readDeadline(request);
	const priority = readPriority(request);
	if (deadlineMs === 'invalid' || priority === 'invalid') {
		return sendProblem(reply, 'header-invalid', deadlineMs === 'invalid' ? 'X-Deadline-Ms must be a number of milliseconds' : 'Priority must hold u=0 to u=7');
	}

	const {destination, path, prefixHash} = wanted;
	const isOnce = destination.kind === 'service' && runsOnce(daemon, destination);
	const keyBody = isOnce ? parseJson(body) : undefined;
	const id = daemon.nextRequestId();
	const work: Work = {
		requestId: id,
		method: request.method,
		path,
		headers: passHeaders(request, id),
		body,
		stream: destination.kind === 'model' && destination.stream,
		notRunStatuses: notRunStatuses(daemon, destination),
		keepsErrors: isOnce,
	};
	const arrival: Arrival = {
		id,
		destination,
		tokenSha256: readToken(request),
		keyHeader: readHeader(request, 'idempotency-key'),
		keyBody,
		contentHash: digest(request.method, path, body ?? ''),
		prefixHash,
		deadlineMs,
		priority,
	};
	return answer(daemon, {
		work, arrival, reply, records: isOnce,
	});
}

type Accepted = {
	readonly work: Work;
	readonly arrival: Arrival;
	readonly reply: FastifyReply;
	readonly records: boolean;
};

/** Opens the call and resolves once the caller has its answer. */
async function answer(daemon: Daemon, {work, arrival, reply, records}: Accepted): Promise<FastifyReply> {
	await new Promise<void>(resolve => {
		const call = new CallerExchange({
			id: arrival.id,
			work,
			records,
			reply: {
				raw: reply.raw,
				send(status, headers, body) {
					void reply.code(status).headers({...headers, 'x-request-id': arrival.id}).send(body);
					resolve();
				},
				hijack() {
					void reply.hijack();
					resolve();
				},
			},
		});
		daemon.exchanges.set(arrival.id, call);
		reply.raw.once('close', () => {
			noteClosed(daemon, call);
			resolve();
		});
		daemon.dispatch({kind: 'request-arrived', arrival});
	});
	return reply;
}

/** The caller's connection is gone. Without a final answer before, the caller left. */
function noteClosed(daemon: Daemon, call: CallerExchange): void {
	if (call.isFinished) {
		return;
	}

	call.isFinished = true;
	daemon.dispatch({kind: 'caller-left', requestId: call.id});
	if (!daemon.state.requests.open.has(call.id)) {
		daemon.exchanges.delete(call.id);
	}
}

function runsOnce({state}: Daemon, {service, method, path}: Extract<Arrival['destination'], {kind: 'service'}>): boolean {
	const rule = findRule(state.configuration.index.rules.get(service) ?? [], method, path);
	return repeatRule(rule, method) === 'once';
}

function notRunStatuses({state}: Daemon, destination: Arrival['destination']): readonly number[] {
	const {index, configuration} = state.configuration;
	const service = destination.kind === 'service'
		? destination.service
		: configuration.models[index.names.get(destination.name)?.model ?? '']?.service;
	return configuration.services[service ?? '']?.notRunStatuses ?? [];
}

function passHeaders(request: FastifyRequest, id: string): Record<string, string> {
	const headers: Record<string, string> = {'x-request-id': id};
	for (const name of passedHeaders) {
		const value = readHeader(request, name);
		if (value !== undefined) {
			headers[name] = value;
		}
	}

	return headers;
}

function readHeader(request: FastifyRequest, name: string): string | undefined {
	const value = request.headers[name];
	return Array.isArray(value) ? value[0] : value;
}

function readDeadline(request: FastifyRequest): number | undefined | 'invalid' {
	const text = readHeader(request, 'x-deadline-ms');
	if (text === undefined) {
		return undefined;
	}

	const deadlineMs = Number(text);
	return /^-?\d+$/v.test(text) && deadlineMs <= MAX_DEADLINE_MS ? deadlineMs : 'invalid';
}

function readPriority(request: FastifyRequest): Priority | undefined | 'invalid' {
	const text = readHeader(request, 'priority');
	if (text === undefined || !/\bu=/v.test(text)) {
		return undefined;
	}

	const urgency = /(?:^|[\s,])u=(?<urgency>[0-7])(?:$|[\s,;])/v.exec(text)?.groups?.urgency;
	return urgency === undefined ? 'invalid' : urgencies[Number(urgency)];
}

function readToken(request: FastifyRequest): string | undefined {
	const bearer = /^Bearer\s+(?<token>\S+)$/iv.exec(readHeader(request, 'authorization') ?? '')?.groups?.token;
	return bearer === undefined ? undefined : createHash('sha256').update(bearer).digest('hex');
}

function digest(...parts: ReadonlyArray<Buffer | string>): string {
	const hash = createHash('sha256');
	for (const part of parts) {
		hash.update(part).update('\0');
	}

	return hash.digest('hex');
}
