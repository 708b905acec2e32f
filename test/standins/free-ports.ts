/**
Finds ports that are free for TCP and UDP, for daemons whose settings must name their
ports. Another process may take a port before the daemon listens on it.
*/
import {createSocket, type Socket} from 'node:dgram';
import {createServer, type AddressInfo, type Server} from 'node:net';

const ATTEMPTS_MAX = 100;

export async function freePorts(count: number): Promise<number[]> {
	const servers = await Promise.all(Array.from({length: count}, async () => listenOnFreePort()));
	const ports = servers.map(server => (server.address() as AddressInfo).port);
	await Promise.all(servers.map(async server => close(server)));
	return ports;
}

/** A daemon's datagram port is free for TCP, so the system may name it when another test asks for a port. */
async function listenOnFreePort(): Promise<Server> {
	for (let attempt = 0; attempt < ATTEMPTS_MAX; attempt++) {
		const server = await listen();

		if (await isFreeForDatagrams((server.address() as AddressInfo).port)) {
			return server;
		}

		await close(server);
	}

	throw new Error('No port is free for TCP and UDP');
}

async function listen(): Promise<Server> {
	return new Promise((resolve, reject) => {
		const server = createServer();
		server.once('error', reject);
		server.listen(0, '127.0.0.1', () => {
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
