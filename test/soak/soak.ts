/**
One soak: starts the store stand-in, targets, instances and callers, carries out the
faults of a seed, and lets the judges look at what was seen.
*/
import {setTimeout as delay} from 'node:timers/promises';
import {FakeStore} from '../standins/fake-store-and-runner.js';
import {type PlatformBundle} from '../standins/platform-process.js';
import {Caller} from './callers.js';
import {createConfiguration, FIRST_VERSION} from './configuration.js';
import {inject} from './faults.js';
import {Fleet, hostAddress, zones} from './fleet.js';
import {watchLateness} from './lateness.js';
import {judges, type Finding, type Judge} from './judges.js';
import {SoakRecord} from './record.js';
import {drawSchedule, type Fault, type FaultKind} from './schedule.js';
import {modelNames, SoakTarget} from './target.js';

export type SoakOptions = {
	readonly seed: number;
	readonly seconds: number;
	readonly instances: number;
	readonly targets?: number;
	readonly callers?: number;
	/** Kinds of faults; all if absent. */
	readonly kinds?: readonly FaultKind[];
	/** Built by the caller, and removed by it. */
	readonly bundle: PlatformBundle;
	readonly onProgress?: (elapsedMs: number) => void;
};

export type SoakResult = {
	readonly options: Pick<SoakOptions, 'seed' | 'seconds' | 'instances'>;
	readonly faults: readonly Fault[];
	readonly record: SoakRecord;
	readonly judges: Readonly<Record<string, Judge>>;
	readonly findings: Readonly<Record<string, readonly Finding[]>>;
	/** Further lines of the report. */
	readonly notes: readonly string[];
	/** Log lines by instance. */
	readonly lines: ReadonlyMap<string, readonly string[]>;
};

const FIRST_TARGET_HOST = 100;
const READY_TIMEOUT_MS = 30_000;
const POLL_MS = 100;

export async function runSoak(options: SoakOptions): Promise<SoakResult> {
	const {seed, seconds, instances, targets: targetCount = 8, callers = 40, kinds, bundle, onProgress} = options;
	const lengthMs = seconds * 1000;
	const faults = drawSchedule({seed, lengthMs, kinds});
	const store = new FakeStore();
	const closers: Array<() => Promise<void> | void> = [];
	try {
		const storeAddress = `http://${await store.start()}`;
		closers.unshift(() => {
			store.stop();
		});
		store.put('op', 'config', createConfiguration(FIRST_VERSION));
		const record = new SoakRecord();
		const targets = Array.from({length: targetCount}, (_, index) => new SoakTarget({
			id: `t-${index}`, service: index % 4 >= 2 ? 'llm' : 'records', zone: zones[index % zones.length]!, host: hostAddress(FIRST_TARGET_HOST + index), seed: (seed * 1000) + 500 + index, store, record, dropsQueued: index % 2 === 0,
		}));
		closers.unshift(() => {
			for (const target of targets) {
				target.close();
			}
		});
		for (const target of targets) {
			await target.start(target.service === 'llm' ? modelNames : []);
		}

		const fleet = new Fleet({
			bundle, count: instances, storeAddress, record,
		});
		closers.unshift(await startFleet(fleet));
		const endMs = record.nowMs() + lengthMs;
		closers.unshift(watchOwnLateness(record, onProgress));
		const injected = inject({
			fleet, targets, store, record,
		}, faults);
		await Promise.all(Array.from({length: callers}, async (_, number) => new Caller({
			number, seed, fleet, record,
		}).run(endMs)));
		await injected;
		return {
			options, faults, record, judges, notes: [], lines: new Map(fleet.instances.map(({name, lines}) => [name, lines])),
			findings: Object.fromEntries(Object.entries(judges).map(([name, {find}]) => [name, find(record)])),
		};
	} finally {
		for (const close of closers) {
			await close();
		}
	}
}

/** Starts all and waits until they are ready; returns what ends them. */
export async function startFleet(fleet: Fleet): Promise<() => Promise<void>> {
	let watching: Promise<void> | undefined;
	const close = async () => {
		await fleet.close();
		await watching;
	};

	try {
		await fleet.startAll();
		watching = fleet.watch();
		await waitUntilReady(fleet);
	} catch (error) {
		await close();
		throw error;
	}

	return close;
}

/** Keeps noting in the record how late this process is, until the returned function is called. */
export function watchOwnLateness(record: SoakRecord, onProgress?: (elapsedMs: number) => void): () => void {
	const beginMs = record.nowMs();
	return watchLateness(() => record.nowMs(), record.lateness, nowMs => {
		onProgress?.(nowMs - beginMs);
	});
}

async function waitUntilReady({instances}: Fleet): Promise<void> {
	for (let waitedMs = 0; instances.some(({isReady}) => !isReady); waitedMs += POLL_MS) {
		if (waitedMs > READY_TIMEOUT_MS) {
			throw new Error(`not ready in time: ${instances.filter(({isReady}) => !isReady).map(({name, lines}) => `${name}: ${lines.slice(-3).join(' ')}`).join('; ')}`);
		}

		await delay(POLL_MS);
	}
}
