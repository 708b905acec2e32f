declare module 'json-merge-patch' {
	/** Applies a merge patch (RFC 7396) to a document in place. */
	export function apply(document: unknown, patch: unknown): unknown;
	/** Returns the merge patch that turns `before` into `after`. */
	export function generate(before: unknown, after: unknown): unknown;
}
