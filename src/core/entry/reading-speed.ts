/**
Learns how long engines take to read a token of a prompt: a low quantile of the time to
the first event by token that this instance had sent to the engine and that was unread.
Waiting for other requests only makes that time longer, so a low quantile is hardly moved by
a burst, which a mean or a regression over few requests would take for a slow engine.
*/

/** Share of the samples below the estimate once it has settled. */
const QUANTILE = 0.25;
/** Step of the estimate at each sample, as a share of it. */
const STEP = 0.05;
/** Assumed until samples say otherwise. */
const DEFAULT_MS_PER_TOKEN = 0.04;
/** Smaller prompts show the set-up of a request rather than the reading. */
const MIN_SAMPLE_TOKENS = 200;
/** The set-up of a request costs about as much as reading this many tokens. */
const MIN_TOKENS = 16;
/** Assumed size of the prompt of a request that does not state it. */
const DEFAULT_PROMPT_TOKENS = 500;

export type ReadingSpeed = {
	/** Time that an engine takes to read one token. */
	msPerToken: number;
	samples: number;
};

export function createReadingSpeed(): ReadingSpeed {
	return {msPerToken: DEFAULT_MS_PER_TOKEN, samples: 0};
}

/** Adds a request whose first event came `ms` after `tokens` had been sent and not read, its own included. */
export function addReading(speed: ReadingSpeed, tokens: number, ms: number): void {
	if (tokens < MIN_SAMPLE_TOKENS) {
		return;
	}

	speed.samples++;
	speed.msPerToken *= 1 + (STEP * (ms > tokens * speed.msPerToken ? QUANTILE : QUANTILE - 1));
}

/** Time that an engine takes to read one token, in milliseconds. */
export function msPerToken(speed: ReadingSpeed | undefined): number {
	return speed?.msPerToken ?? DEFAULT_MS_PER_TOKEN;
}

/** Tokens that an engine has to read for a request. */
export function tokensToRead(promptTokens: number | undefined): number {
	return Math.max(MIN_TOKENS, promptTokens ?? DEFAULT_PROMPT_TOKENS);
}
