/**
Applies an operator's patch to a configuration document: JSON Merge Patch
(RFC 7396) for an object, JSON Patch (RFC 6902) for an array.
*/
import jsonPatch from 'fast-json-patch';
import * as mergePatch from 'json-merge-patch';
import {Left, type Either} from 'purify-ts';
import {parseConfiguration, type ValidationError} from './schema.js';
import {type Configuration} from './types.js';

export type Patch = readonly unknown[] | Readonly<Record<string, unknown>>;

/** Returns the patched and validated document, or all errors found in it. */
export function applyPatch(configuration: Configuration, patch: Patch): Either<ValidationError[], Configuration> {
	const copy: unknown = structuredClone(configuration);
	try {
		const patched: unknown = Array.isArray(patch)
			? jsonPatch.applyPatch(copy, patch as jsonPatch.Operation[], true).newDocument
			: mergePatch.apply(copy, patch);
		return parseConfiguration(patched);
	} catch (error) {
		const message = error instanceof Error ? error.message.split('\n')[0] : undefined;
		return Left([{path: '', message: message ?? 'the patch cannot be applied', code: 'patch-invalid'}]);
	}
}
