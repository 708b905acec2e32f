/**
What instances tell each other. Beacons are small and go out several times a second,
the same one to all receivers; what is too large for them, configurations and the
registry, is pulled from an instance whose beacon shows that it holds something newer.
*/
import {type InstanceId, type TargetId} from '../types.js';
import {type EntryConfiguration} from './configuration.js';
import {type ModelCopy, type TargetEntry} from './target.js';
import {type EntryInstance} from './types.js';

export type ModelDemand = {
	readonly service: string;
	readonly model: string;
	readonly arrivalsPerSecond: number;
	/** Requests that run or wait. */
	readonly open: number;
	readonly waiting: number;
	/** Shortest objective seen lately: how long callers are willing to wait. */
	readonly objectiveMs: number;
	/** Adapters asked for lately. */
	readonly adapters: readonly string[];
};

export type LeaseStatus = {
	readonly holder: EntryInstance;
	readonly epoch: number;
	/** Time since the holder last said so. */
	readonly ageMs: number;
};

export type LeavingCopy = {
	readonly targetId: TargetId;
	readonly model: string;
	readonly forMs: number;
};

export type HeldAdapter = {
	readonly targetId: TargetId;
	/** `model/adapter`. */
	readonly name: string;
	readonly sequence: number;
};

export type CrashCount = {
	readonly contentHash: string;
	readonly crashes: number;
};

/** What an engine holds by a report that is newer than its registry entry. */
export type ReportedCopies = {
	readonly targetId: TargetId;
	readonly incarnation: number;
	readonly sequence: number;
	readonly copies: readonly ModelCopy[];
};

export type Beacon = {
	readonly from: EntryInstance;
	readonly isLeaving: boolean;
	readonly configurationVersion: number;
	readonly registry: {
		readonly revision: number;
		readonly digest: number;
		/** When the copy was current, by the store's clock. An age would not show how long the beacon was under way. */
		readonly asOfStoreMs: number;
		/** Whether the sender's own reads come through. */
		readonly isRead: boolean;
	};
	readonly lease?: LeaseStatus;
	readonly loads: ReadonlyArray<readonly [TargetId, number]>;
	readonly demand: readonly ModelDemand[];
	readonly reported: readonly ReportedCopies[];
	readonly leavingCopies: readonly LeavingCopy[];
	readonly adapters: readonly HeldAdapter[];
	readonly crashes: readonly CrashCount[];
};

/** What an instance has when it pulls. */
export type KnownVersions = {
	readonly from: EntryInstance;
	readonly configurationVersion: number;
	readonly registryRevision: number;
};

/** What a pull brings: only what is newer than the asker's holdings. */
export type StateTransfer = {
	readonly instances: readonly EntryInstance[];
	readonly configuration?: EntryConfiguration;
	readonly registry?: {
		readonly revision: number;
		/** When the entries were current, by the store's clock. */
		readonly asOfStoreMs: number;
		readonly entries: readonly TargetEntry[];
	};
	readonly lease?: LeaseStatus;
};

/** What is known of another instance. */
export type Peer = {
	instance: EntryInstance;
	heardAtMs: number;
	/** When a beacon was last sent to it. */
	beaconSentAtMs: number;
	/** When something was last pulled from it. */
	pulledAtMs: number;
	isLeaving: boolean;
	/** Whether its reads of the registry come through. */
	canReadStore: boolean;
	demand: readonly ModelDemand[];
};

export type Peers = Map<InstanceId, Peer>;
