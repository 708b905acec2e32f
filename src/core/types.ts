/**
Identifiers and small types shared by all parts of the core.
*/

export type InstanceId = string;
export type TargetId = string;
export type ModelName = string;
export type RequestId = string;
export type ZoneName = string;

/** Id of a queue of requests that the same targets can serve: `model:NAME` or `service:NAME`. */
export type RouteId = string;

export type InstanceState = 'live' | 'leaving' | 'gone';

export type Instance = {
	readonly id: InstanceId;
	/** Boot id, which changes with every start of the process. */
	readonly boot: string;
	readonly zone: ZoneName;
	/** Base URL of the peer listener. */
	readonly address: string;
	readonly state: InstanceState;
};
