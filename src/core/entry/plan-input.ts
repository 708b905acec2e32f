/**
What a plan of copies is made from, and what comes of it.
*/
import {type TargetId, type ZoneName} from '../types.js';
import {type Engine} from './configuration.js';
import {type ModelCopy} from './target.js';

export type PlannedTarget = {
	readonly id: TargetId;
	readonly zone: ZoneName;
	readonly slots: number;
	readonly copies: readonly ModelCopy[];
	/** Models that an accepted or waiting order brings here, or that room is being made for. */
	readonly loading: readonly string[];
	/** Copies that are about to be unloaded. */
	readonly leaving: readonly string[];
	/** Whether an order for a model can be given now. */
	readonly isIdle: boolean;
	/** Share of the slots in use. */
	readonly load: number;
	readonly inMemory: readonly string[];
	readonly onDisk: readonly string[];
};

export type PlannedDemand = {
	readonly perSecond: number;
	/** Requests that run or wait, over all instances. */
	readonly open: number;
	/** The most of these lately, fading. */
	readonly recentOpen: number;
	/** Time since it was first asked for without a copy anywhere; 0 while there is one. */
	readonly missingMs: number;
	/** Shortest objective of the routes that ask for it. */
	readonly objectiveMs: number;
	/** Adapters in use. */
	readonly adapters: ReadonlySet<string>;
};

export type PlanInput = {
	readonly engine: Engine;
	readonly targets: readonly PlannedTarget[];
	readonly demand: ReadonlyMap<string, PlannedDemand>;
	/** Moves that may begin now. */
	readonly storeLoads: number;
};

export type PlannedMove = {
	readonly kind: 'load' | 'unload';
	readonly targetId: TargetId;
	readonly model: string;
	readonly takesMs: number;
	/** Whether the load draws on the weight store. */
	readonly isFromStore: boolean;
	/** The model for which the move is made: the one to load, or the one that needs the room. */
	readonly wanted: string;
	/** Why the move is worth making, and requests served in time that it is expected to bring, for the log. */
	readonly reason: MoveReason;
	readonly worth: number;
};

export type MoveReason = 'no-copy' | 'full' | 'urgent';
