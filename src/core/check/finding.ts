/**
What a check of a configuration reports: errors for which a daemon refuses the document,
entries that can never match, limits that contradict each other, and differences from
the version in force.
*/

export type FindingKind = 'error' | 'never-matches' | 'contradiction' | 'difference';

/** A part of a path: a member's name, an index, or the entry of a list that has a name. */
export type PathPart = string | number | {readonly named: string};

export type Finding = {
	readonly kind: FindingKind;
	readonly path: readonly PathPart[];
	readonly message: string;
	/** For differences: what changes for callers. */
	readonly effect?: string;
};

export function formatPath(path: readonly PathPart[]): string {
	return path.map((part, index) => {
		if (typeof part === 'object') {
			return `[${part.named}]`;
		}

		if (typeof part === 'number') {
			return `[${part}]`;
		}

		return index === 0 ? part : `.${part}`;
	}).join('');
}
