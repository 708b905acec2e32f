/**
HTTP client for the operator API of a daemon.
*/
import {Left, Right, type Either} from 'purify-ts';
import {request} from 'undici';
import {type ExitCodeName} from './exit-codes.js';

const REQUEST_TIMEOUT_MS = 15_000;

export type Failure = {
	readonly exit: ExitCodeName;
	readonly message: string;
	readonly problem?: unknown;
};

type Problem = {
	readonly name?: string;
	readonly code?: string;
	readonly title?: string;
	readonly detail?: string;
	readonly mistakes?: ReadonlyArray<{readonly path: string; readonly message: string}>;
};

const exitNameByProblem: Readonly<Record<string, ExitCodeName>> = {
	'version-conflict': 'conflict',
	'patch-invalid': 'rejected',
	'memory-exceeded': 'rejected',
	'platform-unavailable': 'unavailable',
	'patch-unresolved': 'unavailable',
	'resource-unknown': 'unknown',
};

export class OperatorClient {
	constructor(private readonly _address: string) {}

	async get(path: string): Promise<Either<Failure, unknown>> {
		return this._request('GET', path);
	}

	async post(path: string, body: unknown): Promise<Either<Failure, unknown>> {
		return this._request('POST', path, body);
	}

	private async _request(method: 'GET' | 'POST', path: string, body?: unknown): Promise<Either<Failure, unknown>> {
		try {
			const response = await request(`${this._address}${path}`, {
				method,
				headers: body === undefined ? {} : {'content-type': 'application/json'},
				body: body === undefined ? null : JSON.stringify(body),
				signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
			});
			const answer: unknown = await response.body.json();
			return response.statusCode < 300 ? Right(answer) : Left(toFailure(answer as Problem));
		} catch (error) {
			return Left({exit: 'unreachable', message: `${this._address}: ${error instanceof Error ? error.message : String(error)}`});
		}
	}
}

function toFailure(problem: Problem): Failure {
	const mistakes = problem.mistakes?.map(({path, message}) => `\n  ${path || '(document)'}: ${message}`) ?? [];
	return {
		exit: exitNameByProblem[problem.name ?? ''] ?? 'unreachable',
		message: `${problem.code ?? ''} ${problem.title ?? 'unexpected response'}${problem.detail ? `: ${problem.detail}` : ''}${mistakes.join('')}`.trim(),
		problem,
	};
}
