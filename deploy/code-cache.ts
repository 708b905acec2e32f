/**
Creates the V8 code cache of the bundle, in a process of its own. V8 caches only functions that
have been compiled, so two instances of the program run for a moment before a stand-in of
the platform, with a few requests, and the functions of the start and of the first
requests are in the cache. Must run with the same V8 flags as the program, because V8 rejects
a code cache that was created with other flags.
*/
import {
	mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {createServer} from 'node:http';
import {createRequire} from 'node:module';
import {type AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {setFlagsFromString} from 'node:v8';
import {Script} from 'node:vm';
import * as yaml from 'yaml';
import {FakeStore} from '../test/standins/fake-store-and-runner.js';
import {
	answerPaced, largeConfiguration, largeEntry, sendPlain, sendStream,
} from '../test/standins/large-deployment.js';
import {createDaemonSettings, waitUntilReady} from '../test/standins/platform-process.js';

/** Signature of the function that wraps a CommonJS module. */
type ModuleWrapper = (moduleExports: object, requireFunction: NodeJS.Require, moduleObject: object, filename: string, dirname: string) => void;

const TARGETS = 3;
const ROUNDS = 5;
/** A few rounds of beacons, and an attempt at the lease. */
const SETTLE_MS = 1500;
/** Many times the usual time of the run. */
const RUN_LIMIT_MS = 30_000;
const SETTINGS_VARIABLE = 'POLLENARCH_SETTINGS';

const outputFolder = process.argv[2] ?? 'target';
const bundleFile = `${outputFolder}/pollenarch.cjs`;
const folder = mkdtempSync(path.join(tmpdir(), 'pollenarch-cache-'));
// V8 drops the code of functions that have not run for a while, and with it what the cache is to contain.
setFlagsFromString('--no-flush-bytecode');
const script = new Script(readFileSync(`${outputFolder}/pollenarch.source.js`, 'latin1'), {filename: bundleFile});

async function startInstance(storeAddress: string, id: string): Promise<string> {
	const {listen, document} = await createDaemonSettings(storeAddress, id);
	const file = path.join(folder, `${id}.yaml`);
	writeFileSync(file, yaml.stringify(document));
	process.env[SETTINGS_VARIABLE] = file;
	const runModule = script.runInThisContext() as ModuleWrapper;
	runModule({}, createRequire(import.meta.url), {exports: {}}, bundleFile, outputFolder);
	await waitUntilReady(listen);
	return listen.callers;
}

async function run(): Promise<void> {
	const store = new FakeStore();
	const target = createServer((request, response) => {
		void answerPaced(request, response, {events: 10, intervalMs: 10});
	});
	await new Promise<void>(resolve => {
		target.listen(0, '127.0.0.1', resolve);
	});
	const address = `127.0.0.1:${(target.address() as AddressInfo).port}`;
	store.put('op', 'config', largeConfiguration);
	for (let index = 0; index < TARGETS; index++) {
		store.put('servers', `target-${index}`, largeEntry({
			index, address, zone: 'north', isEngine: index > 0, sequence: 1,
		}));
	}

	const storeAddress = await store.start();
	const instances = [await startInstance(storeAddress, 'one'), await startInstance(storeAddress, 'two')];
	await delay(SETTLE_MS);
	for (let round = 0; round < ROUNDS; round++) {
		await Promise.all(instances.flatMap((callers, index) => [
			sendPlain(callers, (round * 10) + index),
			sendStream(callers, (round * 10) + index + 5, `m${2 + index}`),
		]));
	}
}

try {
	await Promise.race([run(), delay(RUN_LIMIT_MS)]);
} catch (error) {
	// Starts take longer with what is compiled so far, and nothing else differs.
	process.stderr.write(`code cache: the trial run failed: ${String(error)}\n`);
} finally {
	rmSync(folder, {recursive: true});
}

setFlagsFromString('--flush-bytecode');
writeFileSync(`${outputFolder}/pollenarch.cache`, script.createCachedData());
// The instances would drain first.
// eslint-disable-next-line unicorn/no-process-exit -- nothing else of this process matters
process.exit(0);
