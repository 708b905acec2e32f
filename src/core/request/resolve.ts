/**
Resolves an arriving request to its route, model and adapter, and to the rules that
apply to it.
*/
import jsonpointer from 'jsonpointer';
import {Left, Right, type Either} from 'purify-ts';
import {modelRoute, serviceRoute} from '../configuration/index.js';
import {type KeySource, type RepeatRule, type RouteRule} from '../configuration/types.js';
import {type Arrival} from '../event.js';
import {type ResultName} from '../result-codes.js';
import {type ConfigurationState} from '../state.js';
import {type ResolvedRoute} from './types.js';

const DEFAULT_ANSWER_RETENTION_MS = 24 * 60 * 60 * 1000;
const MAX_KEY_LENGTH = 255;

/** Methods that HTTP defines as safe (RFC 9110, section 9.2.1). */
const safeMethods: ReadonlySet<string> = new Set(['GET', 'HEAD', 'OPTIONS']);

export type Refusal = {
	readonly code: ResultName;
	readonly detail: string;
};

export function resolveRoute(configuration: ConfigurationState, arrival: Arrival): Either<Refusal, ResolvedRoute> {
	const {destination} = arrival;
	return destination.kind === 'model'
		? resolveModel(configuration, destination.name)
		: resolveService(configuration, destination);
}

function resolveModel(configuration: ConfigurationState, name: string): Either<Refusal, ResolvedRoute> {
	const reference = configuration.index.names.get(name);
	if (!reference) {
		return Left({code: 'unknown-model', detail: `model ${name} is not configured`});
	}

	return Right({
		route: modelRoute(reference.model),
		model: reference.model,
		adapter: reference.adapter,
		repeat: 'idempotent',
		key: undefined,
		answerRetentionMs: DEFAULT_ANSWER_RETENTION_MS,
		priority: configuration.configuration.models[reference.model]?.priority,
	});
}

function resolveService(
	configuration: ConfigurationState,
	destination: Extract<Arrival['destination'], {kind: 'service'}>,
): Either<Refusal, ResolvedRoute> {
	const rules = configuration.index.rules.get(destination.service);
	if (!rules) {
		return Left({code: 'unknown-service', detail: `service ${destination.service} is not configured`});
	}

	const rule = findRule(rules, destination.method, destination.path);
	const repeat = repeatRule(rule, destination.method);
	return Right({
		route: serviceRoute(destination.service),
		model: undefined,
		adapter: undefined,
		repeat,
		key: repeat === 'once' ? rule?.key ?? {from: 'header'} : undefined,
		answerRetentionMs: rule?.answerRetentionMs ?? DEFAULT_ANSWER_RETENTION_MS,
		priority: rule?.priority,
	});
}

/** The repeat rule of a call. Without a route rule, only safe methods may be repeated. */
export function repeatRule(rule: RouteRule | undefined, method: string): RepeatRule {
	return rule?.repeat ?? (safeMethods.has(method) ? 'idempotent' : 'once');
}

/** The first matching rule. `rules` must be sorted by path length, longest first. */
export function findRule(rules: readonly RouteRule[], method: string, path: string): RouteRule | undefined {
	return rules.find(rule => (rule.method === '*' || rule.method === method) && isUnderPath(path, rule.path));
}

function isUnderPath(path: string, prefix: string): boolean {
	if (!path.startsWith(prefix)) {
		return false;
	}

	const next = path[prefix.length];
	return prefix.endsWith('/') || next === undefined || next === '/' || next === '?';
}

/** Reads the idempotency key of a request from the header or the body, as the rule specifies. */
export function readKey(source: KeySource, arrival: Arrival): Either<Refusal, string> {
	if (source.from === 'header') {
		const key = arrival.keyHeader;
		return key && key.length <= MAX_KEY_LENGTH
			? Right(key)
			: Left({code: 'key-missing', detail: `the Idempotency-Key header must hold 1 to ${MAX_KEY_LENGTH} characters`});
	}

	const {keyBody} = arrival;
	const value: unknown = typeof keyBody === 'object' && keyBody !== null
		? jsonpointer.get(keyBody, source.pointer)
		: undefined;
	const key = typeof value === 'string' || typeof value === 'number' ? String(value) : '';
	return key.length > 0 && key.length <= MAX_KEY_LENGTH
		? Right(key)
		: Left({code: 'key-missing', detail: `the body must hold the key at ${source.pointer}`});
}
