/**
The daemon of one entry instance: it passes events to the reducer, runs the effects
that the reducer returns, and owns the listeners, clients and timers. `stop` releases
everything that the daemon opened.
*/
import {randomBytes} from 'node:crypto';
import {pino, type Logger} from 'pino';
import {systemClock, type Clock} from '../core/clock.js';
import {type VersionedConfiguration} from '../core/configuration/types.js';
import {type Effect, type PatchOutcome} from '../core/effect.js';
import {type Event} from '../core/event.js';
import {logEvents, type LogEventName} from '../core/log-events.js';
import {reduce} from '../core/reducer.js';
import {createState, type State} from '../core/state.js';
import {type Fact} from '../core/peer/types.js';
import {type Instance} from '../core/types.js';
import {type CallerExchange} from './caller-exchange.js';
import {createEffectHandlers, type EffectHandlers} from './effect-handlers.js';
import {TargetClients} from './target-clients.js';
import {createCallerListener} from './listeners/callers.js';
import {createOperatorListener} from './listeners/operators.js';
import {closeAll, listen, type Listener} from './listeners/listener.js';
import {createMetrics, type Metrics} from './metrics.js';
import {PeerClient} from './peer/client.js';
import {createPeerServer} from './peer/server.js';
import {createHttpPlatform} from './platform/http-platform.js';
import {RelayedTable} from './platform/relayed-table.js';
import {type Platform} from './platform/types.js';
import {type Settings} from './settings.js';

const MAX_TICK_DELAY_MS = 1000;
const INSTANCE_LIST_INTERVAL_MS = 3000;
const MAX_RELAY_PEERS = 4;

/** An event without its timestamp, which `dispatch` adds. */
export type Untimed<Kind extends Event = Event> = Kind extends Event ? Omit<Kind, 'nowMs'> : never;

export type DaemonOptions = {
	readonly settings: Settings;
	readonly clock?: Clock;
	readonly logger?: Logger;
	readonly platform?: Platform;
	/** Called with every event and the effects that the reducer returned for it. */
	readonly onEvent?: (event: Event, effects: readonly Effect[]) => void;
};

export type ListenerAddresses = {
	readonly callers: string;
	readonly operators: string;
	readonly peers: string;
};

/** Whether an exchange announces an instance: its sender may have just started and know no peers yet. */
function includesInstanceFact(facts: readonly Fact[]): boolean {
	return facts.some(({value}) => value.kind === 'instance');
}

export type PendingPatch = {
	/** The submission as it was sent, to recognize a repetition. */
	readonly submission: unknown;
	readonly outcome: Promise<PatchOutcome>;
	readonly resolve: (outcome: PatchOutcome) => void;
};

export class Daemon {
	readonly state: State = createState();
	/** Exchanges with callers, by request id. */
	readonly exchanges = new Map<string, CallerExchange>();
	/** Submitted patches whose outcome is not known yet, by operation id. */
	readonly pendingPatches = new Map<string, PendingPatch>();
	readonly settings: Settings;
	readonly platform: Platform;
	readonly table: RelayedTable;
	readonly peers: PeerClient;
	readonly targets: TargetClients;
	readonly metrics: Metrics;
	readonly boot = randomBytes(6).toString('hex');
	/** Resolves once the daemon has stopped, by itself after a drain or through `stop`. */
	readonly stopped: Promise<void>;
	isReady = false;
	readonly clock: Clock;
	private readonly _logger: Logger;
	private readonly _onEvent: DaemonOptions['onEvent'];
	private readonly _effectHandlers: EffectHandlers;
	private readonly _listeners: Listener[] = [];
	private _addresses: ListenerAddresses | undefined;
	private _tickTimer: NodeJS.Timeout | undefined;
	private _instanceListTimer: NodeJS.Timeout | undefined;
	private _requestCount = 0;
	private _isStopped = false;
	private _resolveStopped: () => void = () => undefined;

	private constructor({settings, clock, logger, platform, onEvent}: DaemonOptions) {
		this.settings = settings;
		this.clock = clock ?? systemClock;
		this._logger = logger ?? pino({level: settings.log.level, base: {instance: settings.instance.id}});
		this._onEvent = onEvent;
		this.platform = platform ?? createHttpPlatform(settings.platform);
		this.peers = new PeerClient(settings.instance.id);
		this.targets = new TargetClients(this);
		this.metrics = createMetrics(settings.metrics);
		this.table = new RelayedTable({
			table: this.platform.table,
			relayAddresses: () => this._relayAddresses(),
			relay: async (address, operation) => this.peers.relayTable(address, operation),
			reportReachability: reachable => {
				if (reachable !== this.state.platformReachable) {
					this.dispatch({kind: 'platform-state', reachable});
				}
			},
		});
		this._effectHandlers = createEffectHandlers(this);
		this.stopped = new Promise(resolve => {
			this._resolveStopped = resolve;
		});
	}

	static async start(options: DaemonOptions): Promise<Daemon> {
		const daemon = new Daemon(options);
		try {
			await daemon._open();
		} catch (error) {
			await daemon.stop();
			throw error;
		}

		return daemon;
	}

	get addresses(): ListenerAddresses {
		if (!this._addresses) {
			throw new Error('the daemon is not listening yet');
		}

		return this._addresses;
	}

	get configuration(): VersionedConfiguration {
		return this.state.configuration;
	}

	/** Passes an event to the reducer and runs the effects that it returns. Does nothing once the daemon has stopped. */
	dispatch(event: Untimed): void {
		if (this._isStopped) {
			return;
		}

		const timed: Event = {...event, nowMs: this.clock.monotonicMs()};
		const effects = reduce(this.state, timed);
		this._onEvent?.(timed, effects);
		for (const effect of effects) {
			this._runEffect(effect);
		}

		this._scheduleTick();
	}

	log(event: LogEventName, fields: Readonly<Record<string, unknown>>): void {
		const {number, level} = logEvents[event];
		this._logger[level]({event: number, ...fields}, event);
	}

	nextRequestId(): string {
		this._requestCount++;
		return `${this.settings.instance.id}-${this.boot}-${this._requestCount.toString(36)}`;
	}

	drain(reason: 'signal' | 'operator'): void {
		this.dispatch({kind: 'drain-requested', reason});
	}

	/** Cancels all tries and closes everything at once without draining, as the end of the process would. */
	async stop(): Promise<void> {
		if (this._isStopped) {
			return;
		}

		this._isStopped = true;
		clearTimeout(this._tickTimer);
		clearTimeout(this._instanceListTimer);
		for (const exchange of this.exchanges.values()) {
			exchange.cancelAllTries();
		}

		await closeAll(this._listeners);
		await this.targets.close();
		this.peers.close();
		await this.platform.close();
		this.metrics.close();
		this._resolveStopped();
	}

	private async _open(): Promise<void> {
		const {listen: listenSettings, instance, advertise, seeds} = this.settings;
		const peers = await listen(await createPeerServer(this._createPeerHandler()), listenSettings.peers, 'listen.peers');
		this._listeners.push(peers);
		const callers = await listen(createCallerListener(this), listenSettings.callers, 'listen.callers');
		this._listeners.push(callers);
		const operators = await listen(createOperatorListener(this), listenSettings.operators, 'listen.operators');
		this._listeners.push(operators);
		this._addresses = {callers: callers.address, operators: operators.address, peers: peers.address};
		this.log('daemon-listening', {...this._addresses});
		const self: Instance = {
			id: instance.id,
			boot: this.boot,
			zone: instance.zone,
			address: advertise ?? peers.address,
			state: 'live',
		};
		this.dispatch({
			kind: 'started',
			self,
			seed: randomBytes(4).readInt32LE(),
			wallMs: this.clock.now().getTime(),
		});
		await this._pollInstances();
		await this._exchangeWithSeeds(seeds);
	}

	private _createPeerHandler(): Parameters<typeof createPeerServer>[0] {
		return {
			instanceId: this.settings.instance.id,
			exchange: (from, facts) => {
				this.dispatch({kind: 'facts-received', from, facts});
				return includesInstanceFact(facts) ? this.ownFacts() : [];
			},
			currentConfiguration: () => this.configuration,
			runTableOperation: async operation => this.table.runDirect(operation),
			holdWrite: settlement => {
				this.dispatch({kind: 'hold-requested', settlement});
			},
		};
	}

	/** The facts about this instance and its configuration version, with which it introduces itself to a peer. */
	ownFacts() {
		const {facts} = this.state.peers;
		return [`instance/${this.settings.instance.id}`, 'configuration']
			.map(key => facts.get(key)?.fact)
			.filter(fact => fact !== undefined);
	}

	private async _exchangeWithSeeds(seeds: readonly string[]): Promise<void> {
		await Promise.all(seeds.map(async address => {
			const response = await this.peers.exchange(address, this.ownFacts());
			if (response) {
				this.dispatch({kind: 'facts-received', from: response.instanceId, facts: response.facts});
			}
		}));
	}

	private async _pollInstances(): Promise<void> {
		const instances = await this.platform.instances.read();
		if (instances) {
			this.dispatch({kind: 'instances-listed', instances: instances.filter(({id}) => id !== this.settings.instance.id)});
		}

		if (!this._isStopped) {
			this._instanceListTimer = setTimeout(() => {
				void this._pollInstances();
			}, INSTANCE_LIST_INTERVAL_MS);
		}
	}

	/** Peers that can relay table operations, those in other zones first: a network partition from the platform usually affects a whole zone. */
	private _relayAddresses(): string[] {
		const {zone} = this.settings.instance;
		return this.state.membership.live()
			.toSorted((a, b) => Number(a.zone === zone) - Number(b.zone === zone))
			.slice(0, MAX_RELAY_PEERS)
			.map(({address}) => address);
	}

	private _runEffect(effect: Effect): void {
		const handler = this._effectHandlers[effect.kind] as (effect: Effect) => void;
		try {
			handler(effect);
		} catch (error) {
			// A failing effect must not prevent the remaining effects from running.
			this.log('effect-failed', {effect: effect.kind, error: error instanceof Error ? error.message : String(error)});
		}
	}

	private _scheduleTick(): void {
		if (this._tickTimer !== undefined || this._isStopped) {
			return;
		}

		const dueMs = this.state.timers.nextDueMs ?? Number.POSITIVE_INFINITY;
		const delayMs = Math.min(MAX_TICK_DELAY_MS, Math.max(1, dueMs - this.clock.monotonicMs()));
		this._tickTimer = setTimeout(() => {
			this._tickTimer = undefined;
			this.dispatch({kind: 'tick'});
		}, delayMs);
	}
}
