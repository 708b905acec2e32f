/**
Numbered result codes. Every response that pollenarch generates itself, for a caller
or an operator, carries one of them. `docs/ERRORS.md` lists the same codes with
advice; a test checks that the two match.
*/

/** Whether a target executed the request behind a response. */
export type ExecutionStatus = 'no' | 'yes' | 'unknown';

export type ResultCode = {
	readonly number: number;
	/** HTTP status code of the response. */
	readonly status: number;
	readonly title: string;
};

export const resultCodes = {
	'bad-json': {number: 1001, status: 400, title: 'The body is not valid JSON'},
	'body-too-large': {number: 1002, status: 413, title: 'The body exceeds the limit'},
	'unknown-model': {number: 1003, status: 404, title: 'No such model or adapter is configured'},
	'unknown-service': {number: 1004, status: 404, title: 'No such service is configured'},
	'key-missing': {number: 1005, status: 400, title: 'This route needs an idempotency key'},
	'key-reused': {number: 1006, status: 422, title: 'The idempotency key was used with another body'},
	'header-invalid': {number: 1007, status: 400, title: 'A request header is not valid'},
	'deadline-impossible': {number: 1008, status: 400, title: 'The deadline has passed already'},
	'caller-unknown': {number: 1009, status: 401, title: 'The caller is not configured'},
	'path-unknown': {number: 1010, status: 404, title: 'No such path'},
	'body-invalid': {number: 1011, status: 400, title: 'The body lacks a required member'},
	'request-malformed': {number: 1012, status: 400, title: 'The request is not valid HTTP'},
	'headers-too-large': {number: 1013, status: 431, title: 'The request headers exceed the limit'},
	'headers-late': {number: 1014, status: 408, title: 'The request headers did not arrive in time'},
	'api-key-missing': {number: 1015, status: 401, title: 'This route needs an API key'},
	'api-key-unknown': {number: 1016, status: 401, title: 'The API key is not known'},
	'body-late': {number: 1017, status: 408, title: 'The request body did not arrive in time'},
	'deadline-unreachable': {number: 1101, status: 503, title: 'The deadline cannot be met under the present load'},
	'no-target': {number: 1103, status: 503, title: 'No target could take the request in time'},
	stopping: {number: 1104, status: 503, title: 'This instance is stopping'},
	'crash-refused': {number: 1105, status: 422, title: 'This request crashed the targets that ran it'},
	'content-quarantined': {number: 1106, status: 503, title: 'This content crashed targets and is not run again'},
	'no-configuration': {number: 1107, status: 503, title: 'This instance knows no configuration yet'},
	'stream-not-resumable': {number: 1108, status: 503, title: 'The stream cannot go on, since what began it is not there or not known'},
	'targets-unreached': {number: 1109, status: 421, title: 'This instance reaches none of the targets'},
	'configuration-outdated': {number: 1110, status: 503, title: 'This instance cannot tell whether its configuration is the newest'},
	'quota-exceeded': {number: 1111, status: 429, title: 'The quota of the workspace is used up'},
	'relay-unrecognized': {number: 1112, status: 421, title: 'This instance does not know the one that passed the request on'},
	'input-overload': {number: 1113, status: 503, title: 'This instance has more input from callers than it can take'},
	'claim-unavailable': {number: 1201, status: 503, title: 'The claim could not be confirmed before the deadline'},
	'outcome-unknown': {number: 1202, status: 409, title: 'An earlier run of this key has an unknown outcome'},
	'run-in-progress': {number: 1203, status: 409, title: 'An earlier run of this key has not finished'},
	'target-failed': {number: 1301, status: 502, title: 'The target failed before the answer was whole'},
	'target-timeout': {number: 1302, status: 504, title: 'The target did not answer before the deadline'},
	'answer-truncated': {number: 1303, status: 502, title: 'The answer ended before it was whole'},
	'request-open': {number: 1304, status: 502, title: 'A request with this id is open at this instance'},
	'version-conflict': {number: 2001, status: 409, title: 'The patch was made against another version'},
	'patch-invalid': {number: 2002, status: 422, title: 'The patch does not give a valid configuration'},
	'memory-exceeded': {number: 2003, status: 422, title: 'The models do not fit the accelerator memory'},
	'platform-unavailable': {number: 2004, status: 503, title: 'The platform\'s table cannot be reached'},
	'resource-unknown': {number: 2005, status: 404, title: 'No such resource'},
	'patch-unresolved': {number: 2006, status: 503, title: 'Whether the patch was accepted is not known yet'},
	'settings-invalid': {number: 3001, status: 500, title: 'The settings file is not valid'},
	'port-in-use': {number: 3002, status: 500, title: 'A listen address is in use'},
} as const satisfies Record<string, ResultCode>;

export type ResultName = keyof typeof resultCodes;
