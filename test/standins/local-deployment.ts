/**
A whole deployment in one process: a fake platform, fake engines and fake services, and
the daemons in front of them, each with its own state, ports and timers.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';
import {type Patch} from '../../src/core/configuration/patch.js';
import {Daemon, type DaemonOptions} from '../../src/daemon/daemon.js';
import {parseSettings, type Settings} from '../../src/daemon/settings.js';
import {FakeEngine, type EngineOptions} from './fake-engine.js';
import {FakePlatform} from './fake-platform.js';
import {FakeService} from './fake-service.js';

const POLL_INTERVAL_MS = 20;
const WAIT_TIMEOUT_MS = 60_000;

export type TargetAddress = {
	readonly id: string;
	readonly zone: string;
	readonly address: string;
	/** Whether the target rejects orders with a stale fencing token. */
	readonly isFenced: boolean;
};

export type DeploymentOptions = {
	readonly zones: readonly string[];
	readonly daemonsPerZone: number;
	readonly enginesPerZone: number;
	readonly servicesPerZone: number;
	readonly engine: EngineOptions;
	/** Builds the initial configuration patch. */
	readonly patch: (engines: readonly TargetAddress[], services: readonly TargetAddress[]) => Patch;
	/** Ports of the first daemon; the other daemons listen on free ports. */
	readonly callerPort?: number;
	readonly operatorPort?: number;
	readonly logLevel?: Settings['log']['level'];
	readonly bodyBytes?: number;
	readonly clock?: DaemonOptions['clock'];
};

export class LocalDeployment {
	readonly engines: FakeEngine[] = [];
	readonly services: FakeService[] = [];
	readonly daemons: Daemon[] = [];

	private constructor(readonly platform: FakePlatform, private readonly _options: DeploymentOptions) {}

	static async start(options: DeploymentOptions): Promise<LocalDeployment> {
		const deployment = new LocalDeployment(await FakePlatform.start(), options);
		try {
			await deployment._start();
		} catch (error) {
			await deployment.close();
			throw error;
		}

		return deployment;
	}

	get callerUrl(): string {
		return this._firstDaemon.addresses.callers;
	}

	get operatorUrl(): string {
		return this._firstDaemon.addresses.operators;
	}

	private get _firstDaemon(): Daemon {
		const [first] = this.daemons;
		if (!first) {
			throw new Error('deployment has no daemons');
		}

		return first;
	}

	/** Resolves once every model has a resident copy and every daemon sees it. */
	async waitUntilReachable(): Promise<void> {
		await this.waitUntil(() => this.daemons.every(({state}) => {
			const models = Object.keys(state.configuration.configuration.models);
			return state.configuration.version > 0 && models.every(model => (state.residentTargets.get(model)?.length ?? 0) > 0);
		}));
	}

	async waitUntil(condition: () => boolean): Promise<void> {
		const untilMs = Date.now() + WAIT_TIMEOUT_MS;
		while (!condition()) {
			if (Date.now() > untilMs) {
				throw new Error('timed out waiting for a condition');
			}

			await sleep(POLL_INTERVAL_MS);
		}
	}

	async addDaemon(id: string, zone: string): Promise<Daemon> {
		const {callerPort = 0, operatorPort = 0, logLevel = 'silent', bodyBytes, clock} = this._options;
		const isFirst = this.daemons.length === 0;
		const settings = parseSettings({
			instance: {id, zone},
			listen: {
				callers: {port: isFirst ? callerPort : 0},
				operators: {port: isFirst ? operatorPort : 0},
				peers: {port: 0},
			},
			platform: this.platform.settings,
			seeds: this.daemons.slice(0, 1).map(daemon => daemon.addresses.peers),
			limits: bodyBytes === undefined ? {} : {bodyBytes},
			log: {level: logLevel},
		});
		const daemon = await Daemon.start({settings: settings.unsafeCoerce(), clock});
		this.daemons.push(daemon);
		this.platform.instances.set(id, daemon.state.self);
		return daemon;
	}

	/** Submits a patch to the first daemon. */
	async submit(base: number, patch: Patch): Promise<{status: number; body: unknown}> {
		const answer = await request(`${this.operatorUrl}/configuration/patches`, {
			method: 'POST',
			headers: {'content-type': 'application/json'},
			body: JSON.stringify({base, operator: 'demo', patch}),
		});
		return {status: answer.statusCode, body: await answer.body.json()};
	}

	async close(): Promise<void> {
		await Promise.all(this.daemons.map(async daemon => daemon.stop()));
		await Promise.all([...this.engines, ...this.services, this.platform].map(async fake => fake.close()));
	}

	private async _start(): Promise<void> {
		const {zones, daemonsPerZone, patch} = this._options;
		for (const zone of zones) {
			for (let index = 0; index < daemonsPerZone; index++) {
				await this.addDaemon(`${zone}-${index + 1}`, zone);
			}
		}

		const {engines, services} = await this._startTargets();
		const answer = await this.submit(0, patch(engines, services));
		if (answer.status !== 200) {
			throw new Error(JSON.stringify(answer.body));
		}
	}

	private async _startTargets(): Promise<{engines: TargetAddress[]; services: TargetAddress[]}> {
		const {zones, enginesPerZone, servicesPerZone, engine: engineOptions} = this._options;
		const engines: TargetAddress[] = [];
		const services: TargetAddress[] = [];
		for (const zone of zones) {
			for (let index = 0; index < enginesPerZone; index++) {
				const isFenced = engines.length % 2 === 0;
				const engine = await FakeEngine.start({...engineOptions, checksFencing: isFenced});
				this.engines.push(engine);
				engines.push({
					id: `engine-${zone}-${index + 1}`,
					zone,
					address: engine.address,
					isFenced,
				});
			}

			for (let index = 0; index < servicesPerZone; index++) {
				const service = await FakeService.start();
				this.services.push(service);
				services.push({
					id: `records-${zone}-${index + 1}`,
					zone,
					address: service.address,
					isFenced: false,
				});
			}
		}

		return {engines, services};
	}
}
