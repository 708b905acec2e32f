/**
Daemon of an entry instance on a platform. It feeds events to the reducer, executes its
effects, and owns the listeners, connections and the tick timer. `stop` releases
everything that it opened.
*/
import {createHash, randomBytes} from 'node:crypto';
import {type Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {type FastifyInstance} from 'fastify';
import {systemClock, type Clock} from '../core/clock.js';
import {type EntryEffect} from '../core/entry/effect.js';
import {type EntryEvent, type Untimed} from '../core/entry/event.js';
import {mechanismsWithout} from '../core/entry/mechanisms.js';
import {reduceEntry} from '../core/entry/reducer.js';
import {knownVersions, transferFor} from '../core/entry/peer-sync.js';
import {type KnownVersions} from '../core/entry/peer-messages.js';
import {createEntryState, type EntryContext, type EntryState} from '../core/entry/state.js';
import {type EntryInstance} from '../core/entry/types.js';
import {type CallerLimits} from '../core/entry/configuration.js';
import {type LogEventName} from '../core/log-events.js';
import {toEvent} from './datagram-codec.js';
import {DatagramSocket} from './datagram-socket.js';
import {createEffectHandlers, type EntryEffectHandlers} from './effect-handlers.js';
import {countStoreCalls} from './counted-store.js';
import {EntryLog} from './entry-log.js';
import {EntryMetrics, type RequestStep} from './entry-metrics.js';
import {EndReports} from './end-reports.js';
import {EventLoop} from './event-loop.js';
import {Exchange} from './exchange.js';
import {createHttpServer} from './http-server.js';
import {CallerListener, type InputOrigin, type ReceivedBody} from './caller-listener.js';
import {createEntryPeerServer, EntryPeerClient, type AdapterResult} from './peer-rpc.js';
import {type Deployment} from './deployment.js';
import {hashKey} from './key-hash.js';
import {type EntrySettings} from './settings.js';
import {StoreWatcher} from './store-watcher.js';
import {TargetConnections} from './target-connections.js';
import {TryRunner} from './try-runner.js';

/** Periodic work of the core needs a resolution of some tens of milliseconds. */
const TICK_MS = 50;
/** Lateness that is worth a line: about the time after which callers and peers notice. */
const LOGGED_LATE_MS = 500;
const SEED_PULL_ROUNDS = 10;
/** Ticks between two hand-overs of lines of a process that serves, and in a period of which the greatest lateness is kept. */
const FLUSH_TICKS = 20;
const LATE_PERIOD_TICKS = 100;
/** Tick from which a process is not counted as one that has just started. */
const SETTLED_TICKS = 100;
/** Seeds that are starting refuse connections at once. */
const SEED_PULL_INTERVAL_MS = 200;
/** The peer's own call has timed out by then. */
const ADAPTER_CALL_TIMEOUT_MS = 1500;
/** Part of the grace period of a stop that is left for closing, after which the process is killed. */
const CLOSE_MARGIN_MS = 200;

type DelayedStep = {
	readonly requestId: string;
	readonly tryNumber?: number;
	readonly waitedMs: number;
	/** Time to the request's deadline; undefined if its caller stated none. */
	readonly leftMs: number | undefined;
};

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
	readonly storeWatcher: StoreWatcher;
	readonly peerClient = new EntryPeerClient();
	readonly datagramSocket: DatagramSocket;
	readonly tryRunner: TryRunner;
	readonly callerListener: CallerListener;
	/** Resolvers of the pending `ensureAdapter` calls of peers, by call id. */
	readonly pendingAdapterCalls = new Map<number, (result: AdapterResult) => void>();
	/** Resolves once the daemon has stopped, by itself or through `stop`. */
	readonly stopped: Promise<void>;
	isReady = false;
	/** Undefined until a configuration has been read. */
	limits: CallerLimits | undefined;
	private readonly _settings: EntrySettings;
	private readonly _clock: Clock;
	private readonly _effectHandlers: EntryEffectHandlers;
	readonly connections: TargetConnections;
	private readonly _metrics: EntryMetrics;
	private readonly _ends: EndReports;
	private readonly _servers: FastifyInstance[] = [];
	private _tickTimer: NodeJS.Timeout | undefined;
	private readonly _eventLoop = new EventLoop({
		onRound: ms => {
			this._metrics.recordRound(ms);
		},
	});

	private _tickAtMs = 0;
	private _earlierTickAtMs = 0;
	/** Greatest lateness in the present period, and in the one before. */
	private _lateMs = 0;
	private _earlierLateMs = 0;
	private _ticks = 0;
	private _requestsTaken = 0;
	private _isStopped = false;
	private _lastCallId = 0;
	private _resolveStopped: () => void = () => undefined;

	private constructor({settings, deployment, clock = systemClock, log}: EntryDaemonOptions) {
		this._settings = settings;
		this.deployment = deployment;
		this._clock = clock;
		this.log = log ?? new EntryLog({level: settings.log.level, instanceId: settings.instance.id, clock});
		const dispatch = (event: Untimed) => {
			this.dispatch(event);
		};

		const metrics = new EntryMetrics({
			state: this.state, monotonicMs: () => clock.monotonicMs(), wallMs: () => clock.now().getTime(), droppedLines: () => this.log.droppedLines,
		});
		this._metrics = metrics;
		this._ends = new EndReports({
			log: this.log, metrics, state: this.state, exchanges: this.exchanges, monotonicMs: () => clock.monotonicMs(), dispatch,
		});
		const {reuse} = settings.connections;
		this.connections = new TargetConnections({
			reuse,
			eventLoop: this._eventLoop,
			onConnection(use) {
				metrics.recordConnection(use);
			},
		});
		if (reuse === 'all') {
			this.state.hasIdleConnection = address => this.connections.hasIdle(address);
		}

		this.log.setObserver((event, fields) => {
			metrics.recordEvent(event, fields);
		});
		this.storeWatcher = new StoreWatcher({
			deployment: {...deployment, store: countStoreCalls(deployment.store, metrics)}, log: this.log, clock, dispatch,
		});
		this.tryRunner = new TryRunner({
			headerCodec: deployment.headerCodec, connections: this.connections, monotonicMs: () => clock.monotonicMs(), dispatch,
			isSameLifetime: (targetId, requestId) => this.state.targets.get(targetId)?.inFlight.has(requestId) ?? true,
			onWrite: ({requestId, tryNumber, waitedMs, leftMs}) => {
				this._recordStep('write', {
					requestId, tryNumber, waitedMs, leftMs,
				});
				if (waitedMs >= TICK_MS) {
					dispatch({kind: 'try-written', requestId, tryNumber});
				}
			},
		});
		this.callerListener = new CallerListener({
			limits: () => this.limits,
			...settings.callers,
			eventLoop: this._eventLoop,
			deadlineMs: headers => deployment.headerCodec.parseRequest(headers).deadlineMs,
			onRequest: (request, response, received) => {
				this._acceptRequest(request, response, received);
			},
			onRejected: (code, detail, origin) => {
				this.log.write('request-refused', {code, detail, ...this._describeOrigin(origin)});
			},
			onDropped: (reason, origin) => {
				this.log.write('request-unanswered', {reason, ...this._describeOrigin(origin)});
			},
			onClosing(reason) {
				metrics.recordClosedConnection(reason);
			},
			onAnswerCut: (answer, connection) => {
				this._ends.reportLostAnswer(answer, connection);
			},
		});
		this.datagramSocket = new DatagramSocket(datagram => {
			dispatch(toEvent(datagram));
		});
		this._effectHandlers = createEffectHandlers(this);
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

	/** Runs an event through the reducer and executes the resulting effects. */
	dispatch(event: Untimed): void {
		if (this._isStopped) {
			return;
		}

		const timed: EntryEvent = {...event, nowMs: this._clock.monotonicMs(), wallMs: this._clock.now().getTime()};
		for (const effect of this._reduce(timed)) {
			this._runEffect(effect);
		}
	}

	/** Fetches the state that a peer has in a newer version. */
	async pull(address: string, known: KnownVersions): Promise<void> {
		this.dispatch({kind: 'pull-completed', transfer: await this.peerClient.pull(address, known)});
	}

	/** Begins a graceful shutdown. */
	drain(): void {
		// Each round of the event loop handles the signals that have arrived. The tick before the last one ran in an earlier round.
		this.dispatch({kind: 'drain-requested', noticedWithinMs: this._clock.monotonicMs() - this._earlierTickAtMs});
	}

	/** Stops once requests that are being read have been answered and the last responses flushed, or at the end of the grace period. */
	async stopAfterFlush(): Promise<void> {
		// As late as streams go on: until shortly before the process is killed if the signal came at the last possible moment.
		const endsAtMs = this.state.drainNoticedAtMs + this.state.bounds.graceMs - CLOSE_MARGIN_MS;
		while (!await this.callerListener.isIdle() && this._clock.monotonicMs() < endsAtMs) {
			await delay(TICK_MS);
		}

		await this.stop();
	}

	async stop(): Promise<void> {
		if (this._isStopped) {
			return;
		}

		const load = this._describeLoad();
		// What this finds still reaches peers.
		this.callerListener.endLingering();
		this._reportEnd();
		this._isStopped = true;
		clearInterval(this._tickTimer);
		this.storeWatcher.stop();
		for (const exchange of this.exchanges.values()) {
			exchange.cancelAllTries();
		}

		this.peerClient.close();
		this.datagramSocket.close();
		await this.callerListener.close();
		await Promise.all(this._servers.map(async server => server.close()));
		await this.connections.close();
		await this.deployment.engines.close();
		await this.deployment.store.close();
		this.log.write('daemon-closed', {
			...this._ends.describeStop(), ...load, requests: this._requestsTaken, linesLeftOut: this.log.droppedLines,
		});
		this.log.flushNow();
		this._resolveStopped();
	}

	private async _open(): Promise<void> {
		const {instance, listen} = this._settings;
		const self: EntryInstance = {
			id: instance.id, boot: randomBytes(6).toString('hex'), zone: instance.zone, address: listen.peers, beaconAddress: listen.beacons, callerAddress: listen.callers, processorCores: instance.processorCores,
		};
		this.dispatch({
			kind: 'started', self, bounds: this._settings.bounds, seed: randomBytes(4).readInt32LE(), mechanisms: mechanismsWithout(this._settings.policy.without), paceMode: this._settings.pace.mode,
		});
		const peerServer = await createEntryPeerServer({
			createTransfer: known => {
				this.dispatch({kind: 'instances-read', instances: [known.from]});
				return transferFor(this._createContext(), known);
			},
			ensureAdapter: async (targetId, model, adapter) => this._ensureAdapter(targetId, model, adapter),
		});
		await this._serve(peerServer, listen.peers);
		await this.datagramSocket.listen(splitEndpoint(listen.beacons));
		await this._serve(this._createReadinessServer(), listen.readiness);
		if (listen.metrics !== undefined) {
			await this._serve(this._createMetricsServer(), listen.metrics);
		}

		const callers = splitEndpoint(listen.callers);
		await this.callerListener.listen(callers.host, callers.port);
		this.log.write('daemon-listening', {...listen});
		this._tickAtMs = this._clock.monotonicMs();
		this._earlierTickAtMs = this._tickAtMs;
		let dueAtMs = this._tickAtMs + TICK_MS;
		this._tickTimer = setInterval(() => {
			const nowMs = this._clock.monotonicMs();
			this._earlierTickAtMs = this._tickAtMs;
			this._tickAtMs = nowMs;
			const lateMs = nowMs - dueAtMs;
			if (lateMs > LOGGED_LATE_MS) {
				this.log.write('process-late', {lateMs: Math.round(lateMs), lifecycle: this.state.lifecycle, open: this.state.open.size});
			}

			dueAtMs = nowMs + TICK_MS;
			if (lateMs < TICK_MS) {
				this._tick(nowMs, lateMs);
			} else {
				// What has arrived meanwhile is read first, so that the delay of this process is not taken for that of others.
				setImmediate(() => {
					this._tick(nowMs, lateMs);
				});
			}
		}, TICK_MS);
		void this.storeWatcher.followConfiguration();
		void this.storeWatcher.registerInstance(self);
		void this._pullFromSeeds();
	}

	private get _worstLateMs(): number {
		return Math.max(this._lateMs, this._earlierLateMs);
	}

	private _tick(readUntilMs: number, lateMs: number): void {
		this._ticks++;
		this._lateMs = Math.max(this._lateMs, lateMs);
		if (this._ticks % LATE_PERIOD_TICKS === 0) {
			this._earlierLateMs = this._lateMs;
			this._lateMs = 0;
		}

		this.dispatch({kind: 'tick', lateMs, readUntilMs});
		this._ends.nameOpenRequests();
		if (this._ticks === SETTLED_TICKS) {
			this.log.write('first-seconds', {requests: this._requestsTaken, ...this._describeLoad(), ...this._ends.describeStop()});
		}

		if (this.state.lifecycle !== 'serving' || this._ticks % FLUSH_TICKS === 0) {
			// A process that is killed loses what is still in the buffer.
			this.log.flush();
		}
	}

	private async _serve(server: FastifyInstance, endpoint: string): Promise<void> {
		this._servers.push(server);
		await server.listen(splitEndpoint(endpoint));
	}

	private _createReadinessServer(): FastifyInstance {
		const server = createHttpServer({forceCloseConnections: true});
		server.get('/v1/ready', async (_request, reply) => reply.code(this.isReady ? 200 : 503).send());
		return server;
	}

	private _createMetricsServer(): FastifyInstance {
		const server = createHttpServer({forceCloseConnections: true});
		server.get('/metrics', async (_request, reply) => {
			const {registry} = this._metrics;
			return reply.type(registry.contentType).send(await registry.metrics());
		});
		return server;
	}

	/** Context for functions that only read the state; effects pushed to it are never executed. */
	private _createContext(): EntryContext {
		return {
			state: this.state, nowMs: this._clock.monotonicMs(), wallMs: this._clock.now().getTime(), effects: [],
		};
	}

	/** Repeats the pulls because seeds may start later than this instance. */
	private async _pullFromSeeds(): Promise<void> {
		for (let round = 0; round < SEED_PULL_ROUNDS && this.state.peers.size === 0 && !this._isStopped; round++) {
			await Promise.all(this._settings.seeds
				.filter(address => address !== this._settings.listen.peers)
				.map(async address => this.pull(address, knownVersions(this._createContext()))));
			await delay(SEED_PULL_INTERVAL_MS);
		}
	}

	private async _ensureAdapter(targetId: string, model: string, adapter: string): Promise<AdapterResult> {
		return new Promise(resolve => {
			this._lastCallId++;
			const callId = this._lastCallId;
			const timeout = setTimeout(() => {
				this.pendingAdapterCalls.delete(callId);
				resolve({isHeld: false, sequence: 0});
			}, ADAPTER_CALL_TIMEOUT_MS);
			this.pendingAdapterCalls.set(callId, result => {
				clearTimeout(timeout);
				resolve(result);
			});
			this.dispatch({
				kind: 'adapter-requested', callId, targetId, model, adapter,
			});
		});
	}

	private _acceptRequest(request: IncomingMessage, response: ServerResponse, {body, bodyMs, waitedMs, connection}: ReceivedBody): void {
		const {headerCodec} = this.deployment;
		const {apiKey, ...metadata} = headerCodec.parseRequest(request.rawHeaders);
		const id = metadata.requestId;
		const host = request.headers.host ?? '';
		const path = (request.url ?? '/').split('?', 1)[0] ?? '/';
		const exchange = new Exchange({
			id: id ?? '', metadata, request, response, body, connection, bodyMs, arrivedAtMs: this._clock.monotonicMs() - waitedMs, problemHeaders: headerCodec.buildProblemHeaders(id, metadata.relayed !== undefined), closesConnection: () => this.state.lifecycle !== 'serving',
		});
		if (id === undefined || id === '' || this.exchanges.has(id)) {
			const code = id ? 'request-open' : 'header-invalid';
			this.log.write('request-refused', {
				code, requestId: id, host, path, relayedBy: metadata.relayed?.by, openForMs: id && this._openForMs(id), configurationVersion: this.state.configuration?.version,
			});
			exchange.refuse(code, id ? {} : {detail: 'the request has no id'});
			return;
		}

		if (response.destroyed) {
			this.log.write('request-unanswered', {
				reason: 'caller-left', requestId: id, host, path,
			});
			return;
		}

		connection.served = {requestId: id, deadlineMs: metadata.deadlineMs};
		this._requestsTaken++;
		if (this._requestsTaken === 1) {
			this.log.write('first-request', {
				requestId: id, sinceStartMs: Math.round(performance.now()), isReady: this.isReady, ...this._describeLoad(),
			});
		}

		this._recordStep('admission', {requestId: id, waitedMs, leftMs: metadata.deadlineMs === undefined ? undefined : Math.round(metadata.deadlineMs - waitedMs)});
		this.exchanges.set(id, exchange);
		response.on('close', () => {
			this._closeExchange(exchange);
		});
		this.dispatch({
			kind: 'request-arrived',
			arrival: {
				id,
				host,
				path,
				contentHash: createHash('sha256').update(host).update('\0').update(request.url ?? '').update('\0').update(body).digest('base64url'),
				model: metadata.model,
				adapter: metadata.adapter,
				promptTokens: metadata.promptTokens,
				outputTokens: metadata.outputTokens,
				...(apiKey !== undefined && this.state.workspaces && {keyHash: hashKey(apiKey)}),
				promptParts: metadata.promptParts,
				lastEventId: metadata.lastEventId,
				resumes: metadata.resumes,
				relayed: metadata.relayed,
				deadlineMs: metadata.deadlineMs,
				waitedMs,
			},
		});
	}

	private _recordStep(step: RequestStep, {waitedMs, ...fields}: DelayedStep): void {
		this._metrics.recordStep(step, waitedMs);
		if (waitedMs >= LOGGED_LATE_MS) {
			this.log.write('request-delayed', {step, waitedMs: Math.round(waitedMs), ...fields});
		}
	}

	/** The connection of a request has closed, or its response has been handed over completely. */
	private _closeExchange(exchange: Exchange): void {
		const {id} = exchange;
		if (!exchange.isFinished) {
			this.dispatch({kind: 'caller-left', requestId: id});
			exchange.cancelAllTries();
		}

		this.exchanges.delete(id);
		this._ends.reportClosed(exchange);
	}

	/** For the end of the process, also one that nothing has stopped: names the requests that end with it, and hands over all lines. */
	endLog(): void {
		this._reportEnd();
		this.log.flushNow();
	}

	/** Names the requests that end with this process, in its log and to peers. */
	private _reportEnd(): void {
		for (const exchange of this.exchanges.values()) {
			this._ends.reportStopped(exchange);
		}

		this.dispatch({kind: 'closing'});
	}

	/** Writes a line that the core has decided on, with what only this daemon knows. */
	writeDecision(event: LogEventName, fields: Readonly<Record<string, unknown>>): void {
		if (event === 'daemon-draining' || event === 'daemon-stopped') {
			this.log.write(event, {...fields, ...this._describeLoad()});
			return;
		}

		this._ends.writeDecision(event, fields);
	}

	/** Connections and requests that are open, and how late this process was at most of late. */
	private _describeLoad(): Readonly<Record<string, number>> {
		const {connections, idle, unread, unsent} = this.callerListener.counts;
		return {
			connections, idleConnections: idle, unreadConnections: unread, unsentConnections: unsent, openRequests: this.exchanges.size, worstLateMs: Math.round(this._worstLateMs),
		};
	}

	private _openForMs(id: string): number | undefined {
		const request = this.state.open.get(id);
		return request && Math.round(this._clock.monotonicMs() - request.arrivedAtMs);
	}

	/** Fails the requests that the core has closed and that have no answer. */
	failLostRequests(): void {
		for (const exchange of this.exchanges.values()) {
			if (!exchange.isFinished && !this.state.open.has(exchange.id)) {
				exchange.fail();
			}
		}
	}

	private _describeOrigin({request, remotePort, earlierRequests, unansweredBytes}: InputOrigin): Readonly<Record<string, unknown>> {
		return {
			requestId: request && this._idOf(request),
			host: request?.headers.host,
			path: request?.url?.split('?', 1)[0],
			remotePort,
			earlierRequests,
			unansweredBytes,
			configurationVersion: this.state.configuration?.version,
		};
	}

	private _idOf(request: IncomingMessage): string | undefined {
		try {
			return this.deployment.headerCodec.parseRequest(request.rawHeaders).requestId;
		} catch {
			// What could not be read is the reason why the request is rejected.
			return undefined;
		}
	}

	/** If the reducer throws, its effects are lost, and with them the responses to requests that it has closed. */
	private _reduce(event: EntryEvent): EntryEffect[] {
		try {
			return reduceEntry(this.state, event);
		} catch (error) {
			this.failLostRequests();
			throw error;
		}
	}

	private _runEffect(effect: EntryEffect): void {
		const handler = this._effectHandlers[effect.kind] as (effect: EntryEffect) => void;
		try {
			handler(effect);
		} catch (error) {
			// A failed effect must not prevent the execution of the others.
			this.log.write('effect-failed', {effect: effect.kind, error: error instanceof Error ? error.message : String(error)});
			if ('requestId' in effect) {
				// The core counts the effect as executed.
				this.exchanges.get(effect.requestId)?.fail();
				this.dispatch({kind: 'caller-left', requestId: effect.requestId});
			}
		}
	}
}

export function splitEndpoint(endpoint: string): {host: string; port: number} {
	const colon = endpoint.lastIndexOf(':');
	return {host: endpoint.slice(0, colon), port: Number(endpoint.slice(colon + 1))};
}
