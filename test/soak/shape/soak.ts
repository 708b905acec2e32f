/**
One soak of the deployment's shape: its instances as processes with a share of a core each,
its targets here, its callers in a process of their own, and planned work only.
*/
import {fork, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {writeFileSync} from 'node:fs';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {FakeStore} from '../../standins/fake-store-and-runner.js';
import {type PlatformBundle} from '../../standins/platform-process.js';
import {
	Fleet, GRACE_MS, hostAddress, type SoakInstance,
} from '../fleet.js';
import {type Lateness, longest} from '../lateness.js';
import {type Attempt, SoakRecord} from '../record.js';
import {createRandom} from '../seeded-random.js';
import {type SoakResult, startFleet, watchOwnLateness} from '../soak.js';
import {type CallersMessage, type CallersOptions, type CallersResult} from './callers.js';
import {
	createVersion, type Habit, paces, placement, type PlanKind, planKinds, zoneShapes,
} from './data.js';
import {createShapeJudges} from './judges.js';
import {type LinksMessage, type LinksResult} from './links.js';
import {type ShareMessage} from './processor-share.js';
import {PORT, ShapeTarget, type ShapeTargetOptions} from './targets.js';

export type ShapeOptions = {
	readonly seed: number;
	readonly seconds: number;
	/** Part of a core for each instance; 1 and more is all that it wants. */
	readonly share?: number;
	/** Factor on the rates of requests. */
	readonly scale?: number;
	/** Share of the stops that are at the zone with two instances. */
	readonly focus?: number;
	/** Longest time of a body in several writes. */
	readonly bodyMaxMs?: number;
	readonly unframedShare?: number;
	/** Whether callers reach instances over links that delay and may lose. */
	readonly links?: boolean;
	/** What callers do that others do not; nothing if absent. */
	readonly habits?: readonly Habit[];
	/** Names of instances that reach no target, so that they pass requests on to others. */
	readonly cutOff?: readonly string[];
	readonly plan?: readonly PlanKind[];
	readonly bundle: PlatformBundle;
	readonly onProgress?: (elapsedMs: number) => void;
};

const FIRST_TARGET_HOST = 40;
const TARGET_HOSTS = 150;
const POLL_MS = 1000;
const MISSES_MAX = 2;
const RESTART_MS = 1000;
const NEXT_STOP_MS = 1000;
const QUIET_START_MS = 4000;
/** Between the last stop and the end of the requests, so that its grace period is judged. */
const QUIET_END_MS = GRACE_MS + 1000;
const DRAIN_MS = 2000;
const LINGER_MEAN_MS = 1500;
const LINGER_MAX_MS = 10_000;
const ANNOUNCED_SHARE = 0.8;
/** A finding near a moment at which the soak itself was this late is marked. */
const OWN_LATE_MS = 200;
/** What the platform's template yields besides addresses. */
const settings = {
	bounds: {
		graceMs: GRACE_MS, drainMs: DRAIN_MS, leaseMs: 3000, repeatShare: 0.2, repeatWindowMs: 10_000, repeatSlack: 113,
	},
	processor: {cpuShare: 0.459, cores: 1},
	contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'fleet', 'stream', 'engine', 'platform'],
	withdrawnKeys: {strictRevoke: null, revokeMs: null},
	quotas: {quotaWindowS: null, quotaOver: null, quotaSlack: null},
};

class ShapeField {
	readonly targets: ShapeTarget[] = [];
	endMs = Number.POSITIVE_INFINITY;
	private readonly _random;
	private _version = 0;
	private _targets = 0;

	constructor(readonly options: ShapeOptions, readonly store: FakeStore, readonly record: SoakRecord, readonly fleet: Fleet) {
		this._random = createRandom(options.seed);
	}

	change(): void {
		this._version++;
		const {document, timeouts} = createVersion(this._version, this.options.seed);
		this.record.versions.push({atMs: this.record.nowMs(), timeouts});
		this.record.noteFault('store', 'change');
		this.store.put('op', 'config', document);
	}

	async addTarget({service, zone, version, models}: Pick<ShapeTargetOptions, 'service' | 'zone' | 'version' | 'models'>): Promise<void> {
		this._targets++;
		const {seed, unframedShare} = this.options;
		this.targets.push(await new ShapeTarget({
			id: `i-${(this._targets + (seed * 1000)).toString(16)}`, service, zone, version, models, host: hostAddress(FIRST_TARGET_HOST + (this._targets % TARGET_HOSTS)), seed: (seed * 1000) + this._targets, store: this.store, record: this.record, unframedShare,
		}).start());
	}

	async startTargets(): Promise<void> {
		for (const [index, models] of placement.entries()) {
			await this.addTarget({
				service: 'assistant', zone: zoneShapes[index % 3]!.name, version: 'v1', models,
			});
		}

		for (const {name} of zoneShapes) {
			await this.addTarget({
				service: 'desk', zone: name, version: 'v1', models: [],
			});
		}
	}

	/** Carries out the plan until it is over; what has begun is finished. */
	async carryOut(): Promise<void> {
		const {plan = planKinds, focus = 0.7} = this.options;
		await delay(QUIET_START_MS);
		const isFocused = ({zone}: SoakInstance) => zone === zoneShapes.at(-1)!.name;
		const handlers: Readonly<Record<PlanKind, () => Promise<unknown>>> = {
			stop: async () => Promise.all([
				this._stopInTurn(this.fleet.instances.filter(instance => isFocused(instance)), focus),
				this._stopInTurn(this.fleet.instances.filter(instance => !isFocused(instance)), 1 - focus),
			]),
			release: async () => this._repeat('release', async () => this._replace(0)),
			move: async () => this._repeat('move', async () => this._replace(2000)),
			change: async () => this._repeat('change', async () => {
				this.change();
			}),
			'hang-up': async () => this._repeat('hang-up', async () => {
				const instance = this._pick(this.fleet.instances.filter(({isSound}) => isSound));
				if (instance) {
					this.fleet.hangUp(instance);
				}
			}),
		};
		await Promise.all(plan.map(async kind => handlers[kind]()));
	}

	private _pick<Item>(items: readonly Item[]): Item | undefined {
		return items[Math.floor(this._random.uniform() * items.length)];
	}

	private async _repeat(kind: keyof typeof paces, handle: () => Promise<void>): Promise<void> {
		const open: Array<Promise<void>> = [];
		while (this.record.nowMs() < this.endMs) {
			open.push(handle());
			await delay(this._random.exponential(paces[kind]));
		}

		await Promise.all(open);
	}

	/** Stops one after the other; a weight under a half pauses between them, and none stops nothing. */
	private async _stopInTurn(instances: readonly SoakInstance[], weight: number): Promise<void> {
		if (weight === 0) {
			return;
		}

		let index = Math.floor(this._random.uniform() * instances.length);
		while (this.record.nowMs() < this.endMs - QUIET_END_MS) {
			const instance = instances[index % instances.length]!;
			index++;
			if (instance.isSound) {
				await this.fleet.stop(instance);
				await delay(RESTART_MS);
				this.fleet.start(instance);
			}

			await delay(NEXT_STOP_MS + (weight < 0.5 ? this._random.exponential(2000) : this._random.uniform() * 500));
		}
	}

	/** A target leaves and another takes its place: at once, with another version, or after a while, empty. */
	private async _replace(pauseMs: number): Promise<void> {
		const target = this._pick(this.targets.filter(({isLeaving, options}) => !isLeaving && options.service === (this._random.uniform() < 0.85 ? 'assistant' : 'desk')));
		const leaving = this.targets.filter(({isLeaving, isGone, options}) => isLeaving && !isGone && options.service === 'assistant').length;
		if (!target || leaving > 2) {
			return;
		}

		const {service, zone, version} = target.options;
		target.leave(this._random.uniform() < ANNOUNCED_SHARE);
		const arrive = async () => {
			await delay(pauseMs + (this._random.uniform() * 1000));
			await this.addTarget({
				service, zone, version: pauseMs === 0 ? `v${Number(version.slice(1)) + 1}` : version, models: pauseMs === 0 ? target.models : [],
			});
		};

		const arriving = arrive();
		await delay(DRAIN_MS + Math.min(LINGER_MAX_MS, this._random.exponential(LINGER_MEAN_MS)));
		target.end();
		await arriving;
	}
}

/** Writes a module that lets no connection to a target be opened. */
function writeRefusal(folder: string): string {
	const file = path.join(folder, 'no-targets.cjs');
	writeFileSync(file, `const {Socket} = require('node:net');
const {connect} = Socket.prototype;
Socket.prototype.connect = function (...args) {
	const [options] = args.flat();
	if (Number(options.port) === ${PORT}) {
		options.port = 1;
	}

	return connect.apply(this, args);
};`);
	return file;
}

function forkProgram(name: string): ChildProcess {
	return fork(fileURLToPath(new URL(`${name}.ts`, import.meta.url)), {execArgv: ['--import', 'tsx']});
}

export async function runShape(options: ShapeOptions): Promise<SoakResult> {
	const {seed, seconds, share = 0.459, scale = 1, bodyMaxMs = 300, links: hasLinks = false, habits = [], cutOff = [], bundle, onProgress} = options;
	const store = new FakeStore();
	const closers: Array<() => Promise<void> | void> = [];
	try {
		const storeAddress = `http://${await store.start()}`;
		closers.unshift(() => {
			store.stop();
		});
		const record = new SoakRecord();
		const shares = forkProgram('processor-share');
		const callers = forkProgram('callers');
		const links = hasLinks ? forkProgram('links') : undefined;
		const linksLateness: Lateness[] = [];
		links?.on('message', ({lateness}: LinksResult) => {
			linksLateness.push(...lateness);
		});
		const tellLinks = (message: LinksMessage) => {
			if (links?.connected) {
				links.send(message);
			}
		};

		closers.unshift(() => {
			for (const program of [shares, callers, links]) {
				program?.kill('SIGKILL');
			}
		});
		let sharesLateMs = 0;
		shares.on('message', ({latenessMs}: {latenessMs: number}) => {
			sharesLateMs = latenessMs;
		});
		let isShared = false;
		const limit = (pid: number, isRunning: boolean, host = '') => {
			const message: ShareMessage = isRunning ? {pid, share} : {pid};
			if (share < 1 && isShared && shares.connected) {
				shares.send(message);
			}

			if (!isRunning) {
				tellLinks({gone: host});
			}
		};

		const refusing = writeRefusal(bundle.folder);
		const fleet: Fleet = new Fleet({
			bundle, count: 0, layout: zoneShapes.flatMap(({name, instances}) => Array.from({length: instances}, (_, index) => ({name: `${name}-${index + 1}`, zone: name}))), storeAddress, record, hasRelays: false, settings, pollMs: POLL_MS, missesMax: MISSES_MAX, nodeArguments: ({name}) => cutOff.includes(name) ? ['--require', refusing] : [], onProcess: limit,
			onRotation() {
				const message: CallersMessage = {inRotation: fleet.instances.filter(({isReady}) => isReady).map(({name}) => name)};
				if (callers.connected) {
					callers.send(message);
				}
			},
		});
		const field = new ShapeField(options, store, record, fleet);
		closers.unshift(() => {
			for (const target of field.targets.filter(({isGone}) => !isGone)) {
				target.end();
			}
		});
		field.change();
		await field.startTargets();
		closers.unshift(await startFleet(fleet));
		isShared = true;
		for (const {child} of fleet.instances) {
			limit(child!.pid!, true);
		}

		const beginMs = record.nowMs();
		field.endMs = beginMs + (seconds * 1000);
		closers.unshift(watchOwnLateness(record, onProgress));
		const {epochMs} = record;
		const instances = fleet.instances.map(({name, zone, host}) => ({name, zone, ...fleet.callersAddress({host} as SoakInstance)}));
		if (links) {
			tellLinks({seed, epochMs, instances});
			await once(links, 'message');
		}

		const callersOptions: CallersOptions = {
			seed, scale, endAtMs: field.endMs, epochMs, bodyMaxMs, hasLinks, habits, instances,
		};
		callers.send({options: callersOptions} satisfies CallersMessage);
		const carriedOut = field.carryOut();
		const [{attempts, lateness}] = await once(callers, 'message') as [CallersResult];
		await carriedOut;
		record.attempts.push(...attempts.map((attempt): Attempt => ({...attempt, status: attempt.status, lastByteAtMs: attempt.lastByteAtMs})));
		const judges = createShapeJudges(record.versions);
		const isLate = (atMs = Number.NaN) => [...record.lateness, ...lateness, ...linksLateness].some(([at, lateMs]) => lateMs > OWN_LATE_MS && Math.abs(at - atMs) < 3000);
		return {
			options: {...options, instances: fleet.instances.length}, faults: [], record, judges,
			notes: [
				`Each instance has ${share >= 1 ? 'as much of a core as it wants' : `${share} of a core`}; rates times ${scale}.`,
				`The callers' process was at most ${longest(lateness)} ms late, the links' ${longest(linksLateness)} ms, that which shares out the processor ${sharesLateMs.toFixed(0)} ms.`,
				`Stops: ${record.faults.filter(({what}) => what === 'stop').length}, ended at the end of the grace period: ${record.faults.filter(({what}) => what === 'grace-end').length}.`,
			],
			lines: new Map(fleet.instances.map(({name, lines}) => [name, lines])),
			findings: Object.fromEntries(Object.entries(judges).map(([name, {find}]) => [name, find(record).map(finding => isLate(finding.atMs) ? {...finding, text: `${finding.text}; the soak itself was late by more than ${OWN_LATE_MS} ms then`} : finding)])),
		};
	} finally {
		for (const close of closers) {
			await close();
		}
	}
}
