/**
Problem bodies (RFC 9457, https://www.rfc-editor.org/rfc/rfc9457) for every answer
of the daemon's own. They also carry the `error` member that OpenAI clients read.
*/
import {resultCodes, type ExecutionStatus, type ResultName} from '../core/result-codes.js';

export type ProblemOptions = {
	readonly requestId?: string;
	readonly ran?: ExecutionStatus;
	readonly retryAfterMs?: number;
	readonly detail?: string;
	readonly mistakes?: unknown;
	readonly version?: number;
};

export type Problem = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: string;
};

export function formatResultCode(code: ResultName): string {
	return `PA-${resultCodes[code].number}`;
}

export function createProblem(code: ResultName, options: ProblemOptions = {}): Problem {
	const {status, title} = resultCodes[code];
	const headers: Record<string, string> = {'content-type': 'application/problem+json'};
	if (options.retryAfterMs !== undefined) {
		headers['retry-after'] = String(Math.max(1, Math.ceil(options.retryAfterMs / 1000)));
	}

	const body = {
		type: `urn:pollenarch:result:${resultCodes[code].number}`,
		title,
		status,
		code: formatResultCode(code),
		name: code,
		ran: options.ran,
		detail: options.detail,
		requestId: options.requestId,
		mistakes: options.mistakes,
		version: options.version,
		error: {message: options.detail ?? title, type: code, code: formatResultCode(code)},
	};
	return {status, headers, body: JSON.stringify(body)};
}
