/**
Input and result of the placement plan of one service.
*/
import {type TargetId, type ZoneName} from '../types.js';
import {type Engine} from './configuration.js';
import {type EnabledMechanisms} from './mechanisms.js';
import {type ModelCopy} from './target.js';

export type PlannedTarget = {
	readonly id: TargetId;
	readonly zone: ZoneName;
	readonly copies: readonly ModelCopy[];
	/** Models that an accepted or pending order loads here, or for which memory is being freed. */
	readonly loading: readonly string[];
	/** Expected time until that load is complete. */
	readonly loadingForMs: number;
	/** Copies that are about to be unloaded. */
	readonly leaving: readonly string[];
	/** Whether an order for a model can be sent now. */
	readonly isIdle: boolean;
	readonly inMemory: readonly string[];
	readonly onDisk: readonly string[];
};

export type PlannedDemand = {
	/** Arrivals per second, those of the last seconds included. */
	readonly perSecond: number;
	/** Whether fewer arrive now than in the last seconds. */
	readonly isFalling: boolean;
	/** Engines that reading their prompts keeps busy. */
	readonly busyShare: number;
	/** Requests that run or are queued, at all instances. */
	readonly open: number;
	/** Requests that are queued. */
	readonly waiting: number;
	/** Time since it was first requested without a copy anywhere; 0 while there is one. */
	readonly missingMs: number;
	/** Time since it got a copy after it had been missing; infinite if it was not. */
	readonly backForMs: number;
	/** Shortest latency objective of the routes that request it. */
	readonly objectiveMs: number;
	/** Adapters in use. */
	readonly adapters: ReadonlySet<string>;
};

export type PlanInput = {
	readonly engine: Engine;
	readonly targets: readonly PlannedTarget[];
	readonly demand: ReadonlyMap<string, PlannedDemand>;
	readonly mechanisms: EnabledMechanisms;
	/** Loads that may start from the weight store now; a load may start from 1 on. */
	readonly storeLoads: number;
};

export type PlannedMove = {
	readonly kind: 'load' | 'unload';
	readonly targetId: TargetId;
	readonly model: string;
	/** Duration of the load, or of the one that follows an unload. */
	readonly takesMs: number;
	/** Whether that load takes the weights from the weight store. */
	readonly isFromStore: boolean;
	/** The model for which the move is made: the one to load, or the one that needs the memory. */
	readonly wanted: string;
	/** For the log: why the move is made, and the additional requests that it is expected to serve in time. */
	readonly reason: MoveReason;
	readonly worth: number;
};

/** `no-copy`: no target holds the model. `full`: its copies are overloaded. `urgent`: it needs a spare copy or more adapter places. */
export type MoveReason = 'no-copy' | 'full' | 'urgent';
