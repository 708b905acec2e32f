/**
The instances of a soak: the bundle as processes, each with a loopback address of its own,
as machines have them. No outgoing connection takes the port of one that is down.
*/
import {type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {request as httpRequest} from 'undici';
import {type PlatformBundle} from '../standins/platform-process.js';
import {Relay} from '../standins/relay.js';
import {type SoakRecord} from './record.js';

export const zones = ['north', 'south'] as const;
export const GRACE_MS = 8000;
const CALLERS_PORT = 8000;
const READINESS_PORT = 8001;
const POLL_MS = 300;
const READINESS_TIMEOUT_MS = 1000;
const ADDRESSES_MAX = 200;

/** Loopback addresses that no other soak on this machine uses. */
export function hostAddress(number: number): string {
	return `127.${64 + (Math.floor(process.pid / 256) % 128)}.${process.pid % 256}.${1 + (number % ADDRESSES_MAX)}`;
}

export class SoakInstance {
	child: ChildProcess | undefined;
	isReady = false;
	isFrozen = false;
	isStopping = false;
	/** Readiness polls in a row without a 200. */
	misses = 0;
	/** Log lines of all its processes. */
	readonly lines: string[] = [];
	host = '';
	/** Its connections to the store. */
	storeRelay: Relay | undefined;

	constructor(readonly name: string, readonly zone: string) {}

	get isUp(): boolean {
		return this.child !== undefined;
	}

	/** Whether a fault may begin at it. */
	get isSound(): boolean {
		return this.isUp && !this.isFrozen && !this.isStopping;
	}
}

export type FleetOptions = {
	readonly bundle: PlatformBundle;
	readonly count: number;
	/** Names and zones, in place of so many in two zones. */
	readonly layout?: ReadonlyArray<{readonly name: string; readonly zone: string}>;
	readonly storeAddress: string;
	readonly record: SoakRecord;
	/** Whether each reaches the store over a relay of its own. */
	readonly hasRelays?: boolean;
	/** Members of the settings that differ. */
	readonly settings?: object;
	readonly pollMs?: number;
	/** Readiness polls in a row that fail before an instance counts as not ready. */
	readonly missesMax?: number;
	/** What an instance is started with before its program. */
	readonly nodeArguments?: (instance: SoakInstance) => readonly string[];
	/** Is told of each process as it starts and once it has ended. */
	readonly onProcess?: (pid: number, isRunning: boolean, host: string) => void;
	readonly onRotation?: () => void;
};

export class Fleet {
	readonly instances: SoakInstance[];
	private _hosts = 0;
	private _isClosed = false;
	/** Processes must not outlive the soak, however it ends. */
	private readonly _killAll = () => {
		for (const {child} of this.instances) {
			child?.kill('SIGKILL');
		}
	};

	constructor(private readonly _options: FleetOptions) {
		const {count, layout} = _options;
		this.instances = layout?.map(({name, zone}) => new SoakInstance(name, zone)) ?? Array.from({length: count}, (_, index) => new SoakInstance(`e-${index}`, zones[index % zones.length]!));
		for (const instance of this.instances) {
			instance.host = this._nextHost();
		}

		process.once('exit', this._killAll);
	}

	async startAll(): Promise<void> {
		for (const instance of this.instances) {
			instance.storeRelay = this._options.hasRelays === false ? undefined : await Relay.start(this._options.storeAddress);
			this.start(instance);
		}
	}

	start(instance: SoakInstance, isMoved = false): void {
		if (this._isClosed || instance.isUp) {
			return;
		}

		const {bundle, record, nodeArguments, onProcess} = this._options;
		if (isMoved) {
			instance.host = this._nextHost();
		}

		const child = bundle.start(this._document(instance), nodeArguments?.(instance));
		instance.child = child;
		instance.isStopping = false;
		instance.isFrozen = false;
		record.noteFault(instance.name, 'start');
		onProcess?.(child.pid!, true, instance.host);
		let rest = '';
		const read = (text: string) => {
			const parts = (rest + text).split('\n');
			rest = parts.pop()!;
			instance.lines.push(...parts);
		};

		child.stdout!.setEncoding('utf8').on('data', read);
		child.stderr!.setEncoding('utf8').on('data', read);
		child.once('exit', () => {
			onProcess?.(child.pid!, false, instance.host);
		});
		child.once('close', () => {
			instance.child = undefined;
			instance.isReady &&= this._options.missesMax !== undefined;
			record.noteFault(instance.name, instance.isStopping || this._isClosed ? 'exit' : 'own-end');
		});
	}

	async kill(instance: SoakInstance): Promise<void> {
		const {child} = instance;
		if (child) {
			instance.isStopping = true;
			this._options.record.noteFault(instance.name, 'kill');
			child.kill('SIGKILL');
			await once(child, 'close');
		}
	}

	/** SIGTERM, and SIGKILL after the grace period. */
	async stop(instance: SoakInstance): Promise<void> {
		const {child} = instance;
		if (child) {
			instance.isStopping = true;
			this._options.record.noteFault(instance.name, 'stop');
			child.kill('SIGTERM');
			const timer = setTimeout(() => {
				this._options.record.noteFault(instance.name, 'grace-end');
				child.kill('SIGKILL');
			}, GRACE_MS);
			await once(child, 'close');
			clearTimeout(timer);
		}
	}

	/** SIGHUP: the settings file has changed. */
	hangUp(instance: SoakInstance): void {
		this._options.record.noteFault(instance.name, 'hang-up');
		instance.child?.kill('SIGHUP');
	}

	freeze(instance: SoakInstance): void {
		instance.isFrozen = true;
		this._options.record.noteFault(instance.name, 'freeze');
		instance.child?.kill('SIGSTOP');
	}

	thaw(instance: SoakInstance): void {
		instance.isFrozen = false;
		this._options.record.noteFault(instance.name, 'thaw');
		instance.child?.kill('SIGCONT');
	}

	/** Keeps asking instances whether they are ready, as the platform does, until the fleet is closed. */
	async watch(): Promise<void> {
		const {pollMs = POLL_MS, missesMax = 1, record, onRotation} = this._options;
		while (!this._isClosed) {
			await Promise.all(this.instances.map(async instance => {
				const isAnswered = instance.isUp && await this._isReady(instance);
				instance.misses = isAnswered ? 0 : instance.misses + 1;
				const isReady = isAnswered || (instance.isReady && instance.misses < missesMax);
				if (isReady && !instance.isReady) {
					record.noteFault(instance.name, 'ready');
				}

				instance.isReady = isReady;
			}));
			onRotation?.();
			await delay(pollMs);
		}
	}

	async close(): Promise<void> {
		this._isClosed = true;
		process.off('exit', this._killAll);
		await Promise.all(this.instances.map(async ({child, storeRelay}) => {
			storeRelay?.close();
			if (child) {
				const closed = once(child, 'close');
				child.kill('SIGKILL');
				await closed;
			}
		}));
	}

	callersAddress({host}: SoakInstance): {host: string; port: number} {
		return {host, port: CALLERS_PORT};
	}

	private async _isReady({host}: SoakInstance): Promise<boolean> {
		try {
			const {statusCode, body} = await httpRequest(`http://${host}:${READINESS_PORT}/v1/ready`, {signal: AbortSignal.timeout(READINESS_TIMEOUT_MS)});
			await body.dump();
			return statusCode === 200;
		} catch {
			return false;
		}
	}

	private _document({name, zone, host, storeRelay}: SoakInstance): object {
		return {
			instance: {id: name, zone},
			listen: {
				callers: `${host}:${CALLERS_PORT}`, readiness: `${host}:${READINESS_PORT}`, peers: `${host}:8002`, beacons: `${host}:8003`, metrics: `${host}:8004`,
			},
			seeds: this.instances.slice(0, 3).map(seed => `${seed.host}:8002`),
			store: {address: new URL(storeRelay?.address ?? this._options.storeAddress).host},
			bounds: {
				graceMs: GRACE_MS, drainMs: 2000, leaseMs: 3000, repeatShare: 0.2, repeatWindowMs: 10_000, repeatSlack: 265,
			},
			contracts: ['base', 'drain', 'config', 'retry', 'recover', 'health', 'pool', 'fleet', 'stream', 'engine', 'tenants', 'quota', 'pressure', 'platform'],
			withdrawnKeys: {strictRevoke: true, revokeMs: 5000},
			quotas: {quotaWindowS: 8, quotaOver: 0.1, quotaSlack: 100},
			...this._options.settings,
		};
	}

	private _nextHost(): string {
		this._hosts++;
		return hostAddress(this._hosts);
	}
}
