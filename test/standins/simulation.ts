/**
Simulates the environment of decision cores on a virtual clock: a table, targets, and peers
that exchange messages. Tests script the faults. The network is modelled only by a fixed
delay for each kind of call and by which nodes can reach each other.
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
export type Node = {
	readonly id: string;
	readonly zone: string;
	readonly state: State;
	isAlive: boolean;
	/** While paused, a node defers all events but ticks, which it drops. */
	isPaused: boolean;
	/** Calls to run when a paused node resumes. */
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
	readonly tryScript?: (simulation: Simulation, node: Node, effect: EffectOf<'send-try'>) => TryScript;
	readonly orderScript?: (simulation: Simulation, node: Node, order: Order) => OrderScript;
	readonly record?: (node: Node, event: Event, effects: readonly Effect[]) => void;
};

type ScheduledCall = {readonly atMs: number; readonly sequence: number; readonly run: () => void};

export class Simulation {
	nowMs = 0;
	readonly table = new FakeTable();
	readonly nodes = new Map<string, Node>();
	readonly targets = new Map<string, FakeTarget>();
	readonly outcomes = new Map<string, RequestOutcome>();
	/** Number of executions at all targets, by content hash. */
	readonly executions = new Map<string, number>();
	/** Ids of the requests that were executed at any target. */
	readonly executedRequests = new Set<string>();
	readonly patchOutcomes = new Map<string, EffectOf<'answer-patch'>['outcome']>();
	readonly arrivals = new Map<string, Arrival>();
	exchangeBytes = 0;
	/** Whether a node can reach a node or target with this id, or the platform, whose id here is `platform`. */
	reaches: (from: Node, to: string) => boolean = () => true;
	private readonly _queue = new TinyQueue<ScheduledCall>([], (a, b) => a.atMs - b.atMs || a.sequence - b.sequence);
	private _lastSequence = 0;

	constructor(private readonly _options: SimulationOptions = {}) {
		this.table.scheduleLate = run => {
			this.after(LATE_OPERATION_DELAY_MS, run);
		};
	}

	addNode(id: string, zone: string, boot = 'b1'): Node {
		const node: Node = {
			id,
			zone,
			state: createState(),
			isAlive: true,
			isPaused: false,
			deferredCalls: [],
			ready: false,
			stopped: false,
		};
		this.nodes.set(id, node);
		const self = {
			id,
			boot,
			zone,
			address: id,
			state: 'live' as const,
		};
		this.dispatch(node, {
			kind: 'started',
			nowMs: this.nowMs,
			self,
			seed: (this._options.seed ?? 1) + this.nodes.size,
			wallMs: START_WALL_MS + this.nowMs,
		});
		for (const other of this.nodes.values()) {
			if (other !== node && other.isAlive) {
				this.dispatch(node, {kind: 'instances-listed', nowMs: this.nowMs, instances: this.listedInstances(node)});
				this.dispatch(other, {kind: 'instances-listed', nowMs: this.nowMs, instances: this.listedInstances(other)});
			}
		}

		this._repeatWhileAlive(TICK_INTERVAL_MS, node, () => {
			this.dispatch(node, {kind: 'tick', nowMs: this.nowMs});
		});
		return node;
	}

	/** Returns the instances that the platform lists for a node: all other live ones. */
	listedInstances(reader: Node) {
		return [...this.nodes.values()]
			.filter(node => node !== reader && node.isAlive)
			.map(({state}) => state.self);
	}

	addTarget(options: FakeTargetOptions): FakeTarget {
		const target = new FakeTarget(options);
		this.targets.set(target.id, target);
		return target;
	}

	/** Puts a configuration into force at all nodes at once, as if a patch had reached them all long ago. */
	configure(numbered: VersionedConfiguration): void {
		for (const node of this.nodes.values()) {
			this.dispatch(node, {kind: 'configuration-fetched', nowMs: this.nowMs, numbered});
		}
	}

	arrive(node: Node, arrival: Arrival): void {
		this.arrivals.set(arrival.id, arrival);
		this.dispatch(node, {kind: 'request-arrived', nowMs: this.nowMs, arrival});
	}

	dispatch(node: Node, event: Event): void {
		if (!node.isAlive) {
			return;
		}

		if (node.isPaused) {
			if (event.kind !== 'tick') {
				node.deferredCalls.push(() => {
					this.dispatch(node, {...event, nowMs: this.nowMs});
				});
			}

			return;
		}

		const effects = reduce(node.state, event);
		this._options.record?.(node, event, effects);
		for (const effect of effects) {
			const handler = this._handlers[effect.kind] as ((node: Node, effect: Effect) => void) | undefined;
			handler?.(node, effect);
		}
	}

	resume(node: Node): void {
		node.isPaused = false;
		for (const run of node.deferredCalls.splice(0)) {
			run();
		}
	}

	kill(node: Node): void {
		node.isAlive = false;
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

	private readonly _handlers: {readonly [Kind in Effect['kind']]?: (node: Node, effect: EffectOf<Kind>) => void} = {
		'send-try': (node, effect) => {
			this._sendTry(node, effect);
		},
		'cancel-try': (node, {requestId, tryNumber}) => {
			this._cancels.get(`${requestId}/${tryNumber}`)?.();
		},
		deliver: (node, {requestId}) => {
			this._recordOutcome(requestId, {kind: 'answered', atMs: this.nowMs});
		},
		replay: (node, {requestId, answer}) => {
			this._recordOutcome(requestId, {kind: 'replayed', atMs: this.nowMs, answer});
		},
		refuse: (node, {requestId, code, ran, retryAfterMs}) => {
			this._recordOutcome(requestId, {
				kind: 'refused', atMs: this.nowMs, code, ran, retryAfterMs,
			});
		},
		probe: (node, {targetId}) => {
			this._probe(node, targetId);
		},
		order: (node, {targetId, order, validUntilMs}) => {
			this._sendOrder(node, targetId, order, validUntilMs);
		},
		table: (node, {operationId, operation}) => {
			this._runTableOperation(node, operationId, operation);
		},
		'hold-write': (node, {settlement, peers}) => {
			for (const {id} of peers) {
				this._callPeer(node, id, peer => {
					this.dispatch(peer, {kind: 'hold-requested', nowMs: this.nowMs, settlement});
					this.after(PEER_DELAY_MS, () => {
						this.dispatch(node, {
							kind: 'write-held', nowMs: this.nowMs, claimKey: settlement.claimKey, instanceId: id,
						});
					});
				});
			}
		},
		exchange: (node, {peer, facts}) => {
			this.exchangeBytes += JSON.stringify(facts).length;
			this._callPeer(node, peer.id, other => {
				this.dispatch(other, {
					kind: 'facts-received', nowMs: this.nowMs, from: node.id, facts,
				});
				const isNewPeer = facts.some(({value}) => value.kind === 'instance');
				const answer = isNewPeer ? [`instance/${other.id}`, 'configuration'].map(key => other.state.peers.facts.get(key)?.fact).filter(fact => fact !== undefined) : [];
				this.after(PEER_DELAY_MS, () => {
					this.dispatch(node, {
						kind: 'peer-answered', nowMs: this.nowMs, instanceId: other.id, reachable: true,
					});
					this.dispatch(node, {
						kind: 'facts-received', nowMs: this.nowMs, from: other.id, facts: answer,
					});
				});
			});
		},
		'fetch-configuration': (node, {peer}) => {
			this._callPeer(node, peer.id, other => {
				const {version, configuration} = other.state.configuration;
				this.after(PEER_DELAY_MS, () => {
					this.dispatch(node, {kind: 'configuration-fetched', nowMs: this.nowMs, numbered: {version, configuration}});
				});
			});
		},
		'adopt-configuration': (node, {numbered}) => {
			for (const id of Object.keys(numbered.configuration.targets)) {
				this._pollReports(node, id);
			}
		},
		'answer-patch': (node, {operationId, outcome}) => {
			this.patchOutcomes.set(operationId, outcome);
		},
		'set-readiness'(node, {ready}) {
			node.ready = ready;
		},
		stop(node) {
			node.stopped = true;
			node.isAlive = false;
		},
	};

	private readonly _polledTargets = new Set<string>();
	/** Cancels a try at its target, by `requestId/tryNumber`. */
	private readonly _cancels = new Map<string, () => void>();

	private _pollReports(node: Node, targetId: string): void {
		const pollKey = `${node.id}/${targetId}`;
		if (this._polledTargets.has(pollKey)) {
			return;
		}

		this._polledTargets.add(pollKey);
		const poll = () => {
			const target = this.targets.get(targetId);
			if (target?.isUp && this.reaches(node, targetId)) {
				const report = target.report();
				this.after(TARGET_DELAY_MS, () => {
					this.dispatch(node, {
						kind: 'target-reported', nowMs: this.nowMs, targetId, report,
					});
				});
			} else {
				this.dispatch(node, {kind: 'target-silent', nowMs: this.nowMs, targetId});
			}
		};

		poll();
		this._repeatWhileAlive(REPORT_INTERVAL_MS, node, poll);
	}

	private _sendTry(node: Node, effect: EffectOf<'send-try'>): void {
		const {requestId, tryNumber, targetId} = effect;
		const target = this.targets.get(targetId);
		const arrival = this.arrivals.get(requestId);
		const contentHash = arrival?.contentHash ?? requestId;
		const fail = (failure: Failure, delivered = 0) => {
			this.after(TARGET_DELAY_MS, () => {
				this.dispatch(node, {
					kind: 'try-failed',
					nowMs: this.nowMs,
					requestId,
					tryNumber,
					failure,
					delivered,
				});
			});
		};

		if (!target?.isUp || !this.reaches(node, targetId)) {
			fail('not-written');
			return;
		}

		const script = this._options.tryScript?.(this, node, effect) ?? {serviceMs: 100};
		if (script.failure && !script.runs) {
			fail(script.failure, script.delivered);
			return;
		}

		const job = {
			contentHash,
			serviceMs: script.serviceMs,
			priorityRank: priorities.indexOf(node.state.requests.open.get(requestId)?.priority ?? 'normal'),
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
					this._completeTry(node, requestId, tryNumber);
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

	private _completeTry(node: Node, requestId: string, tryNumber: number): void {
		const answer = {status: 200, contentType: 'text/plain', body: this.arrivals.get(requestId)?.contentHash};
		this.after(TARGET_DELAY_MS, () => {
			this.dispatch(node, {
				kind: 'try-completed',
				nowMs: this.nowMs,
				requestId,
				tryNumber,
				status: 200,
				answer,
			});
		});
	}

	private _probe(node: Node, targetId: string): void {
		const target = this.targets.get(targetId);
		this.after(TARGET_DELAY_MS, () => {
			const isReached = this.reaches(node, targetId);
			this.dispatch(node, {
				kind: 'probe-answered',
				nowMs: this.nowMs,
				targetId,
				result: isReached ? (target?.isUp ? 'answered' : 'refused') : 'silent',
				boot: isReached && target?.isUp ? target.report().boot : undefined,
			});
		});
	}

	private _sendOrder(node: Node, targetId: string, order: Order, validUntilMs: number): void {
		const script = this._options.orderScript?.(this, node, order) ?? {arrivesAfterMs: TARGET_DELAY_MS, answerLost: false};
		if (this.nowMs >= validUntilMs) {
			this._answerOrder(node, targetId, order, 'not-sent');
		} else if (script.pausesSender) {
			node.isPaused = true;
			node.deferredCalls.push(() => {
				this._deliverOrder(node, targetId, order, script);
			});
		} else {
			this._deliverOrder(node, targetId, order, script);
		}
	}

	private _answerOrder(node: Node, targetId: string, order: Order, outcome: OrderOutcome): void {
		this.after(TARGET_DELAY_MS, () => {
			this.dispatch(node, {
				kind: 'order-answered',
				nowMs: this.nowMs,
				orderId: order.id,
				targetId,
				outcome,
			});
		});
	}

	private _deliverOrder(node: Node, targetId: string, order: Order, script: OrderScript): void {
		const target = this.targets.get(targetId);
		if (!target?.isUp || !this.reaches(node, targetId)) {
			this._answerOrder(node, targetId, order, 'not-sent');
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
						this._answerOrder(node, targetId, order, outcome);
					}
				}
			});
		}

		const arrivalWindowMs = script.answerLost ? 0 : (script.arrivesAfterMs ?? 0) * 2;
		this.after(Math.max(ORDER_TIMEOUT_MS, arrivalWindowMs), () => {
			if (!isAnswered) {
				this._answerOrder(node, targetId, order, 'lost');
			}
		});
	}

	private _runTableOperation(node: Node, operationId: number, operation: TableOperation): void {
		const isReached = this.reaches(node, 'platform');
		this.after(TABLE_DELAY_MS, () => {
			const answer: TableAnswer = isReached ? this.table.run(operation) : {kind: 'unavailable'};
			this.after(TABLE_DELAY_MS, () => {
				this.dispatch(node, {
					kind: 'table-answered', nowMs: this.nowMs, operationId, answer,
				});
			});
		});
	}

	private _callPeer(node: Node, peerId: string, run: (peer: Node) => void): void {
		this.after(PEER_DELAY_MS, () => {
			const peer = this.nodes.get(peerId);
			if (peer?.isAlive && !peer.isPaused && this.reaches(node, peerId)) {
				run(peer);
			} else {
				this.dispatch(node, {
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

	private _repeatWhileAlive(intervalMs: number, node: Node, run: () => void): void {
		this.after(intervalMs, () => {
			if (node.isAlive) {
				run();
				this._repeatWhileAlive(intervalMs, node, run);
			}
		});
	}
}
