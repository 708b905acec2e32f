/**
A deployment whose daemons run as separate processes, two in each of two zones. The fakes
run in the test's own process. Connections between daemons, and those from each zone to
the platform, go through relays, so that tests can partition the network.
*/
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {request} from 'undici';
import * as yaml from 'yaml';
import {FakeEngine} from './fake-engine.js';
import {FakePlatform} from './fake-platform.js';
import {Relay} from './relay.js';
import {FakeService} from './fake-service.js';

const POLL_INTERVAL_MS = 100;
const WAIT_TIMEOUT_MS = 60_000;
const PROCESSES_PER_ZONE = 2;
const projectRoot = fileURLToPath(new URL('../../', import.meta.url));

export const zones = ['plovdiv', 'haskovo'] as const;
export const ENGINE_MEMORY_MB = 2000;
export const ANSWER_WORDS = 40;

export type LeaseStatus = {
	readonly group: string;
	readonly epoch: number;
	readonly held: boolean;
};

export type DaemonStatus = {
	readonly configuration: {readonly version: number};
	readonly models: {readonly configured: number; readonly reachable: number};
	readonly leases: readonly LeaseStatus[];
};

export class DaemonProcess {
	callerUrl = '';
	operatorUrl = '';
	isAlive = true;
	/** Configuration versions in the order in which the process adopted them. */
	readonly adoptedVersions: number[] = [];

	constructor(readonly id: string, readonly zone: string, readonly child: ChildProcess) {}

	async status(): Promise<DaemonStatus> {
		const answer = await request(`${this.operatorUrl}/status`, {signal: AbortSignal.timeout(2000)});
		return await answer.body.json() as DaemonStatus;
	}

	signal(name: NodeJS.Signals): void {
		this.child.kill(name);
	}
}

export class ProcessDeployment {
	readonly engines: FakeEngine[] = [];
	readonly services: FakeService[] = [];
	readonly daemons: DaemonProcess[] = [];
	private readonly _peerRelays: Relay[] = [];
	private readonly _platformRelays = new Map<string, Relay>();
	private readonly _settingsFolder = mkdtempSync(path.join(tmpdir(), 'pollenarch-'));

	private constructor(readonly platform: FakePlatform) {}

	static async start(): Promise<ProcessDeployment> {
		const deployment = new ProcessDeployment(await FakePlatform.start());
		try {
			await deployment._start();
		} catch (error) {
			await deployment.close();
			throw error;
		}

		return deployment;
	}

	get aliveDaemons(): DaemonProcess[] {
		return this.daemons.filter(({isAlive}) => isAlive);
	}

	async waitUntil(condition: () => boolean | Promise<boolean>): Promise<void> {
		const untilMs = Date.now() + WAIT_TIMEOUT_MS;
		while (!await condition()) {
			if (Date.now() > untilMs) {
				throw new Error('timed out waiting for a condition');
			}

			await sleep(POLL_INTERVAL_MS);
		}
	}

	async submit(base: number, patch: unknown): Promise<number> {
		const answer = await request(`${this.daemons[0]?.operatorUrl}/configuration/patches`, {
			method: 'POST',
			headers: {'content-type': 'application/json'},
			body: JSON.stringify({base, operator: 'test', patch}),
		});
		await answer.body.dump();
		return answer.statusCode;
	}

	/** Isolates all instances from each other, and one zone from the platform. */
	partition(zone: string): void {
		for (const relay of [...this._peerRelays, this._platformRelays.get(zone)]) {
			relay?.block();
		}
	}

	healPartition(): void {
		for (const relay of [...this._peerRelays, ...this._platformRelays.values()]) {
			relay.unblock();
		}
	}

	async close(): Promise<void> {
		for (const daemon of this.daemons) {
			// Lets a process that was stopped with SIGSTOP continue before it is killed.
			daemon.signal('SIGCONT');
			daemon.signal('SIGKILL');
		}

		for (const relay of [...this._peerRelays, ...this._platformRelays.values()]) {
			relay.close();
		}

		await Promise.all([...this.engines, ...this.services, this.platform].map(async fake => fake.close()));
		rmSync(this._settingsFolder, {recursive: true});
	}

	private async _start(): Promise<void> {
		for (const zone of zones) {
			this._platformRelays.set(zone, await Relay.start(this.platform.address));
			for (let index = 0; index < PROCESSES_PER_ZONE; index++) {
				await this._spawnDaemon(`${zone}-${index + 1}`, zone);
			}
		}

		const targets: Record<string, unknown> = {};
		for (const [index, zone] of zones.entries()) {
			const engine = await FakeEngine.start({
				memoryMb: ENGINE_MEMORY_MB,
				words: ANSWER_WORDS,
				wordDelayMs: 20,
				checksFencing: index === 0,
			});
			const service = await FakeService.start();
			this.engines.push(engine);
			this.services.push(service);
			targets[`engine-${zone}`] = {
				service: 'llm',
				address: engine.address,
				zone,
				gateway: index === 0 ? 'engine-fenced' : 'engine-unfenced',
				memoryMb: ENGINE_MEMORY_MB,
			};
			targets[`records-${zone}`] = {
				service: 'records',
				address: service.address,
				zone,
				gateway: 'plain',
			};
		}

		const status = await this.submit(0, {
			services: {
				llm: {kind: 'engine'},
				records: {
					kind: 'plain', routes: [{
						method: 'POST', path: '/signoffs', repeat: 'once', key: {from: 'header'},
					}],
				},
			},
			targets,
			models: {verdict: {service: 'llm', memoryMb: 900}, archive: {service: 'llm', memoryMb: 900}},
			callers: {anyone: {}},
			limits: {weightLoadsPerSecond: 1000, weightLoadsAtOnce: 100},
		});
		if (status !== 200) {
			throw new Error(`initial configuration patch failed with status ${status}`);
		}
	}

	private async _spawnDaemon(id: string, zone: string): Promise<void> {
		const relay = await Relay.start();
		this._peerRelays.push(relay);
		const platform = this._platformRelays.get(zone)?.address;
		const file = path.join(this._settingsFolder, `${id}.yaml`);
		writeFileSync(file, yaml.stringify({
			instance: {id, zone},
			listen: {callers: {port: 0}, operators: {port: 0}, peers: {port: 0}},
			advertise: relay.address,
			platform: {table: platform, objects: platform, instances: platform},
			seeds: this._peerRelays.slice(0, -1).map(({address}) => address),
		}));
		const child = spawn(process.execPath, ['--import', 'tsx', 'src/daemon/main.ts', '--settings', file], {
			cwd: projectRoot,
			stdio: ['ignore', 'pipe', 'inherit'],
		});
		const daemon = new DaemonProcess(id, zone, child);
		this.daemons.push(daemon);
		child.once('exit', () => {
			daemon.isAlive = false;
		});
		await this._followLog(daemon, relay);
	}

	/** Reads a daemon's log in the background; resolves once the daemon listens. */
	private async _followLog(daemon: DaemonProcess, relay: Relay): Promise<void> {
		const {stdout} = daemon.child;
		if (!stdout) {
			throw new Error('daemon process has no stdout');
		}

		const lines = createInterface({input: stdout});
		const listeningSeen = once(lines, 'listening-seen');
		lines.on('line', line => {
			const entry = JSON.parse(line) as {msg: string; callers: string; operators: string; peers: string; version: number};
			if (entry.msg === 'daemon-listening') {
				daemon.callerUrl = entry.callers;
				daemon.operatorUrl = entry.operators;
				relay.setTarget(entry.peers);
				lines.emit('listening-seen');
			} else if (entry.msg === 'configuration-adopted') {
				daemon.adoptedVersions.push(entry.version);
			}
		});
		await listeningSeen;
	}
}
