declare module 'json-merge-patch' {
	/** Applies a merge patch (RFC 7396) to a document in place. */
	export function apply(document: unknown, patch: unknown): unknown;
	/** A merge patch that leads from one document to another. */
	export function generate(before: unknown, after: unknown): unknown;
}
