/**
Starts a complete daemon with the platform adapter, on free ports of the loopback
interface and with a silent log, for tests against fakes of the store and of runners.
*/
import {headerCodec} from '../../platform/header-codec.js';
import {createEngineClient} from '../../platform/engine-client.js';
import {documents} from '../../platform/documents.js';
import {createRowStore} from '../../platform/row-store.js';
import {systemClock} from '../../src/core/clock.js';
import {EntryDaemon} from '../../src/entry/entry-daemon.js';
import {EntryLog} from '../../src/entry/entry-log.js';
import {entrySettingsSchema} from '../../src/entry/settings.js';
import {freePorts} from './free-ports.js';

/** A configuration, as the platform's operators write it, of one route for streams that may be resumed. */
export const streamConfiguration = {
	version: 3,
	routes: [{
		name: 'ask', host: 'a.example', prefix: '/ask/', kind: 'streaming', timeoutMs: 6000, targetLatencyMs: 300, priority: 0, service: 'llm', maxAttempts: 2, resumable: true, gapAimMs: 150,
	}],
	services: [{name: 'llm', maxConns: 100}],
	limits: {
		maxHeaderBytes: 4096, maxBodyBytes: 10_000, headerTimeoutMs: 1000, idleTimeoutMs: 5000,
	},
};

export type PlatformInstance = {
	readonly daemon: EntryDaemon;
	/** Host and port for callers. */
	readonly callers: string;
};

export type PlatformInstanceOptions = {
	readonly id: string;
	readonly storeAddress: string;
	readonly zone?: string;
	/** Retries allowed in ten seconds beside a fifth of the requests. */
	readonly repeatSlack?: number;
	/** Which requests reuse connections to targets. */
	readonly reuse?: 'repeatable' | 'all';
	/** The address at which this instance connects to a target, given its address in the registry. */
	readonly addressOf?: (address: string) => string;
};

export async function startPlatformInstance({id, storeAddress, zone = 'north', repeatSlack = 1000, reuse = 'repeatable', addressOf = address => address}: PlatformInstanceOptions): Promise<PlatformInstance> {
	const ports = await freePorts(4);
	const [callers, readiness, peers, beacons] = ports.map(port => `127.0.0.1:${port}`) as [string, string, string, string];
	const daemon = await EntryDaemon.start({
		settings: entrySettingsSchema.parse({
			instance: {id, zone},
			listen: {
				callers, readiness, peers, beacons,
			},
			store: {address: storeAddress},
			connections: {reuse},
			bounds: {
				graceMs: 8000, leaseMs: 3000, repeatShare: 0.2, repeatWindowMs: 10_000, repeatSlack,
			},
		}),
		deployment: {
			store: createRowStore(storeAddress), documents, headerCodec, engines: createEngineClient({reuse}),
		},
		log: new EntryLog({level: 'silent', instanceId: id, clock: systemClock}),
	});
	const {connections} = daemon;
	const request = connections.request.bind(connections);
	const probe = connections.probe.bind(connections);
	connections.request = async (address, options) => request(addressOf(address), options);
	connections.probe = async address => probe(addressOf(address));
	return {daemon, callers};
}
