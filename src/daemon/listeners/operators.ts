/**
The HTTP listener for operators: configuration, views of the state, dump, drain, and the
readiness check for the platform's load balancer.
*/
import {randomUUID} from 'node:crypto';
import {isDeepStrictEqual} from 'node:util';
import {fastify, type FastifyInstance, type FastifyReply} from 'fastify';
import * as z from 'zod';
import {type PatchOutcome} from '../../core/effect.js';
import {type ResultName} from '../../core/result-codes.js';
import {type Daemon} from '../daemon.js';
import {dumpState} from '../dump.js';
import {readPatchHistory, readConfigurationVersion} from '../configuration-history.js';
import {createProblem, type ProblemOptions} from '../problem.js';
import {
	explainRequest, viewInstances, viewModels, viewMoves, viewStatus, viewTargets,
} from '../views.js';

const patchSchema = z.strictObject({
	base: z.number().int().min(0),
	patch: z.union([z.array(z.unknown()), z.record(z.string(), z.unknown())]),
	operator: z.string().min(1).max(100).default('unknown'),
	patchId: z.string().min(1).max(100).optional(),
});

export function createOperatorListener(daemon: Daemon): FastifyInstance {
	const server = fastify({forceCloseConnections: true, bodyLimit: 16 * 1024 * 1024});
	server.setErrorHandler(async (error, request, reply) => sendProblem(reply, 'bad-json', {detail: error instanceof Error ? error.message : undefined}));
	server.setNotFoundHandler(async (request, reply) => sendProblem(reply, 'path-unknown', {detail: `${request.method} ${request.url}`}));
	addHealthRoutes(server, daemon);
	addViewRoutes(server, daemon);
	addConfigurationRoutes(server, daemon);
	return server;
}

async function sendProblem(reply: FastifyReply, code: ResultName, options: ProblemOptions = {}): Promise<FastifyReply> {
	const {status, headers, body} = createProblem(code, options);
	return reply.code(status).headers(headers).send(body);
}

function addHealthRoutes(server: FastifyInstance, daemon: Daemon): void {
	server.get('/live', async () => ({live: true}));
	server.get('/ready', async (request, reply) => reply.code(daemon.isReady ? 200 : 503).send({ready: daemon.isReady}));
	server.post('/drain', async (request, reply) => {
		daemon.drain('operator');
		return reply.code(202).send({draining: true});
	});
}

function addViewRoutes(server: FastifyInstance, daemon: Daemon): void {
	server.get('/status', async () => viewStatus(daemon.state));
	server.get('/models', async () => viewModels(daemon.state));
	server.get('/targets', async () => viewTargets(daemon.state));
	server.get('/instances', async () => viewInstances(daemon.state));
	server.get('/moves', async () => viewMoves(daemon.state));
	server.get('/dump', async (request, reply) => reply.type('application/json').send(dumpState(daemon.state)));
	server.get<{Params: {id: string}}>('/requests/:id', async (request, reply) => {
		const explanation = explainRequest(daemon.state, request.params.id);
		return explanation ? reply.send(explanation) : sendProblem(reply, 'resource-unknown', {detail: `request ${request.params.id} is not known here`});
	});
}

function addConfigurationRoutes(server: FastifyInstance, daemon: Daemon): void {
	server.get('/configuration', async () => ({version: daemon.configuration.version, configuration: daemon.configuration.configuration}));
	server.get('/configuration/history', async (request, reply) => {
		const history = await readPatchHistory(daemon.table);
		return history ? reply.send(history) : sendProblem(reply, 'platform-unavailable');
	});
	server.get<{Params: {version: string}}>('/configuration/versions/:version', async (request, reply) => {
		const version = Number(request.params.version);
		const configuration = Number.isSafeInteger(version) ? await readConfigurationVersion(daemon.table, version) : undefined;
		return configuration ? reply.send(configuration) : sendProblem(reply, 'resource-unknown', {detail: `version ${request.params.version}`});
	});
	server.post('/configuration/patches', async (request, reply) => {
		const parsed = patchSchema.safeParse(request.body);
		if (!parsed.success) {
			return sendProblem(reply, 'patch-invalid', {
				mistakes: parsed.error.issues.map(({path, message}) => ({path: path.join('.'), message})),
			});
		}

		return sendPatchOutcome(reply, await submitPatch(daemon, parsed.data));
	});
}

/** Submits a patch, or joins the same submission that is not decided yet, as a client sends it that repeats after a timeout. */
async function submitPatch(daemon: Daemon, submission: z.output<typeof patchSchema>): Promise<PatchOutcome> {
	const operationId = submission.patchId ?? randomUUID();
	const pending = daemon.pendingPatches.get(operationId);
	if (pending) {
		return isDeepStrictEqual(pending.submission, submission)
			? pending.outcome
			: {
				kind: 'rejected',
				version: daemon.configuration.version,
				mistakes: [{path: 'patchId', message: 'a different patch with this id is not decided yet', code: 'patch-invalid'}],
			};
	}

	let resolve!: (outcome: PatchOutcome) => void;
	const outcome = new Promise<PatchOutcome>(_resolve => {
		resolve = _resolve;
	});
	daemon.pendingPatches.set(operationId, {submission, outcome, resolve});
	daemon.dispatch({
		kind: 'patch-submitted',
		operationId,
		base: submission.base,
		patch: submission.patch,
		operator: submission.operator,
		wallMs: daemon.clock.now().getTime(),
	});
	return outcome;
}

type PatchOutcomeHandlers = {
	readonly [Kind in PatchOutcome['kind']]: (reply: FastifyReply, outcome: Extract<PatchOutcome, {kind: Kind}>) => Promise<FastifyReply>;
};

const patchOutcomeHandlers: PatchOutcomeHandlers = {
	async accepted(reply, {version}) {
		return reply.send({version});
	},
	async conflict(reply, {version}) {
		return sendProblem(reply, 'version-conflict', {version, detail: `the version in force is ${version}`});
	},
	async rejected(reply, {version, mistakes}) {
		const code = mistakes.every(mistake => mistake.code === 'memory-exceeded') ? 'memory-exceeded' : 'patch-invalid';
		return sendProblem(reply, code, {version, mistakes});
	},
	async unavailable(reply) {
		return sendProblem(reply, 'platform-unavailable', {retryAfterMs: 1000});
	},
	async unresolved(reply) {
		return sendProblem(reply, 'patch-unresolved', {detail: 'look into the history before you send the patch again', retryAfterMs: 1000});
	},
};

async function sendPatchOutcome(reply: FastifyReply, outcome: PatchOutcome): Promise<FastifyReply> {
	const handler = patchOutcomeHandlers[outcome.kind] as (reply: FastifyReply, outcome: PatchOutcome) => Promise<FastifyReply>;
	return handler(reply, outcome);
}
