/**
A deployment in one process: entry cores, modelled engines and services, the store and
the messages between them, all on one virtual clock. Carries out the effects of the
cores and checks at every step what must always hold.
*/
import {type EntryConfiguration, type EngineModel as ModelSizes} from '../core/entry/configuration.js';
import {type EntryEffect, type EntryEffectOf} from '../core/entry/effect.js';
import {type Untimed} from '../core/entry/event.js';
import {type EnabledMechanisms} from '../core/entry/mechanisms.js';
import {type PaceMode} from '../core/entry/pace.js';
import {transferFor} from '../core/entry/peer-sync.js';
import {reduceEntry} from '../core/entry/reducer.js';
import {createEntryState, type EntryState} from '../core/entry/state.js';
import {type TargetEntry} from '../core/entry/target.js';
import {type EntryInstance, type TryOutcome} from '../core/entry/types.js';
import {type Attempt, Callers, type Resumptions} from './callers.js';
import {
	createConfiguration, hasRoom, HOST, keyHashOf, MODEL_SERVICE, modelName, PLAIN_SERVICE,
} from './deployment-configuration.js';
import {ModeledEngine} from './engine-model.js';
import {Invariants, QUOTA_BOUNDS, REVOKE_MS} from './invariants.js';
import {ModeledNetwork} from './modeled-network.js';
import {ModeledStore} from './modeled-store.js';
import {type Outcome} from './outcomes.js';
import {type Pattern, type PatternEvent} from './pattern.js';
import {RandomSource} from './random-source.js';
import {Simulation} from './simulation.js';
import {RateLimitMonitor} from './rate-limit-monitor.js';
import {generateRequests} from './workload.js';

const TICK_MS = 50;
/** Time after which an instance gives up opening a connection. */
const CONNECT_TIMEOUT_MS = 300;
const PROGRESS_INTERVAL_MS = 200;
const MISSED_HEARTBEATS = 3;
const REPORT_INTERVAL_MS = 50;
const SAMPLE_INTERVAL_MS = 500;
/** The wall clock of the simulation starts here, so that it is never zero. */
const WALL_OFFSET_MS = 1_000_000;
const MAX_SEED = 0x7F_FF_FF_FF;
/** Time after the last arrival in which answers still count. */
const TAIL_MS = 15_000;
const BOUNDS = {
	graceMs: 8000, drainMs: 2000, leaseMs: 3000, repeatShare: 0.2, repeatWindowMs: 10_000, repeatSlack: 100,
};

export type FleetOptions = {
	readonly pattern: Pattern;
	readonly seed: number;
	readonly mechanisms: EnabledMechanisms;
	readonly paceMode?: PaceMode;
};

type Instance = {
	readonly identity: EntryInstance;
	readonly zone: number;
	state: EntryState;
	isUp: boolean;
	/** Grows with every start, so that nothing scheduled for an earlier life has an effect. */
	life: number;
};

type ModelTarget = {
	readonly id: string;
	readonly zone: number;
	readonly release: string;
	/** Whether it says that it leaves. */
	isLeaving: boolean;
	readonly engine: ModeledEngine | undefined;
	readonly slots: number;
	isUp: boolean;
	/** Whether nothing reaches it, and nothing comes from it. */
	isDark: boolean;
	slowness: number;
	/** Requests that a plain service runs or has queued. */
	running: number;
};

/** A try on its way to a target, and how its answers get back. */
type TrySending = {
	readonly tryNumber: number;
	readonly respond: (event: Extract<Untimed, {kind: 'try-progressed' | 'try-ended'}>) => void;
};

/** State of the deployment at a moment, for plots. */
export type FleetSample = {
	readonly atMs: number;
	/** Copies by model. */
	readonly copies: Readonly<Record<string, number>>;
	/** Requests at each engine. */
	readonly loads: readonly number[];
};

export type FleetResult = {
	readonly outcomes: readonly Outcome[];
	readonly samples: readonly FleetSample[];
	readonly readTokens: number;
	readonly keptTokens: number;
	readonly preemptions: number;
	readonly moves: number;
	readonly storeLoads: number;
	readonly events: number;
	readonly messageBytes: number;
	/** Tries sent to targets that were dark, and probes. */
	readonly unreachedTries: number;
	readonly probes: number;
	readonly resumptions: Resumptions;
	readonly moved: ReadonlyArray<{readonly atMs: number; readonly kind: string; readonly model: string; readonly targetId: string}>;
	/** What must hold and did not, empty in every correct run. */
	readonly violations: readonly string[];
};

export class Fleet {
	readonly simulation = new Simulation();
	readonly samples: FleetSample[] = [];
	readonly violations: string[] = [];
	private readonly _random: RandomSource;
	private readonly _store = new ModeledStore();
	private readonly _network: ModeledNetwork;
	private readonly _instances: Instance[];
	private readonly _instanceByBeaconAddress: ReadonlyMap<string, Instance>;
	private readonly _targets = new Map<string, ModelTarget>();
	private readonly _callers: Callers<Instance>;
	private _configuration: EntryConfiguration;
	/** When the key of a workspace was withdrawn. */
	private readonly _keysWithdrawnAtMs = new Map<number, number>();
	/** Instances whose calls the store refuses. */
	private readonly _refusedByStore = new Set<string>();
	private readonly _rateLimits = new RateLimitMonitor({simulation: this.simulation, onViolation: text => this.violations.push(text)});
	private readonly _invariants = new Invariants({simulation: this.simulation, onViolation: text => this.violations.push(text)});

	private readonly _adapterCalls = new Map<string, (isHeld: boolean, sequence: number) => void>();
	private readonly _moved: Array<{atMs: number; kind: string; model: string; targetId: string}> = [];
	private _lastCallId = 0;
	/** New releases of the engines so far. */
	private _releases = 0;
	private _eventCount = 0;
	private _messageBytes = 0;
	private _unreachedTries = 0;
	private _probes = 0;

	constructor(private readonly _options: FleetOptions) {
		const {pattern, seed} = _options;
		this._random = new RandomSource(seed);
		this._network = new ModeledNetwork(pattern, this._random);
		this._configuration = createConfiguration(pattern);
		this._createTargets();
		this._callers = new Callers<Instance>({
			simulation: this.simulation,
			startMs: pattern.leadS * 1000,
			pick: zone => this._pickInstance(zone),
			submit: (attempt, deadlineMs) => {
				this._submit(attempt, deadlineMs);
			},
			leave: ({instance, id}) => {
				this._later(instance, 0, () => {
					this._dispatch(instance, {kind: 'caller-left', requestId: id});
				});
			},
			onViolation: text => {
				this.violations.push(text);
			},
		});
		this._instances = Array.from({length: pattern.zones * pattern.instancesPerZone}, (_, index) => this._createInstance(index));
		this._instanceByBeaconAddress = new Map(this._instances.map(instance => [instance.identity.beaconAddress, instance]));
	}

	run(): FleetResult {
		const {pattern} = this._options;
		const leadMs = pattern.leadS * 1000;
		for (const instance of this._instances) {
			this._start(instance);
		}

		for (const target of this._targets.values()) {
			this._heartbeat(target);
		}

		this._recordReports();
		this._sample();
		for (const generated of generateRequests(pattern, this._random)) {
			this.simulation.schedule(leadMs + generated.atMs, () => {
				this._callers.attempt(generated, generated.kind.retries);
			});
		}

		for (const event of pattern.events) {
			this.simulation.schedule(leadMs + (event.atS * 1000), () => {
				this._applyEvent(event);
			});
		}

		this.simulation.runUntil(leadMs + (pattern.lengthS * 1000) + TAIL_MS);
		return this._result();
	}

	private _result(): FleetResult {
		const engines = [...this._targets.values()].map(({engine}) => engine).filter(engine => engine !== undefined);
		const sum = (counter: 'readTokens' | 'keptTokens' | 'preemptions' | 'storeLoads' | 'loads') => engines.reduce((total, {counters}) => total + counters[counter], 0);
		return {
			outcomes: this._callers.outcomes,
			samples: this.samples,
			readTokens: sum('readTokens'),
			keptTokens: sum('keptTokens'),
			preemptions: sum('preemptions'),
			moves: sum('loads'),
			storeLoads: sum('storeLoads'),
			events: this._eventCount,
			messageBytes: this._messageBytes,
			unreachedTries: this._unreachedTries,
			probes: this._probes,
			resumptions: this._callers.resumptions,
			moved: this._moved,
			violations: this.violations,
		};
	}

	private _createTargets(): void {
		const {pattern} = this._options;
		const {models} = (this._configuration.services.get(MODEL_SERVICE)!.engine!);
		for (let zone = 0; zone < pattern.zones; zone++) {
			for (let index = 0; index < pattern.enginesPerZone; index++) {
				const engine = new ModeledEngine(this.simulation, pattern.engine, models);
				engine.speed = pattern.engine.speeds[((zone * pattern.enginesPerZone) + index) % pattern.engine.speeds.length]!;
				engine.statesSlowness = pattern.engine.noise !== undefined;
				this._makeNoise(engine);
				this._addTarget({
					id: `engine-${zone}-${index}`, zone, release: `v${((zone * pattern.enginesPerZone) + index) % pattern.releases}`, engine, slots: pattern.engine.slots,
				});
			}

			for (let index = 0; index < pattern.servicesPerZone; index++) {
				this._addTarget({
					id: `service-${zone}-${index}`, zone, release: 'v0', engine: undefined, slots: pattern.serviceSlots,
				});
			}
		}

		this._placeFirstCopies(models);
	}

	/** Slows an engine now and then, as others on its machine do. */
	private _makeNoise(engine: ModeledEngine): void {
		const {noise} = this._options.pattern.engine;
		if (!noise) {
			return;
		}

		const quietMs = this._random.exponential(noise.forMs * (1 - noise.share) / noise.share);
		this.simulation.schedule(quietMs, () => {
			engine.slowness = noise.times;
			this.simulation.schedule(noise.forMs, () => {
				engine.slowness = 1;
				this._makeNoise(engine);
			});
		});
	}

	private _addTarget(options: Pick<ModelTarget, 'id' | 'zone' | 'release' | 'engine' | 'slots'>): ModelTarget {
		const target = {
			...options, isUp: true, isLeaving: false, isDark: false, slowness: 1, running: 0,
		};
		this._targets.set(target.id, target);
		return target;
	}

	/** The first model gets several copies, the others one each, as far as there is room. */
	private _placeFirstCopies(models: ReadonlyMap<string, ModelSizes>): void {
		const {pattern} = this._options;
		const engines = [...this._targets.values()].map(({engine}) => engine).filter(engine => engine !== undefined);
		let next = 0;
		for (const [index, model] of [...models.values()].entries()) {
			for (let copy = 0; copy < (index === 0 ? pattern.models.firstCopies : 1); copy++) {
				const order = [...engines.slice(next), ...engines.slice(0, next)];
				const engine = order.find(({copies}) => !copies.has(model.name) && hasRoom(pattern, copies.size, model));
				engine?.place(model.name);
				next = engine ? (engines.indexOf(engine) + 1) % engines.length : next;
			}
		}
	}

	private _createInstance(index: number): Instance {
		const zone = index % this._options.pattern.zones;
		const id = `instance-${index}`;
		return {
			identity: {
				id, boot: `${id}-0`, zone: `zone-${zone}`, address: `${id}:1`, beaconAddress: `${id}:2`,
			},
			zone,
			state: createEntryState(),
			isUp: true,
			life: 0,
		};
	}

	private _start(instance: Instance): void {
		instance.isUp = true;
		instance.life++;
		instance.state = createEntryState();
		const self = {...instance.identity, boot: `${instance.identity.id}-${instance.life}`};
		const startedAtMs = this._random.uniform() * 300;
		this._later(instance, startedAtMs, () => {
			this._dispatch(instance, {
				kind: 'started', self, bounds: this._options.pattern.workspaces > 0 ? {...BOUNDS, revocation: {isStrict: true, withinMs: REVOKE_MS}, quota: QUOTA_BOUNDS} : BOUNDS, seed: Math.floor(this._random.uniform() * MAX_SEED), mechanisms: this._options.mechanisms, paceMode: this._options.paceMode,
			});
			this._dispatch(instance, {kind: 'instances-read', instances: this._instances.map(({identity}) => identity)});
			this._dispatch(instance, {kind: 'configuration-read', configuration: this._configuration});
			this._checkConfiguration(instance);
			this._tick(instance);
		});
	}

	private _tick(instance: Instance): void {
		this._dispatch(instance, {kind: 'tick'});
		this._later(instance, TICK_MS, () => {
			this._tick(instance);
		});
	}

	/** Schedules what only happens if the instance still lives the same life by then. */
	private _later(instance: Instance, delayMs: number, run: () => void): void {
		const {life} = instance;
		this.simulation.schedule(delayMs, () => {
			if (instance.isUp && instance.life === life) {
				run();
			}
		});
	}

	private _dispatch(instance: Instance, event: Untimed): void {
		this._eventCount++;
		const {nowMs} = this.simulation;
		for (const effect of reduceEntry(instance.state, {...event, nowMs, wallMs: nowMs + WALL_OFFSET_MS})) {
			(this._handlers[effect.kind] as ((instance: Instance, effect: EntryEffect) => void) | undefined)?.(instance, effect);
		}
	}

	private readonly _handlers: {readonly [Kind in EntryEffect['kind']]?: (instance: Instance, effect: EntryEffectOf<Kind>) => void} = {
		send: (instance, effect) => {
			this._send(instance, effect);
		},
		cancel: (instance, {requestId}) => {
			for (const target of this._targets.values()) {
				this.simulation.schedule(this._delayTo(instance, target), () => {
					target.engine?.cancel(requestId);
				});
			}
		},
		deliver: (_, {requestId}) => {
			this._callers.complete(requestId);
		},
		refuse: (_, {requestId, retryAfterMs, code}) => {
			const attempt = this._callers.open.get(requestId);
			if (attempt && code === 'api-key-unknown') {
				this._invariants.checkKeyRefused(requestId, this._keysWithdrawnAtMs.get(attempt.generated.workspace ?? -1));
			}

			this._callers.refuse(requestId, retryAfterMs, code === 'target-failed' || code === 'target-timeout');
		},
		'break-off': (_, {requestId}) => {
			this._callers.finish(requestId, 'failed');
		},
		'check-configuration': instance => {
			this._checkConfiguration(instance);
		},
		'read-registry': instance => {
			const sentAtMs = this.simulation.nowMs;
			this._later(instance, this._options.pattern.storeMs, () => {
				this._dispatch(instance, this._isRefused(instance)
					? {kind: 'registry-read-failed'}
					: {
						kind: 'registry-read',
						revision: this._store.registryRevision,
						entries: [...this._store.entries.values()],
						removed: [],
						isFullSnapshot: true,
						sentAtMs,
						storeMs: this.simulation.nowMs + 1,
					});
			});
		},
		'read-report': (instance, {targetId}) => {
			const target = this._targets.get(targetId);
			this._later(instance, 2 * this._delayTo(instance, target), () => {
				this._dispatch(instance, {kind: 'report-read', targetId, report: target?.isUp ? target.engine?.report() : undefined});
			});
		},
		'probe-target': (instance, {targetId, incarnation}) => {
			const target = this._targets.get(targetId);
			this._probes++;
			this._later(instance, target?.isDark ? CONNECT_TIMEOUT_MS : 2 * this._delayTo(instance, target), () => {
				this._dispatch(instance, {
					kind: 'target-probed', targetId, incarnation, outcome: target?.isUp ? (target.isDark ? 'unanswered' : 'accepted') : 'refused',
				});
			});
		},
		order: (instance, effect) => {
			this._order(instance, effect);
		},
		'ask-adapter': (instance, {holder, targetId, model, adapter}) => {
			this._askAdapter(instance, holder.id, {targetId, model, adapter});
		},
		'tell-adapter': (instance, {callId, targetId, name, isHeld, sequence, delayMs}) => {
			this._later(instance, delayMs, () => {
				if (callId === undefined) {
					this._dispatch(instance, {
						kind: 'adapter-resolved', targetId, name, isHeld, sequence,
					});
				} else {
					this._adapterCalls.get(`${instance.identity.id} ${callId}`)?.(isHeld, sequence);
				}
			});
		},
		'read-lease': instance => {
			this._callStore(instance, () => this._store.readLease());
		},
		'write-lease': (instance, {expectedRevision, record}) => {
			this._callStore(instance, () => this._store.writeLease(expectedRevision, record));
		},
		'read-releases': instance => {
			const sentAtMs = this.simulation.nowMs;
			this._later(instance, this._options.pattern.storeMs, () => {
				this._dispatch(instance, {kind: 'releases-read', row: this._isRefused(instance) ? undefined : this._store.readReleases(this.simulation.nowMs + 1), sentAtMs});
			});
		},
		'write-releases': (instance, {expectedRevision, record}) => {
			this._later(instance, this._options.pattern.storeMs, () => {
				this._dispatch(instance, {kind: 'releases-written', revision: this._isRefused(instance) ? undefined : this._store.writeReleases(expectedRevision, record)});
			});
		},
		beacon: (instance, {addresses, beacon}) => {
			this._broadcast(instance, addresses, {kind: 'beacon-received', beacon}, beacon);
		},
		'announce-load': (instance, {addresses, announcement}) => {
			this._broadcast(instance, addresses, {kind: 'load-announced', announcement}, announcement);
		},
		'ask-permits': (instance, {address, request}) => {
			this._broadcast(instance, [address], {kind: 'permits-requested', request}, request);
		},
		'grant-permits': (instance, {address, grant}) => {
			this._broadcast(instance, [address], {kind: 'permits-granted', grant}, grant);
		},
		'ask-quota': (instance, {address, ask}) => {
			this._broadcast(instance, [address], {kind: 'quota-asked', ask}, ask);
		},
		'grant-quota': (instance, {address, grant}) => {
			this._broadcast(instance, [address], {kind: 'quota-granted', grant}, grant);
		},
		'announce-origins': (instance, {addresses, announcement}) => {
			this._broadcast(instance, addresses, {kind: 'origins-announced', announcement}, announcement);
		},
		'ask-origin': (instance, {addresses, query}) => {
			this._broadcast(instance, addresses, {kind: 'origin-asked', query}, query);
		},
		'announce-stop': (instance, {addresses, announcement}) => {
			this._broadcast(instance, addresses, {kind: 'stop-announced', announcement}, announcement);
		},
		pull: (instance, {address, known}) => {
			this._pull(instance, address, known);
		},
	};

	private _isRefused({identity}: Instance): boolean {
		return this._store.isDown || this._refusedByStore.has(identity.id);
	}

	/** Only where there are workspaces: nothing else depends on the age of the configuration. The long polls of the feed are not modelled. */
	private _checkConfiguration(instance: Instance): void {
		const {workspaces, storeMs} = this._options.pattern;
		if (workspaces === 0) {
			return;
		}

		const sentAtMs = this.simulation.nowMs;
		this._later(instance, storeMs, () => {
			if (!this._isRefused(instance)) {
				this._dispatch(instance, {kind: 'configuration-read', configuration: this._configuration});
				this._dispatch(instance, {
					kind: 'configuration-checked', sentAtMs, sentAtWallMs: sentAtMs + WALL_OFFSET_MS, storeMs: this.simulation.nowMs + 1,
				});
			}
		});
	}

	private _callStore(instance: Instance, call: () => ReturnType<ModeledStore['readLease']>): void {
		const sentAtMs = this.simulation.nowMs;
		this._later(instance, this._options.pattern.storeMs, () => {
			this._dispatch(instance, {
				kind: 'lease-request-completed', result: this._isRefused(instance) ? {kind: 'unknown'} : call(), sentAtMs, sentAtWallMs: sentAtMs + WALL_OFFSET_MS,
			});
		});
	}

	private _broadcast(from: Instance, addresses: readonly string[], event: Untimed, message: unknown): void {
		this._messageBytes += JSON.stringify(message).length * addresses.length;
		for (const address of addresses) {
			const to = this._instanceByBeaconAddress.get(address);
			if (to && this._network.arrives(from.zone, to.zone)) {
				this._later(to, this._network.delayMs(from.zone, to.zone), () => {
					this._dispatch(to, event);
				});
			}
		}
	}

	private _pull(instance: Instance, address: string, known: EntryEffectOf<'pull'>['known']): void {
		const peer = this._instances.find(({identity}) => identity.address === address);
		if (!peer?.isUp || !this._network.arrives(instance.zone, peer.zone)) {
			return;
		}

		this._later(peer, this._network.delayMs(instance.zone, peer.zone), () => {
			const {nowMs} = this.simulation;
			const transfer = transferFor({
				state: peer.state, nowMs, wallMs: nowMs + WALL_OFFSET_MS, effects: [],
			}, known);
			this._later(instance, this._network.delayMs(instance.zone, peer.zone), () => {
				this._dispatch(instance, {kind: 'pull-completed', transfer});
			});
		});
	}

	private _askAdapter(instance: Instance, holderId: string, {targetId, model, adapter}: {targetId: string; model: string; adapter: string}): void {
		const holder = this._instances.find(({identity}) => identity.id === holderId);
		const resolve = (isHeld: boolean, sequence: number) => {
			this._later(instance, this._network.delayMs(instance.zone, holder?.zone ?? instance.zone), () => {
				this._dispatch(instance, {
					kind: 'adapter-resolved', targetId, name: `${model}/${adapter}`, isHeld, sequence,
				});
			});
		};

		if (!holder?.isUp || !this._network.arrives(instance.zone, holder.zone)) {
			return;
		}

		this._lastCallId++;
		const callId = this._lastCallId;
		this._adapterCalls.set(`${holderId} ${callId}`, resolve);
		this._later(holder, this._network.delayMs(instance.zone, holder.zone), () => {
			this._dispatch(holder, {
				kind: 'adapter-requested', callId, targetId, model, adapter,
			});
		});
	}

	private _order(instance: Instance, {targetId, orderNumber, order}: EntryEffectOf<'order'>): void {
		const target = this._targets.get(targetId);
		this._invariants.checkHolder(targetId, order);
		this._later(instance, 2 * this._delayTo(instance, target), () => {
			if (!target?.isUp || !target.engine) {
				this._dispatch(instance, {
					kind: 'order-answered', targetId, orderNumber, outcome: 'not-sent',
				});
				return;
			}

			const outcome = target.engine.order(order, () => this._options.pattern.models.loadMs);
			if (target.engine.usedMb() > this._options.pattern.engine.memoryMb) {
				this.violations.push(`${Math.round(this.simulation.nowMs)} ms: ${targetId} was ordered to load more than its memory holds`);
			}

			if (outcome === 'accepted' && order.adapter === undefined) {
				this._moved.push({
					atMs: this.simulation.nowMs, kind: order.kind, model: order.model, targetId,
				});
			}

			this._dispatch(instance, {
				kind: 'order-answered', targetId, orderNumber, outcome,
			});
		});
	}

	private _pickInstance(zone: number): Instance | undefined {
		const candidates = this._instances.filter(instance => instance.zone === zone && instance.isUp);
		return candidates[Math.floor(this._random.uniform() * candidates.length)] ?? this._instances.find(({isUp}) => isUp);
	}

	private _submit({id, instance, resumed, generated: {kind, model, adapter, parts, outputTokens, workspace}}: Attempt<Instance>, deadlineMs: number): void {
		this._dispatch(instance, {
			kind: 'request-arrived',
			arrival: {
				id,
				host: HOST,
				path: `/${kind.name}/x`,
				contentHash: id,
				model: model === undefined ? undefined : modelName(model),
				adapter,
				promptParts: parts.map(part => part.id),
				promptTokens: parts.length === 0 ? undefined : parts.reduce((sum, {tokens}) => sum + tokens, 0),
				outputTokens: parts.length === 0 ? undefined : outputTokens,
				keyHash: workspace === undefined ? undefined : keyHashOf(workspace),
				deadlineMs,
				lastEventId: resumed?.events,
				resumes: resumed?.id,
			},
		});
	}

	/** Counts the first try of each request. */
	private _checkQuota({generated: {parts, outputTokens, workspace}}: Attempt<Instance>, requestId: string, tryNumber: number): void {
		const {quota} = this._options.pattern;
		if (quota && workspace !== undefined && tryNumber === 1) {
			const units = parts.length === 0 ? quota.defaultTokens : parts.reduce((sum, {tokens}) => sum + tokens, outputTokens);
			this._invariants.checkQuotaSent(workspace, units, quota);
		}
	}

	private _send(instance: Instance, {requestId, tryNumber, targetId}: EntryEffectOf<'send'>): void {
		const attempt = this._callers.open.get(requestId);
		const target = this._targets.get(targetId);
		if (!attempt) {
			return;
		}

		this._invariants.checkKeySent(requestId, this._keysWithdrawnAtMs.get(attempt.generated.workspace ?? -1));
		this._checkQuota(attempt, requestId, tryNumber);
		const delayMs = this._delayTo(instance, target);
		const respond: TrySending['respond'] = event => {
			const perSecond = this._rateLimits.limitOf(targetId);
			this._later(instance, delayMs, () => {
				this._rateLimits.recordTold(instance.identity.id, targetId);
				this._dispatch(instance, {...event, rateLimit: {perSecond}});
			});
		};

		this.simulation.schedule(delayMs, () => {
			if (!target?.isUp || target.isDark || !this._network.arrives(instance.zone, target.zone)) {
				this._unreachedTries += target?.isDark ? 1 : 0;
				this._later(instance, target?.isDark ? CONNECT_TIMEOUT_MS : delayMs, () => {
					this._dispatch(instance, {
						kind: 'try-ended', requestId, tryNumber, outcome: 'not-sent', delivered: attempt.events,
					});
				});
				return;
			}

			this._rateLimits.recordArrival(instance.identity.id, targetId);
			if (target.engine) {
				this._runOnEngine(attempt, target, {tryNumber, respond, delayMs});
			} else {
				this._runOnService(attempt, target, {tryNumber, respond});
			}
		});
	}

	private _runOnEngine(attempt: Attempt<Instance>, {engine, release, slots}: ModelTarget, {tryNumber, respond, delayMs}: TrySending & {delayMs: number}): void {
		const {generated, id} = attempt;
		let progressAtMs = Number.NEGATIVE_INFINITY;
		let hasRun = false;
		const declined = engine!.run({
			id,
			model: modelName(generated.model!),
			adapter: generated.adapter,
			rank: generated.kind.rank,
			parts: generated.parts,
			outputTokens: Math.max(1, generated.outputTokens - (attempt.events * this._options.pattern.engine.tokensPerEvent)),
			onEvent: events => {
				if (!hasRun) {
					hasRun = true;
					this._callers.markRun(attempt);
				}

				const {nowMs} = this.simulation;
				this.simulation.schedule(delayMs, () => {
					this._callers.receiveEvent(attempt, release);
				});
				if (nowMs - progressAtMs >= PROGRESS_INTERVAL_MS) {
					progressAtMs = nowMs;
					respond({
						kind: 'try-progressed', requestId: id, tryNumber, delivered: events, load: engine!.load,
					});
				}
			},
			onEnd(outcome) {
				const ended: TryOutcome = outcome === 'complete' ? 'answered' : 'broken';
				respond({
					kind: 'try-ended', requestId: id, tryNumber, outcome: ended, delivered: attempt.events, load: engine!.load,
				});
			},
		});
		if (declined) {
			respond({
				kind: 'try-ended',
				requestId: id,
				tryNumber,
				outcome: 'not-run',
				delivered: attempt.events,
				isMissing: declined === 'missing',
				load: declined === 'full' ? {...engine!.load, slots} : undefined,
			});
		}
	}

	private _runOnService(attempt: Attempt<Instance>, target: ModelTarget, {tryNumber, respond}: TrySending): void {
		const {generated, id} = attempt;
		this._callers.markRun(attempt);
		target.running++;
		const waitMs = Math.max(0, target.running - target.slots) * generated.workMs / target.slots;
		this.simulation.schedule((generated.workMs + waitMs) * target.slowness, () => {
			target.running--;
			attempt.firstEventAtMs ??= this.simulation.nowMs;
			respond({
				kind: 'try-ended', requestId: id, tryNumber, outcome: 'answered', delivered: 0, load: {running: target.running, waiting: 0, slots: target.slots},
			});
		});
	}

	private _publish(target: ModelTarget): void {
		if (target.isUp && !this._store.isDown) {
			this._store.publish(this._entryOf(target));
		}
	}

	private _heartbeat(target: ModelTarget): void {
		this._publish(target);

		this.simulation.schedule(this._options.pattern.heartbeatMs * (0.9 + (this._random.uniform() * 0.2)), () => {
			this._heartbeat(target);
		});
	}

	private _entryOf({
		id, zone, release, engine, slots, isLeaving,
	}: ModelTarget): TargetEntry {
		const report = engine?.report();
		return {
			id,
			incarnation: engine?.incarnation ?? 1,
			service: engine ? MODEL_SERVICE : PLAIN_SERVICE,
			address: `${id}:80`,
			zone: `zone-${zone}`,
			slots,
			isLeaving,
			sequence: report?.sequence ?? 0,
			slowLeftMs: 0,
			release,
			copies: report?.copies ?? [],
			inMemory: report?.inMemory ?? [],
			onDisk: report?.onDisk ?? [],
		};
	}

	private _recordReports(): void {
		for (const {engine} of this._targets.values()) {
			engine?.recordReport();
		}

		this.simulation.schedule(REPORT_INTERVAL_MS, () => {
			this._recordReports();
		});
	}

	private _checkInstances(): void {
		const states = this._instances.filter(({isUp, state}) => isUp && state.lifecycle === 'serving').map(({state}) => state);
		if (this.simulation.nowMs >= this._options.pattern.leadS * 1000) {
			this._invariants.checkShares(states);
		}

		for (const state of states) {
			this._invariants.checkQueues(state);
		}
	}

	private _sample(): void {
		this._checkInstances();
		const copies: Record<string, number> = {};
		const loads: number[] = [];
		for (const {engine} of this._targets.values()) {
			if (engine) {
				loads.push(engine.load.running + engine.load.waiting);
				for (const model of engine.copies.keys()) {
					copies[model] = (copies[model] ?? 0) + 1;
				}
			}
		}

		this.samples.push({atMs: this.simulation.nowMs - (this._options.pattern.leadS * 1000), copies, loads});
		this.simulation.schedule(SAMPLE_INTERVAL_MS, () => {
			this._sample();
		});
	}

	private _applyEvent(event: PatternEvent): void {
		(this._eventHandlers[event.kind] as ((event: PatternEvent) => void) | undefined)?.(event);
	}

	private readonly _eventHandlers: {readonly [Kind in PatternEvent['kind']]?: (event: Extract<PatternEvent, {kind: Kind}>) => void} = {
		'engine-crash': ({forS, number}) => {
			for (const target of this._pickEngines(number)) {
				target.isUp = false;
				target.engine!.crash();
				this.simulation.schedule(MISSED_HEARTBEATS * this._options.pattern.heartbeatMs, () => {
					if (!target.isUp) {
						this._store.remove(target.id);
					}
				});
				this.simulation.schedule(forS * 1000, () => {
					target.isUp = true;
				});
			}
		},
		'engine-slow': ({forS, number, times}) => {
			for (const target of this._pickEngines(number)) {
				target.engine!.slowness = times;
				this.simulation.schedule(forS * 1000, () => {
					target.engine!.slowness = 1;
				});
			}
		},
		'engine-dark': ({forS, number}) => {
			for (const target of this._pickEngines(number)) {
				target.isDark = true;
				target.engine!.pause(forS * 1000);
				this.simulation.schedule(forS * 1000, () => {
					target.isDark = false;
				});
			}
		},
		'engine-pause': ({forS, number}) => {
			for (const target of this._pickEngines(number)) {
				target.engine!.pause(forS * 1000);
			}
		},
		'named-limit': ({forS, number, perSecond}) => {
			for (const {id} of this._pickEngines(number)) {
				this._rateLimits.name(id, perSecond);
				this.simulation.schedule(forS * 1000, () => {
					this._rateLimits.lift(id);
				});
			}
		},
		'instance-kill': ({forS, number, holder}) => {
			const first = this._instances.filter(({state, isUp}) => isUp && holder && state.lease.held !== undefined);
			const others = this._instances.filter(instance => instance.isUp && !first.includes(instance));
			for (const instance of [...first, ...others].slice(0, number)) {
				this._kill(instance, forS * 1000);
			}
		},
		release: ({forS, share, leaveS}) => {
			const engines = this._pickEngines(Number.MAX_SAFE_INTEGER);
			const replaced = engines.slice(0, Math.ceil(engines.length * share));
			this._releases++;
			const release = `v${this._options.pattern.releases - 1 + this._releases}`;
			for (const [index, target] of replaced.entries()) {
				this.simulation.schedule(forS * 1000 * index / replaced.length, () => {
					this._replaceEngine(target, release, leaveS * 1000);
				});
			}
		},
		'store-down': ({forS}) => {
			this._store.isDown = true;
			this.simulation.schedule(forS * 1000, () => {
				this._store.isDown = false;
			});
		},
		'store-refuses': ({forS, share}) => {
			const refused = this._instances.filter((_, index) => index % Math.max(1, Math.round(1 / share)) === 0).map(({identity}) => identity.id);
			for (const id of refused) {
				this._refusedByStore.add(id);
			}

			this.simulation.schedule(forS * 1000, () => {
				for (const id of refused) {
					this._refusedByStore.delete(id);
				}
			});
		},
		'withdraw-key': ({workspace}) => {
			this._keysWithdrawnAtMs.set(workspace, this.simulation.nowMs);
			this._configuration = {
				...this._configuration,
				version: this._configuration.version + 1,
				workspaces: this._configuration.workspaces?.map((known, index) => index === workspace ? {...known, keyHashes: []} : known),
			};
		},
		'zone-cut': ({forS}) => {
			this._network.isCut = true;
			this.simulation.schedule(forS * 1000, () => {
				this._network.isCut = false;
			});
		},
		'messages-lost': ({forS, share}) => {
			this._network.lossShare = share;
			this.simulation.schedule(forS * 1000, () => {
				this._network.lossShare = 0;
			});
		},
	};

	private _replaceEngine(target: ModelTarget, release: string, leaveMs: number): void {
		const {pattern} = this._options;
		const {models} = this._configuration.services.get(MODEL_SERVICE)!.engine!;
		const engine = new ModeledEngine(this.simulation, pattern.engine, models);
		for (const model of target.engine!.copies.keys()) {
			engine.place(model);
		}

		const successor = this._addTarget({
			id: `${target.id}-${release}`, zone: target.zone, release, engine, slots: target.slots,
		});
		this._heartbeat(successor);
		target.isLeaving = true;
		this._publish(target);
		this.simulation.schedule(leaveMs, () => {
			target.isUp = false;
			target.engine!.crash();
			this._store.remove(target.id);
		});
	}

	private _pickEngines(number: number): ModelTarget[] {
		return [...this._targets.values()].filter(({engine, isUp}) => engine && isUp)
			.map(target => ({target, key: this._random.uniform()}))
			.sort((a, b) => a.key - b.key)
			.slice(0, number)
			.map(({target}) => target);
	}

	private _kill(instance: Instance, forMs: number): void {
		instance.isUp = false;
		this._rateLimits.forgetInstance(instance.identity.id);
		this._callers.failAt(instance);

		this.simulation.schedule(forMs, () => {
			this._start(instance);
		});
	}

	private _delayTo(instance: Instance, target: ModelTarget | undefined): number {
		return this._network.delayMs(instance.zone, target?.zone ?? instance.zone);
	}
}
