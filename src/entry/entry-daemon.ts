/**
The daemon of an entry instance on a platform: it feeds events to the reducer,
carries out its effects, and owns listeners, connections and the timer. All that it
starts is released by `stop`.
*/
import {createHash, randomBytes} from 'node:crypto';
import {type Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {fastify, type FastifyInstance} from 'fastify';
import {systemClock, type Clock} from '../core/clock.js';
import {type EntryEffect} from '../core/entry/effect.js';
import {type EntryEvent} from '../core/entry/event.js';
import {reduceEntry} from '../core/entry/reducer.js';
import {knownVersions, transferFor} from '../core/entry/peer-sync.js';
import {type KnownVersions} from '../core/entry/peer-messages.js';
import {createEntryState, type EntryContext, type EntryState} from '../core/entry/state.js';
import {type EntryInstance} from '../core/entry/types.js';
import {type CallerLimits} from '../core/entry/configuration.js';
import {Beacons} from './beacons.js';
import {createEntryEffects, type EntryEffects} from './effects.js';
import {countCalls} from './counted-store.js';
import {EntryLog} from './entry-log.js';
import {EntryMetrics} from './entry-metrics.js';
import {Exchange} from './exchange.js';
import {defaultLimits, Front} from './front.js';
import {createEntryPeerServer, EntryPeers, type AdapterAnswer} from './peers.js';
import {type Deployment} from './services.js';
import {type EntrySettings} from './settings.js';
import {StoreWatcher} from './store-watcher.js';
import {TargetConnections} from './target-connections.js';
import {TryRunner} from './try-runner.js';

/** Duties of the core are due to some tens of milliseconds. */
const TICK_MS = 50;
const SEED_TRIES = 10;
/** Part of the stop's grace that is left for last answers to reach slow callers. */
const FLUSH_MS = 500;

export type Untimed<Event = EntryEvent> = Event extends unknown ? Omit<Event, 'nowMs' | 'wallMs'> : never;

export type EntryDaemonOptions = {
	readonly settings: EntrySettings;
	readonly deployment: Deployment;
	readonly clock?: Clock;
	readonly log?: EntryLog;
};

export class EntryDaemon {
	readonly state: EntryState = createEntryState();
	readonly exchanges = new Map<string, Exchange>();
	readonly deployment: Deployment;
	readonly log: EntryLog;
	readonly watcher: StoreWatcher;
	readonly peers = new EntryPeers();
	readonly beacons: Beacons;
	readonly tries: TryRunner;
	readonly front: Front;
	/** Peers' questions for adapters that are not answered yet. */
	readonly tickets = new Map<number, (answer: AdapterAnswer) => void>();
	/** Resolves once the daemon has stopped by itself or was stopped. */
	readonly stopped: Promise<void>;
	isReady = false;
	limits: CallerLimits = defaultLimits;
	private readonly _settings: EntrySettings;
	private readonly _clock: Clock;
	private readonly _effects: EntryEffects;
	private readonly _connections = new TargetConnections();
	private readonly _metrics: EntryMetrics;
	private readonly _servers: FastifyInstance[] = [];
	private _tick: NodeJS.Timeout | undefined;
	private _isStopped = false;
	private _ticket = 0;
	private _resolveStopped: () => void = () => undefined;

	private constructor({settings, deployment, clock = systemClock, log}: EntryDaemonOptions) {
		this._settings = settings;
		this.deployment = deployment;
		this._clock = clock;
		this.log = log ?? new EntryLog({level: settings.log.level, instanceId: settings.instance.id, clock});
		const dispatch = (event: Untimed) => {
			this.dispatch(event);
		};

		const metrics = new EntryMetrics({state: this.state, monotonicMs: () => clock.monotonicMs(), linesLeftOut: () => this.log.leftOut});
		this._metrics = metrics;
		this.log.observe((event, fields) => {
			metrics.note(event, fields);
		});
		this.watcher = new StoreWatcher({
			deployment: {...deployment, store: countCalls(deployment.store, metrics)}, log: this.log, clock, dispatch,
		});
		this.tries = new TryRunner({
			dialect: deployment.dialect, connections: this._connections, monotonicMs: () => clock.monotonicMs(), dispatch,
		});
		this.front = new Front({
			limits: () => this.limits,
			accept: (request, response, body) => {
				this._accept(request, response, body);
			},
			refused: (code, detail) => {
				this.log.write('request-refused', {code, detail});
			},
		});
		this.beacons = new Beacons(beacon => {
			dispatch({kind: 'beacon-heard', beacon});
		});
		this._effects = createEntryEffects(this);
		this.stopped = new Promise(resolve => {
			this._resolveStopped = resolve;
		});
	}

	static async start(options: EntryDaemonOptions): Promise<EntryDaemon> {
		const daemon = new EntryDaemon(options);
		try {
			await daemon._open();
		} catch (error) {
			await daemon.stop();
			throw error;
		}

		return daemon;
	}

	/** Runs an event through the reducer and carries out its effects. */
	dispatch(event: Untimed): void {
		if (this._isStopped) {
			return;
		}

		const timed: EntryEvent = {...event, nowMs: this._clock.monotonicMs(), wallMs: this._clock.now().getTime()};
		for (const effect of reduceEntry(this.state, timed)) {
			this._carryOut(effect);
		}
	}

	/** Takes what is newer at a peer. */
	async pull(address: string, holdings: KnownVersions): Promise<void> {
		const transfer = await this.peers.pull(address, holdings);
		if (transfer) {
			this.dispatch({kind: 'pulled', transfer});
		}
	}

	drain(): void {
		this.dispatch({kind: 'drain-requested'});
	}

	/** Stops once the last answers have left, or after a short wait for callers that do not take them. */
	async finish(): Promise<void> {
		for (let waitedMs = 0; this.exchanges.size > 0 && waitedMs < FLUSH_MS; waitedMs += TICK_MS) {
			await delay(TICK_MS);
		}

		await this.stop();
	}

	async stop(): Promise<void> {
		if (this._isStopped) {
			return;
		}

		this._isStopped = true;
		clearInterval(this._tick);
		this.watcher.stop();
		for (const exchange of this.exchanges.values()) {
			exchange.cancelAll();
		}

		this.peers.close();
		this.beacons.close();
		await this.front.close();
		await Promise.all(this._servers.map(async server => server.close()));
		await this._connections.close();
		await this.deployment.engines.close();
		await this.deployment.store.close();
		this.log.flush();
		this._resolveStopped();
	}

	private async _open(): Promise<void> {
		const {instance, listen} = this._settings;
		const self: EntryInstance = {
			id: instance.id, boot: randomBytes(6).toString('hex'), zone: instance.zone, address: listen.peers, beaconAddress: listen.beacons,
		};
		this.dispatch({
			kind: 'started', self, bounds: this._settings.bounds, seed: randomBytes(4).readInt32LE(),
		});
		const peers = await createEntryPeerServer({
			transfer: holdings => {
				this.dispatch({kind: 'instances-read', instances: [holdings.from]});
				return transferFor(this._context(), holdings);
			},
			ensureAdapter: async (targetId, model, adapter) => this._ensureAdapter(targetId, model, adapter),
		});
		await this._serve(peers, listen.peers);
		await this.beacons.listen(splitEndpoint(listen.beacons));
		await this._serve(this._readiness(), listen.readiness);
		if (listen.metrics !== undefined) {
			await this._serve(this._metricsServer(), listen.metrics);
		}

		const callers = splitEndpoint(listen.callers);
		await this.front.listen(callers.host, callers.port);
		this.log.write('daemon-listening', {...listen});
		this._tick = setInterval(() => {
			this.dispatch({kind: 'tick'});
		}, TICK_MS);
		void this.watcher.followConfiguration();
		void this.watcher.announce(self);
		void this._askSeeds();
	}

	private async _serve(server: FastifyInstance, endpoint: string): Promise<void> {
		this._servers.push(server);
		await server.listen(splitEndpoint(endpoint));
	}

	private _readiness(): FastifyInstance {
		const server = fastify({forceCloseConnections: true});
		server.get('/v1/ready', async (_request, reply) => reply.code(this.isReady ? 200 : 503).send());
		return server;
	}

	private _metricsServer(): FastifyInstance {
		const server = fastify({forceCloseConnections: true});
		server.get('/metrics', async (_request, reply) => {
			const {registry} = this._metrics;
			return reply.type(registry.contentType).send(await registry.metrics());
		});
		return server;
	}

	/** For looks at the state; effects have no place in them. */
	private _context(): EntryContext {
		return {
			state: this.state, nowMs: this._clock.monotonicMs(), wallMs: this._clock.now().getTime(), effects: [],
		};
	}

	/** Seeds may start later than this instance. */
	private async _askSeeds(): Promise<void> {
		for (let attempt = 0; attempt < SEED_TRIES && this.state.peers.size === 0 && !this._isStopped; attempt++) {
			await Promise.all(this._settings.seeds
				.filter(address => address !== this._settings.listen.peers)
				.map(async address => this.pull(address, knownVersions(this._context()))));
		}
	}

	private async _ensureAdapter(targetId: string, model: string, adapter: string): Promise<AdapterAnswer> {
		return new Promise(resolve => {
			this._ticket++;
			const callId = this._ticket;
			this.tickets.set(callId, resolve);
			this.dispatch({
				kind: 'adapter-asked', callId, targetId, model, adapter,
			});
		});
	}

	private _accept(request: IncomingMessage, response: ServerResponse, body: Buffer): void {
		const {dialect} = this.deployment;
		const head = dialect.readCaller(request.rawHeaders);
		const id = head.requestId;
		const path = (request.url ?? '/').split('?', 1)[0] ?? '/';
		const exchange = new Exchange({
			id: id ?? '', head, request, response, body, ownHeaders: dialect.toCaller(id), isLast: () => this.state.lifecycle !== 'serving',
		});
		if (id === undefined || id === '' || this.exchanges.has(id)) {
			this.log.write('request-refused', {code: 'header-invalid', requestId: id});
			exchange.refuse('header-invalid', {detail: 'the request has no id of its own'});
			return;
		}

		this.exchanges.set(id, exchange);
		response.on('close', () => {
			this.exchanges.delete(id);
			if (!exchange.isFinished) {
				this.dispatch({kind: 'caller-left', requestId: id});
				exchange.cancelAll();
			}
		});
		if (response.destroyed) {
			this.exchanges.delete(id);
			return;
		}

		const host = request.headers.host ?? '';
		this.dispatch({
			kind: 'request-arrived',
			arrival: {
				id,
				host,
				path,
				contentHash: createHash('sha256').update(host).update('\0').update(request.url ?? '').update('\0').update(body).digest('base64url'),
				model: head.model,
				adapter: head.adapter,
				deadlineMs: head.deadlineMs,
			},
		});
	}

	private _carryOut(effect: EntryEffect): void {
		const handler = this._effects[effect.kind] as (effect: EntryEffect) => void;
		try {
			handler(effect);
		} catch (error) {
			// One effect that fails must not keep the others from being carried out.
			this.log.write('effect-failed', {effect: effect.kind, error: error instanceof Error ? error.message : String(error)});
		}
	}
}

export function splitEndpoint(endpoint: string): {host: string; port: number} {
	const colon = endpoint.lastIndexOf(':');
	return {host: endpoint.slice(0, colon), port: Number(endpoint.slice(colon + 1))};
}
