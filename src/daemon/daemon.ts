/**
One daemon: it feeds events to the reducer, carries out its effects, and owns the
listeners, clients and timers. Everything that it starts is released by `stop`.
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
import {createEffectHandlers, type EffectHandlers} from './effects.js';
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

const TICK_MAX_MS = 1000;
const LIST_INTERVAL_MS = 3000;
const RELAY_PEERS = 4;

/** An event without its time, which the daemon adds. */
export type Untimed<Kind extends Event = Event> = Kind extends Event ? Omit<Kind, 'nowMs'> : never;

export type DaemonOptions = {
	readonly settings: Settings;
	readonly clock?: Clock;
	readonly logger?: Logger;
	readonly platform?: Platform;
	/** Takes every event with the effects that it had. */
	readonly record?: (event: Event, effects: readonly Effect[]) => void;
};

export type Addresses = {
	readonly callers: string;
	readonly operators: string;
	readonly peers: string;
};

/** Whether an exchange brings its sender itself, who may be new and know nothing yet. */
function isNewcomer(facts: readonly Fact[]): boolean {
	return facts.some(({value}) => value.kind === 'instance');
}

export class Daemon {
	readonly state: State = createState();
	readonly exchanges = new Map<string, CallerExchange>();
	readonly patches = new Map<string, (outcome: PatchOutcome) => void>();
	readonly settings: Settings;
	readonly platform: Platform;
	readonly table: RelayedTable;
	readonly peers: PeerClient;
	readonly targets: TargetClients;
	readonly metrics: Metrics;
	readonly boot = randomBytes(6).toString('hex');
	/** Resolves once the daemon has stopped by itself or was stopped. */
	readonly stopped: Promise<void>;
	isReady = false;
	readonly clock: Clock;
	private readonly _logger: Logger;
	private readonly _record: DaemonOptions['record'];
	private readonly _effects: EffectHandlers;
	private readonly _listeners: Listener[] = [];
	private _addresses: Addresses | undefined;
	private _tick: NodeJS.Timeout | undefined;
	private _list: NodeJS.Timeout | undefined;
	private _requests = 0;
	private _isStopped = false;
	private _resolveStopped: () => void = () => undefined;

	private constructor({settings, clock, logger, platform, record}: DaemonOptions) {
		this.settings = settings;
		this.clock = clock ?? systemClock;
		this._logger = logger ?? pino({level: settings.log.level, base: {instance: settings.instance.id}});
		this._record = record;
		this.platform = platform ?? createHttpPlatform(settings.platform);
		this.peers = new PeerClient(settings.instance.id);
		this.targets = new TargetClients(this);
		this.metrics = createMetrics(settings.metrics);
		this.table = new RelayedTable({
			table: this.platform.table,
			peers: () => this._relayAddresses(),
			relay: async (address, operation) => this.peers.relayTable(address, operation),
			onReachable: reachable => {
				if (reachable !== this.state.platformReachable) {
					this.dispatch({kind: 'platform-state', reachable});
				}
			},
		});
		this._effects = createEffectHandlers(this);
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

	get addresses(): Addresses {
		if (!this._addresses) {
			throw new Error('the daemon does not listen yet');
		}

		return this._addresses;
	}

	get configuration(): VersionedConfiguration {
		return this.state.configuration;
	}

	/** Runs an event through the reducer and carries out its effects. */
	dispatch(event: Untimed): void {
		if (this._isStopped) {
			return;
		}

		const timed: Event = {...event, nowMs: this.clock.monotonicMs()};
		const effects = reduce(this.state, timed);
		this._record?.(timed, effects);
		for (const effect of effects) {
			this._carryOut(effect);
		}

		this._scheduleTick();
	}

	log(event: LogEventName, fields: Readonly<Record<string, unknown>>): void {
		const {number, level} = logEvents[event];
		this._logger[level]({event: number, ...fields}, event);
	}

	nextRequestId(): string {
		this._requests++;
		return `${this.settings.instance.id}-${this.boot}-${this._requests.toString(36)}`;
	}

	drain(reason: 'signal' | 'operator'): void {
		this.dispatch({kind: 'drain-requested', reason});
	}

	/** Releases everything at once, as the death of the process would. */
	async stop(): Promise<void> {
		if (this._isStopped) {
			return;
		}

		this._isStopped = true;
		clearTimeout(this._tick);
		clearTimeout(this._list);
		for (const call of this.exchanges.values()) {
			call.cancelAll();
		}

		await closeAll(this._listeners);
		await this.targets.close();
		this.peers.close();
		await this.platform.close();
		this.metrics.close();
		this._resolveStopped();
	}

	private async _open(): Promise<void> {
		const {listen: wanted, instance, advertise, seeds} = this.settings;
		const peers = await listen(await createPeerServer(this._peerHandler()), wanted.peers, 'listen.peers');
		this._listeners.push(peers);
		const callers = await listen(createCallerListener(this), wanted.callers, 'listen.callers');
		this._listeners.push(callers);
		const operators = await listen(createOperatorListener(this), wanted.operators, 'listen.operators');
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
		await this._readInstances();
		await this._askSeeds(seeds);
	}

	private _peerHandler(): Parameters<typeof createPeerServer>[0] {
		return {
			instanceId: this.settings.instance.id,
			exchange: (from, facts) => {
				this.dispatch({kind: 'facts-received', from, facts});
				return isNewcomer(facts) ? this.answerFacts() : [];
			},
			newestConfiguration: () => this.configuration,
			runTable: async operation => this.table.runDirect(operation),
			holdWrite: settlement => {
				this.dispatch({kind: 'hold-requested', settlement});
			},
		};
	}

	/** What an exchange is answered with: this instance itself and its configuration version, so that the asker learns both. */
	answerFacts() {
		const {facts} = this.state.peers;
		return [`instance/${this.settings.instance.id}`, 'configuration']
			.map(key => facts.get(key)?.fact)
			.filter(fact => fact !== undefined);
	}

	private async _askSeeds(seeds: readonly string[]): Promise<void> {
		await Promise.all(seeds.map(async address => {
			const answer = await this.peers.exchange(address, this.answerFacts());
			if (answer) {
				this.dispatch({kind: 'facts-received', from: answer.instanceId, facts: answer.facts});
			}
		}));
	}

	private async _readInstances(): Promise<void> {
		const instances = await this.platform.instances.read();
		if (instances) {
			this.dispatch({kind: 'instances-listed', instances: instances.filter(({id}) => id !== this.settings.instance.id)});
		}

		if (!this._isStopped) {
			this._list = setTimeout(() => {
				void this._readInstances();
			}, LIST_INTERVAL_MS);
		}
	}

	/** Peers in other zones first: a cut from the platform tends to take a whole zone. */
	private _relayAddresses(): string[] {
		const {zone} = this.settings.instance;
		return this.state.membership.live()
			.toSorted((a, b) => Number(a.zone === zone) - Number(b.zone === zone))
			.slice(0, RELAY_PEERS)
			.map(({address}) => address);
	}

	private _carryOut(effect: Effect): void {
		const handler = this._effects[effect.kind] as (effect: Effect) => void;
		try {
			handler(effect);
		} catch (error) {
			// One effect that fails must not keep the others from being carried out.
			this.log('effect-failed', {effect: effect.kind, error: error instanceof Error ? error.message : String(error)});
		}
	}

	private _scheduleTick(): void {
		if (this._tick !== undefined || this._isStopped) {
			return;
		}

		const dueMs = this.state.timers.nextDueMs ?? Number.POSITIVE_INFINITY;
		const delayMs = Math.min(TICK_MAX_MS, Math.max(1, dueMs - this.clock.monotonicMs()));
		this._tick = setTimeout(() => {
			this._tick = undefined;
			this.dispatch({kind: 'tick'});
		}, delayMs);
	}
}
