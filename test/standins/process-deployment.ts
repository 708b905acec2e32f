/**
Daemons as processes of their own, two in each of two zones, with the stand-ins in
the process of the test. All that daemons say to each other, and each zone's way to
the platform, goes through relays.
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

const POLL_MS = 100;
const LIMIT_MS = 60_000;
const PROCESSES_PER_ZONE = 2;
const root = fileURLToPath(new URL('../../', import.meta.url));

export const zones = ['plovdiv', 'haskovo'] as const;
export const ENGINE_MEMORY_MB = 2000;
export const ANSWER_WORDS = 40;

export type Lease = {
	readonly group: string;
	readonly epoch: number;
	readonly held: boolean;
};

export type Status = {
	readonly configuration: {readonly version: number};
	readonly models: {readonly configured: number; readonly reachable: number};
	readonly leases: readonly Lease[];
};

export class DaemonProcess {
	callerUrl = '';
	operatorUrl = '';
	isAlive = true;
	/** Versions of the configuration in the order in which the process adopted them. */
	readonly adoptedVersions: number[] = [];

	constructor(readonly id: string, readonly zone: string, readonly child: ChildProcess) {}

	async status(): Promise<Status> {
		const answer = await request(`${this.operatorUrl}/status`, {signal: AbortSignal.timeout(2000)});
		return await answer.body.json() as Status;
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
	private readonly _folder = mkdtempSync(path.join(tmpdir(), 'pollenarch-'));

	private constructor(readonly platform: FakePlatform) {}

	static async start(): Promise<ProcessDeployment> {
		const deployment = new ProcessDeployment(await FakePlatform.start());
		try {
			await deployment._open();
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
		const untilMs = Date.now() + LIMIT_MS;
		while (!await condition()) {
			if (Date.now() > untilMs) {
				throw new Error('the awaited condition did not come about');
			}

			await sleep(POLL_MS);
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

	/** Cuts all instances from each other, and one zone from the platform. */
	partition(zone: string): void {
		for (const relay of [...this._peerRelays, this._platformRelays.get(zone)]) {
			relay?.cut();
		}
	}

	healPartition(): void {
		for (const relay of [...this._peerRelays, ...this._platformRelays.values()]) {
			relay.rejoin();
		}
	}

	async close(): Promise<void> {
		for (const daemon of this.daemons) {
			// A stopped process takes no other signal before it goes on.
			daemon.signal('SIGCONT');
			daemon.signal('SIGKILL');
		}

		for (const relay of [...this._peerRelays, ...this._platformRelays.values()]) {
			relay.close();
		}

		await Promise.all([...this.engines, ...this.services, this.platform].map(async standin => standin.close()));
		rmSync(this._folder, {recursive: true});
	}

	private async _open(): Promise<void> {
		for (const zone of zones) {
			this._platformRelays.set(zone, await Relay.start(this.platform.address));
			for (let index = 0; index < PROCESSES_PER_ZONE; index++) {
				await this._spawn(`${zone}-${index + 1}`, zone);
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
			throw new Error(`the first patch got status ${status}`);
		}
	}

	private async _spawn(id: string, zone: string): Promise<void> {
		const relay = await Relay.start();
		this._peerRelays.push(relay);
		const platform = this._platformRelays.get(zone)?.address;
		const file = path.join(this._folder, `${id}.yaml`);
		writeFileSync(file, yaml.stringify({
			instance: {id, zone},
			listen: {callers: {port: 0}, operators: {port: 0}, peers: {port: 0}},
			advertise: relay.address,
			platform: {table: platform, objects: platform, instances: platform},
			seeds: this._peerRelays.slice(0, -1).map(({address}) => address),
		}));
		const child = spawn(process.execPath, ['--import', 'tsx', 'src/daemon/main.ts', '--settings', file], {
			cwd: root,
			stdio: ['ignore', 'pipe', 'inherit'],
		});
		const daemon = new DaemonProcess(id, zone, child);
		this.daemons.push(daemon);
		child.once('exit', () => {
			daemon.isAlive = false;
		});
		await this._readLog(daemon, relay);
	}

	/** Follows a process's log; resolves once it listens. */
	private async _readLog(daemon: DaemonProcess, relay: Relay): Promise<void> {
		const {stdout} = daemon.child;
		if (!stdout) {
			throw new Error('the process has no output');
		}

		const lines = createInterface({input: stdout});
		const listening = once(lines, 'listening-seen');
		lines.on('line', line => {
			const entry = JSON.parse(line) as {msg: string; callers: string; operators: string; peers: string; version: number};
			if (entry.msg === 'daemon-listening') {
				daemon.callerUrl = entry.callers;
				daemon.operatorUrl = entry.operators;
				relay.lead(entry.peers);
				lines.emit('listening-seen');
			} else if (entry.msg === 'configuration-adopted') {
				daemon.adoptedVersions.push(entry.version);
			}
		});
		await listening;
	}
}
