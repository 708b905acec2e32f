/**
Workspaces: groups of callers that share API keys, a priority and a quota over all
instances together. They belong to the configuration of the deployment; a configuration
without workspaces asks callers for no key.
*/

/** What a quota counts: each request as one, or the tokens of its prompt and of its longest output. */
export type QuotaUnit = 'requests' | 'tokens';

/** A token bucket over all instances together. */
export type Quota = {
	readonly unit: QuotaUnit;
	/** Refill rate, in units a second. */
	readonly perSecond: number;
	/** Capacity of the bucket, in units. */
	readonly burst: number;
	/** What a request that states no tokens counts as where the unit is tokens. */
	readonly defaultTokens: number;
};

export type Workspace = {
	readonly name: string;
	/** SHA-256 of each API key, base64url. Keys themselves are not kept. */
	readonly keyHashes: readonly string[];
	/** Goes before the rank of the route; 0 is the most urgent. */
	readonly rank: number | undefined;
	/** Undefined if the workspace has no limit. */
	readonly quota: Quota | undefined;
};
