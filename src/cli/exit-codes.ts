/**
Exit codes that scripts can rely on.
*/
export const exitCodes = {
	done: 0,
	/** The daemon could not be reached or gave an answer of no known form. */
	unreachable: 1,
	/** The command line was not understood. */
	usage: 2,
	/** The patch was made against another version. */
	conflict: 3,
	/** The patch was rejected. */
	rejected: 4,
	/** The platform is out of reach, or the outcome is not known. */
	unavailable: 5,
	/** No such resource. */
	unknown: 6,
} as const;

export type ExitName = keyof typeof exitCodes;
