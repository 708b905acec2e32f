/**
The mechanisms of the policy that can be switched off for experiments, each with what
the instance does without it.
*/

export type MechanismDescription = {
	readonly purpose: string;
	/** What is done instead when it is switched off. */
	readonly plain: string;
};

export const mechanisms = {
	copies: {
		purpose: 'gives models whose engines are busy another copy',
		plain: 'a model gets a copy only when it has none',
	},
	'surge-copies': {
		purpose: 'gives models to which demand may move copies beforehand',
		plain: 'copies follow demand',
	},
	'kept-unknown': {
		purpose: 'keeps copies of models whose demand is unknown, since it may be urgent',
		plain: 'a model without demand counts as one whose callers have time',
	},
	'joined-swaps': {
		purpose: 'loads the wanted model as soon as the evicted copy is unloaded',
		plain: 'the next plan decides what is loaded',
	},
	'reading-window': {
		purpose: 'sends an engine only as much prompt text as it can read without delaying its streams',
		plain: 'requests are sent as long as slots are free',
	},
	'unread-first': {
		purpose: 'prefers engines with little prompt text left to read',
		plain: 'engines are compared by their number of requests',
	},
	'load-announcements': {
		purpose: 'announces changes of the load on engines to peers at once',
		plain: 'peers learn of them from the next beacon',
	},
	'punctual-first': {
		purpose: 'serves waiting requests that can still be in time before those that are late',
		plain: 'waiting requests are served by their deadline',
	},
	'early-refusal': {
		purpose: 'refuses a request as soon as it is known that it cannot be served while its caller waits',
		plain: 'a request waits until its caller is about to give up',
	},
	'missing-copies': {
		purpose: 'sends no more requests for a copy to a target that has just stated that it does not hold it',
		plain: 'such a target counts as full',
	},
	'shared-reachability': {
		purpose: 'tells the zone of a target that no connection can be opened to, and sends requests that wait there elsewhere',
		plain: 'each instance finds out by its own requests',
	},
	'shared-failures': {
		purpose: 'tells peers of the share of tries that fail at a target, and forgets it after a while',
		plain: 'each instance judges by its own requests',
	},
	'target-speeds': {
		purpose: 'chooses among targets of uneven speed by the expected time to the first event',
		plain: 'they are chosen by their load, as targets of even speed are',
	},
} as const satisfies Record<string, MechanismDescription>;

export type Mechanism = keyof typeof mechanisms;

export const mechanismNames = Object.keys(mechanisms) as Mechanism[];

/** Which mechanisms are switched on. */
export type EnabledMechanisms = ReadonlySet<Mechanism>;

export const allMechanisms: EnabledMechanisms = new Set(mechanismNames);

export function mechanismsWithout(without: readonly Mechanism[]): EnabledMechanisms {
	return new Set(mechanismNames.filter(name => !without.includes(name)));
}
