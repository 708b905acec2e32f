/**
State of quotas at an instance: what it has used, the requests that wait for units, and,
while it holds the lease, the account that it keeps for all instances.
*/
import {type InstanceId, type RequestId} from '../types.js';
import {type EntryConfiguration} from './configuration.js';
import {type QuotaBucket, type QuotaLimit} from './quota-bucket.js';
import {type EntryRequest} from './types.js';
import {type UsageWindow} from './usage-window.js';
import {type Quota} from './workspace.js';

/** What this instance knows of one workspace's quota. */
export type WorkspaceUse = {
	readonly workspace: string;
	limit: QuotaLimit;
	/** Units that this instance has charged. */
	readonly window: UsageWindow;
	lastChargeAtMs: number;
	/** All units ever charged, less those given back. */
	total: number;
	/** Units granted, by account, whether they were charged or not. */
	readonly granted: Map<string, number>;
	/** What the account that is asked now has confirmed of the difference; undefined before its first answer. */
	confirmed: number | undefined;
	/** Until then, requests of as many units or more are refused without an ask. */
	refusal: {readonly units: number; readonly untilMs: number; readonly roomAtMs: number} | undefined;
	/** What it may use in a window while the holder does not answer. */
	allowance: {readonly kind: AllowanceKind; units: number} | undefined;
};

/** `own`: as much as it used before. `share`: half of an equal share. */
export type AllowanceKind = 'own' | 'share';

/** A request that waits for units. */
export type WaitingCharge = {
	readonly request: EntryRequest;
	readonly workspace: string;
	readonly units: number;
	/** Number of the last ask that names it; 0 before that. */
	askNumber: number;
	/** It is not asked for again before. */
	askAgainAtMs: number;
	/** When the units that it was granted may be used. */
	usableAtMs: number | undefined;
};

/** The account that this instance asks. */
export type AskedAccount = {
	readonly name: string;
	/** Where asks are sent; undefined if this instance keeps it. */
	readonly address: string | undefined;
	/** Tells this time of asking it from earlier ones. */
	readonly session: number;
	hasAnswered: boolean;
	answeredAtMs: number;
	askedAtMs: number;
	/** Since when asks have had no answer. */
	unansweredSinceMs: number | undefined;
};

export type SentAsk = {
	readonly account: string;
	readonly sentAtMs: number;
	/** Requests that the ask names, by workspace. */
	readonly charges: ReadonlyMap<string, readonly WaitingCharge[]>;
	/** What the ask states as used, by workspace. */
	readonly used: ReadonlyMap<string, number>;
};

/** Another instance, or this one, as the holder that keeps the account knows it. */
export type QuotaMember = {
	readonly boot: string;
	readonly session: number;
	/** Since when it is known what runs in its place. */
	readonly sinceMs: number;
	heardAtMs: number;
	lastAsk: number;
	/** What it has stated as used, by workspace. */
	readonly used: Map<string, number>;
};

/** The account of all quotas that the lease holder keeps, or one that an instance keeps for those of its zone while the holder does not answer them. */
export type QuotaAccount = {
	readonly name: string;
	readonly isDeputy: boolean;
	readonly members: Map<InstanceId, QuotaMember>;
	readonly buckets: Map<string, QuotaBucket>;
	/** Share of all instances that are members, as of a moment ago. */
	share: {readonly value: number; readonly atMs: number};
};

/** What the holder last said of a workspace. */
export type ToldLevel = {
	/** Whether instances may use some units before they report them. */
	readonly isOpen: boolean;
	/** Share of the limit that is used, rounded up. */
	readonly usedShare: number;
};

export type QuotaIndex = {
	readonly configuration: EntryConfiguration | undefined;
	/** Workspaces with a quota, in the configuration's order. */
	readonly names: readonly string[];
	readonly byWorkspace: ReadonlyMap<string, {readonly quota: Quota; readonly limit: QuotaLimit}>;
};

export type Quotas = {
	index: QuotaIndex;
	readonly uses: Map<string, WorkspaceUse>;
	readonly waiting: Map<RequestId, WaitingCharge>;
	/** Asks that have not been answered, by number; old ones are dropped. */
	readonly sentAsks: Map<number, SentAsk>;
	lastAskNumber: number;
	/** When a request last needed units. */
	neededAtMs: number;
	/** When what was used without a grant is to be reported. */
	reportAtMs: number;
	/** Epoch of the lease holder whose account is `holder`. */
	epoch: number;
	holder: AskedAccount | undefined;
	/** Asked instead while the holder does not answer. */
	deputy: AskedAccount | undefined;
	/** Deputies that have been tried. */
	deputyTries: number;
	answeredAtMs: number;
	/** The levels of all workspaces by the holder's last word, and a time before which it did not say so. */
	told: {readonly atMs: number; readonly account: string; readonly levels: ReadonlyMap<string, ToldLevel>} | undefined;
	isUnansweredLogged: boolean;
	/** The accounts that this instance keeps. */
	readonly accounts: Map<string, QuotaAccount>;
};

export function createQuotas(): Quotas {
	return {
		index: {configuration: undefined, byWorkspace: new Map(), names: []},
		uses: new Map(),
		waiting: new Map(),
		sentAsks: new Map(),
		lastAskNumber: 0,
		neededAtMs: Number.NEGATIVE_INFINITY,
		reportAtMs: Number.POSITIVE_INFINITY,
		epoch: 0,
		holder: undefined,
		deputy: undefined,
		deputyTries: 0,
		answeredAtMs: Number.NEGATIVE_INFINITY,
		told: undefined,
		isUnansweredLogged: false,
		accounts: new Map(),
	};
}
