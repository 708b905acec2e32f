/**
The project's own programs as separate processes, started with the run line of the deploy
file and a settings file filled in from the project's template.
*/
/* eslint-disable no-await-in-loop -- the steps follow one another */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	mkdtempSync, readFileSync, rmSync, writeFileSync, createWriteStream,
} from 'node:fs';
import {createServer, request as httpRequest} from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

const root = fileURLToPath(new URL('../..', import.meta.url));
const deployFile = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
const [program, ...words] = /^run = "(?<run>.*)"$/mv.exec(deployFile).groups.run.split(' ');
const template = readFileSync(path.join(root, /^template = "(?<file>.*)"$/mv.exec(deployFile).groups.file), 'utf8');

/** Bounds of the small deployments, with the names of the users' page DEPLOY.md. */
export const smallBounds = {
	contactMs: 3000, drainMs: 2000, graceS: 8, lossSlackMs: 200, configApplyMs: 2000, budgetRatio: 0.2, budgetWindowS: 10, budgetSlack: 116, recoveryS: 12, leaseMs: 3000, thawSlackMs: 300, fencingEnforced: false,
};

function lookUp(fields, name) {
	let value = fields;
	for (const part of name.split('.')) {
		value = value?.[part];
	}

	return value;
}

function show(value, isJson) {
	if (value === undefined) {
		return '';
	}

	return isJson || typeof value === 'object' ? JSON.stringify(value) : String(value);
}

/** Fills in what the template uses: values, values as JSON, and sections over a list. */
function fillIn(fields) {
	return template
		.replaceAll(/\{\{#(?<name>[\w.]+)\}\}(?<inner>.*?)\{\{\/\k<name>\}\}/gsv, (_all, name, inner) => (lookUp(fields, name) ?? [])
			.map((entry, index, list) => inner.replaceAll('{{.|json}}', JSON.stringify(entry)).replaceAll('{{,}}', index < list.length - 1 ? ',' : '')).join(''))
		.replaceAll(/\{\{(?<name>[\w.]+)(?<json>\|json)?\}\}/gv, (_all, name, json) => show(lookUp(fields, name), json !== undefined));
}

/** Below the ports that the system gives to outgoing connections. */
const FIRST_PORT = 11_000;
const PORTS = 20_000;
/** Ports that were given out in this run: those of an instance that has not started yet still look free. */
const given = new Set();

async function isFree(port) {
	const server = createServer();
	return new Promise(resolve => {
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, '127.0.0.1', () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}

async function freePorts(count) {
	const ports = new Set();
	while (ports.size < count) {
		const port = FIRST_PORT + Math.floor(Math.random() * PORTS);
		if (!given.has(port) && await isFree(port)) {
			given.add(port);
			ports.add(port);
		}
	}

	return [...ports];
}

export class Instance {
	child = undefined;
	starts = 0;

	constructor(cluster, fields) {
		this.cluster = cluster;
		this.fields = fields;
	}

	get name() {
		return this.fields.nodeName;
	}

	/** Host and port for requesters. */
	get front() {
		return this.fields.listen.front;
	}

	get pid() {
		return this.child?.pid;
	}

	start() {
		this.starts++;
		const file = path.join(this.cluster.folder, `${this.name}.yaml`);
		writeFileSync(file, fillIn(this.fields));
		const {PATH, HOME, LANG} = process.env;
		const child = spawn(program, words, {
			cwd: root, env: {
				PATH, HOME, LANG, POLLENARCH_SETTINGS: file,
			}, stdio: ['ignore', 'pipe', 'pipe'],
		});
		const log = createWriteStream(path.join(this.cluster.folder, `${this.name}.log`), {flags: 'a'});
		child.stdout.pipe(log);
		child.stderr.pipe(log);
		this.child = child;
		this.ended = once(child, 'exit');
	}

	signal(name) {
		this.child?.kill(name);
	}

	async stop(name = 'SIGKILL') {
		if (this.child && this.child.exitCode === null && this.child.signalCode === null) {
			this.signal(name);
			await this.ended;
		}
	}

	async isReady() {
		return new Promise(resolve => {
			const [host, port] = this.fields.listen.ready.split(':');
			const call = httpRequest({
				host, port, path: '/v1/ready', timeout: 500, agent: false,
			}, response => {
				response.resume();
				resolve(response.statusCode === 200);
			});
			call.on('error', () => {
				resolve(false);
			});
			call.on('timeout', () => {
				call.destroy();
			});
			call.end();
		});
	}

	async waitUntilReady(withinMs = 20_000) {
		const endMs = Date.now() + withinMs;
		while (!await this.isReady()) {
			if (Date.now() > endMs) {
				throw new Error(`${this.name} is not ready`);
			}

			await delay(50);
		}
	}
}

export class Cluster {
	folder = mkdtempSync(path.join(tmpdir(), 'pollenarch-review-'));
	instances = [];

	/** `seeds`: numbers of the instances that all are told of at their start. */
	constructor({store, bounds = smallBounds, zones = ['one'], seeds = [0, 1, 2]}) {
		this.store = store;
		this.seeds = seeds;
		this.bounds = bounds;
		this.zones = zones;
	}

	/** Starts `count` instances, in the zones by turns. */
	async start(count) {
		for (let index = 0; index < count; index++) {
			const [front, ready, control, beacons, metrics] = await freePorts(5);
			this.instances.push(new Instance(this, {
				nodeName: `edge-${index + 1}`,
				ip: '127.0.0.1',
				zone: this.zones[index % this.zones.length],
				listen: {front: `127.0.0.1:${front}`, ready: `127.0.0.1:${ready}`, control: `127.0.0.1:${control}`},
				portRange: [beacons, metrics],
				seeds: [],
				platform: {address: await this.store.listen(`edge-${index + 1}`)},
				bounds: this.bounds,
				limits: {cpuShare: 0.459, cores: 1},
				contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'fleet', 'stream', 'engine', 'platform'],
			}));
		}

		const seeds = this.instances.filter((_, index) => this.seeds.includes(index)).map(({fields}) => fields.listen.control);
		for (const instance of this.instances) {
			instance.fields.seeds = seeds;
			instance.start();
		}

		await Promise.all(this.instances.map(async instance => instance.waitUntilReady()));
	}

	async close() {
		for (const instance of this.instances) {
			instance.signal('SIGCONT');
		}

		await Promise.all(this.instances.map(async instance => instance.stop('SIGKILL')));
		if (process.env.KEEP_LOGS === undefined) {
			rmSync(this.folder, {recursive: true, force: true});
		} else {
			process.stderr.write(`logs: ${this.folder}\n`);
		}
	}
}
