/**
Test harness for the reducer of an entry instance. It dispatches events with the times of
a virtual clock, collects the effects, and provides default routes, a configuration,
beacons and registry entries. No network is involved.
*/
import {type EntryConfiguration, type Route} from '../../src/core/entry/configuration.js';
import {type EntryEffect, type EntryEffectOf} from '../../src/core/entry/effect.js';
import {type Untimed} from '../../src/core/entry/event.js';
import {reduceEntry} from '../../src/core/entry/reducer.js';
import {createEntryState} from '../../src/core/entry/state.js';
import {type Beacon} from '../../src/core/entry/peer-messages.js';
import {type TargetEntry} from '../../src/core/entry/target.js';
import {type EntryArrival, type EntryBounds, type EntryInstance} from '../../src/core/entry/types.js';

const TICK_INTERVAL_MS = 50;

export function instance(id: string, zone = 'north'): EntryInstance {
	return {
		id, boot: `${id}-1`, zone, address: `${id}:1`, beaconAddress: `${id}:2`,
	};
}

export function route(overrides: Partial<Route> = {}): Route {
	return {
		name: 'records',
		host: 'a.example',
		prefix: '/records/',
		repeat: 'idempotent',
		isStream: false,
		timeoutMs: 2000,
		objectiveMs: 200,
		pauseMs: 150,
		patienceMs: 2000,
		rank: 1,
		maxAttempts: 2,
		destinations: [{service: 'records', weight: 1}],
		...overrides,
	};
}

export const modelNames = ['m0', 'm1', 'm2', 'm3'];

export function configuration(overrides: Partial<EntryConfiguration> = {}): EntryConfiguration {
	return {
		version: 1,
		routes: [
			route(),
			route({
				name: 'sign', prefix: '/sign/', repeat: 'once', maxAttempts: 1,
			}),
			route({
				name: 'ask', prefix: '/ask/', isStream: true, destinations: [{service: 'llm', weight: 1}], rank: 0,
			}),
			route({
				name: 'digest', prefix: '/digest/', isStream: true, repeat: 'once', maxAttempts: 1, destinations: [{service: 'llm', weight: 1}], rank: 2,
			}),
		],
		services: new Map([
			['records', {name: 'records', maxConnections: 200, engine: undefined}],
			['llm', {
				name: 'llm',
				maxConnections: 700,
				engine: {
					memoryMb: 1000,
					adapterPlaces: 2,
					loadsPerSecond: 2,
					models: new Map(modelNames.map(name => [name, {
						name, sizeMb: 400, loadMs: 3000, diskLoadMs: 800, memoryLoadMs: 500, adapterMb: 10, adapters: 5,
					}])),
				},
			}],
		]),
		limits: {
			headerBytes: 16_384, bodyBytes: 1_000_000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
		},
		...overrides,
	};
}

export function beacon(overrides: Partial<Beacon> = {}): Beacon {
	return {
		from: instance('b'),
		isLeaving: false,
		configurationVersion: 1,
		registry: {
			revision: 0, digest: 0, asOfStoreMs: 0, isRead: true,
		},
		loads: [],
		demand: [],
		reported: [],
		leavingCopies: [],
		comingCopies: [],
		adapters: [],
		crashes: [],
		...overrides,
	};
}

export function targetEntry(id: string, overrides: Partial<TargetEntry> = {}): TargetEntry {
	return {
		id,
		incarnation: 1,
		service: 'records',
		address: `${id}:80`,
		zone: 'north',
		slots: 6,
		isLeaving: false,
		sequence: 0,
		slowLeftMs: 0,
		release: 'v1',
		copies: [],
		inMemory: [],
		onDisk: [],
		...overrides,
	};
}

export function engineEntry(id: string, models: readonly string[], overrides: Partial<TargetEntry> = {}): TargetEntry {
	return targetEntry(id, {
		service: 'llm', slots: 4, copies: models.map(model => ({model, version: 1, adapters: []})), ...overrides,
	});
}

export class EntryHarness {
	readonly state = createEntryState();
	readonly effects: EntryEffect[] = [];
	nowMs: number;
	/** Wall-clock time minus the monotonic clock. */
	wallOffsetMs = 1_000_000;
	/** The store's clock minus this instance's monotonic clock. */
	storeClockOffsetMs = 500_000;
	private _revision = 1;

	constructor(readonly self: EntryInstance = instance('a'), {startMs = 1000, bounds = {}}: {readonly startMs?: number; readonly bounds?: Partial<EntryBounds>} = {}) {
		this.nowMs = startMs;
		this.dispatch({
			kind: 'started',
			self,
			bounds: {
				graceMs: 8000, drainMs: 2000, leaseMs: 3000, repeatShare: 0.2, repeatWindowMs: 10_000, repeatSlack: 100, ...bounds,
			},
			seed: 7,
		});
	}

	get storeMs(): number {
		return this.nowMs + this.storeClockOffsetMs;
	}

	dispatch(event: Untimed): EntryEffect[] {
		const effects = reduceEntry(this.state, {...event, nowMs: this.nowMs, wallMs: this.nowMs + this.wallOffsetMs});
		this.effects.push(...effects);
		return effects;
	}

	/** Advances the clock tick by tick. Returns the effects of these ticks. */
	advance(durationMs: number): EntryEffect[] {
		const firstIndex = this.effects.length;
		for (const endMs = this.nowMs + durationMs; this.nowMs < endMs;) {
			this.nowMs += TICK_INTERVAL_MS;
			this.dispatch({kind: 'tick'});
		}

		return this.effects.slice(firstIndex);
	}

	configure(overrides: Partial<EntryConfiguration> = {}): this {
		this.dispatch({kind: 'configuration-read', configuration: configuration(overrides)});
		return this.confirmConfiguration();
	}

	/** The store has no newer version now. */
	confirmConfiguration(): this {
		this.dispatch({
			kind: 'configuration-checked', sentAtMs: this.nowMs, sentAtWallMs: this.nowMs + this.wallOffsetMs, storeMs: this.storeMs,
		});
		return this;
	}

	/** Delivers a full snapshot of the target registry. */
	readRegistry(entries: readonly TargetEntry[]): this {
		this._revision++;
		this.dispatch({
			kind: 'registry-read', revision: this._revision, entries, removed: [], isFullSnapshot: true, sentAtMs: this.nowMs, sentAtWallMs: this.nowMs + this.wallOffsetMs, storeMs: this.storeMs,
		});
		return this;
	}

	/** Delivers a read of the registry that brings no change. */
	confirmRegistry(): this {
		this.dispatch({
			kind: 'registry-read', revision: this.state.registry.revision, entries: [], removed: [], isFullSnapshot: false, sentAtMs: this.nowMs, sentAtWallMs: this.nowMs + this.wallOffsetMs, storeMs: this.storeMs,
		});
		return this;
	}

	/** Delivers the answer to a check that there is no newer configuration. */
	checkConfiguration(sentAgoMs = 0): this {
		const sentAtMs = this.nowMs - sentAgoMs;
		this.dispatch({
			kind: 'configuration-checked', sentAtMs, sentAtWallMs: sentAtMs + this.wallOffsetMs, storeMs: this.storeMs,
		});
		return this;
	}

	/** Suspends the process: its monotonic clock stands still, while the time of day and the store's clock go on. */
	suspend(durationMs: number): this {
		this.wallOffsetMs += durationMs;
		this.storeClockOffsetMs += durationMs;
		return this;
	}

	arrive(id: string, path = '/records/1', overrides: EntryArrivalOverrides = {}): EntryEffect[] {
		return this.dispatch({
			kind: 'request-arrived',
			arrival: {
				id, host: 'a.example', path, contentHash: `hash ${id}`, model: undefined, adapter: undefined, deadlineMs: 2000, ...overrides,
			},
		});
	}

	endTry(requestId: string, tryNumber: number, outcome: EndedTryOutcome): EntryEffect[] {
		return this.dispatch({
			kind: 'try-ended', requestId, tryNumber, outcome, delivered: 0,
		});
	}

	holdLease(): this {
		this.state.lease.requestedEpoch = 1;
		this.dispatch({
			kind: 'lease-request-completed', result: {kind: 'written', revision: 5}, sentAtMs: this.nowMs, sentAtWallMs: this.nowMs + this.wallOffsetMs,
		});
		return this;
	}
}

export type EntryArrivalOverrides = Partial<EntryArrival>;

type EndedTryOutcome = 'not-sent' | 'not-run' | 'answered' | 'failed' | 'broken' | 'unproven' | 'canceled';

export function effectsOfKind<Kind extends EntryEffect['kind']>(effects: readonly EntryEffect[], kind: Kind): Array<EntryEffectOf<Kind>> {
	return effects.filter((effect): effect is EntryEffectOf<Kind> => effect.kind === kind);
}
