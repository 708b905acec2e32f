/* eslint-disable no-await-in-loop -- the steps of a play follow each other, and some go on beside them */
/**
Starts instances with the command of the deploy file, each as a process of its own with a
settings file that is filled in from the project's template as the platform does it.
*/
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	existsSync, mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import {createSocket} from 'node:dgram';
import {get} from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

const root = fileURLToPath(new URL('../..', import.meta.url));
const deployFile = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
const command = /^run = "(?<command>.*)"$/mv.exec(deployFile).groups.command.split(' ');
const template = readFileSync(path.join(root, /^template = "(?<file>.*)"$/mv.exec(deployFile).groups.file), 'utf8');
const STARTUP_MS = 20_000;
const POLL_MS = 50;

/** Bounds of the small installations, as their sheets state them. */
export const smallBounds = {
	seedLagS: 3, reuseAfterS: 2, contactMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: 2000, graceS: 8, lossSlackMs: 200, configApplyMs: 2000, rollbackSlackMs: 250, outerMs: 5000, budgetRatio: 0.2, budgetWindowS: 10, budgetSlack: 113, recoveryS: 12, passMs: 120, retryAfterS: 0, fencingEnforced: false, leaseMs: 3000, thawSlackMs: 300, ceilingWindowS: 5, ceilingExcess: 1.1,
};

/** Bounds of the site petrov-trench-grown. */
export const grownBounds = {
	...smallBounds, contactMs: 4000, ackMs: 6000, catchUpS: 6, drainMs: 3000, configApplyMs: 3000, outerMs: 6000, budgetSlack: 272, recoveryS: 15, passMs: 200,
};

export const smallContracts = ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'fleet', 'stream', 'engine', 'platform'];

function valueAt(fields, name) {
	let value = fields;
	for (const key of name.split('.')) {
		value = value?.[key];
	}

	return value;
}

function render(text, fields) {
	const withSections = text.replaceAll(/\{\{#(?<name>[\w.]+)\}\}(?<inner>.*?)\{\{\/\k<name>\}\}/gsv, (_match, name, inner) => {
		const list = valueAt(fields, name) ?? [];
		return list.map((item, index) => inner.replaceAll('{{.|json}}', JSON.stringify(item)).replaceAll('{{,}}', index < list.length - 1 ? ',' : '')).join('');
	});
	return withSections.replaceAll(/\{\{(?<name>[\w.]+)(?<json>\|json)?\}\}/gv, (_match, name, json) => {
		const value = valueAt(fields, name);
		if (json) {
			return JSON.stringify(value) ?? 'null';
		}

		return value === undefined ? '' : String(value);
	});
}

/** Below the ports that the system gives to outgoing connections, which would take them while an instance is down. */
const PORT_MIN = 15_000;
const PORT_MAX = 32_000;
const given = new Set();

async function isFree(port) {
	const server = createServer();
	const socket = createSocket('udp4');
	const opened = await Promise.all([
		new Promise(resolve => {
			server.once('error', () => {
				resolve(false);
			});
			server.listen(port, '127.0.0.1', () => {
				resolve(true);
			});
		}),
		new Promise(resolve => {
			socket.once('error', () => {
				resolve(false);
			});
			socket.bind(port, '127.0.0.1', () => {
				resolve(true);
			});
		}),
	]);
	if (opened[0]) {
		server.close();
		await once(server, 'close');
	}

	socket.close();
	return opened.every(Boolean);
}

/** Ports that are free for TCP and UDP. */
export async function freePorts(count) {
	const ports = [];
	while (ports.length < count) {
		const port = PORT_MIN + Math.floor(Math.random() * (PORT_MAX - PORT_MIN));
		if (!given.has(port) && await isFree(port)) {
			given.add(port);
			ports.push(port);
		}
	}

	return ports;
}

export class Deployment {
	#folder = mkdtempSync(path.join(tmpdir(), 'pollenarch-review-'));
	#children = new Set();
	#isEnding = false;
	nodes = new Map();
	/** Instances that have ended by themselves. */
	ownEnds = [];

	constructor({record, bounds = smallBounds, contracts = smallContracts}) {
		this.record = record;
		this.bounds = bounds;
		this.contracts = contracts;
		if (!existsSync(path.join(root, 'target/start.cjs'))) {
			throw new Error('target/start.cjs is missing: run the build of the deploy file first');
		}
	}

	/** Settles the addresses of the instances. `storeAddress` gives the address at which an instance finds the store. */
	async plan(instances) {
		for (const {name, zone, storeAddress} of instances) {
			const [front, ready, control, first, last] = await freePorts(5);
			this.nodes.set(name, {
				name, zone, storeAddress, ports: {
					front, ready, control, first, last,
				}, child: undefined, log: '', isStopping: false,
			});
		}
	}

	start(name) {
		const node = this.nodes.get(name);
		const {front, ready, control, first, last} = node.ports;
		const zones = [...new Set([...this.nodes.values()].map(({zone}) => zone))];
		const file = path.join(this.#folder, `${name}.yaml`);
		writeFileSync(file, render(template, {
			nodeName: name,
			role: 'entry',
			machineClass: 'edge',
			serves: ['edge', 'control'],
			ip: '127.0.0.1',
			zone: node.zone,
			region: 'region-one',
			zones: Object.fromEntries(zones.map(zone => [zone, 'region-one'])),
			listen: {front: `127.0.0.1:${front}`, ready: `127.0.0.1:${ready}`, control: `127.0.0.1:${control}`},
			portRange: [first, last],
			seeds: [...this.nodes.values()].slice(0, 3).map(({ports}) => `127.0.0.1:${ports.control}`),
			limits: {cpuShare: 0.459, cores: 1, memoryMb: 272},
			contracts: this.contracts,
			bounds: this.bounds,
			platform: {address: node.storeAddress},
		}));
		const [program, ...options] = command;
		const child = spawn(program === 'node' ? process.execPath : program, options, {
			cwd: root, env: {PATH: process.env.PATH, HOME: process.env.HOME, POLLENARCH_SETTINGS: file}, stdio: ['ignore', 'pipe', 'pipe'],
		});
		node.child = child;
		node.isStopping = false;
		this.#children.add(child);
		this.record.add('process-started', {name, pid: child.pid});
		const keep = chunk => {
			node.log += chunk.toString('utf8');
		};

		child.stdout.on('data', keep);
		child.stderr.on('data', keep);
		child.on('close', (code, signal) => {
			this.#children.delete(child);
			if (!this.#isEnding && !node.isStopping) {
				this.ownEnds.push(name);
			}

			this.record.add('process-ended', {
				name, code, signal, isEnding: this.#isEnding,
			});
		});
		return node;
	}

	signal(name, signal) {
		const node = this.nodes.get(name);
		this.record.add('signal', {name, signal});
		node.isStopping ||= signal === 'SIGTERM' || signal === 'SIGKILL';
		node.child.kill(signal);
	}

	/** Ends a process and waits until it is gone. */
	async kill(name, signal = 'SIGKILL') {
		const {child} = this.nodes.get(name);
		const ended = once(child, 'close');
		this.signal(name, signal);
		await ended;
	}

	async isReady(name) {
		const {ports} = this.nodes.get(name);
		return new Promise(resolve => {
			const request = get({
				host: '127.0.0.1', port: ports.ready, path: '/v1/ready', agent: false, timeout: 1000,
			}, response => {
				response.resume();
				resolve(response.statusCode === 200);
			});
			request.on('timeout', () => request.destroy());
			request.on('error', () => {
				resolve(false);
			});
		});
	}

	async waitUntilReady(names = [...this.nodes.keys()]) {
		const endMs = Date.now() + STARTUP_MS;
		for (const name of names) {
			while (!await this.isReady(name)) {
				if (Date.now() > endMs) {
					throw new Error(`${name} did not become ready: ${this.nodes.get(name).log.slice(-2000)}`);
				}

				await delay(POLL_MS);
			}
		}
	}

	/** The log lines of an instance for the given event messages. */
	events(name, ...messages) {
		return this.nodes.get(name).log.split('\n').filter(line => messages.some(message => line.includes(`"msg":"${message}"`))).map(line => JSON.parse(line));
	}

	async end() {
		this.#isEnding = true;
		await Promise.all([...this.#children].map(async child => {
			const ended = once(child, 'close');
			child.kill('SIGCONT');
			child.kill('SIGKILL');
			await ended;
		}));
		rmSync(this.#folder, {recursive: true});
	}
}
