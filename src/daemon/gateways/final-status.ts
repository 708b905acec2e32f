/**
Which status codes a final answer may have (RFC 9110, section 15). Anything else is bytes
that are no answer, whatever its header fields state. Some of them have no body.
*/

const FIRST_FINAL = 200;
const LAST_FINAL = 599;

export function isFinalStatus(status: number): boolean {
	return status >= FIRST_FINAL && status <= LAST_FINAL;
}

/** Statuses of responses that end with their head (RFC 9110, section 6.4.1). */
export const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);
