/**
The whole state of an entry instance. Only its reducer changes it, in place, so that
the cost of an event does not grow with it.
*/
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {type RandomGenerator} from 'pure-rand/types/RandomGenerator';
import TinyQueue from 'tinyqueue';
import {type LogEventName} from '../log-events.js';
import {RecentMap} from '../request/recent-map.js';
import {type RequestId, type TargetId} from '../types.js';
import {type EntryConfiguration, type RouteIndex} from './configuration.js';
import {type EntryEffect} from './effect.js';
import {type HeldAdapter, type Peers} from './peer-messages.js';
import {OrderTracker} from './order-tracker.js';
import {createLease, type Lease} from './lease-state.js';
import {type RetryBudget} from './retry-budget.js';
import {type Target} from './target.js';
import {type EntryBounds, type EntryInstance, type EntryRequest} from './types.js';
import {type WaitingQueue} from './waiting-queue.js';

const CRASHES_KEPT = 5000;

export type Due = {
	readonly atMs: number;
	readonly requestId: RequestId;
	/** `deadline` ends the request; `patience` judges its wait; `silence` judges the try of that number. */
	readonly kind: 'deadline' | 'patience' | 'silence';
	readonly tryNumber: number;
};

/** Arrivals for one model, smoothed. */
export type DemandRecord = {
	readonly service: string;
	readonly model: string;
	arrivals: number;
	perSecond: number;
	objectiveMs: number;
	ratedAtMs: number;
	lastAtMs: number;
	open: number;
	/** Adapters with the time of their last use. */
	readonly adapters: Map<string, number>;
};

export type EntryState = {
	self: EntryInstance;
	bounds: EntryBounds;
	random: RandomGenerator;
	lifecycle: 'starting' | 'serving' | 'draining' | 'stopped';
	drainSinceMs: number;
	isFrontClosed: boolean;
	startedAtMs: number;
	configuration: EntryConfiguration | undefined;
	routes: RouteIndex;
	/** Since when a peer is known to hold a newer configuration. */
	configurationBehindSinceMs: number | undefined;
	readonly targets: Map<TargetId, Target>;
	registry: {
		revision: number;
		/** When the copy was current at the store, as far as known: by this instance's clock and by the store's (0 before the first). */
		freshAtMs: number;
		asOfStoreMs: number;
		/** What the store's clock lacks to this instance's, from the last own read; undefined while not known. */
		storeOffsetMs: number | undefined;
		/** Since when reads have had no answer. */
		unansweredSinceMs: number | undefined;
		readSentAtMs: number;
		/** Entries that are found missing until then may come back. */
		graceUntilMs: number;
		/** When reading last failed, and when it worked again after that. */
		failedAtMs: number;
		restoredAtMs: number;
		/** Changes with what the entries say, equal on instances that hold the same. */
		digest: number;
	};
	readonly open: Map<RequestId, EntryRequest>;
	readonly queues: Map<string, WaitingQueue>;
	readonly due: TinyQueue<Due>;
	readonly budgets: Map<string, RetryBudget>;
	readonly crashes: RecentMap<number>;
	/** Content whose crashes were counted here lately, with the time until which peers are told. */
	readonly crashesToAnnounce: Map<string, number>;
	/** Adapters brought to targets lately, with the time until which peers are told. */
	readonly adaptersToAnnounce: Map<string, {readonly adapter: HeldAdapter; readonly untilMs: number}>;
	readonly demand: Map<string, DemandRecord>;
	readonly peers: Peers;
	beaconsSentAtMs: number;
	readonly lease: Lease;
	readonly orderTracker: OrderTracker;
	/** Requests that wait for an adapter, by `target model/adapter`. */
	readonly fetching: Map<string, {sinceMs: number; readonly requests: Set<RequestId>}>;
};

export function createEntryState(): EntryState {
	return {
		self: {
			id: '', boot: '', zone: '', address: '', beaconAddress: '',
		},
		bounds: {
			graceMs: 8000, leaseMs: 3000, repeatShare: 0.2, repeatWindowMs: 10_000, repeatSlack: 0,
		},
		random: xoroshiro128plus(0),
		lifecycle: 'starting',
		drainSinceMs: 0,
		isFrontClosed: false,
		startedAtMs: 0,
		configuration: undefined,
		routes: new Map(),
		configurationBehindSinceMs: undefined,
		targets: new Map(),
		registry: {
			revision: 0,
			freshAtMs: Number.NEGATIVE_INFINITY,
			asOfStoreMs: 0,
			storeOffsetMs: undefined,
			unansweredSinceMs: undefined,
			readSentAtMs: Number.NEGATIVE_INFINITY,
			graceUntilMs: Number.NEGATIVE_INFINITY,
			failedAtMs: Number.NEGATIVE_INFINITY,
			restoredAtMs: Number.NEGATIVE_INFINITY,
			digest: 0,
		},
		open: new Map(),
		queues: new Map(),
		due: new TinyQueue<Due>([], (a, b) => a.atMs - b.atMs),
		budgets: new Map(),
		crashes: new RecentMap(CRASHES_KEPT),
		crashesToAnnounce: new Map(),
		adaptersToAnnounce: new Map(),
		demand: new Map(),
		peers: new Map(),
		beaconsSentAtMs: Number.NEGATIVE_INFINITY,
		lease: createLease(),
		orderTracker: new OrderTracker(),
		fetching: new Map(),
	};
}

/** What a handler gets beside its event. One context lives as long as one event. */
export type EntryContext = {
	readonly state: EntryState;
	readonly nowMs: number;
	readonly wallMs: number;
	readonly effects: EntryEffect[];
};

export function logEvent(context: EntryContext, event: LogEventName, fields: Readonly<Record<string, unknown>>): void {
	context.effects.push({kind: 'log', event, fields});
}

/** A number from 0 up to but not including 1. */
export function randomFraction({state}: EntryContext): number {
	return uniformFloat64(state.random);
}
