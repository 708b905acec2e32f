/**
Finds ports that are free for TCP and UDP, for daemons whose settings must name their
ports. They are below those that the system gives to outgoing connections, one of which
could take a port before the daemon listens on it. Each process draws from a block of its
own, of which it holds the first port, so that no other test draws the same one.
*/
import {createSocket, type Socket} from 'node:dgram';
import {createServer, type AddressInfo, type Server} from 'node:net';

const ATTEMPTS_MAX = 100;
const FIRST_PORT = 10_000;
/** The first port that Linux gives to outgoing connections, by default. */
const END_PORT = 32_768;
/** More than a test file has in use at a time. */
const BLOCK_PORTS = 256;
const BLOCKS = Math.floor((END_PORT - FIRST_PORT) / BLOCK_PORTS);

let block: Promise<number> | undefined;
let drawn = 0;

/** Holds the first port of a block until the process ends. */
async function claimBlock(): Promise<number> {
	const first = Math.floor(Math.random() * BLOCKS);
	for (let attempt = 0; attempt < BLOCKS; attempt++) {
		const port = FIRST_PORT + ((first + attempt) % BLOCKS * BLOCK_PORTS);
		const server = await listen(port);
		if (server) {
			server.unref();
			return port;
		}
	}

	throw new Error('No block of ports is free');
}

export async function freePorts(count: number): Promise<number[]> {
	const servers = await Promise.all(Array.from({length: count}, async () => listenOnFreePort()));
	const ports = servers.map(server => (server.address() as AddressInfo).port);
	await Promise.all(servers.map(async server => close(server)));
	return ports;
}

async function listenOnFreePort(): Promise<Server> {
	block ??= claimBlock();
	const first = await block;
	for (let attempt = 0; attempt < ATTEMPTS_MAX; attempt++) {
		const port = first + 1 + (drawn % (BLOCK_PORTS - 1));
		drawn++;
		const server = await listen(port);
		if (server && await isFreeForDatagrams(port)) {
			return server;
		}

		await (server && close(server));
	}

	throw new Error('No port is free for TCP and UDP');
}

async function listen(port: number): Promise<Server | undefined> {
	return new Promise(resolve => {
		const server = createServer();
		server.once('error', () => {
			resolve(undefined);
		});
		server.listen(port, '127.0.0.1', () => {
			resolve(server);
		});
	});
}

async function isFreeForDatagrams(port: number): Promise<boolean> {
	const socket: Socket = createSocket('udp4');
	return new Promise(resolve => {
		socket.once('error', () => {
			socket.close();
			resolve(false);
		});
		socket.bind(port, '127.0.0.1', () => {
			socket.close(() => {
				resolve(true);
			});
		});
	});
}

async function close(server: Server): Promise<void> {
	return new Promise(resolve => {
		server.close(() => {
			resolve();
		});
	});
}
