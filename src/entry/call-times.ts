/**
Times of the calls that an instance makes, by kind of call. An open connection can go
silent for good without a reset while new ones work; each kind of call states after which
silence it goes on over a new connection, and when it fails.
docs/design/0012-silent-connections.md derives the figures.
*/

export type CallTimes = {
	/**
	Silence after which the call is also sent over a new connection; undefined if it must not be sent twice. It is above
	the usual response time plus a retransmission, which takes at least 200 ms, so that a lost packet alone costs no
	second call.
	*/
	readonly repeatAfterMs?: number;
	/** When the call fails and the connection that it waits on is closed. */
	readonly timeoutMs: number;
	/** Limit for opening a connection; several round trips between zones. */
	readonly connectMs?: number;
};

export const callTimes = {
	/** Reads, changes without waiting, and writes. Renewals of the lease have to fit twice into its validity of 1500 ms. */
	storeCall: {repeatAfterMs: 250, timeoutMs: 1500, connectMs: 600},
	/** In addition to the time that the store was asked to wait. Silence is also noticed by other calls, which bring what the poll should have. */
	storePoll: {timeoutMs: 1500, connectMs: 600},
	peerPull: {repeatAfterMs: 250, timeoutMs: 800},
	/** Covers an order to the engine. Calls for the same adapter are joined at the peer, so that a repeated one causes no second order. */
	peerAdapter: {repeatAfterMs: 400, timeoutMs: 1000},
	engineReport: {repeatAfterMs: 250, timeoutMs: 800, connectMs: 300},
	/** Engines respond to an order at once, before they execute it. */
	engineOrder: {timeoutMs: 700, connectMs: 300},
	/** The core limits the time of requests, from the response times that each target has shown. */
	targetRequest: {timeoutMs: Number.POSITIVE_INFINITY, connectMs: 300},
} as const satisfies Record<string, CallTimes>;

/** A change that another call has brought reaches a waiting poll within this time, if its connection works. */
export const POLL_LATE_MS = 250;
/** A request that was aborted after waiting this long without a response shows that its connection may have gone silent. */
export const ABORTED_SILENCE_MS = 250;
