/**
The interfaces around decision cores, on a virtual clock: a table, targets, and
peers that hear each other. Tests script the faults. It has no model of networks
beyond a fixed delay for each kind of call.
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
const LATE_WRITE_MS = 3000;
const ORDER_TIMEOUT_MS = 1000;
const REPORT_INTERVAL_MS = 500;
const TICK_MS = 50;

/** 2026-03-02T08:00:00Z, the wall clock at virtual time 0. */
const WALL_MS = 1_772_438_400_000;

export type RequestOutcome =
	| {readonly kind: 'answered' | 'replayed'; readonly atMs: number; readonly answer?: RecordedAnswer}
	| {readonly kind: 'refused'; readonly atMs: number; readonly code: string; readonly ran: string; readonly retryAfterMs?: number};

export type Node = {
	readonly id: string;
	readonly zone: string;
	readonly state: State;
	isAlive: boolean;
	/** While paused, events pile up and time passes unseen. */
	isPaused: boolean;
	readonly deferredCalls: Array<() => void>;
	ready: boolean;
	stopped: boolean;
};

/** What a try at a target comes to. */
export type TryScript = {
	readonly serviceMs: number;
	/** Ends the try so instead of by a whole answer. */
	readonly failure?: Failure;
	/** Whether the work counts as run although the try fails. */
	readonly runs?: boolean;
	/** Ends the target's process. */
	readonly crashes?: boolean;
	/** Never answers. */
	readonly silent?: boolean;
	readonly delivered?: number;
};

export type OrderScript = {
	/** Delay before the order reaches the engine, undefined if it never does. */
	readonly arrivesAfterMs: number | undefined;
	readonly answerLost: boolean;
	/** The sender pauses between its last check and the connection, and sends when it wakes, to whatever engine is there then. */
	readonly pausesSender?: boolean;
};

export type SimulationOptions = {
	readonly seed?: number;
	readonly tryScript?: (world: Simulation, node: Node, effect: EffectOf<'send-try'>) => TryScript;
	readonly orderScript?: (world: Simulation, node: Node, order: Order) => OrderScript;
	readonly record?: (node: Node, event: Event, effects: readonly Effect[]) => void;
};

type Entry = {readonly atMs: number; readonly order: number; readonly run: () => void};

export class Simulation {
	nowMs = 0;
	readonly table = new FakeTable();
	readonly nodes = new Map<string, Node>();
	readonly targets = new Map<string, FakeTarget>();
	readonly outcomes = new Map<string, RequestOutcome>();
	/** Runs of each content at any target. */
	readonly executions = new Map<string, number>();
	/** Requests whose work ran at any target. */
	readonly executedRequests = new Set<string>();
	readonly patchOutcomes = new Map<string, EffectOf<'answer-patch'>['outcome']>();
	readonly arrivals = new Map<string, Arrival>();
	exchangeBytes = 0;
	/** Whether a node reaches another one, or the platform, named `platform`. */
	reaches: (from: Node, to: string) => boolean = () => true;
	private readonly _queue = new TinyQueue<Entry>([], (a, b) => a.atMs - b.atMs || a.order - b.order);
	private _order = 0;

	constructor(private readonly _options: SimulationOptions = {}) {
		this.table.defer = run => {
			this.after(LATE_WRITE_MS, run);
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
			wallMs: WALL_MS + this.nowMs,
		});
		for (const other of this.nodes.values()) {
			if (other !== node && other.isAlive) {
				this.dispatch(node, {kind: 'instances-listed', nowMs: this.nowMs, instances: this.listedInstances(node)});
				this.dispatch(other, {kind: 'instances-listed', nowMs: this.nowMs, instances: this.listedInstances(other)});
			}
		}

		this._every(TICK_MS, node, () => {
			this.dispatch(node, {kind: 'tick', nowMs: this.nowMs});
		});
		return node;
	}

	/** The platform's list as it stands for a node. */
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

	/** Puts a configuration in force at all nodes, as if patched long ago. */
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
		this._order++;
		this._queue.push({atMs: this.nowMs + delayMs, order: this._order, run});
	}

	/** Lets virtual time pass. */
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

	/** Lets time pass until a condition holds. Returns whether it did within the limit. */
	runUntil(condition: () => boolean, limitMs: number): boolean {
		const untilMs = this.nowMs + limitMs;
		while (this.nowMs < untilMs) {
			if (condition()) {
				return true;
			}

			this.run(TICK_MS);
		}

		return condition();
	}

	/** Starts the jobs that a target has slots for. */
	pump(target: FakeTarget): void {
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
			this._finish(requestId, {kind: 'answered', atMs: this.nowMs});
		},
		replay: (node, {requestId, answer}) => {
			this._finish(requestId, {kind: 'replayed', atMs: this.nowMs, answer});
		},
		refuse: (node, {requestId, code, ran, retryAfterMs}) => {
			this._finish(requestId, {
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
			this._table(node, operationId, operation);
		},
		'hold-write': (node, {settlement, peers}) => {
			for (const {id} of peers) {
				this._call(node, id, peer => {
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
			this._call(node, peer.id, other => {
				this.dispatch(other, {
					kind: 'facts-received', nowMs: this.nowMs, from: node.id, facts,
				});
				const isNewcomer = facts.some(({value}) => value.kind === 'instance');
				const answer = isNewcomer ? [`instance/${other.id}`, 'configuration'].map(key => other.state.peers.facts.get(key)?.fact).filter(fact => fact !== undefined) : [];
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
			this._call(node, peer.id, other => {
				const {version, configuration} = other.state.configuration;
				this.after(PEER_DELAY_MS, () => {
					this.dispatch(node, {kind: 'configuration-fetched', nowMs: this.nowMs, numbered: {version, configuration}});
				});
			});
		},
		'adopt-configuration': (node, {numbered}) => {
			for (const id of Object.keys(numbered.configuration.targets)) {
				this._report(node, id);
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

	private readonly _polled = new Set<string>();
	/** How to take a try back from its target. */
	private readonly _cancels = new Map<string, () => void>();

	private _report(node: Node, targetId: string): void {
		const name = `${node.id}/${targetId}`;
		if (this._polled.has(name)) {
			return;
		}

		this._polled.add(name);
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
		this._every(REPORT_INTERVAL_MS, node, poll);
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
					this.pump(target);
				});
			},
			onEnd: (crashed: boolean) => {
				if (crashed) {
					fail('reset');
				} else if (script.failure) {
					fail(script.failure, script.delivered);
				} else if (!script.silent) {
					this._complete(node, requestId, tryNumber);
				}
			},
		};
		this._cancels.set(`${requestId}/${tryNumber}`, () => {
			target.cancel(job);
			this.pump(target);
		});
		this.after(TARGET_DELAY_MS, () => {
			if (target.isUp) {
				target.waiting.push(job);
				this.pump(target);
			} else {
				fail('reset');
			}
		});
	}

	private _complete(node: Node, requestId: string, tryNumber: number): void {
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
				this._connectOrder(node, targetId, order, script);
			});
		} else {
			this._connectOrder(node, targetId, order, script);
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

	private _connectOrder(node: Node, targetId: string, order: Order, script: OrderScript): void {
		const target = this.targets.get(targetId);
		if (!target?.isUp || !this.reaches(node, targetId)) {
			this._answerOrder(node, targetId, order, 'not-sent');
			return;
		}

		const {boot} = target;
		let isAnswered = false;
		if (script.arrivesAfterMs !== undefined) {
			this.after(script.arrivesAfterMs, () => {
				// The order is bound to a connection with the process that it was sent to.
				if (target.boot === boot && target.isUp) {
					const outcome = target.applyOrder(order);
					if (!script.answerLost) {
						isAnswered = true;
						this._answerOrder(node, targetId, order, outcome);
					}
				}
			});
		}

		const longestMs = script.answerLost ? 0 : (script.arrivesAfterMs ?? 0) * 2;
		this.after(Math.max(ORDER_TIMEOUT_MS, longestMs), () => {
			if (!isAnswered) {
				this._answerOrder(node, targetId, order, 'lost');
			}
		});
	}

	private _table(node: Node, operationId: number, operation: TableOperation): void {
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

	private _call(node: Node, peerId: string, run: (peer: Node) => void): void {
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

	private _finish(requestId: string, outcome: RequestOutcome): void {
		// A second final answer would be one to somebody else's request.
		if (this.outcomes.has(requestId)) {
			throw new Error(`request ${requestId} was answered twice`);
		}

		this.outcomes.set(requestId, outcome);
	}

	private _every(intervalMs: number, node: Node, run: () => void): void {
		this.after(intervalMs, () => {
			if (node.isAlive) {
				run();
				this._every(intervalMs, node, run);
			}
		});
	}
}
