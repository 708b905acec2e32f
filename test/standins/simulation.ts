/**
Simulates the environment of decision cores on a virtual clock: a table, targets, and peers
that exchange messages. Tests script the faults. The network is modelled only by a fixed
delay for each kind of call and by which instances can reach each other.
*/
import TinyQueue from 'tinyqueue';
import {type Effect, type EffectOf} from '../../src/core/effect.js';
import {type Arrival, type Event} from '../../src/core/event.js';
import {type VersionedConfiguration} from '../../src/core/configuration/types.js';
import {type Order, type OrderOutcome} from '../../src/core/placement/types.js';
import {reduce} from '../../src/core/reducer.js';
import {priorities} from '../../src/core/request/fair-queue.js';
import {type Failure, type RecordedAnswer} from '../../src/core/request/types.js';
import {createState, type State} from '../../src/core/state.js';
import {type TableAnswer, type TableOperation} from '../../src/core/table.js';
import {FakeTarget, type FakeTargetOptions} from './fake-target.js';
import {FakeTable} from './fake-table.js';

const TABLE_DELAY_MS = 4;
const TARGET_DELAY_MS = 2;
const PEER_DELAY_MS = 3;
const LATE_OPERATION_DELAY_MS = 3000;
const ORDER_TIMEOUT_MS = 1000;
const REPORT_INTERVAL_MS = 500;
const TICK_INTERVAL_MS = 50;

/** Wall-clock time at virtual time 0: 2026-03-02T08:00:00Z. */
const START_WALL_MS = 1_772_438_400_000;

export type RequestOutcome =
	| {readonly kind: 'answered' | 'replayed'; readonly atMs: number; readonly answer?: RecordedAnswer}
	| {readonly kind: 'refused'; readonly atMs: number; readonly code: string; readonly ran: string; readonly retryAfterMs?: number};

/** An entry instance in the simulation. */
export type SimulatedInstance = {
	readonly id: string;
	readonly zone: string;
	readonly state: State;
	isAlive: boolean;
	/** While paused, an instance defers all events but ticks, which it drops. */
	isPaused: boolean;
	/** Calls to run when a paused instance resumes. */
	readonly deferredCalls: Array<() => void>;
	ready: boolean;
	stopped: boolean;
};

/** Scripted course of a try at a target. */
export type TryScript = {
	readonly serviceMs: number;
	/** Failure that ends the try instead of a complete answer. */
	readonly failure?: Failure;
	/** Whether the request is executed although the try fails. */
	readonly runs?: boolean;
	/** Whether the target's process crashes when the service time ends. */
	readonly crashes?: boolean;
	/** Whether the target executes the request but never answers. */
	readonly silent?: boolean;
	readonly delivered?: number;
};

export type OrderScript = {
	/** Delay before the order reaches the target in ms, undefined if it never does. */
	readonly arrivesAfterMs: number | undefined;
	readonly answerLost: boolean;
	/**
	Whether the sender pauses between its last validity check and connecting. When it
	resumes it connects to whatever process then runs at the target.
	*/
	readonly pausesSender?: boolean;
};

export type SimulationOptions = {
	readonly seed?: number;
	readonly tryScript?: (simulation: Simulation, instance: SimulatedInstance, effect: EffectOf<'send-try'>) => TryScript;
	readonly orderScript?: (simulation: Simulation, instance: SimulatedInstance, order: Order) => OrderScript;
	readonly record?: (instance: SimulatedInstance, event: Event, effects: readonly Effect[]) => void;
};

type ScheduledCall = {readonly atMs: number; readonly sequence: number; readonly run: () => void};

export class Simulation {
	nowMs = 0;
	readonly table = new FakeTable();
	readonly instances = new Map<string, SimulatedInstance>();
	readonly targets = new Map<string, FakeTarget>();
	readonly outcomes = new Map<string, RequestOutcome>();
	/** Number of executions at all targets, by content hash. */
	readonly executions = new Map<string, number>();
	/** Ids of the requests that were executed at any target. */
	readonly executedRequests = new Set<string>();
	readonly patchOutcomes = new Map<string, EffectOf<'answer-patch'>['outcome']>();
	readonly arrivals = new Map<string, Arrival>();
	exchangeBytes = 0;
	/** Whether an instance can reach an instance or target with this id, or the platform, whose id here is `platform`. */
	reaches: (from: SimulatedInstance, to: string) => boolean = () => true;
	private readonly _queue = new TinyQueue<ScheduledCall>([], (a, b) => a.atMs - b.atMs || a.sequence - b.sequence);
	private _lastSequence = 0;

	constructor(private readonly _options: SimulationOptions = {}) {
		this.table.scheduleLate = run => {
			this.after(LATE_OPERATION_DELAY_MS, run);
		};
	}

	addInstance(id: string, zone: string, boot = 'b1'): SimulatedInstance {
		const instance: SimulatedInstance = {
			id,
			zone,
			state: createState(),
			isAlive: true,
			isPaused: false,
			deferredCalls: [],
			ready: false,
			stopped: false,
		};
		this.instances.set(id, instance);
		const self = {
			id,
			boot,
			zone,
			address: id,
			state: 'live' as const,
		};
		this.dispatch(instance, {
			kind: 'started',
			nowMs: this.nowMs,
			self,
			seed: (this._options.seed ?? 1) + this.instances.size,
			wallMs: START_WALL_MS + this.nowMs,
		});
		for (const other of this.instances.values()) {
			if (other !== instance && other.isAlive) {
				this.dispatch(instance, {kind: 'instances-listed', nowMs: this.nowMs, instances: this.listedInstances(instance)});
				this.dispatch(other, {kind: 'instances-listed', nowMs: this.nowMs, instances: this.listedInstances(other)});
			}
		}

		this._repeatWhileAlive(TICK_INTERVAL_MS, instance, () => {
			this.dispatch(instance, {kind: 'tick', nowMs: this.nowMs});
		});
		return instance;
	}

	/** Returns the instances that the platform lists for an instance: all other live ones. */
	listedInstances(reader: SimulatedInstance) {
		return [...this.instances.values()]
			.filter(instance => instance !== reader && instance.isAlive)
			.map(({state}) => state.self);
	}

	addTarget(options: FakeTargetOptions): FakeTarget {
		const target = new FakeTarget(options);
		this.targets.set(target.id, target);
		return target;
	}

	/** Applies a configuration at all instances at once, without the patch and the exchange that would distribute it. */
	configure(numbered: VersionedConfiguration): void {
		for (const instance of this.instances.values()) {
			this.dispatch(instance, {kind: 'configuration-fetched', nowMs: this.nowMs, numbered});
		}
	}

	arrive(instance: SimulatedInstance, arrival: Arrival): void {
		this.arrivals.set(arrival.id, arrival);
		this.dispatch(instance, {kind: 'request-arrived', nowMs: this.nowMs, arrival});
	}

	dispatch(instance: SimulatedInstance, event: Event): void {
		if (!instance.isAlive) {
			return;
		}

		if (instance.isPaused) {
			if (event.kind !== 'tick') {
				instance.deferredCalls.push(() => {
					this.dispatch(instance, {...event, nowMs: this.nowMs});
				});
			}

			return;
		}

		const effects = reduce(instance.state, event);
		this._options.record?.(instance, event, effects);
		for (const effect of effects) {
			const handler = this._handlers[effect.kind] as ((instance: SimulatedInstance, effect: Effect) => void) | undefined;
			handler?.(instance, effect);
		}
	}

	resume(instance: SimulatedInstance): void {
		instance.isPaused = false;
		for (const run of instance.deferredCalls.splice(0)) {
			run();
		}
	}

	kill(instance: SimulatedInstance): void {
		instance.isAlive = false;
	}

	after(delayMs: number, run: () => void): void {
		this._lastSequence++;
		this._queue.push({atMs: this.nowMs + delayMs, sequence: this._lastSequence, run});
	}

	/** Advances virtual time by this duration and runs all calls that fall due. */
	run(durationMs: number): void {
		const untilMs = this.nowMs + durationMs;
		for (;;) {
			const next = this._queue.peek();
			if (!next || next.atMs > untilMs) {
				break;
			}

			this._queue.pop();
			this.nowMs = next.atMs;
			next.run();
		}

		this.nowMs = untilMs;
	}

	/** Advances virtual time until a condition holds. Returns whether it held within the limit. */
	runUntil(condition: () => boolean, limitMs: number): boolean {
		const untilMs = this.nowMs + limitMs;
		while (this.nowMs < untilMs) {
			if (condition()) {
				return true;
			}

			this.run(TICK_INTERVAL_MS);
		}

		return condition();
	}

	/** Starts waiting jobs while the target has free slots. */
	startWaitingJobs(target: FakeTarget): void {
		for (;;) {
			const job = target.startNext();
			if (!job) {
				return;
			}

			job.onStart();
		}
	}

	private readonly _handlers: {readonly [Kind in Effect['kind']]?: (instance: SimulatedInstance, effect: EffectOf<Kind>) => void} = {
		'send-try': (instance, effect) => {
			this._sendTry(instance, effect);
		},
		'cancel-try': (instance, {requestId, tryNumber}) => {
			this._cancels.get(`${requestId}/${tryNumber}`)?.();
		},
		deliver: (instance, {requestId}) => {
			this._recordOutcome(requestId, {kind: 'answered', atMs: this.nowMs});
		},
		replay: (instance, {requestId, answer}) => {
			this._recordOutcome(requestId, {kind: 'replayed', atMs: this.nowMs, answer});
		},
		refuse: (instance, {requestId, code, ran, retryAfterMs}) => {
			this._recordOutcome(requestId, {
				kind: 'refused', atMs: this.nowMs, code, ran, retryAfterMs,
			});
		},
		probe: (instance, {targetId}) => {
			this._probe(instance, targetId);
		},
		order: (instance, {targetId, order, validUntilMs}) => {
			this._sendOrder(instance, targetId, order, validUntilMs);
		},
		table: (instance, {operationId, operation}) => {
			this._runTableOperation(instance, operationId, operation);
		},
		'hold-write': (instance, {settlement, peers}) => {
			for (const {id} of peers) {
				this._callPeer(instance, id, peer => {
					this.dispatch(peer, {kind: 'hold-requested', nowMs: this.nowMs, settlement});
					this.after(PEER_DELAY_MS, () => {
						this.dispatch(instance, {
							kind: 'write-held', nowMs: this.nowMs, claimKey: settlement.claimKey, instanceId: id,
						});
					});
				});
			}
		},
		exchange: (instance, {peer, facts}) => {
			this.exchangeBytes += JSON.stringify(facts).length;
			this._callPeer(instance, peer.id, other => {
				this.dispatch(other, {
					kind: 'facts-received', nowMs: this.nowMs, from: instance.id, facts,
				});
				const isNewPeer = facts.some(({value}) => value.kind === 'instance');
				const answer = isNewPeer ? [`instance/${other.id}`, 'configuration'].map(key => other.state.peers.facts.get(key)?.fact).filter(fact => fact !== undefined) : [];
				this.after(PEER_DELAY_MS, () => {
					this.dispatch(instance, {
						kind: 'peer-answered', nowMs: this.nowMs, instanceId: other.id, reachable: true,
					});
					this.dispatch(instance, {
						kind: 'facts-received', nowMs: this.nowMs, from: other.id, facts: answer,
					});
				});
			});
		},
		'fetch-configuration': (instance, {peer}) => {
			this._callPeer(instance, peer.id, other => {
				const {version, configuration} = other.state.configuration;
				this.after(PEER_DELAY_MS, () => {
					this.dispatch(instance, {kind: 'configuration-fetched', nowMs: this.nowMs, numbered: {version, configuration}});
				});
			});
		},
		'adopt-configuration': (instance, {numbered}) => {
			for (const id of Object.keys(numbered.configuration.targets)) {
				this._pollReports(instance, id);
			}
		},
		'answer-patch': (instance, {operationId, outcome}) => {
			this.patchOutcomes.set(operationId, outcome);
		},
		'set-readiness'(instance, {ready}) {
			instance.ready = ready;
		},
		stop(instance) {
			instance.stopped = true;
			instance.isAlive = false;
		},
	};

	private readonly _polledTargets = new Set<string>();
	/** Cancels a try at its target, by `requestId/tryNumber`. */
	private readonly _cancels = new Map<string, () => void>();

	private _pollReports(instance: SimulatedInstance, targetId: string): void {
		const pollKey = `${instance.id}/${targetId}`;
		if (this._polledTargets.has(pollKey)) {
			return;
		}

		this._polledTargets.add(pollKey);
		const poll = () => {
			const target = this.targets.get(targetId);
			if (target?.isUp && this.reaches(instance, targetId)) {
				const report = target.report();
				this.after(TARGET_DELAY_MS, () => {
					this.dispatch(instance, {
						kind: 'target-reported', nowMs: this.nowMs, targetId, report,
					});
				});
			} else {
				this.dispatch(instance, {kind: 'target-silent', nowMs: this.nowMs, targetId});
			}
		};

		poll();
		this._repeatWhileAlive(REPORT_INTERVAL_MS, instance, poll);
	}

	private _sendTry(instance: SimulatedInstance, effect: EffectOf<'send-try'>): void {
		const {requestId, tryNumber, targetId} = effect;
		const target = this.targets.get(targetId);
		const arrival = this.arrivals.get(requestId);
		const contentHash = arrival?.contentHash ?? requestId;
		const fail = (failure: Failure, delivered = 0) => {
			this.after(TARGET_DELAY_MS, () => {
				this.dispatch(instance, {
					kind: 'try-failed',
					nowMs: this.nowMs,
					requestId,
					tryNumber,
					failure,
					delivered,
				});
			});
		};

		if (!target?.isUp || !this.reaches(instance, targetId)) {
			fail('not-written');
			return;
		}

		const script = this._options.tryScript?.(this, instance, effect) ?? {serviceMs: 100};
		if (script.failure && !script.runs) {
			fail(script.failure, script.delivered);
			return;
		}

		const job = {
			contentHash,
			serviceMs: script.serviceMs,
			priorityRank: priorities.indexOf(instance.state.requests.open.get(requestId)?.priority ?? 'normal'),
			onStart: () => {
				this.executions.set(contentHash, (this.executions.get(contentHash) ?? 0) + 1);
				this.executedRequests.add(requestId);
				this.after(script.serviceMs, () => {
					if (script.crashes && target.running.has(job)) {
						target.crash();
						return;
					}

					if (!target.running.delete(job)) {
						return;
					}

					job.onEnd(false);
					this.startWaitingJobs(target);
				});
			},
			onEnd: (crashed: boolean) => {
				if (crashed) {
					fail('reset');
				} else if (script.failure) {
					fail(script.failure, script.delivered);
				} else if (!script.silent) {
					this._completeTry(instance, requestId, tryNumber);
				}
			},
		};
		this._cancels.set(`${requestId}/${tryNumber}`, () => {
			target.cancel(job);
			this.startWaitingJobs(target);
		});
		this.after(TARGET_DELAY_MS, () => {
			if (target.isUp) {
				target.waiting.push(job);
				this.startWaitingJobs(target);
			} else {
				fail('reset');
			}
		});
	}

	private _completeTry(instance: SimulatedInstance, requestId: string, tryNumber: number): void {
		const answer = {status: 200, contentType: 'text/plain', body: this.arrivals.get(requestId)?.contentHash};
		this.after(TARGET_DELAY_MS, () => {
			this.dispatch(instance, {
				kind: 'try-completed',
				nowMs: this.nowMs,
				requestId,
				tryNumber,
				status: 200,
				answer,
			});
		});
	}

	private _probe(instance: SimulatedInstance, targetId: string): void {
		const target = this.targets.get(targetId);
		this.after(TARGET_DELAY_MS, () => {
			const isReached = this.reaches(instance, targetId);
			this.dispatch(instance, {
				kind: 'probe-answered',
				nowMs: this.nowMs,
				targetId,
				result: isReached ? (target?.isUp ? 'answered' : 'refused') : 'silent',
				boot: isReached && target?.isUp ? target.report().boot : undefined,
			});
		});
	}

	private _sendOrder(instance: SimulatedInstance, targetId: string, order: Order, validUntilMs: number): void {
		const script = this._options.orderScript?.(this, instance, order) ?? {arrivesAfterMs: TARGET_DELAY_MS, answerLost: false};
		if (this.nowMs >= validUntilMs) {
			this._answerOrder(instance, targetId, order, 'not-sent');
		} else if (script.pausesSender) {
			instance.isPaused = true;
			instance.deferredCalls.push(() => {
				this._deliverOrder(instance, targetId, order, script);
			});
		} else {
			this._deliverOrder(instance, targetId, order, script);
		}
	}

	private _answerOrder(instance: SimulatedInstance, targetId: string, order: Order, outcome: OrderOutcome): void {
		this.after(TARGET_DELAY_MS, () => {
			this.dispatch(instance, {
				kind: 'order-answered',
				nowMs: this.nowMs,
				orderId: order.id,
				targetId,
				outcome,
			});
		});
	}

	private _deliverOrder(instance: SimulatedInstance, targetId: string, order: Order, script: OrderScript): void {
		const target = this.targets.get(targetId);
		if (!target?.isUp || !this.reaches(instance, targetId)) {
			this._answerOrder(instance, targetId, order, 'not-sent');
			return;
		}

		const {boot} = target;
		let isAnswered = false;
		if (script.arrivesAfterMs !== undefined) {
			this.after(script.arrivesAfterMs, () => {
				// An order belongs to its connection, so a process started after a crash never receives it.
				if (target.boot === boot && target.isUp) {
					const outcome = target.applyOrder(order);
					if (!script.answerLost) {
						isAnswered = true;
						this._answerOrder(instance, targetId, order, outcome);
					}
				}
			});
		}

		const arrivalWindowMs = script.answerLost ? 0 : (script.arrivesAfterMs ?? 0) * 2;
		this.after(Math.max(ORDER_TIMEOUT_MS, arrivalWindowMs), () => {
			if (!isAnswered) {
				this._answerOrder(instance, targetId, order, 'lost');
			}
		});
	}

	private _runTableOperation(instance: SimulatedInstance, operationId: number, operation: TableOperation): void {
		const isReached = this.reaches(instance, 'platform');
		this.after(TABLE_DELAY_MS, () => {
			const answer: TableAnswer = isReached ? this.table.run(operation) : {kind: 'unavailable'};
			this.after(TABLE_DELAY_MS, () => {
				this.dispatch(instance, {
					kind: 'table-answered', nowMs: this.nowMs, operationId, answer,
				});
			});
		});
	}

	private _callPeer(instance: SimulatedInstance, peerId: string, run: (peer: SimulatedInstance) => void): void {
		this.after(PEER_DELAY_MS, () => {
			const peer = this.instances.get(peerId);
			if (peer?.isAlive && !peer.isPaused && this.reaches(instance, peerId)) {
				run(peer);
			} else {
				this.dispatch(instance, {
					kind: 'peer-answered', nowMs: this.nowMs, instanceId: peerId, reachable: false,
				});
			}
		});
	}

	private _recordOutcome(requestId: string, outcome: RequestOutcome): void {
		// A second final answer would reach the caller as the answer to another request.
		if (this.outcomes.has(requestId)) {
			throw new Error(`request ${requestId} was answered twice`);
		}

		this.outcomes.set(requestId, outcome);
	}

	private _repeatWhileAlive(intervalMs: number, instance: SimulatedInstance, run: () => void): void {
		this.after(intervalMs, () => {
			if (instance.isAlive) {
				run();
				this._repeatWhileAlive(intervalMs, instance, run);
			}
		});
	}
}
