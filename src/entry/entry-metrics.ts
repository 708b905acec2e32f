/**
Counters, histograms and gauges of an entry instance in the Prometheus text format.
Counters are updated by log events before the log drops any lines, so they are complete.
`docs/METRICS.md` lists the metrics.
*/
import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import {type LogEventName} from '../core/log-events.js';
import {unconfirmedForMs} from '../core/entry/configuration-watch.js';
import {unreachedTargets} from '../core/entry/reachability.js';
import {quotaIndex} from '../core/entry/quota-index.js';
import {type WorkspaceUse} from '../core/entry/quota-state.js';
import {isLimited, isUsable} from '../core/entry/target.js';
import {type EntryState} from '../core/entry/state.js';
import {type CloseReason} from './caller-listener.js';
import {type OpeningReason} from './target-connections.js';

const SECONDS_PER_MS = 0.001;
/** Seconds; they surround the response-time objectives of current routes, 150 ms to 4 s. */
const DURATION_BUCKETS = [0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 1, 2, 4, 8, 16];
const TRY_BUCKETS = [0, 1, 2, 3, 4];
/** Workspaces that metrics name; the others share one label, since each label costs memory here and where metrics are kept. */
const MAX_WORKSPACE_LABELS = 31;
const OTHER_WORKSPACES = 'others';

/** A part of a request's way through this process. */
export type RequestStep = 'admission' | 'write';

export type EntryMetricsOptions = {
	readonly state: EntryState;
	readonly monotonicMs: () => number;
	readonly wallMs: () => number;
	readonly droppedLines: () => number;
};

type Fields = Readonly<Record<string, unknown>>;

export class EntryMetrics {
	readonly registry = new Registry();
	private readonly _requests = this._counter('pollenarch_requests_total', 'Requests by their final outcome.', ['outcome', 'route']);
	private readonly _duration = this._histogram('pollenarch_request_seconds', 'Time from arrival to the final answer.', DURATION_BUCKETS, ['outcome']);
	private readonly _tries = this._histogram('pollenarch_request_tries', 'Tries that a request took.', TRY_BUCKETS, ['outcome']);
	private readonly _tryWait = this._histogram('pollenarch_try_wait_seconds', 'Time from arrival to the sending of a try.', DURATION_BUCKETS, []);
	private readonly _steps = this._histogram('pollenarch_request_step_seconds', 'Time that a step of a request took.', DURATION_BUCKETS, ['step']);
	private readonly _rounds = this._histogram('pollenarch_event_loop_round_seconds', 'Length of a round of the event loop in which requests waited.', DURATION_BUCKETS, []);
	private readonly _firstEvent = this._histogram('pollenarch_first_event_seconds', 'Time from arrival to a stream\'s first event.', DURATION_BUCKETS, []);
	private readonly _longestPause = this._histogram('pollenarch_longest_pause_seconds', 'Longest pause between two events of a stream.', DURATION_BUCKETS, []);
	private readonly _failedTries = this._counter('pollenarch_failed_tries_total', 'Tries without a whole answer.', ['outcome', 'target']);
	private readonly _orders = this._counter('pollenarch_engine_orders_total', 'Answers to orders to engines.', ['outcome']);
	private readonly _moves = this._counter('pollenarch_moves_total', 'Copies planned to be loaded or unloaded.', ['kind', 'reason']);
	private readonly _storeCalls = this._counter('pollenarch_store_calls_total', 'Calls to the platform\'s store.', ['kind', 'outcome']);
	private readonly _newConnections = this._counter('pollenarch_new_connections_total', 'Connections opened to targets, and to other instances for requests.', ['reason']);
	private readonly _reusedConnections = this._counter('pollenarch_reused_connections_total', 'Requests to targets over a connection that had carried others.', []);
	private readonly _unanswered = this._counter('pollenarch_unanswered_requests_total', 'Requests whose connection was closed without a whole answer, for a reason outside the reducer.', ['reason']);
	private readonly _brokenOff = this._counter('pollenarch_broken_off_answers_total', 'Answers that had begun and ended with their connection, before the caller left.', ['outcome']);
	private readonly _cutRequests = this._counter('pollenarch_cut_requests_total', 'Requests that were passed on and ended with their connection, without a whole answer.', ['reason', 'closer']);
	private readonly _closedConnections = this._counter('pollenarch_caller_connections_closed_total', 'Connections of callers that this instance closed.', ['reason']);
	private readonly _quotaRefusals = this._counter('pollenarch_quota_refused_total', 'Requests refused with 429, by workspace.', ['workspace']);
	private readonly _workspaceLabels = new Set<string>();
	private readonly _events = this._counter('pollenarch_events_total', 'Log events, written or left out.', ['event']);

	private readonly _handlers: Partial<Record<LogEventName, (fields: Fields) => void>> = {
		'request-answered': fields => {
			this._recordRequestEnd('answered', fields);
		},
		'request-ended': fields => {
			this._recordRequestEnd(toText(fields.outcome), fields);
			if (fields.isBrokenOff === true) {
				this._brokenOff.inc({outcome: toText(fields.outcome)});
			}

			if (fields.lastTry) {
				this._recordFailedTry(fields.lastTry as Fields);
			}
		},
		'request-refused': fields => {
			this._requests.inc({outcome: toText(fields.code), route: ''});
		},
		'request-unanswered': fields => {
			this._unanswered.inc({reason: toText(fields.reason)});
		},
		'try-sent': fields => {
			this._tryWait.observe(Number(fields.waitedMs) * SECONDS_PER_MS);
		},
		'try-ended': fields => {
			this._recordFailedTry(fields);
		},
		'quota-refused': fields => {
			this._quotaRefusals.inc({workspace: this._labelOf(toText(fields.workspace))});
		},
		'engine-order-answered': fields => {
			this._orders.inc({outcome: toText(fields.outcome)});
		},
		'move-planned': fields => {
			this._moves.inc({kind: toText(fields.kind), reason: toText(fields.reason)});
		},
	};

	constructor({state, monotonicMs, wallMs, droppedLines}: EntryMetricsOptions) {
		const gauges: ReadonlyArray<readonly [name: string, help: string, read: () => number]> = [
			['pollenarch_quota_waiting_requests', 'Requests that wait for units of their workspace\'s quota.', () => state.quotas.waiting.size],
			['pollenarch_open_requests', 'Requests without a final answer.', () => state.open.size],
			['pollenarch_waiting_requests', 'Requests that wait for room at a target.', () => [...state.queues.values()].reduce((sum, {waiting}) => sum + waiting, 0)],
			['pollenarch_usable_targets', 'Targets that requests may be sent to.', () => [...state.targets.values()].filter(target => isUsable(target, monotonicMs())).length],
			['pollenarch_limited_targets', 'Targets that name a limit on requests.', () => [...state.targets.values()].filter(target => isLimited(target)).length],
			['pollenarch_unreached_targets', 'Targets that no connection can be opened to.', () => unreachedTargets(state).length],
			['pollenarch_paced_targets', 'Targets whose pace is being found.', () => [...state.targets.values()].filter(({pace}) => pace !== undefined).length],
			['pollenarch_pace_limit', 'Sum of the limits of these targets.', () => [...state.targets.values()].reduce((sum, {pace}) => sum + (pace?.limit ?? 0), 0)],
			['pollenarch_dark_targets', 'Targets that the zone does not try, since no connection can be opened to them.', () => [...state.targets.values()].filter(({darkSinceMs}) => darkSinceMs !== undefined).length],
			['pollenarch_known_crashes', 'Crashes of targets of the last hour with something blamed for them or cleared.', () => state.crashEvidence.size],
			['pollenarch_known_instances', 'Other instances that are known.', () => state.peers.size],
			['pollenarch_configuration_version', 'Version of the configuration in force.', () => state.configuration?.version ?? 0],
			['pollenarch_configuration_age_seconds', 'Time since the configuration in force was last known to be the newest.', () => toSeconds(unconfirmedForMs({state, nowMs: monotonicMs(), wallMs: wallMs()}))],
			['pollenarch_registry_age_seconds', 'Age of the copy of the registry.', () => toSeconds(monotonicMs() - state.registry.freshAtMs)],
			['pollenarch_lease_held', 'Whether this instance gives orders to engines.', () => state.lease.held ? 1 : 0],
			['pollenarch_lines_left_out', 'Log lines that were left out since the start.', droppedLines],
		];
		for (const [name, help, read] of gauges) {
			const gauge: Gauge = new Gauge({
				name, help, registers: [this.registry], collect() {
					gauge.set(read());
				},
			});
		}

		this._addQuotaGauges(state, monotonicMs);
	}

	recordCut(reason: string, closer: string): void {
		this._cutRequests.inc({reason, closer});
	}

	recordEvent(event: LogEventName, fields: Fields): void {
		this._events.inc({event});
		this._handlers[event]?.(fields);
	}

	recordStoreCall(kind: string, outcome: string): void {
		this._storeCalls.inc({kind, outcome});
	}

	recordStep(step: RequestStep, ms: number): void {
		this._steps.observe({step}, ms * SECONDS_PER_MS);
	}

	recordRound(ms: number): void {
		this._rounds.observe(ms * SECONDS_PER_MS);
	}

	recordClosedConnection(reason: CloseReason): void {
		this._closedConnections.inc({reason});
	}

	recordConnection(use: 'reused' | OpeningReason): void {
		if (use === 'reused') {
			this._reusedConnections.inc();
		} else {
			this._newConnections.inc({reason: use});
		}
	}

	/** Gauges that are read for each workspace with a quota. */
	private _addQuotaGauges(state: EntryState, monotonicMs: () => number): void {
		const read = (workspace: string, use: (use: WorkspaceUse) => number) => {
			const found = state.quotas.uses.get(workspace);
			return found ? use(found) : 0;
		};

		const gauges: ReadonlyArray<readonly [name: string, help: string, read: (workspace: string) => number]> = [
			['pollenarch_quota_limit_units', 'Units that all instances together may use in a window.', workspace => quotaIndex(state).get(workspace)?.limit.perWindow ?? 0],
			['pollenarch_quota_used_here_units', 'Units charged here in the last window.', workspace => read(workspace, use => use.window.sum(monotonicMs()))],
			['pollenarch_quota_used_share', 'Share of the limit that is used over all instances, in tenths, as last told by the instance that keeps the account; -1 while unknown.', workspace => state.quotas.told?.levels.get(workspace)?.usedShare ?? -1],
		];
		for (const [name, help, readUnits] of gauges) {
			const labelOf = (workspace: string) => this._labelOf(workspace);
			const gauge: Gauge = new Gauge({
				name, help, labelNames: ['workspace'], registers: [this.registry], collect() {
					gauge.reset();
					for (const workspace of quotaIndex(state).keys()) {
						const label = labelOf(workspace);
						if (label !== OTHER_WORKSPACES) {
							gauge.set({workspace: label}, readUnits(workspace));
						}
					}
				},
			});
		}
	}

	private _labelOf(workspace: string): string {
		if (this._workspaceLabels.size < MAX_WORKSPACE_LABELS) {
			this._workspaceLabels.add(workspace);
		}

		return this._workspaceLabels.has(workspace) ? workspace : OTHER_WORKSPACES;
	}

	private _recordFailedTry({outcome, targetId}: Fields): void {
		this._failedTries.inc({outcome: toText(outcome), target: toText(targetId)});
	}

	private _recordRequestEnd(outcome: string, fields: Fields): void {
		this._requests.inc({outcome, route: toText(fields.route)});
		this._duration.observe({outcome}, Number(fields.tookMs) * SECONDS_PER_MS);
		this._tries.observe({outcome}, Array.isArray(fields.tries) ? fields.tries.length : 0);
		if (fields.firstEventMs !== undefined) {
			this._firstEvent.observe(Number(fields.firstEventMs) * SECONDS_PER_MS);
			this._longestPause.observe(Number(fields.longestPauseMs) * SECONDS_PER_MS);
		}
	}

	private _counter(name: string, help: string, labelNames: string[]): Counter {
		return new Counter({
			name, help, labelNames, registers: [this.registry],
		});
	}

	private _histogram(name: string, help: string, buckets: number[], labelNames: string[]): Histogram {
		return new Histogram({
			name, help, buckets, labelNames, registers: [this.registry],
		});
	}
}

function toText(value: unknown): string {
	return typeof value === 'string' ? value : '';
}

/** -1 for an age that is not known. */
function toSeconds(ageMs: number): number {
	return Number.isFinite(ageMs) ? ageMs * SECONDS_PER_MS : -1;
}
