/**
A form in which operators write configurations. A daemon accepts one of them; the check
of a file finds out which by the file itself.
*/
import {type Finding} from '../core/check/finding.js';

export type ConfigurationForm = {
	readonly name: string;
	/** Whether a document, valid or not, is meant to have this form. */
	readonly recognizes: (document: unknown) => boolean;
	/** Errors for which the daemon refuses the document; if there are none, entries and limits that a valid one should not have. */
	readonly check: (document: unknown) => readonly Finding[];
	/** What differs between two documents without errors. */
	readonly compare: (before: unknown, after: unknown) => readonly Finding[];
};

export function isRecord(value: unknown): value is Readonly<Record<string, unknown>> {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}
