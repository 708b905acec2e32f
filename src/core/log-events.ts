/**
Numbered log events. `docs/EVENTS.md` is the catalogue for operators; a test checks
that it matches this table.
*/

export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

export type LogEvent = {
	readonly number: number;
	readonly level: LogLevel;
};

export const logEvents = {
	'daemon-started': {number: 100, level: 'info'},
	'daemon-draining': {number: 101, level: 'info'},
	'daemon-stopped': {number: 102, level: 'info'},
	'effect-failed': {number: 103, level: 'error'},
	'daemon-listening': {number: 104, level: 'info'},
	'request-refused': {number: 200, level: 'info'},
	'try-failed': {number: 201, level: 'warn'},
	'request-crash-refused': {number: 202, level: 'error'},
	'answer-late': {number: 203, level: 'warn'},
	'request-answered': {number: 204, level: 'info'},
	'request-ended': {number: 205, level: 'warn'},
	'try-sent': {number: 206, level: 'info'},
	'try-ended': {number: 207, level: 'warn'},
	'adapter-missing': {number: 208, level: 'warn'},
	'lines-left-out': {number: 209, level: 'warn'},
	'claim-ambiguous': {number: 210, level: 'warn'},
	'claim-released': {number: 211, level: 'info'},
	'record-deferred': {number: 212, level: 'warn'},
	'wait-refused': {number: 213, level: 'info'},
	'quarantine-trial': {number: 214, level: 'info'},
	'request-relayed': {number: 215, level: 'info'},
	'relay-received': {number: 216, level: 'info'},
	'try-held-up': {number: 217, level: 'warn'},
	'target-suspected': {number: 300, level: 'warn'},
	'target-recovered': {number: 301, level: 'info'},
	'target-restarted': {number: 302, level: 'warn'},
	'connection-silent': {number: 303, level: 'warn'},
	'target-listed': {number: 304, level: 'info'},
	'target-leaving': {number: 305, level: 'info'},
	'target-unlisted': {number: 306, level: 'info'},
	'entry-unreadable': {number: 307, level: 'warn'},
	'target-limited': {number: 308, level: 'warn'},
	'target-limit-lifted': {number: 309, level: 'info'},
	'target-crashed': {number: 310, level: 'warn'},
	'crash-learned': {number: 311, level: 'info'},
	'service-unreached': {number: 312, level: 'warn'},
	'service-reached': {number: 313, level: 'info'},
	'service-brittle': {number: 314, level: 'warn'},
	'service-sturdy': {number: 315, level: 'info'},
	'target-closed': {number: 316, level: 'info'},
	'service-uneven': {number: 330, level: 'info'},
	'service-even': {number: 331, level: 'info'},
	'order-sent': {number: 400, level: 'info'},
	'order-confirmed': {number: 401, level: 'info'},
	'order-unresolved': {number: 402, level: 'warn'},
	'entry-pinned': {number: 403, level: 'warn'},
	'engine-order-sent': {number: 404, level: 'info'},
	'engine-order-answered': {number: 405, level: 'info'},
	'move-planned': {number: 406, level: 'info'},
	'lease-taken': {number: 410, level: 'info'},
	'lease-lost': {number: 411, level: 'warn'},
	'journal-unavailable': {number: 412, level: 'warn'},
	'configuration-adopted': {number: 500, level: 'info'},
	'patch-accepted': {number: 501, level: 'info'},
	'patch-rejected': {number: 502, level: 'info'},
	'configuration-unreadable': {number: 503, level: 'error'},
	'settings-reloaded': {number: 504, level: 'info'},
	'configuration-unconfirmed': {number: 505, level: 'warn'},
	'configuration-confirmed': {number: 506, level: 'info'},
	'instance-joined': {number: 600, level: 'info'},
	'instance-leaving': {number: 601, level: 'info'},
	'instance-lost': {number: 602, level: 'warn'},
	'platform-unreachable': {number: 700, level: 'warn'},
	'platform-reachable': {number: 701, level: 'info'},
	'store-went-back': {number: 702, level: 'warn'},
	'store-restored': {number: 703, level: 'warn'},
	'releases-recorded': {number: 704, level: 'info'},
} as const satisfies Record<string, LogEvent>;

export type LogEventName = keyof typeof logEvents;
