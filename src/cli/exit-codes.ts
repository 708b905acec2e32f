/**
Exit codes of the CLI. They are part of its stable interface for scripts.
*/
export const exitCodes = {
	done: 0,
	/** The daemon could not be reached or sent an unexpected response. */
	unreachable: 1,
	/** The command line or an input file is not valid. */
	usage: 2,
	/** The patch is based on another version than the current one. */
	conflict: 3,
	/** The patch failed validation. */
	rejected: 4,
	/** The platform cannot be reached, or the outcome of the operation is unknown. */
	unavailable: 5,
	/** The resource does not exist. */
	unknown: 6,
	/** A configuration is valid, but the check found entries that never match, or contradictions. */
	findings: 7,
} as const;

export type ExitCodeName = keyof typeof exitCodes;
