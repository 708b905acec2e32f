/**
Gateway to a model engine: OpenAI-compatible HTTP for requests, JSON for reports and orders.
*/
import {type HttpRequest} from './connection-pool.js';
import {HttpGateway, type TargetProtocol} from './http-gateway.js';
import {type Gateway, type GatewayOptions, type TryRequest} from './types.js';

type CompletionBody = {
	messages?: Array<{role: string; content: unknown}>;
	prompt?: string;
	continue_final_message?: boolean;
	add_generation_prompt?: boolean;
};

const engineProtocol: TargetProtocol = {
	reportPath: '/load',
	orderPath: '/orders',
	buildRequest(tryRequest) {
		const {request, continuation} = tryRequest;
		switch (continuation.kind) {
			case 'whole': {
				return {
					method: request.method, path: request.path, headers: jsonHeaders(request.headers), body: request.body,
				};
			}

			case 'resume': {
				return {method: 'GET', path: `/v1/streams/${encodeURIComponent(request.requestId)}?from=${continuation.from}`, headers: request.headers};
			}

			case 'continue-text': {
				return continueText(tryRequest);
			}
		}
	},
};

/** Sets the content type to JSON: the body has been parsed as such, whatever the caller declared. */
function jsonHeaders(headers: Readonly<Record<string, string>>): Record<string, string> {
	return {...headers, 'content-type': 'application/json'};
}

/** Builds a request for the rest of a response of which the caller already has the first part. */
function continueText({request, deliveredText}: TryRequest): HttpRequest {
	const body = JSON.parse(request.body?.toString('utf8') ?? '{}') as CompletionBody;
	const deliveredSoFar = deliveredText();
	if (body.messages) {
		body.messages = [...body.messages, {role: 'assistant', content: deliveredSoFar}];
		body.continue_final_message = true;
		body.add_generation_prompt = false;
	} else {
		body.prompt = `${body.prompt ?? ''}${deliveredSoFar}`;
	}

	return {
		method: request.method, path: request.path, headers: jsonHeaders(request.headers), body: JSON.stringify(body),
	};
}

export function createEngineGateway(options: GatewayOptions): Gateway {
	return new HttpGateway(engineProtocol, options);
}
